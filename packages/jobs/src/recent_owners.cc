#include "recent_owners.h"

#include <algorithm>

#include "lease_times.h"

namespace mustardproxy::jobs {

void RecentOwners::NoteOwner(FencingToken token, Instant now) {
  if (token <= this->latest) return;
  if (this->latest != 0) this->replaced_at.try_emplace(this->latest, now);
  this->latest = token;
  if (!this->list) return;
  for (const OwnerEntry& owner : this->list->owners) {
    if (owner.token < token) this->replaced_at.try_emplace(owner.token, now);
  }
}

void RecentOwners::NoteVacant(Revision deleted_at, Instant now) {
  // Failure: a listing that began before an election shows that there is no
  // owner, and the owner elected meanwhile counts as replaced while it acts.
  if (this->latest == 0 || deleted_at <= this->latest) return;
  this->replaced_at.try_emplace(this->latest, now);
}

void RecentOwners::NoteRecord(const StoreItem& item, Instant now) {
  if (item.revision <= this->revision) return;
  this->revision = item.revision;
  this->list = DecodeOwners(item.value);
  if (!this->list || this->list->owners.empty()) return;
  std::vector<OwnerEntry>& owners = this->list->owners;
  if (owners.back().token == 0) owners.back().token = item.revision;
  const FencingToken newest = owners.back().token;
  for (const OwnerEntry& owner : owners) {
    if (owner.token < newest) this->replaced_at.try_emplace(owner.token, now);
  }
  const FencingToken oldest = owners.front().token;
  std::erase_if(this->replaced_at,
                [oldest](const auto& one) { return one.first < oldest; });
}

void RecentOwners::NoteRecordDeleted(Revision deleted_at) {
  if (deleted_at < this->revision) return;
  this->list.reset();
  this->revision = 0;
}

std::string RecentOwners::EncodeNext(const NodeRecord& next,
                                     Instant now) const {
  OwnerList written;
  if (this->list) {
    for (const OwnerEntry& owner : this->list->owners) {
      const auto replaced = this->replaced_at.find(owner.token);
      const bool over = replaced != this->replaced_at.end() &&
                        now >= replaced->second + MaxFormerOwnerLeaseTime();
      if (!over) written.owners.push_back(owner);
    }
    // An owner of a version that does not write the record is not in it.
    written.complete = this->list->complete && !this->list->owners.empty() &&
                       this->list->owners.back().token >= this->latest;
  }
  written.owners.push_back({next, 0});
  return EncodeOwners(written);
}

bool RecentOwners::NamesOnly(FencingToken token) const {
  return this->list && this->list->complete && this->list->owners.size() == 1 &&
         this->list->owners.back().token == token;
}

FormerOwners RecentOwners::Before(FencingToken token, Instant now) const {
  FormerOwners formers;
  const bool current = this->list && !this->list->owners.empty() &&
                       this->list->owners.back().token == token;
  if (!current) return formers;
  formers.complete = this->list->complete;
  for (const OwnerEntry& owner : this->list->owners) {
    if (owner.token >= token) continue;
    const auto replaced = this->replaced_at.find(owner.token);
    const bool known = replaced != this->replaced_at.end();
    formers.owners.push_back(
        {owner.node, owner.token, known ? replaced->second : now});
  }
  return formers;
}

}  // namespace mustardproxy::jobs
