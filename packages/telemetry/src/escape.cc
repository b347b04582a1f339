#include "escape.h"

#include <cstddef>

namespace mustardproxy::telemetry_detail {
namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";
constexpr unsigned char kDelete = 0x7f;

unsigned char ByteAt(std::string_view text, std::size_t at) {
  return at < text.size() ? static_cast<unsigned char>(text[at]) : 0;
}

/// @return bytes of the control or separator that starts at `at`, 0 if none
std::size_t ControlLength(std::string_view text, std::size_t at) {
  const unsigned char first = ByteAt(text, at);
  if (first < 0x20 || first == kDelete) return 1;
  const unsigned char second = ByteAt(text, at + 1);
  if (first == 0xc2 && second >= 0x80 && second <= 0x9f) return 2;
  if (first != 0xe2 || second != 0x80) return 0;
  const unsigned char third = ByteAt(text, at + 2);
  return third == 0xa8 || third == 0xa9 ? 3 : 0;
}

void AppendEscaped(unsigned char byte, std::string* out) {
  switch (byte) {
    case '\n':
      *out += "\\n";
      return;
    case '\r':
      *out += "\\r";
      return;
    case '\t':
      *out += "\\t";
      return;
    default:
      *out += "\\x";
      *out += kHexDigits[byte >> 4U];
      *out += kHexDigits[byte & 0xfU];
  }
}

}  // namespace

std::string EscapeControls(std::string_view text) {
  std::string out;
  out.reserve(text.size());
  std::size_t at = 0;
  while (at < text.size()) {
    const std::size_t length = ControlLength(text, at);
    if (length == 0) {
      if (text[at] == '\\') out += '\\';
      out += text[at++];
      continue;
    }
    for (const std::size_t end = at + length; at < end; ++at) {
      AppendEscaped(ByteAt(text, at), &out);
    }
  }
  return out;
}

}  // namespace mustardproxy::telemetry_detail
