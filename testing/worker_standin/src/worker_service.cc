#include "worker_service.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <utility>
#include <vector>

#include "json.h"
#include "report.h"

namespace mustardproxy::standin {
namespace {

using std::chrono::milliseconds;

constexpr int kBadRequest = 400;
constexpr int kConflict = 409;
/// How long an attach reports what has ended.
constexpr Duration kEndedKept = std::chrono::seconds(60);

/// Fields of the body of a control call.
struct Order {
  bool valid = false;
  Holder holder;
  Epoch epoch = 0;
  Duration lease{0};
  std::uint64_t ended_sequence = 0;
  /// Ends that the caller has, and the run of the worker they are of.
  std::vector<SequenceRange> received;
  Incarnation received_of = 0;
  std::int64_t cpu_milli = 0;
  bool checkpoint = false;
};

void ReadReceived(const Poco::JSON::Object& object, Order* order) {
  const auto received = object.getObject("received");
  if (!received) return;
  order->received_of = NumberIn(*received, "incarnation").value_or(0);
  const auto ends = received->getArray("ends");
  if (!ends) return;
  for (unsigned int i = 0; i < ends->size(); ++i) {
    const auto pair = ends->getArray(i);
    if (!pair || pair->size() != 2) continue;
    order->received.push_back(
        {pair->getElement<Poco::UInt64>(0), pair->getElement<Poco::UInt64>(1)});
  }
}

Order ReadOrder(const std::string& body) {
  Order order;
  const auto object = ParseObject(body);
  if (!object) return order;
  const auto epoch = NumberIn(*object, "epoch");
  if (!epoch) return order;
  order.valid = true;
  order.epoch = *epoch;
  order.holder.process = TextIn(*object, "holder").value_or("");
  order.holder.incarnation = NumberIn(*object, "incarnation").value_or(0);
  order.lease = milliseconds(NumberIn(*object, "lease_ms").value_or(0));
  order.ended_sequence = NumberIn(*object, "ended_sequence").value_or(0);
  order.cpu_milli =
      static_cast<std::int64_t>(NumberIn(*object, "cpu_milli").value_or(0));
  const Poco::Dynamic::Var checkpoint = object->get("checkpoint");
  ReadReceived(*object, &order);
  order.checkpoint = checkpoint.isBoolean() && checkpoint.extract<bool>();
  return order;
}

ControlAnswer Malformed(std::string_view what) {
  return {kBadRequest, "{\"problem\":\"" + std::string(what) + "\"}"};
}

ControlAnswer Refused(const Refusal& refusal) {
  return {kConflict, FormatRefusal(refusal)};
}

Incarnation DrawIncarnation() {
  std::random_device random;
  std::uniform_int_distribution<Incarnation> draw(1);
  return draw(random);
}

}  // namespace

Instant Now() {
  return Instant(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

TaskPlan ReadPlan(const std::string& body, const Resources& declared) {
  constexpr std::uint64_t kMaxAnswerBytes = 8U << 20U;
  TaskPlan plan;
  plan.uses = declared;
  plan.answer = body;
  if (body.empty() || body.front() != '{') return plan;
  const auto object = ParseObject(body);
  if (!object) return plan;
  plan.run = milliseconds(NumberIn(*object, "run_ms").value_or(0));
  plan.status =
      static_cast<std::int32_t>(NumberIn(*object, "status").value_or(200));
  if (const auto bytes = NumberIn(*object, "answer_bytes")) {
    plan.answer.assign(std::min(*bytes, kMaxAnswerBytes), 'x');
  }
  if (const auto uses = object->getObject("uses")) {
    plan.uses = AmountIn(*uses, declared);
  }
  return plan;
}

WorkerService::WorkerService(const WorkerOptions& options)
    : options(options),
      incarnation(DrawIncarnation()),
      tasks(options.capacity, this),
      usage(options.usage_lag) {
  this->timer_thread = std::thread([this] { this->RunTimer(); });
}

WorkerService::~WorkerService() {
  this->Shutdown();
  this->timer_thread.join();
}

void WorkerService::Shutdown() {
  const std::lock_guard lock(this->mutex);
  this->stopping = true;
  this->timer.notify_all();
  this->thawed.notify_all();
  for (const RunningEntry* entry : this->tasks.Running()) {
    entry->completion->changed.notify_all();
  }
}

bool WorkerService::Stopping() const {
  const std::lock_guard lock(this->mutex);
  return this->stopping;
}

void WorkerService::RunTimer() {
  std::unique_lock lock(this->mutex);
  while (!this->stopping) {
    if (this->switches.freeze) {
      this->thawed.wait(lock);
      continue;
    }
    this->Settle(Now());
    const Instant due = this->tasks.NextDue();
    if (due == Instant::max()) {
      this->timer.wait(lock);
    } else {
      this->timer.wait_for(lock, due - Now());
    }
  }
}

void WorkerService::Settle(Instant now) {
  const Resources before = this->tasks.Usage();
  this->tasks.Advance(now);
  if (before != this->tasks.Usage()) {
    this->usage.Note(now, this->tasks.Usage());
  }
}

ControlAnswer WorkerService::Attach(const std::string& body) {
  const Order order = ReadOrder(body);
  if (!order.valid || order.holder.process.empty()) return Malformed("attach");
  const std::lock_guard lock(this->mutex);
  const Instant now = Now();
  if (const auto refusal =
          this->lease.Attach(now, order.holder, order.epoch, order.lease)) {
    return Refused(*refusal);
  }
  this->Settle(now);
  return {200, this->Report(now, this->tasks.EndedSince(now - kEndedKept),
                            this->tasks.EndedSequence())};
}

ControlAnswer WorkerService::Renew(const std::string& body) {
  Order order = ReadOrder(body);
  if (!order.valid) return Malformed("renew");
  const std::lock_guard lock(this->mutex);
  const Instant now = Now();
  if (const auto refusal = this->lease.Renew(now, order.epoch, order.lease)) {
    return Refused(*refusal);
  }
  this->Settle(now);
  this->tasks.RenewLeases(now);
  // Numbers of a former run say nothing about the ends of this one.
  if (order.received_of != this->incarnation) order.received.clear();
  const auto ended =
      this->tasks.EndedAfter(order.ended_sequence, order.received);
  const std::uint64_t through =
      ended.empty() ? this->tasks.EndedSequence() : ended.back()->sequence;
  return {200, this->Report(now, ended, through)};
}

ControlAnswer WorkerService::Release(const std::string& body) {
  const Order order = ReadOrder(body);
  if (!order.valid) return Malformed("release");
  const std::lock_guard lock(this->mutex);
  if (const auto refusal = this->lease.Release(Now(), order.epoch)) {
    return Refused(*refusal);
  }
  return {200, "{}"};
}

ControlAnswer WorkerService::StopTask(const TaskId& task,
                                      const std::string& body) {
  const Order order = ReadOrder(body);
  if (!order.valid) return Malformed("stop");
  const std::lock_guard lock(this->mutex);
  const Instant now = Now();
  if (const auto refusal = this->lease.Check(now, order.epoch)) {
    return Refused(*refusal);
  }
  this->Settle(now);
  if (!this->tasks.Seen(task)) {
    return Refused(this->lease.Refuse(now, RefusalReason::kUnknownTask));
  }
  const bool stopped = this->tasks.Stop(now, task, order.checkpoint);
  this->usage.Note(now, this->tasks.Usage());
  return {200, stopped ? R"({"stopped":true})" : R"({"stopped":false})"};
}

ControlAnswer WorkerService::ThrottleTask(const TaskId& task,
                                          const std::string& body) {
  const Order order = ReadOrder(body);
  if (!order.valid) return Malformed("throttle");
  const std::lock_guard lock(this->mutex);
  const Instant now = Now();
  if (const auto refusal = this->lease.Check(now, order.epoch)) {
    return Refused(*refusal);
  }
  this->Settle(now);
  if (!this->tasks.Throttle(now, task, order.cpu_milli)) {
    return Refused(this->lease.Refuse(now, RefusalReason::kUnknownTask));
  }
  this->timer.notify_all();
  return {200, "{}"};
}

ControlAnswer WorkerService::QueryTask(const TaskId& task) {
  const std::lock_guard lock(this->mutex);
  this->Settle(Now());
  std::string body;
  JsonWriter json(&body);
  if (this->tasks.FindRunning(task) != nullptr) {
    json.Text("state", "running");
  } else if (const auto ended = this->tasks.FindEnded(task)) {
    json.Text("state", "ended");
    json.Name("ended");
    AppendEnded(*ended, &body);
  } else if (this->tasks.Fence(task) || this->tasks.Fenced(task)) {
    json.Text("state", "never-started");
  } else {
    // It ended so long ago that its answer is no longer kept.
    json.Text("state", "ended");
  }
  json.Close();
  return {200, body};
}

std::optional<RefusalReason> WorkerService::Admit(Instant now,
                                                  TaskStart* start) {
  if (this->switches.leaving) return RefusalReason::kLeaving;
  if (this->switches.fail_all) {
    start->plan.run = Duration::zero();
    start->plan.status = 500;
  }
  const LogEntry entry = this->EntryOf(now, *start);
  if (const auto reason = this->tasks.Start(now, std::move(*start))) {
    return reason;
  }
  this->log.Add(entry);
  return {};
}

StartAnswer WorkerService::Start(TaskStart start, bool detached) {
  std::unique_lock lock(this->mutex);
  const Instant now = Now();
  this->Settle(now);
  const TaskStart noted = start;
  const TaskId task = start.task;
  MaybeRefusal refusal = this->lease.Check(now, start.epoch);
  if (!refusal) {
    if (const auto reason = this->Admit(now, &start)) {
      refusal = this->lease.Refuse(now, *reason);
    }
  }
  if (refusal) {
    refusal->task = task.Text();
    this->NoteRefused(now, noted, refusal->reason);
    return {refusal, nullptr, 0};
  }
  this->lease.RenewByStart(now, noted.epoch);
  this->usage.Note(now, this->tasks.Usage());
  const auto completion = this->tasks.FindRunning(task)->completion;
  this->Settle(now);
  this->timer.notify_all();
  if (detached) return {};
  completion->changed.wait(lock,
                           [&] { return completion->ended || this->stopping; });
  return {{}, completion->ended, completion->sequence};
}

void WorkerService::NoteRefused(Instant now, const TaskStart& start,
                                RefusalReason reason) {
  LogEntry entry = this->EntryOf(now, start);
  entry.event = "refused";
  entry.reason = NameOf(reason);
  entry.running = static_cast<std::int64_t>(this->tasks.Running().size());
  entry.used = this->tasks.Used();
  if (reason == RefusalReason::kNoRoom) {
    LogEntry overcommit = entry;
    overcommit.event = "overcommit-refused";
    this->log.Add(std::move(overcommit));
  }
  this->log.Add(std::move(entry));
}

LogEntry WorkerService::EntryOf(Instant now, const TaskStart& start) const {
  LogEntry entry;
  entry.event = "start";
  entry.task = start.task.Text();
  entry.request = start.request.Text();
  entry.service = start.service.Text();
  entry.body_hash = start.body_hash;
  entry.epoch = start.epoch;
  entry.holder = start.holder;
  entry.at = now;
  entry.running = static_cast<std::int64_t>(this->tasks.Running().size()) + 1;
  entry.used = this->tasks.Used() + start.resources;
  return entry;
}

void WorkerService::OnEnded(Instant now, const EndedEntry& ended) {
  LogEntry entry = this->EntryOf(now, ended.start);
  entry.event = "end";
  entry.reason = NameOf(ended.ended->end);
  entry.peak_usage = ended.ended->peak_usage;
  entry.running = static_cast<std::int64_t>(this->tasks.Running().size());
  entry.used = this->tasks.Used();
  this->log.Add(std::move(entry));
}

std::string WorkerService::Report(Instant now,
                                  const std::vector<const EndedEntry*>& ended,
                                  std::uint64_t through) {
  std::string body;
  JsonWriter json(&body);
  json.Text("worker", this->options.id);
  json.Number("epoch", this->lease.HighestEpoch());
  json.Number("incarnation", this->incarnation);
  json.Amount("capacity", this->tasks.Capacity());
  json.Number("connections", std::int64_t{this->options.connections});
  json.Name("running");
  body += '[';
  for (const RunningEntry* entry : this->tasks.Running()) {
    if (body.back() != '[') body += ',';
    AppendRunning(now, *entry, &body);
  }
  body += ']';
  json.Name("ended");
  body += '[';
  for (const EndedEntry* entry : ended) {
    if (body.back() != '[') body += ',';
    AppendEnded(*entry->ended, &body);
  }
  body += ']';
  json.Number("ended_sequence", through);
  json.Amount("usage", this->usage.Report(now));
  json.Close();
  return body;
}

std::string WorkerService::Switch(const std::string& text, bool* silence_open) {
  const std::lock_guard lock(this->mutex);
  const SwitchChange change = ReadSwitches(this->switches, text);
  if (!change.problem.empty()) return change.problem;
  this->switches = change.switches;
  *silence_open = change.silence_open;
  this->lease.CheckEpochs(this->switches.checks_epoch);
  this->thawed.notify_all();
  this->timer.notify_all();
  return {};
}

void WorkerService::WaitWhileFrozen() {
  std::unique_lock lock(this->mutex);
  this->thawed.wait(lock,
                    [&] { return !this->switches.freeze || this->stopping; });
}

AnswerFault WorkerService::TakeFault(const EndedTask& ended) {
  const std::lock_guard lock(this->mutex);
  AnswerFault fault;
  fault.late = this->switches.late_answers;
  if (this->switches.cut_answers > 0) {
    --this->switches.cut_answers;
    fault.cut = true;
  }
  if (this->switches.cross_answers > 0) {
    --this->switches.cross_answers;
    EndedTask other = ended;
    other.task = TaskId(ended.task.Text() + ".other");
    other.body = std::make_shared<const std::string>("answer of another task");
    fault.crossed = std::make_shared<const EndedTask>(std::move(other));
  }
  return fault;
}

void WorkerService::Pause(Duration length) {
  std::unique_lock lock(this->mutex);
  this->thawed.wait_for(lock, length, [&] { return this->stopping; });
}

std::string WorkerService::Log() const {
  EventLog copy;
  {
    const std::lock_guard lock(this->mutex);
    copy = this->log;
  }
  return copy.Format();
}

}  // namespace mustardproxy::standin
