#include "text_rule.h"

#include <Poco/Net/IPAddress.h>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <utility>

namespace mustardproxy::settings_detail {
namespace {

constexpr std::size_t kLongestName = 64;
constexpr std::size_t kLongestPath = 4096;
constexpr std::size_t kLongestIp = 45;
constexpr std::size_t kLongestPort = 5;
constexpr std::string_view kScheme = "http://";

bool IsLetterOrDigit(char letter) {
  return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') ||
         (letter >= '0' && letter <= '9');
}

bool IsNameLetter(char letter) {
  return IsLetterOrDigit(letter) || letter == '-' || letter == '_' ||
         letter == '.';
}

bool IsIp(std::string_view text) {
  if (text.empty() || text.size() > kLongestIp) return false;
  // A scope id (`%eth0`) names an interface of one host only.
  if (text.find('%') != std::string_view::npos) return false;
  Poco::Net::IPAddress address;
  return Poco::Net::IPAddress::tryParse(std::string(text), address);
}

bool IsPort(std::string_view text) {
  if (text.empty() || text.size() > kLongestPort) return false;
  std::uint16_t port = 0;
  const auto end =
      std::from_chars(text.data(), text.data() + text.size(), port);
  const bool whole = end.ptr == text.data() + text.size();
  return end.ec == std::errc() && whole && port != 0;
}

bool IsAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return false;
  if (!IsPort(text.substr(colon + 1))) return false;
  std::string_view ip = text.substr(0, colon);
  const bool has_colon = ip.find(':') != std::string_view::npos;
  if (!has_colon) return IsIp(ip);
  if (ip.front() != '[' || ip.back() != ']') return false;
  return IsIp(ip.substr(1, ip.size() - 2));
}

}  // namespace

bool NameRule::Allows(std::string_view text) const {
  if (text.empty() || text.size() > kLongestName) return false;
  return IsLetterOrDigit(text.front()) &&
         std::all_of(text.begin(), text.end(), IsNameLetter);
}

std::string NameRule::Allowed() const {
  return "1 to 64 letters, digits, `-`, `_` or `.`, the first a letter or "
         "digit";
}

bool NameListRule::Allows(std::string_view text) const {
  if (text.empty()) return true;
  const NameRule name;
  while (true) {
    const std::size_t comma = text.find(',');
    if (!name.Allows(text.substr(0, comma))) return false;
    if (comma == std::string_view::npos) return true;
    text.remove_prefix(comma + 1);
  }
}

std::string NameListRule::Allowed() const {
  return "names separated by commas, or nothing";
}

bool HostRule::Allows(std::string_view text) const { return IsIp(text); }

std::string HostRule::Allowed() const { return "an IP number"; }

bool AddressRule::Allows(std::string_view text) const {
  return IsAddress(text);
}

std::string AddressRule::Allowed() const {
  return "`ip:port` or `[ip6]:port`, port 1 to 65535";
}

bool UrlRule::Allows(std::string_view text) const {
  return text.starts_with(kScheme) && IsAddress(text.substr(kScheme.size()));
}

std::string UrlRule::Allowed() const {
  return "`http://ip:port`, port 1 to 65535";
}

bool FilePathRule::Allows(std::string_view text) const {
  return text.size() <= kLongestPath &&
         std::none_of(text.begin(), text.end(), [](char letter) {
           return letter >= '\0' && letter < ' ';
         });
}

std::string FilePathRule::Allowed() const {
  return "up to 4096 bytes without control characters";
}

ChoiceRule::ChoiceRule(std::vector<std::string_view> choices)
    : choices(std::move(choices)) {}

bool ChoiceRule::Allows(std::string_view text) const {
  return std::find(this->choices.begin(), this->choices.end(), text) !=
         this->choices.end();
}

std::string ChoiceRule::Allowed() const {
  std::string words;
  for (const std::string_view choice : this->choices) {
    if (!words.empty()) words += ", ";
    words += '`';
    words += choice;
    words += '`';
  }
  return words;
}

}  // namespace mustardproxy::settings_detail
