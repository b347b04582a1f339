#include "soak/soak.h"

#include <utility>

#include "callers.h"
#include "cell.h"
#include "faults.h"

namespace soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Within this each process is ready once all faults are over.
constexpr seconds kReadyLimit(30);
/// The longest wait for a worker that could not be reached, twice, and the
/// work itself.
constexpr seconds kEndLimit(60);
/// Grace time of the settings, and what a busy machine takes.
constexpr seconds kStopLimit(10);

void Count(const Callers& callers, SoakResult* result) {
  using Fate = CallerJob::Fate;
  for (const auto& [id, job] : callers.Jobs()) {
    ++result->jobs;
    if (job.fate == Fate::kAccepted) ++result->accepted;
    if (job.fate == Fate::kRefused) ++result->refused;
    if (job.fate == Fate::kUnknown) ++result->unknown;
  }
}

/// What was refused each time must not have run.
void JudgeRefused(SoakCell* cell, const Callers& callers, SoakResult* result) {
  cell->Machines().Do([&] {
    for (const auto& [id, job] : callers.Jobs()) {
      if (job.fate != CallerJob::Fate::kRefused) continue;
      const job_sim::SimJob* known =
          cell->Machines().Judge().Find(mustardproxy::jobs::JobId(id));
      if (known->first_start) {
        result->broken.push_back("refused, and it ran: " + id);
      }
    }
  });
}

void JudgeStops(SoakCell* cell, SoakResult* result) {
  for (const auto& process : cell->Processes()) process->Terminate();
  for (const auto& process : cell->Processes()) {
    const auto end = process->AwaitEnd(kStopLimit);
    const bool good = end && end->exit_code == 0;
    if (good) continue;
    result->broken.push_back(process->Name() + " did not end well on SIGTERM");
  }
}

}  // namespace

SoakResult RunSoak(const SoakOptions& options) {
  SoakResult result;
  SoakCell cell(options);
  result.folder = cell.Folder();
  if (!cell.Start()) {
    result.broken.push_back("not ready after the start");
    return result;
  }
  Callers callers(&cell, options);
  callers.Start();
  Faults faults(&cell, options);
  faults.Play();
  callers.Stop();
  result.events = faults.Events();
  if (!cell.AwaitReady(kReadyLimit)) {
    result.broken.push_back("not ready after the faults");
  }
  for (const std::string& id : callers.AwaitEnds(kEndLimit)) {
    result.broken.push_back("not ended: " + id);
  }
  Count(callers, &result);
  JudgeRefused(&cell, callers, &result);
  JudgeStops(&cell, &result);
  cell.Machines().Do([&] {
    const job_sim::Promises& judge = cell.Machines().Judge();
    result.runs = judge.Runs();
    result.broken.insert(result.broken.end(), judge.Broken().begin(),
                         judge.Broken().end());
  });
  for (const std::string& problem : callers.Broken()) {
    result.broken.push_back(problem);
  }
  return result;
}

}  // namespace soak
