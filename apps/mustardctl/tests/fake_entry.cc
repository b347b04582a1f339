#include "fake_entry.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>

#include <functional>
#include <mutex>
#include <utility>

namespace mustardproxy::testing {

struct FakeEntry::State {
  State(std::string process_name, std::string data_center_name)
      : process(std::move(process_name)),
        data_center(std::move(data_center_name)),
        socket(Poco::Net::SocketAddress("127.0.0.1", 0)) {}

  std::string Answer(const std::string& path) {
    const std::scoped_lock lock(this->mutex);
    if (path.starts_with("/v1/events")) return this->events;
    if (this->polls > 0) {
      --this->polls;
    } else {
      this->version = this->next_version;
    }
    return R"({"process": ")" + this->process + R"(", "data_center": ")" +
           this->data_center + R"(", "incarnation": 7, "ready": true,)" +
           R"( "stopping": false, "platform_reachable": true,)" +
           R"( "owned_workers": 3, "known_workers": 8, "queued": 5,)" +
           R"( "capacity": {"cpu_milli": 4000}, "free": {"cpu_milli": 1500},)" +
           R"( "journals": [], "configuration_version": )" +
           std::to_string(this->version) + "}";
  }

  const std::string process;
  const std::string data_center;
  std::mutex mutex;
  std::uint64_t version = 0;
  std::uint64_t next_version = 0;
  int polls = 0;
  std::string events = "[]";
  Poco::Net::ServerSocket socket;
  std::unique_ptr<Poco::Net::HTTPServer> server;
};

namespace {

using AnswerFunction = std::function<std::string(const std::string&)>;

class Handler final : public Poco::Net::HTTPRequestHandler {
 public:
  explicit Handler(AnswerFunction answer) : answer(std::move(answer)) {}

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    const std::string body = this->answer(request.getURI());
    response.setContentType("application/json");
    response.sendBuffer(body.data(), body.size());
  }

 private:
  AnswerFunction answer;
};

class Factory final : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit Factory(AnswerFunction answer) : answer(std::move(answer)) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest& /*request*/) override {
    return new Handler(this->answer);
  }

 private:
  AnswerFunction answer;
};

}  // namespace

FakeEntry::FakeEntry(std::string process, std::string data_center)
    : state(
          std::make_shared<State>(std::move(process), std::move(data_center))) {
  State* const raw = this->state.get();
  const Poco::Net::HTTPRequestHandlerFactory::Ptr factory(new Factory(
      [raw](const std::string& path) { return raw->Answer(path); }));
  this->state->server = std::make_unique<Poco::Net::HTTPServer>(
      factory, this->state->socket, new Poco::Net::HTTPServerParams);
  this->state->server->start();
}

FakeEntry::~FakeEntry() { this->state->server->stopAll(true); }

void FakeEntry::ReportVersion(std::uint64_t version, int polls) {
  const std::scoped_lock lock(this->state->mutex);
  this->state->next_version = version;
  this->state->polls = polls;
}

void FakeEntry::SetEvents(std::string json) {
  const std::scoped_lock lock(this->state->mutex);
  this->state->events = std::move(json);
}

std::string FakeEntry::Address() const {
  return this->state->socket.address().toString();
}

std::string FakeEntry::MemberValue() const {
  return R"({"operators": ")" + this->Address() + R"(", "data_center": ")" +
         this->state->data_center + "\"}";
}

}  // namespace mustardproxy::testing
