#include "mustardproxy/core/core.h"

#include <utility>
#include <variant>

#include "lifecycle/parts.h"

namespace mustardproxy {
namespace {

using detail::Parts;

void Dispatch(Parts* /*parts*/, const Tick& /*event*/) {}
void Dispatch(Parts* parts, const RequestArrived& event) {
  parts->requests.On(event);
}
void Dispatch(Parts* parts, const CancelRequested& event) {
  parts->requests.On(event);
}
void Dispatch(Parts* parts, const QueryArrived& event) {
  parts->queries.On(event);
}
void Dispatch(Parts* parts, const QueryAnswered& event) {
  const bool taken = parts->forwarding.OnQueryAnswered(event) ||
                     parts->orphan_gangs.OnQueryAnswered(event) ||
                     parts->consent.OnQueryAnswered(event);
  if (!taken) {
    parts->queries.On(event);
  }
}
void Dispatch(Parts* parts, const ForwardAnswered& event) {
  parts->forwarding.On(event);
}
void Dispatch(Parts* parts, const ForwardFailed& event) {
  parts->forwarding.On(event);
}
void Dispatch(Parts* parts, const WorkerAttached& event) {
  parts->workers.On(event);
}
void Dispatch(Parts* parts, const WorkerRefused& event) {
  parts->workers.On(event);
}
void Dispatch(Parts* parts, const WorkerRenewed& event) {
  parts->workers.On(event);
}
void Dispatch(Parts* parts, const WorkerUnreachable& event) {
  parts->workers.On(event);
}
void Dispatch(Parts* parts, const WorkerReleased& event) {
  parts->workers.On(event);
}
void Dispatch(Parts* parts, const TaskStarted& event) {
  parts->tasks.On(event);
}
void Dispatch(Parts* parts, const TaskEnded& event) { parts->tasks.On(event); }
void Dispatch(Parts* parts, const TaskNotStarted& event) {
  parts->tasks.On(event);
}
void Dispatch(Parts* parts, const TaskUncertain& event) {
  parts->tasks.On(event);
}
void Dispatch(Parts* parts, const TaskQueried& event) {
  parts->tasks.On(event);
}
void Dispatch(Parts* parts, const TaskStopAnswered& event) {
  parts->tasks.On(event);
}
void Dispatch(Parts* parts, const DigestArrived& event) {
  const bool joined =
      parts->membership.OnDigest(parts->context.now, event.digest);
  if (joined) {
    parts->context.Record(
        detail::PeerEvent(TimelineKind::kPeerJoined, event.digest.process));
  }
  if (event.digest.stopping) {
    parts->adoption.ScheduleList();
  }
}
void Dispatch(Parts* parts, const PeerUnreachable& event) {
  parts->membership.OnUnreachable(parts->context.now, event.peer);
}
void Dispatch(Parts* parts, const HostListArrived& event) {
  parts->workers.On(event);
}
void Dispatch(Parts* parts, const ConfigurationArrived& event) {
  parts->configuration.On(event);
}
void Dispatch(Parts* parts, const JournalAppended& event) {
  parts->journals.On(event);
}
void Dispatch(Parts* parts, const JournalFenced& event) {
  parts->journals.On(event);
}
void Dispatch(Parts* parts, const JournalUncertain& event) {
  parts->journals.On(event);
}
void Dispatch(Parts* parts, const JournalsListed& event) {
  parts->adoption.On(event);
}
void Dispatch(Parts* parts, const JournalRead& event) {
  parts->adoption.On(event);
}
void Dispatch(Parts* parts, const KeyClaimed& event) {
  parts->claims.On(event);
}
void Dispatch(Parts* parts, const KeyTaken& event) { parts->claims.On(event); }
void Dispatch(Parts* parts, const KeyUnavailable& event) {
  parts->claims.On(event);
}
void Dispatch(Parts* parts, const PlatformReachability& event) {
  if (parts->context.platform_reachable == event.reachable) {
    return;
  }
  parts->context.platform_reachable = event.reachable;
  parts->context.Record(detail::TextEvent(event.reachable
                                              ? TimelineKind::kPlatformBack
                                              : TimelineKind::kPlatformLost,
                                          ""));
  if (event.reachable) {
    parts->claims.OnPlatformBack();
    parts->deferred.QueueParked();
    parts->adoption.ScheduleList();
  } else {
    parts->deferred.ParkAll();
  }
}
void Dispatch(Parts* parts, const ShutdownRequested& /*event*/) {
  parts->shutdown.Begin();
}

}  // namespace

struct Core::State {
  explicit State(CoreOptions options) : parts(std::move(options)) {}
  Parts parts;
  bool booted = false;
};

Core::Core(CoreOptions options)
    : state(std::make_unique<State>(std::move(options))) {}
Core::~Core() = default;
Core::Core(Core&&) noexcept = default;
Core& Core::operator=(Core&&) noexcept = default;

void Core::Handle(Instant now, Event event, Actions* actions) {
  Parts& parts = this->state->parts;
  parts.context.now = now;
  parts.context.actions = actions;
  if (!this->state->booted) {
    this->state->booted = true;
    parts.Boot();
  }
  std::visit([&](const auto& typed) { Dispatch(&parts, typed); }, event);
  parts.Advance();
  parts.context.actions = nullptr;
}

Instant Core::NextWakeup() const { return this->state->parts.NextWakeup(); }

CoreStatus Core::Status(Instant /*now*/) const {
  const Parts& parts = this->state->parts;
  const detail::CoreContext& context = parts.context;
  CoreStatus status;
  status.process = context.options.self.process;
  status.digest = parts.OwnDigest();
  status.data_center = context.options.self.data_center;
  status.incarnation = context.options.incarnation;
  status.configuration_version = context.configuration.version;
  status.stopping = context.stopping;
  status.ready = context.configuration.version > 0 && !context.stopping;
  status.platform_reachable = context.platform_reachable;
  status.owned_workers = static_cast<std::int32_t>(parts.ledger.WorkerCount());
  status.known_workers = static_cast<std::int32_t>(parts.workers.KnownCount());
  for (const PeerDescription& peer : context.options.peers) {
    const bool other = peer.process != context.options.self.process;
    status.live_peers += other && parts.membership.Alive(peer.process) ? 1 : 0;
  }
  status.queued = static_cast<std::int32_t>(parts.scheduler.QueuedCount());
  status.running = static_cast<std::int32_t>(parts.scheduler.RunningCount());
  status.requests = static_cast<std::int32_t>(parts.table.Size());
  status.deferred = static_cast<std::int32_t>(parts.deferred.Size());
  status.capacity = parts.ledger.TotalCapacity();
  status.free = parts.ledger.TotalFree();
  status.journals = parts.journals.Names();
  return status;
}

const Configuration& Core::ConfigurationInForce() const {
  return this->state->parts.context.configuration;
}

}  // namespace mustardproxy
