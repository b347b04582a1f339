#ifndef MUSTARDPROXY_CORE_IDS_H_
#define MUSTARDPROXY_CORE_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace mustardproxy {

/// Identifier of one kind of entity. Identifiers of different kinds do not
/// convert into each other.
///
/// @tparam Tag an empty type that distinguishes the kinds
template <typename Tag>
class Id {
 public:
  Id() = default;
  explicit Id(std::string text) : text(std::move(text)) {}
  explicit Id(std::string_view text) : text(text) {}
  explicit Id(const char* text) : text(text) {}

  /// @return the identifier as text
  [[nodiscard]] const std::string& Text() const { return this->text; }
  [[nodiscard]] bool Empty() const { return this->text.empty(); }

  friend bool operator==(const Id&, const Id&) = default;
  friend std::strong_ordering operator<=>(const Id& a, const Id& b) {
    return a.text.compare(b.text) <=> 0;
  }
  friend std::ostream& operator<<(std::ostream& out, const Id& id) {
    return out << id.text;
  }

 private:
  std::string text;
};

/// A caller's request, unique across all processes and restarts:
/// `<process>.<incarnation in hex>.<counter>`.
using RequestId = Id<struct RequestTag>;
/// One run of one task of a request: `<request>/<task index>/<attempt>`.
using TaskId = Id<struct TaskTag>;
/// A host that runs tasks.
using WorkerId = Id<struct WorkerTag>;
/// An entry process, as named in its settings.
using ProcessId = Id<struct ProcessTag>;
using DataCenterId = Id<struct DataCenterTag>;
using RackId = Id<struct RackTag>;
using TeamId = Id<struct TeamTag>;
using ServiceId = Id<struct ServiceTag>;
using ProfileId = Id<struct ProfileTag>;
/// A journal of deferred work: `<process>.<incarnation in hex>`.
using JournalId = Id<struct JournalTag>;

/// Random number drawn at each start of a process; distinguishes its runs.
using Incarnation = std::uint64_t;
/// Fencing token of a worker's lease. A worker accepts only the highest epoch
/// that it has seen.
using Epoch = std::uint64_t;
/// Version of the configuration document; grows by one with each change.
using ConfigurationVersion = std::uint64_t;

}  // namespace mustardproxy

template <typename Tag>
struct std::hash<mustardproxy::Id<Tag>> {
  std::size_t operator()(const mustardproxy::Id<Tag>& id) const noexcept {
    return std::hash<std::string>{}(id.Text());
  }
};

#endif  // MUSTARDPROXY_CORE_IDS_H_
