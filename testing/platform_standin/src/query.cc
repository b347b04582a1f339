#include "query.h"

#include <Poco/Exception.h>

#include <charconv>

namespace mustardproxy::standin {
namespace {

/// Above it, a sum of times would overflow.
constexpr std::uint64_t kMaxMilliseconds = 86'400'000;

std::uint64_t ToNumber(std::string_view text) {
  std::uint64_t number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) {
    throw Poco::DataFormatException("not a number");
  }
  return number;
}

std::chrono::milliseconds Bounded(std::uint64_t count,
                                  std::uint64_t unit_milliseconds) {
  if (count > kMaxMilliseconds / unit_milliseconds) {
    throw Poco::DataFormatException("longer than a day");
  }
  return std::chrono::milliseconds(count * unit_milliseconds);
}

}  // namespace

Query ParseQuery(const Poco::URI& uri) {
  Query query;
  for (const auto& [name, value] : uri.getQueryParameters()) {
    if (name == "recurse") {
      query.recurse = true;
    } else if (name == "keys") {
      query.keys = true;
    } else if (name == "index") {
      query.index = ToNumber(value);
    } else if (name == "cas") {
      query.cas = ToNumber(value);
    } else if (name == "acquire") {
      query.acquire = value;
    } else if (name == "wait") {
      query.wait = ParseDuration(value);
    }
  }
  return query;
}

std::chrono::milliseconds ParseDuration(std::string_view text) {
  constexpr std::uint64_t kSecond = 1000;
  if (text.ends_with("ms")) {
    return Bounded(ToNumber(text.substr(0, text.size() - 2)), 1);
  }
  if (text.ends_with("s")) {
    return Bounded(ToNumber(text.substr(0, text.size() - 1)), kSecond);
  }
  throw Poco::DataFormatException("not a time");
}

}  // namespace mustardproxy::standin
