#include "cell/cell.h"

#include <Poco/File.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/TemporaryFile.h>

#include <csignal>
#include <fstream>
#include <iterator>
#include <map>
#include <stdexcept>
#include <thread>
#include <utility>

#include "plan.h"

namespace mustardproxy::cell {
namespace {

constexpr std::chrono::milliseconds kPollInterval(10);
constexpr std::chrono::seconds kCallLimit(5);
constexpr int kOk = 200;

bool Answers(const std::string& url, const std::string& path) {
  HttpRequest request;
  request.path = path;
  auto reply = SendOnce(url, request, kCallLimit);
  return reply && reply->status == kOk;
}

/// @return a number of an entry's status, or -1
std::int64_t StatusNumber(const std::string& url, const std::string& field) {
  HttpRequest request;
  request.path = "/v1/status";
  auto reply = SendOnce(url, request, kCallLimit);
  if (!reply || reply->status != kOk) return -1;
  try {
    Poco::JSON::Parser parser;
    auto status = parser.parse(reply->body).extract<Poco::JSON::Object::Ptr>();
    return status->getValue<std::int64_t>(field);
  } catch (const Poco::Exception&) {
    return -1;
  }
}

void WriteFile(const std::string& path, const std::string& text) {
  std::ofstream file(path);
  file << text;
  file.close();
  if (file.fail()) throw std::runtime_error("can not write " + path);
}

std::vector<std::string> WorkerCommand(const CellLayout& layout,
                                       const PlannedProcess& process) {
  const Resources& capacity = layout.worker_capacity;
  return {CELL_WORKER_PROGRAM,
          "--id",
          process.name,
          "--port",
          std::to_string(process.port.Number()),
          "--cpu-milli",
          std::to_string(capacity.cpu_milli),
          "--memory-mb",
          std::to_string(capacity.memory_mb),
          "--accelerators",
          std::to_string(capacity.accelerators),
          "--slots",
          std::to_string(capacity.slots),
          "--connections",
          std::to_string(layout.worker_connections)};
}

std::vector<std::string> RelayCommand(const PlannedProcess& process) {
  return {CELL_RELAY_PROGRAM,
          "--listen",
          std::to_string(process.port.Number()),
          "--control",
          std::to_string(process.second_port.Number()),
          "--to",
          process.target};
}

/// File names hold no `:`, `>` or `*`.
std::string FileName(std::string name) {
  for (char& c : name) {
    if (c == ':' || c == '>' || c == '*') c = '_';
  }
  return name;
}

}  // namespace

bool WaitUntil(const std::function<bool()>& done,
               std::chrono::milliseconds limit) {
  auto deadline = std::chrono::steady_clock::now() + limit;
  while (!done()) {
    if (std::chrono::steady_clock::now() >= deadline) return false;
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

struct Cell::State {
  explicit State(CellLayout given)
      : layout(std::move(given)),
        plan(this->layout),
        folder(Poco::TemporaryFile::tempName()) {
    Poco::File(this->folder).createDirectories();
  }
  ~State() {
    this->running.clear();
    try {
      Poco::File(this->folder).remove(true);
    } catch (const Poco::Exception&) {
      // A leftover folder harms nobody.
    }
  }

  [[nodiscard]] std::string PathFor(const std::string& name,
                                    const std::string& ending) const {
    return this->folder + "/" + FileName(name) + ending;
  }
  [[nodiscard]] std::vector<std::string> Command(
      const PlannedProcess& process) const;
  [[nodiscard]] bool Listens(const std::string& name) const;
  bool AwaitListening(Role role);
  ChildProcess* Find(const std::string& name) {
    auto found = this->running.find(name);
    return found == this->running.end() ? nullptr : found->second.get();
  }
  bool Fail(std::string reason) {
    this->trouble = std::move(reason);
    return false;
  }

  CellLayout layout;
  CellPlan plan;
  std::string folder;
  std::string trouble;
  std::map<std::string, std::unique_ptr<ChildProcess>> running;
};

std::vector<std::string> Cell::State::Command(
    const PlannedProcess& process) const {
  switch (process.role) {
    case Role::kPlatform:
      return {CELL_PLATFORM_PROGRAM, "--port",
              std::to_string(process.port.Number())};
    case Role::kWorker:
      return WorkerCommand(this->layout, process);
    case Role::kRelay:
      return RelayCommand(process);
    case Role::kEntry:
      return {CELL_ENTRY_PROGRAM, "--settings",
              this->PathFor(process.name, ".json")};
  }
  return {};
}

bool Cell::State::Listens(const std::string& name) const {
  const PlannedProcess& process = this->plan.Find(name);
  switch (process.role) {
    case Role::kPlatform:
      return Answers(process.port.Url(), "/counters");
    case Role::kWorker:
      return Answers(process.port.Url(), "/log");
    case Role::kRelay:
      // Any answer will do.
      return SendOnce(process.second_port.Url(), {}, kCallLimit).has_value();
    case Role::kEntry:
      return Answers(process.second_port.Url(), "/healthz");
  }
  return false;
}

Cell::Cell(CellLayout layout)
    : state(std::make_unique<State>(std::move(layout))) {}

Cell::~Cell() = default;

bool Cell::State::AwaitListening(Role role) {
  for (const std::string& name : this->plan.Names(role)) {
    if (!WaitUntil([&] { return this->Listens(name); })) {
      return this->Fail(name + " does not listen");
    }
  }
  return true;
}

bool Cell::Start() {
  State& cell = *this->state;
  for (Role role : {Role::kPlatform, Role::kWorker, Role::kRelay}) {
    for (const std::string& name : cell.plan.Names(role)) {
      this->StartProcess(name);
    }
    if (!cell.AwaitListening(role)) return false;
  }
  HttpRequest put{.method = "PUT",
                  .path = "/v1/kv/config/current?cas=0",
                  .body = cell.layout.configuration.empty()
                              ? DefaultConfiguration()
                              : cell.layout.configuration,
                  .headers = {}};
  auto reply = SendOnce(this->Url("platform"), put, kCallLimit);
  if (!reply || reply->body.find("true") == std::string::npos) {
    return cell.Fail("the platform takes no configuration");
  }
  if (!this->SetHosts({})) return cell.Fail("the platform takes no host list");
  for (const std::string& entry : cell.plan.Names(Role::kEntry)) {
    WriteFile(cell.PathFor(entry, ".json"), cell.plan.Settings(entry));
    this->StartProcess(entry);
  }
  return cell.AwaitListening(Role::kEntry) && this->AwaitReady();
}

const std::string& Cell::Trouble() const { return this->state->trouble; }

bool Cell::AwaitReady() {
  State& cell = *this->state;
  std::vector<std::string> alive;
  for (const std::string& entry : this->Entries()) {
    if (this->Running(entry)) alive.push_back(entry);
  }
  for (const std::string& entry : alive) {
    bool ready =
        WaitUntil([&] { return Answers(this->OperatorUrl(entry), "/readyz"); });
    if (!ready) return cell.Fail(entry + " is not ready");
  }
  auto all = static_cast<std::int64_t>(this->Workers().size());
  std::int64_t owned = 0;
  bool complete = WaitUntil([&] {
    owned = 0;
    for (const std::string& entry : alive) {
      owned += StatusNumber(this->OperatorUrl(entry), "owned_workers");
    }
    return owned == all;
  });
  if (complete) return true;
  return cell.Fail(std::to_string(owned) + " of " + std::to_string(all) +
                   " workers have an owner");
}

bool Cell::StopEntries() {
  State& cell = *this->state;
  for (const std::string& entry : this->Entries()) {
    ChildProcess* process = cell.Find(entry);
    if (process != nullptr) process->Signal(SIGTERM);
  }
  bool graceful = true;
  for (const std::string& entry : this->Entries()) {
    if (cell.Find(entry) == nullptr) continue;
    auto end = this->AwaitEnd(entry);
    if (end && end->exit_code == 0) continue;
    graceful = cell.Fail(entry + " did not stop gracefully");
  }
  return graceful;
}

void Cell::StopAll() {
  (void)this->StopEntries();
  for (auto& item : this->state->running) item.second->Signal(SIGTERM);
  for (auto& item : this->state->running) (void)item.second->Wait(kPatience);
  this->state->running.clear();
}

void Cell::StartProcess(const std::string& name) {
  State& cell = *this->state;
  const PlannedProcess& process = cell.plan.Find(name);
  cell.running[name] = std::make_unique<ChildProcess>(
      cell.Command(process), cell.PathFor(name, ".log"));
}

std::optional<ProcessEnd> Cell::Terminate(const std::string& name,
                                          std::chrono::milliseconds limit) {
  ChildProcess* process = this->state->Find(name);
  if (process == nullptr) return std::nullopt;
  process->Signal(SIGTERM);
  return this->AwaitEnd(name, limit);
}

std::optional<ProcessEnd> Cell::AwaitEnd(const std::string& name,
                                         std::chrono::milliseconds limit) {
  ChildProcess* process = this->state->Find(name);
  if (process == nullptr) return std::nullopt;
  auto end = process->Wait(limit);
  if (end) this->state->running.erase(name);
  return end;
}

void Cell::Kill(const std::string& name) { this->state->running.erase(name); }

void Cell::Pause(const std::string& name) {
  ChildProcess* process = this->state->Find(name);
  if (process != nullptr) process->Signal(SIGSTOP);
}

void Cell::Resume(const std::string& name) {
  ChildProcess* process = this->state->Find(name);
  if (process != nullptr) process->Signal(SIGCONT);
}

bool Cell::Running(const std::string& name) {
  ChildProcess* process = this->state->Find(name);
  return process != nullptr && process->Running();
}

std::vector<std::string> Cell::Entries() const {
  return this->state->plan.Names(Role::kEntry);
}

std::vector<std::string> Cell::Workers() const {
  return this->state->plan.Names(Role::kWorker);
}

std::vector<std::string> Cell::Relays() const {
  return this->state->plan.Names(Role::kRelay);
}

std::vector<Cell::NamedPid> Cell::Pids() {
  std::vector<NamedPid> pids;
  for (auto& item : this->state->running) {
    if (item.second->Running()) {
      pids.push_back({item.first, item.second->Pid()});
    }
  }
  return pids;
}

std::string Cell::Url(const std::string& name) const {
  return this->state->plan.Find(name).port.Url();
}

std::string Cell::OperatorUrl(const std::string& entry) const {
  return this->state->plan.Find(entry).second_port.Url();
}

bool Cell::Switch(const std::string& name, const std::string& json) {
  const PlannedProcess& process = this->state->plan.Find(name);
  bool relay = process.role == Role::kRelay;
  const ReservedPort& port = relay ? process.second_port : process.port;
  HttpRequest request{
      .method = "POST", .path = "/switch", .body = json, .headers = {}};
  auto reply = SendOnce(port.Url(), request, kCallLimit);
  return reply && reply->status == kOk;
}

bool Cell::SetHosts(const std::vector<std::string>& leaving) {
  HttpRequest request{.method = "PUT",
                      .path = "/v1/hosts",
                      .body = this->state->plan.Hosts(leaving),
                      .headers = {}};
  auto reply = SendOnce(this->Url("platform"), request, kCallLimit);
  return reply && reply->status == kOk;
}

std::string Cell::Folder() const { return this->state->folder; }

std::string Cell::LogOf(const std::string& name) const {
  std::ifstream file(this->state->PathFor(name, ".log"));
  return {std::istreambuf_iterator<char>(file),
          std::istreambuf_iterator<char>()};
}

}  // namespace mustardproxy::cell
