#ifndef MUSTARDPROXY_WORKER_TESTS_LINK_FIXTURE_H_
#define MUSTARDPROXY_WORKER_TESTS_LINK_FIXTURE_H_

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "event_list.h"
#include "mustardproxy/core/actions.h"
#include "mustardproxy/core/error.h"
#include "mustardproxy/worker/worker_link.h"
#include "standin/worker.h"

namespace mustardproxy {

/// A link to one stand-in worker, and short ways to give orders.
struct LinkFixture {
  static constexpr std::chrono::milliseconds kControlTimeout{250};
  static constexpr std::chrono::seconds kTimeout{20};

  LinkFixture() : worker(standin::WorkerOptions{}), address(worker.Address()) {
    this->link = this->MakeLink("entry", 1);
  }

  std::unique_ptr<WorkerLink> MakeLink(const std::string& process,
                                       Incarnation incarnation) {
    return WorkerLink::Builder()
        .Holder(ProcessId(process), incarnation)
        .ControlTimeout(kControlTimeout)
        .Sink(&this->events)
        .Build();
  }

  AttachWorker AttachOrder(Epoch epoch, Duration lease) const {
    return {WorkerId("worker"), this->address, epoch, lease};
  }

  WorkerReport Attach(Epoch epoch = 1) {
    this->link->Perform(this->AttachOrder(epoch, std::chrono::seconds(60)));
    return this->events.Next<WorkerAttached>().report;
  }

  StartTask StartOrder(const std::string& task, const std::string& body) const {
    StartTask start;
    start.worker = WorkerId("worker");
    start.address = this->address;
    start.epoch = 1;
    start.timeout = kTimeout;
    start.spec.task = TaskId(task);
    start.spec.request = RequestId("request-of-" + task);
    start.spec.service = ServiceId("service");
    start.spec.resources = {100, 100, 0, 1};
    start.spec.max_run = std::chrono::seconds(60);
    start.spec.body = std::make_shared<const std::string>(body);
    return start;
  }

  void Start(const std::string& task, const std::string& body) {
    this->link->Perform(this->StartOrder(task, body));
  }

  /// @return entries of that kind about that task in the worker's own log
  int CountInLog(const std::string& event, const std::string& task) const {
    Poco::JSON::Parser parser;
    const auto log =
        parser.parse(this->worker.Log()).extract<Poco::JSON::Array::Ptr>();
    int count = 0;
    for (unsigned int i = 0; i < log->size(); ++i) {
      const auto entry = log->getObject(i);
      const bool same = entry->getValue<std::string>("event") == event &&
                        entry->getValue<std::string>("task") == task;
      count += same ? 1 : 0;
    }
    return count;
  }

  void WaitUntilInLog(const std::string& event, const std::string& task) const {
    WaitUntil([&] { return this->CountInLog(event, task) > 0; });
  }

  static void WaitUntil(const std::function<bool()>& condition) {
    constexpr std::chrono::seconds kLimit{20};
    constexpr std::chrono::milliseconds kStep{2};
    const auto end = std::chrono::steady_clock::now() + kLimit;
    while (!condition()) {
      BOOST_REQUIRE(std::chrono::steady_clock::now() < end);
      std::this_thread::sleep_for(kStep);
    }
  }

  EventList events;
  standin::StandinWorker worker;
  std::string address;
  std::unique_ptr<WorkerLink> link;
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_WORKER_TESTS_LINK_FIXTURE_H_
