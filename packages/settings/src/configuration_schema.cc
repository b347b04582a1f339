#include "configuration_schema.h"

#include <limits>

#include "schema_builder.h"

namespace mustardproxy::settings_detail {
namespace {

constexpr std::int64_t kDay = 24LL * 60 * 60 * 1000;
constexpr std::int64_t kMostCpuMilli = 100'000'000;
constexpr std::int64_t kMostMemoryMb = 1'000'000'000;
constexpr std::int64_t kMostPieces = 100'000;
constexpr std::size_t kMostProfiles = 1000;
constexpr std::size_t kMostServices = 5000;
constexpr std::size_t kMostTeams = 5000;

Schema<Profile> BuildProfileSchema() {
  return Schema<Profile>::Builder()
      .Bool("deferred", &Profile::deferred,
            "answered at once with an id, journalled, run later")
      .Bool("gang", &Profile::gang,
            "all tasks of a request start together or none does")
      .Required()
      .Milliseconds("max_wait_ms", &Profile::max_wait, {1, 30 * kDay},
                    "longest time from arrival to placement")
      .Milliseconds("max_run_ms", &Profile::max_run, {1, 30 * kDay},
                    "longest run time of a task before its worker stops it")
      .Integer("priority", &Profile::priority, {0, 1000},
               "0 is the most urgent")
      .OneOf<Packing>("packing", &Profile::packing,
                      {{"best-fit", Packing::kBestFit},
                       {"first-fit", Packing::kFirstFit},
                       {"spread", Packing::kSpread}},
                      "how tasks are packed onto workers")
      .Bool("preemptible", &Profile::preemptible,
            "tasks may be checkpointed or stopped for urgent work")
      .Integer("queue_limit", &Profile::queue_limit, {1, 1'000'000},
               "most requests that wait in one entry process")
      .Integer("max_attempts", &Profile::max_attempts, {1, 100},
               "attempts at an idempotent request, the first included")
      .Milliseconds("result_retention_ms", &Profile::result_retention,
                    {1, 30 * kDay},
                    "time that the result of deferred work is kept")
      .Build();
}

Schema<Resources> TaskResourcesSchema() {
  Resources defaults;
  defaults.slots = 1;
  return Schema<Resources>::Builder(defaults)
      .Required()
      .Integer("cpu_milli", &Resources::cpu_milli, {0, kMostCpuMilli},
               "thousandths of a processor for one task")
      .Required()
      .Integer("memory_mb", &Resources::memory_mb, {0, kMostMemoryMb},
               "megabytes of memory for one task")
      .Integer("accelerators", &Resources::accelerators, {0, kMostPieces},
               "accelerators for one task")
      .Integer("slots", &Resources::slots, {1, kMostPieces},
               "slots of the worker for one task")
      .Build();
}

Schema<Resources> QuotaSchema() {
  return Schema<Resources>::Builder()
      .Integer("cpu_milli", &Resources::cpu_milli, {0, kMostCpuMilli},
               "thousandths of a processor; 0 means no limit")
      .Integer("memory_mb", &Resources::memory_mb, {0, kMostMemoryMb},
               "megabytes of memory; 0 means no limit")
      .Integer("accelerators", &Resources::accelerators, {0, kMostPieces},
               "accelerators; 0 means no limit")
      .Integer("slots", &Resources::slots, {0, kMostPieces},
               "slots; 0 means no limit")
      .Build();
}

Schema<Service> ServiceSchema() {
  return Schema<Service>::Builder()
      .Required()
      .Name("profile", &Service::profile, "profile of its requests")
      .Bool("idempotent", &Service::idempotent, "may run again without harm")
      .Integer("tasks", &Service::tasks, {1, 10'000},
               "tasks of a request: above 1 with a gang profile, else 1")
      .Milliseconds("expected_run_ms", &Service::expected_run, {0, 30 * kDay},
                    "declared run time, only a hint")
      .Required()
      .Object("resources", &Service::resources, TaskResourcesSchema())
      .Build();
}

Schema<Team> TeamSchema() {
  return Schema<Team>::Builder()
      .Number("weight", &Team::weight, {0.001, 1000},
              "share under contention, relative to the other teams")
      .Object("quota", &Team::quota, QuotaSchema())
      .Build();
}

Schema<Configuration> BuildConfigurationSchema() {
  return Schema<Configuration>::Builder()
      .Integer("version", &Configuration::version,
               {0, std::numeric_limits<std::int64_t>::max()},
               "set by `mustardctl profile apply`; what the file says is not "
               "used")
      .Required()
      .Name("default_team", &Configuration::default_team,
            "team of callers that name none")
      .Required()
      .Map("profiles", &Configuration::profiles, &Profile::id, kMostProfiles,
           ProfileSchema(), "how kinds of work are treated")
      .Required()
      .Map("services", &Configuration::services, &Service::id, kMostServices,
           ServiceSchema(), "what callers can ask for")
      .Required()
      .Map("teams", &Configuration::teams, &Team::id, kMostTeams, TeamSchema(),
           "groups of callers with a share of the cell")
      .Build();
}

}  // namespace

const Schema<Profile>& ProfileSchema() {
  static const Schema<Profile> schema = BuildProfileSchema();
  return schema;
}

const Schema<Configuration>& ConfigurationSchema() {
  static const Schema<Configuration> schema = BuildConfigurationSchema();
  return schema;
}

}  // namespace mustardproxy::settings_detail
