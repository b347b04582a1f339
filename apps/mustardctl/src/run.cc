#include "run.h"

#include <memory>
#include <variant>
#include <vector>

#include "apply.h"
#include "command_line.h"
#include "entries.h"
#include "jobs.h"
#include "key_value_store.h"
#include "profiles.h"
#include "reports.h"

namespace mustardproxy::ctl {
namespace {

using Report = ExitCode (*)(const CommandLine&, const std::vector<Entry>&,
                            const Console&);

/// Finds the entry processes and runs a report over them. Addresses on the
/// command line come first, so that it works while the platform is away.
ExitCode ReportOnEntries(const CommandLine& line, const Console& console,
                         Report report) {
  std::vector<Entry> entries;
  AddAddresses(line.entries, &entries);
  if (entries.empty()) {
    const auto store = MakePlatformStore(line.platform);
    Result<std::vector<Entry>> members = ReadMembers(store.get());
    if (!members) {
      PrintUnavailable(console, members.error());
      console.err << "name entry processes with --entry\n";
      return ExitCode::kPlatformUnavailable;
    }
    entries = std::move(members.value());
  }
  if (entries.empty()) console.err << "no entry process has registered yet\n";
  return report(line, entries, console);
}

ExitCode Execute(const CommandLine& line, const Console& console) {
  switch (line.command) {
    case Command::kHelp:
      console.out << HelpText();
      return ExitCode::kOk;
    case Command::kVersion:
      console.out << "mustardctl " MUSTARDPROXY_VERSION "\n";
      return ExitCode::kOk;
    case Command::kStatus:
      return ReportOnEntries(line, console, ShowStatus);
    case Command::kJobSubmit:
    case Command::kJobState:
    case Command::kJobCancel:
    case Command::kJobPending:
      return CallJobs(line, console);
    case Command::kTimeline:
      return ReportOnEntries(line, console, ShowTimeline);
    case Command::kProfileList:
      return ListProfiles(line, MakePlatformStore(line.platform).get(),
                          console);
    case Command::kProfileShow:
      return ShowProfile(line, MakePlatformStore(line.platform).get(), console);
    case Command::kProfileApply:
      return Apply(line, MakePlatformStore(line.platform).get(), console);
    case Command::kProfileHistory:
      return ShowHistory(line, MakePlatformStore(line.platform).get(), console);
  }
  return ExitCode::kUsage;
}

}  // namespace

ExitCode Run(std::span<const std::string> arguments, const Console& console) {
  const auto parsed = ParseCommandLine(arguments);
  if (const auto* error = std::get_if<UsageError>(&parsed)) {
    console.err << "mustardctl: " << error->message
                << "\nmustardctl --help lists the commands\n";
    return ExitCode::kUsage;
  }
  return Execute(std::get<CommandLine>(parsed), console);
}

}  // namespace mustardproxy::ctl
