#include "command_line.h"

#include <array>
#include <cxxopts.hpp>
#include <string_view>
#include <utility>

#include "exit_code.h"
#include "http_url.h"

namespace mustardproxy::ctl {
namespace {

constexpr std::int64_t kLongestTimeout = 3600;
constexpr std::int64_t kLongestSince = 30LL * 24 * 3600;
constexpr std::int64_t kMostVersions = 10'000;

/// A command, the words that choose it and what it takes.
struct CommandForm {
  Command command;
  std::string_view group;
  std::string_view verb;
  std::size_t least_arguments;
  std::size_t most_arguments;
  /// Options that it knows beside the common ones, each between blanks.
  std::string_view options;
  /// Works without the platform once `--entry` is given.
  bool entries_suffice;
};

constexpr std::array kForms = {
    CommandForm{Command::kProfileList, "profile", "list", 0, 0, " json ",
                false},
    CommandForm{Command::kProfileShow, "profile", "show", 0, 1, " json ",
                false},
    CommandForm{Command::kProfileApply, "profile", "apply", 1, 1,
                " dry-run base timeout entry ", false},
    CommandForm{Command::kProfileHistory, "profile", "history", 0, 0,
                " json last ", false},
    CommandForm{Command::kStatus, "status", "", 0, 0, " json entry ", true},
    CommandForm{Command::kTimeline, "timeline", "", 0, 0,
                " json entry request worker since ", true},
    CommandForm{Command::kJobSubmit, "job", "submit", 3, 3, " entry ", true},
    CommandForm{Command::kJobState, "job", "state", 2, 2, " entry ", true},
    CommandForm{Command::kJobCancel, "job", "cancel", 2, 2, " entry ", true},
    CommandForm{Command::kJobPending, "job", "pending", 1, 1, " entry ", true},
};

/// Ends where the exit codes begin.
constexpr std::string_view kHelp =
    R"(mustardctl changes profiles and shows what mustardproxy does.

Usage:
  mustardctl --platform URL profile list [--json]
  mustardctl --platform URL profile show [NAME] [--json]
  mustardctl --platform URL profile apply FILE [--dry-run] [--base VERSION]
             [--timeout SECONDS] [--entry URL]...
  mustardctl --platform URL profile history [--last N] [--json]
  mustardctl (--platform URL | --entry URL...) status [--json]
  mustardctl (--platform URL | --entry URL...) timeline [--request ID]
             [--worker ID] [--since SECONDS] [--json]
  mustardctl --entry URL job submit QUEUE ID FILE
  mustardctl --entry URL job state QUEUE ID
  mustardctl --entry URL job cancel QUEUE ID
  mustardctl --entry URL job pending QUEUE
  mustardctl --version | --help

Options:
  --platform URL     key-value service of the platform, http://ip:port
  --entry URL        operator address of an entry process, http://ip:port; may
                     be repeated. status and timeline then ask only these and
                     need no platform; apply waits for these too. job asks the
                     first one, any process of the cell.
  --json             print JSON
  --dry-run          show the difference and stop
  --base VERSION     refuse unless this version is in force
  --timeout SECONDS  wait that long until the version is in force everywhere (9)
  --last N           number of past versions to show (20)
  --request ID       only events of this request
  --worker ID        only events of this worker
  --since SECONDS    only events of this long before the newest one

Exit codes:
)";

cxxopts::Options MakeOptions() {
  cxxopts::Options options("mustardctl",
                           "Changes profiles and shows what mustardproxy does");
  options.positional_help("COMMAND");
  options.custom_help("[OPTION...]");
  auto add = options.add_options();
  add("platform", "platform's key-value service, http://ip:port",
      cxxopts::value<std::string>(), "URL");
  add("entry", "operator address of an entry process; may be repeated",
      cxxopts::value<std::vector<std::string>>(), "URL");
  add("json", "print JSON");
  add("dry-run", "apply: show the difference and stop");
  add("base", "apply: refuse unless this version is in force",
      cxxopts::value<std::int64_t>(), "VERSION");
  add("timeout", "apply: seconds to wait until it is in force (9)",
      cxxopts::value<std::int64_t>(), "SECONDS");
  add("last", "history: number of versions (20)",
      cxxopts::value<std::int64_t>(), "N");
  add("request", "timeline: only events of this request",
      cxxopts::value<std::string>(), "ID");
  add("worker", "timeline: only events of this worker",
      cxxopts::value<std::string>(), "ID");
  add("since", "timeline: only this long before the newest event",
      cxxopts::value<std::int64_t>(), "SECONDS");
  add("version", "print the version");
  add("help", "print this help");
  add("words", "", cxxopts::value<std::vector<std::string>>());
  options.parse_positional("words");
  return options;
}

/// Checks what cxxopts has read and fills a `CommandLine`.
class Reader {
 public:
  explicit Reader(const cxxopts::ParseResult& parsed) : parsed(parsed) {}

  std::variant<CommandLine, UsageError> Read();

 private:
  bool ChooseForm();
  bool CheckOptions();
  bool ReadUrls();
  bool ReadNumbers();
  void ReadTexts();
  bool ReadInteger(const char* name, std::int64_t lowest, std::int64_t highest,
                   std::optional<std::int64_t>* value);
  bool Fail(std::string message) {
    this->error.message = std::move(message);
    return false;
  }

  const cxxopts::ParseResult& parsed;
  std::vector<std::string> words;
  const CommandForm* form = nullptr;
  CommandLine line;
  UsageError error;
};

std::variant<CommandLine, UsageError> Reader::Read() {
  if (this->parsed.count("help") != 0) return this->line;
  if (this->parsed.count("version") != 0) {
    this->line.command = Command::kVersion;
    return this->line;
  }
  if (this->parsed.count("words") != 0) {
    this->words = this->parsed["words"].as<std::vector<std::string>>();
  }
  if (!this->ChooseForm() || !this->CheckOptions() || !this->ReadUrls() ||
      !this->ReadNumbers()) {
    return this->error;
  }
  this->ReadTexts();
  return this->line;
}

bool Reader::ChooseForm() {
  if (this->words.empty()) return this->Fail("a command is missing");
  for (const CommandForm& candidate : kForms) {
    if (candidate.group != this->words.front()) continue;
    const bool has_verb = !candidate.verb.empty();
    if (has_verb &&
        (this->words.size() < 2 || candidate.verb != this->words[1])) {
      continue;
    }
    const std::size_t arguments = this->words.size() - (has_verb ? 2 : 1);
    this->words.erase(
        this->words.begin(),
        this->words.end() - static_cast<std::ptrdiff_t>(arguments));
    this->form = &candidate;
    this->line.command = candidate.command;
    if (arguments < candidate.least_arguments) {
      return this->Fail("the command needs an argument");
    }
    if (arguments > candidate.most_arguments) {
      return this->Fail("too many arguments");
    }
    return true;
  }
  std::string typed;
  for (const std::string& word : this->words) typed += " " + word;
  return this->Fail("unknown command:" + typed);
}

bool Reader::CheckOptions() {
  for (const auto& option : this->parsed.arguments()) {
    const std::string blanked = " " + option.key() + " ";
    const bool common = option.key() == "platform" || option.key() == "words";
    if (common || this->form->options.find(blanked) != std::string_view::npos) {
      continue;
    }
    return this->Fail("this command takes no --" + option.key());
  }
  return true;
}

bool Reader::ReadUrls() {
  if (this->parsed.count("platform") != 0) {
    this->line.platform = this->parsed["platform"].as<std::string>();
    if (!AddressOfUrl(this->line.platform)) {
      return this->Fail("--platform must be http://ip:port");
    }
  }
  if (this->parsed.count("entry") != 0) {
    for (const auto& url :
         this->parsed["entry"].as<std::vector<std::string>>()) {
      const std::optional<std::string> address = AddressOfUrl(url);
      if (!address) return this->Fail("--entry must be http://ip:port");
      this->line.entries.push_back(*address);
    }
  }
  if (this->form->group == "job" && this->line.entries.empty()) {
    return this->Fail("--entry is missing");
  }
  const bool suffices =
      this->form->entries_suffice && !this->line.entries.empty();
  if (this->line.platform.empty() && !suffices) {
    return this->Fail(this->form->entries_suffice
                          ? "--platform or --entry is missing"
                          : "--platform is missing");
  }
  return true;
}

bool Reader::ReadInteger(const char* name, std::int64_t lowest,
                         std::int64_t highest,
                         std::optional<std::int64_t>* value) {
  if (this->parsed.count(name) == 0) return true;
  *value = this->parsed[name].as<std::int64_t>();
  if (**value >= lowest && **value <= highest) return true;
  return this->Fail(std::string("--") + name + " must be " +
                    std::to_string(lowest) + " to " + std::to_string(highest));
}

bool Reader::ReadNumbers() {
  std::optional<std::int64_t> base;
  std::optional<std::int64_t> timeout;
  std::optional<std::int64_t> last;
  std::optional<std::int64_t> since;
  if (!this->ReadInteger("base", 0, INT64_MAX, &base) ||
      !this->ReadInteger("timeout", 0, kLongestTimeout, &timeout) ||
      !this->ReadInteger("last", 1, kMostVersions, &last) ||
      !this->ReadInteger("since", 0, kLongestSince, &since)) {
    return false;
  }
  if (base) this->line.base = static_cast<ConfigurationVersion>(*base);
  if (timeout) this->line.timeout = std::chrono::seconds(*timeout);
  if (last) this->line.last = static_cast<std::size_t>(*last);
  if (since) this->line.since = std::chrono::seconds(*since);
  return true;
}

void Reader::ReadTexts() {
  this->line.json = this->parsed.count("json") != 0;
  this->line.dry_run = this->parsed.count("dry-run") != 0;
  if (this->parsed.count("request") != 0) {
    this->line.request = RequestId(this->parsed["request"].as<std::string>());
  }
  if (this->parsed.count("worker") != 0) {
    this->line.worker = WorkerId(this->parsed["worker"].as<std::string>());
  }
  if (this->words.empty()) return;
  if (this->form->group == "job") {
    this->line.queue = this->words[0];
    if (this->words.size() > 1) this->line.job = this->words[1];
    if (this->words.size() > 2) this->line.file = this->words[2];
    return;
  }
  if (this->line.command == Command::kProfileApply) {
    this->line.file = this->words.front();
  } else {
    this->line.profile = ProfileId(this->words.front());
  }
}

}  // namespace

std::variant<CommandLine, UsageError> ParseCommandLine(
    std::span<const std::string> arguments) {
  std::vector<const char*> raw = {"mustardctl"};
  for (const std::string& argument : arguments) raw.push_back(argument.c_str());
  cxxopts::Options options = MakeOptions();
  try {
    const auto parsed = options.parse(static_cast<int>(raw.size()), raw.data());
    return Reader(parsed).Read();
  } catch (const cxxopts::exceptions::exception& error) {
    return UsageError{error.what()};
  }
}

std::string HelpText() {
  std::string text(kHelp);
  for (const ExitCodeMeaning& row : kExitCodes) {
    text += "  " + std::to_string(static_cast<int>(row.code)) + "  ";
    text += row.meaning;
    text += '\n';
  }
  return text;
}

}  // namespace mustardproxy::ctl
