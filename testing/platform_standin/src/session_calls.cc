#include "session_calls.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <chrono>
#include <optional>
#include <sstream>
#include <utility>

#include "query.h"

namespace mustardproxy::standin {
namespace {

using Poco::Net::HTTPResponse;

constexpr std::string_view kCreate = "create";
constexpr std::string_view kRenew = "renew/";
constexpr std::string_view kDestroy = "destroy/";
constexpr std::string_view kBehavior = "delete";

/// @return the time to live that the body asks for
std::chrono::milliseconds ReadTtl(const std::string& body) {
  Poco::JSON::Parser parser;
  const auto wanted = parser.parse(body).extract<Poco::JSON::Object::Ptr>();
  if (wanted->optValue<std::string>("Behavior", "") != kBehavior) {
    throw Poco::DataFormatException("Behavior has to be delete");
  }
  const auto ttl = ParseDuration(wanted->optValue<std::string>("TTL", ""));
  if (ttl.count() == 0) {
    throw Poco::DataFormatException("TTL has to be above 0");
  }
  return ttl;
}

template <typename Json>
std::string Format(const Json& json) {
  std::ostringstream text;
  json.stringify(text);
  return std::move(text).str();
}

Reply Create(const std::string& body, KeyValueStore* store) {
  try {
    Poco::JSON::Object made;
    made.set("ID", store->CreateSession(ReadTtl(body)));
    return {HTTPResponse::HTTP_OK, Format(made), 0};
  } catch (const Poco::Exception& error) {
    return {HTTPResponse::HTTP_BAD_REQUEST, error.displayText(), 0};
  }
}

Reply Renew(const std::string& id, KeyValueStore* store) {
  const std::optional<std::chrono::milliseconds> ttl = store->RenewSession(id);
  if (!ttl) {
    return {HTTPResponse::HTTP_NOT_FOUND, "no such session", 0};
  }
  Poco::JSON::Object session;
  session.set("ID", id);
  session.set("TTL", std::to_string(ttl->count()) + "ms");
  session.set("Behavior", std::string(kBehavior));
  Poco::JSON::Array sessions;
  sessions.add(session);
  return {HTTPResponse::HTTP_OK, Format(sessions), 0};
}

}  // namespace

Reply CallSession(std::string_view call, const std::string& body,
                  KeyValueStore* store) {
  if (call == kCreate) {
    return Create(body, store);
  }
  if (call.starts_with(kRenew)) {
    return Renew(std::string(call.substr(kRenew.size())), store);
  }
  if (call.starts_with(kDestroy)) {
    store->DestroySession(std::string(call.substr(kDestroy.size())));
    return {HTTPResponse::HTTP_OK, "true", 0};
  }
  return {HTTPResponse::HTTP_NOT_FOUND, "no such path", 0};
}

}  // namespace mustardproxy::standin
