#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <vector>

#include "check_invariants.h"
#include "job_sim/sim_cell.h"
#include "retry_delay.h"

namespace mustardproxy::jobs {
namespace {

using job_sim::MakeSpec;
using job_sim::MakeStep;
using job_sim::SimCell;
using job_sim::SimJob;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kOutage = seconds(9);
constexpr int kRetries = 4;
constexpr std::size_t kProcesses = 3;

/// A caller that follows Retry-After, as HTTP tells it: in whole seconds.
struct Caller {
  SimJob* job = nullptr;
  Instant submitted;
  int tries = 0;
  bool accepted = false;
};

class Callers {
 public:
  explicit Callers(SimCell* cell) : cell(cell) {}

  /// One caller each `interval` for as long as `length`.
  void Start(const JobSpec& spec, Duration interval, Duration length) {
    for (Duration at{0}; at < length; at += interval) {
      this->cell->Time().After(at, [this, spec] {
        auto caller = std::make_shared<Caller>();
        Job job;
        job.id = JobId("caller" + std::to_string(this->all.size()));
        job.queue = this->cell->queue;
        job.spec = spec;
        caller->job = this->cell->Judge().Add(std::move(job));
        caller->submitted = this->cell->Time().Now();
        this->all.push_back(caller);
        this->Try(caller);
      });
    }
  }
  /// @return the share of the callers whose jobs were done within the objective
  [[nodiscard]] double ShareInTime() const {
    const auto in_time = std::count_if(
        this->all.begin(), this->all.end(), [](const auto& caller) {
          const Duration objective =
              EstimateObjective(caller->job->job.queue, caller->job->job.spec);
          return caller->job->done_at &&
                 *caller->job->done_at <= caller->submitted + objective;
        });
    return static_cast<double>(in_time) / static_cast<double>(this->all.size());
  }
  [[nodiscard]] const std::vector<std::shared_ptr<Caller>>& All() const {
    return this->all;
  }

 private:
  void Try(const std::shared_ptr<Caller>& caller) {
    const std::size_t index = caller->tries++ % kProcesses;
    this->cell->ProcessAt(index)->Post([this, caller, index] {
      this->cell->NodeAt(index)->Submit(
          Admission{.queue = this->cell->queue}, caller->job->job.id,
          caller->job->job.spec, seconds(3),
          [this, caller](const SubmitResult& result) {
            if (result.end == SubmitOutcome::kAccepted) {
              caller->accepted = true;
              caller->job->accepted = true;
            } else if (result.end == SubmitOutcome::kNotAccepted &&
                       caller->tries <= kRetries) {
              this->cell->Time().After(
                  std::chrono::ceil<seconds>(result.retry_after),
                  [this, caller] { this->Try(caller); });
            }
          });
    });
  }

  SimCell* cell;
  std::vector<std::shared_ptr<Caller>> all;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(cell_outage)

// Failure: callers whose jobs have seconds to spare use up their tries during
// an outage of the store.
BOOST_AUTO_TEST_CASE(patient_callers_outlast_an_outage_of_the_store) {
  const auto cell = SimCell::Builder().Processes(kProcesses).Workers(8).Build();
  cell->queue.stretch = 2.2;
  cell->queue.target = seconds(4);
  cell->Apply();
  cell->Time().RunFor(seconds(2));
  cell->Store().leases_run_on = false;
  cell->Store().refusing = true;
  // The processes know of the outage.
  cell->Time().RunFor(seconds(1));
  Callers callers(cell.get());
  callers.Start(MakeSpec({MakeStep(2, 1000, seconds(5))}), milliseconds(200),
                kOutage - seconds(1));
  cell->Time().RunFor(kOutage - seconds(1));
  cell->Store().refusing = false;
  cell->Time().RunFor(seconds(30));
  BOOST_TEST(callers.ShareInTime() >= 0.9);
  for (const auto& caller : callers.All()) BOOST_TEST(caller->accepted);
  CheckInvariants(cell.get());
}

// Failure: an urgent caller is told to wait for longer than its job is useful.
BOOST_AUTO_TEST_CASE(urgent_callers_are_told_to_retry_soon) {
  BOOST_TEST((RetryDelayInOutage(milliseconds(1500)) == seconds(1)));
  BOOST_TEST((RetryDelayInOutage(seconds(12)) == seconds(3)));
  BOOST_TEST((RetryDelayInOutage(seconds(600)) == seconds(3)));
}

BOOST_AUTO_TEST_CASE(objective_is_the_stretched_chain_and_the_target) {
  Queue queue;
  queue.stretch = 2.0;
  queue.target = seconds(1);
  Step second = MakeStep(1, 1000, seconds(3));
  second.after = {0};
  const JobSpec spec = MakeSpec(
      {MakeStep(1, 1000, seconds(2)), second, MakeStep(1, 1000, seconds(4))});
  BOOST_TEST((EstimateObjective(queue, spec) == seconds(11)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::jobs
