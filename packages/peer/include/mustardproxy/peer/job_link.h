#ifndef MUSTARDPROXY_PEER_JOB_LINK_H_
#define MUSTARDPROXY_PEER_JOB_LINK_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "mustardproxy/core/result.h"
#include "mustardproxy/jobs/executor.h"
#include "mustardproxy/jobs/job_peers.h"

namespace mustardproxy {

/// Both ends of the calls about jobs between the processes of a cell, over
/// gRPC. Answers and requests come on the executor's thread.
class JobLink final : public jobs::JobPeers {
 public:
  /// @param executor must outlive the link
  explicit JobLink(jobs::Executor* executor);
  ~JobLink() override;

  /// Begins to listen; `handler` is asked from then on.
  /// @return the port in use
  [[nodiscard]] Result<std::uint16_t> Start(const std::string& host,
                                            std::uint16_t port,
                                            jobs::JobPeerHandler* handler);
  /// Ends all calls.
  void Stop();

  void AnnounceJob(
      const std::string& address, const jobs::AnnouncedJob& job,
      std::function<void(const jobs::LoadReport&)> on_load) override;
  void PublishLoad(jobs::LoadReportPtr report) override;
  void AnnounceCancel(const std::string& address,
                      const jobs::JobId& job) override;
  void AnnounceTombstone(const std::string& address,
                         const jobs::StoreItem& tombstone) override;
  void QueryJob(const std::string& address, const jobs::JobId& job,
                Done<jobs::JobAnswer> done) override;
  void QueryPending(const std::string& address, const jobs::QueueName& queue,
                    Done<std::int64_t> done) override;
  void Create(const std::string& address, const jobs::CreateRequest& request,
              Done<jobs::CreateOutcome> done) override;
  void Ask(const std::string& address, const jobs::AdviceQuestion& question,
           Done<jobs::Advice> done) override;
  void Relay(const std::string& address, const jobs::RelayBatch& batch,
             Done<jobs::RelayAck> done) override;
  void ReturnResults(const std::string& address,
                     const jobs::RelayedResults& results) override;
  void QueryProcess(const std::string& address,
                    Done<jobs::ProcessState> done) override;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_PEER_JOB_LINK_H_
