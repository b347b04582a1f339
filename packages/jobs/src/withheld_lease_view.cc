#include "withheld_lease_view.h"

#include <algorithm>
#include <utility>

namespace mustardproxy::jobs {

void WithheldLeaseView::Note(std::string_view record, Instant now) {
  const auto leases = DecodeWithheldLeases(record);
  const std::map<Key, Instant> former = std::exchange(this->seen_at, {});
  if (!leases) return;
  for (const WithheldLease& lease : *leases) {
    const auto known = former.find(KeyOf(lease));
    this->seen_at.emplace(KeyOf(lease),
                          known == former.end() ? now : known->second);
  }
}

void WithheldLeaseView::NoteSeen(const SeenWithheldLease& lease, Instant at) {
  const Key key{lease.worker, lease.token, lease.number};
  Instant& known = this->seen_at.try_emplace(key, at).first->second;
  known = std::min(known, at);
}

std::vector<SeenWithheldLease> WithheldLeaseView::Seen(Instant now) const {
  std::vector<SeenWithheldLease> seen;
  for (const auto& [key, at] : this->seen_at) {
    const auto& [worker, token, number] = key;
    seen.push_back({worker, token, number, now - at});
  }
  return seen;
}

Instant WithheldLeaseView::SeenAt(const WithheldLease& lease,
                                  Instant read_at) const {
  const auto known = this->seen_at.find(KeyOf(lease));
  return known == this->seen_at.end() ? read_at : known->second;
}

}  // namespace mustardproxy::jobs
