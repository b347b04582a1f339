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

/// Limits of one journal's use of the platform.
struct JournalOptions {
  /// Appends a second: this process's share of the platform's write rate.
  double appends_per_second = 20;
  double burst = 5;
  /// Largest batch, below the platform's limit of a megabyte for a value.
  std::size_t max_batch_bytes = 900'000;
  std::size_t max_batch_records = 1000;
  /// Bytes waiting to be appended before new work is refused.
  std::size_t max_pending_bytes = 8'000'000;
  /// Pause before an uncertain append is sent again.
  Duration retry_interval = std::chrono::milliseconds(200);
};

/// The writer of one journal: gathers records into batches, keeps one append
/// in flight, and paces them with a token bucket. At low load a record goes out
/// at once.
class Journal {
 public:
  /// @param first_sequence 1 for a fresh journal; after adoption the number
  ///   that follows the adopted record
  Journal(JournalId id, std::uint64_t first_sequence, JournalOptions options,
          std::uint64_t seed);
  ~Journal();
  Journal(Journal&&) noexcept;
  Journal& operator=(Journal&&) noexcept;

  /// Takes a record in. New work is refused at the bound on pending bytes,
  /// records about work accepted before only at twice that bound.
  /// @return a ticket; the record is durable once `OnAppended` returns it, or
  ///   0 if too much is pending, the journal is fenced, or the record alone is
  ///   larger than a batch may be (the record is dropped)
  [[nodiscard]] std::uint64_t Append(JournalRecord record);
  /// Sends the next batch if none is in flight and the rate allows it. A batch
  /// whose append was uncertain is sent again unchanged.
  void Tick(Instant now, Actions* actions);
  /// @return tickets that are durable now
  [[nodiscard]] std::vector<std::uint64_t> OnAppended(Instant now,
                                                      std::uint64_t sequence);
  /// The journal was adopted by somebody else: it takes nothing any more.
  void OnFenced();
  void OnUncertain(Instant now, std::uint64_t sequence);

  [[nodiscard]] const JournalId& Name() const;
  [[nodiscard]] bool Fenced() const;
  /// Nothing pending and nothing in flight.
  [[nodiscard]] bool Idle() const;
  /// Time the oldest pending record has waited; shows an outage.
  [[nodiscard]] Duration OldestPending(Instant now) const;
  /// Sequence number of the last durable batch.
  [[nodiscard]] std::uint64_t LastSequence() const;
  [[nodiscard]] Instant NextWakeup() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_CORE_JOURNAL_H_
