#ifndef MUSTARDPROXY_FAULT_MATRIX_NETWORK_H_
#define MUSTARDPROXY_FAULT_MATRIX_NETWORK_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "faults.h"
#include "node.h"
#include "simulation.h"

namespace mustardproxy::fault_matrix {

/// Callers are never cut off together with a data centre.
inline constexpr std::string_view kCallersName = "callers";

/// Hands what the caller does with the answer back to it.
using Respond = std::function<void(std::function<void()>)>;

/// A call from one node to another.
struct Call {
  Node* from = nullptr;
  Node* to = nullptr;
  Step step = Step::kArrival;
  Duration timeout = std::chrono::milliseconds(800);
  /// Done at the receiver.
  std::function<void(Respond)> work;
  /// The receiver provably got nothing; `lost` if not set.
  std::function<void()> not_sent;
  /// No answer came.
  std::function<void()> lost;
};

/// What faults do to nodes beside the call that they strike.
class FaultEffects {
 public:
  FaultEffects() = default;
  FaultEffects(const FaultEffects&) = delete;
  FaultEffects& operator=(const FaultEffects&) = delete;
  virtual ~FaultEffects() = default;
  /// Effects on the whole cell: platform, workers, callers, operators.
  /// @return false if there was nothing that it could have an effect on
  virtual bool Apply(const PlannedFault& fault, const Call& call) = 0;
};

/// Carries calls with delays, cuts and the faults of the plan.
class Network {
 public:
  Network(Simulation* simulation, FaultPlan* plan, FaultEffects* effects)
      : simulation(simulation), plan(plan), effects(effects) {}

  void Send(Call call);
  /// A step at which no message travels is reached between the two ends.
  void Reach(const Call& call);
  void CutLink(const std::string& a, const std::string& b, Duration lasting);
  void CutNode(const std::string& name, Duration lasting);
  /// Cuts the nodes named off from all others but callers.
  void CutGroup(std::set<std::string> names, Duration lasting);
  /// Ends all cuts.
  void Heal();
  [[nodiscard]] bool Cut(const Node& a, const Node& b) const {
    return this->IsCut(a, b);
  }
  /// @return messages that will arrive after their sender has given up
  [[nodiscard]] std::int32_t LateMessages() const { return this->late; }

 private:
  struct Flight;
  struct Link {
    std::string a;
    std::string b;
    friend bool operator<(const Link& x, const Link& y) {
      return std::tie(x.a, x.b) < std::tie(y.a, y.b);
    }
  };
  struct Group {
    std::set<std::string> names;
    Instant until;
  };
  /// What the fault of a call does to its messages.
  struct Mishap {
    /// Told when it has had its effect.
    PlannedFault* fault = nullptr;
    bool not_sent = false;
    bool lose_request = false;
    bool lose_reply = false;
    bool late_request = false;
    bool late_reply = false;
    bool twice = false;
    bool kill_sender = false;
    bool pause_receiver = false;
    bool kill_receiver = false;
    bool kill_receiver_after = false;
    Duration lasting{0};
  };

  [[nodiscard]] bool IsCut(const Node& a, const Node& b) const;
  [[nodiscard]] bool IsSilenced(const Flight& flight) const;
  [[nodiscard]] Mishap Strike(PlannedFault* fault, const Call& call);
  void StrikeAll(PlannedFault* fault, const Call& call);
  void Transmit(const Call& call, const Mishap& mishap);
  void Arrive(const std::shared_ptr<Flight>& flight);
  void Reply(const std::shared_ptr<Flight>& flight,
             std::function<void()> at_caller);
  void Lose(const std::shared_ptr<Flight>& flight);
  void NotSent(const std::shared_ptr<Flight>& flight);
  Duration Latency();

  Simulation* simulation;
  FaultPlan* plan;
  FaultEffects* effects;
  std::int32_t late = 0;
  std::map<Link, Instant> cuts;
  std::map<std::string, Instant> isolated;
  std::vector<Group> groups;
  /// What was sent until then between two ends gets no answer.
  std::map<Link, Instant> silenced;
};

}  // namespace mustardproxy::fault_matrix

#endif  // MUSTARDPROXY_FAULT_MATRIX_NETWORK_H_
