#include "model_platform.h"

#include <algorithm>

namespace mustardproxy::fault_matrix {
namespace {

constexpr Duration kSlowest = std::chrono::milliseconds(1500);

}  // namespace

void ModelPlatform::GoDown(Duration lasting) {
  this->down_until =
      std::max(this->down_until, this->simulation->Now() + lasting);
}

void ModelPlatform::LoseReplies(Duration lasting) {
  this->loses_until = this->simulation->Now() + lasting;
}

void ModelPlatform::BeSlow(Duration lasting) {
  this->slow_until = this->simulation->Now() + lasting;
}

void ModelPlatform::Heal() {
  this->down_until = Instant();
  this->loses_until = Instant();
  this->slow_until = Instant();
}

bool ModelPlatform::Answers() const {
  return this->simulation->Now() >= this->down_until;
}

bool ModelPlatform::LosesReplies() const {
  return this->simulation->Now() < this->loses_until;
}

Duration ModelPlatform::Delay() {
  const bool slow = this->simulation->Now() < this->slow_until;
  return slow ? this->simulation->Draw(Duration{0}, kSlowest) : Duration{0};
}

bool ModelPlatform::Append(const JournalBatch& batch) {
  const auto [place, created] =
      this->journals[batch.journal].emplace(batch.sequence, batch);
  if (!created) {
    return place->second.batch_id == batch.batch_id;
  }
  for (const JournalRecord& record : batch.records) {
    this->promises->OnJournalled(record);
  }
  return true;
}

std::optional<std::uint64_t> ModelPlatform::BatchAt(
    const JournalId& journal, std::uint64_t sequence) const {
  const auto found = this->journals.find(journal);
  if (found == this->journals.end()) {
    return std::nullopt;
  }
  const auto batch = found->second.find(sequence);
  if (batch == found->second.end()) {
    return std::nullopt;
  }
  return batch->second.batch_id;
}

std::vector<JournalId> ModelPlatform::Journals() const {
  std::vector<JournalId> names;
  for (const auto& [name, batches] : this->journals) {
    if (!batches.empty()) {
      names.push_back(name);
    }
  }
  return names;
}

std::vector<JournalBatch> ModelPlatform::Read(const JournalId& journal) const {
  std::vector<JournalBatch> result;
  const auto found = this->journals.find(journal);
  if (found == this->journals.end()) {
    return result;
  }
  for (const auto& [sequence, batch] : found->second) {
    result.push_back(batch);
  }
  return result;
}

void ModelPlatform::Trim(const TrimJournal& call) {
  auto& batches = this->journals[call.journal];
  batches.erase(batches.begin(), batches.upper_bound(call.through));
}

KeyClaim ModelPlatform::Claim(const ClaimKey& call) {
  KeyClaim claim;
  claim.request = call.request;
  claim.body_hash = call.body_hash;
  return this->claims.emplace(KeyName{call.team, call.key}, claim)
      .first->second;
}

void ModelPlatform::Settle(const ResolveKeyClaim& call) {
  const auto found = this->claims.find(KeyName{call.team, call.key});
  if (found == this->claims.end() || found->second.request != call.request) {
    return;
  }
  if (call.drop) {
    this->claims.erase(found);
  } else {
    found->second.answer = call.answer;
  }
}

}  // namespace mustardproxy::fault_matrix
