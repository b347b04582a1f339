#include "entry_process.h"

#include <algorithm>
#include <iostream>
#include <utility>
#include <variant>

namespace mustardproxy::fault_matrix {
namespace {

constexpr Duration kControlTimeout = std::chrono::milliseconds(800);
constexpr Duration kPlatformTimeout = std::chrono::seconds(2);
constexpr Duration kProbeInterval = std::chrono::milliseconds(500);
constexpr Duration kSettlePause = std::chrono::seconds(1);
constexpr std::int32_t kSettleTries = 5;
constexpr Duration kAnyOffset = std::chrono::hours(1);
/// A start to a leaving worker is allowed for this long after the process
/// learnt of it.
constexpr Duration kLeavingGrace = std::chrono::seconds(2);
constexpr Duration kHeartbeatTimeout = std::chrono::milliseconds(400);
constexpr std::int32_t kAcceptedStatus = 202;
constexpr Duration kShortestStep = std::chrono::microseconds(100);

Step StepOf(const JournalBatch& batch) {
  if (batch.records.empty()) {
    return Step::kAppendEnded;
  }
  const JournalRecord& first = batch.records.front();
  if (std::holds_alternative<AcceptedRecord>(first)) {
    return Step::kAppendAccepted;
  }
  if (std::holds_alternative<StartedRecord>(first)) {
    return Step::kAppendStarted;
  }
  if (std::holds_alternative<AdoptedRecord>(first)) {
    return Step::kAppendAdopted;
  }
  if (std::holds_alternative<HandedOverRecord>(first)) {
    return Step::kAppendHandedOver;
  }
  return Step::kAppendEnded;
}

}  // namespace

RequestId EntryProcess::NewRequestId() {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string hex;
  for (Incarnation left = this->options.incarnation; left > 0; left >>= 4U) {
    hex.insert(hex.begin(), kDigits[left & 0xfU]);
  }
  std::string text = this->Name();
  text.append(1, '.').append(hex).append(1, '.');
  text.append(std::to_string(++this->last_request));
  return RequestId(std::move(text));
}

Instant EntryProcess::Local() const {
  return this->simulation->Now() + this->clock_offset;
}

void EntryProcess::OnStarted() {
  this->clock_offset = this->simulation->Draw(Duration{0}, kAnyOffset);
  this->options.incarnation =
      static_cast<Incarnation>(this->simulation->Draw(1, INT32_MAX));
  this->options.seed =
      static_cast<std::uint64_t>(this->simulation->Draw(1, INT32_MAX));
  this->options.workers = this->around->platform->hosts;
  this->core = std::make_unique<Core>(this->options);
  this->platform_reachable = true;
  this->watches = false;
  this->last_request = 0;
  this->leaving_since.clear();
  this->Handle(Tick{});
}

void EntryProcess::OnKilled() {
  this->core.reset();
  this->own_digest.reset();
  this->forwarded.clear();
  this->peer_queries.clear();
  this->around->promises->OnEntryGone(this->Id());
}

void EntryProcess::Deliver(Event event) {
  this->Receive([this, event = std::move(event)] { this->Handle(event); });
}

void EntryProcess::Handle(Event event) {
  if (this->core == nullptr) {
    return;
  }
  if (const auto* list = std::get_if<HostListArrived>(&event)) {
    for (const WorkerDescription& worker : list->workers) {
      if (worker.leaving) {
        this->leaving_since.emplace(worker.id, this->simulation->Now());
      }
    }
  }
  Actions actions;
  this->core->Handle(this->Local(), std::move(event), &actions);
  const std::string run = this->Name() + "/" + std::to_string(this->Run());
  this->around->promises->OnConfiguration(
      run, this->core->ConfigurationInForce().version);
  const std::uint64_t this_run = this->Run();
  for (const Action& action : actions) {
    // A pause or kill that strikes at one action holds up all that follow.
    if (this->Run() == this_run) {
      this->Receive([this, action] { this->Perform(action); });
    }
  }
  this->Wake();
}

void EntryProcess::Wake() {
  if (this->core == nullptr) {
    return;
  }
  const std::uint64_t order = ++this->wake_order;
  const Instant due = this->core->NextWakeup();
  if (due == Instant::max()) {
    return;
  }
  const Instant at = std::max(due - this->clock_offset,
                              this->simulation->Now() + kShortestStep);
  this->simulation->At(at, [this, order] {
    this->Receive([this, order] {
      if (order == this->wake_order) {
        this->Handle(Tick{});
      }
    });
  });
}

void EntryProcess::Perform(const Action& action) {
  std::visit([this](const auto& typed) { this->Do(typed); }, action);
}

void EntryProcess::Do(const Reply& action) {
  const auto waiting = this->forwarded.find(action.request);
  if (waiting == this->forwarded.end()) {
    this->around->on_answer(action.request, action.answer);
    return;
  }
  const auto all = std::move(waiting->second);
  this->forwarded.erase(waiting);
  for (const auto& answer : all) {
    answer(ForwardAnswered{action.request, this->Id(), action.answer});
  }
}

void EntryProcess::Do(const ReplyAccepted& action) {
  const auto waiting = this->forwarded.find(action.request);
  if (waiting == this->forwarded.end()) {
    this->around->on_accepted(action.request);
    return;
  }
  Answer accepted;
  accepted.outcome = Outcome::kCompleted;
  accepted.status = kAcceptedStatus;
  const auto all = std::move(waiting->second);
  this->forwarded.erase(waiting);
  for (const auto& answer : all) {
    answer(ForwardAnswered{action.request, this->Id(), accepted});
  }
}

void EntryProcess::Do(const AnswerQuery& action) {
  const auto waiting = this->peer_queries.find(action.query);
  if (waiting == this->peer_queries.end()) {
    this->around->on_query_answer(action.query, action.status);
    return;
  }
  waiting->second(action.status);
  this->peer_queries.erase(waiting);
}

void EntryProcess::Do(const AskPeer& action) {
  const auto found = this->around->processes.find(action.peer);
  if (found == this->around->processes.end()) {
    this->Deliver(QueryAnswered{action.query, std::nullopt});
    return;
  }
  EntryProcess* peer = found->second;
  Call call;
  call.from = this;
  call.to = peer;
  call.step = Step::kAskPeer;
  call.timeout = std::chrono::seconds(6);
  call.work = [this, peer, action](const Respond& respond) {
    const std::uint64_t query = ++peer->last_peer_query;
    peer->peer_queries[query] =
        [this, action, respond](const std::optional<DeferredStatus>& status) {
          respond([this, action, status] {
            this->Handle(QueryAnswered{action.query, status});
          });
        };
    QueryArrived arrived;
    arrived.query = query;
    arrived.request = action.request;
    arrived.from_peer = true;
    arrived.cancel = action.cancel;
    arrived.stop_orphans = action.stop_orphans;
    peer->Handle(arrived);
  };
  call.lost = [this, action] {
    this->Handle(QueryAnswered{action.query, std::nullopt});
  };
  this->around->network->Send(std::move(call));
}

void EntryProcess::Do(const ForwardRequest& action) {
  EntryProcess* peer = this->around->processes.at(action.peer);
  const RequestId id = action.request.id;
  const ProcessId peer_id = action.peer;
  Call call;
  call.from = this;
  call.to = peer;
  call.step = Step::kForward;
  call.timeout = action.request.timeout + std::chrono::milliseconds(200);
  call.work = [this, peer, action](const Respond& respond) {
    peer->forwarded[action.request.id].push_back(
        [this, respond](const Event& event) {
          respond([this, event] { this->Handle(event); });
        });
    peer->Handle(RequestArrived{action.request});
  };
  call.not_sent = [this, id, peer_id] {
    this->Handle(ForwardFailed{id, peer_id, true});
  };
  call.lost = [this, id, peer_id] {
    this->Handle(ForwardFailed{id, peer_id, false});
  };
  this->around->network->Send(std::move(call));
}

void EntryProcess::Do(const ForwardCancel& action) {
  EntryProcess* peer = this->around->processes.at(action.peer);
  Call call;
  call.from = this;
  call.to = peer;
  call.step = Step::kAskPeer;
  call.work = [peer, action](const Respond& /*respond*/) {
    peer->Handle(CancelRequested{action.request});
  };
  this->around->network->Send(std::move(call));
}

void EntryProcess::CallWorker(const WorkerId& worker, Step step,
                              std::function<Event(ModelWorker*)> work,
                              Event lost) {
  ModelWorker* model = this->around->workers.at(worker);
  Call call;
  call.from = this;
  call.to = model;
  call.step = step;
  call.timeout = kControlTimeout;
  call.work = [this, model, work = std::move(work)](const Respond& respond) {
    respond([this, event = work(model)] { this->Handle(event); });
  };
  call.lost = [this, lost = std::move(lost)] { this->Handle(lost); };
  this->around->network->Send(std::move(call));
}

void EntryProcess::Do(const AttachWorker& action) {
  this->CallWorker(
      action.worker, Step::kAttach,
      [this, action,
       process_run = this->options.incarnation](ModelWorker* worker) {
        return worker->Attach(action, this->Id(), process_run);
      },
      WorkerUnreachable{action.worker, action.epoch});
}

void EntryProcess::Do(const RenewWorker& action) {
  this->CallWorker(
      action.worker, Step::kRenew,
      [action](ModelWorker* worker) { return worker->Renew(action); },
      WorkerUnreachable{action.worker, action.epoch});
}

void EntryProcess::Do(const ReleaseWorker& action) {
  this->CallWorker(
      action.worker, Step::kRelease,
      [action](ModelWorker* worker) { return worker->Release(action); },
      WorkerUnreachable{action.worker, action.epoch});
}

void EntryProcess::Do(const StopTask& action) {
  this->CallWorker(
      action.worker, Step::kStop,
      [action](ModelWorker* worker) { return worker->Stop(action); },
      WorkerUnreachable{action.worker, action.epoch});
}

void EntryProcess::Do(const QueryTask& action) {
  TaskQueried unreachable;
  unreachable.worker = action.worker;
  unreachable.task = action.task;
  this->CallWorker(
      action.worker, Step::kQueryTask,
      [action](ModelWorker* worker) { return worker->Query(action); },
      unreachable);
}

void EntryProcess::Do(const StartTask& action) {
  ModelWorker* worker = this->around->workers.at(action.worker);
  const auto leaving = this->leaving_since.find(action.worker);
  if (leaving != this->leaving_since.end() &&
      this->simulation->Now() - leaving->second > kLeavingGrace) {
    this->around->promises->OnStartAtLeaving(action.worker);
  }
  const TaskId task = action.order.task;
  Call call;
  call.from = this;
  call.to = worker;
  call.step =
      action.order.detached ? Step::kStartDetached : Step::kStartAttached;
  call.timeout = action.timeout;
  call.work = [this, worker, action](const Respond& respond) {
    worker->StartTaskHere(action, this->around->script(action.order.request),
                          [this, respond](const Event& event) {
                            respond([this, event] { this->Handle(event); });
                          });
  };
  call.not_sent = [this, id = action.worker, task] {
    this->Handle(TaskNotStarted{id, task, {}});
  };
  call.lost = [this, id = action.worker, task] {
    this->Handle(TaskUncertain{id, task, {}});
  };
  this->around->network->Send(std::move(call));
}

void EntryProcess::Do(const SendDigest& action) {
  this->own_digest = action.digest;
  const auto found = this->around->processes.find(action.peer);
  if (found == this->around->processes.end()) {
    return;
  }
  EntryProcess* peer = found->second;
  Call call;
  call.from = this;
  call.to = peer;
  call.step = Step::kHeartbeat;
  call.timeout = kHeartbeatTimeout;
  call.work = [this, peer, action](const Respond& respond) {
    peer->Handle(DigestArrived{action.digest});
    if (peer->own_digest) {
      respond([this, digest = *peer->own_digest] {
        this->Handle(DigestArrived{digest});
      });
    }
  };
  call.lost = [this, id = action.peer] { this->Handle(PeerUnreachable{id}); };
  this->around->network->Send(std::move(call));
}

void EntryProcess::Do(const FetchConfiguration& action) {
  EntryProcess* peer = this->around->processes.at(action.peer);
  Call call;
  call.from = this;
  call.to = peer;
  call.step = Step::kFetchConfiguration;
  call.work = [this, peer](const Respond& respond) {
    if (peer->core == nullptr) {
      return;
    }
    respond([this, configuration = peer->core->ConfigurationInForce()] {
      this->Handle(ConfigurationArrived{configuration});
    });
  };
  this->around->network->Send(std::move(call));
}

void EntryProcess::Do(const RecordEvent& action) {
  if (!this->around->trace) {
    return;
  }
  const TimelineEvent& event = action.event;
  std::cout << this->simulation->Now().time_since_epoch().count() / 1000
            << " ms " << this->Name() << " event "
            << static_cast<int>(event.kind) << " " << event.request << " "
            << event.task << " " << event.worker << " " << event.peer << " "
            << event.epoch << " " << event.detail << "\n";
}

void EntryProcess::Do(const WatchConfiguration& action) {
  const bool begins = action.watch && !this->watches;
  this->watches = action.watch;
  if (begins) {
    this->CallPlatform(
        Step::kConfigurationChange,
        [this](const Respond& respond) {
          respond([this, now = this->around->platform->configuration] {
            this->Handle(ConfigurationArrived{now});
          });
        },
        [] {});
  }
}

void EntryProcess::Do(const ShutdownFinished& /*action*/) {
  this->around->promises->OnGracefulEnd(this->Id());
  this->End();
  this->simulation->After(std::chrono::seconds(1), [this] {
    if (!this->Alive()) {
      this->Begin();
    }
  });
}

void EntryProcess::CallPlatform(Step step, std::function<void(Respond)> work,
                                std::function<void()> lost) {
  ModelPlatform* platform = this->around->platform;
  Call call;
  call.from = this;
  call.to = platform;
  call.step = step;
  call.timeout = kPlatformTimeout;
  call.work = [this, platform, work = std::move(work)](const Respond& respond) {
    if (!platform->Answers()) {
      return;
    }
    const Respond fitting = [this, platform,
                             respond](const std::function<void()>& at_caller) {
      if (platform->LosesReplies()) {
        return;
      }
      respond([this, at_caller] {
        at_caller();
        this->NotePlatform(true);
      });
    };
    this->simulation->After(platform->Delay(),
                            [work, fitting] { work(fitting); });
  };
  call.lost = [this, lost = std::move(lost)] {
    lost();
    this->NotePlatform(false);
  };
  this->around->network->Send(std::move(call));
}

void EntryProcess::NotePlatform(bool reachable) {
  if (this->platform_reachable == reachable) {
    return;
  }
  this->platform_reachable = reachable;
  this->Handle(PlatformReachability{reachable});
  if (!reachable) {
    this->Probe();
  }
}

void EntryProcess::Probe() {
  this->simulation->After(kProbeInterval, [this, run = this->Run()] {
    if (this->Run() != run || this->platform_reachable) {
      return;
    }
    this->Receive([this] {
      this->CallPlatform(
          Step::kReadJournal, [](const Respond& respond) { respond([] {}); },
          [] {});
      this->Probe();
    });
  });
}

void EntryProcess::Do(const AppendJournal& action) {
  const JournalBatch batch = action.batch;
  ModelPlatform* platform = this->around->platform;
  this->CallPlatform(
      StepOf(batch),
      [this, platform, batch](const Respond& respond) {
        const bool ours = platform->Append(batch);
        respond([this, batch, ours] {
          if (ours) {
            this->Handle(JournalAppended{batch.journal, batch.sequence});
          } else {
            this->Handle(JournalFenced{batch.journal, batch.sequence});
          }
        });
      },
      [this, batch] { this->ReadBack(batch); });
}

void EntryProcess::ReadBack(const JournalBatch& batch) {
  ModelPlatform* platform = this->around->platform;
  const JournalId journal = batch.journal;
  const std::uint64_t sequence = batch.sequence;
  this->CallPlatform(
      Step::kReadJournal,
      [this, platform, batch](const Respond& respond) {
        const auto there = platform->BatchAt(batch.journal, batch.sequence);
        respond([this, batch, there] {
          if (!there) {
            this->Handle(JournalUncertain{batch.journal, batch.sequence});
          } else if (*there == batch.batch_id) {
            this->Handle(JournalAppended{batch.journal, batch.sequence});
          } else {
            this->Handle(JournalFenced{batch.journal, batch.sequence});
          }
        });
      },
      [this, journal, sequence] {
        this->Handle(JournalUncertain{journal, sequence});
      });
}

void EntryProcess::Do(const ListJournals& /*action*/) {
  this->CallPlatform(
      Step::kReadJournal,
      [this](const Respond& respond) {
        respond([this, names = this->around->platform->Journals()] {
          this->Handle(JournalsListed{names});
        });
      },
      [] {});
}

void EntryProcess::Do(const ReadJournal& action) {
  this->CallPlatform(
      Step::kReadJournal,
      [this, action](const Respond& respond) {
        const auto batches = this->around->platform->Read(action.journal);
        respond([this, action, batches] {
          this->Handle(JournalRead{action.journal, batches});
        });
      },
      [] {});
}

void EntryProcess::Do(const TrimJournal& action) {
  this->CallPlatform(
      Step::kReadJournal,
      [this, action](const Respond& /*respond*/) {
        this->around->platform->Trim(action);
      },
      [] {});
}

void EntryProcess::Do(const ClaimKey& action) {
  const RequestId request = action.request;
  this->CallPlatform(
      Step::kClaimKey,
      [this, action](const Respond& respond) {
        const KeyClaim claim = this->around->platform->Claim(action);
        respond([this, action, claim] {
          if (claim.request == action.request) {
            this->Handle(KeyClaimed{action.request});
          } else {
            this->Handle(KeyTaken{action.request, claim});
          }
        });
      },
      [this, request] {
        this->Handle(KeyUnavailable{request, true});
      });
}

void EntryProcess::Do(const SettleKey& action) {
  this->SettleWithRetries(action, kSettleTries);
}

void EntryProcess::SettleWithRetries(const SettleKey& action,
                                     std::int32_t tries) {
  this->CallPlatform(
      Step::kSettleKey,
      [this, action](const Respond& respond) {
        this->around->platform->Settle(action);
        respond([] {});
      },
      [this, action, tries] {
        if (tries <= 1) {
          return;
        }
        this->simulation->After(
            kSettlePause, [this, action, tries, run = this->Run()] {
              if (this->Run() == run) {
                this->Receive([this, action, tries] {
                  this->SettleWithRetries(action, tries - 1);
                });
              }
            });
      });
}

}  // namespace mustardproxy::fault_matrix
