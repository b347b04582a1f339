// Processes of the program, started as deploy/system.toml says, and calls of
// clients to them.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "platform.hpp"

namespace review {

// One machine of the cell. The settings are what
// platform/settings.template.jsonc gives with the fields of sites/dlonie-sched.
class Machine {
 public:
  Machine(const std::string& folder, Record* record, std::string name,
          const std::string& store, const std::string& policy)
      : folder(folder), record(record), name(std::move(name)) {
    this->callers = "127.0.0.1:" + std::to_string(FreePort());
    this->ready = "127.0.0.1:" + std::to_string(FreePort());
    Json settings = {
        {"process", this->name},
        {"data_center", "zone-a"},
        {"callers", this->callers},
        {"readiness", this->ready},
        {"peers", "127.0.0.1:" + std::to_string(FreePort())},
        {"operators", "127.0.0.1:" + std::to_string(FreePort())},
        {"store", store},
        {"processor_share", 0.25},
        {"processors", 1},
        {"memory_mb", 260},
        {"store_writes_per_s", 400},
        {"configuration_bound_ms", 2000},
        {"platform_policies",
         "base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing"},
        {"grace_s", 6}};
    if (!policy.empty()) settings["policy_service"] = policy;
    std::ofstream(this->SettingsPath()) << settings.dump(1) << '\n';
  }
  ~Machine() { this->Kill(); }

  void Start() {
    this->pid = ::fork();
    if (this->pid == 0) {
      const int log = ::open((this->folder + "/" + this->name + ".log").c_str(),
                             O_CREAT | O_WRONLY | O_APPEND, 0644);
      ::dup2(log, 1);
      ::dup2(log, 2);
      ::setenv("MUSTARDPROXY_SETTINGS", this->SettingsPath().c_str(), 1);
      ::execl("target/apps/mustardproxy/mustardproxy",
              "target/apps/mustardproxy/mustardproxy", "cell", nullptr);
      ::_exit(127);
    }
    this->record->Write("machine " + this->name + " starts");
  }
  void Kill() {
    if (this->pid <= 0) return;
    this->record->Write("machine " + this->name + " is killed");
    ::kill(this->pid, SIGKILL);
    ::waitpid(this->pid, nullptr, 0);
    this->pid = 0;
  }
  [[nodiscard]] bool Ready() const {
    return Call(this->ready, "GET", "/-/ready", "x", "", milliseconds(1000))
               .status == 200;
  }
  [[nodiscard]] bool Running() const {
    return this->pid > 0 && ::waitpid(this->pid, nullptr, WNOHANG) == 0;
  }
  // A process that says so owns the placement of tasks.
  [[nodiscard]] bool Owns() const {
    std::ifstream log(this->folder + "/" + this->name + ".log");
    std::string line;
    bool owns = false;
    while (std::getline(log, line)) {
      if (line.find("\"event\":\"elected\"") != std::string::npos) owns = true;
      if (line.find("\"event\":\"deposed\"") != std::string::npos) owns = false;
    }
    return owns && this->pid > 0;
  }
  [[nodiscard]] const std::string& Name() const { return this->name; }

  std::string callers;

 private:
  [[nodiscard]] std::string SettingsPath() const {
    return this->folder + "/" + this->name + ".jsonc";
  }

  std::string folder;
  Record* record;
  std::string name;
  std::string ready;
  pid_t pid = 0;
};

// A folder for settings and logs, which goes when the case ends.
inline std::string TemporaryFolder() {
  static std::string path = "/tmp/review-XXXXXX";
  if (::mkdtemp(path.data()) == nullptr) std::exit(2);
  std::atexit([] {
    std::error_code ignored;
    std::filesystem::remove_all(path, ignored);
  });
  return path;
}

inline bool WaitUntil(const std::function<bool()>& holds,
                      milliseconds timeout) {
  const auto until = Clock::now() + timeout;
  while (Clock::now() < until) {
    if (holds()) return true;
    std::this_thread::sleep_for(milliseconds(20));
  }
  return false;
}

// A client of one route.
class Client {
 public:
  Client(Record* record, std::string host, std::string prefix)
      : record(record), host(std::move(host)), prefix(std::move(prefix)) {}

  int Submit(const std::string& address, const std::string& id,
             const Json& job) {
    return this->Do(address, "POST", id, job.dump(), 3000).status;
  }
  // The state, or "HTTP STATUS".
  std::string State(const std::string& address, const std::string& id) {
    const Response response = this->Do(address, "GET", id, "", 3000);
    if (response.status != 200)
      return "HTTP " + std::to_string(response.status);
    return Json::parse(response.body, nullptr, false).value("state", "none");
  }

 private:
  Response Do(const std::string& address, const std::string& method,
              const std::string& id, const std::string& body, int timeout_ms) {
    const Response response = Call(address, method, this->prefix + id,
                                   this->host, body, milliseconds(timeout_ms));
    this->record->Write("client: " + method + " " + id + " -> " +
                        std::to_string(response.status) + " " + response.body);
    return response;
  }

  Record* record;
  std::string host, prefix;
};

inline Json Route(const std::string& name, const std::string& prefix,
                  int max_attempts) {
  return {{"name", name},
          {"host", "client.example"},
          {"prefix", prefix},
          {"type", "unsafe"},
          {"timeoutMs", 3000},
          {"targetDurationMs", 1000},
          {"priority", 1},
          {"service", "rezerwacje"},
          {"maxAttempts", max_attempts},
          {"stretch", 2.2}};
}

inline Json DesiredState(const Json& routes) {
  return {{"version", 3},
          {"routes", routes},
          {"services",
           Json::array({{{"name", "rezerwacje"}, {"rejectsOverload", false}}})},
          {"limits", Json::object()}};
}

inline bool Troubled() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

}  // namespace review
