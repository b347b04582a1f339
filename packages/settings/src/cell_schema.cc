#include "cell_schema.h"

#include <memory>
#include <string_view>
#include <vector>

#include "schema_builder.h"
#include "settings_schema.h"

namespace mustardproxy::settings_detail {
namespace {

Schema<CellSettings> BuildCellSchema() {
  const auto address = std::make_shared<AddressRule>();
  return Schema<CellSettings>::Builder()
      .Required()
      .Name("process", &CellSettings::process,
            "own name, unique among all processes of the cell")
      .Required()
      .Name("data_center", &CellSettings::data_center, "own data centre")
      .Required()
      .Text("callers", &CellSettings::callers, address,
            "where callers hand jobs in")
      .Required()
      .Text("readiness", &CellSettings::readiness, address,
            "where the balancer asks whether callers should be sent here")
      .Required()
      .Text("peers", &CellSettings::peers, address,
            "where the other processes of the cell call this one")
      .Required()
      .Text("operators", &CellSettings::operators, address,
            "metrics and status")
      .Required()
      .Text("store", &CellSettings::store, address, "the platform's store")
      .Text("policy_service", &CellSettings::policy_service, address,
            "says which workers may run a step; none if left out")
      .Number("processor_share", &CellSettings::processor_share, {0.01, 1},
              "share of its processors that the process may use; stronger "
              "hosts are preferred to schedule")
      .Number("processors", &CellSettings::processors, {0.01, 1024},
              "processors of the host")
      .Integer("memory_mb", &CellSettings::memory_mb, {16, 1'048'576},
               "memory that the process may use")
      .Integer("store_writes_per_s", &CellSettings::store_writes_per_s,
               {1, 1'000'000},
               "writes a second that the store takes from all processes "
               "together")
      .Integer("configuration_bound_ms", &CellSettings::configuration_bound_ms,
               {2000, 600'000},
               "time within which a change of the desired state must be in "
               "force; in a cell of more than 64 processes it is looked for "
               "less often if this is longer")
      .Integer("max_lost_workers", &CellSettings::max_lost_workers, {2, 4},
               "workers that may be lost under one task before it is given up; "
               "one more if another task may have been the cause. A "
               "long-running task is not given up, but started again after "
               "5 s")
      .Text("platform_policies", &CellSettings::platform_policies,
            std::make_shared<NameListRule>(),
            "parts of the platform's rules that are in force")
      .Text("overload_control", &CellSettings::overload_control,
            std::make_shared<ChoiceRule>(
                std::vector<std::string_view>{"auto", "on", "off"}),
            "whether jobs that can't be done in time are rejected and urgent "
            "tasks preempt others; `auto` follows `platform_policies`")
      .Bool("team_shares", &CellSettings::team_shares,
            "whether teams share the capacity by weight while it is short, in "
            "place of a count of jobs a second")
      .Integer("order_relays", &CellSettings::order_relays, {0, 16},
               "most processes that send orders to workers for the one that "
               "decides, in a cell of 200 workers or more; none with 0")
      .Number("grace_s", &CellSettings::grace_s, {0, 3600},
              "time between SIGTERM and SIGKILL")
      .Integer("max_connections", &CellSettings::max_connections, {1, 100'000},
               "most connections of callers")
      .Text("log_level", &CellSettings::log_level,
            std::make_shared<ChoiceRule>(LogLevels()),
            "least level of what is logged as sentences")
      .Build();
}

}  // namespace

const Schema<CellSettings>& CellSchema() {
  static const Schema<CellSettings> schema = BuildCellSchema();
  return schema;
}

}  // namespace mustardproxy::settings_detail
