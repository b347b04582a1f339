#ifndef MUSTARDPROXY_FAULT_MATRIX_MODEL_PLATFORM_H_
#define MUSTARDPROXY_FAULT_MATRIX_MODEL_PLATFORM_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "mustardproxy/core/actions.h"
#include "mustardproxy/core/configuration.h"
#include "mustardproxy/core/events.h"
#include "mustardproxy/core/journal_record.h"
#include "node.h"
#include "promises.h"

namespace mustardproxy::fault_matrix {

/// The platform's key-value service, as far as the core can tell.
class ModelPlatform : public Node {
 public:
  ModelPlatform(Simulation* simulation, Promises* promises)
      : Node(simulation, "platform"), promises(promises) {}

  void Start() { this->Begin(); }
  void GoDown(Duration lasting);
  void LoseReplies(Duration lasting);
  void BeSlow(Duration lasting);
  void Heal();
  [[nodiscard]] bool Answers() const;
  [[nodiscard]] bool LosesReplies() const;
  /// @return what a call takes in addition
  Duration Delay();

  /// Creates the batch if its key is absent.
  /// @return false if another batch holds the key
  bool Append(const JournalBatch& batch);
  [[nodiscard]] std::optional<std::uint64_t> BatchAt(
      const JournalId& journal, std::uint64_t sequence) const;
  [[nodiscard]] std::vector<JournalId> Journals() const;
  [[nodiscard]] std::vector<JournalBatch> Read(const JournalId& journal) const;
  void Trim(const TrimJournal& call);
  /// Creates the claim if its key is absent.
  /// @return the claim that stands there
  KeyClaim Claim(const ClaimKey& call);
  void Settle(const ResolveKeyClaim& call);

  Configuration configuration;
  std::vector<WorkerDescription> hosts;

 protected:
  void OnKilled() override {}
  void OnStarted() override {}

 private:
  struct KeyName {
    TeamId team;
    std::string key;
    friend bool operator<(const KeyName& a, const KeyName& b) {
      return std::tie(a.team, a.key) < std::tie(b.team, b.key);
    }
  };

  Promises* promises;
  Instant down_until;
  Instant loses_until;
  Instant slow_until;
  std::map<JournalId, std::map<std::uint64_t, JournalBatch>> journals;
  std::map<KeyName, KeyClaim> claims;
};

}  // namespace mustardproxy::fault_matrix

#endif  // MUSTARDPROXY_FAULT_MATRIX_MODEL_PLATFORM_H_
