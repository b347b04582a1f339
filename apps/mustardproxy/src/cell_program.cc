#include "cell_program.h"

#include <array>
#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <optional>
#include <utility>

#include "arguments.h"
#include "cell_runtime.h"
#include "complain.h"
#include "mustardproxy/settings/load.h"
#include "mustardproxy/telemetry/log.h"
#include "program.h"
#include "signals.h"

namespace mustardproxy {
namespace {

constexpr const char* kSettingsVariable = "MUSTARDPROXY_SETTINGS";
/// The last one asks for the settings to be read again.
constexpr std::array kAwaitedSignals{SIGTERM, SIGINT, SIGHUP};

std::optional<CellSettings> LoadOrComplain(const std::string& path,
                                           std::ostream& errors) {
  return TakeOrComplain(LoadCellSettings(path), path + ": ", errors);
}

int Serve(const std::string& path, CellSettings settings,
          std::ostream& errors) {
  const Signals signals(kAwaitedSignals);
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
  return ParseAndRun(
      arguments, MakeOptions(), errors,
      [&](const cxxopts::ParseResult& parsed, const std::string& help) {
        return RunParsed(parsed, help, out, errors);
      });
}

}  // namespace mustardproxy
