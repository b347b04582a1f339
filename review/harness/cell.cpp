#include "cell.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

namespace review {
namespace {

constexpr const char* kHost = "queue.example";
constexpr const char* kPrefix = "/jobs/";

std::string Local(int port) { return Host() + ":" + std::to_string(port); }

std::string MakeFolder() {
  std::string pattern =
      std::filesystem::temp_directory_path() / "review-XXXXXX";
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("can not make a folder");
  }
  return pattern;
}

/// Where the build of the deploy file puts the program.
std::string Program() {
  const char* root = std::getenv("REVIEW_ROOT");
  return std::string(root == nullptr ? "." : root) +
         "/target/apps/mustardproxy/mustardproxy";
}

}  // namespace

void Pause(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

Process::Process(std::string name, const std::string& folder,
                 const std::string& store_address)
    : name(std::move(name)),
      folder(folder),
      callers(Local(FreePort())),
      readiness(Local(FreePort())) {
  // What the template of the deploy file gives on a small deployment.
  const Json settings = {{"process", this->name},
                         {"data_center", "zone-a"},
                         {"callers", this->callers},
                         {"readiness", this->readiness},
                         {"peers", Local(FreePort())},
                         {"operators", Local(FreePort())},
                         {"store", store_address},
                         {"processor_share", 0.25},
                         {"processors", 1},
                         {"memory_mb", 260},
                         {"store_writes_per_s", 400},
                         {"configuration_bound_ms", 2000},
                         {"platform_policies",
                          "base,drain,config,cost,recover,sched,platform,"
                          "advice,upkeep,sharing"},
                         {"grace_s", 6}};
  std::ofstream(this->folder + "/" + this->name + ".jsonc") << settings.dump(1);
}

Process::~Process() {
  if (this->child <= 0) return;
  kill(this->child, SIGKILL);
  waitpid(this->child, nullptr, 0);
}

void Process::Start() {
  const std::string settings = this->folder + "/" + this->name + ".jsonc";
  const std::string log = this->folder + "/" + this->name + ".log";
  const std::string program = Program();
  const pid_t parent = getpid();
  this->child = fork();
  if (this->child != 0) return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) _exit(127);
  const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(out, STDOUT_FILENO);
  dup2(out, STDERR_FILENO);
  setenv("MUSTARDPROXY_SETTINGS", settings.c_str(), 1);
  execl(program.c_str(), program.c_str(), "cell", nullptr);
  _exit(127);
}

void Process::Signal(int signal) {
  kill(this->child, signal);
  if (signal != SIGKILL && signal != SIGTERM) return;
  waitpid(this->child, nullptr, 0);
  this->child = 0;
}

bool Process::Ready() const {
  return Send(this->readiness, "GET", "/-/ready", "x", "", 500).status == 200;
}

bool Process::Leads() const {
  std::ifstream log(this->folder + "/" + this->name + ".log");
  std::string line;
  bool leads = false;
  while (std::getline(log, line)) {
    if (line.find("\"elected\"") != std::string::npos) leads = true;
    if (line.find("\"deposed\"") != std::string::npos) leads = false;
  }
  return leads;
}

Cell::Cell(std::size_t count, const std::vector<MachineOptions>& options,
           const std::string& record_path)
    : record(record_path), runs(&this->record), folder(MakeFolder()) {
  signal(SIGPIPE, SIG_IGN);
  const Json desired = {
      {"version", 7},
      {"routes",
       {{{"name", "jobs"},
         {"host", kHost},
         {"prefix", kPrefix},
         {"service", "svc"},
         {"priority", 0},
         {"maxAttempts", 3},
         {"stretch", 2.0},
         {"targetDurationMs", 1000}}}},
      {"services", {{{"name", "svc"}, {"rejectsOverload", false}}}},
      {"limits", Json::object()}};
  this->store.Put("op/config", desired.dump());
  for (const MachineOptions& one : options) {
    this->machines.push_back(
        std::make_unique<Machine>(one, this->machines.size() + 1, &this->store,
                                  &this->runs, &this->record));
  }
  for (std::size_t i = 0; i < count; ++i) {
    this->processes.push_back(std::make_unique<Process>(
        "edge-" + std::to_string(i + 1), this->folder, this->store.Address()));
  }
}

Cell::~Cell() {
  this->processes.clear();
  this->machines.clear();
  if (std::getenv("REVIEW_KEEP") == nullptr) {
    std::filesystem::remove_all(this->folder);
  } else {
    this->record.Note("logs are kept in the temporary folder");
  }
}

bool Cell::Start() {
  for (const auto& process : this->processes) process->Start();
  for (int tries = 0; tries < 100; ++tries) {
    bool ready = true;
    for (const auto& process : this->processes) {
      ready = ready && process->Ready();
    }
    if (ready) return true;
    Pause(0.1);
  }
  this->record.Note("the processes are not ready");
  return false;
}

Answer Cell::Call(std::size_t process, const std::string& method,
                  const std::string& job, const std::string& body,
                  int timeout_ms) {
  const std::string& name = this->processes[process]->Name();
  this->record.Note(name + " <- " + method + " " + job + " " + body);
  const Answer answer = Send(this->processes[process]->Callers(), method,
                             kPrefix + job, kHost, body, timeout_ms);
  this->record.Note(name + " -> " + method + " " + job + ": " +
                    (answer.status == 0
                         ? std::string("no answer")
                         : std::to_string(answer.status) + " " + answer.body));
  return answer;
}

std::string Cell::StateOf(std::size_t process, const std::string& job) {
  const Answer answer = this->Call(process, "GET", job, "");
  const Json body = Json::parse(answer.body, nullptr, false);
  if (answer.status == 200 && body.is_object()) return body.value("state", "");
  return std::to_string(answer.status);
}

Machine* Cell::Find(const std::string& task, double within_s) {
  const double until = this->record.Seconds() + within_s;
  do {
    for (const auto& machine : this->machines) {
      if (machine->Runs(task)) return machine.get();
    }
    Pause(0.02);
  } while (this->record.Seconds() < until);
  return nullptr;
}

std::size_t Cell::Leader() {
  while (true) {
    for (std::size_t i = 0; i < this->processes.size(); ++i) {
      if (this->processes[i]->Leads()) return i;
    }
    Pause(0.05);
  }
}

}  // namespace review
