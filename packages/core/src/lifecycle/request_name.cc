#include "lifecycle/request_name.h"

#include <charconv>

namespace mustardproxy::detail {
namespace {

constexpr int kHexadecimal = 16;
constexpr std::uint64_t kFnvOffset = 14695981039346656037ULL;
constexpr std::uint64_t kFnvPrime = 1099511628211ULL;

std::string ToHex(Incarnation incarnation) {
  char digits[2 * sizeof incarnation];
  const auto end =
      std::to_chars(digits, digits + sizeof digits, incarnation, kHexadecimal);
  return {digits, end.ptr};
}

std::optional<NamedProcess> Parse(std::string_view process,
                                  std::string_view hex) {
  Incarnation incarnation = 0;
  const auto end = std::from_chars(hex.data(), hex.data() + hex.size(),
                                   incarnation, kHexadecimal);
  if (end.ec != std::errc() || end.ptr != hex.data() + hex.size()) {
    return std::nullopt;
  }
  return NamedProcess{ProcessId(process), incarnation};
}

}  // namespace

std::optional<NamedProcess> CreatorOf(const RequestId& request) {
  const std::string_view text = request.Text();
  const std::size_t counter = text.rfind('.');
  if (counter == std::string_view::npos || counter == 0) {
    return std::nullopt;
  }
  const std::size_t hex = text.rfind('.', counter - 1);
  if (hex == std::string_view::npos) {
    return std::nullopt;
  }
  return Parse(text.substr(0, hex), text.substr(hex + 1, counter - hex - 1));
}

std::optional<NamedProcess> WriterOf(const JournalId& journal) {
  const std::string_view text = journal.Text();
  const std::size_t hex = text.rfind('.');
  if (hex == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view digits = text.substr(hex + 1);
  digits = digits.substr(0, digits.find('-'));
  return Parse(text.substr(0, hex), digits);
}

JournalId JournalName(const ProcessId& process, Incarnation incarnation,
                      std::int32_t number) {
  std::string name = process.Text();
  name.append(1, '.').append(ToHex(incarnation));
  if (number > 0) {
    name.append(1, '-').append(std::to_string(number));
  }
  return JournalId(std::move(name));
}

std::uint64_t BodyHash(std::string_view body) {
  std::uint64_t hash = kFnvOffset;
  for (const char byte : body) {
    hash = (hash ^ static_cast<unsigned char>(byte)) * kFnvPrime;
  }
  return hash;
}

}  // namespace mustardproxy::detail
