#include <map>
#include <string>
#include <utility>

#include "faults.h"
#include "mustardproxy/core/error.h"
#include "paths.h"
#include "settings_schema.h"

namespace mustardproxy::settings_detail {
namespace {

/// Compares two values of the settings and adds what does not fit.
class SettingsChecker {
 public:
  explicit SettingsChecker(Problems* problems)
      : faults(*problems), problems(problems) {}

  /// The value at `path` must not be above the one at `other`.
  template <typename Value>
  void NotAbove(std::string_view path, const Value& value,
                std::string_view other, const Value& limit) {
    if (this->faults.Any({path, other}) || value <= limit) return;
    this->Add(path, "allowed: up to the value of " + std::string(other));
  }

  /// The same for half of the value at `other`.
  void NotAboveHalf(std::string_view path, Duration value,
                    std::string_view other, Duration limit) {
    if (this->faults.Any({path, other}) || value <= limit / 2) return;
    this->Add(path, "allowed: up to half of " + std::string(other));
  }

  /// The first use of a value is recorded; a second one is a problem.
  void Unique(std::map<std::string, std::string>* uses, const std::string& path,
              const std::string& value) {
    if (this->faults.Any({path})) return;
    const auto [use, inserted] = uses->emplace(value, path);
    if (inserted) return;
    this->Add(path, "\"" + value + "\" stands at " + use->second + " already");
  }

  void Add(std::string_view path, std::string detail) {
    this->problems->push_back(
        {std::string(path), Error::kOutOfRange, std::move(detail)});
  }

 private:
  Faults faults;
  Problems* problems;
};

void CheckTimes(const Settings& settings, SettingsChecker* checker) {
  const MembershipOptions& membership = settings.membership;
  checker->NotAbove("membership.heartbeat_interval_ms",
                    membership.heartbeat_interval,
                    "membership.remote_heartbeat_interval_ms",
                    membership.remote_heartbeat_interval);
  const OwnershipOptions& ownership = settings.ownership;
  checker->NotAboveHalf("ownership.renew_interval_ms", ownership.renew_interval,
                        "ownership.lease_ms", ownership.lease);
  checker->NotAbove("ownership.retry_interval_ms", ownership.retry_interval,
                    "ownership.lease_ms", ownership.lease);
  const WorkerHealthOptions& health = settings.worker_health;
  checker->NotAbove("worker_health.ejection_ms", health.ejection,
                    "worker_health.max_ejection_ms", health.max_ejection);
  const JournalOptions& journal = settings.journal;
  checker->NotAbove("journal.max_batch_bytes", journal.max_batch_bytes,
                    "journal.max_pending_bytes", journal.max_pending_bytes);
}

void CheckPeers(const Settings& settings, SettingsChecker* checker) {
  std::map<std::string, std::string> names = {
      {settings.process.Text(), "process"}};
  std::map<std::string, std::string> addresses;
  for (std::size_t i = 0; i < settings.peers.size(); ++i) {
    const std::string path = JoinIndex("peers", i);
    const PeerSettings& peer = settings.peers[i];
    checker->Unique(&names, path + ".process", peer.process.Text());
    checker->Unique(&addresses, path + ".address", peer.address);
  }
}

void CheckWorkers(const Settings& settings, SettingsChecker* checker) {
  std::map<std::string, std::string> names;
  std::map<std::string, std::string> addresses;
  for (std::size_t i = 0; i < settings.workers.size(); ++i) {
    const std::string path = JoinIndex("workers", i);
    const WorkerDescription& worker = settings.workers[i];
    checker->Unique(&names, path + ".id", worker.id.Text());
    checker->Unique(&addresses, path + ".address", worker.address);
  }
}

/// Callers, operators and peers must not meet behind the same door.
void CheckListeners(const Settings& settings, SettingsChecker* checker) {
  std::map<std::string, std::string> uses;
  const auto check = [&](const std::string& path, const ListenSettings& at) {
    if (at.port == 0) return;
    checker->Unique(&uses, path, at.host + ":" + std::to_string(at.port));
  };
  check("callers", settings.callers);
  check("operators", settings.operators);
  check("peers_listen", settings.peers_listen);
}

}  // namespace

void CheckSettings(const Settings& settings, Problems* problems) {
  SettingsChecker checker(problems);
  CheckTimes(settings, &checker);
  CheckPeers(settings, &checker);
  CheckWorkers(settings, &checker);
  CheckListeners(settings, &checker);
}

}  // namespace mustardproxy::settings_detail
