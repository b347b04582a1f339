#include "report.h"

#include <Poco/Base64Encoder.h>

#include <chrono>
#include <sstream>

#include "json.h"

namespace mustardproxy::standin {
namespace {

std::int64_t MillisOf(Duration length) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(length).count();
}

std::string Base64(std::string_view bytes) {
  std::ostringstream out;
  Poco::Base64Encoder encoder(out);
  encoder.rdbuf()->setLineLength(0);
  encoder.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
  encoder.close();
  return out.str();
}

}  // namespace

std::string_view NameOf(TaskEnd end) {
  switch (end) {
    case TaskEnd::kFinished:
      return "finished";
    case TaskEnd::kFailed:
      return "failed";
    case TaskEnd::kStopped:
      return "stopped";
    case TaskEnd::kCheckpointed:
      return "checkpointed";
  }
  return "stopped";
}

void AppendRunning(Instant now, const RunningEntry& entry, std::string* out) {
  JsonWriter json(out);
  json.Text("task", entry.start.task.Text());
  json.Text("request", entry.start.request.Text());
  json.Text("service", entry.start.service.Text());
  json.Amount("resources", entry.start.resources);
  json.Number("running_for_ms", MillisOf(now - entry.started));
  json.Close();
}

void AppendEnded(const EndedTask& ended, std::string* out) {
  JsonWriter json(out);
  json.Text("task", ended.task.Text());
  json.Text("request", ended.request.Text());
  json.Text("end", NameOf(ended.end));
  json.Number("status", std::int64_t{ended.status});
  json.Text("content_type", ended.content_type);
  json.Text("body_base64", Base64(View(ended.body)));
  json.Number("run_time_ms", MillisOf(ended.run_time));
  json.Amount("peak_usage", ended.peak_usage);
  json.Close();
}

std::string FormatRefusal(const Refusal& refusal) {
  std::string out;
  JsonWriter json(&out);
  json.Text("reason", NameOf(refusal.reason));
  json.Number("highest_epoch", refusal.highest_epoch);
  json.Text("holder", refusal.holder);
  json.Number("lease_left_ms", MillisOf(refusal.lease_left));
  if (!refusal.task.empty()) json.Text("task", refusal.task);
  json.Close();
  return out;
}

}  // namespace mustardproxy::standin
