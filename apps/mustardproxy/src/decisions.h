#ifndef MUSTARDPROXY_APP_DECISIONS_H_
#define MUSTARDPROXY_APP_DECISIONS_H_

#include "mustardproxy/core/core.h"

namespace mustardproxy {

/// What the control thread drives: the core, or a fake in tests. Not
/// thread-safe.
class Decisions {
 public:
  Decisions() = default;
  Decisions(const Decisions&) = delete;
  Decisions& operator=(const Decisions&) = delete;
  virtual ~Decisions() = default;

  virtual void Handle(Instant now, Event event, Actions* actions) = 0;
  [[nodiscard]] virtual Instant NextWakeup() const = 0;
  [[nodiscard]] virtual CoreStatus Status(Instant now) const = 0;
  [[nodiscard]] virtual const Configuration& ConfigurationInForce() const = 0;
};

/// The real decisions.
class CoreDecisions final : public Decisions {
 public:
  explicit CoreDecisions(CoreOptions options) : core(std::move(options)) {}

  void Handle(Instant now, Event event, Actions* actions) override {
    this->core.Handle(now, std::move(event), actions);
  }
  [[nodiscard]] Instant NextWakeup() const override {
    return this->core.NextWakeup();
  }
  [[nodiscard]] CoreStatus Status(Instant now) const override {
    return this->core.Status(now);
  }
  [[nodiscard]] const Configuration& ConfigurationInForce() const override {
    return this->core.ConfigurationInForce();
  }

 private:
  Core core;
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_APP_DECISIONS_H_
