#include "faults.h"

#include <memory>
#include <thread>

namespace soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kLeastLength(400);
constexpr milliseconds kMostLength(6000);
constexpr milliseconds kFirstFault(500);
constexpr milliseconds kLinkDelay(150);
/// A process that ended is started again after this.
constexpr milliseconds kRestartAfter(700);
constexpr milliseconds kPoll(20);
/// The grace time of a process, and what a busy machine takes.
constexpr milliseconds kEndLimit(10'000);
constexpr double kFaultyShare = 0.2;
/// A worker that shrinks has this part of its processors left.
constexpr std::int64_t kShrinkFactor = 8;
/// Workers that start again are away for none to four times this.
constexpr milliseconds kQuickestRestart(300);
constexpr std::size_t kKinds = 5;

}  // namespace

Faults::Faults(SoakCell* cell, const SoakOptions& options)
    : cell(cell), options(options), random(options.seed) {}

std::size_t Faults::DrawIndex(std::size_t count) {
  return std::uniform_int_distribution<std::size_t>(0, count - 1)(this->random);
}

Faults::Millis Faults::DrawLength() {
  return milliseconds(std::uniform_int_distribution<std::int64_t>(
      kLeastLength.count(), kMostLength.count())(this->random));
}

void Faults::At(Millis time, std::function<void()> task) {
  this->plan.emplace(time, std::move(task));
}

void Faults::Note(const std::string& event) {
  const auto at = std::chrono::duration_cast<milliseconds>(steady_clock::now() -
                                                           this->begun);
  this->events.push_back(std::to_string(at.count()) + " ms " + event);
}

void Faults::PlanSpan(Millis at, const std::string& name,
                      const std::function<void()>& begin,
                      const std::function<void()>& end) {
  this->At(at, [this, name, begin] {
    this->Note(name);
    begin();
  });
  this->At(at + this->DrawLength(), [this, name, end] {
    this->Note("end of " + name);
    end();
  });
}

void Faults::Plan(Millis at) {
  switch (this->DrawIndex(kKinds)) {
    case 0:
      this->PlanProcess(at);
      return;
    case 1:
      this->PlanStoreLink(at);
      return;
    case 2:
      this->PlanRackLink(at);
      return;
    case 3:
      this->PlanStore(at);
      return;
    default:
      this->PlanWorkers(at);
  }
}

void Faults::PlanProcess(Millis at) {
  SoakProcess* process =
      this->cell->Processes()[this->DrawIndex(this->options.processes)].get();
  const std::string& name = process->Name();
  switch (this->DrawIndex(4)) {
    case 0:
      this->At(at, [this, process, name] {
        this->Note("kill " + name);
        process->Kill();
      });
      return;
    case 1:
      this->At(at, [this, process, name] {
        this->Note("terminate " + name);
        process->Terminate();
      });
      return;
    case 2:
      for (const auto& one : this->cell->Processes()) {
        this->At(at, [this, each = one.get()] {
          this->Note("kill " + each->Name());
          each->Kill();
        });
      }
      return;
    default:
      this->PlanSpan(
          at, "pause " + name, [process] { process->Pause(); },
          [process] { process->Resume(); });
  }
}

void Faults::PlanRelay(Millis at, const std::string& name, Relay* relay,
                       const std::function<void(bool harmed)>& note) {
  using mustardproxy::standin::RelayFaults;
  const auto plan = [&](const std::string& what, RelayFaults faults) {
    this->PlanSpan(
        at, what + " " + name,
        [relay, note, faults] {
          note(true);
          relay->Set(faults);
        },
        [relay, note] {
          relay->Set(RelayFaults{});
          note(false);
        });
  };
  switch (this->DrawIndex(4)) {
    case 0:
      plan("cut", {.cut = true, .freeze = false, .delay = Millis(0)});
      return;
    case 1:
      plan("freeze", {.cut = false, .freeze = true, .delay = Millis(0)});
      return;
    case 2:
      plan("delay", {.cut = false, .freeze = false, .delay = kLinkDelay});
      return;
    default:
      this->At(at, [this, name, relay] {
        this->Note("silence open connections of " + name);
        relay->SilenceOpen();
      });
  }
}

void Faults::PlanStoreLink(Millis at) {
  SoakProcess* process =
      this->cell->Processes()[this->DrawIndex(this->options.processes)].get();
  this->PlanRelay(at, "store link of " + process->Name(), &process->StoreLink(),
                  [](bool /*harmed*/) {});
}

void Faults::PlanRackLink(Millis at) {
  const std::size_t rack = this->DrawIndex(this->cell->RackLinks().size());
  Platform* platform = &this->cell->Machines();
  this->PlanRelay(at, "link of rack " + std::to_string(rack),
                  this->cell->RackLinks()[rack].get(),
                  [platform, rack](bool harmed) {
                    platform->Do([&] { platform->SetWayHarmed(rack, harmed); });
                  });
}

void Faults::PlanStore(Millis at) {
  Platform* platform = &this->cell->Machines();
  const auto set = [platform](auto member, auto value) {
    return [platform, member, value] {
      platform->Do([&] { platform->Store().*member = value; });
    };
  };
  using job_sim::SimStore;
  switch (this->DrawIndex(6)) {
    case 0:
      this->PlanSpan(at, "store silent", set(&SimStore::silent, true),
                     set(&SimStore::silent, false));
      return;
    case 1:
      this->PlanSpan(at, "store refuses", set(&SimStore::refusing, true),
                     set(&SimStore::refusing, false));
      return;
    case 2:
      this->PlanSpan(at, "answers of the store lost",
                     set(&SimStore::lost_answers, kFaultyShare),
                     set(&SimStore::lost_answers, 0.0));
      return;
    case 3:
      this->PlanSpan(at, "writes of the store late",
                     set(&SimStore::late_writes, kFaultyShare),
                     set(&SimStore::late_writes, 0.0));
      return;
    case 4:
      this->At(at, [this, platform] {
        this->Note("store forgets its history");
        platform->Do([&] { platform->Store().Compact(); });
      });
      return;
    default:
      this->At(at, [this, platform] {
        this->Note("leases revoked");
        platform->Do([&] { platform->Store().RevokeLeases(); });
      });
  }
}

job_sim::SimWorker* Faults::DrawWorker() {
  const auto alive = this->cell->Machines().Workers().Alive();
  return alive[this->DrawIndex(alive.size())];
}

void Faults::PlanWorkers(Millis at) {
  Platform* platform = &this->cell->Machines();
  switch (this->DrawIndex(4)) {
    case 0:
      this->At(at, [this, platform] {
        platform->Do([&] {
          job_sim::SimWorker* worker = this->DrawWorker();
          this->Note("crash " + worker->Info().incarnation.id.Text());
          platform->CrashWorker(worker, this->DrawLength());
        });
      });
      return;
    case 1:
      this->PlanSpan(
          at, "orders late",
          [platform] {
            platform->Do(
                [&] { platform->Workers().late_orders = kFaultyShare; });
          },
          [platform] {
            platform->Do([&] { platform->Workers().late_orders = 0; });
          });
      return;
    case 2:
      this->PlanSpan(
          at, "answers of workers lost",
          [platform] {
            platform->Do(
                [&] { platform->Workers().lost_answers = kFaultyShare; });
          },
          [platform] {
            platform->Do([&] { platform->Workers().lost_answers = 0; });
          });
      return;
    default:
      this->At(at, [this, platform] {
        this->Note("desired state again");
        platform->Do([&] { platform->ApplyAgain(); });
      });
  }
}

void Faults::PlanRestarts(Millis at) {
  Platform* platform = &this->cell->Machines();
  const auto restart = [this, platform] {
    platform->Do([&] {
      for (job_sim::SimWorker* worker : platform->Workers().Alive()) {
        if (this->DrawIndex(2) == 0) continue;
        this->Note("restart " + worker->Info().incarnation.id.Text());
        platform->CrashWorker(
            worker, kQuickestRestart * static_cast<int>(this->DrawIndex(5)));
      }
    });
  };
  this->At(at, restart);
  this->At(at + this->DrawLength(), restart);
}

void Faults::PlanResize(Millis at) {
  Platform* platform = &this->cell->Machines();
  const auto address = std::make_shared<std::string>();
  const auto whole = std::make_shared<mustardproxy::Resources>();
  this->PlanSpan(
      at, "a worker shrinks",
      [this, platform, address, whole] {
        platform->Do([&] {
          job_sim::SimWorker* worker = this->DrawWorker();
          *address = worker->Info().address;
          *whole = worker->Info().capacity;
          mustardproxy::Resources left = *whole;
          left.cpu_milli /= kShrinkFactor;
          platform->ResizeWorker(worker, left);
        });
      },
      [platform, address, whole] {
        platform->Do([&] {
          job_sim::SimWorker* now = platform->Workers().At(*address);
          if (now->Alive()) platform->ResizeWorker(now, *whole);
        });
      });
}

void Faults::RestartEnded() {
  for (const auto& process : this->cell->Processes()) {
    if (!process->Ended()) continue;
    std::this_thread::sleep_for(kRestartAfter);
    this->Note("start " + process->Name());
    process->Start();
  }
}

void Faults::Play() {
  this->begun = steady_clock::now();
  const auto draw_moment = [this] {
    return milliseconds(std::uniform_int_distribution<std::int64_t>(
        kFirstFault.count(), this->options.length.count())(this->random));
  };
  for (std::int32_t i = 0; i < this->options.faults; ++i) {
    this->Plan(draw_moment());
  }
  if (this->options.crashing_tasks) this->PlanResize(draw_moment());
  if (this->options.reused_ids) this->PlanRestarts(draw_moment());
  while (!this->plan.empty() ||
         steady_clock::now() < this->begun + this->options.length) {
    this->RestartEnded();
    const auto first = this->plan.begin();
    const bool due = first != this->plan.end() &&
                     steady_clock::now() >= this->begun + first->first;
    if (!due) {
      std::this_thread::sleep_for(kPoll);
      continue;
    }
    const auto task = std::move(first->second);
    this->plan.erase(first);
    task();
  }
  // One that was told to end late in the plan is started again as well.
  for (const auto& process : this->cell->Processes()) {
    if (process->Ending()) (void)process->AwaitEnd(kEndLimit);
  }
  this->RestartEnded();
}

}  // namespace soak
