#include "configuration_watch.h"

#include <chrono>
#include <utility>

#include "mustardproxy/telemetry/clock.h"
#include "mustardproxy/telemetry/log.h"

namespace mustardproxy::platform_detail {
namespace {

/// Pause after a call that failed, found nothing, or did not wait: a platform
/// that answers at once must not be called in a tight loop.
constexpr Duration kPause = std::chrono::milliseconds(500);
constexpr Duration kShortestWait = std::chrono::milliseconds(100);

}  // namespace

ConfigurationWatch::ConfigurationWatch(JobPool* pool,
                                       ConfigurationParserFunction parser,
                                       Duration wait, EventSink* sink)
    : pool(pool), parser(std::move(parser)), wait(wait), sink(sink) {}

void ConfigurationWatch::Start() {
  const std::lock_guard lock(this->mutex);
  this->Resume();
}

void ConfigurationWatch::SetWatching(bool watch) {
  const std::lock_guard lock(this->mutex);
  this->watching = watch;
  if (watch) {
    this->Resume();
  }
}

void ConfigurationWatch::Resume() {
  if (this->active) {
    return;
  }
  this->active = this->pool->Add(
      [this](KeyValueClient* client) { return this->Step(client); });
}

bool ConfigurationWatch::WantsCall() {
  const std::lock_guard lock(this->mutex);
  this->active = this->watching || !this->read_once;
  return this->active;
}

std::optional<Duration> ConfigurationWatch::Step(KeyValueClient* client) {
  if (!this->WantsCall()) {
    return std::nullopt;
  }
  const Instant begun = SteadyNow();
  const auto read = this->index == 0 ? client->Get(kConfigurationKey)
                                     : client->Watch(kConfigurationKey,
                                                     this->index, this->wait);
  if (!read) {
    return kPause;
  }
  {
    const std::lock_guard lock(this->mutex);
    this->read_once = true;
  }
  const std::optional<KeyValue>& document = read.value();
  // An index that went back shows a platform that was restored from a copy.
  if (document && document->modify_index != this->index) {
    this->index = document->modify_index;
    this->Deliver(*document);
    return Duration{0};
  }
  const bool waited = SteadyNow() - begun >= kShortestWait;
  return document && waited ? Duration{0} : kPause;
}

void ConfigurationWatch::Deliver(const KeyValue& document) {
  std::optional<Configuration> configuration = this->parser(document.value);
  if (!configuration) {
    Log(Part::kPlatform, Level::kError,
        "The configuration document can not be read.");
    return;
  }
  this->sink->Post(ConfigurationArrived{std::move(*configuration)});
}

}  // namespace mustardproxy::platform_detail
