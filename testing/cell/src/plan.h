#ifndef MUSTARDPROXY_CELL_PLAN_H_
#define MUSTARDPROXY_CELL_PLAN_H_

#include <map>
#include <string>
#include <vector>

#include "cell/layout.h"
#include "cell/reserved_port.h"

namespace mustardproxy::cell {

/// What kind of program a process runs.
enum class Role { kPlatform, kWorker, kRelay, kEntry };

/// One process of the cell, running or not.
struct PlannedProcess {
  std::string name;
  Role role = Role::kEntry;
  std::int32_t data_center = 0;
  std::string rack;
  /// Callers' port of an entry, else the only port.
  ReservedPort port;
  /// Operators' port of an entry, control port of a relay.
  ReservedPort second_port;
  /// gRPC port of an entry.
  ReservedPort third_port;
  /// What a relay passes on to.
  std::string target;
};

/// All processes of a cell with their addresses.
class CellPlan {
 public:
  explicit CellPlan(const CellLayout& layout);

  [[nodiscard]] const PlannedProcess& Find(const std::string& name) const;
  /// In the order in which they are to be started.
  [[nodiscard]] std::vector<std::string> Names(Role role) const;
  /// @return the settings file of an entry
  [[nodiscard]] std::string Settings(const std::string& entry) const;
  /// @return the platform's host list
  [[nodiscard]] std::string Hosts(
      const std::vector<std::string>& leaving) const;

 private:
  void Add(PlannedProcess process);
  void AddRelay(const RelayedLink& link);
  /// Address under which `from` knows `to`: a relay's, if there is one.
  [[nodiscard]] std::string AddressFor(const std::string& from,
                                       const std::string& to) const;
  /// Some entry reaches the worker by a relay of its own. The host list has one
  /// address for all, so such a worker stands in the settings instead.
  [[nodiscard]] bool IsRelayedSingly(const std::string& worker) const;
  [[nodiscard]] std::string PeersJson(const std::string& entry) const;
  [[nodiscard]] std::string WorkersJson(const std::string& entry) const;

  CellLayout layout;
  std::vector<std::string> order;
  std::map<std::string, PlannedProcess> processes;
};

/// @return the name of a data centre
[[nodiscard]] std::string DataCenterName(std::int32_t number);

}  // namespace mustardproxy::cell

#endif  // MUSTARDPROXY_CELL_PLAN_H_
