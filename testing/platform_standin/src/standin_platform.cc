#include "standin/standin_platform.h"

#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/ThreadPool.h>
#include <Poco/Timespan.h>

#include <utility>

#include "platform_handler.h"
#include "platform_model.h"

namespace mustardproxy::standin {
namespace {

constexpr int kMinThreads = 4;
/// Each open connection and each waiting read takes one.
constexpr int kMaxThreads = 512;
constexpr std::int64_t kKeepAliveSeconds = 60;

Poco::Net::HTTPServerParams::Ptr ServerParams() {
  Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
  params->setMaxThreads(kMaxThreads);
  params->setMaxQueued(kMaxThreads);
  params->setKeepAlive(true);
  params->setKeepAliveTimeout(Poco::Timespan(kKeepAliveSeconds, 0));
  return params;
}

}  // namespace

struct StandinPlatform::State {
  explicit State(std::uint16_t port)
      : socket(Poco::Net::SocketAddress("127.0.0.1", port)),
        server(new PlatformHandlerFactory(&this->model), this->threads,
               this->socket, ServerParams()) {}

  PlatformModel model;
  Poco::ThreadPool threads{kMinThreads, kMaxThreads};
  Poco::Net::ServerSocket socket;
  Poco::Net::HTTPServer server;
};

StandinPlatform::StandinPlatform(std::uint16_t port)
    : state(std::make_unique<State>(port)) {
  this->state->server.start();
}

StandinPlatform::~StandinPlatform() {
  this->state->model.Stop();
  this->state->server.stopAll(true);
  this->state->threads.joinAll();
}

std::string StandinPlatform::Url() const {
  return "http://" + this->state->socket.address().toString();
}

void StandinPlatform::Switch(const PlatformSwitches& switches) {
  this->state->model.Switch(switches);
}

void StandinPlatform::SetHosts(std::string json) {
  this->state->model.SetHosts(std::move(json));
}

void StandinPlatform::Put(std::string_view key, std::string_view value) {
  this->state->model.store.Put(std::string(key), std::string(value),
                               std::nullopt);
}

std::map<std::string, std::string> StandinPlatform::Values(
    std::string_view prefix) const {
  std::map<std::string, std::string> values;
  for (StoredValue& each : this->state->model.store.List(prefix)) {
    values.emplace(std::move(each.key), std::move(each.value));
  }
  return values;
}

std::map<std::string, std::int64_t> StandinPlatform::Counters() const {
  return this->state->model.Counters();
}

}  // namespace mustardproxy::standin
