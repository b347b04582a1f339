#ifndef MUSTARDPROXY_JOBS_RECORD_CODEC_H_
#define MUSTARDPROXY_JOBS_RECORD_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "job_table.h"
#include "mustardproxy/jobs/job.h"

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

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_RECORD_CODEC_H_
