#include "lifecycle/key_claims.h"

#include <algorithm>
#include <utility>

#include "lifecycle/parts.h"
#include "lifecycle/request_name.h"
#include "mustardproxy/core/error.h"

namespace mustardproxy::detail {
namespace {

constexpr std::int32_t kConflictStatus = 409;
constexpr std::int32_t kUnprocessableStatus = 422;
constexpr std::int32_t kAcceptedStatus = 202;
constexpr std::int32_t kBadGatewayStatus = 502;
constexpr Duration kRepeatDelay = std::chrono::seconds(1);
/// A drop is not confirmed, and the claim that it follows may not have been
/// written yet, so it is sent this many times.
constexpr std::int32_t kDropRepeats = 4;
/// Bounds the memory during a long outage. Claims beyond this number are not
/// dropped; repeats of their requests are answered that the key is in use.
constexpr std::size_t kMaxAbandoned = 4096;
constexpr Duration kDropInterval = std::chrono::seconds(5);
constexpr Duration kSweepInterval = std::chrono::minutes(10);
/// Minimum age of claims that are removed. It exceeds any caller's timeout, so
/// no request is still in progress when its claim is removed.
constexpr Duration kMinRetention = std::chrono::hours(1);

}  // namespace

void KeyClaims::Begin(const ActiveRequest& entry) {
  ClaimKey claim;
  claim.request = entry.request.id;
  claim.team = entry.request.team;
  claim.key = entry.request.idempotency_key;
  claim.body_hash = BodyHash(View(entry.request.body));
  this->parts->context.Emit(std::move(claim));
}

void KeyClaims::On(const KeyClaimed& event) {
  ActiveRequest* entry = this->parts->table.Find(event.request);
  if (entry == nullptr || entry->phase != RequestPhase::kClaiming) {
    return;
  }
  entry->claimed = true;
  this->parts->requests.Place(entry);
}

void KeyClaims::On(const KeyTaken& event) {
  ActiveRequest* entry = this->parts->table.Find(event.request);
  if (entry == nullptr || entry->phase != RequestPhase::kClaiming) {
    return;
  }
  if (event.claim.request == event.request) {
    this->On(KeyClaimed{event.request});
    return;
  }
  this->AnswerRepeat(entry, event.claim);
}

void KeyClaims::AnswerRepeat(ActiveRequest* entry, const KeyClaim& claim) {
  RequestAnswers& answers = this->parts->answers;
  if (claim.body_hash != BodyHash(View(entry->request.body))) {
    answers.Refuse(entry, Error::kKeyReused, kUnprocessableStatus,
                   "the idempotency key was used with a different body before");
    return;
  }
  if (claim.answer) {
    answers.Finish(entry, *claim.answer);
    return;
  }
  if (this->IsHolderGone(claim.request)) {
    Answer answer;
    answer.outcome = Outcome::kUnknown;
    answer.status = kBadGatewayStatus;
    answer.error = Error::kPeerLost;
    answer.detail = "the process that claimed the idempotency key is gone";
    answers.Finish(entry, std::move(answer));
    return;
  }
  const auto left = this->abandoned.find(claim.request);
  if (left != this->abandoned.end()) {
    this->EmitSettle(left->first, left->second, {}, true);
  }
  Answer answer;
  answer.status = kConflictStatus;
  answer.error = Error::kKeyInProgress;
  answer.detail = "request " + claim.request.Text() + " holds the key";
  answer.retry_after = kRepeatDelay;
  answers.Finish(entry, std::move(answer));
}

bool KeyClaims::IsHolderGone(const RequestId& holder) const {
  const std::optional<NamedProcess> creator = CreatorOf(holder);
  if (!creator) {
    return false;
  }
  const CoreOptions& options = this->parts->context.options;
  if (creator->process == options.self.process) {
    return creator->incarnation != options.incarnation;
  }
  const std::optional<Digest> digest =
      this->parts->membership.LastDigest(creator->process);
  if (!digest) {
    return !this->parts->membership.Alive(creator->process) &&
           this->parts->IsLocal(creator->process);
  }
  return digest->incarnation != creator->incarnation;
}

void KeyClaims::On(const KeyUnavailable& event) {
  ActiveRequest* entry = this->parts->table.Find(event.request);
  if (entry == nullptr || entry->phase != RequestPhase::kClaiming) {
    return;
  }
  if (event.maybe_claimed) {
    this->Abandon(entry->request);
  }
  this->parts->answers.Refuse(entry, Error::kJournalUnavailable,
                              kUnavailableStatus,
                              "the idempotency key can not be claimed");
}

void KeyClaims::Settle(const ActiveRequest& entry, const Answer& answer) {
  Claim claim{entry.request.team, entry.request.idempotency_key,
              BodyHash(View(entry.request.body)), 0};
  const bool drop = answer.outcome == Outcome::kNotRun;
  this->EmitSettle(entry.request.id, claim, answer, drop);
  const bool may_come =
      entry.phase == RequestPhase::kRunning && entry.attempt.slots.size() == 1;
  if (answer.outcome == Outcome::kUnknown && may_come) {
    this->unknown_claims[entry.request.id] = std::move(claim);
  }
}

void KeyClaims::SettleUnknown(const RequestId& request, const Answer& answer) {
  const auto found = this->unknown_claims.find(request);
  if (found == this->unknown_claims.end()) {
    return;
  }
  this->EmitSettle(request, found->second, answer, false);
  this->unknown_claims.erase(found);
}

void KeyClaims::SettleAccepted(const Request& request) {
  if (request.idempotency_key.empty()) {
    return;
  }
  Answer answer;
  answer.outcome = Outcome::kCompleted;
  answer.status = kAcceptedStatus;
  answer.content_type = "application/json";
  answer.body = std::make_shared<const std::string>(
      R"({"id":")" + request.id.Text() + R"("})");
  const Claim claim{request.team, request.idempotency_key,
                    BodyHash(View(request.body)), 0};
  this->EmitSettle(request.id, claim, answer, false);
}

void KeyClaims::Abandon(const Request& request) {
  if (this->abandoned.size() >= kMaxAbandoned) {
    return;
  }
  this->abandoned[request.id] =
      Claim{request.team, request.idempotency_key, BodyHash(View(request.body)),
            kDropRepeats};
  this->drop_timers.Set(request.id, this->parts->context.now + kDropInterval);
}

void KeyClaims::OnPlatformBack() {
  for (const auto& [request, claim] : this->abandoned) {
    this->drop_timers.Set(request, this->parts->context.now);
  }
}

void KeyClaims::Tick() {
  const Instant now = this->parts->context.now;
  for (const RequestId& request : this->drop_timers.TakeDue(now)) {
    const auto found = this->abandoned.find(request);
    if (found == this->abandoned.end()) {
      continue;
    }
    this->EmitSettle(request, found->second, {}, true);
    // Drops sent while the platform is unreachable have no effect and are not
    // counted.
    if (this->parts->context.platform_reachable &&
        --found->second.drops_left <= 0) {
      this->abandoned.erase(found);
      continue;
    }
    this->drop_timers.Set(request, now + kDropInterval);
  }
}

void KeyClaims::SweepExpired() {
  const CoreContext& context = this->parts->context;
  if (context.now < this->next_sweep || context.configuration.version == 0) {
    return;
  }
  this->next_sweep = context.now + kSweepInterval;
  if (!context.platform_reachable || !this->IsCellSweeper()) {
    return;
  }
  SweepClaims sweep;
  sweep.retention = std::max(this->parts->LongestRetention(), kMinRetention);
  this->parts->context.Emit(sweep);
}

bool KeyClaims::IsCellSweeper() const {
  // Processes may have different views of the membership, so two may sweep at
  // the same time; this only costs additional calls.
  const CoreOptions& options = this->parts->context.options;
  const bool lower_data_center_alive =
      std::ranges::any_of(options.peers, [&](const PeerDescription& peer) {
        return peer.data_center < options.self.data_center &&
               this->parts->membership.Alive(peer.process);
      });
  return this->parts->membership.IsConfigurationWatcher() &&
         !lower_data_center_alive;
}

void KeyClaims::EmitSettle(const RequestId& request, const Claim& claim,
                           const Answer& answer, bool drop) {
  ResolveKeyClaim settle;
  settle.request = request;
  settle.team = claim.team;
  settle.key = claim.key;
  settle.body_hash = claim.body_hash;
  settle.answer = answer;
  settle.drop = drop;
  this->parts->context.Emit(std::move(settle));
}

}  // namespace mustardproxy::detail
