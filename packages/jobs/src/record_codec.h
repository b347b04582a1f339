#ifndef MUSTARDPROXY_JOBS_RECORD_CODEC_H_
#define MUSTARDPROXY_JOBS_RECORD_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "job_table.h"
#include "mustardproxy/jobs/job.h"

/// What is kept in the store, as bytes.
namespace mustardproxy::jobs {

/// A process of the cell as it registers in the store.
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
/// @return nothing if the bytes can't be understood
[[nodiscard]] std::optional<Job> DecodeJob(std::string_view bytes);

/// How far a job that is not final has come: what must survive its owner.
[[nodiscard]] std::string EncodeProgress(const JobEntry& entry);
/// Brings a fresh entry to the state of the record.
/// @return false if the bytes can't be understood; the entry is unchanged
[[nodiscard]] bool ApplyProgress(JobTable* jobs, JobEntry* entry,
                                 std::string_view bytes);
/// How a job ended.
[[nodiscard]] std::string EncodeEnd(const JobStatus& status);
/// @return what callers are told, of a job's progress or end
[[nodiscard]] std::optional<JobStatus> DecodeStatus(std::string_view bytes);

[[nodiscard]] std::string EncodeNode(const NodeRecord& node);
[[nodiscard]] std::optional<NodeRecord> DecodeNode(std::string_view bytes);

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_RECORD_CODEC_H_
