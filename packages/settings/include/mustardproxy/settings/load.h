#ifndef MUSTARDPROXY_SETTINGS_LOAD_H_
#define MUSTARDPROXY_SETTINGS_LOAD_H_

#include <string>
#include <string_view>
#include <system_error>
#include <variant>
#include <vector>

#include "mustardproxy/core/configuration.h"
#include "mustardproxy/settings/cell_settings.h"
#include "mustardproxy/settings/settings.h"

namespace mustardproxy {

/// One thing wrong with a file.
struct Problem {
  /// Where it stands, for example `peers[2].address`; empty for the whole file.
  std::string path;
  std::error_code reason;
  /// One line: what was found and what is allowed.
  std::string detail;
};

/// All problems at once; never empty.
using Problems = std::vector<Problem>;

/// Reads and checks a settings file whole.
/// @return the settings, or every problem found
[[nodiscard]] std::variant<Settings, Problems> LoadSettings(
    const std::string& path);
/// The same for text that is already read.
[[nodiscard]] std::variant<Settings, Problems> ParseSettings(
    std::string_view text);

/// The same for the settings of `mustardproxy cell`.
[[nodiscard]] std::variant<CellSettings, Problems> LoadCellSettings(
    const std::string& path);
[[nodiscard]] std::variant<CellSettings, Problems> ParseCellSettings(
    std::string_view text);

/// Checks a configuration document (JSON with comments: `version`, `profiles`,
/// `services`, `teams`, `default_team`) as strictly as the settings.
[[nodiscard]] std::variant<Configuration, Problems> ParseConfiguration(
    std::string_view text);
/// @return the document as JSON, in a fixed order of fields
[[nodiscard]] std::string FormatConfiguration(
    const Configuration& configuration);
/// @return one profile as JSON, as it stands in a document
[[nodiscard]] std::string FormatProfile(const Profile& profile);
/// @return one line per difference, empty if there is none (the version is not
///   compared)
[[nodiscard]] std::vector<std::string> DescribeDifference(
    const Configuration& before, const Configuration& after);

/// @return `path: reason (detail)`
[[nodiscard]] std::string FormatProblem(const Problem& problem);

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_SETTINGS_LOAD_H_
