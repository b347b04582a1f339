#ifndef MUSTARDPROXY_PEER_JOB_SERVICE_H_
#define MUSTARDPROXY_PEER_JOB_SERVICE_H_

#include <mutex>

#include "job_peer.grpc.pb.h"
#include "mustardproxy/jobs/executor.h"
#include "mustardproxy/jobs/job_peers.h"

namespace mustardproxy::peer_detail {

/// What peers ask of this process about jobs, handed to the handler on the
/// executor's thread.
class JobService final : public peer::jobs::JobPeer::CallbackService {
 public:
  explicit JobService(jobs::Executor* executor) : executor(executor) {}

  void SetHandler(jobs::JobPeerHandler* asked) { this->handler = asked; }
  /// Sets the report that replies to announcements carry; null for none. Safe
  /// to call from any thread.
  void SetLoad(jobs::LoadReportPtr report);

  grpc::ServerUnaryReactor* AnnounceJob(
      grpc::CallbackServerContext* context,
      const peer::jobs::JobAnnouncement* request,
      peer::jobs::AnnouncementReply* reply) override;
  grpc::ServerUnaryReactor* AnnounceCancel(
      grpc::CallbackServerContext* context,
      const peer::jobs::JobQuestion* request,
      peer::jobs::Empty* reply) override;
  grpc::ServerUnaryReactor* AnnounceTombstone(
      grpc::CallbackServerContext* context,
      const peer::jobs::TombstoneAnnouncement* request,
      peer::jobs::Empty* reply) override;
  grpc::ServerUnaryReactor* QueryJob(grpc::CallbackServerContext* context,
                                     const peer::jobs::JobQuestion* request,
                                     peer::jobs::JobAnswer* reply) override;
  grpc::ServerUnaryReactor* QueryPending(
      grpc::CallbackServerContext* context,
      const peer::jobs::PendingQuestion* request,
      peer::jobs::PendingAnswer* reply) override;
  grpc::ServerUnaryReactor* Create(grpc::CallbackServerContext* context,
                                   const peer::jobs::CreateRequest* request,
                                   peer::jobs::CreateReply* reply) override;
  grpc::ServerUnaryReactor* Ask(grpc::CallbackServerContext* context,
                                const peer::jobs::AdviceQuestion* request,
                                peer::jobs::Advice* reply) override;
  grpc::ServerUnaryReactor* Relay(grpc::CallbackServerContext* context,
                                  const peer::jobs::RelayBatch* request,
                                  peer::jobs::RelayAck* reply) override;
  grpc::ServerUnaryReactor* ReturnResults(
      grpc::CallbackServerContext* context,
      const peer::jobs::RelayedResults* request,
      peer::jobs::Empty* reply) override;
  grpc::ServerUnaryReactor* QueryProcess(
      grpc::CallbackServerContext* context, const peer::jobs::Empty* request,
      peer::jobs::ProcessState* reply) override;

 private:
  jobs::Executor* executor;
  jobs::JobPeerHandler* handler = nullptr;
  std::mutex mutex;
  jobs::LoadReportPtr load;
};

}  // namespace mustardproxy::peer_detail

#endif  // MUSTARDPROXY_PEER_JOB_SERVICE_H_
