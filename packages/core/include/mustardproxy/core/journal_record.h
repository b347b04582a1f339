#ifndef MUSTARDPROXY_CORE_JOURNAL_RECORD_H_
#define MUSTARDPROXY_CORE_JOURNAL_RECORD_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/request.h"
#include "mustardproxy/core/time.h"

namespace mustardproxy {

/// Deferred work has been taken on; the caller may be told 202.
struct AcceptedRecord {
  Request request;
};
/// A task of it is about to be sent. Written before the send.
struct StartedRecord {
  RequestId request;
  TaskId task;
  WorkerId worker;
  Epoch epoch = 0;
  std::int32_t attempt = 1;
  /// The worker's run that the start is sent to; 0 if not known.
  Incarnation worker_incarnation = 0;
};
/// It ended; `answer` is what the caller reads.
struct FinishedRecord {
  RequestId request;
  DeferredState state = DeferredState::kFinished;
  Answer answer;
};
/// The caller cancelled it.
struct CancelledRecord {
  RequestId request;
  bool ran = false;
};
/// The journal's owner leaves in good order; any peer may go on at once.
struct HandedOverRecord {};
/// A peer has taken the journal over. Whoever wrote it before is fenced off,
/// since this record holds the sequence number of its next append.
struct AdoptedRecord {
  ProcessId by;
  Incarnation incarnation = 0;
};

using JournalRecord =
    std::variant<AcceptedRecord, StartedRecord, FinishedRecord, CancelledRecord,
                 HandedOverRecord, AdoptedRecord>;

/// One append: a value of the platform's key-value service under
/// `journal/<journal>/<sequence>`, created only if absent.
struct JournalBatch {
  JournalId journal;
  std::uint64_t sequence = 0;
  /// Drawn at random; settles whether a lost reply hid a success.
  std::uint64_t batch_id = 0;
  std::vector<JournalRecord> records;
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_CORE_JOURNAL_RECORD_H_
