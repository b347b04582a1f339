#include "plan.h"

#include <algorithm>
#include <utility>

namespace mustardproxy::cell {
namespace {

constexpr std::string_view kAll = "*";

std::string ProcessName(const std::string& kind, std::int32_t data_center,
                        std::int32_t number) {
  return kind + "-" + std::to_string(data_center) + "-" +
         std::to_string(number);
}

std::string RelayName(const std::string& from, const std::string& to) {
  return "relay:" + (from.empty() ? std::string(kAll) : from) + ">" + to;
}

/// Address that other processes know a process by.
std::string DirectAddress(const PlannedProcess& process) {
  const ReservedPort& port =
      process.role == Role::kEntry ? process.third_port : process.port;
  return port.Address();
}

std::string Quote(const std::string& text) { return '"' + text + '"'; }

struct Member {
  std::string name;
  std::string text;
};

std::string Object(const std::vector<Member>& members) {
  std::string object;
  for (const Member& member : members) {
    object += object.empty() ? "{" : ", ";
    object += Quote(member.name) + ": " + Quote(member.text);
  }
  return object + "}";
}

std::string Array(const std::vector<std::string>& items) {
  std::string array;
  for (const std::string& item : items) {
    array += array.empty() ? "" : ",";
    array += "\n    " + item;
  }
  return "[" + array + "]";
}

std::string Listen(const ReservedPort& port) {
  return R"({"host": "127.0.0.1", "port": )" + std::to_string(port.Number()) +
         "}";
}

}  // namespace

std::string DataCenterName(std::int32_t number) {
  return "dc-" + std::to_string(number);
}

CellPlan::CellPlan(const CellLayout& layout) : layout(layout) {
  PlannedProcess platform;
  platform.name = "platform";
  platform.role = Role::kPlatform;
  this->Add(std::move(platform));
  for (std::int32_t center = 1; center <= layout.data_centers; ++center) {
    for (std::int32_t i = 0; i < layout.workers_per_data_center; ++i) {
      PlannedProcess worker;
      worker.name = ProcessName("worker", center, i + 1);
      worker.role = Role::kWorker;
      worker.data_center = center;
      worker.rack =
          ProcessName("rack", center, i / layout.workers_per_rack + 1);
      this->Add(std::move(worker));
    }
    for (std::int32_t i = 1; i <= layout.entries_per_data_center; ++i) {
      PlannedProcess entry;
      entry.name = ProcessName("entry", center, i);
      entry.role = Role::kEntry;
      entry.data_center = center;
      this->Add(std::move(entry));
    }
  }
  for (const RelayedLink& link : layout.relays) this->AddRelay(link);
}

void CellPlan::Add(PlannedProcess process) {
  this->order.push_back(process.name);
  this->processes.emplace(process.name, std::move(process));
}

void CellPlan::AddRelay(const RelayedLink& link) {
  PlannedProcess relay;
  relay.name = RelayName(link.from, link.to);
  relay.role = Role::kRelay;
  relay.target = DirectAddress(this->Find(link.to));
  this->Add(std::move(relay));
}

const PlannedProcess& CellPlan::Find(const std::string& name) const {
  return this->processes.at(name);
}

std::vector<std::string> CellPlan::Names(Role role) const {
  std::vector<std::string> names;
  for (const std::string& name : this->order) {
    if (this->Find(name).role == role) names.push_back(name);
  }
  return names;
}

std::string CellPlan::AddressFor(const std::string& from,
                                 const std::string& to) const {
  for (const std::string& relay : {RelayName(from, to), RelayName("", to)}) {
    auto found = this->processes.find(relay);
    if (found != this->processes.end()) return DirectAddress(found->second);
  }
  return DirectAddress(this->Find(to));
}

bool CellPlan::IsRelayedSingly(const std::string& worker) const {
  for (const std::string& entry : this->Names(Role::kEntry)) {
    if (this->processes.count(RelayName(entry, worker)) != 0) return true;
  }
  return false;
}

std::string CellPlan::PeersJson(const std::string& entry) const {
  std::vector<std::string> items;
  for (const std::string& peer : this->Names(Role::kEntry)) {
    if (peer == entry) continue;
    std::string data_center = DataCenterName(this->Find(peer).data_center);
    items.push_back(Object({{"process", peer},
                            {"data_center", data_center},
                            {"address", this->AddressFor(entry, peer)}}));
  }
  return Array(items);
}

std::string CellPlan::WorkersJson(const std::string& entry) const {
  std::vector<std::string> items;
  for (const std::string& worker : this->Names(Role::kWorker)) {
    if (!this->IsRelayedSingly(worker)) continue;
    const PlannedProcess& process = this->Find(worker);
    items.push_back(
        Object({{"id", worker},
                {"address", this->AddressFor(entry, worker)},
                {"data_center", DataCenterName(process.data_center)},
                {"rack", process.rack}}));
  }
  return Array(items);
}

std::string CellPlan::Settings(const std::string& entry) const {
  const PlannedProcess& self = this->Find(entry);
  std::string platform = "http://" + this->AddressFor(entry, "platform");
  std::string text =
      "{\n  \"customer\": \"demo\",\n  \"process\": " + Quote(entry) +
      ",\n  \"data_center\": " + Quote(DataCenterName(self.data_center)) +
      ",\n  \"callers\": " + Listen(self.port) +
      ",\n  \"operators\": " + Listen(self.second_port) +
      ",\n  \"peers_listen\": " + Listen(self.third_port) +
      ",\n  \"platform_url\": " + Quote(platform) +
      ",\n  \"peers\": " + this->PeersJson(entry) +
      ",\n  \"workers\": " + this->WorkersJson(entry);
  if (!this->layout.extra_settings.empty()) {
    text += ",\n  " + this->layout.extra_settings;
  }
  return text + "\n}\n";
}

std::string CellPlan::Hosts(const std::vector<std::string>& leaving) const {
  std::vector<std::string> items;
  for (const std::string& worker : this->Names(Role::kWorker)) {
    if (this->IsRelayedSingly(worker)) continue;
    const PlannedProcess& process = this->Find(worker);
    bool leaves =
        std::find(leaving.begin(), leaving.end(), worker) != leaving.end();
    items.push_back(
        Object({{"id", worker},
                {"address", this->AddressFor("", worker)},
                {"data_center", DataCenterName(process.data_center)},
                {"rack", process.rack},
                {"state", leaves ? "leaving" : "live"}}));
  }
  return R"({"hosts": )" + Array(items) + "}";
}

}  // namespace mustardproxy::cell
