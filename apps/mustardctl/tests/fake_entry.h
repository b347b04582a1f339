#ifndef MUSTARDPROXY_MUSTARDCTL_TESTS_FAKE_ENTRY_H_
#define MUSTARDPROXY_MUSTARDCTL_TESTS_FAKE_ENTRY_H_

#include <cstdint>
#include <memory>
#include <string>

namespace mustardproxy::testing {

/// Answers `GET /v1/status` and `GET /v1/events` like an entry process.
class FakeEntry {
 public:
  FakeEntry(std::string process, std::string data_center);
  ~FakeEntry();
  FakeEntry(const FakeEntry&) = delete;
  FakeEntry& operator=(const FakeEntry&) = delete;

  /// Reports `version` once the status was asked for `polls` times more.
  void ReportVersion(std::uint64_t version, int polls = 0);
  /// Answers `GET /v1/events` with this text.
  void SetEvents(std::string json);

  /// @return `ip:port`
  [[nodiscard]] std::string Address() const;
  /// @return the value of its `member/` key
  [[nodiscard]] std::string MemberValue() const;

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace mustardproxy::testing

#endif  // MUSTARDPROXY_MUSTARDCTL_TESTS_FAKE_ENTRY_H_
