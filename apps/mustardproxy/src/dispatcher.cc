#include "dispatcher.h"

#include <string_view>
#include <utility>
#include <variant>

#include "mustardproxy/settings/load.h"

namespace mustardproxy {
namespace {

/// Makes one visitor of several functions.
template <typename... Functions>
struct Visitor : Functions... {
  using Functions::operator()...;
};
template <typename... Functions>
Visitor(Functions...) -> Visitor<Functions...>;

std::string_view MetricName(RecordSample::Kind kind) {
  switch (kind) {
    case RecordSample::Kind::kWaitingTime:
      return "waiting_time_us";
    case RecordSample::Kind::kRunTime:
      return "run_time_us";
    case RecordSample::Kind::kPacking:
      return "packing_permille";
  }
  return "other";
}

}  // namespace

void Dispatcher::Perform(const Actions& actions) {
  for (const Action& action : actions) this->Begin(action);
}

void Dispatcher::Begin(const Action& action) {
  Links& to = this->links;
  std::visit(
      Visitor{
          [&](const Reply& it) { this->AnswerTo(it); },
          [&](const ReplyAccepted& it) { this->AnswerTo(it); },
          [&](const AnswerQuery& it) { this->AnswerTo(it); },
          [&](const QueryPeer& it) { to.peer->Perform(it); },
          [&](const ForwardRequest& it) { to.peer->Perform(it); },
          [&](const ForwardCancel& it) { to.peer->Perform(it); },
          [&](const SendDigest& it) { to.peer->Perform(it); },
          [&](const FetchConfiguration& it) { to.peer->Perform(it); },
          [&](const AttachWorker& it) { to.worker->Perform(it); },
          [&](const RenewWorker& it) { to.worker->Perform(it); },
          [&](const ReleaseWorker& it) { to.worker->Perform(it); },
          [&](const StartTask& it) { to.worker->Perform(it); },
          [&](const StopTask& it) { to.worker->Perform(it); },
          [&](const QueryTask& it) { to.worker->Perform(it); },
          [&](const WatchConfiguration& it) { to.platform->Perform(it); },
          [&](const AppendJournal& it) { to.platform->Perform(it); },
          [&](const ListJournals& it) { to.platform->Perform(it); },
          [&](const ReadJournal& it) { to.platform->Perform(it); },
          [&](const TrimJournal& it) { to.platform->Perform(it); },
          [&](const SweepClaims& it) { to.platform->Perform(it); },
          [&](const ClaimKey& it) { to.platform->Perform(it); },
          [&](const ResolveKeyClaim& it) { to.platform->Perform(it); },
          [&](const RecordEvent& it) { to.timeline->Record(it.event); },
          [&](const RecordSample& it) { this->Record(it); },
          [&](const ShutdownFinished&) { this->Finish(); },
      },
      action);
}

void Dispatcher::Record(const RecordSample& sample) {
  std::string label;
  if (!sample.profile.Empty()) label = "profile=" + sample.profile.Text();
  this->links.metrics->Sample(MetricName(sample.kind), label,
                              static_cast<double>(sample.value));
}

void Dispatcher::OnDigest(const Digest& digest) {
  this->digest = digest;
  this->links.peer->Publish(this->digest, this->configuration_json);
}

void Dispatcher::OnConfiguration(const Configuration& configuration) {
  this->configuration_json = FormatConfiguration(configuration);
  this->digest.configuration_version = configuration.version;
  this->links.peer->Publish(this->digest, this->configuration_json);
}

void Dispatcher::Refuse(const Action& answer) { this->Begin(answer); }

void Dispatcher::Finish() {
  {
    std::lock_guard lock(this->mutex);
    this->finished = true;
  }
  this->changed.notify_all();
}

bool Dispatcher::AwaitFinished(Duration timeout) {
  std::unique_lock lock(this->mutex);
  return this->changed.wait_for(lock, timeout,
                                [this] { return this->finished; });
}

}  // namespace mustardproxy
