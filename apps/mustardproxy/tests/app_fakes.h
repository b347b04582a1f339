#ifndef MUSTARDPROXY_APP_TESTS_APP_FAKES_H_
#define MUSTARDPROXY_APP_TESTS_APP_FAKES_H_

#include <condition_variable>
#include <functional>
#include <mutex>
#include <utility>
#include <vector>

#include "decisions.h"
#include "performer.h"

namespace mustardproxy::testing {

inline constexpr std::chrono::seconds kGenerousLimit(20);

/// Keeps the events it is given and answers as told.
class FakeDecisions final : public Decisions {
 public:
  using Behaviour = std::function<void(const Event&, Actions*)>;

  void Handle(Instant /*now*/, Event event, Actions* actions) override {
    if (this->behaviour) this->behaviour(event, actions);
    std::lock_guard lock(this->mutex);
    this->seen.push_back(std::move(event));
    this->changed.notify_all();
  }
  [[nodiscard]] Instant NextWakeup() const override {
    return this->wakeup ? this->wakeup() : Instant::max();
  }
  [[nodiscard]] CoreStatus Status(Instant /*now*/) const override {
    return this->status;
  }
  [[nodiscard]] const Configuration& ConfigurationInForce() const override {
    return this->configuration;
  }

  /// Waits until `count` events have come.
  std::vector<Event> WaitFor(std::size_t count) {
    std::unique_lock lock(this->mutex);
    this->changed.wait_for(lock, kGenerousLimit,
                           [&] { return this->seen.size() >= count; });
    return this->seen;
  }

  // Set before the loop starts, or by the behaviour on the control thread.
  Behaviour behaviour;
  std::function<Instant()> wakeup;
  CoreStatus status;
  Configuration configuration;

 private:
  std::mutex mutex;
  std::condition_variable changed;
  std::vector<Event> seen;
};

/// Keeps what it is to perform.
class FakePerformer final : public Performer {
 public:
  void Perform(const Actions& actions) override {
    std::lock_guard lock(this->mutex);
    for (const Action& action : actions) this->performed.push_back(action);
    this->changed.notify_all();
  }
  void OnConfiguration(const Configuration& configuration) override {
    std::lock_guard lock(this->mutex);
    this->versions.push_back(configuration.version);
  }
  void OnDigest(const Digest& digest) override {
    std::lock_guard lock(this->mutex);
    this->owned_workers = digest.owned_workers;
    this->changed.notify_all();
  }
  void Refuse(const Action& answer) override {
    std::lock_guard lock(this->mutex);
    this->refused.push_back(answer);
  }

  std::vector<Action> WaitForActions(std::size_t count) {
    std::unique_lock lock(this->mutex);
    this->changed.wait_for(lock, kGenerousLimit,
                           [&] { return this->performed.size() >= count; });
    return this->performed;
  }
  /// @return true once a digest with that many owned workers was published
  bool WaitForOwnedWorkers(std::int32_t count) {
    std::unique_lock lock(this->mutex);
    return this->changed.wait_for(lock, kGenerousLimit,
                                  [&] { return this->owned_workers == count; });
  }
  std::vector<Action> Refused() {
    std::lock_guard lock(this->mutex);
    return this->refused;
  }
  std::vector<ConfigurationVersion> Versions() {
    std::lock_guard lock(this->mutex);
    return this->versions;
  }

 private:
  std::mutex mutex;
  std::condition_variable changed;
  std::vector<Action> performed;
  std::vector<Action> refused;
  std::vector<ConfigurationVersion> versions;
  std::int32_t owned_workers = 0;
};

}  // namespace mustardproxy::testing

#endif  // MUSTARDPROXY_APP_TESTS_APP_FAKES_H_
