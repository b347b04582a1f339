#include "body_reader.h"

#include <Poco/String.h>

#include <charconv>
#include <iterator>
#include <optional>
#include <string_view>

namespace mustardproxy::http {
namespace {

constexpr std::int64_t kMaxChunkLine = 256;
constexpr std::int64_t kMaxTrailerLines = 16;
constexpr std::size_t kReadSize = 65'536;
constexpr int kDecimal = 10;
constexpr int kHexadecimal = 16;

std::optional<std::int64_t> ParseNumber(std::string_view text, int base) {
  std::int64_t value = 0;
  const char* end = text.data() + text.size();
  auto parsed = std::from_chars(text.data(), end, value, base);
  bool whole = parsed.ec == std::errc() && parsed.ptr == end;
  if (!whole || text.empty() || text.front() == '-') return std::nullopt;
  return value;
}

std::size_t CountOf(const Poco::Net::HTTPRequest& header,
                    const std::string& name) {
  std::size_t count = 0;
  for (const auto& field : header) {
    if (Poco::icompare(field.first, name) == 0) ++count;
  }
  return count;
}

BodyEnd Append(CallerSession* session, std::int64_t length, std::string* body) {
  while (length > 0) {
    std::size_t old_size = body->size();
    std::size_t wanted =
        std::min<std::size_t>(kReadSize, static_cast<std::size_t>(length));
    body->resize(old_size + wanted);
    int read = session->Read(body->data() + old_size, static_cast<int>(wanted));
    if (read <= 0) return BodyEnd::kCut;
    body->resize(old_size + static_cast<std::size_t>(read));
    length -= read;
  }
  return BodyEnd::kWhole;
}

/// Reads up to a line feed, which is left out like a carriage return before it.
BodyEnd ReadLine(CallerSession* session, std::string* line) {
  line->clear();
  for (std::int64_t length = 0; length < kMaxChunkLine; ++length) {
    int next = session->Get();
    if (next < 0) return BodyEnd::kCut;
    if (next == '\n') {
      if (!line->empty() && line->back() == '\r') line->pop_back();
      return BodyEnd::kWhole;
    }
    line->push_back(static_cast<char>(next));
  }
  return BodyEnd::kMalformed;
}

BodyEnd ReadTrailer(CallerSession* session) {
  std::string line;
  for (std::int64_t lines = 0; lines < kMaxTrailerLines; ++lines) {
    BodyEnd end = ReadLine(session, &line);
    if (end != BodyEnd::kWhole) return end;
    if (line.empty()) return BodyEnd::kWhole;
  }
  return BodyEnd::kMalformed;
}

/// @return the size of the next chunk through `size`
BodyEnd ReadChunkSize(CallerSession* session, std::int64_t* size) {
  std::string line;
  BodyEnd end = ReadLine(session, &line);
  if (end != BodyEnd::kWhole) return end;
  std::string_view digits = line;
  digits = digits.substr(0, digits.find(';'));
  while (!digits.empty() && digits.back() == ' ') digits.remove_suffix(1);
  std::optional<std::int64_t> parsed = ParseNumber(digits, kHexadecimal);
  if (!parsed) return BodyEnd::kMalformed;
  *size = *parsed;
  return BodyEnd::kWhole;
}

BodyEnd ReadChunks(CallerSession* session, std::int64_t limit,
                   std::string* body) {
  std::string line;
  for (;;) {
    std::int64_t size = 0;
    BodyEnd end = ReadChunkSize(session, &size);
    if (end != BodyEnd::kWhole) return end;
    if (size == 0) return ReadTrailer(session);
    if (size > limit - std::ssize(*body)) return BodyEnd::kTooLarge;
    end = Append(session, size, body);
    if (end != BodyEnd::kWhole) return end;
    end = ReadLine(session, &line);
    if (end != BodyEnd::kWhole) return end;
    if (!line.empty()) return BodyEnd::kMalformed;
  }
}

}  // namespace

BodyEnd CheckBodyHeader(const Poco::Net::HTTPRequest& header,
                        std::int64_t limit) {
  std::size_t encodings = CountOf(header, "Transfer-Encoding");
  std::size_t lengths = CountOf(header, "Content-Length");
  // Two ways to tell where a request ends: a proxy before us could believe the
  // other one, and the rest would pass for a second request of another caller.
  if (encodings + lengths > 1) return BodyEnd::kMalformed;
  if (encodings == 1) {
    bool chunked =
        Poco::icompare(header.get("Transfer-Encoding"), "chunked") == 0;
    return chunked ? BodyEnd::kWhole : BodyEnd::kMalformed;
  }
  if (lengths == 0) return BodyEnd::kWhole;
  auto length = ParseNumber(header.get("Content-Length"), kDecimal);
  if (!length) return BodyEnd::kMalformed;
  return *length > limit ? BodyEnd::kTooLarge : BodyEnd::kWhole;
}

BodyEnd ReadBody(CallerSession* session, const Poco::Net::HTTPRequest& header,
                 std::int64_t limit, std::string* body) {
  BodyEnd end = CheckBodyHeader(header, limit);
  if (end != BodyEnd::kWhole) return end;
  if (header.has("Transfer-Encoding")) return ReadChunks(session, limit, body);
  if (!header.has("Content-Length")) return BodyEnd::kWhole;
  auto length = ParseNumber(header.get("Content-Length"), kDecimal);
  return Append(session, length.value_or(0), body);
}

}  // namespace mustardproxy::http
