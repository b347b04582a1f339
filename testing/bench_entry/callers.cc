#include "callers.h"

#include <algorithm>
#include <cstddef>
#include <thread>

#include "cell/http.h"

namespace mustardproxy::bench {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kAnswerLimit = std::chrono::seconds(10);

/// What one caller saw.
struct OneCaller {
  std::int64_t completed = 0;
  std::int64_t others = 0;
  std::vector<double> answer_ms;
};

void SendUntil(Clock::time_point end, const std::string& url, OneCaller* seen) {
  cell::HttpClient client(url, kAnswerLimit);
  cell::HttpRequest request;
  request.method = "POST";
  request.path = "/v1/services/screen";
  request.body = R"({"run_ms": 0})";
  while (Clock::now() < end) {
    const auto begin = Clock::now();
    const auto reply = client.Send(request);
    const std::chrono::duration<double, std::milli> took = Clock::now() - begin;
    const bool completed =
        reply && reply->Header("Mustardproxy-Outcome") == "completed";
    seen->completed += completed ? 1 : 0;
    seen->others += completed ? 0 : 1;
    seen->answer_ms.push_back(took.count());
  }
}

}  // namespace

double CallerResult::CompletedPerSecond() const {
  return static_cast<double>(this->completed) / this->seconds;
}

double CallerResult::AnswerMs(double quantile) const {
  if (this->answer_ms.empty()) return 0;
  const auto last = static_cast<double>(this->answer_ms.size() - 1);
  return this->answer_ms[static_cast<std::size_t>(quantile * last)];
}

CallerResult RunCallers(const CallerPlan& plan) {
  std::vector<OneCaller> callers(static_cast<std::size_t>(plan.connections));
  const auto begin = Clock::now();
  const auto end = begin + plan.length;
  {
    std::vector<std::jthread> threads;
    threads.reserve(callers.size());
    for (OneCaller& caller : callers) {
      threads.emplace_back(
          [&caller, &plan, end] { SendUntil(end, plan.url, &caller); });
    }
  }
  CallerResult result;
  result.seconds = std::chrono::duration<double>(Clock::now() - begin).count();
  for (const OneCaller& caller : callers) {
    result.completed += caller.completed;
    result.others += caller.others;
    result.answer_ms.insert(result.answer_ms.end(), caller.answer_ms.begin(),
                            caller.answer_ms.end());
  }
  std::ranges::sort(result.answer_ms);
  return result;
}

}  // namespace mustardproxy::bench
