#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "core_harness.h"
#include "mustardproxy/core/error.h"

using namespace mustardproxy;           // NOLINT(google-build-using-namespace)
using namespace mustardproxy::testing;  // NOLINT(google-build-using-namespace)

BOOST_AUTO_TEST_SUITE(core_operations)

// An older configuration arrives after a newer one was applied. It must be
// ignored.
BOOST_AUTO_TEST_CASE(an_older_configuration_is_ignored) {
  CoreHarness harness(1);
  Configuration newer = CoreHarness::CellConfiguration();
  newer.version = 3;
  harness.Send(ConfigurationArrived{newer});
  Configuration older = CoreHarness::CellConfiguration();
  older.version = 2;
  harness.Send(ConfigurationArrived{older});
  BOOST_TEST(harness.core.ConfigurationInForce().version == 3U);
}

BOOST_AUTO_TEST_CASE(a_peers_newer_configuration_is_fetched) {
  CoreHarness harness(1);
  Digest digest;
  digest.process = ProcessId("q1");
  digest.incarnation = 5;
  digest.data_center = DataCenterId("dc2");
  digest.configuration_version = 9;
  harness.Send(DigestArrived{digest});
  harness.Advance(std::chrono::seconds(1));
  BOOST_TEST(!harness.Take<FetchConfiguration>().empty());
}

BOOST_AUTO_TEST_CASE(a_leaving_worker_gets_nothing_new) {
  CoreHarness harness(2);
  HostListArrived list;
  for (const char* name : {"w1", "w2"}) {
    list.workers.push_back({WorkerId(name), std::string(name) + ":80",
                            DataCenterId("dc1"), RackId("r1"), false});
  }
  list.workers[0].leaving = true;
  harness.Send(list);
  for (int i = 0; i < 8; ++i) {
    harness.SendRequest("screen");
    BOOST_TEST(harness.TakeStart().worker == WorkerId("w2"));
  }
}

// The host list marks a worker as leaving and then, before the worker was idle
// and released, no longer does. Failure: the lease was never released, so
// nothing made the worker placeable again, and it stayed idle while requests
// were refused.
BOOST_AUTO_TEST_CASE(a_worker_that_is_no_longer_leaving_takes_work) {
  CoreHarness harness(1);
  WorkerDescription worker{WorkerId("w1"), "w1:80", DataCenterId("dc1"),
                           RackId("r1"), true};
  harness.Send(HostListArrived{{worker}});
  harness.Advance(std::chrono::seconds(1));
  worker.leaving = false;
  harness.Send(HostListArrived{{worker}});
  harness.Advance(std::chrono::seconds(1));
  BOOST_TEST(harness.Take<ReleaseWorker>().empty());
  harness.SendRequest("screen");
  BOOST_TEST(harness.Take<StartTask>().size() == 1U);
}

// Graceful shutdown: the request in progress completes and is answered, a new
// one is refused, the journal is handed over, and only then the worker is
// released.
BOOST_AUTO_TEST_CASE(a_graceful_shutdown_completes_requests_in_progress) {
  CoreHarness harness(1);
  harness.SendRequest("review");
  harness.Take<StartTask>();
  harness.SendRequest("screen");
  const StartTask screen = harness.TakeStart();
  harness.Take<AppendJournal>();
  harness.Send(ShutdownRequested{});
  harness.SendRequest("screen");
  const Reply refused = harness.TakeReply();
  BOOST_TEST((refused.answer.error == Error::kShuttingDown));
  BOOST_TEST((refused.answer.outcome == Outcome::kNotRun));
  harness.Advance(std::chrono::seconds(2));
  BOOST_TEST(harness.Take<ReleaseWorker>().empty());
  BOOST_TEST(harness.Take<AppendJournal>().empty());
  harness.EndTask(screen);
  BOOST_TEST((harness.TakeReply().answer.outcome == Outcome::kCompleted));
  harness.Advance(std::chrono::milliseconds(200));
  const auto appends = harness.Take<AppendJournal>();
  BOOST_TEST_REQUIRE(appends.size() == 1U);
  BOOST_TEST(std::holds_alternative<HandedOverRecord>(
      appends.front().batch.records.back()));
  const auto releases = harness.Take<ReleaseWorker>();
  BOOST_TEST_REQUIRE(releases.size() == 1U);
  BOOST_TEST(harness.Take<ShutdownFinished>().empty());
  harness.Send(WorkerReleased{releases.front().worker, releases.front().epoch});
  harness.Advance(std::chrono::milliseconds(100));
  BOOST_TEST(harness.Take<ShutdownFinished>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(requests_are_refused_before_a_configuration_arrives) {
  CoreOptions options;
  options.self = {ProcessId("p1"), DataCenterId("dc1")};
  Core core(options);
  Actions actions;
  Request request;
  request.id = RequestId("p1.0.1");
  core.Handle(Instant{std::chrono::seconds(1)}, RequestArrived{request},
              &actions);
  const auto reply = std::ranges::find_if(actions, [](const Action& action) {
    return std::holds_alternative<Reply>(action);
  });
  BOOST_TEST_REQUIRE((reply != actions.end()));
  BOOST_TEST((std::get<Reply>(*reply).answer.error == Error::kStarting));
}

BOOST_AUTO_TEST_SUITE_END()
