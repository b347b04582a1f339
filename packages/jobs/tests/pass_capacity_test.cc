#include "pass_capacity.h"

#include <boost/test/unit_test.hpp>
#include <cstddef>
#include <random>
#include <string>
#include <vector>

#include "evacuations.h"

namespace mustardproxy::jobs {
namespace {

using std::chrono::seconds;

const ServiceId kService("service");
constexpr Instant kStart = Instant(seconds(1));

std::string Numbered(std::string name, std::size_t number) {
  name += std::to_string(number);
  return name;
}

WorkerInfo MakeInfo(std::size_t number, const ServiceId& service = kService) {
  WorkerInfo info;
  info.incarnation.id = WorkerId(Numbered("w", number));
  info.service = service;
  info.data_center = DataCenterId(Numbered("dc", number % 3));
  info.capacity = {.cpu_milli = 16'000, .memory_mb = 32'000};
  return info;
}

RunRef MakeRun(std::size_t number) {
  return {{{JobId(Numbered("job", number)), 0, 0}, 0}, 1};
}

/// Workers that have answered.
struct Fixture {
  Fixture() { this->context.evacuations = &this->evacuations; }

  WorkerSession* Add(std::size_t number, const ServiceId& service = kService) {
    WorkerSession* session = this->context.workers.Add(
        MakeInfo(number, service), kStart, Instant::min());
    session->fenced = true;
    return session;
  }
  void AddRun(WorkerSession* session, std::size_t number) {
    SessionRun record;
    record.resources.cpu_milli = 3000;
    session->AddRun(MakeRun(number), record);
  }

  OwnerContext context;
  Evacuations evacuations{nullptr, nullptr, nullptr, "evacuate/", {}};
};

/// What a pass sees of a service.
std::string Describe(const PassCapacity& capacities, const ServiceId& service) {
  std::string text =
      std::to_string(capacities.Capacity(service).cpu_milli) + ":";
  for (const WorkerCapacity* one : capacities.OfService(service)) {
    text += ' ';
    text += one->session->Incarnation().id.Text();
    text += Numbered("=", static_cast<std::size_t>(one->free.cpu_milli));
    if (one->in_use) text += 'u';
    if (one->held) text += 'h';
  }
  return text;
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(pass_capacity, Fixture)

// Guards against passes whose cost grows with the workers of the cell rather
// than with what has changed.
BOOST_AUTO_TEST_CASE(a_pass_examines_only_workers_that_have_changed) {
  for (const std::size_t workers : {600, 6000}) {
    Fixture cell;
    std::vector<WorkerSession*> sessions;
    for (std::size_t i = 0; i < workers; ++i) sessions.push_back(cell.Add(i));
    PassCapacity capacities(&cell.context);
    capacities.Begin();
    BOOST_TEST(capacities.Examined() == workers);
    capacities.Begin();
    BOOST_TEST(capacities.Examined() == 0U);
    cell.AddRun(sessions[1], 1);
    cell.AddRun(sessions[1], 2);
    sessions[2]->ejected = true;
    sessions[3]->listed = true;
    cell.Add(4);
    capacities.Begin();
    // The one with runs, the ejected one, and both incarnations of the last.
    BOOST_TEST(capacities.Examined() == 4U);
  }
}

// Guards against a change that a pass does not see: after any sequence of
// changes it sees what one would that examines all workers.
BOOST_AUTO_TEST_CASE(a_pass_sees_what_one_that_examines_all_would_see) {
  const ServiceId other("other");
  for (std::uint32_t seed = 1; seed <= 30; ++seed) {
    std::mt19937 random(seed);
    Fixture cell;
    PassCapacity kept(&cell.context);
    const auto draw = [&](std::size_t limit) { return random() % limit; };
    constexpr std::size_t kWorkers = 25;
    for (std::size_t i = 0; i < kWorkers; ++i) cell.Add(i);
    for (int step = 0; step < 200; ++step) {
      const std::size_t number = draw(kWorkers);
      const WorkerId id(Numbered("w", number));
      WorkerSession* session = cell.context.workers.FindLatest(id);
      if (session == nullptr) session = cell.Add(number);
      switch (draw(12)) {
        case 0:
          session->listed = draw(2) == 0;
          break;
        case 1:
          session->described = draw(2) == 0;
          break;
        case 2:
          session->gone = draw(4) == 0;
          break;
        case 3:
          session->fenced = draw(4) > 0;
          break;
        case 4:
          session->unresponsive = draw(2) == 0;
          break;
        case 5:
          session->ejected = draw(2) == 0;
          break;
        case 6:
          cell.AddRun(session, draw(50));
          break;
        case 7:
          session->RemoveRun(MakeRun(draw(50)));
          break;
        case 8:
          session->info.draining = draw(3) == 0;
          session->info.service = draw(4) == 0 ? other : kService;
          session->info.capacity.cpu_milli =
              8000 + 1000 * static_cast<std::int64_t>(draw(9));
          session->NoteChange();
          break;
        case 9:
          cell.context.workers.Remove(id);
          break;
        case 10:
          cell.Add(number, draw(4) == 0 ? other : kService);
          break;
        default:
          if (!session->runs.empty()) {
            const RunRef run = session->runs.begin()->first;
            session->Quarantine(run, seconds(1));
            if (draw(2) == 0) session->EndQuarantine(run);
          }
      }
      if (draw(3) > 0) continue;
      kept.Begin();
      PassCapacity fresh(&cell.context);
      fresh.Begin();
      for (const ServiceId& service : {kService, other}) {
        BOOST_TEST(Describe(kept, service) == Describe(fresh, service));
      }
      BOOST_TEST(kept.AnySilent() == fresh.AnySilent());
      BOOST_TEST((kept.Total() == fresh.Total()));
      // What a pass takes is given back before the next one.
      for (WorkerCapacity* one : kept.OfService(kService)) {
        one->free = {};
        one->held = true;
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::jobs
