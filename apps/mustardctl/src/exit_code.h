#ifndef MUSTARDPROXY_MUSTARDCTL_EXIT_CODE_H_
#define MUSTARDPROXY_MUSTARDCTL_EXIT_CODE_H_

#include <array>
#include <string_view>

namespace mustardproxy::ctl {

/// How the program ended. The numbers are stable; docs/OPERATIONS.md lists
/// them.
enum class ExitCode {
  kOk = 0,
  /// Unknown option, missing argument, or a name that does not exist.
  kUsage = 1,
  /// The file, or the document on the platform, has problems.
  kInvalidDocument = 2,
  /// Another operator was faster; nothing was written.
  kConflict = 3,
  /// Written, but not known to be in force in every data centre.
  kNotInForce = 4,
  /// The platform's key-value service did not answer.
  kPlatformUnavailable = 5,
  /// Some entry processes could not be reached; the output lacks theirs.
  kEntryUnreachable = 6,
  /// It can't be told whether a job was stored; the same id may be tried again.
  kUnknownOutcome = 7,
};

/// An exit code and what it tells the operator.
struct ExitCodeMeaning {
  ExitCode code;
  std::string_view meaning;
};

/// All exit codes, as `--help` and docs/OPERATIONS.md show them.
inline constexpr std::array kExitCodes = {
    ExitCodeMeaning{ExitCode::kOk, "done"},
    ExitCodeMeaning{ExitCode::kUsage, "wrong usage, or no such profile"},
    ExitCodeMeaning{ExitCode::kInvalidDocument,
                    "the file or the stored document has problems"},
    ExitCodeMeaning{ExitCode::kConflict,
                    "another operator was faster; nothing was written"},
    ExitCodeMeaning{ExitCode::kNotInForce,
                    "written, but not known to be in force everywhere"},
    ExitCodeMeaning{ExitCode::kPlatformUnavailable,
                    "the platform does not answer"},
    ExitCodeMeaning{ExitCode::kEntryUnreachable,
                    "some entry processes were not reached"},
    ExitCodeMeaning{ExitCode::kUnknownOutcome,
                    "not known whether the job was stored"},
};

}  // namespace mustardproxy::ctl

#endif  // MUSTARDPROXY_MUSTARDCTL_EXIT_CODE_H_
