#ifndef MUSTARDPROXY_TELEMETRY_ESCAPE_H_
#define MUSTARDPROXY_TELEMETRY_ESCAPE_H_

#include <string>
#include <string_view>

namespace mustardproxy::telemetry_detail {

/// Escapes what could end a line or steer a terminal: ASCII controls as `\xNN`
/// (`\n`, `\r` and `\t` by these names), the controls U+0080 to U+009F, and the
/// line and paragraph separators U+2028 and U+2029 byte by byte. A backslash
/// is doubled, so that an escape can't be forged either.
[[nodiscard]] std::string EscapeControls(std::string_view text);

}  // namespace mustardproxy::telemetry_detail

#endif  // MUSTARDPROXY_TELEMETRY_ESCAPE_H_
