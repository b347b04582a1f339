#include "profiles.h"

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "configuration_store.h"
#include "mustardproxy/settings/load.h"
#include "table.h"

namespace mustardproxy::ctl {
namespace {

/// The document in force, or why there is none.
struct Read {
  std::optional<Configuration> configuration;
  ExitCode exit = ExitCode::kOk;
};

Read ReadCurrent(KeyValueStore* store, const Console& console) {
  const Result<StoredConfiguration> current =
      ConfigurationStore(store).Current();
  if (!current) {
    PrintUnavailable(console, current.error());
    return {std::nullopt, ExitCode::kPlatformUnavailable};
  }
  const StoredConfiguration& stored = current.value();
  if (!stored.problems.empty()) {
    PrintProblems(console, "the document on the platform", stored.problems);
    return {std::nullopt, ExitCode::kInvalidDocument};
  }
  if (!stored.configuration) console.err << "no configuration applied yet\n";
  return {stored.configuration, ExitCode::kOk};
}

std::string Milliseconds(Duration duration) {
  return std::to_string(WholeMilliseconds(duration));
}

std::string_view Word(Packing packing) {
  switch (packing) {
    case Packing::kBestFit:
      return "best-fit";
    case Packing::kFirstFit:
      return "first-fit";
    case Packing::kSpread:
      return "spread";
  }
  return "";
}

std::string ServicesOf(const Configuration& configuration,
                       const ProfileId& profile) {
  std::string names;
  for (const auto& [id, service] : configuration.services) {
    if (service.profile != profile) continue;
    if (!names.empty()) names += ',';
    names += id.Text();
  }
  return names.empty() ? "-" : names;
}

/// The versions to show, oldest first, each with its document if that could be
/// read.
struct PastVersion {
  ConfigurationVersion version = 0;
  std::optional<Configuration> configuration;
};

Result<std::vector<PastVersion>> ReadPast(ConfigurationStore* store,
                                          std::size_t last) {
  const Result<std::vector<ConfigurationVersion>> versions =
      store->PastVersions();
  if (!versions) return versions.error();
  const auto& all = versions.value();
  const std::size_t first = all.size() - std::min(all.size(), last);
  std::vector<PastVersion> past;
  for (std::size_t i = first; i < all.size(); ++i) {
    const Result<std::optional<Configuration>> read = store->Past(all[i]);
    past.push_back({all[i], read ? read.value() : std::nullopt});
  }
  return past;
}

/// Adds the document in force unless its copy is in the history already; the
/// program that wrote it may have died before it made the copy.
void AddCurrent(const Configuration& current, std::size_t last,
                std::vector<PastVersion>* past) {
  if (!past->empty() && past->back().version >= current.version) return;
  if (past->size() == last) past->erase(past->begin());
  past->push_back({current.version, current});
}

void PrintHistory(const std::vector<PastVersion>& past,
                  ConfigurationVersion in_force, std::ostream& out) {
  const Configuration* before = nullptr;
  for (const PastVersion& entry : past) {
    out << "version " << entry.version
        << (entry.version == in_force ? " (in force)\n" : "\n");
    if (!entry.configuration) {
      out << "  can not be read\n";
      before = nullptr;
      continue;
    }
    if (before != nullptr) {
      for (const std::string& difference :
           DescribeDifference(*before, *entry.configuration)) {
        out << "  " << difference << '\n';
      }
    }
    before = &*entry.configuration;
  }
}

void PrintHistoryJson(const std::vector<PastVersion>& past, std::ostream& out) {
  out << '[';
  const char* separator = "\n";
  for (const PastVersion& entry : past) {
    if (!entry.configuration) continue;
    out << separator << FormatConfiguration(*entry.configuration);
    separator = ",\n";
  }
  out << "]\n";
}

}  // namespace

ExitCode ListProfiles(const CommandLine& line, KeyValueStore* store,
                      const Console& console) {
  const Read read = ReadCurrent(store, console);
  if (!read.configuration) return read.exit;
  const Configuration& configuration = *read.configuration;
  if (line.json) {
    console.out << FormatConfiguration(configuration);
    return ExitCode::kOk;
  }
  Table table = {{"PROFILE", "PRIORITY", "DEFERRED", "GANG", "PREEMPTIBLE",
                  "MAX_WAIT_MS", "MAX_RUN_MS", "PACKING", "SERVICES"}};
  const auto word = [](bool flag) { return flag ? "yes" : "no"; };
  for (const auto& [id, profile] : configuration.profiles) {
    table.push_back(
        {id.Text(), std::to_string(profile.priority), word(profile.deferred),
         word(profile.gang), word(profile.preemptible),
         Milliseconds(profile.max_wait), Milliseconds(profile.max_run),
         std::string(Word(profile.packing)), ServicesOf(configuration, id)});
  }
  PrintTable(table, console.out);
  console.out << "version " << configuration.version << '\n';
  return ExitCode::kOk;
}

ExitCode ShowProfile(const CommandLine& line, KeyValueStore* store,
                     const Console& console) {
  const Read read = ReadCurrent(store, console);
  if (!read.configuration) return read.exit;
  if (line.profile.Empty()) {
    console.out << FormatConfiguration(*read.configuration);
    return ExitCode::kOk;
  }
  const auto& profiles = read.configuration->profiles;
  const auto profile = profiles.find(line.profile);
  if (profile == profiles.end()) {
    console.err << "no profile \"" << line.profile << "\" in version "
                << read.configuration->version << '\n';
    return ExitCode::kUsage;
  }
  console.out << FormatProfile(profile->second);
  return ExitCode::kOk;
}

ExitCode ShowHistory(const CommandLine& line, KeyValueStore* store,
                     const Console& console) {
  ConfigurationStore configurations(store);
  const Read read = ReadCurrent(store, console);
  if (read.exit == ExitCode::kPlatformUnavailable) return read.exit;
  Result<std::vector<PastVersion>> past = ReadPast(&configurations, line.last);
  if (!past) {
    PrintUnavailable(console, past.error());
    return ExitCode::kPlatformUnavailable;
  }
  ConfigurationVersion in_force = 0;
  if (read.configuration) {
    in_force = read.configuration->version;
    AddCurrent(*read.configuration, line.last, &past.value());
  }
  if (line.json) {
    PrintHistoryJson(past.value(), console.out);
  } else {
    PrintHistory(past.value(), in_force, console.out);
  }
  return ExitCode::kOk;
}

}  // namespace mustardproxy::ctl
