#include "paths.h"

#include <algorithm>

namespace mustardproxy::settings_detail {
namespace {

constexpr std::size_t kLongestExcerpt = 100;

bool IsPlain(char letter) {
  return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') ||
         (letter >= '0' && letter <= '9') || letter == '-' || letter == '_';
}

bool IsPrintable(char letter) { return letter >= ' ' && letter <= '~'; }

}  // namespace

std::string OneLine(std::string_view text) {
  std::string line(text.substr(0, kLongestExcerpt));
  for (char& letter : line) {
    if (!IsPrintable(letter)) letter = '?';
  }
  if (text.size() > kLongestExcerpt) line += "...";
  return line;
}

std::string JoinName(std::string_view parent, std::string_view name) {
  std::string path(parent);
  if (name.empty() || !std::all_of(name.begin(), name.end(), IsPlain)) {
    return path + "[\"" + OneLine(name) + "\"]";
  }
  if (!path.empty()) path += '.';
  return path + OneLine(name);
}

std::string JoinIndex(std::string_view parent, std::size_t index) {
  return std::string(parent) + "[" + std::to_string(index) + "]";
}

}  // namespace mustardproxy::settings_detail
