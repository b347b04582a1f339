#ifndef MUSTARDPROXY_STANDIN_JSON_H_
#define MUSTARDPROXY_STANDIN_JSON_H_

#include <Poco/JSON/Object.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "mustardproxy/core/resources.h"

namespace mustardproxy::standin {

/// Appends one JSON object to a text, member by member. A report is written
/// often and holds thousands of entries, which a document tree would be too
/// heavy for.
class JsonWriter {
 public:
  explicit JsonWriter(std::string* out) : out(out) { *this->out += '{'; }

  void Text(std::string_view name, std::string_view value);
  void Number(std::string_view name, std::int64_t value);
  void Number(std::string_view name, std::uint64_t value);
  void Amount(std::string_view name, const Resources& value);
  /// Appends a member whose value the caller then appends to the text.
  void Name(std::string_view name);
  void Close() { *this->out += '}'; }

 private:
  std::string* out;
  bool first = true;
};

/// @return sixteen lower-case hexadecimal digits
std::string Hex(std::uint64_t value);
/// FNV-1a, 64 bits.
std::uint64_t HashOf(std::string_view bytes);

/// @return the object in `text`; null if it is not one
Poco::JSON::Object::Ptr ParseObject(const std::string& text);
/// @return member `name` as a number, or empty
std::optional<std::uint64_t> NumberIn(const Poco::JSON::Object& object,
                                      const std::string& name);
std::optional<std::string> TextIn(const Poco::JSON::Object& object,
                                  const std::string& name);
/// Reads `{"cpu_milli", …}`; what is left out keeps the value of `otherwise`.
Resources AmountIn(const Poco::JSON::Object& object,
                   const Resources& otherwise);

}  // namespace mustardproxy::standin

#endif  // MUSTARDPROXY_STANDIN_JSON_H_
