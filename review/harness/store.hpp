// The platform's metadata store, in memory.
#ifndef REVIEW_STORE_HPP_
#define REVIEW_STORE_HPP_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "http.hpp"

namespace review {

using Json = nlohmann::json;

class Store {
 public:
  Store();
  ~Store();

  [[nodiscard]] std::string Address() const { return this->server.Address(); }
  /// Writes as the operator and the workers do.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  /// From now on the write that this picks first gets no answer and is done
  /// `delay` later, if its condition still holds.
  void SetLate(std::function<bool(const Json& body)> picks,
               std::chrono::milliseconds delay);
  struct Count {
    std::int64_t writes = 0;
    std::int64_t unanswered = 0;
  };
  /// @return the numbers of write calls so far
  Count Writes();

 private:
  using Clock = std::chrono::steady_clock;

  struct Item {
    std::string value;
    std::int64_t revision = 0;
    std::int64_t created = 0;
    std::int64_t lease = 0;
  };
  struct Event {
    std::int64_t revision = 0;
    std::string key;
    bool deleted = false;
    Item item;
  };
  struct Lease {
    std::chrono::milliseconds ttl;
    Clock::time_point ends;
  };

  std::optional<Reply> Handle(const Request& request);
  Reply Read(const Request& request);
  Reply Range(const Request& request);
  Reply Watch(const Request& request);
  Reply Commit(const Json& body);
  std::optional<Reply> Transact(const Request& request);
  void ExpireLeases();
  void Write(const std::string& key, const Item* item);
  [[nodiscard]] static Json Show(const std::string& key, const Item& item);

  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Item> items;
  std::vector<Event> history;
  std::map<std::int64_t, Lease> leases;
  std::int64_t revision = 1;
  std::int64_t next_lease = 100;
  Count count;
  std::function<bool(const Json&)> late;
  std::chrono::milliseconds late_by{0};
  bool stopping = false;
  Server server;
  std::thread expiry;
};

std::string Encode64(const std::string& bytes);

}  // namespace review

#endif  // REVIEW_STORE_HPP_
