#include "network.h"

#include <algorithm>
#include <utility>

namespace mustardproxy::fault_matrix {
namespace {

constexpr Duration kShortestTrip = std::chrono::microseconds(200);
constexpr Duration kLongestTrip = std::chrono::milliseconds(3);
/// A late message arrives this long after its sender has given up.
constexpr Duration kLateBy = std::chrono::milliseconds(300);
/// A dead receiver's host resets open connections, mostly.
constexpr double kResetChance = 0.7;

}  // namespace

struct Network::Flight {
  Call call;
  Mishap mishap;
  Instant sent;
  std::uint64_t caller_run = 0;
  bool done = false;
  std::shared_ptr<std::function<void()>> on_death;
};

Duration Network::Latency() {
  return this->simulation->Draw(kShortestTrip, kLongestTrip);
}

bool Network::IsCut(const Node& a, const Node& b) const {
  const Instant now = this->simulation->Now();
  const auto in_force = [now](const auto& cuts, const auto& key) {
    const auto found = cuts.find(key);
    return found != cuts.end() && now < found->second;
  };
  const auto& [low, high] = std::minmax(a.Name(), b.Name());
  const bool callers = a.Name() == kCallersName || b.Name() == kCallersName;
  const bool group =
      !callers && std::ranges::any_of(this->groups, [&](const Group& each) {
        const bool across =
            each.names.contains(a.Name()) != each.names.contains(b.Name());
        return across && now < each.until;
      });
  return group || in_force(this->cuts, Link{low, high}) ||
         in_force(this->isolated, a.Name()) ||
         in_force(this->isolated, b.Name());
}

bool Network::IsSilenced(const Flight& flight) const {
  const auto& [low, high] =
      std::minmax(flight.call.from->Name(), flight.call.to->Name());
  const auto found = this->silenced.find(Link{low, high});
  return found != this->silenced.end() && flight.sent <= found->second;
}

void Network::CutLink(const std::string& a, const std::string& b,
                      Duration lasting) {
  const auto& [low, high] = std::minmax(a, b);
  this->cuts[Link{low, high}] = this->simulation->Now() + lasting;
}

void Network::CutNode(const std::string& name, Duration lasting) {
  this->isolated[name] = this->simulation->Now() + lasting;
}

void Network::CutGroup(std::set<std::string> names, Duration lasting) {
  this->groups.push_back({std::move(names), this->simulation->Now() + lasting});
}

void Network::Heal() {
  this->cuts.clear();
  this->isolated.clear();
  this->groups.clear();
}

void Network::Send(Call call) {
  PlannedFault* fault = this->plan->Reach(call.step);
  if (fault == nullptr) {
    this->Transmit(call, {});
    return;
  }
  if (fault->fault == Fault::kSenderKilled) {
    this->StrikeAll(fault, call);
    return;
  }
  const Mishap mishap = this->Strike(fault, call);
  if (call.from->Paused()) {
    // What was decided before the pause is sent after it.
    call.from->Receive([this, call, mishap] { this->Transmit(call, mishap); });
    return;
  }
  this->Transmit(call, mishap);
  if (mishap.kill_sender) {
    call.from->Kill(fault->lasting);
  }
}

void Network::Reach(const Call& call) {
  PlannedFault* fault = this->plan->Reach(call.step);
  if (fault != nullptr) {
    this->StrikeAll(fault, call);
  }
}

void Network::StrikeAll(PlannedFault* fault, const Call& call) {
  fault->begun = true;
  fault->struck = true;
  switch (fault->fault) {
    case Fault::kSenderKilled:
      call.from->Kill(fault->lasting);
      return;
    case Fault::kSenderPaused:
      call.from->Pause(fault->lasting);
      return;
    case Fault::kReceiverKilled:
      call.to->Kill(fault->lasting);
      return;
    case Fault::kReceiverPaused:
      call.to->Pause(fault->lasting);
      return;
    case Fault::kLinkCut:
      this->CutLink(call.from->Name(), call.to->Name(), fault->lasting);
      return;
    case Fault::kSenderCut:
      this->CutNode(call.from->Name(), fault->lasting);
      return;
    case Fault::kSilentConnection: {
      const auto& [low, high] = std::minmax(call.from->Name(), call.to->Name());
      this->silenced[Link{low, high}] = this->simulation->Now();
      return;
    }
    default:
      // The other faults of messages have nothing to strike: Apply says so.
      fault->struck = this->effects->Apply(*fault, call);
      fault->begun = fault->struck;
  }
}

Network::Mishap Network::Strike(PlannedFault* fault, const Call& call) {
  Mishap mishap;
  mishap.fault = fault;
  mishap.lasting = fault->lasting;
  fault->begun = true;
  switch (fault->fault) {
    case Fault::kNotSent:
      mishap.not_sent = true;
      fault->struck = true;
      break;
    case Fault::kRequestLost:
      mishap.lose_request = true;
      fault->struck = true;
      break;
    case Fault::kRequestLate:
      mishap.late_request = true;
      fault->struck = true;
      break;
    case Fault::kRequestTwice:
      mishap.twice = MayArriveTwice(call.step);
      fault->struck = mishap.twice;
      break;
    case Fault::kSenderKilledAfter:
      mishap.kill_sender = true;
      fault->struck = true;
      break;
    case Fault::kReplyLost:
      mishap.lose_reply = true;
      break;
    case Fault::kReplyLate:
      mishap.late_reply = true;
      break;
    case Fault::kReceiverPaused:
      mishap.pause_receiver = true;
      break;
    case Fault::kReceiverKilled:
      mishap.kill_receiver = true;
      break;
    case Fault::kReceiverKilledAfter:
      mishap.kill_receiver_after = true;
      break;
    default:
      this->StrikeAll(fault, call);
  }
  return mishap;
}

void Network::Transmit(const Call& call, const Mishap& mishap) {
  auto flight = std::make_shared<Flight>();
  flight->call = call;
  flight->mishap = mishap;
  flight->sent = this->simulation->Now();
  flight->caller_run = call.from->Run();
  const bool refused =
      mishap.not_sent || !call.to->Alive() ||
      (this->IsCut(*call.from, *call.to) && this->simulation->Chance(0.5));
  if (refused) {
    this->simulation->After(this->Latency(),
                            [this, flight] { this->NotSent(flight); });
    return;
  }
  this->simulation->After(call.timeout, [this, flight] { this->Lose(flight); });
  if (mishap.lose_request) {
    return;
  }
  const Duration trip =
      mishap.late_request ? call.timeout + kLateBy : this->Latency();
  this->late += mishap.late_request ? 1 : 0;
  this->simulation->After(trip, [this, flight] {
    this->late -= flight->mishap.late_request ? 1 : 0;
    this->Arrive(flight);
  });
  if (mishap.twice) {
    this->simulation->After(trip + this->Latency(),
                            [this, flight] { this->Arrive(flight); });
  }
}

void Network::Arrive(const std::shared_ptr<Flight>& flight) {
  const Call& call = flight->call;
  if (this->IsCut(*call.from, *call.to) || this->IsSilenced(*flight)) {
    return;
  }
  if (!call.to->Alive()) {
    this->simulation->After(this->Latency(),
                            [this, flight] { this->Lose(flight); });
    return;
  }
  if (flight->mishap.pause_receiver) {
    call.to->Pause(flight->mishap.lasting);
    flight->mishap.fault->struck = true;
  }
  if (flight->mishap.kill_receiver) {
    call.to->Kill(flight->mishap.lasting);
    flight->mishap.fault->struck = true;
    this->simulation->After(this->Latency(),
                            [this, flight] { this->Lose(flight); });
    return;
  }
  if (this->simulation->Chance(kResetChance)) {
    flight->on_death = std::make_shared<std::function<void()>>(
        [this, flight_seen = std::weak_ptr<Flight>(flight)] {
          const auto open = flight_seen.lock();
          if (open != nullptr) {
            this->simulation->After(this->Latency(),
                                    [this, open] { this->Lose(open); });
          }
        });
    call.to->WatchDeath(flight->on_death);
  }
  call.to->Receive([this, flight] {
    flight->call.work([this, flight](std::function<void()> at_caller) {
      this->Reply(flight, std::move(at_caller));
    });
    if (flight->mishap.kill_receiver_after) {
      flight->call.to->Kill(flight->mishap.lasting);
      flight->mishap.fault->struck = true;
    }
  });
}

void Network::Reply(const std::shared_ptr<Flight>& flight,
                    std::function<void()> at_caller) {
  const Call& call = flight->call;
  if (flight->mishap.lose_reply || flight->mishap.late_reply) {
    flight->mishap.fault->struck = true;
  }
  if (flight->mishap.lose_reply || this->IsCut(*call.from, *call.to) ||
      this->IsSilenced(*flight)) {
    return;
  }
  const Duration trip =
      flight->mishap.late_reply ? call.timeout + kLateBy : this->Latency();
  this->simulation->After(trip, [this, flight,
                                 at_caller = std::move(at_caller)] {
    const Call& back = flight->call;
    const bool stale = flight->done || back.from->Run() != flight->caller_run;
    if (stale || this->IsCut(*back.from, *back.to) ||
        this->IsSilenced(*flight)) {
      return;
    }
    flight->done = true;
    back.from->Receive(at_caller);
  });
}

void Network::Lose(const std::shared_ptr<Flight>& flight) {
  const Call& call = flight->call;
  if (flight->done || call.from->Run() != flight->caller_run) {
    return;
  }
  flight->done = true;
  if (call.lost) {
    call.from->Receive(call.lost);
  }
}

void Network::NotSent(const std::shared_ptr<Flight>& flight) {
  const Call& call = flight->call;
  if (flight->done || call.from->Run() != flight->caller_run) {
    return;
  }
  flight->done = true;
  if (call.not_sent) {
    call.from->Receive(call.not_sent);
  } else if (call.lost) {
    call.from->Receive(call.lost);
  }
}

}  // namespace mustardproxy::fault_matrix
