#include <random>

#include "load/load_run.h"

namespace mustardproxy::load {
namespace {

constexpr double kAddisShare = 0.25;

/// Draws kinds, entries and run times.
class Draw {
 public:
  explicit Draw(const LoadOptions& options)
      : options(options),
        random(options.seed),
        kinds({options.mix.urgent, options.mix.booking,
               options.mix.keyed_booking, options.mix.gang, options.mix.review,
               options.mix.detainee}),
        gaps(options.rate) {}

  Kind NextKind() { return static_cast<Kind>(this->kinds(this->random)); }
  std::chrono::microseconds NextGap() {
    std::chrono::duration<double> gap(this->gaps(this->random));
    return std::chrono::duration_cast<std::chrono::microseconds>(gap);
  }
  std::string NextEntry() {
    std::uniform_int_distribution<std::size_t> any(
        0, this->options.entries.size() - 1);
    return this->options.entries[any(this->random)];
  }
  std::int64_t NextRunMs() {
    std::uniform_int_distribution<std::int64_t> any(
        0, 2 * this->options.mean_run.count());
    return any(this->random);
  }
  bool Chance(double share) {
    return std::bernoulli_distribution(share)(this->random);
  }

 private:
  const LoadOptions& options;
  std::mt19937_64 random;
  std::discrete_distribution<int> kinds;
  std::exponential_distribution<double> gaps;
};

}  // namespace

std::vector<SentRequest> PlanLoad(const LoadOptions& options) {
  Draw draw(options);
  std::vector<SentRequest> requests;
  std::chrono::microseconds now{0};
  while (now < options.length) {
    SentRequest request;
    request.number = std::ssize(requests);
    request.kind = draw.NextKind();
    request.due = now;
    request.entry = draw.NextEntry();
    request.team = draw.Chance(kAddisShare) ? "addis" : "dlonie";
    // The worker gives the body back, so each answer tells whose it is.
    request.body = R"({"n":)" + std::to_string(request.number) +
                   R"(,"run_ms":)" + std::to_string(draw.NextRunMs()) + "}";
    if (request.kind == Kind::kKeyedBooking) {
      request.key = "key-" + std::to_string(options.seed) + "-" +
                    std::to_string(request.number);
    }
    requests.push_back(request);
    if (!request.key.empty() && draw.Chance(options.repeat_share)) {
      request.number = std::ssize(requests);
      request.entry = draw.NextEntry();
      requests.push_back(request);
    }
    now += draw.NextGap();
  }
  return requests;
}

}  // namespace mustardproxy::load
