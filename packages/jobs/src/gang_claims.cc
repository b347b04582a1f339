#include "gang_claims.h"

#include <algorithm>
#include <utility>

#include "options.h"
#include "run_control.h"

namespace mustardproxy::jobs {
namespace {

/// How long the room of a gang stays empty for it once its start is stored: two
/// questions about the most workers. Longer only if the policy service fails.
constexpr Duration kLongestClaim = milliseconds(3000);
/// Share of the cell's processors that may stand empty for gangs whose question
/// is being answered before one more may take its room: urgent tasks find room
/// in the rest.
constexpr double kMaxClaimedShare = 0.05;
/// How long a gang that was given up on leaves the room to others.
constexpr Duration kClaimPause = seconds(1);

}  // namespace

bool MayClaim(std::int64_t claimed_cpu_milli, std::int64_t cell_cpu_milli) {
  return static_cast<double>(claimed_cpu_milli) <
         kMaxClaimedShare * static_cast<double>(cell_cpu_milli);
}

GangClaims::GangClaims(OwnerContext* context) : context(context) {}

void GangClaims::Add(std::vector<RunRef> runs,
                     std::vector<WorkerIncarnation> workers) {
  const StepRef step = runs.front().task.step;
  Claim& claim = this->claims[step];
  const Step& spec = *this->context->jobs.FindStep(step);
  claim = Claim{std::move(runs),
                std::move(workers),
                false,
                this->context->executor->Now(),
                spec.each.cpu_milli * spec.tasks,
                false};
  this->Check(step);
}

void GangClaims::OnStored(const RunRef& first) {
  const StepRef& step = first.task.step;
  const auto found = this->claims.find(step);
  // It may be that an earlier run of the same gang was stored late.
  if (found == this->claims.end()) return;
  if (found->second.runs.front() != first) return;
  found->second.stored = true;
  found->second.since = this->context->executor->Now();
  this->Check(step);
}

void GangClaims::OnAnswer(const StepRef& step) { this->Check(step); }

void GangClaims::CheckAll() {
  std::vector<StepRef> steps;
  for (const auto& [step, claim] : this->claims) steps.push_back(step);
  for (const StepRef& step : steps) this->Check(step);
}

bool GangClaims::MayAdd(std::int64_t cell_cpu_milli) const {
  std::int64_t claimed = 0;
  for (const auto& [step, claim] : this->claims) {
    if (claim.asks) claimed += claim.cpu_milli;
  }
  return MayClaim(claimed, cell_cpu_milli);
}

bool GangClaims::Holds(const StepRef& step) const {
  return this->claims.contains(step);
}

std::vector<AskedWorker> GangClaims::WorkersToAsk(const StepRef& step) {
  const auto found = this->claims.find(step);
  if (found == this->claims.end()) return {};
  const JobEntry* entry = this->context->jobs.Find(step.job);
  if (entry == nullptr) return {};
  const auto& policy = this->context->QueueOf(*entry).advice;
  if (!policy) return {};
  const Claim& claim = found->second;
  const Duration cost =
      policy->decision +
      policy->per_worker * static_cast<std::int64_t>(claim.workers.size());
  const Instant answered = this->context->executor->Now() + cost;
  std::vector<AskedWorker> asked =
      this->Unpermitted(step, claim, answered + kTicketMargin);
  if (asked.size() > kMaxAdviceWorkers) asked.resize(kMaxAdviceWorkers);
  return asked;
}

bool GangClaims::IsWhole(const Claim& claim) {
  for (std::size_t i = 0; i < claim.runs.size(); ++i) {
    WorkerSession* session = this->context->workers.Find(claim.workers[i]);
    const SessionRun* record =
        session == nullptr ? nullptr : session->FindRun(claim.runs[i]);
    const bool waits = record != nullptr && !record->stopping &&
                       record->phase == RunPhase::kPlanned;
    if (!waits) return false;
  }
  return true;
}

bool GangClaims::IsRefused(const StepRef& step, const Claim& claim) {
  const StepAdvice* advice = this->context->advice->Find(step);
  if (advice == nullptr) return true;
  return std::any_of(
      claim.workers.begin(), claim.workers.end(),
      [&](const WorkerIncarnation& worker) {
        const WorkerSession* session = this->context->workers.Find(worker);
        return session == nullptr || advice->Refuses(session->Number());
      });
}

std::vector<AskedWorker> GangClaims::Unpermitted(const StepRef& step,
                                                 const Claim& claim,
                                                 Instant moment) {
  const StepAdvice* advice = this->context->advice->Find(step);
  std::map<WorkerId, SessionNumber> lacking;
  for (const WorkerIncarnation& worker : claim.workers) {
    const WorkerSession* session = this->context->workers.Find(worker);
    if (session == nullptr) continue;
    const Ticket* ticket =
        advice == nullptr ? nullptr : advice->TicketFor(session->Number());
    const bool holds = ticket != nullptr && ticket->expires > moment;
    if (!holds) lacking.emplace(worker.id, session->Number());
  }
  std::vector<AskedWorker> asked;
  asked.reserve(lacking.size());
  for (const auto& [worker, number] : lacking) {
    asked.push_back({worker, number});
  }
  return asked;
}

void GangClaims::Check(const StepRef& step) {
  const auto found = this->claims.find(step);
  if (found == this->claims.end()) return;
  Claim& claim = found->second;
  const Instant now = this->context->executor->Now();
  claim.asks = !this->Unpermitted(step, claim, now + kTicketMargin).empty();
  if (!this->IsWhole(claim)) {
    this->GiveUp(step, "a member was stopped or lost");
  } else if (this->IsRefused(step, claim)) {
    this->GiveUp(step, "a worker is not permitted");
  } else if (claim.asks) {
    // Nothing else could start either while the store does not answer.
    const bool too_long = claim.stored && now - claim.since > kLongestClaim;
    if (too_long) {
      this->GiveUp(step, "no permissions in time");
    } else {
      this->Ask(step);
    }
  } else if (claim.stored) {
    this->Send(step);
  }
}

void GangClaims::Send(const StepRef& step) {
  const Claim claim = std::move(this->claims.at(step));
  this->claims.erase(step);
  for (std::size_t i = 0; i < claim.runs.size(); ++i) {
    this->context->runs->SendStart(claim.workers[i], claim.runs[i]);
  }
}

void GangClaims::Ask(const StepRef& step) {
  const JobEntry* entry = this->context->jobs.Find(step.job);
  if (entry == nullptr) return;
  const Queue& queue = this->context->QueueOf(*entry);
  if (!queue.advice) return;
  this->context->advice->Want({.step = step,
                               .queue = queue.name,
                               .policy = *queue.advice,
                               .limits = {},
                               .begin_by = this->claims.at(step).since,
                               .room_taken = true});
}

void GangClaims::GiveUp(const StepRef& step, std::string_view reason) {
  const Claim claim = std::move(this->claims.at(step));
  this->claims.erase(step);
  this->context->log->Write("jobs", "claim-given-up",
                            {{"step", Text(step)},
                             {"run", claim.runs.front().run},
                             {"tasks", claim.runs.size()},
                             {"stored", claim.stored ? 1 : 0},
                             {"reason", reason}});
  this->context->runs->StopGang(claim.runs.front());
  const Instant later = this->context->executor->Now() + kClaimPause;
  for (const RunRef& run : claim.runs) {
    TaskEntry* task = this->context->jobs.FindTask(run.task);
    if (task != nullptr && !task->open) task->not_before = later;
  }
}

}  // namespace mustardproxy::jobs
