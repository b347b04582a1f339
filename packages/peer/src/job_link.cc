#include "mustardproxy/peer/job_link.h"

#include <grpcpp/client_context.h>
#include <grpcpp/server.h>

#include <chrono>
#include <map>
#include <mutex>
#include <system_error>
#include <utility>

#include "channel.h"
#include "client_calls.h"
#include "job_peer.grpc.pb.h"
#include "job_service.h"
#include "mustardproxy/core/error.h"
#include "relay_wire.h"
#include "server.h"

namespace mustardproxy {
namespace {

using peer::jobs::JobPeer;
using peer_detail::CallRegistry;

/// Questions about jobs are answered from memory; above the pauses of a busy
/// peer, and low enough that the store can still be asked in the caller's time.
constexpr std::chrono::milliseconds kQuestionTimeout(400);
constexpr std::chrono::milliseconds kAnnouncementTimeout(1000);
/// A relay acknowledges a batch before it sends anything.
constexpr std::chrono::milliseconds kRelayTimeout(250);
/// Connections that nothing has used for so long are closed.
constexpr std::chrono::seconds kChannelIdle(60);

/// A call of the generated stub that ends by a callback.
template <typename Request, typename Reply>
using Method =
    void (JobPeer::Stub::async::*)(grpc::ClientContext*, const Request*, Reply*,
                                   std::function<void(grpc::Status)>);

std::error_code ErrorOf(const grpc::Status& status) {
  const bool not_owner =
      status.error_code() == grpc::StatusCode::FAILED_PRECONDITION;
  return not_owner ? Error::kNotOwner : Error::kPeerLost;
}

/// @param now when the reply arrived
jobs::LoadReport DecodeLoad(const peer::jobs::LoadReport& wire, Instant now) {
  jobs::LoadReport report;
  report.made_at = now - Duration(wire.age_us());
  for (const peer::jobs::QueueLoad& row : wire.queues()) {
    report.queues.push_back(
        {.queue = jobs::QueueName(row.queue()),
         .wait = Duration(row.wait_us()),
         .wait_above_share = Duration(row.wait_above_share_us()),
         .late_wait = Duration(row.late_wait_us()),
         .late_work = Duration(row.late_work_us()),
         .late_work_of_all = Duration(row.late_work_of_all_us()),
         .overdue_work = Duration(row.overdue_work_us()),
         .overhead = Duration(row.overhead_us()),
         .run_time_ratio = row.run_time_ratio(),
         .capacity = {row.cpu_milli(), row.memory_mb(), 0, 0}});
  }
  for (const std::string& team : wire.teams_above_share()) {
    report.teams_above_share.emplace_back(team);
  }
  return report;
}

jobs::ProcessState DecodeProcess(const peer::jobs::ProcessState& wire) {
  jobs::ProcessState state;
  state.process = ProcessId(wire.process());
  state.incarnation = wire.incarnation();
  state.given_up = wire.given_up();
  state.age = Duration(wire.age_us());
  for (const peer::jobs::SeenWithheldLease& lease : wire.withheld_leases()) {
    state.withheld_leases.push_back({WorkerId(lease.worker()), lease.token(),
                                     lease.number(), Duration(lease.age_us())});
  }
  return state;
}

}  // namespace

struct JobLink::State {
  explicit State(jobs::Executor* given) : executor(given), service(given) {}

  struct Channel {
    std::unique_ptr<JobPeer::Stub> stub;
    std::chrono::steady_clock::time_point used;
  };

  /// One call with all that must live as long as it.
  template <typename Request, typename Reply>
  struct Call {
    grpc::ClientContext context;
    std::shared_ptr<Channel> channel;
    Request request;
    Reply reply;
  };

  std::shared_ptr<Channel> Use(const std::string& address);
  void Drop(const std::string& address, const std::shared_ptr<Channel>& failed);

  /// Makes a call; `done` gets its reply or an error, on the executor.
  /// @param method member of the asynchronous stub
  template <typename Request, typename Reply, typename Handler>
  void Make(const std::string& address, std::chrono::microseconds timeout,
            Request request, Method<Request, Reply> method, Handler done);

  jobs::Executor* executor;
  peer_detail::JobService service;
  std::unique_ptr<grpc::Server> server;
  /// Outlives the link, as calls of gRPC may.
  std::shared_ptr<CallRegistry> registry = std::make_shared<CallRegistry>();
  std::mutex mutex;
  std::map<std::string, std::shared_ptr<Channel>> channels;
};

std::shared_ptr<JobLink::State::Channel> JobLink::State::Use(
    const std::string& address) {
  const auto now = std::chrono::steady_clock::now();
  const std::lock_guard lock(this->mutex);
  std::erase_if(this->channels, [&](const auto& entry) {
    return now - entry.second->used > kChannelIdle;
  });
  auto& channel = this->channels[address];
  if (!channel) {
    channel = std::make_shared<Channel>();
    channel->stub = JobPeer::NewStub(peer_detail::MakeChannel(address));
  }
  channel->used = now;
  return channel;
}

void JobLink::State::Drop(const std::string& address,
                          const std::shared_ptr<Channel>& failed) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->channels.find(address);
  if (found != this->channels.end() && found->second == failed) {
    this->channels.erase(found);
  }
}

template <typename Request, typename Reply, typename Handler>
void JobLink::State::Make(const std::string& address,
                          std::chrono::microseconds timeout, Request request,
                          Method<Request, Reply> method, Handler done) {
  auto call = std::make_shared<Call<Request, Reply>>();
  call->channel = this->Use(address);
  call->request = std::move(request);
  peer_detail::SetTimeout(std::chrono::ceil<std::chrono::milliseconds>(timeout),
                          &call->context);
  auto* const begun = call.get();
  // The call may end, and be freed, before this function returns.
  const std::shared_ptr<Channel> channel = call->channel;
  if (!this->registry->Add(&begun->context, std::move(call))) {
    this->executor->Post([done = std::move(done)] {
      done(Result<Reply>(make_error_code(Error::kShuttingDown)));
    });
    return;
  }
  auto finish = [this, address, begun, registry = this->registry,
                 done = std::move(done)](const grpc::Status& status) {
    const bool answered =
        status.ok() ||
        status.error_code() == grpc::StatusCode::FAILED_PRECONDITION;
    // Failure: a connection falls silent without a word. The next call makes
    // another one instead of meeting its silence again.
    if (!answered) this->Drop(address, begun->channel);
    Result<Reply> result = ErrorOf(status);
    if (status.ok()) result = std::move(begun->reply);
    this->executor->Post([done, result = std::move(result)] { done(result); });
    registry->Retire(&begun->context);
  };
  (channel->stub->async()->*method)(&begun->context, &begun->request,
                                    &begun->reply, std::move(finish));
}

JobLink::JobLink(jobs::Executor* executor)
    : state(std::make_unique<State>(executor)) {}

JobLink::~JobLink() { this->Stop(); }

Result<std::uint16_t> JobLink::Start(const std::string& host,
                                     std::uint16_t port,
                                     jobs::JobPeerHandler* handler) {
  this->state->service.SetHandler(handler);
  this->state->server =
      peer_detail::StartServer(host, &port, &this->state->service);
  if (!this->state->server) {
    return std::make_error_code(std::errc::address_not_available);
  }
  return port;
}

void JobLink::Stop() {
  if (this->state->server) {
    this->state->server->Shutdown(std::chrono::system_clock::now() +
                                  peer_detail::kFlushLimit);
    this->state->server->Wait();
    this->state->server.reset();
  }
  this->state->registry->Close(peer_detail::kFlushLimit);
  const std::lock_guard lock(this->state->mutex);
  this->state->channels.clear();
}

void JobLink::AnnounceJob(
    const std::string& address, const jobs::AnnouncedJob& job,
    std::function<void(const jobs::LoadReport&)> on_load) {
  peer::jobs::JobAnnouncement request;
  request.set_id(job.id.Text());
  request.set_record(job.record);
  request.set_revision(job.revision);
  this->state->Make<peer::jobs::JobAnnouncement, peer::jobs::AnnouncementReply>(
      address, kAnnouncementTimeout, std::move(request),
      &JobPeer::Stub::async::AnnounceJob,
      // A lost one is found in the store.
      [executor = this->state->executor, on_load = std::move(on_load)](
          const Result<peer::jobs::AnnouncementReply>& reply) {
        if (!reply || !reply.value().has_load()) return;
        on_load(DecodeLoad(reply.value().load(), executor->Now()));
      });
}

void JobLink::PublishLoad(jobs::LoadReportPtr report) {
  this->state->service.SetLoad(std::move(report));
}

void JobLink::AnnounceCancel(const std::string& address,
                             const jobs::JobId& job) {
  peer::jobs::JobQuestion request;
  request.set_id(job.Text());
  this->state->Make<peer::jobs::JobQuestion, peer::jobs::Empty>(
      address, kAnnouncementTimeout, std::move(request),
      &JobPeer::Stub::async::AnnounceCancel,
      [](const Result<peer::jobs::Empty>&) {});
}

void JobLink::AnnounceTombstone(const std::string& address,
                                const jobs::StoreItem& tombstone) {
  peer::jobs::TombstoneAnnouncement request;
  request.set_key(tombstone.key);
  request.set_record(tombstone.value);
  request.set_revision(tombstone.revision);
  this->state->Make<peer::jobs::TombstoneAnnouncement, peer::jobs::Empty>(
      address, kAnnouncementTimeout, std::move(request),
      &JobPeer::Stub::async::AnnounceTombstone,
      [](const Result<peer::jobs::Empty>&) {});
}

void JobLink::QueryJob(const std::string& address, const jobs::JobId& job,
                       Done<jobs::JobAnswer> done) {
  peer::jobs::JobQuestion request;
  request.set_id(job.Text());
  this->state->Make<peer::jobs::JobQuestion, peer::jobs::JobAnswer>(
      address, kQuestionTimeout, std::move(request),
      &JobPeer::Stub::async::QueryJob,
      [done = std::move(done)](const Result<peer::jobs::JobAnswer>& reply) {
        if (!reply) {
          done(reply.error());
          return;
        }
        jobs::JobAnswer answer;
        if (reply.value().known()) {
          answer.status = jobs::JobStatus{
              static_cast<jobs::JobState>(reply.value().state()),
              reply.value().cause(),
              {TeamId(reply.value().team()), reply.value().key_fingerprint()}};
        }
        done(answer);
      });
}

void JobLink::QueryPending(const std::string& address,
                           const jobs::QueueName& queue,
                           Done<std::int64_t> done) {
  peer::jobs::PendingQuestion request;
  request.set_queue(queue.Text());
  this->state->Make<peer::jobs::PendingQuestion, peer::jobs::PendingAnswer>(
      address, kQuestionTimeout, std::move(request),
      &JobPeer::Stub::async::QueryPending,
      [done = std::move(done)](const Result<peer::jobs::PendingAnswer>& reply) {
        if (!reply) {
          done(reply.error());
          return;
        }
        done(reply.value().jobs());
      });
}

void JobLink::Create(const std::string& address,
                     const jobs::CreateRequest& request,
                     Done<jobs::CreateOutcome> done) {
  peer::jobs::CreateRequest wire;
  wire.set_kind(request.kind);
  wire.set_job(request.job.Text());
  wire.set_key(request.key);
  wire.set_value(request.value);
  wire.set_timeout_us(request.timeout.count());
  this->state->Make<peer::jobs::CreateRequest, peer::jobs::CreateReply>(
      address, request.timeout, std::move(wire), &JobPeer::Stub::async::Create,
      [done = std::move(done)](const Result<peer::jobs::CreateReply>& reply) {
        if (!reply) {
          done(reply.error());
          return;
        }
        done(static_cast<jobs::CreateOutcome>(reply.value().end()));
      });
}

void JobLink::Ask(const std::string& address,
                  const jobs::AdviceQuestion& question,
                  Done<jobs::Advice> done) {
  peer::jobs::AdviceQuestion request;
  request.set_job(question.step.job.Text());
  request.set_occurrence(question.step.occurrence);
  request.set_step(question.step.step);
  request.set_timeout_us(question.timeout.count());
  for (const WorkerId& worker : question.workers) {
    request.add_workers(worker.Text());
  }
  this->state->Make<peer::jobs::AdviceQuestion, peer::jobs::Advice>(
      address, question.timeout, std::move(request), &JobPeer::Stub::async::Ask,
      [done = std::move(done)](const Result<peer::jobs::Advice>& reply) {
        if (!reply) {
          done(reply.error());
          return;
        }
        jobs::Advice advice;
        advice.validity = Duration(reply.value().validity_us());
        for (const peer::jobs::Permission& row : reply.value().permitted()) {
          advice.permitted.push_back({WorkerId(row.worker()), row.ticket()});
        }
        done(advice);
      });
}

void JobLink::Relay(const std::string& address, const jobs::RelayBatch& batch,
                    Done<jobs::RelayAck> done) {
  this->state->Make<peer::jobs::RelayBatch, peer::jobs::RelayAck>(
      address, kRelayTimeout, peer_detail::ToWire(batch),
      &JobPeer::Stub::async::Relay,
      [done = std::move(done)](const Result<peer::jobs::RelayAck>& reply) {
        if (!reply) {
          done(reply.error());
          return;
        }
        done(jobs::RelayAck{Duration(reply.value().clock_us())});
      });
}

void JobLink::ReturnResults(const std::string& address,
                            const jobs::RelayedResults& results) {
  this->state->Make<peer::jobs::RelayedResults, peer::jobs::Empty>(
      address, kRelayTimeout, peer_detail::ToWire(results),
      &JobPeer::Stub::async::ReturnResults,
      // The owner misses lost ones.
      [](const Result<peer::jobs::Empty>&) {});
}

void JobLink::QueryProcess(const std::string& address,
                           Done<jobs::ProcessState> done) {
  this->state->Make<peer::jobs::Empty, peer::jobs::ProcessState>(
      address, kQuestionTimeout, {}, &JobPeer::Stub::async::QueryProcess,
      [done = std::move(done)](const Result<peer::jobs::ProcessState>& reply) {
        if (!reply) {
          done(reply.error());
          return;
        }
        done(DecodeProcess(reply.value()));
      });
}

}  // namespace mustardproxy
