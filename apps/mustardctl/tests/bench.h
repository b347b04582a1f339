#ifndef MUSTARDPROXY_MUSTARDCTL_TESTS_BENCH_H_
#define MUSTARDPROXY_MUSTARDCTL_TESTS_BENCH_H_

#include <Poco/TemporaryFile.h>

#include <fstream>
#include <functional>
#include <memory>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "apply.h"
#include "fake_entry.h"
#include "key_value_store.h"
#include "run.h"
#include "standin/standin_platform.h"

namespace mustardproxy::testing {

/// A file that goes away with the object.
class TemporaryDocument {
 public:
  explicit TemporaryDocument(std::string_view text) {
    std::ofstream(this->file.path()) << text;
  }
  [[nodiscard]] const std::string& Path() const { return this->file.path(); }

 private:
  Poco::TemporaryFile file;
};

/// @return a valid document whose only profile waits that long
inline std::string Document(int max_wait_ms) {
  return R"({"default_team": "dlonie", "teams": {"dlonie": {}}, "profiles":
      {"urgent": {"max_wait_ms": )" +
         std::to_string(max_wait_ms) + R"(}}, "services": {"screen":
      {"profile": "urgent", "resources": {"cpu_milli": 1, "memory_mb": 1}}}})";
}

/// What a command printed and how it ended.
struct Outcome {
  ctl::ExitCode exit = ctl::ExitCode::kOk;
  std::string out;
  std::string err;
};

/// @return true if the text holds the part
inline bool Holds(const std::string& text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

/// The service with hooks in front of it, to let something happen between two
/// steps of a command.
class HookedStore final : public ctl::KeyValueStore {
 public:
  using SwapHook = std::function<SwapEnd(
      std::string_view key, std::string_view value, std::uint64_t index)>;

  explicit HookedStore(const std::string& url)
      : inner(ctl::MakePlatformStore(url)) {}

  Result<std::optional<KeyValue>> Get(std::string_view key) override {
    auto read = this->inner->Get(key);
    if (key == kConfigurationKey && this->after_read) {
      std::exchange(this->after_read, nullptr)();
    }
    return read;
  }
  Result<std::vector<KeyValue>> List(std::string_view prefix) override {
    return this->inner->List(prefix);
  }
  Result<std::vector<std::string>> Keys(std::string_view prefix) override {
    return this->inner->Keys(prefix);
  }
  SwapEnd Swap(std::string_view key, std::string_view value,
               std::uint64_t index) override {
    const bool hooked =
        key == kConfigurationKey && this->next_hook < this->hooks.size();
    if (!hooked) return this->inner->Swap(key, value, index);
    return this->hooks[this->next_hook++](key, value, index);
  }
  Result<void> Remove(std::string_view key) override {
    return this->inner->Remove(key);
  }

  std::unique_ptr<ctl::KeyValueStore> inner;
  /// Stand for the first swaps of the document, one each.
  std::vector<SwapHook> hooks;
  /// Runs once, right after the document was read.
  std::function<void()> after_read;

 private:
  std::size_t next_hook = 0;
};

/// A platform and the commands run against it.
class Bench {
 public:
  Outcome Run(std::vector<std::string> arguments) const {
    arguments.insert(arguments.begin(), {"--platform", this->platform.Url()});
    return RunRaw(arguments);
  }

  static Outcome RunRaw(const std::vector<std::string>& arguments) {
    std::ostringstream out;
    std::ostringstream err;
    const ctl::ExitCode exit = ctl::Run(arguments, {out, err});
    return {exit, out.str(), err.str()};
  }

  Outcome ApplyText(std::string_view text,
                    std::vector<std::string> options = {}) const {
    const TemporaryDocument file(text);
    options.insert(options.begin(), {"profile", "apply", file.Path()});
    return this->Run(std::move(options));
  }

  /// Applies through a store with hooks.
  static Outcome ApplyThrough(ctl::KeyValueStore* store,
                              std::string_view text) {
    const TemporaryDocument file(text);
    ctl::CommandLine line;
    line.file = file.Path();
    std::ostringstream out;
    std::ostringstream err;
    const ctl::ExitCode exit = ctl::Apply(line, store, {out, err});
    return {exit, out.str(), err.str()};
  }

  void Register(const std::string& process, const FakeEntry& entry) {
    this->platform.Put("member/" + process, entry.MemberValue());
  }

  /// @return the versions that the history holds, in order
  [[nodiscard]] std::vector<std::string> HistoryKeys() const {
    std::vector<std::string> keys;
    for (const auto& [key, value] : this->platform.Values("config/history/")) {
      keys.push_back(key);
    }
    return keys;
  }

  standin::StandinPlatform platform;
};

}  // namespace mustardproxy::testing

#endif  // MUSTARDPROXY_MUSTARDCTL_TESTS_BENCH_H_
