#include "program.h"

#include <csignal>
#include <cxxopts.hpp>
#include <optional>
#include <utility>
#include <variant>

#include "cell_program.h"
#include "mustardproxy/settings/load.h"
#include "mustardproxy/telemetry/log.h"
#include "pointers.h"
#include "runtime.h"

namespace mustardproxy {
namespace {

constexpr std::string_view kCellCommand = "cell";

/// The signals that ask for a graceful stop. They are blocked before any thread
/// is made, so that all threads inherit that and only `Wait` takes them.
class StopSignals {
 public:
  StopSignals() {
    sigemptyset(&this->signals);
    sigaddset(&this->signals, SIGTERM);
    sigaddset(&this->signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &this->signals, nullptr);
    // A write to a connection that the other end has closed raises it.
    std::signal(SIGPIPE, SIG_IGN);
  }
  void Wait() const {
    int signal = 0;
    while (sigwait(&this->signals, &signal) != 0) {
    }
  }

 private:
  sigset_t signals{};
};

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

std::optional<Settings> LoadOrComplain(const std::string& path,
                                       std::ostream& errors) {
  auto loaded = LoadSettings(path);
  if (auto* settings = std::get_if<Settings>(&loaded)) {
    return std::move(*settings);
  }
  for (const Problem& problem : std::get<Problems>(loaded)) {
    errors << FormatProblem(problem) << '\n';
  }
  return std::nullopt;
}

int Serve(Settings settings, std::ostream& errors) {
  const StopSignals signals;
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
  signals.Wait();
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
  std::optional<Settings> settings = LoadOrComplain(path, errors);
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
  std::vector<const char*> pointers = Pointers(arguments);
  cxxopts::Options options = MakeOptions();
  try {
    auto parsed =
        options.parse(static_cast<int>(pointers.size()), pointers.data());
    return RunParsed(parsed, options.help(), out, errors);
  } catch (const cxxopts::exceptions::exception& problem) {
    errors << problem.what() << '\n';
    return kExitBadSettings;
  }
}

}  // namespace mustardproxy
