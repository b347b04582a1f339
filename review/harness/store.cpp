#include "store.hpp"

namespace review {
namespace {

using std::chrono::milliseconds;

/// The usual time of an answer.
constexpr milliseconds kAnswerTime(4);
constexpr std::size_t kPageItems = 500;

Reply Json200(const Json& body) { return {200, body.dump()}; }

std::int64_t Number(const Request& request, const char* field) {
  const auto found = request.query.find(field);
  return found == request.query.end() || found->second.empty()
             ? 0
             : std::stoll(found->second);
}

std::string Text(const Request& request, const char* field) {
  const auto found = request.query.find(field);
  return found == request.query.end() ? "" : found->second;
}

}  // namespace

std::string Encode64(const std::string& bytes) {
  constexpr const char* kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group <<= 8U;
      if (i + j < bytes.size())
        group |= static_cast<unsigned char>(bytes[i + j]);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      const bool there = j < 2 || i + j - 1 < bytes.size();
      text += there ? kDigits[(group >> (18 - 6 * j)) & 63U] : '=';
    }
  }
  return text;
}

Store::Store() : server([this](const Request& r) { return this->Handle(r); }) {
  this->server.Open();
  this->expiry = std::thread([this] { this->ExpireLeases(); });
}

Store::~Store() {
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
    this->changed.notify_all();
  }
  this->expiry.join();
  this->server.Close();
}

void Store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(this->mutex);
  ++this->revision;
  const Item item{Encode64(value), 0, 0, 0};
  this->Write(key, &item);
}

void Store::Remove(const std::string& key) {
  const std::lock_guard lock(this->mutex);
  if (!this->items.contains(key)) return;
  ++this->revision;
  this->Write(key, nullptr);
}

void Store::SetLate(std::function<bool(const Json&)> picks,
                    milliseconds delay) {
  const std::lock_guard lock(this->mutex);
  this->late = std::move(picks);
  this->late_by = delay;
}

Store::Count Store::Writes() {
  const std::lock_guard lock(this->mutex);
  return this->count;
}

void Store::Write(const std::string& key, const Item* item) {
  Event event{this->revision, key, item == nullptr, {}};
  if (item == nullptr) {
    this->items.erase(key);
  } else {
    const auto found = this->items.find(key);
    event.item = *item;
    event.item.revision = this->revision;
    event.item.created =
        found == this->items.end() ? this->revision : found->second.created;
    this->items[key] = event.item;
  }
  this->history.push_back(event);
  this->changed.notify_all();
}

Json Store::Show(const std::string& key, const Item& item) {
  return {{"key", key},
          {"value", item.value},
          {"revision", item.revision},
          {"created", item.created},
          {"lease", item.lease}};
}

void Store::ExpireLeases() {
  std::unique_lock lock(this->mutex);
  while (!this->stopping) {
    const auto now = Clock::now();
    for (auto lease = this->leases.begin(); lease != this->leases.end();) {
      if (lease->second.ends > now) {
        ++lease;
        continue;
      }
      std::vector<std::string> keys;
      for (const auto& [key, item] : this->items) {
        if (item.lease == lease->first) keys.push_back(key);
      }
      if (!keys.empty()) ++this->revision;
      for (const std::string& key : keys) this->Write(key, nullptr);
      lease = this->leases.erase(lease);
    }
    lock.unlock();
    std::this_thread::sleep_for(milliseconds(5));
    lock.lock();
  }
}

std::optional<Reply> Store::Handle(const Request& request) {
  std::this_thread::sleep_for(kAnswerTime);
  const std::string& path = request.path;
  if (path == "/-/kv-key") return this->Read(request);
  if (path == "/-/kv-range") return this->Range(request);
  if (path == "/-/kv-watch") return this->Watch(request);
  if (path == "/-/kv-txn") return this->Transact(request);
  const std::lock_guard lock(this->mutex);
  if (path == "/-/kv-lease") {
    const milliseconds ttl(Json::parse(request.body).value("ttlMs", 1000));
    this->leases[this->next_lease] = {ttl, Clock::now() + ttl};
    return Json200({{"lease", this->next_lease++}, {"ttlMs", ttl.count()}});
  }
  const std::string keep = "/-/kv-keep/";
  const std::string end = "/-/kv-lease-end/";
  if (path.starts_with(keep)) {
    const auto found = this->leases.find(std::stoll(path.substr(keep.size())));
    if (found == this->leases.end()) return Reply{404, "{}"};
    found->second.ends = Clock::now() + found->second.ttl;
    return Json200(
        {{"lease", found->first}, {"ttlMs", found->second.ttl.count()}});
  }
  if (path.starts_with(end)) {
    const auto found = this->leases.find(std::stoll(path.substr(end.size())));
    if (found == this->leases.end()) return Reply{404, "{}"};
    found->second.ends = Clock::now();
    return Json200(Json::object());
  }
  return Reply{404, "{}"};
}

Reply Store::Read(const Request& request) {
  const std::lock_guard lock(this->mutex);
  const std::string key = Text(request, "key");
  const auto found = this->items.find(key);
  if (found == this->items.end()) return {404, "{}"};
  Json body = Show(key, found->second);
  body["currentRev"] = this->revision;
  return Json200(body);
}

Reply Store::Range(const Request& request) {
  const std::lock_guard lock(this->mutex);
  const std::string prefix = Text(request, "prefix");
  const std::string after = Text(request, "after");
  Json list = Json::array();
  bool truncated = false;
  for (auto item = this->items.lower_bound(prefix);
       item != this->items.end() && item->first.starts_with(prefix); ++item) {
    if (!after.empty() && item->first <= after) continue;
    if (list.size() == kPageItems) {
      truncated = true;
      break;
    }
    list.push_back(Show(item->first, item->second));
  }
  return Json200({{"items", list},
                  {"truncated", truncated},
                  {"currentRev", this->revision}});
}

Reply Store::Watch(const Request& request) {
  const std::string prefix = Text(request, "prefix");
  const std::int64_t after = Number(request, "after");
  const auto until = Clock::now() + milliseconds(Number(request, "waitMs"));
  std::unique_lock lock(this->mutex);
  Json events = Json::array();
  const auto collect = [&] {
    for (const Event& event : this->history) {
      if (event.revision <= after || !event.key.starts_with(prefix)) continue;
      if (event.deleted) {
        events.push_back({{"key", event.key},
                          {"revision", event.revision},
                          {"deleted", true}});
      } else {
        events.push_back(Show(event.key, event.item));
      }
    }
    return !events.empty() || this->stopping;
  };
  this->changed.wait_until(lock, until, collect);
  return Json200({{"events", events}, {"currentRev", this->revision}});
}

std::optional<Reply> Store::Transact(const Request& request) {
  const Json body = Json::parse(request.body);
  milliseconds delay(0);
  {
    const std::lock_guard lock(this->mutex);
    ++this->count.writes;
    if (!this->late || !this->late(body)) return this->Commit(body);
    ++this->count.unanswered;
    this->late = {};
    delay = this->late_by;
  }
  // No answer; the connection stays silent until the caller has given up.
  std::this_thread::sleep_for(delay);
  const std::lock_guard lock(this->mutex);
  (void)this->Commit(body);
  return std::nullopt;
}

Reply Store::Commit(const Json& body) {
  bool holds = true;
  Json found = Json::array();
  for (const Json& row : body.value("precondition", Json::array())) {
    const auto item = this->items.find(row.at("key"));
    const bool there = item != this->items.end();
    if (there) found.push_back(Show(item->first, item->second));
    const std::int64_t wanted = row.at("revision");
    holds = holds && wanted == (there ? item->second.revision : 0);
  }
  if (!holds) return {412, Json{{"items", found}}.dump()};
  for (const Json& row : body.value("puts", Json::array())) {
    const std::int64_t lease = row.value("lease", std::int64_t{0});
    if (lease != 0 && !this->leases.contains(lease)) return {404, "{}"};
  }
  ++this->revision;
  for (const Json& row : body.value("puts", Json::array())) {
    const Item item{row.at("value"), 0, 0, row.value("lease", std::int64_t{0})};
    this->Write(row.at("key"), &item);
  }
  for (const Json& key : body.value("remove", Json::array())) {
    if (this->items.contains(key)) this->Write(key, nullptr);
  }
  return Json200({{"revision", this->revision}});
}

}  // namespace review
