#include "platform_handler.h"

#include <Poco/Base64Encoder.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>

#include <functional>
#include <optional>
#include <sstream>
#include <utility>

#include "query.h"
#include "reply.h"
#include "session_calls.h"
#include "switch_json.h"

namespace mustardproxy::standin {
namespace {

using Poco::Net::HTTPResponse;

constexpr std::string_view kKeyValuePath = "/v1/kv/";
constexpr std::string_view kSessionPath = "/v1/session/";
constexpr std::size_t kMaxValueBytes = 1'048'576;

std::string EncodeBase64(const std::string& bytes) {
  std::ostringstream out;
  Poco::Base64Encoder encoder(out);
  encoder.rdbuf()->setLineLength(0);
  encoder << bytes;
  encoder.close();
  return out.str();
}

std::string Format(const Poco::JSON::Array& array) {
  std::ostringstream out;
  array.stringify(out);
  return out.str();
}

Poco::JSON::Object ToJson(const StoredValue& value) {
  Poco::JSON::Object object;
  object.set("Key", value.key);
  object.set("ModifyIndex", value.modify_index);
  if (value.value.empty()) {
    object.set("Value", Poco::Dynamic::Var());
  } else {
    object.set("Value", EncodeBase64(value.value));
  }
  if (!value.session.empty()) {
    object.set("Session", value.session);
  }
  return object;
}

class PlatformHandler final : public Poco::Net::HTTPRequestHandler {
 public:
  explicit PlatformHandler(PlatformModel* model) : model(model) {}

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override;

 private:
  Reply Control(const std::string& path, const std::string& body);
  /// @return nothing if the connection is to be closed without a reply
  std::optional<Reply> Serve(const std::string& method, const Poco::URI& uri,
                             std::string body);
  Reply Read(const Poco::URI& uri);
  std::optional<Reply> Write(const std::string& method, const std::string& key,
                             const Poco::URI& uri, std::string body);
  Reply Put(const std::string& key, const Query& query, std::string body);
  std::optional<Reply> ChangeSession(const std::string& method,
                                     const std::string& call,
                                     const std::string& body);
  /// Carries out a write unless it is above the rate, and loses its reply if
  /// that is switched on.
  std::optional<Reply> CarryOut(const std::function<Reply()>& write);
  Reply ReadOne(const std::string& key, const Query& query);
  Reply ReadMany(const std::string& prefix, const Query& query);
  Reply Refuse();

  PlatformModel* model;
};

bool IsControl(const std::string& method, const std::string& path) {
  return path == "/switch" || path == "/counters" ||
         (path == "/v1/hosts" && method == "PUT");
}

/// Ends the connection so that its client sees no byte of a reply.
void Drop(Poco::Net::HTTPServerRequest* request,
          Poco::Net::HTTPServerResponse* response) {
  response->setKeepAlive(false);
  auto* connection = dynamic_cast<Poco::Net::HTTPServerRequestImpl*>(request);
  if (connection != nullptr) {
    connection->socket().shutdown();
  }
}

void Send(const Reply& reply, Poco::Net::HTTPServerResponse* response) {
  response->setStatusAndReason(reply.status);
  response->setContentType("application/json");
  if (reply.index != 0) {
    response->set("X-Consul-Index", std::to_string(reply.index));
  }
  response->sendBuffer(reply.body.data(), reply.body.size());
}

void PlatformHandler::handleRequest(Poco::Net::HTTPServerRequest& request,
                                    Poco::Net::HTTPServerResponse& response) {
  try {
    std::string body;
    Poco::StreamCopier::copyToString(request.stream(), body);
    const Poco::URI uri(request.getURI());
    if (IsControl(request.getMethod(), uri.getPath())) {
      Send(this->Control(uri.getPath(), body), &response);
      return;
    }
    const std::optional<Reply> reply =
        this->Serve(request.getMethod(), uri, std::move(body));
    if (reply) {
      Send(*reply, &response);
    } else {
      Drop(&request, &response);
    }
  } catch (const Poco::DataException& error) {
    Send({HTTPResponse::HTTP_BAD_REQUEST, error.displayText(), 0}, &response);
  } catch (const Poco::Exception&) {
    Drop(&request, &response);
  }
}

Reply PlatformHandler::Control(const std::string& path,
                               const std::string& body) {
  if (path == "/counters") {
    Poco::JSON::Object counters;
    for (const auto& [kind, count] : this->model->Counters()) {
      counters.set(kind, count);
    }
    std::ostringstream out;
    counters.stringify(out);
    return {HTTPResponse::HTTP_OK, out.str(), 0};
  }
  if (path == "/switch") {
    const SwitchReading reading = ReadSwitches(body, this->model->Switches());
    if (!reading.problem.empty()) {
      return {HTTPResponse::HTTP_BAD_REQUEST, reading.problem, 0};
    }
    this->model->Switch(reading.switches);
    return {HTTPResponse::HTTP_OK, "{}", 0};
  }
  this->model->SetHosts(body);
  return {HTTPResponse::HTTP_OK, "{}", 0};
}

std::optional<Reply> PlatformHandler::Serve(const std::string& method,
                                            const Poco::URI& uri,
                                            std::string body) {
  if (this->model->Switches().down) {
    this->model->Count("dropped");
    return std::nullopt;
  }
  this->model->Delay();
  const std::string& path = uri.getPath();
  if (path == "/v1/hosts" && method == "GET") {
    this->model->Count("hosts");
    return this->model->TryRead()
               ? Reply{HTTPResponse::HTTP_OK, this->model->Hosts(), 0}
               : this->Refuse();
  }
  if (path.starts_with(kSessionPath)) {
    return this->ChangeSession(method, path.substr(kSessionPath.size()), body);
  }
  if (!path.starts_with(kKeyValuePath)) {
    return Reply{HTTPResponse::HTTP_NOT_FOUND, "no such path", 0};
  }
  if (method != "GET") {
    return this->Write(method, path.substr(kKeyValuePath.size()), uri,
                       std::move(body));
  }
  Reply reply = this->Read(uri);
  // A read that waited across the beginning of an outage ends with it.
  if (this->model->Switches().down) {
    this->model->Count("dropped");
    return std::nullopt;
  }
  return reply;
}

Reply PlatformHandler::Read(const Poco::URI& uri) {
  const std::string key = uri.getPath().substr(kKeyValuePath.size());
  const Query query = ParseQuery(uri);
  const bool many = query.recurse || query.keys;
  const std::string_view many_kind = query.keys ? "keys" : "list";
  const std::string_view one_kind = query.index ? "watch" : "get";
  this->model->Count(many ? many_kind : one_kind);
  if (!this->model->TryRead()) {
    return this->Refuse();
  }
  return many ? this->ReadMany(key, query) : this->ReadOne(key, query);
}

Reply PlatformHandler::ReadOne(const std::string& key, const Query& query) {
  KeyValueStore& store = this->model->store;
  const std::optional<StoredValue> found =
      store.Wait(key, query.index.value_or(0), query.wait);
  if (!found) {
    return {HTTPResponse::HTTP_NOT_FOUND, "", store.LastIndex()};
  }
  Poco::JSON::Array array;
  array.add(ToJson(*found));
  return {HTTPResponse::HTTP_OK, Format(array), found->modify_index};
}

Reply PlatformHandler::ReadMany(const std::string& prefix, const Query& query) {
  const std::uint64_t index = this->model->store.LastIndex();
  Poco::JSON::Array array;
  for (const StoredValue& each : this->model->store.List(prefix)) {
    if (query.keys) {
      array.add(each.key);
    } else {
      array.add(ToJson(each));
    }
  }
  if (array.empty()) {
    return {HTTPResponse::HTTP_NOT_FOUND, "", index};
  }
  return {HTTPResponse::HTTP_OK, Format(array), index};
}

std::optional<Reply> PlatformHandler::Write(const std::string& method,
                                            const std::string& key,
                                            const Poco::URI& uri,
                                            std::string body) {
  const bool put = method == "PUT";
  if (!put && method != "DELETE") {
    return Reply{HTTPResponse::HTTP_METHOD_NOT_ALLOWED, "", 0};
  }
  this->model->Count(put ? "put" : "delete");
  if (body.size() > kMaxValueBytes) {
    return Reply{HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE, "", 0};
  }
  const Query query = ParseQuery(uri);
  return this->CarryOut([&] {
    if (put) {
      return this->Put(key, query, std::move(body));
    }
    const bool done = this->model->store.Remove(key, query.cas);
    return Reply{HTTPResponse::HTTP_OK, done ? "true" : "false", 0};
  });
}

Reply PlatformHandler::Put(const std::string& key, const Query& query,
                           std::string body) {
  KeyValueStore& store = this->model->store;
  if (!query.acquire) {
    const bool done = store.Put(key, std::move(body), query.cas);
    return {HTTPResponse::HTTP_OK, done ? "true" : "false", 0};
  }
  switch (store.Acquire(key, std::move(body), *query.acquire)) {
    case AcquireEnd::kAcquired:
      return {HTTPResponse::HTTP_OK, "true", 0};
    case AcquireEnd::kHeldByAnother:
      return {HTTPResponse::HTTP_OK, "false", 0};
    case AcquireEnd::kNoSuchSession:
      break;
  }
  return {HTTPResponse::HTTP_INTERNAL_SERVER_ERROR, "invalid session", 0};
}

std::optional<Reply> PlatformHandler::ChangeSession(const std::string& method,
                                                    const std::string& call,
                                                    const std::string& body) {
  if (method != "PUT") {
    return Reply{HTTPResponse::HTTP_METHOD_NOT_ALLOWED, "", 0};
  }
  this->model->Count("session");
  return this->CarryOut(
      [&] { return CallSession(call, body, &this->model->store); });
}

std::optional<Reply> PlatformHandler::CarryOut(
    const std::function<Reply()>& write) {
  if (!this->model->TryWrite()) {
    return this->Refuse();
  }
  Reply reply = write();
  if (this->model->LoseReply()) {
    this->model->Count("lost");
    return std::nullopt;
  }
  return reply;
}

Reply PlatformHandler::Refuse() {
  this->model->Count("refused");
  return {HTTPResponse::HTTP_TOO_MANY_REQUESTS, "rate exceeded", 0};
}

}  // namespace

PlatformHandlerFactory::PlatformHandlerFactory(PlatformModel* model)
    : model(model) {}

Poco::Net::HTTPRequestHandler* PlatformHandlerFactory::createRequestHandler(
    const Poco::Net::HTTPServerRequest& /*request*/) {
  return new PlatformHandler(this->model);
}

}  // namespace mustardproxy::standin
