#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <utility>
#include <vector>

#include "check_invariants.h"
#include "job_sim/sim_cell.h"
#include "mustardproxy/core/error.h"

namespace mustardproxy::jobs {
namespace {

using job_sim::MakeSpec;
using job_sim::MakeStep;
using job_sim::SimCell;
using job_sim::SimJob;
using job_sim::SimWorker;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A change of the configuration must be in force everywhere after this.
constexpr Duration kApplyBound = seconds(3);

Team MakeTeam(const std::string& name, const std::string& key,
              std::int64_t cap_cpu_milli) {
  Team team;
  team.id = TeamId(name);
  team.keys = {KeyDigest::Of(key)};
  team.cap.cpu_milli = cap_cpu_milli;
  return team;
}

Step MakeGang(std::int32_t tasks, std::int64_t cpu_milli, Duration length) {
  Step step = MakeStep(tasks, cpu_milli, length);
  step.gang = true;
  return step;
}

/// Two teams: `small`, with a cap of 8 processors, and `large`, without one.
struct TeamFixture {
  TeamFixture() {
    this->cell->teams = {MakeTeam("small", "key-small", 8000),
                         MakeTeam("large", "key-large", 0)};
    this->ApplyTeams();
  }

  void ApplyTeams() {
    this->cell->Apply();
    this->cell->Time().RunFor(seconds(1));
  }
  SimJob* Submit(Step step, const std::string& key = "key-small") {
    return this->cell->Submit(MakeSpec({std::move(step)}), 0, key);
  }
  std::error_code SubmitAgain(const SimJob& job, std::size_t process,
                              const std::string& key) {
    const auto result = this->cell->SubmitOnce(job, process, key);
    BOOST_REQUIRE(result.has_value());
    return result->end == SubmitOutcome::kAccepted ? std::error_code()
                                                   : result->reason;
  }
  /// @return processors that all workers have in use
  std::int64_t CountUsed() {
    std::int64_t used = 0;
    for (const SimWorker* worker : this->cell->Workers().Alive()) {
      used += worker->Used().cpu_milli;
    }
    return used;
  }
  /// @return the most processors in use while this much time passes
  std::int64_t MaxUsed(Duration time) {
    std::int64_t most = 0;
    const Instant end = this->cell->Time().Now() + time;
    while (this->cell->Time().Now() < end) {
      this->cell->Time().RunFor(milliseconds(20));
      most = std::max(most, this->CountUsed());
    }
    return most;
  }
  bool Logged(const std::string& text) {
    for (const std::string& line : this->cell->Log().Lines()) {
      if (line.find(text) != std::string::npos) return true;
    }
    return false;
  }

  std::unique_ptr<SimCell> cell = SimCell::Builder().Workers(4).Build();
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(cell_team, TeamFixture)

// Guards against running the jobs of callers without a valid key.
BOOST_AUTO_TEST_CASE(job_with_an_unknown_key_is_not_stored) {
  const SimJob* job = Submit(MakeStep(1, 1000, seconds(1)), "key-none");
  cell->Time().RunFor(seconds(5));
  BOOST_TEST(job->denied);
  BOOST_TEST(cell->Judge().Runs() == 0);
  const auto state = cell->AskOnce(job->job.id, 1, "key-large");
  BOOST_REQUIRE(state.has_value());
  BOOST_TEST((state->error() == Error::kUnknownRequest));
  CheckInvariants(cell.get());
}

// Guards against a process that goes on admitting a revoked key: after its
// watch was cut, the history was dropped, or the process was restarted.
BOOST_AUTO_TEST_CASE(revoked_key_is_denied_by_every_process_in_time) {
  const SimJob* job = Submit(MakeStep(1, 1000, seconds(1)));
  BOOST_TEST(cell->AwaitFinal(job->job.id, seconds(5)));
  cell->ProcessAt(1)->store_cut = true;
  cell->KillProcess(2);
  cell->teams.front().keys.clear();
  cell->Apply();
  cell->Store().Compact();
  cell->ProcessAt(1)->store_cut = false;
  cell->StartProcess(2);
  cell->Time().RunFor(kApplyBound);
  for (std::size_t process = 0; process < 3; ++process) {
    BOOST_TEST((SubmitAgain(*job, process, "key-small") == Error::kUnknownKey));
    const auto state = cell->AskOnce(job->job.id, process, "key-small");
    BOOST_REQUIRE(state.has_value());
    BOOST_TEST((state->error() == Error::kUnknownKey));
    BOOST_TEST(
        (SubmitAgain(*job, process, "key-large") == Error::kJobOfOtherTeam));
  }
  CheckInvariants(cell.get());
}

// Guards against a process that is cut off from the store and turns away for
// good the callers whose keys are new.
BOOST_AUTO_TEST_CASE(cut_off_process_serves_known_keys_and_defers_others) {
  const SimJob* job = Submit(MakeStep(1, 1000, milliseconds(100)));
  BOOST_TEST(cell->AwaitFinal(job->job.id, seconds(5)));
  cell->ProcessAt(1)->store_cut = true;
  // A watch that waits already may still be answered.
  cell->Time().RunFor(seconds(2));
  cell->teams.front().keys.push_back(KeyDigest::Of("key-new"));
  cell->Apply();
  cell->Time().RunFor(seconds(5));
  const auto known = cell->AskOnce(job->job.id, 1, "key-small");
  BOOST_REQUIRE(known.has_value());
  BOOST_TEST(known->has_value());
  const auto added = cell->AskOnce(job->job.id, 1, "key-new");
  BOOST_REQUIRE(added.has_value());
  BOOST_TEST((added->error() == Error::kConfigurationStale));
  cell->ProcessAt(1)->store_cut = false;
  cell->Time().RunFor(kApplyBound);
  BOOST_TEST(cell->AskOnce(job->job.id, 1, "key-new")->has_value());
}

// Guards against one team seeing, cancelling or taking over jobs of another:
// waiting or running ones, ended ones, and ones that are read from the store.
BOOST_AUTO_TEST_CASE(job_of_another_team_is_neither_shown_nor_cancelled) {
  const SimJob* running = Submit(MakeStep(1, 1000, seconds(30)));
  const SimJob* ended = Submit(MakeStep(1, 1000, milliseconds(100)));
  BOOST_TEST(cell->AwaitFinal(ended->job.id, seconds(5)));
  const auto check = [this](const SimJob& job) {
    for (std::size_t process = 0; process < 3; ++process) {
      const auto shown = cell->AskOnce(job.job.id, process, "key-large");
      BOOST_REQUIRE(shown.has_value());
      BOOST_TEST((shown->error() == Error::kJobOfOtherTeam));
      const auto end = cell->CancelOnce(job.job.id, process, "key-large");
      BOOST_REQUIRE(end.has_value());
      BOOST_TEST((end->reason == Error::kJobOfOtherTeam));
      BOOST_TEST(
          (SubmitAgain(job, process, "key-large") == Error::kJobOfOtherTeam));
      BOOST_TEST(!SubmitAgain(job, process, "key-small"));
      BOOST_TEST(cell->AskOnce(job.job.id, process, "key-small")->has_value());
    }
  };
  check(*running);
  check(*ended);
  const auto owner = cell->OwnerIndex();
  BOOST_REQUIRE(owner.has_value());
  cell->KillProcess(*owner);
  cell->Time().RunFor(seconds(4));
  cell->StartProcess(*owner);
  cell->Time().RunFor(seconds(1));
  check(*running);
  check(*ended);
  BOOST_TEST((cell->Ask(running->job.id) == std::optional(JobState::kRunning)));
}

// Guards against one team that sends many times its share and makes the jobs of
// others late, and against leaving capacity unused meanwhile.
BOOST_AUTO_TEST_CASE(excess_of_one_team_does_not_delay_the_others) {
  cell->teams = {MakeTeam("hot", "key-hot", 0),
                 MakeTeam("calm", "key-calm", 0)};
  for (Team& team : cell->teams) team.weight = 5;
  ApplyTeams();
  // 16 tasks a second fit; 5 and 45 jobs of one task arrive.
  constexpr milliseconds kInterval(200);
  constexpr Duration kObjective = seconds(3);
  constexpr int kIntervals = 75;
  constexpr int kHotPerInterval = 9;
  std::vector<std::pair<Instant, const SimJob*>> calm;
  std::vector<const SimJob*> hot;
  for (int i = 0; i < kIntervals; ++i) {
    for (int k = 0; k < kHotPerInterval; ++k) {
      hot.push_back(Submit(MakeStep(1, 4000, seconds(1)), "key-hot"));
    }
    calm.emplace_back(cell->Time().Now(),
                      Submit(MakeStep(1, 4000, seconds(1)), "key-calm"));
    cell->Time().RunFor(kInterval);
  }
  const auto done_hot =
      std::count_if(hot.begin(), hot.end(),
                    [](const SimJob* job) { return job->done_at.has_value(); });
  cell->Time().RunFor(seconds(5));
  const auto in_time =
      std::count_if(calm.begin(), calm.end(), [&](const auto& one) {
        return one.second->done_at &&
               *one.second->done_at <= one.first + kObjective;
      });
  BOOST_TEST(static_cast<double>(in_time) >= 0.95 * kIntervals);
  // The rest of the capacity is used: 15 s of 16 tasks, less the calm team's,
  // less a tenth.
  BOOST_TEST(static_cast<double>(done_hot) >=
             0.9 * (15 * 16 - static_cast<double>(kIntervals)));
}

// Guards against a team that takes more than its cap with several jobs.
BOOST_AUTO_TEST_CASE(team_stays_within_its_cap) {
  std::vector<SimJob*> jobs;
  constexpr std::size_t kJobs = 4;
  jobs.reserve(kJobs);
  for (std::size_t i = 0; i < kJobs; ++i) {
    jobs.push_back(Submit(MakeStep(5, 1500, seconds(1))));
  }
  BOOST_TEST(MaxUsed(seconds(6)) == 7500);
  for (const SimJob* job : jobs) {
    BOOST_TEST(cell->AwaitFinal(job->job.id, seconds(10)));
  }
  BOOST_TEST(Logged("reason=team-cap until=team-runs"));
  CheckInvariants(cell.get());
}

// Guards against a gang that starts in part, or starves, under a cap.
BOOST_AUTO_TEST_CASE(gang_waits_for_the_cap_as_a_whole) {
  const SimJob* first = Submit(MakeStep(2, 2000, seconds(3)));
  cell->Time().RunFor(milliseconds(300));
  const SimJob* gang = Submit(MakeGang(3, 2000, seconds(1)));
  const SimJob* other = Submit(MakeGang(3, 8000, seconds(1)), "key-large");
  cell->Time().RunFor(seconds(2));
  // The gang of the other team does not wait for it.
  BOOST_TEST((cell->Ask(other->job.id) == JobState::kCompleted));
  BOOST_TEST((cell->Ask(gang->job.id) == JobState::kQueued));
  BOOST_TEST(cell->AwaitFinal(first->job.id, seconds(5)));
  BOOST_TEST(cell->AwaitFinal(gang->job.id, seconds(5)));
  CheckInvariants(cell.get());
}

// Guards against stopping tasks, or starting more, when a cap is lowered.
BOOST_AUTO_TEST_CASE(lowered_cap_stops_nothing_and_starts_nothing) {
  const SimJob* job = Submit(MakeStep(12, 2000, seconds(4)));
  cell->Time().RunFor(milliseconds(500));
  BOOST_TEST(CountUsed() == 8000);
  cell->teams.front().cap.cpu_milli = 2000;
  ApplyTeams();
  BOOST_TEST(CountUsed() == 8000);
  cell->Time().RunFor(seconds(4));
  BOOST_TEST(MaxUsed(seconds(8)) == 2000);
  cell->teams.front().cap.cpu_milli = 0;
  ApplyTeams();
  BOOST_TEST(cell->AwaitFinal(job->job.id, seconds(10)));
  BOOST_TEST(cell->Judge().Runs() == 12);
  CheckInvariants(cell.get());
}

// Guards against a new owner that does not count what runs already, or forgets
// the cap of a team that was removed.
BOOST_AUTO_TEST_CASE(cap_holds_across_owners_and_removal_of_the_team) {
  const SimJob* first = Submit(MakeStep(4, 2000, seconds(8)));
  cell->Time().RunFor(milliseconds(500));
  const SimJob* second = Submit(MakeStep(8, 2000, seconds(1)));
  cell->Time().RunFor(milliseconds(500));
  cell->teams.erase(cell->teams.begin());
  ApplyTeams();
  const auto owner = cell->OwnerIndex();
  BOOST_REQUIRE(owner.has_value());
  cell->KillProcess(*owner);
  BOOST_TEST(MaxUsed(seconds(14)) == 8000);
  cell->StartProcess(*owner);
  BOOST_TEST(cell->AwaitFinal(first->job.id, seconds(10)));
  BOOST_TEST(cell->AwaitFinal(second->job.id, seconds(10)));
  BOOST_TEST(cell->Judge().Runs() == 12);
  CheckInvariants(cell.get());
}

// Guards against holding a caller's job that can never run within its cap, and
// against denying one that was accepted under a higher cap.
BOOST_AUTO_TEST_CASE(job_that_exceeds_the_cap_is_refused_at_once) {
  const SimJob* kept = Submit(MakeGang(4, 2000, seconds(2)));
  cell->Time().RunFor(seconds(1));
  BOOST_TEST(kept->accepted);
  const SimJob* gang = Submit(MakeGang(5, 2000, seconds(1)));
  const SimJob* task = Submit(MakeStep(2, 9000, seconds(1)));
  BOOST_TEST((SubmitAgain(*gang, 0, "key-small") == Error::kExceedsTeamCap));
  BOOST_TEST((SubmitAgain(*task, 0, "key-small") == Error::kExceedsTeamCap));
  cell->teams.front().cap.cpu_milli = 4000;
  ApplyTeams();
  BOOST_TEST(!SubmitAgain(*kept, 0, "key-small"));
  cell->Time().RunFor(seconds(10));
  BOOST_TEST(!gang->accepted);
  BOOST_TEST(cell->Judge().Runs() == 4);
  CheckInvariants(cell.get());
}

// Guards against a job that waits under a lowered cap without a word.
BOOST_AUTO_TEST_CASE(wait_for_a_raised_cap_is_reported) {
  const SimJob* first = Submit(MakeStep(4, 2000, seconds(3)));
  cell->Time().RunFor(milliseconds(300));
  const SimJob* gang = Submit(MakeGang(4, 2000, seconds(1)));
  cell->Time().RunFor(milliseconds(300));
  BOOST_TEST(gang->accepted);
  cell->teams.front().cap.cpu_milli = 6000;
  ApplyTeams();
  BOOST_TEST(cell->AwaitFinal(first->job.id, seconds(5)));
  cell->Time().RunFor(seconds(5));
  BOOST_TEST(Logged("reason=team-cap until=cap-raised"));
  BOOST_TEST((cell->Ask(gang->job.id) == JobState::kQueued));
  cell->teams.front().cap.cpu_milli = 8000;
  ApplyTeams();
  BOOST_TEST(cell->AwaitFinal(gang->job.id, seconds(5)));
  CheckInvariants(cell.get());
}

// Guards against putting an invalid configuration in force, or losing the one
// before it.
BOOST_AUTO_TEST_CASE(invalid_configuration_changes_nothing) {
  cell->teams.back().keys.push_back(KeyDigest::Of("key-small"));
  ApplyTeams();
  BOOST_TEST(Logged("desired rejected"));
  const SimJob* job = Submit(MakeStep(1, 1000, milliseconds(100)));
  BOOST_TEST(cell->AwaitFinal(job->job.id, seconds(5)));
  // Until the watch after the change has ended, no view is recent enough to
  // reject a key.
  cell->Time().RunFor(milliseconds(200));
  BOOST_TEST((SubmitAgain(*job, 0, "key-none") == Error::kUnknownKey));
}

// Guards against keys in the log.
BOOST_AUTO_TEST_CASE(keys_are_logged_as_fingerprints_only) {
  const SimJob* job = Submit(MakeStep(1, 1000, milliseconds(100)));
  BOOST_TEST(cell->AwaitFinal(job->job.id, seconds(5)));
  (void)SubmitAgain(*job, 0, "key-none");
  BOOST_TEST(!Logged("key-small"));
  BOOST_TEST(!Logged("key-none"));
  BOOST_TEST(Logged(KeyDigest::Of("key-small").Fingerprint()));
  BOOST_TEST(Logged(KeyDigest::Of("key-none").Fingerprint()));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::jobs
