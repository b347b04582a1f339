#include "program.h"

#include <array>
#include <csignal>
#include <cxxopts.hpp>
#include <optional>
#include <utility>

#include "arguments.h"
#include "cell_program.h"
#include "complain.h"
#include "mustardproxy/settings/load.h"
#include "mustardproxy/telemetry/log.h"
#include "runtime.h"
#include "signals.h"

namespace mustardproxy {
namespace {

constexpr std::string_view kCellCommand = "cell";
constexpr std::array kStopSignals{SIGTERM, SIGINT};

cxxopts::Options MakeOptions() {
  cxxopts::Options options("mustardproxy", "Entry process of a cell.");
  auto add = options.add_options();
  add("settings", "settings file (JSON with comments)",
      cxxopts::value<std::string>());
  add("check", "only check the settings");
  add("version", "print the version");
  add("help", "print this text");
  return options;
}

int Serve(Settings settings, std::ostream& errors) {
  const Signals signals(kStopSignals);
  StartLog(settings.log_level, settings.process.Text());
  std::string address_file = settings.address_file;
  Runtime runtime(std::move(settings));
  Result<Addresses> addresses = runtime.Start();
  if (!addresses) {
    errors << "can not listen: " << addresses.error().message() << '\n';
    return kExitCannotStart;
  }
  if (!address_file.empty()) {
    std::error_code failure = WriteAddressFile(address_file, addresses.value());
    if (failure) {
      errors << address_file << ": " << failure.message() << '\n';
      return kExitCannotStart;
    }
  }
  (void)signals.Wait();
  Log(Part::kControl, Level::kInfo, "Stopping gracefully.");
  bool whole = runtime.Shutdown();
  Log(Part::kControl, Level::kInfo,
      whole ? "Stopped." : "Stopped with work cut off.");
  return whole ? kExitOk : kExitCut;
}

int RunParsed(const cxxopts::ParseResult& arguments, const std::string& help,
              std::ostream& out, std::ostream& errors) {
  if (arguments.count("help") > 0) {
    out << help << '\n';
    return kExitOk;
  }
  if (arguments.count("version") > 0) {
    out << "mustardproxy " << MUSTARDPROXY_VERSION << '\n';
    return kExitOk;
  }
  if (arguments.count("settings") == 0 || !arguments.unmatched().empty()) {
    errors << "usage: mustardproxy --settings FILE [--check]\n"
           << "       mustardproxy cell [--settings FILE] [--check]\n";
    return kExitBadSettings;
  }
  auto path = arguments["settings"].as<std::string>();
  std::optional<Settings> settings =
      TakeOrComplain(LoadSettings(path), "", errors);
  if (!settings) return kExitBadSettings;
  if (arguments.count("check") > 0) {
    out << path << ": no problems found\n";
    return kExitOk;
  }
  return Serve(std::move(*settings), errors);
}

}  // namespace

int RunProgram(const std::vector<std::string>& arguments, std::ostream& out,
               std::ostream& errors) {
  if (arguments.size() > 1 && arguments[1] == kCellCommand) {
    std::vector<std::string> rest = arguments;
    rest.erase(rest.begin() + 1);
    return RunCell(rest, out, errors);
  }
  return ParseAndRun(
      arguments, MakeOptions(), errors,
      [&](const cxxopts::ParseResult& parsed, const std::string& help) {
        return RunParsed(parsed, help, out, errors);
      });
}

}  // namespace mustardproxy
