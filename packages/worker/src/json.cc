#include "json.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>
#include <Poco/StreamCopier.h>

#include <chrono>
#include <sstream>

namespace mustardproxy::worker_detail {
namespace {

constexpr std::size_t kMaxDepth = 8;

Poco::Dynamic::Var Member(const Poco::JSON::Object& object,
                          const std::string& name) {
  Poco::Dynamic::Var value = object.get(name);
  if (value.isEmpty()) throw Poco::NotFoundException(name);
  return value;
}

}  // namespace

Poco::JSON::Object::Ptr ParseObject(const std::string& text) {
  Poco::JSON::Parser parser;
  parser.setDepth(kMaxDepth);
  return parser.parse(text).extract<Poco::JSON::Object::Ptr>();
}

std::uint64_t ReadUnsigned(const Poco::JSON::Object& object,
                           const std::string& name) {
  const Poco::Dynamic::Var value = Member(object, name);
  if (!value.isInteger()) throw Poco::BadCastException(name);
  return value.convert<Poco::UInt64>();
}

std::int64_t ReadInteger(const Poco::JSON::Object& object,
                         const std::string& name) {
  const Poco::Dynamic::Var value = Member(object, name);
  if (!value.isInteger()) throw Poco::BadCastException(name);
  return value.convert<Poco::Int64>();
}

std::string ReadText(const Poco::JSON::Object& object,
                     const std::string& name) {
  return Member(object, name).extract<std::string>();
}

Duration ReadMillis(const Poco::JSON::Object& object, const std::string& name) {
  return std::chrono::milliseconds(ReadInteger(object, name));
}

Resources ReadResources(const Poco::JSON::Object& object,
                        const std::string& name) {
  const auto amount = object.getObject(name);
  if (!amount) throw Poco::NotFoundException(name);
  Resources resources;
  resources.cpu_milli = ReadInteger(*amount, "cpu_milli");
  resources.memory_mb = ReadInteger(*amount, "memory_mb");
  resources.accelerators = ReadInteger(*amount, "accelerators");
  resources.slots = ReadInteger(*amount, "slots");
  return resources;
}

Poco::JSON::Array::Ptr ReadArray(const Poco::JSON::Object& object,
                                 const std::string& name) {
  auto array = object.getArray(name);
  if (!array) throw Poco::NotFoundException(name);
  return array;
}

std::string ReadBase64(const Poco::JSON::Object& object,
                       const std::string& name) {
  std::istringstream encoded(ReadText(object, name));
  Poco::Base64Decoder decoder(encoded);
  std::string bytes;
  Poco::StreamCopier::copyToString(decoder, bytes);
  return bytes;
}

}  // namespace mustardproxy::worker_detail
