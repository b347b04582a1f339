#ifndef MUSTARDPROXY_STANDIN_SRC_SESSION_TABLE_H_
#define MUSTARDPROXY_STANDIN_SRC_SESSION_TABLE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mustardproxy::standin {

/// The sessions that are alive, each with the time at which it lapses unless it
/// is renewed. Time is passed in. Not thread-safe.
class SessionTable {
 public:
  using Instant = std::chrono::steady_clock::time_point;

  /// @return the id of a new session
  std::string Create(Instant now, std::chrono::milliseconds ttl);
  /// Begins the time to live anew.
  /// @return the time to live, or nothing if there is no such session
  std::optional<std::chrono::milliseconds> Renew(std::string_view id,
                                                 Instant now);
  /// @return false if there is no such session
  bool Destroy(std::string_view id);
  [[nodiscard]] bool Alive(std::string_view id) const;
  /// Takes out the sessions whose time has come.
  /// @return their ids
  std::vector<std::string> TakeLapsed(Instant now);
  /// @return when the next session lapses, or the end of time
  [[nodiscard]] Instant NextLapse() const;

 private:
  struct Session {
    std::chrono::milliseconds ttl{0};
    Instant lapses;
  };

  std::map<std::string, Session, std::less<>> sessions;
  std::uint64_t created = 0;
};

}  // namespace mustardproxy::standin

#endif  // MUSTARDPROXY_STANDIN_SRC_SESSION_TABLE_H_
