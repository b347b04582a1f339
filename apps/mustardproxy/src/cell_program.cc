#include "cell_program.h"

#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <optional>
#include <utility>
#include <variant>

#include "cell_runtime.h"
#include "mustardproxy/settings/load.h"
#include "mustardproxy/telemetry/log.h"
#include "pointers.h"
#include "program.h"

namespace mustardproxy {
namespace {

constexpr const char* kSettingsVariable = "MUSTARDPROXY_SETTINGS";

/// Blocked before any thread is made, so that all threads inherit that and only
/// `Wait` takes them.
class CellSignals {
 public:
  CellSignals() {
    sigemptyset(&this->signals);
    sigaddset(&this->signals, SIGTERM);
    sigaddset(&this->signals, SIGINT);
    sigaddset(&this->signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &this->signals, nullptr);
    // A write to a connection that the other end has closed raises it.
    std::signal(SIGPIPE, SIG_IGN);
  }
  /// @return the signal that came
  [[nodiscard]] int Wait() const {
    int signal = 0;
    while (sigwait(&this->signals, &signal) != 0) {
    }
    return signal;
  }

 private:
  sigset_t signals{};
};

std::optional<CellSettings> LoadOrComplain(const std::string& path,
                                           std::ostream& errors) {
  auto loaded = LoadCellSettings(path);
  if (auto* settings = std::get_if<CellSettings>(&loaded)) {
    return std::move(*settings);
  }
  for (const Problem& problem : std::get<Problems>(loaded)) {
    errors << path << ": " << FormatProblem(problem) << '\n';
  }
  return std::nullopt;
}

int Serve(const std::string& path, CellSettings settings,
          std::ostream& errors) {
  const CellSignals signals;
  StartLog(settings.log_level, settings.process.Text());
  CellRuntime runtime(std::move(settings));
  if (const auto failure = runtime.Start()) {
    errors << "can not listen: " << failure.message() << '\n';
    return kExitCannotStart;
  }
  while (signals.Wait() == SIGHUP) {
    // A file that is broken is not taken; what runs goes on.
    if (const auto changed = LoadOrComplain(path, errors)) {
      runtime.Reload(*changed);
    }
  }
  runtime.Shutdown();
  // Failure: everything is stopped, and exit handlers of libraries keep the
  // process until it is killed at the end of its grace time; its successor
  // starts 2 to 3 s later than it could. Nothing is left to be written.
  std::_Exit(kExitOk);
}

cxxopts::Options MakeOptions() {
  cxxopts::Options options("mustardproxy cell",
                           "Takes jobs in, and schedules them for the cell.");
  auto add = options.add_options();
  add("settings", "settings file (JSON with comments)",
      cxxopts::value<std::string>());
  add("check", "only check the settings");
  add("help", "print this text");
  return options;
}

std::string SettingsPath(const cxxopts::ParseResult& arguments) {
  if (arguments.count("settings") > 0) {
    return arguments["settings"].as<std::string>();
  }
  const char* named = std::getenv(kSettingsVariable);
  return named == nullptr ? std::string() : std::string(named);
}

int RunParsed(const cxxopts::ParseResult& arguments, const std::string& help,
              std::ostream& out, std::ostream& errors) {
  if (arguments.count("help") > 0) {
    out << help << '\n';
    return kExitOk;
  }
  const std::string path = SettingsPath(arguments);
  if (path.empty() || !arguments.unmatched().empty()) {
    errors << "usage: mustardproxy cell [--settings FILE] [--check]\n"
           << "without a file, " << kSettingsVariable << " has to name it\n";
    return kExitBadSettings;
  }
  std::optional<CellSettings> settings = LoadOrComplain(path, errors);
  if (!settings) return kExitBadSettings;
  if (arguments.count("check") > 0) {
    out << path << ": no problems found\n";
    return kExitOk;
  }
  return Serve(path, std::move(*settings), errors);
}

}  // namespace

int RunCell(const std::vector<std::string>& arguments, std::ostream& out,
            std::ostream& errors) {
  const std::vector<const char*> pointers = Pointers(arguments);
  cxxopts::Options options = MakeOptions();
  try {
    const auto parsed =
        options.parse(static_cast<int>(pointers.size()), pointers.data());
    return RunParsed(parsed, options.help(), out, errors);
  } catch (const cxxopts::exceptions::exception& problem) {
    errors << problem.what() << '\n';
    return kExitBadSettings;
  }
}

}  // namespace mustardproxy
