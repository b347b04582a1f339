#include "mustardproxy/platform/platform_link.h"

#include <algorithm>
#include <atomic>
#include <utility>
#include <vector>

#include "claim_keeper.h"
#include "claim_sweeper.h"
#include "configuration_watch.h"
#include "job_pool.h"
#include "journal_archive.h"
#include "journal_writer.h"
#include "mustardproxy/platform/key_value_client.h"
#include "mustardproxy/telemetry/clock.h"
#include "mustardproxy/telemetry/log.h"
#include "reachability.h"

namespace mustardproxy {
namespace {

using platform_detail::Job;
using platform_detail::JobPool;
using platform_detail::JobPoolOptions;

/// Pause after a read of the host list that failed.
constexpr Duration kHostRetryPause = std::chrono::milliseconds(500);
/// Pause before work in the background is tried again.
constexpr Duration kRetryPause = std::chrono::seconds(1);
constexpr Duration kLongestPause = std::chrono::seconds(16);
/// Pause between two removals of a trim, so that they leave most of the
/// platform's write rate to what callers wait for.
constexpr Duration kTrimPause = std::chrono::milliseconds(40);
constexpr std::size_t kClaimThreads = 2;

bool WriteMember(KeyValueClient* client, const std::string& key,
                 const std::string& json) {
  const auto read = client->Get(key);
  if (!read) {
    return false;
  }
  const std::optional<KeyValue>& found = read.value();
  if (found && found->value == json) {
    return true;
  }
  const std::uint64_t index = found ? found->modify_index : 0;
  return client->Swap(key, json, index) == SwapEnd::kSwapped;
}

/// Posts the event if there is one.
template <typename Found>
void PostIf(EventSink* sink, std::optional<Found> found) {
  if (found) {
    sink->Post(std::move(*found));
  }
}

/// Removes the trimmed batches of a journal, one key a step. What it leaves
/// when the platform goes away is removed by the journal's next trim.
class TrimJob {
 public:
  explicit TrimJob(TrimJournal action) : action(std::move(action)) {}

  std::optional<Duration> operator()(KeyValueClient* client) {
    if (!this->begun) {
      return this->Begin(client);
    }
    if (this->removable.empty() || !client->Remove(this->removable.back())) {
      return std::nullopt;
    }
    this->removable.pop_back();
    return kTrimPause;
  }

 private:
  std::optional<Duration> Begin(KeyValueClient* client) {
    auto keys = platform_detail::BeginTrim(client, this->action.journal,
                                           this->action.through);
    if (!keys) {
      return std::nullopt;
    }
    this->begun = true;
    this->removable = std::move(*keys);
    return Duration{0};
  }

  TrimJournal action;
  bool begun = false;
  std::vector<std::string> removable;
};

/// Settles a claim, with a growing pause between attempts: after an outage many
/// of them wait, and must not use the platform's rates up.
class SettleJob {
 public:
  explicit SettleJob(ResolveKeyClaim action) : action(std::move(action)) {}

  std::optional<Duration> operator()(KeyValueClient* client) {
    if (platform_detail::SettleClaim(client, this->action)) {
      return std::nullopt;
    }
    const Duration now = this->pause;
    this->pause = std::min(2 * this->pause, kLongestPause);
    return now;
  }

 private:
  ResolveKeyClaim action;
  Duration pause = kRetryPause;
};

}  // namespace

struct PlatformLink::State {
  State(const JobPoolOptions& pool, Duration host_interval, Duration watch_wait,
        ConfigurationParserFunction parser, EventSink* sink, Metrics* metrics);

  [[nodiscard]] JobPoolOptions Pool(JobPoolOptions pool, std::size_t threads);
  std::optional<Duration> PollHosts(KeyValueClient* client);

  EventSink* sink;
  Duration timeout;
  Duration host_interval;
  platform_detail::Reachability reachability;
  JobPool watch_pool;
  JobPool host_pool;
  JobPool journal_pool;
  JobPool claim_pool;
  JobPool background_pool;
  platform_detail::ConfigurationWatch watch;
  /// Used by the thread of the background pool alone.
  platform_detail::ClaimSweeper sweeper;
  std::atomic<bool> sweeping = false;
  /// Last list that was posted; used by the poll alone.
  std::optional<std::vector<WorkerDescription>> hosts;
};

PlatformLink::State::State(const JobPoolOptions& pool, Duration host_interval,
                           Duration watch_wait,
                           ConfigurationParserFunction parser, EventSink* sink,
                           Metrics* metrics)
    : sink(sink),
      timeout(pool.timeout),
      host_interval(host_interval),
      reachability(sink, metrics),
      watch_pool(this->Pool(pool, 1)),
      host_pool(this->Pool(pool, 1)),
      journal_pool(this->Pool(pool, 1)),
      claim_pool(this->Pool(pool, kClaimThreads)),
      background_pool(this->Pool(pool, 1)),
      watch(&this->watch_pool, std::move(parser), watch_wait, sink) {}

JobPoolOptions PlatformLink::State::Pool(JobPoolOptions pool,
                                         std::size_t threads) {
  pool.observer = &this->reachability;
  pool.threads = threads;
  return pool;
}

std::optional<Duration> PlatformLink::State::PollHosts(KeyValueClient* client) {
  auto read = client->Hosts();
  if (read && this->hosts != read.value()) {
    this->hosts = std::move(read.value());
    this->sink->Post(HostListArrived{*this->hosts});
  }
  // Failure: the platform was away during a read, and a host that has left gets
  // work until the next regular one. A failed read is repeated sooner.
  return read ? this->host_interval
              : std::min(this->host_interval, kHostRetryPause);
}

PlatformLink::PlatformLink(std::unique_ptr<State> state)
    : state(std::move(state)) {}

PlatformLink::~PlatformLink() { this->Stop(); }

void PlatformLink::Start() {
  State* own = this->state.get();
  own->watch.Start();
  own->host_pool.Add(
      [own](KeyValueClient* client) { return own->PollHosts(client); });
  own->watch_pool.Start();
  own->host_pool.Start();
  own->journal_pool.Start();
  own->claim_pool.Start();
  own->background_pool.Start();
}

void PlatformLink::Stop() {
  this->state->watch_pool.Stop();
  this->state->host_pool.Stop();
  this->state->journal_pool.Stop();
  this->state->claim_pool.Stop();
  this->state->background_pool.Stop();
}

void PlatformLink::RegisterMember(const std::string& process,
                                  const std::string& json) {
  const std::string key = std::string(kMemberPrefix) + process;
  this->state->background_pool.Add(
      [key, json](KeyValueClient* client) -> std::optional<Duration> {
        if (WriteMember(client, key, json)) {
          return std::nullopt;
        }
        return kRetryPause;
      });
}

void PlatformLink::Perform(const WatchConfiguration& action) {
  this->state->watch.SetWatching(action.watch);
}

void PlatformLink::Perform(const AppendJournal& action) {
  EventSink* sink = this->state->sink;
  const bool added = this->state->journal_pool.Add(
      [sink, batch = action.batch](
          KeyValueClient* client) -> std::optional<Duration> {
        sink->Post(platform_detail::AppendBatch(client, batch));
        return std::nullopt;
      });
  if (!added) {
    sink->Post(JournalUncertain{action.batch.journal, action.batch.sequence});
  }
}

void PlatformLink::Perform(const ListJournals& /*action*/) {
  EventSink* sink = this->state->sink;
  this->state->background_pool.Add(
      [sink](KeyValueClient* client) -> std::optional<Duration> {
        PostIf(sink, platform_detail::ListLiveJournals(client));
        return std::nullopt;
      });
}

void PlatformLink::Perform(const ReadJournal& action) {
  EventSink* sink = this->state->sink;
  this->state->background_pool.Add(
      [sink, action](KeyValueClient* client) -> std::optional<Duration> {
        PostIf(sink, platform_detail::ReadBatches(client, action.journal));
        return std::nullopt;
      });
}

void PlatformLink::Perform(const TrimJournal& action) {
  this->state->background_pool.Add(TrimJob(action));
}

void PlatformLink::Perform(const SweepClaims& action) {
  State* own = this->state.get();
  if (own->sweeping.exchange(true)) {
    return;
  }
  const bool added = own->background_pool.Add(
      [own, retention = action.retention](KeyValueClient* client) {
        const auto pause = own->sweeper.Step(client, SteadyNow(), retention);
        if (!pause) {
          own->sweeping = false;
        }
        return pause;
      });
  if (!added) {
    own->sweeping = false;
  }
}

void PlatformLink::Perform(const ClaimKey& action) {
  EventSink* sink = this->state->sink;
  // In an outage claims queue up behind calls that run into their timeout. One
  // that has waited as long as a call may take is told so without another call.
  const Instant give_up = SteadyNow() + this->state->timeout;
  const bool added = this->state->claim_pool.Add(
      [sink, action,
       give_up](KeyValueClient* client) -> std::optional<Duration> {
        if (SteadyNow() >= give_up) {
          sink->Post(KeyUnavailable{action.request, false});
        } else {
          sink->Post(platform_detail::TakeClaim(client, action));
        }
        return std::nullopt;
      });
  if (!added) {
    sink->Post(KeyUnavailable{action.request, false});
  }
}

void PlatformLink::Perform(const ResolveKeyClaim& action) {
  if (!this->state->background_pool.Add(SettleJob(action))) {
    Log(Part::kPlatform, Level::kWarn,
        "The claim of request " + action.request.Text() + " stays open.");
  }
}

PlatformLink::Builder& PlatformLink::Builder::Url(std::string value) {
  this->url = std::move(value);
  return *this;
}

PlatformLink::Builder& PlatformLink::Builder::Timeout(Duration value) {
  this->timeout = value;
  return *this;
}

PlatformLink::Builder& PlatformLink::Builder::HostListInterval(
    Duration interval) {
  this->host_list_interval = interval;
  return *this;
}

PlatformLink::Builder& PlatformLink::Builder::WatchWait(Duration wait) {
  this->watch_wait = wait;
  return *this;
}

PlatformLink::Builder& PlatformLink::Builder::ConfigurationParser(
    ConfigurationParserFunction function) {
  this->parser = std::move(function);
  return *this;
}

PlatformLink::Builder& PlatformLink::Builder::Sink(EventSink* target) {
  this->sink = target;
  return *this;
}

PlatformLink::Builder& PlatformLink::Builder::Measure(Metrics* target) {
  this->metrics = target;
  return *this;
}

std::unique_ptr<PlatformLink> PlatformLink::Builder::Build() {
  JobPoolOptions pool;
  pool.url = this->url;
  pool.timeout = this->timeout;
  ConfigurationParserFunction parse = this->parser;
  if (!parse) {
    parse = [](std::string_view) { return std::nullopt; };
  }
  auto state =
      std::make_unique<State>(pool, this->host_list_interval, this->watch_wait,
                              std::move(parse), this->sink, this->metrics);
  return std::unique_ptr<PlatformLink>(new PlatformLink(std::move(state)));
}

}  // namespace mustardproxy
