#include <utility>
#include <variant>

#include "entry_process.h"

// What an entry process sends to the platform.
namespace mustardproxy::fault_matrix {
namespace {

constexpr Duration kPlatformTimeout = std::chrono::seconds(2);
constexpr Duration kProbeInterval = std::chrono::milliseconds(500);
constexpr Duration kSettlePause = std::chrono::seconds(1);
constexpr std::int32_t kSettleTries = 5;

Step AppendStep(const JournalBatch& batch) {
  if (batch.records.empty()) {
    return Step::kAppendEnded;
  }
  const JournalRecord& first = batch.records.front();
  if (std::holds_alternative<AcceptedRecord>(first)) {
    return Step::kAppendAccepted;
  }
  if (std::holds_alternative<StartedRecord>(first)) {
    return Step::kAppendStarted;
  }
  if (std::holds_alternative<AdoptedRecord>(first)) {
    return Step::kAppendAdopted;
  }
  if (std::holds_alternative<HandedOverRecord>(first)) {
    return Step::kAppendHandedOver;
  }
  return Step::kAppendEnded;
}

}  // namespace

void EntryProcess::Do(const WatchConfiguration& action) {
  const bool begins = action.watch && !this->watches;
  this->watches = action.watch;
  if (begins) {
    this->CallPlatform(
        this->Configured() ? Step::kConfigurationChange
                           : Step::kConfigurationStart,
        [this](const Respond& respond) {
          respond([this, now = this->around->platform->configuration] {
            this->Handle(ConfigurationArrived{now});
          });
        },
        [] {});
  }
}

void EntryProcess::CallPlatform(Step step, std::function<void(Respond)> work,
                                std::function<void()> lost) {
  ModelPlatform* platform = this->around->platform;
  Call call;
  call.from = this;
  call.to = platform;
  call.step = step;
  call.timeout = kPlatformTimeout;
  call.work = [this, platform, work = std::move(work)](const Respond& respond) {
    if (!platform->Answers()) {
      return;
    }
    const Respond fitting = [this, platform,
                             respond](const std::function<void()>& at_caller) {
      if (platform->LosesReplies()) {
        return;
      }
      respond([this, at_caller] {
        at_caller();
        this->NotePlatform(true);
      });
    };
    this->simulation->After(platform->Delay(),
                            [work, fitting] { work(fitting); });
  };
  call.lost = [this, lost = std::move(lost)] {
    lost();
    this->NotePlatform(false);
  };
  this->around->network->Send(std::move(call));
}

void EntryProcess::NotePlatform(bool reachable) {
  if (this->platform_reachable == reachable) {
    return;
  }
  this->platform_reachable = reachable;
  this->Handle(PlatformReachability{reachable});
  if (!reachable) {
    this->Probe();
  }
}

void EntryProcess::Probe() {
  this->simulation->After(kProbeInterval, [this, run = this->Run()] {
    if (this->Run() != run || this->platform_reachable) {
      return;
    }
    this->Receive([this] {
      this->CallPlatform(
          Step::kReadJournal, [](const Respond& respond) { respond([] {}); },
          [] {});
      this->Probe();
    });
  });
}

void EntryProcess::Do(const AppendJournal& action) {
  const JournalBatch batch = action.batch;
  ModelPlatform* platform = this->around->platform;
  this->CallPlatform(
      AppendStep(batch),
      [this, platform, batch](const Respond& respond) {
        const bool ours = platform->Append(batch);
        respond([this, batch, ours] {
          if (ours) {
            this->Handle(JournalAppended{batch.journal, batch.sequence});
          } else {
            this->Handle(JournalFenced{batch.journal, batch.sequence});
          }
        });
      },
      [this, batch] { this->ReadBack(batch); });
}

void EntryProcess::ReadBack(const JournalBatch& batch) {
  ModelPlatform* platform = this->around->platform;
  const JournalId journal = batch.journal;
  const std::uint64_t sequence = batch.sequence;
  this->CallPlatform(
      Step::kReadJournal,
      [this, platform, batch](const Respond& respond) {
        const auto there = platform->BatchAt(batch.journal, batch.sequence);
        respond([this, batch, there] {
          if (!there) {
            this->Handle(JournalUncertain{batch.journal, batch.sequence});
          } else if (*there == batch.batch_id) {
            this->Handle(JournalAppended{batch.journal, batch.sequence});
          } else {
            this->Handle(JournalFenced{batch.journal, batch.sequence});
          }
        });
      },
      [this, journal, sequence] {
        this->Handle(JournalUncertain{journal, sequence});
      });
}

void EntryProcess::Do(const ListJournals& /*action*/) {
  this->CallPlatform(
      Step::kReadJournal,
      [this](const Respond& respond) {
        respond([this, names = this->around->platform->Journals()] {
          this->Handle(JournalsListed{names});
        });
      },
      [] {});
}

void EntryProcess::Do(const ReadJournal& action) {
  this->CallPlatform(
      Step::kReadJournal,
      [this, action](const Respond& respond) {
        const auto batches = this->around->platform->Read(action.journal);
        respond([this, action, batches] {
          this->Handle(JournalRead{action.journal, batches});
        });
      },
      [] {});
}

void EntryProcess::Do(const TrimJournal& action) {
  this->CallPlatform(
      Step::kReadJournal,
      [this, action](const Respond& /*respond*/) {
        this->around->platform->Trim(action);
      },
      [] {});
}

void EntryProcess::Do(const ClaimKey& action) {
  const RequestId request = action.request;
  this->CallPlatform(
      Step::kClaimKey,
      [this, action](const Respond& respond) {
        const KeyClaim claim = this->around->platform->Claim(action);
        respond([this, action, claim] {
          if (claim.request == action.request) {
            this->Handle(KeyClaimed{action.request});
          } else {
            this->Handle(KeyTaken{action.request, claim});
          }
        });
      },
      [this, request] {
        this->Handle(KeyUnavailable{request, true});
      });
}

void EntryProcess::Do(const ResolveKeyClaim& action) {
  this->SettleWithRetries(action, kSettleTries);
}

void EntryProcess::SettleWithRetries(const ResolveKeyClaim& action,
                                     std::int32_t tries) {
  this->CallPlatform(
      Step::kSettleKey,
      [this, action](const Respond& respond) {
        this->around->platform->Settle(action);
        respond([] {});
      },
      [this, action, tries] {
        if (tries <= 1) {
          return;
        }
        this->simulation->After(
            kSettlePause, [this, action, tries, run = this->Run()] {
              if (this->Run() == run) {
                this->Receive([this, action, tries] {
                  this->SettleWithRetries(action, tries - 1);
                });
              }
            });
      });
}

}  // namespace mustardproxy::fault_matrix
