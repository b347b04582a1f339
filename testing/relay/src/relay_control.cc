#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/StreamCopier.h>
#include <Poco/ThreadPool.h>

#include <string>

#include "standin/relay.h"

namespace mustardproxy::standin {
namespace {

using Poco::Net::HTTPResponse;

class SwitchHandler : public Poco::Net::HTTPRequestHandler {
 public:
  explicit SwitchHandler(Relay* relay) : relay(relay) {}

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    response.setContentType("application/json");
    std::string body;
    Poco::StreamCopier::copyToString(request.stream(), body);
    std::string answer = "{}";
    if (request.getURI() != "/switch") {
      response.setStatus(HTTPResponse::HTTP_NOT_FOUND);
    } else if (!this->relay->Switch(body).empty()) {
      response.setStatus(HTTPResponse::HTTP_BAD_REQUEST);
      answer = R"({"problem":"unknown switch or wrong value"})";
    }
    response.sendBuffer(answer.data(), answer.size());
  }

 private:
  Relay* relay;
};

class SwitchFactory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit SwitchFactory(Relay* relay) : relay(relay) {}
  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest& /*request*/) override {
    return new SwitchHandler(this->relay);
  }

 private:
  Relay* relay;
};

}  // namespace

struct RelayControl::State {
  State(std::uint16_t port, Relay* relay)
      : socket(Poco::Net::SocketAddress("127.0.0.1", port)),
        server(new SwitchFactory(relay), pool, socket,
               new Poco::Net::HTTPServerParams) {
    this->server.start();
  }
  ~State() { this->server.stopAll(true); }

  static constexpr int kThreads = 4;
  Poco::ThreadPool pool{1, kThreads};
  Poco::Net::ServerSocket socket;
  Poco::Net::HTTPServer server;
};

RelayControl::RelayControl(std::uint16_t port, Relay* relay)
    : state(std::make_unique<State>(port, relay)) {}

RelayControl::~RelayControl() = default;

std::uint16_t RelayControl::Port() const {
  return this->state->socket.address().port();
}

}  // namespace mustardproxy::standin
