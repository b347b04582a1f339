#include "apply.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "configuration_store.h"
#include "entries.h"
#include "entry_status.h"
#include "mustardproxy/core/error.h"
#include "mustardproxy/settings/load.h"
#include "rollout.h"

namespace mustardproxy::ctl {
namespace {

constexpr Duration kStatusTimeout = std::chrono::seconds(1);
/// Above the limit of a document, so that the check names its size.
constexpr std::size_t kLargestFile = 1'100'000;

std::variant<Configuration, Problems> ReadDocument(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::string text(kLargestFile, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(file.gcount()));
  const bool unreadable = file.bad() || (text.empty() && !file.eof());
  if (unreadable) return Problems{{"", Error::kFileMissing, path}};
  return ParseConfiguration(text);
}

/// One run of `profile apply`, step by step.
class Application {
 public:
  Application(const CommandLine& line, KeyValueStore* store,
              const Console& console)
      : line(line), store(store), configurations(store), console(console) {}

  ExitCode Run();

 private:
  ExitCode Compare(Configuration wanted);
  ExitCode Write(Configuration wanted);
  ExitCode ReportConflict();
  ExitCode WaitForAll(ConfigurationVersion version, bool written);
  ExitCode ReportLaggards(const Rollout& rollout, ConfigurationVersion version);
  bool BaseMatches() const;
  Result<ConfigurationVersion> NextVersion();
  Result<std::vector<Entry>> Entries();
  void PrintDifference(const Configuration& before,
                       const Configuration& after) const;

  const CommandLine& line;
  KeyValueStore* store;
  ConfigurationStore configurations;
  const Console& console;
  StoredConfiguration base;
};

ExitCode Application::Run() {
  auto parsed = ReadDocument(this->line.file);
  if (const auto* problems = std::get_if<Problems>(&parsed)) {
    PrintProblems(this->console, this->line.file, *problems);
    return ExitCode::kInvalidDocument;
  }
  Result<StoredConfiguration> current = this->configurations.Current();
  if (!current) {
    PrintUnavailable(this->console, current.error());
    return ExitCode::kPlatformUnavailable;
  }
  this->base = std::move(current.value());
  // A newer release may know fields that this one would drop without a word.
  if (!this->base.problems.empty()) {
    PrintProblems(this->console,
                  "the document on the platform can not be understood, and "
                  "is left as it is",
                  this->base.problems);
    return ExitCode::kInvalidDocument;
  }
  if (!this->BaseMatches()) return this->ReportConflict();
  return this->Compare(std::get<Configuration>(std::move(parsed)));
}

bool Application::BaseMatches() const {
  if (!this->line.base) return true;
  const auto& configuration = this->base.configuration;
  const ConfigurationVersion version =
      configuration ? configuration->version : 0;
  return *this->line.base == version;
}

ExitCode Application::Compare(Configuration wanted) {
  const std::optional<Configuration>& current = this->base.configuration;
  const bool same = current && DescribeDifference(*current, wanted).empty();
  if (!same) {
    this->PrintDifference(current.value_or(Configuration()), wanted);
  }
  if (this->line.dry_run) {
    this->console.out << (same ? "no difference\n" : "dry run: not written\n");
    return ExitCode::kOk;
  }
  if (same) return this->WaitForAll(current->version, false);
  return this->Write(std::move(wanted));
}

void Application::PrintDifference(const Configuration& before,
                                  const Configuration& after) const {
  for (const std::string& difference : DescribeDifference(before, after)) {
    this->console.out << difference << '\n';
  }
}

Result<std::vector<Entry>> Application::Entries() {
  Result<std::vector<Entry>> entries = ReadMembers(this->store);
  if (!entries) return entries;
  AddAddresses(this->line.entries, &entries.value());
  return entries;
}

// A process never applies a version that is not above its own. If the document
// was deleted, counting from 1 again would make every new version look old, so
// the count goes on from the highest that the history or a process knows.
Result<ConfigurationVersion> Application::NextVersion() {
  if (this->base.configuration) return this->base.configuration->version + 1;
  const auto past = this->configurations.PastVersions();
  if (!past) return past.error();
  const auto entries = this->Entries();
  if (!entries) return entries.error();
  ConfigurationVersion highest = past.value().empty() ? 0 : past.value().back();
  for (const auto& answer : FetchStatuses(entries.value(), kStatusTimeout)) {
    if (!answer.value) continue;
    highest = std::max(highest, answer.value->status.configuration_version);
  }
  return highest + 1;
}

ExitCode Application::Write(Configuration wanted) {
  const Result<ConfigurationVersion> version = this->NextVersion();
  if (!version) {
    PrintUnavailable(this->console, version.error());
    return ExitCode::kPlatformUnavailable;
  }
  wanted.version = version.value();
  switch (
      this->configurations.Replace(this->base, wanted, this->line.timeout)) {
    case WriteEnd::kWritten:
      return this->WaitForAll(wanted.version, true);
    case WriteEnd::kConflict:
      return this->ReportConflict();
    case WriteEnd::kNotWritten:
      this->console.err << "platform: does not answer; nothing was written\n";
      return ExitCode::kPlatformUnavailable;
    case WriteEnd::kUncertain:
      break;
  }
  this->console.err << "platform: does not answer; it is not known whether "
                       "version "
                    << wanted.version
                    << " was written. Apply the file again to find out.\n";
  return ExitCode::kPlatformUnavailable;
}

ExitCode Application::ReportConflict() {
  const Result<StoredConfiguration> newer = this->configurations.Current();
  this->console.err << "conflict: nothing was written";
  if (!newer || !newer.value().configuration) {
    this->console.err << "; the version in force can not be read\n";
    return ExitCode::kConflict;
  }
  const Configuration& current = *newer.value().configuration;
  this->console.err << "; version " << current.version << " is in force";
  const Configuration before =
      this->base.configuration.value_or(Configuration());
  if (current.version == before.version) {
    this->console.err << '\n';
    return ExitCode::kConflict;
  }
  this->console.err << ". Changed since version " << before.version << ":\n";
  for (const std::string& difference : DescribeDifference(before, current)) {
    this->console.err << "  " << difference << '\n';
  }
  return ExitCode::kConflict;
}

// The entries are listed after the write: a process that registers later reads
// the new version at its start, so none can be missed.
ExitCode Application::WaitForAll(ConfigurationVersion version, bool written) {
  const Result<std::vector<Entry>> entries = this->Entries();
  if (!entries) {
    PrintUnavailable(this->console, entries.error());
    this->console.err << "version " << version
                      << " is written; it is not known where it is in force\n";
    return ExitCode::kNotInForce;
  }
  const Rollout rollout =
      WaitUntilInForce(entries.value(), version, this->line.timeout);
  if (!rollout.laggards.empty()) return this->ReportLaggards(rollout, version);
  this->console.out << "version " << version;
  if (entries.value().empty()) {
    this->console.out << (written ? " written: " : " is the newest: ")
                      << "no entry process has registered yet\n";
    return ExitCode::kOk;
  }
  this->console.out << (written ? " accepted: " : " already in force: ");
  this->console.out << "in force in every data centre ("
                    << CountByDataCenter(rollout.in_force) << ")\n";
  if (rollout.highest > version) {
    this->console.out << "note: version " << rollout.highest
                      << " has replaced it since\n";
  }
  return ExitCode::kOk;
}

ExitCode Application::ReportLaggards(const Rollout& rollout,
                                     ConfigurationVersion version) {
  this->console.err << "version " << version
                    << " is written, but not known to be in force everywhere\n";
  if (!rollout.in_force.empty()) {
    this->console.err << "  in force: " << CountByDataCenter(rollout.in_force)
                      << '\n';
  }
  for (const Laggard& laggard : rollout.laggards) {
    this->console.err << (laggard.reached ? "  lags: " : "  not reached: ")
                      << Describe(laggard.entry) << ": ";
    if (laggard.reached) {
      this->console.err << "version " << laggard.version << '\n';
    } else {
      this->console.err << laggard.reason << '\n';
    }
  }
  return ExitCode::kNotInForce;
}

}  // namespace

ExitCode Apply(const CommandLine& line, KeyValueStore* store,
               const Console& console) {
  return Application(line, store, console).Run();
}

}  // namespace mustardproxy::ctl
