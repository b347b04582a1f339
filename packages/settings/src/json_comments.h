#ifndef MUSTARDPROXY_SETTINGS_JSON_COMMENTS_H_
#define MUSTARDPROXY_SETTINGS_JSON_COMMENTS_H_

#include <optional>
#include <string>
#include <string_view>

namespace mustardproxy::settings_detail {

/// Replaces comments by blanks and keeps line breaks, so that a parser's line
/// numbers stay right. POCO's own comment filter is not used: it knows block
/// comments only, finds them inside strings too, and takes quadratic time.
/// @return nothing if a block comment has no end; linear in the text's size
[[nodiscard]] std::optional<std::string> BlankComments(std::string_view text);

}  // namespace mustardproxy::settings_detail

#endif  // MUSTARDPROXY_SETTINGS_JSON_COMMENTS_H_
