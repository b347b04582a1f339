#include "job_service.h"

#include <memory>
#include <utility>

#include "mustardproxy/core/error.h"
#include "pending_call.h"
#include "relay_wire.h"

namespace mustardproxy::peer_detail {
namespace {

template <typename Reply>
std::shared_ptr<PendingCall<Reply>> MakeCall(Reply* reply) {
  // What was begun for a peer that gave up ends by itself.
  return PendingCall<Reply>::Make(reply, [] {});
}

grpc::ServerUnaryReactor* Acknowledge(grpc::CallbackServerContext* context) {
  grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
  reactor->Finish(grpc::Status::OK);
  return reactor;
}

grpc::Status Refusal(const std::error_code& error) {
  const bool not_owner = error == Error::kNotOwner;
  return {not_owner ? grpc::StatusCode::FAILED_PRECONDITION
                    : grpc::StatusCode::UNAVAILABLE,
          error.message()};
}

void EncodeLoad(const jobs::LoadReport& report, Instant now,
                peer::jobs::LoadReport* out) {
  out->set_age_us((now - report.made_at).count());
  for (const jobs::QueueLoad& queue : report.queues) {
    peer::jobs::QueueLoad* row = out->add_queues();
    row->set_queue(queue.queue.Text());
    row->set_wait_us(queue.wait.count());
    row->set_wait_above_share_us(queue.wait_above_share.count());
    row->set_late_wait_us(queue.late_wait.count());
    row->set_late_work_us(queue.late_work.count());
    row->set_late_work_of_all_us(queue.late_work_of_all.count());
    row->set_overdue_work_us(queue.overdue_work.count());
    row->set_overhead_us(queue.overhead.count());
    row->set_run_time_ratio(queue.run_time_ratio);
    row->set_cpu_milli(queue.capacity.cpu_milli);
    row->set_memory_mb(queue.capacity.memory_mb);
  }
  for (const TeamId& team : report.teams_above_share) {
    out->add_teams_above_share(team.Text());
  }
}

void Encode(const jobs::ProcessState& state, peer::jobs::ProcessState* out) {
  out->set_process(state.process.Text());
  out->set_incarnation(state.incarnation);
  out->set_given_up(state.given_up);
  out->set_age_us(state.age.count());
  for (const jobs::SeenWithheldLease& lease : state.withheld_leases) {
    peer::jobs::SeenWithheldLease* row = out->add_withheld_leases();
    row->set_worker(lease.worker.Text());
    row->set_token(lease.token);
    row->set_number(lease.number);
    row->set_age_us(lease.age.count());
  }
}

}  // namespace

void JobService::SetLoad(jobs::LoadReportPtr report) {
  const std::lock_guard lock(this->mutex);
  this->load = std::move(report);
}

grpc::ServerUnaryReactor* JobService::AnnounceJob(
    grpc::CallbackServerContext* context,
    const peer::jobs::JobAnnouncement* request,
    peer::jobs::AnnouncementReply* reply) {
  {
    const std::lock_guard lock(this->mutex);
    if (this->load) {
      EncodeLoad(*this->load, this->executor->Now(), reply->mutable_load());
    }
  }
  this->executor->Post(
      [handler = this->handler,
       job = jobs::AnnouncedJob{jobs::JobId(request->id()), request->record(),
                                request->revision()}]() mutable {
        handler->OnJob(std::move(job));
      });
  return Acknowledge(context);
}

grpc::ServerUnaryReactor* JobService::AnnounceCancel(
    grpc::CallbackServerContext* context,
    const peer::jobs::JobQuestion* request, peer::jobs::Empty* /*reply*/) {
  this->executor->Post(
      [handler = this->handler, job = jobs::JobId(request->id())] {
        handler->OnCancel(job);
      });
  return Acknowledge(context);
}

grpc::ServerUnaryReactor* JobService::AnnounceTombstone(
    grpc::CallbackServerContext* context,
    const peer::jobs::TombstoneAnnouncement* request,
    peer::jobs::Empty* /*reply*/) {
  this->executor->Post(
      [handler = this->handler,
       tombstone = jobs::StoreItem{.key = request->key(),
                                   .value = request->record(),
                                   .revision = request->revision()}] {
        handler->OnTombstone(tombstone);
      });
  return Acknowledge(context);
}

grpc::ServerUnaryReactor* JobService::QueryJob(
    grpc::CallbackServerContext* /*context*/,
    const peer::jobs::JobQuestion* request, peer::jobs::JobAnswer* reply) {
  const auto call = MakeCall(reply);
  this->executor->Post(
      [handler = this->handler, job = jobs::JobId(request->id()), call] {
        handler->OnQueryJob(job, [call](const Result<jobs::JobAnswer>& answer) {
          if (!answer) {
            call->Refuse(Refusal(answer.error()));
            return;
          }
          call->Answer([&](peer::jobs::JobAnswer* out) {
            const auto& status = answer.value().status;
            out->set_known(status.has_value());
            if (!status) return;
            out->set_state(static_cast<std::int32_t>(status->state));
            out->set_cause(status->cause);
            out->set_team(status->access.team.Text());
            out->set_key_fingerprint(status->access.key_fingerprint);
          });
        });
      });
  return call.get();
}

grpc::ServerUnaryReactor* JobService::QueryPending(
    grpc::CallbackServerContext* /*context*/,
    const peer::jobs::PendingQuestion* request,
    peer::jobs::PendingAnswer* reply) {
  const auto call = MakeCall(reply);
  this->executor->Post([handler = this->handler,
                        queue = jobs::QueueName(request->queue()), call] {
    handler->OnQueryPending(queue, [call](const Result<std::int64_t>& count) {
      if (!count) {
        call->Refuse(Refusal(count.error()));
        return;
      }
      call->Answer([&](peer::jobs::PendingAnswer* out) {
        out->set_jobs(count.value());
      });
    });
  });
  return call.get();
}

grpc::ServerUnaryReactor* JobService::Create(
    grpc::CallbackServerContext* /*context*/,
    const peer::jobs::CreateRequest* request, peer::jobs::CreateReply* reply) {
  const auto call = MakeCall(reply);
  jobs::CreateRequest wanted{request->kind(), jobs::JobId(request->job()),
                             request->key(), request->value(),
                             Duration(request->timeout_us())};
  this->executor->Post(
      [handler = this->handler, wanted = std::move(wanted), call]() mutable {
        handler->OnCreate(
            std::move(wanted), [call](const Result<jobs::CreateOutcome>& end) {
              if (!end) {
                call->Refuse(Refusal(end.error()));
                return;
              }
              call->Answer([&](peer::jobs::CreateReply* out) {
                out->set_end(static_cast<std::int32_t>(end.value()));
              });
            });
      });
  return call.get();
}

grpc::ServerUnaryReactor* JobService::Ask(
    grpc::CallbackServerContext* /*context*/,
    const peer::jobs::AdviceQuestion* request, peer::jobs::Advice* reply) {
  const auto call = MakeCall(reply);
  jobs::AdviceQuestion question;
  question.step = {jobs::JobId(request->job()), request->occurrence(),
                   request->step()};
  question.timeout = Duration(request->timeout_us());
  for (const std::string& worker : request->workers()) {
    question.workers.emplace_back(worker);
  }
  this->executor->Post([handler = this->handler, question = std::move(question),
                        call]() mutable {
    handler->OnAsk(
        std::move(question), [call](const Result<jobs::Advice>& given) {
          if (!given) {
            call->Refuse(Refusal(given.error()));
            return;
          }
          call->Answer([&](peer::jobs::Advice* out) {
            out->set_validity_us(given.value().validity.count());
            for (const jobs::Permission& one : given.value().permitted) {
              peer::jobs::Permission* row = out->add_permitted();
              row->set_worker(one.worker.Text());
              row->set_ticket(one.ticket);
            }
          });
        });
  });
  return call.get();
}

grpc::ServerUnaryReactor* JobService::Relay(
    grpc::CallbackServerContext* /*context*/,
    const peer::jobs::RelayBatch* request, peer::jobs::RelayAck* reply) {
  const auto call = MakeCall(reply);
  this->executor->Post([handler = this->handler, batch = FromWire(*request),
                        call]() mutable {
    handler->OnRelay(std::move(batch), [call](const Result<jobs::RelayAck>& a) {
      if (!a) {
        call->Refuse(Refusal(a.error()));
        return;
      }
      call->Answer([&](peer::jobs::RelayAck* out) {
        out->set_clock_us(a.value().clock.count());
      });
    });
  });
  return call.get();
}

grpc::ServerUnaryReactor* JobService::ReturnResults(
    grpc::CallbackServerContext* context,
    const peer::jobs::RelayedResults* request, peer::jobs::Empty* /*reply*/) {
  jobs::RelayedResults results = FromWire(*request);
  results.received_at = this->executor->Now();
  this->executor->Post(
      [handler = this->handler, results = std::move(results)]() mutable {
        handler->OnResults(std::move(results));
      });
  return Acknowledge(context);
}

grpc::ServerUnaryReactor* JobService::QueryProcess(
    grpc::CallbackServerContext* /*context*/,
    const peer::jobs::Empty* /*request*/, peer::jobs::ProcessState* reply) {
  const auto call = MakeCall(reply);
  this->executor->Post([handler = this->handler, call] {
    handler->OnQueryProcess([call](const Result<jobs::ProcessState>& state) {
      if (!state) {
        call->Refuse(Refusal(state.error()));
        return;
      }
      call->Answer(
          [&](peer::jobs::ProcessState* out) { Encode(state.value(), out); });
    });
  });
  return call.get();
}

}  // namespace mustardproxy::peer_detail
