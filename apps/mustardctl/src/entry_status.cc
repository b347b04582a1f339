#include "entry_status.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <utility>

#include "http_get.h"
#include "mustardproxy/core/error.h"

namespace mustardproxy::ctl {
namespace {

constexpr std::size_t kMaxDepth = 8;

using Poco::JSON::Object;

/// @return a field that may be absent; throws if it has the wrong type
template <typename T>
T Optional(const Object& object, const std::string& name) {
  return object.has(name) ? object.getValue<T>(name) : T();
}

Resources ReadResources(const Object& status, const std::string& name) {
  Resources resources;
  const Object::Ptr object = status.getObject(name);
  if (!object) return resources;
  resources.cpu_milli = Optional<Poco::Int64>(*object, "cpu_milli");
  resources.memory_mb = Optional<Poco::Int64>(*object, "memory_mb");
  resources.accelerators = Optional<Poco::Int64>(*object, "accelerators");
  resources.slots = Optional<Poco::Int64>(*object, "slots");
  return resources;
}

void ReadCounts(const Object& object, CoreStatus* status) {
  const auto count = [&object](const std::string& name) {
    return Optional<Poco::Int32>(object, name);
  };
  status->owned_workers = count("owned_workers");
  status->known_workers = count("known_workers");
  status->live_peers = count("live_peers");
  status->queued = count("queued");
  status->running = count("running");
  status->requests = count("requests");
  status->deferred = count("deferred");
}

CoreStatus ReadStatus(std::string_view json) {
  Poco::JSON::Parser parser;
  parser.setDepth(kMaxDepth);
  const auto object = parser.parse(std::string(json)).extract<Object::Ptr>();
  CoreStatus status;
  status.process = ProcessId(object->getValue<std::string>("process"));
  status.data_center =
      DataCenterId(object->getValue<std::string>("data_center"));
  status.configuration_version =
      object->getValue<Poco::UInt64>("configuration_version");
  status.ready = Optional<bool>(*object, "ready");
  status.stopping = Optional<bool>(*object, "stopping");
  status.platform_reachable = Optional<bool>(*object, "platform_reachable");
  ReadCounts(*object, &status);
  status.capacity = ReadResources(*object, "capacity");
  status.free = ReadResources(*object, "free");
  return status;
}

}  // namespace

Result<CoreStatus> ParseStatus(std::string_view json) {
  try {
    return ReadStatus(json);
  } catch (const Poco::Exception&) {
    return Error::kMalformedReply;
  }
}

Result<EntryStatus> FetchStatus(const Entry& entry, Duration timeout) {
  Result<std::string> body = HttpGet(entry.address, "/v1/status", timeout);
  if (!body) return body.error();
  Result<CoreStatus> status = ParseStatus(body.value());
  if (!status) return status.error();
  // The address may have passed to another process since it registered.
  const bool other =
      !entry.process.Empty() && status.value().process != entry.process;
  if (other) return Error::kMalformedReply;
  return EntryStatus{std::move(status.value()), std::move(body.value())};
}

std::vector<Answer<EntryStatus>> FetchStatuses(
    const std::vector<Entry>& entries, Duration timeout) {
  return AskInParallel<EntryStatus>(entries.size(), [&](std::size_t i) {
    return FetchStatus(entries[i], timeout);
  });
}

}  // namespace mustardproxy::ctl
