#include "control_loop.h"

#include <pthread.h>
#include <time.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "event_name.h"
#include "mustardproxy/core/error.h"
#include "mustardproxy/telemetry/clock.h"
#include "mustardproxy/telemetry/process_usage.h"

namespace mustardproxy {
namespace {

constexpr Duration kPublishInterval = std::chrono::milliseconds(100);
/// Least time between two ticks without an event between them, so that a
/// wake-up that lies in the past can not make the thread spin.
constexpr Duration kMinTickInterval = std::chrono::milliseconds(1);
constexpr Duration kRetryAfter = std::chrono::seconds(1);
constexpr double kNanosecondsPerSecond = 1e9;

double ThreadCpuSeconds() {
  timespec used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  return static_cast<double>(used.tv_sec) +
         static_cast<double>(used.tv_nsec) / kNanosecondsPerSecond;
}

Answer RefusalAnswer(Error error) {
  Answer answer;
  answer.error = error;
  answer.detail = "The request never reached the scheduler.";
  answer.retry_after = kRetryAfter;
  return answer;
}

}  // namespace

ControlLoop::ControlLoop(ControlLoopParts parts)
    : parts(parts),
      queue(parts.max_strangers),
      sampler(parts.metrics, parts.sample_interval) {}

ControlLoop::~ControlLoop() { this->Stop(); }

void ControlLoop::Start() {
  this->thread = std::thread([this] { this->Run(); });
}

void ControlLoop::Stop() {
  this->queue.Close();
  if (this->thread.joinable()) this->thread.join();
}

void ControlLoop::Post(Event event) {
  ControlQueue::Admission admission = this->queue.Push(&event);
  if (admission != ControlQueue::Admission::kTaken) {
    this->Refuse(event, admission);
  }
}

void ControlLoop::Refuse(const Event& event,
                         ControlQueue::Admission admission) {
  bool full = admission == ControlQueue::Admission::kFull;
  Error error = full ? Error::kTooManyConnections : Error::kShuttingDown;
  if (const auto* arrived = std::get_if<RequestArrived>(&event)) {
    this->parts.performer->Refuse(
        Reply{arrived->request.id, RefusalAnswer(error)});
  }
  if (const auto* asked = std::get_if<QueryArrived>(&event)) {
    // "Unknown request" would be a false answer; the error tells them apart.
    DeferredStatus status;
    status.id = asked->request;
    status.result = RefusalAnswer(Error::kTooManyConnections);
    this->parts.performer->Refuse(AnswerQuery{asked->query, status});
  }
  if (full) {
    this->parts.metrics->Count("control_refused", EventLabel(event));
  }
}

void ControlLoop::Run() {
  pthread_setname_np(pthread_self(), "control");
  std::vector<PostedEvent> batch;
  this->PublishStatus(SteadyNow());
  this->sampler.Begin(SteadyNow(), this->ReadUsage());
  while (this->queue.TakeAll(this->WakeAt(SteadyNow()), &batch)) {
    for (PostedEvent& posted : batch) this->Handle(std::move(posted));
    Instant now = SteadyNow();
    bool tick_due = this->parts.decisions->NextWakeup() <= now;
    if (tick_due) this->Handle({Tick{}, now});
    this->ticked_idly = tick_due && batch.empty();
    bool publish = this->changed_since_publish &&
                   now >= this->published + kPublishInterval;
    if (publish) this->PublishStatus(now);
    if (this->sampler.Due() <= now) {
      this->sampler.Sample(now, this->parts.decisions->Status(now),
                           this->ReadUsage());
    }
  }
}

Instant ControlLoop::WakeAt(Instant now) const {
  Instant wake = this->parts.decisions->NextWakeup();
  if (this->ticked_idly) wake = std::max(wake, now + kMinTickInterval);
  wake = std::min(wake, this->sampler.Due());
  if (!this->changed_since_publish) return wake;
  return std::min(wake, this->published + kPublishInterval);
}

void ControlLoop::Handle(PostedEvent posted) {
  Event& event = posted.event;
  std::string_view label = EventLabel(event);
  std::string profile = this->ProfileLabel(event);
  bool is_tick = std::holds_alternative<Tick>(event);
  this->actions.clear();
  Instant start = SteadyNow();
  this->parts.decisions->Handle(start, std::move(event), &this->actions);
  Duration taken = SteadyNow() - start;
  this->CompleteWaits(start - posted.posted, taken);
  this->parts.performer->Perform(this->actions);
  auto taken_us = static_cast<double>(taken.count());
  this->parts.metrics->Sample("control_event_us", label, taken_us);
  if (!profile.empty()) {
    this->parts.metrics->Sample("decision_time_us", profile, taken_us);
  }
  if (!is_tick || !this->actions.empty()) this->changed_since_publish = true;
  this->AnnounceConfiguration();
}

void ControlLoop::CompleteWaits(Duration queued, Duration taken) {
  // The core's time stands still while it decides, and for the core a request
  // arrives when the control thread takes it up. So every request that was
  // placed on arrival had waited 0, however busy the control thread was.
  for (Action& action : this->actions) {
    auto* sample = std::get_if<RecordSample>(&action);
    bool is_wait =
        sample != nullptr && sample->kind == RecordSample::Kind::kWaitingTime;
    if (!is_wait) continue;
    bool arrived_now = sample->value == 0;
    sample->value += taken.count();
    if (arrived_now) sample->value += queued.count();
  }
}

UsageReading ControlLoop::ReadUsage() const {
  return {.control_cpu_seconds = ThreadCpuSeconds(),
          .control_bytes = this->parts.metrics->Total("control_bytes"),
          .resident_bytes = ReadProcessUsage().resident_bytes};
}

std::string ControlLoop::ProfileLabel(const Event& event) const {
  const auto* arrived = std::get_if<RequestArrived>(&event);
  if (arrived == nullptr) return {};
  const auto& services = this->parts.decisions->ConfigurationInForce().services;
  auto found = services.find(arrived->request.service);
  // A name that no configuration holds would let strangers grow the metrics.
  if (found == services.end()) return "profile=none";
  return "profile=" + found->second.profile.Text();
}

void ControlLoop::AnnounceConfiguration() {
  const Configuration& configuration =
      this->parts.decisions->ConfigurationInForce();
  if (this->announced == configuration.version) return;
  this->announced = configuration.version;
  this->parts.performer->OnConfiguration(configuration);
}

void ControlLoop::PublishStatus(Instant now) {
  CoreStatus status = this->parts.decisions->Status(now);
  // Failure: peers beat to us, so we beat to nobody, and a digest that was
  // published only with our own heartbeats stays the first one: "owns no
  // worker". A peer without workers then refuses its callers while ours idle.
  this->parts.performer->OnDigest(status.digest);
  Metrics& metrics = *this->parts.metrics;
  metrics.Set("queued_requests", "", status.queued);
  metrics.Set("running_tasks", "", status.running);
  metrics.Set("requests_in_progress", "", status.requests);
  metrics.Set("owned_workers", "", status.owned_workers);
  metrics.Set("live_peers", "", status.live_peers);
  metrics.Set("configuration_version", "",
              static_cast<double>(status.configuration_version));
  metrics.Set("control_cpu_seconds", "", ThreadCpuSeconds());
  this->parts.board->Publish(std::move(status));
  this->published = now;
  this->changed_since_publish = false;
}

}  // namespace mustardproxy
