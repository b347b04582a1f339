#include "header_check.h"

#include <Poco/Ascii.h>
#include <Poco/String.h>

#include <algorithm>
#include <charconv>

#include "header_names.h"
#include "mustardproxy/core/request.h"
#include "mustardproxy/http/message.h"

namespace mustardproxy::gateway_detail {
namespace {

constexpr std::string_view kNameMarks = "-_.";
constexpr std::string_view kKeyMarks = "-_.:";

enum class Field { kAbsent, kValid, kInvalid };

/// Finds a header that may stand once and holds a name.
Field FindName(const Poco::Net::HTTPRequest& header, std::string_view name,
               std::size_t max_length, std::string_view marks,
               std::string* value) {
  std::size_t count = 0;
  for (const auto& field : header) {
    if (Poco::icompare(field.first, std::string(name)) != 0) continue;
    ++count;
    *value = field.second;
  }
  if (count == 0) return Field::kAbsent;
  bool valid = count == 1 && IsName(*value, max_length, marks);
  return valid ? Field::kValid : Field::kInvalid;
}

bool ParseTimeout(std::string_view text, Duration max, Duration* timeout) {
  std::int64_t value = 0;
  const char* end = text.data() + text.size();
  auto parsed = std::from_chars(text.data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end || value < 1) return false;
  if (value > WholeMilliseconds(max)) return false;
  *timeout = std::chrono::milliseconds(value);
  return true;
}

std::string Fault(std::string_view header, std::string_view allowed) {
  return std::string(header) + " must be given at most once, as " +
         std::string(allowed) + ".";
}

}  // namespace

bool IsName(std::string_view text, std::size_t max_length,
            std::string_view marks) {
  if (text.empty() || text.size() > max_length) return false;
  return std::all_of(text.begin(), text.end(), [marks](char c) {
    return Poco::Ascii::isAlphaNumeric(static_cast<unsigned char>(c)) ||
           marks.find(c) != std::string_view::npos;
  });
}

bool IsServiceName(std::string_view text) {
  return IsName(text, kMaxNameLength, kNameMarks);
}

bool IsRequestId(std::string_view text) {
  return IsName(text, kMaxRequestIdLength, kNameMarks);
}

std::string CheckHeaders(const Poco::Net::HTTPRequest& header,
                         Duration max_timeout, CallerHeaders* headers) {
  Field key =
      FindName(header, kKeyHeader, kMaxKeyLength, kKeyMarks, &headers->key);
  if (key == Field::kInvalid) {
    return Fault(kKeyHeader, "1 to 128 letters, digits and -_.:");
  }
  Field team =
      FindName(header, kTeamHeader, kMaxNameLength, kNameMarks, &headers->team);
  if (team == Field::kInvalid) {
    return Fault(kTeamHeader, "1 to 64 letters, digits and -_.");
  }
  std::string text;
  Field timeout = FindName(header, kTimeoutHeader, kMaxNameLength, "", &text);
  headers->timeout = std::min(Request{}.timeout, max_timeout);
  bool valid = timeout == Field::kValid &&
               ParseTimeout(text, max_timeout, &headers->timeout);
  if (timeout == Field::kAbsent || valid) return {};
  const std::int64_t most = WholeMilliseconds(max_timeout);
  return Fault(kTimeoutHeader,
               "a whole number from 1 to " + std::to_string(most));
}

}  // namespace mustardproxy::gateway_detail
