#ifndef JOB_SIM_SIM_STORE_H_
#define JOB_SIM_SIM_STORE_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "job_sim/process.h"
#include "job_sim/virtual_time.h"
#include "mustardproxy/jobs/key_value_store.h"

namespace job_sim {

namespace jobs = mustardproxy::jobs;

/// Stand-in for the platform's store: linearizable, with leases, watches and a
/// history that it may forget. Knows the faults that the users' pages name.
class SimStore {
 public:
  explicit SimStore(VirtualTime* time) : time(time) {}

  /// @return a client for one process
  std::unique_ptr<jobs::KeyValueStore> Connect(Process* process);

  /// Writes as operators and workers do.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  [[nodiscard]] const std::string* Get(const std::string& key) const;
  /// Forgets the history, so that watches have to begin anew.
  void Compact();
  /// Ends all leases at once.
  void RevokeLeases();

  /// Answers nobody, or refuses everybody at once.
  bool silent = false;
  bool refusing = false;
  /// Reads of a list below this prefix, and waits for its changes, get no
  /// answer, as over a connection that has fallen silent; none if it is empty.
  std::string silent_prefix;
  /// Share of the writes that are done and not answered …
  double lost_answers = 0;
  /// … and of those that are done late instead, seconds after.
  double late_writes = 0;
  Duration latency = std::chrono::milliseconds(4);
  /// Most changes in one answer of a watch.
  std::size_t max_events = 1'000'000;
  /// Calls that have reached it, from all processes.
  struct Calls {
    std::int64_t reads = 0;
    std::int64_t watches = 0;
    std::int64_t renewals = 0;
    std::int64_t writes = 0;
  };
  Calls calls;
  /// Changes in answers of watches, to all processes.
  std::int64_t watched_events = 0;
  /// Leases run on while it is silent.
  bool leases_run_on = true;

 private:
  friend class SimStoreClient;
  struct Lease {
    Duration ttl{0};
    Instant until;
  };
  struct Watch {
    std::string prefix;
    jobs::Revision after = 0;
    std::function<void(mustardproxy::Result<jobs::StoreEvents>)> done;
  };

  [[nodiscard]] bool Reaches(const Process& process) const;
  [[nodiscard]] bool Silences(std::string_view prefix) const {
    return !this->silent_prefix.empty() &&
           prefix.starts_with(this->silent_prefix);
  }
  jobs::CommitResult Commit(const jobs::Transaction& transaction);
  jobs::StorePage List(const std::string& prefix, const std::string& after);
  mustardproxy::Result<jobs::StoreEvents> EventsAfter(
      const std::string& prefix, jobs::Revision after) const;
  void Change(const std::string& key, const std::string* value,
              jobs::StoreLeaseId lease);
  void WakeWatches();
  jobs::StoreLease Grant(Duration ttl);
  bool Renew(jobs::StoreLeaseId lease);
  void EndLease(jobs::StoreLeaseId lease);
  void CheckLease(jobs::StoreLeaseId lease);

  VirtualTime* time;
  jobs::Revision revision = 0;
  jobs::Revision compacted = 0;
  std::map<std::string, jobs::StoreItem> items;
  std::vector<jobs::StoreEvent> history;
  std::map<jobs::StoreLeaseId, Lease> leases;
  jobs::StoreLeaseId next_lease = 1;
  std::list<std::shared_ptr<Watch>> watches;
};

}  // namespace job_sim

#endif  // JOB_SIM_SIM_STORE_H_
