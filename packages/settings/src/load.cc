#include "mustardproxy/settings/load.h"

#include <fstream>
#include <optional>
#include <string>
#include <utility>

#include "cell_schema.h"
#include "configuration_schema.h"
#include "json_tree.h"
#include "mustardproxy/core/error.h"
#include "settings_schema.h"

namespace mustardproxy {
namespace {

constexpr std::size_t kMostProblems = 200;
constexpr settings_detail::JsonLimits kSettingsLimits{
    .max_bytes = 4'194'304, .max_depth = 16, .max_values = 200'000};
/// The document has to fit into one value of the platform.
constexpr settings_detail::JsonLimits kConfigurationLimits{
    .max_bytes = 1'048'576, .max_depth = 16, .max_values = 200'000};

/// A bad file may hold a hundred thousand problems; nobody reads so many.
void Shorten(Problems* problems) {
  if (problems->size() <= kMostProblems) return;
  const std::size_t more = problems->size() - kMostProblems;
  problems->resize(kMostProblems);
  problems->push_back({"", Error::kOutOfRange,
                       "and " + std::to_string(more) + " more problems"});
}

template <typename T>
std::variant<T, Problems> Parse(std::string_view text,
                                const settings_detail::JsonLimits& limits,
                                const settings_detail::Schema<T>& schema,
                                void (*check)(const T&, Problems*)) {
  settings_detail::ParsedJson parsed = settings_detail::ParseJson(text, limits);
  Problems problems = std::move(parsed.problems);
  const bool unreadable =
      parsed.root.kind == settings_detail::JsonNode::Kind::kNull;
  if (unreadable && !problems.empty()) return problems;
  T value = schema.Defaults();
  schema.Read(parsed.root, "", &value, &problems);
  check(value, &problems);
  if (problems.empty()) return value;
  Shorten(&problems);
  return problems;
}

/// @return the file's bytes, at most one more than the limit
std::optional<std::string> ReadFile(const std::string& path,
                                    std::size_t limit) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return std::nullopt;
  std::string text(limit + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (file.bad() || (file.gcount() == 0 && !file.eof())) return std::nullopt;
  text.resize(static_cast<std::size_t>(file.gcount()));
  return text;
}

}  // namespace

std::variant<Settings, Problems> LoadSettings(const std::string& path) {
  const std::optional<std::string> text =
      ReadFile(path, kSettingsLimits.max_bytes);
  if (!text) return Problems{{"", Error::kFileMissing, path}};
  return ParseSettings(*text);
}

std::variant<Settings, Problems> ParseSettings(std::string_view text) {
  return Parse(text, kSettingsLimits, settings_detail::SettingsSchema(),
               settings_detail::CheckSettings);
}

std::variant<CellSettings, Problems> LoadCellSettings(const std::string& path) {
  const std::optional<std::string> text =
      ReadFile(path, kSettingsLimits.max_bytes);
  if (!text) return Problems{{"", Error::kFileMissing, path}};
  return ParseCellSettings(*text);
}

std::variant<CellSettings, Problems> ParseCellSettings(std::string_view text) {
  // No two of its fields can contradict each other.
  return Parse(
      text, kSettingsLimits, settings_detail::CellSchema(),
      +[](const CellSettings&, Problems*) {});
}

std::variant<Configuration, Problems> ParseConfiguration(
    std::string_view text) {
  return Parse(text, kConfigurationLimits,
               settings_detail::ConfigurationSchema(),
               settings_detail::CheckConfiguration);
}

std::string FormatConfiguration(const Configuration& configuration) {
  return settings_detail::PrintJson(
      settings_detail::ConfigurationSchema().Write(configuration));
}

std::string FormatProfile(const Profile& profile) {
  return settings_detail::PrintJson(
      settings_detail::ProfileSchema().Write(profile));
}

std::string FormatProblem(const Problem& problem) {
  std::string line = problem.path.empty() ? "(file)" : problem.path;
  line += ": " + problem.reason.message();
  if (!problem.detail.empty()) line += " (" + problem.detail + ")";
  return line;
}

}  // namespace mustardproxy
