#include "json.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>

#include <array>
#include <cstdio>

namespace mustardproxy::standin {
namespace {

void AppendEscaped(char letter, std::string* out) {
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr std::size_t kLength = 7;
  const auto code = static_cast<unsigned char>(letter);
  if (letter == '"' || letter == '\\') *out += '\\';
  if (code >= kFirstPrintable) {
    *out += letter;
    return;
  }
  std::array<char, kLength> text{};
  std::snprintf(text.data(), text.size(), "\\u%04x", unsigned{code});
  *out += text.data();
}

}  // namespace

void JsonWriter::Name(std::string_view name) {
  if (!this->first) *this->out += ',';
  this->first = false;
  *this->out += '"';
  *this->out += name;
  *this->out += "\":";
}

void JsonWriter::Text(std::string_view name, std::string_view value) {
  this->Name(name);
  *this->out += '"';
  for (const char letter : value) AppendEscaped(letter, this->out);
  *this->out += '"';
}

void JsonWriter::Number(std::string_view name, std::int64_t value) {
  this->Name(name);
  *this->out += std::to_string(value);
}

void JsonWriter::Number(std::string_view name, std::uint64_t value) {
  this->Name(name);
  *this->out += std::to_string(value);
}

void JsonWriter::Amount(std::string_view name, const Resources& value) {
  this->Name(name);
  JsonWriter inner(this->out);
  inner.Number("cpu_milli", value.cpu_milli);
  inner.Number("memory_mb", value.memory_mb);
  inner.Number("accelerators", value.accelerators);
  inner.Number("slots", value.slots);
  inner.Close();
}

std::string Hex(std::uint64_t value) {
  constexpr int kDigits = 16;
  std::array<char, kDigits + 1> text{};
  std::snprintf(text.data(), text.size(), "%016llx",
                static_cast<unsigned long long>(value));
  return text.data();
}

std::uint64_t HashOf(std::string_view bytes) {
  constexpr std::uint64_t kOffset = 0xcbf29ce484222325U;
  constexpr std::uint64_t kPrime = 0x100000001b3U;
  std::uint64_t hash = kOffset;
  for (const char byte : bytes) {
    hash ^= static_cast<unsigned char>(byte);
    hash *= kPrime;
  }
  return hash;
}

Poco::JSON::Object::Ptr ParseObject(const std::string& text) {
  try {
    Poco::JSON::Parser parser;
    return parser.parse(text).extract<Poco::JSON::Object::Ptr>();
  } catch (const Poco::Exception&) {
    return {};
  }
}

std::optional<std::uint64_t> NumberIn(const Poco::JSON::Object& object,
                                      const std::string& name) {
  const Poco::Dynamic::Var value = object.get(name);
  if (!value.isInteger() || value.isBoolean()) return {};
  try {
    return value.convert<Poco::UInt64>();
  } catch (const Poco::Exception&) {
    return {};
  }
}

std::optional<std::string> TextIn(const Poco::JSON::Object& object,
                                  const std::string& name) {
  const Poco::Dynamic::Var value = object.get(name);
  if (!value.isString()) return {};
  return value.extract<std::string>();
}

Resources AmountIn(const Poco::JSON::Object& object,
                   const Resources& otherwise) {
  Resources amount = otherwise;
  const auto read = [&](const char* name, std::int64_t* part) {
    if (const auto value = NumberIn(object, name)) {
      *part = static_cast<std::int64_t>(*value);
    }
  };
  read("cpu_milli", &amount.cpu_milli);
  read("memory_mb", &amount.memory_mb);
  read("accelerators", &amount.accelerators);
  read("slots", &amount.slots);
  return amount;
}

}  // namespace mustardproxy::standin
