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

/// Deferred work was accepted; the caller may be answered with status 202.
struct AcceptedRecord {
  Request request;
};
/// A task of the request is about to be started. Written before the start is
/// sent.
struct StartedRecord {
  RequestId request;
  TaskId task;
  WorkerId worker;
  Epoch epoch = 0;
  std::int32_t attempt = 1;
  /// Incarnation of the worker that the start is sent to; 0 if unknown.
  Incarnation worker_incarnation = 0;
};
/// The request has ended; `answer` is returned to the caller.
struct FinishedRecord {
  RequestId request;
  DeferredState state = DeferredState::kFinished;
  Answer answer;
};
/// The caller has cancelled the request.
struct CancelledRecord {
  RequestId request;
  bool ran = false;
};
/// The journal's owner has shut down gracefully; any peer may take the journal
/// over immediately.
struct HandedOverRecord {};
/// A peer has taken over the journal. This fences the former writer, because
/// the record occupies the sequence number of its next append.
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
  /// Random number; shows after a lost reply whether the batch was stored.
  std::uint64_t batch_id = 0;
  std::vector<JournalRecord> records;
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_CORE_JOURNAL_RECORD_H_
