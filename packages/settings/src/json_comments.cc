#include "json_comments.h"

#include <algorithm>
#include <cstddef>

namespace mustardproxy::settings_detail {
namespace {

constexpr std::size_t kMarkSize = 2;

/// @return the place after the string that begins at `from`
std::size_t EndOfString(std::string_view text, std::size_t from) {
  for (std::size_t at = from + 1; at < text.size(); ++at) {
    if (text[at] == '\\') {
      ++at;
    } else if (text[at] == '"') {
      return at + 1;
    }
  }
  return text.size();
}

/// @return the place after the comment that begins at `from`, or npos
std::size_t EndOfComment(std::string_view text, std::size_t from) {
  if (text[from + 1] == '/') {
    return std::min(text.find('\n', from), text.size());
  }
  const std::size_t mark = text.find("*/", from + kMarkSize);
  if (mark == std::string_view::npos) return mark;
  return mark + kMarkSize;
}

bool BeginsComment(std::string_view text, std::size_t at) {
  const std::string_view mark = text.substr(at, kMarkSize);
  return mark == "//" || mark == "/*";
}

void Blank(std::string* text, std::size_t from, std::size_t end) {
  for (std::size_t at = from; at < end; ++at) {
    char& letter = (*text)[at];
    if (letter != '\n') letter = ' ';
  }
}

}  // namespace

std::optional<std::string> BlankComments(std::string_view text) {
  std::string blanked(text);
  std::size_t at = 0;
  while (at < text.size()) {
    if (text[at] == '"') {
      at = EndOfString(text, at);
    } else if (BeginsComment(text, at)) {
      const std::size_t end = EndOfComment(text, at);
      if (end == std::string_view::npos) return std::nullopt;
      Blank(&blanked, at, end);
      at = end;
    } else {
      ++at;
    }
  }
  return blanked;
}

}  // namespace mustardproxy::settings_detail
