#ifndef MUSTARDPROXY_CORE_JOURNAL_H_
#define MUSTARDPROXY_CORE_JOURNAL_H_

#include <cstdint>
#include <memory>
#include <span>
#include <vector>

#include "mustardproxy/core/actions.h"
#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/journal_record.h"
#include "mustardproxy/core/time.h"

namespace mustardproxy {

/// Limits on one journal's use of the platform.
struct JournalOptions {
  /// Appends per second: this process's share of the platform's write rate.
  double appends_per_second = 20;
  double burst = 5;
  /// Maximum size of a batch, below the platform's limit of one megabyte per
  /// value.
  std::size_t max_batch_bytes = 900'000;
  std::size_t max_batch_records = 1000;
  /// Number of pending bytes above which new work is refused.
  std::size_t max_pending_bytes = 8'000'000;
  /// Delay before an append with an unknown result is sent again.
  Duration retry_interval = std::chrono::milliseconds(200);
};

/// Writer of one journal. It collects records into batches, keeps one append in
/// flight and limits the rate of appends with a token bucket. At low load a
/// record is sent immediately.
class Journal {
 public:
  /// @param first_sequence 1 for a new journal; after an adoption, the number
  ///   that follows the adopted record
  Journal(JournalId id, std::uint64_t first_sequence, JournalOptions options,
          std::uint64_t seed);
  ~Journal();
  Journal(Journal&&) noexcept;
  Journal& operator=(Journal&&) noexcept;

  /// Adds a record. New work is refused when the limit on pending bytes is
  /// reached, records about work that was accepted earlier only at twice that
  /// limit.
  /// @return a ticket, or 0 if too much is pending, the journal is fenced, or
  ///   the record alone exceeds the size of a batch (the record is then
  ///   discarded); the record is durable once `OnAppended` returns its ticket
  [[nodiscard]] std::uint64_t Append(JournalRecord record);
  /// Sends the next batch if none is in flight and the rate allows it. A batch
  /// whose append has an unknown result is sent again unchanged.
  void Tick(Instant now, Actions* actions);
  /// @return tickets of the records that are now durable
  [[nodiscard]] std::vector<std::uint64_t> OnAppended(Instant now,
                                                      std::uint64_t sequence);
  /// Another process has adopted the journal: no further records are accepted.
  void OnFenced();
  void OnUncertain(Instant now, std::uint64_t sequence);

  [[nodiscard]] const JournalId& Name() const;
  [[nodiscard]] bool Fenced() const;
  /// @return true if no record is pending or in flight
  [[nodiscard]] bool Idle() const;
  /// @return how long the oldest pending record has waited; grows during an
  ///   outage of the platform
  [[nodiscard]] Duration OldestPending(Instant now) const;
  /// @return the sequence number of the last durable batch
  [[nodiscard]] std::uint64_t LastSequence() const;
  [[nodiscard]] Instant NextWakeup() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_CORE_JOURNAL_H_
