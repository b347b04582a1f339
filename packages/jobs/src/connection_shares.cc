#include "connection_shares.h"

#include <algorithm>
#include <array>

namespace mustardproxy::jobs {
namespace {

/// Connections that an owner may hold to one worker, by the number of former
/// owners that may hold some; the last one for any further. One of them is left
/// to holds. A worker takes 64: enough for nine such owners, or for the first
/// share twice and the next two, as one former owner may be unknown.
constexpr std::array<std::size_t, 4> kShares{24, 10, 5, 4};

bool IsSame(const NodeRecord& a, const NodeRecord& b) {
  return a.name == b.name && a.incarnation == b.incarnation;
}

const Registration* Find(const std::map<ProcessId, Registration>& nodes,
                         const NodeRecord& process) {
  const auto found = nodes.find(process.name);
  const bool same = found != nodes.end() && IsSame(found->second.node, process);
  return same ? &found->second : nullptr;
}

}  // namespace

void ConnectionShares::Update(const std::optional<Ownership>& owner,
                              const std::map<ProcessId, Registration>& nodes,
                              Instant now) {
  if (owner != this->owner) this->Replace(owner, nodes, now);
  for (Holder& holder : this->holders) {
    // One that has registered anew runs, and knows that it was replaced.
    const Registration* node = Find(nodes, holder.former.owner);
    const bool runs = node != nullptr && node->revision > holder.former.token;
    if (runs) {
      holder.until = std::min(holder.until, now + kConnectionsReleasedAfter);
    }
  }
  std::erase_if(this->holders, [&](const Holder& holder) {
    const bool owns = owner && IsSame(owner->owner, holder.former.owner);
    return owns || now >= holder.until;
  });
}

void ConnectionShares::Replace(const std::optional<Ownership>& next,
                               const std::map<ProcessId, Registration>& nodes,
                               Instant now) {
  const std::optional<Ownership> former = std::exchange(this->owner, next);
  if (!former || IsSame(former->owner, this->self)) return;
  // Only the owner itself replaces its key while it is registered: it has
  // handed the group over.
  const bool handed_over = next && Find(nodes, former->owner) != nullptr;
  this->holders.push_back(
      {.former = *former,
       .until = now + (handed_over ? kConnectionsReleasedAfter
                                   : kMaxConnectionHoldTime)});
}

std::size_t ConnectionShares::Share() const {
  return kShares.at(std::min(this->holders.size(), kShares.size() - 1));
}

}  // namespace mustardproxy::jobs
