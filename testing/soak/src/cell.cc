#include "cell.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

#include "cell/http.h"

namespace soak {
namespace {

using std::chrono::milliseconds;

constexpr std::chrono::milliseconds kPoll(20);
constexpr std::chrono::milliseconds kAskLimit(500);
constexpr std::chrono::seconds kStartLimit(20);

std::string MakeFolder(const std::string& wanted) {
  if (!wanted.empty()) {
    std::filesystem::create_directories(wanted);
    return wanted;
  }
  std::string pattern = std::filesystem::temp_directory_path() / "soak-XXXXXX";
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("can not make a folder");
  }
  return pattern;
}

mustardproxy::adapter_standin::PlatformOptions MakePlatform(
    const SoakOptions& options) {
  mustardproxy::adapter_standin::PlatformOptions platform;
  platform.seed = options.seed;
  platform.workers = options.workers;
  platform.workers_per_rack = options.workers_per_rack;
  platform.reuse_ids = options.reused_ids;
  platform.worker_capacity = {8000, 65'536, 0, 0};
  mustardproxy::jobs::Queue screens;
  screens.name = mustardproxy::jobs::QueueName("screens");
  screens.host = "soak.example";
  screens.path_prefix = "/screens/";
  screens.max_attempts = 3;
  screens.stretch = 2.0;
  screens.target = milliseconds(500);
  mustardproxy::jobs::Queue reviews = screens;
  reviews.name = mustardproxy::jobs::QueueName("reviews");
  reviews.path_prefix = "/reviews/";
  reviews.priority = 1;
  reviews.advice = mustardproxy::jobs::AdvicePolicy{
      milliseconds(15), mustardproxy::Duration(200), milliseconds(1500)};
  platform.queues = {screens, reviews};
  return platform;
}

}  // namespace

SoakProcess::SoakProcess(std::size_t index, const Platform& platform,
                         std::string folder)
    : name("cell-" + std::to_string(index)),
      folder(std::move(folder)),
      store_link(std::make_unique<Relay>(0, platform.StoreAddress())) {
  this->WriteSettings(platform);
}

void SoakProcess::WriteSettings(const Platform& platform) const {
  std::ofstream(this->folder + "/" + this->name + ".jsonc")
      << "{\"process\": \"" << this->name << "\", \"data_center\": \"dc-1\",\n"
      << " \"callers\": \"" << this->callers.Address() << "\",\n"
      << " \"readiness\": \"" << this->readiness.Address() << "\",\n"
      << " \"peers\": \"" << this->peers.Address() << "\",\n"
      << " \"operators\": \"" << this->operators.Address() << "\",\n"
      << " \"store\": \"" << this->store_link->Address() << "\",\n"
      << " \"policy_service\": \"" << platform.PolicyAddress() << "\",\n"
      << " \"grace_s\": 6}\n";
}

void SoakProcess::Start() {
  this->paused = false;
  this->ending = false;
  this->child = std::make_unique<ChildProcess>(
      std::vector<std::string>{SOAK_CELL_PROGRAM, "cell", "--settings",
                               this->folder + "/" + this->name + ".jsonc"},
      this->folder + "/" + this->name + ".log");
}

void SoakProcess::Kill() {
  this->child->Signal(SIGKILL);
  (void)this->child->Wait(kStartLimit);
}

void SoakProcess::Terminate() {
  this->ending = true;
  this->child->Signal(SIGTERM);
}

void SoakProcess::Pause() {
  this->paused = true;
  this->child->Signal(SIGSTOP);
}

void SoakProcess::Resume() {
  this->paused = false;
  if (!this->Ended()) this->child->Signal(SIGCONT);
}

bool SoakProcess::Ended() { return !this->child || !this->child->Running(); }

std::optional<mustardproxy::cell::ProcessEnd> SoakProcess::AwaitEnd(
    std::chrono::milliseconds limit) {
  return this->child->Wait(limit);
}

SoakCell::SoakCell(const SoakOptions& options)
    : folder(MakeFolder(options.folder)), platform(MakePlatform(options)) {
  if (!this->platform.Start()) throw std::runtime_error("no port is free");
  std::vector<std::string> addresses;
  for (std::size_t i = 0; i < this->platform.Racks(); ++i) {
    this->rack_links.push_back(std::make_unique<Relay>(
        0, this->platform.RackAddress(i), options.rack_connections));
    addresses.push_back(this->rack_links.back()->Address());
  }
  this->platform.ListWorkers(addresses);
  for (std::size_t i = 0; i < options.processes; ++i) {
    this->processes.push_back(
        std::make_unique<SoakProcess>(i + 1, this->platform, this->folder));
  }
}

bool SoakCell::Start() {
  for (const auto& process : this->processes) process->Start();
  return this->AwaitReady(kStartLimit);
}

bool SoakCell::AwaitReady(std::chrono::milliseconds limit) {
  const auto end = std::chrono::steady_clock::now() + limit;
  for (const auto& process : this->processes) {
    const auto ready = [&] {
      const auto reply = mustardproxy::cell::SendOnce(
          process->ReadyUrl(), {"GET", "/-/ready", "", {}}, kAskLimit);
      return reply && reply->status == 200;
    };
    while (!ready()) {
      if (std::chrono::steady_clock::now() >= end) return false;
      std::this_thread::sleep_for(kPoll);
    }
  }
  return true;
}

}  // namespace soak
