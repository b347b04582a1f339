#ifndef MUSTARDPROXY_LOAD_LOAD_RUN_H_
#define MUSTARDPROXY_LOAD_LOAD_RUN_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "load/sent_request.h"

namespace mustardproxy::load {

/// Shares of the kinds in the mix, relative to each other.
struct Mix {
  double urgent = 60;
  double booking = 15;
  double keyed_booking = 5;
  double gang = 5;
  double review = 10;
  double detainee = 5;
};

struct LoadOptions {
  /// Callers' urls; requests are spread over them at random.
  std::vector<std::string> entries;
  /// Requests a second; arrivals are independent of answers.
  double rate = 200;
  std::chrono::milliseconds length = std::chrono::seconds(5);
  std::uint64_t seed = 1;
  std::int32_t senders = 128;
  Mix mix;
  /// Run time of a task is drawn evenly from 0 to twice this.
  std::chrono::milliseconds mean_run{20};
  /// Share of keyed bookings that are sent a second time elsewhere.
  double repeat_share = 0.5;
  std::chrono::milliseconds timeout = std::chrono::seconds(30);
  /// Time for deferred work to end after the last request was sent.
  std::chrono::milliseconds deferred_limit = std::chrono::seconds(60);
};

/// Draws the requests of a run; the same seed gives the same ones.
[[nodiscard]] std::vector<SentRequest> PlanLoad(const LoadOptions& options);
/// Sends them at their times and waits for every answer.
void SendLoad(const LoadOptions& options, std::vector<SentRequest>* requests);
/// Follows accepted deferred work to its end.
void FollowDeferred(const LoadOptions& options,
                    std::vector<SentRequest>* requests);

}  // namespace mustardproxy::load

#endif  // MUSTARDPROXY_LOAD_LOAD_RUN_H_
