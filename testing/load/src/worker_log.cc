#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <map>

#include "cell/http.h"
#include "load/judge.h"

namespace mustardproxy::load {
namespace {

using JsonObject = Poco::JSON::Object;

constexpr int kOk = 200;

std::string Text(const JsonObject& object, const std::string& name) {
  return object.optValue<std::string>(name, "");
}

/// Takes one entry of the log in.
void Apply(const std::string& worker, const JsonObject& entry,
           std::map<std::string, std::size_t>* open, WorkerLog* log) {
  std::string event = Text(entry, "event");
  std::string task = Text(entry, "task");
  auto at = entry.optValue<std::int64_t>("at_ms", 0);
  if (event == "start") {
    (*open)[task] = log->runs.size();
    log->runs.push_back({.worker = worker,
                         .task = task,
                         .request = Text(entry, "request"),
                         .service = Text(entry, "service"),
                         .start_ms = at,
                         .end_ms = std::nullopt});
  }
  auto started = open->find(task);
  if (event == "end" && started != open->end()) {
    log->runs[started->second].end_ms = at;
    open->erase(started);
  }
  if (event == "overcommit-refused") ++log->overcommit_refused;
  if (event == "overflow") log->incomplete = true;
}

}  // namespace

WorkerLog ParseWorkerLog(const std::string& worker, const std::string& json) {
  WorkerLog log;
  std::map<std::string, std::size_t> open;
  try {
    Poco::JSON::Parser parser;
    auto entries = parser.parse(json).extract<Poco::JSON::Array::Ptr>();
    for (std::size_t i = 0; i < entries->size(); ++i) {
      auto entry = entries->getObject(static_cast<unsigned>(i));
      if (entry) Apply(worker, *entry, &open, &log);
    }
  } catch (const Poco::Exception&) {
    log.incomplete = true;
  }
  return log;
}

std::vector<WorkerLog> FetchLogs(std::span<const std::string> worker_urls) {
  std::vector<WorkerLog> logs;
  for (const std::string& url : worker_urls) {
    auto reply = cell::SendOnce(
        url, {.method = "GET", .path = "/log", .body = "", .headers = {}});
    bool usable = reply && reply->status == kOk;
    logs.push_back(ParseWorkerLog(url, usable ? reply->body : ""));
  }
  return logs;
}

}  // namespace mustardproxy::load
