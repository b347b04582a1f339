#include "messages.h"

#include <Poco/Exception.h>
#include <Poco/NumberParser.h>
#include <Poco/URI.h>

#include <chrono>
#include <optional>
#include <sstream>
#include <utility>

#include "hash.h"
#include "json.h"
#include "mustardproxy/core/error.h"

namespace mustardproxy::worker_detail {
namespace {

using Poco::JSON::Object;

std::string Format(const Object& object) {
  std::ostringstream out;
  object.stringify(out);
  return out.str();
}

Object OrderOf(const Sender& sender, Epoch epoch) {
  Object order;
  order.set("holder", sender.process.Text());
  order.set("incarnation", Poco::UInt64{sender.incarnation});
  order.set("epoch", Poco::UInt64{epoch});
  return order;
}

Object FormatReceived(const ReceivedRanges& received) {
  Poco::JSON::Array ranges;
  for (const EndRange& range : received.ranges) {
    Poco::JSON::Array pair;
    pair.add(Poco::UInt64{range.first});
    pair.add(Poco::UInt64{range.last});
    ranges.add(pair);
  }
  Object result;
  result.set("incarnation", Poco::UInt64{received.incarnation});
  result.set("ends", ranges);
  return result;
}

std::string FormatResources(const Resources& amount) {
  return "cpu_milli=" + std::to_string(amount.cpu_milli) +
         ",memory_mb=" + std::to_string(amount.memory_mb) +
         ",accelerators=" + std::to_string(amount.accelerators) +
         ",slots=" + std::to_string(amount.slots);
}

/// Reads `cpu_milli=1,memory_mb=2,…`; throws Poco's exceptions.
Resources ParseResources(const std::string& text) {
  Resources amount;
  std::istringstream parts(text);
  for (std::string part; std::getline(parts, part, ',');) {
    const std::size_t equals = part.find('=');
    const std::string name = part.substr(0, equals);
    const std::int64_t value =
        Poco::NumberParser::parse64(part.substr(equals + 1));
    if (name == "cpu_milli") amount.cpu_milli = value;
    if (name == "memory_mb") amount.memory_mb = value;
    if (name == "accelerators") amount.accelerators = value;
    if (name == "slots") amount.slots = value;
  }
  return amount;
}

std::optional<TaskEnd> EndNamed(std::string_view name) {
  if (name == "finished") return TaskEnd::kFinished;
  if (name == "failed") return TaskEnd::kFailed;
  if (name == "stopped") return TaskEnd::kStopped;
  if (name == "checkpointed") return TaskEnd::kCheckpointed;
  return {};
}

std::optional<RefusalReason> ReasonNamed(std::string_view name) {
  if (name == "stale-epoch") return RefusalReason::kStaleEpoch;
  if (name == "lease-held") return RefusalReason::kLeaseHeld;
  if (name == "unknown-task") return RefusalReason::kUnknownTask;
  if (name == "duplicate-task") return RefusalReason::kDuplicateTask;
  if (name == "no-room") return RefusalReason::kNoRoom;
  if (name == "leaving") return RefusalReason::kLeaving;
  return {};
}

RunningTask RunningFrom(const Object& object) {
  RunningTask running;
  running.task = TaskId(ReadText(object, "task"));
  running.request = RequestId(ReadText(object, "request"));
  running.service = ServiceId(ReadText(object, "service"));
  running.resources = ReadResources(object, "resources");
  running.running_for = ReadMillis(object, "running_for_ms");
  return running;
}

EndedTask EndedFrom(const Object& object) {
  EndedTask ended;
  ended.task = TaskId(ReadText(object, "task"));
  ended.request = RequestId(ReadText(object, "request"));
  const auto end = EndNamed(ReadText(object, "end"));
  if (!end) throw Poco::DataFormatException("end");
  ended.end = *end;
  ended.status = static_cast<std::int32_t>(ReadInteger(object, "status"));
  ended.content_type = ReadText(object, "content_type");
  ended.body =
      std::make_shared<const std::string>(ReadBase64(object, "body_base64"));
  ended.run_time = ReadMillis(object, "run_time_ms");
  ended.peak_usage = ReadResources(object, "peak_usage");
  return ended;
}

WorkerReport ReportFrom(const Object& object) {
  WorkerReport report;
  report.worker = WorkerId(ReadText(object, "worker"));
  report.epoch = ReadUnsigned(object, "epoch");
  report.incarnation = ReadUnsigned(object, "incarnation");
  report.capacity = ReadResources(object, "capacity");
  report.connections =
      static_cast<std::int32_t>(ReadInteger(object, "connections"));
  const auto running = ReadArray(object, "running");
  for (unsigned int i = 0; i < running->size(); ++i) {
    report.running.push_back(RunningFrom(*running->getObject(i)));
  }
  const auto ended = ReadArray(object, "ended");
  for (unsigned int i = 0; i < ended->size(); ++i) {
    report.ended.push_back(EndedFrom(*ended->getObject(i)));
  }
  report.ended_sequence = ReadUnsigned(object, "ended_sequence");
  report.usage = ReadResources(object, "usage");
  return report;
}

Refusal RefusalFrom(const Object& object) {
  Refusal refusal;
  const auto reason = ReasonNamed(ReadText(object, "reason"));
  if (!reason) throw Poco::DataFormatException("reason");
  refusal.reason = *reason;
  refusal.highest = ReadUnsigned(object, "highest_epoch");
  refusal.holder = ProcessId(ReadText(object, "holder"));
  refusal.lease_left = ReadMillis(object, "lease_left_ms");
  if (object.has("task")) refusal.task = TaskId(ReadText(object, "task"));
  return refusal;
}

TaskState StateFrom(const Object& object, const TaskId& task) {
  using State = TaskQueried::State;
  TaskState result;
  const std::string state = ReadText(object, "state");
  if (state == "never-started") {
    result.state = State::kNeverStarted;
  } else if (state == "running") {
    result.state = State::kRunning;
  } else if (state == "ended") {
    result.state = State::kEnded;
  } else {
    throw Poco::DataFormatException("state");
  }
  const auto ended = object.getObject("ended");
  if (!ended) return result;
  result.has_ended = true;
  result.ended = EndedFrom(*ended);
  if (result.ended.task != task) throw Poco::DataFormatException("task");
  return result;
}

/// Runs a reader that throws, and turns its exceptions into a value.
template <typename Reader>
auto Guard(const std::string& text, Reader reader)
    -> Result<decltype(reader(std::declval<const Object&>()))> {
  try {
    const Object::Ptr object = ParseObject(text);
    return reader(*object);
  } catch (const Poco::Exception&) {
    return make_error_code(Error::kMalformedReply);
  }
}

}  // namespace

std::string AttachBody(const Sender& sender, const AttachWorker& action) {
  Object order = OrderOf(sender, action.epoch);
  order.set("lease_ms", WholeMilliseconds(action.lease));
  return Format(order);
}

std::string RenewBody(const Sender& sender, const RenewWorker& action,
                      const ReceivedRanges& received) {
  Object order = OrderOf(sender, action.epoch);
  order.set("lease_ms", WholeMilliseconds(action.lease));
  order.set("ended_sequence", Poco::UInt64{action.ended_sequence});
  if (!received.ranges.empty()) {
    order.set("received", FormatReceived(received));
  }
  return Format(order);
}

std::string ReleaseBody(const Sender& sender, const ReleaseWorker& action) {
  return Format(OrderOf(sender, action.epoch));
}

std::string StopBody(const StopTask& action) {
  Object order;
  order.set("epoch", Poco::UInt64{action.epoch});
  order.set("checkpoint", action.checkpoint);
  return Format(order);
}

std::string TaskPath(const TaskId& task) {
  std::string path = "/v1/tasks/";
  Poco::URI::encode(task.Text(), "/?#%", path);
  return path;
}

http::HttpRequest StartRequest(const Sender& sender, const StartTask& action) {
  const TaskSpec& spec = action.spec;
  http::HttpRequest request;
  request.method = "POST";
  request.path = TaskPath(spec.task);
  request.content_type = "application/octet-stream";
  request.body = View(spec.body);
  request.headers = {
      {"Mustardproxy-Holder", sender.process.Text()},
      {"Mustardproxy-Epoch", std::to_string(action.epoch)},
      {"Mustardproxy-Request-Id", spec.request.Text()},
      {"Mustardproxy-Service", spec.service.Text()},
      {"Mustardproxy-Resources", FormatResources(spec.resources)},
      {"Mustardproxy-Max-Run-Ms",
       std::to_string(WholeMilliseconds(spec.max_run))},
      {"Mustardproxy-Task-Lease-Ms",
       std::to_string(WholeMilliseconds(sender.task_lease))},
      {"Mustardproxy-Detached", spec.detached ? "1" : "0"},
  };
  return request;
}

Result<Refusal> ParseRefusal(const std::string& text) {
  return Guard(text, RefusalFrom);
}

Result<WorkerReport> ParseReport(const std::string& text) {
  return Guard(text, ReportFrom);
}

Result<TaskState> ParseTaskState(const std::string& text, const TaskId& task) {
  return Guard(text,
               [&](const Object& object) { return StateFrom(object, task); });
}

Result<bool> ParseStopped(const std::string& text) {
  return Guard(text, [](const Object& object) {
    return object.get("stopped").extract<bool>();
  });
}

Result<EndedTask> ReadEnded(const http::HttpReply& answer,
                            const StartTask& action) {
  const auto& header = answer.header;
  const auto end = EndNamed(header.get("Mustardproxy-Task-End", ""));
  // Failure: an answer that was crossed with another, or changed on its way.
  // It shows as another task's id, or as a body that is not the hashed one.
  const bool ours =
      header.get("Mustardproxy-Task-Id", "") == action.spec.task.Text();
  const bool whole =
      header.get("Mustardproxy-Body-Hash", "") == BodyHash(answer.body);
  if (!ours || !whole || !end) return make_error_code(Error::kAnswerIncomplete);
  EndedTask ended;
  try {
    ended.run_time = std::chrono::milliseconds(Poco::NumberParser::parse64(
        header.get("Mustardproxy-Run-Time-Ms", "0")));
    ended.peak_usage =
        ParseResources(header.get("Mustardproxy-Peak-Usage", ""));
  } catch (const Poco::Exception&) {
    return make_error_code(Error::kAnswerIncomplete);
  }
  ended.task = action.spec.task;
  ended.request = action.spec.request;
  ended.end = *end;
  ended.status = answer.Status();
  ended.content_type = header.getContentType();
  ended.body = std::make_shared<const std::string>(answer.body);
  return ended;
}

EndNumber ReadEndNumber(const http::HttpReply& answer) {
  const auto& header = answer.header;
  EndNumber number;
  const bool told =
      Poco::NumberParser::tryParseUnsigned64(
          header.get("Mustardproxy-Incarnation", ""), number.incarnation) &&
      Poco::NumberParser::tryParseUnsigned64(
          header.get("Mustardproxy-End-Sequence", ""), number.sequence);
  return told ? number : EndNumber();
}

}  // namespace mustardproxy::worker_detail
