#ifndef MUSTARDPROXY_JOBS_RECORD_CODEC_H_
#define MUSTARDPROXY_JOBS_RECORD_CODEC_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "job_table.h"
#include "mustardproxy/jobs/job.h"
#include "mustardproxy/jobs/worker_driver.h"

/// Encoding of the records in the store.
namespace mustardproxy::jobs {

/// Registration of a process of the cell in the store.
struct NodeRecord {
  ProcessId name;
  DataCenterId data_center;
  /// `ip:port` of its gRPC listener.
  std::string peer_address;
  Incarnation incarnation = 0;
  std::int64_t cpu_milli = 0;
  std::int64_t memory_mb = 0;

  friend bool operator==(const NodeRecord&, const NodeRecord&) = default;
};

/// An owner of the placement group.
struct OwnerEntry {
  NodeRecord node;
  /// 0 in the last entry of a record that is written together with the owner's
  /// key: the revision of the record.
  FencingToken token = 0;
};

/// Owners whose leases at workers may still be in force, oldest first; the last
/// one is the latest owner.
struct OwnerList {
  std::vector<OwnerEntry> owners;
  /// False if there may be others.
  bool complete = false;
};

/// A worker to which no owner grants a lease while this is stored.
struct WithheldLease {
  WorkerId worker;
  /// The owner that stored it, and the number that this owner gave it. Not used
  /// again once it was removed.
  FencingToken token = 0;
  std::int64_t number = 0;
  /// All leases of the worker end within this time after the write.
  Duration remaining{0};
};

[[nodiscard]] std::string EncodeJob(const Job& job);
/// @return the job, or `std::nullopt` if the bytes are not a valid record
[[nodiscard]] std::optional<Job> DecodeJob(std::string_view bytes);

/// @return who submitted the job, from its record
[[nodiscard]] JobAccess DecodeAccess(std::string_view bytes);

/// Encodes the progress of a job that is not final, as needed by the next
/// owner.
[[nodiscard]] std::string EncodeProgress(const JobEntry& entry);
/// Applies a progress record to a newly created entry.
/// @return false if the bytes are not a valid record; the entry is unchanged
///   then
[[nodiscard]] bool ApplyProgress(JobTable* jobs, JobEntry* entry,
                                 std::string_view bytes);
/// Encodes the final state of a job.
[[nodiscard]] std::string EncodeEnd(const JobStatus& status);
/// @return the state of the job reported to callers, from a record of its
///   progress, which does not tell who submitted it, or of its final state
[[nodiscard]] std::optional<JobStatus> DecodeStatus(std::string_view bytes);

/// Encodes who has cancelled a job that was not in the store.
[[nodiscard]] std::string EncodeTombstone(const JobAccess& caller);
/// @return who has cancelled the job, or `std::nullopt` if the bytes are not a
///   valid record
[[nodiscard]] std::optional<JobAccess> DecodeTombstone(std::string_view bytes);

[[nodiscard]] std::string EncodeNode(const NodeRecord& node);
[[nodiscard]] std::optional<NodeRecord> DecodeNode(std::string_view bytes);

[[nodiscard]] std::string EncodeOwners(const OwnerList& list);
[[nodiscard]] std::optional<OwnerList> DecodeOwners(std::string_view bytes);

[[nodiscard]] std::string EncodeWithheldLeases(
    std::span<const WithheldLease> leases);
[[nodiscard]] std::optional<std::vector<WithheldLease>> DecodeWithheldLeases(
    std::string_view bytes);

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_RECORD_CODEC_H_
