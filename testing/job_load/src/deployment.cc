#include "job_load/deployment.h"

#include <cmath>
#include <limits>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace job_load {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr double kMillisPerSecond = 1000.0;
constexpr double kMostSeconds = 3600.0;
constexpr double kMostWorkers = 20'000;
constexpr double kMostProcesses = 64;
constexpr double kMostMilliseconds = 3'600'000.0;
constexpr double kMostAmount = 1e9;

const std::map<std::string, PlannedFault::Kind>& FaultKinds() {
  static const std::map<std::string, PlannedFault::Kind> kinds = {
      {"kill-owner", PlannedFault::Kind::kKillOwner},
      {"store-silent", PlannedFault::Kind::kStoreSilent},
      {"store-slow", PlannedFault::Kind::kStoreSlow},
      {"crash-workers", PlannedFault::Kind::kCrashWorkers},
      {"cut-workers", PlannedFault::Kind::kCutWorkers},
  };
  return kinds;
}

Duration Seconds(double seconds) {
  return milliseconds(std::llround(seconds * kMillisPerSecond));
}

/// Reads one object. The first problem met, here or in a nested object, is
/// kept; what is read after it means nothing.
class Reader {
 public:
  Reader(const Json& object, std::string path,
         std::optional<DeploymentProblem>* problem)
      : object(object), path(std::move(path)), problem(problem) {
    if (!this->object.is_object()) this->Fail("", "is not an object");
  }
  /// Complains about fields that nothing has read.
  void Finish() {
    if (!this->object.is_object()) return;
    for (const auto& [name, value] : this->object.items()) {
      if (!this->read.contains(name)) this->Fail(name, "is not a known field");
    }
  }

  double Number(const std::string& name, double otherwise, double least,
                double most) {
    const Json* value = this->Find(name);
    if (value == nullptr) return otherwise;
    if (!value->is_number()) {
      this->Fail(name, "is not a number");
      return otherwise;
    }
    const auto number = value->get<double>();
    if (number < least || number > most) {
      this->Fail(name, "is not between " + Json(least).dump() + " and " +
                           Json(most).dump());
    }
    return number;
  }
  double Share(const std::string& name, double otherwise) {
    return this->Number(name, otherwise, 0.0, 1.0);
  }
  std::int64_t Count(const std::string& name, std::int64_t otherwise,
                     double least, double most) {
    return std::llround(
        this->Number(name, static_cast<double>(otherwise), least, most));
  }
  bool Flag(const std::string& name) {
    const Json* value = this->Find(name);
    if (value != nullptr && !value->is_boolean()) {
      this->Fail(name, "is neither true nor false");
    }
    return value != nullptr && value->is_boolean() && value->get<bool>();
  }
  std::string Text(const std::string& name) {
    const Json* value = this->Find(name);
    if (value == nullptr || !value->is_string()) {
      this->Fail(name, "is not a text");
      return {};
    }
    return value->get<std::string>();
  }
  /// Reads each object of a list; a list that is missing is empty.
  template <typename Task>
  void Each(const std::string& name, const Task& task) {
    const Json* value = this->Find(name);
    if (value == nullptr) return;
    if (!value->is_array()) {
      this->Fail(name, "is not a list");
      return;
    }
    for (std::size_t i = 0; i < value->size(); ++i) {
      const std::string where =
          this->Path(name) + "[" + std::to_string(i) + "]";
      Reader row((*value)[i], where, this->problem);
      task(&row);
      row.Finish();
    }
  }
  /// Reads a nested object, if there is one.
  template <typename Task>
  void Nested(const std::string& name, const Task& task) {
    const Json* value = this->Find(name);
    if (value == nullptr) return;
    Reader nested(*value, this->Path(name), this->problem);
    task(&nested);
    nested.Finish();
  }
  void Fail(const std::string& name, std::string reason) {
    if (this->problem->has_value()) return;
    *this->problem = DeploymentProblem{this->Path(name), std::move(reason)};
  }

 private:
  [[nodiscard]] std::string Path(const std::string& name) const {
    if (this->path.empty()) return name;
    return name.empty() ? this->path : this->path + "." + name;
  }
  const Json* Find(const std::string& name) {
    this->read.insert(name);
    if (!this->object.is_object()) return nullptr;
    const auto found = this->object.find(name);
    return found == this->object.end() ? nullptr : &*found;
  }

  const Json& object;
  std::string path;
  std::optional<DeploymentProblem>* problem;
  std::set<std::string> read;
};

void ReadSpread(Reader* reader, const std::string& name, Spread* spread) {
  reader->Nested(name, [&](Reader* nested) {
    spread->mean = nested->Number("mean", spread->mean, 0.0, kMostAmount);
    spread->spread = nested->Number("spread", 0.0, 0.0, 3.0);
    spread->most = nested->Number("most", spread->mean, 0.0, kMostAmount);
  });
}

Duration ReadMilliseconds(Reader* reader, const std::string& name) {
  return milliseconds(reader->Count(name, 0, 0.0, kMostMilliseconds));
}

void ReadPolicy(Reader* reader, QueueLoad* load) {
  reader->Nested("advice", [&](Reader* nested) {
    jobs::AdvicePolicy policy;
    policy.decision = ReadMilliseconds(nested, "decision_ms");
    constexpr double kMicros = 1000.0;
    policy.per_worker = Duration(
        std::llround(kMicros * nested->Number("per_worker_ms", 0.0, 0.0,
                                              kMostMilliseconds)));
    policy.validity = ReadMilliseconds(nested, "validity_ms");
    load->permitted_share = nested->Share("permitted_share", 1.0);
    load->queue.advice = policy;
  });
}

Burst ReadBurst(Reader* reader) {
  Burst burst;
  burst.at = Seconds(reader->Number("at_s", 0.0, 0.0, kMostSeconds));
  burst.length = Seconds(reader->Number("for_s", 1.0, 0.0, kMostSeconds));
  burst.factor = reader->Number("factor", 1.0, 0.0, 1000.0);
  return burst;
}

QueueLoad ReadQueue(Reader* reader) {
  QueueLoad load;
  jobs::Queue& queue = load.queue;
  queue.name = jobs::QueueName(reader->Text("name"));
  queue.priority =
      static_cast<std::int32_t>(reader->Count("priority", 0, 0.0, 100.0));
  queue.max_attempts =
      static_cast<std::int32_t>(reader->Count("max_attempts", 3, 1.0, 100.0));
  queue.stretch = reader->Number("stretch", 2.0, 0.0, 1000.0);
  queue.target = ReadMilliseconds(reader, "target_ms");
  ReadPolicy(reader, &load);
  load.jobs_per_second = reader->Number("jobs_per_second", 1.0, 0.0, 1e5);
  ReadSpread(reader, "steps", &load.steps);
  ReadSpread(reader, "tasks", &load.tasks);
  ReadSpread(reader, "cpu_milli", &load.cpu_milli);
  ReadSpread(reader, "memory_mb", &load.memory_mb);
  ReadSpread(reader, "run_ms", &load.run_ms);
  load.gang_share = reader->Share("gang_share", 0.0);
  load.hopeless_share = reader->Share("hopeless_share", 0.0);
  load.crashing_share = reader->Share("crashing_share", 0.0);
  load.crash_after = ReadMilliseconds(reader, "crash_after_ms");
  load.estimate_error = reader->Share("estimate_error", 0.0);
  load.long_running = reader->Flag("long_running");
  reader->Each("bursts",
               [&](Reader* row) { load.bursts.push_back(ReadBurst(row)); });
  return load;
}

PlannedFault ReadFault(Reader* reader) {
  PlannedFault fault;
  const std::string kind = reader->Text("kind");
  const auto known = FaultKinds().find(kind);
  if (known == FaultKinds().end()) {
    reader->Fail("kind", "'" + kind + "' is not a known fault");
  } else {
    fault.kind = known->second;
  }
  fault.at = Seconds(reader->Number("at_s", 0.0, 0.0, kMostSeconds));
  fault.length = Seconds(reader->Number("for_s", 5.0, 0.0, kMostSeconds));
  fault.share = reader->Share("share", 0.1);
  return fault;
}

Deployment ReadDeployment(Reader* reader) {
  Deployment deployment;
  deployment.seed =
      static_cast<std::uint64_t>(reader->Count("seed", 1, 0.0, kMostAmount));
  deployment.length =
      Seconds(reader->Number("seconds", 30.0, 1.0, kMostSeconds));
  deployment.processes = static_cast<std::size_t>(
      reader->Count("processes", 3, 1.0, kMostProcesses));
  deployment.store_writes_per_second =
      reader->Count("store_writes_per_s", 400, 1.0, kMostAmount);
  reader->Nested("workers", [&](Reader* nested) {
    deployment.workers =
        static_cast<std::size_t>(nested->Count("count", 16, 1.0, kMostWorkers));
    deployment.workers_per_rack = static_cast<std::size_t>(
        nested->Count("per_rack", 8, 1.0, kMostWorkers));
    deployment.worker_cpu_milli =
        nested->Count("cpu_milli", 16'000, 1.0, kMostAmount);
    deployment.worker_memory_mb =
        nested->Count("memory_mb", 65'536, 1.0, kMostAmount);
  });
  reader->Each("queues", [&](Reader* row) {
    deployment.queues.push_back(ReadQueue(row));
  });
  reader->Each("faults", [&](Reader* row) {
    deployment.faults.push_back(ReadFault(row));
  });
  if (deployment.queues.empty()) reader->Fail("queues", "has no queue");
  return deployment;
}

}  // namespace

std::variant<Deployment, DeploymentProblem> ParseDeployment(
    std::string_view text) {
  constexpr bool kNoExceptions = false;
  constexpr bool kComments = true;
  const Json json = Json::parse(text, nullptr, kNoExceptions, kComments);
  if (json.is_discarded()) {
    return DeploymentProblem{"", "is not JSON with comments"};
  }
  std::optional<DeploymentProblem> problem;
  Reader reader(json, "", &problem);
  Deployment deployment = ReadDeployment(&reader);
  reader.Finish();
  if (problem) return *problem;
  return deployment;
}

}  // namespace job_load
