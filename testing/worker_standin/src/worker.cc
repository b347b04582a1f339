#include "standin/worker.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>

#include <utility>

#include "http_interface.h"

namespace mustardproxy::standin {
namespace {

constexpr int kStackBytes = 256 * 1024;
constexpr int kBacklog = 256;
/// Threads beside those of the connections that the worker tells of: for
/// control calls, test calls, and connections that were made to go silent.
constexpr int kSpareThreads = 64;
constexpr int kIdleSeconds = 5;
constexpr int kKeepAliveSeconds = 30;

Poco::Net::ServerSocket Listen(std::uint16_t port) {
  Poco::Net::ServerSocket socket;
  socket.bind(Poco::Net::SocketAddress("127.0.0.1", port), true);
  socket.listen(kBacklog);
  return socket;
}

Poco::Net::HTTPServerParams::Ptr ServerParams(int threads) {
  Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
  params->setMaxThreads(threads);
  params->setMaxQueued(kBacklog);
  params->setThreadIdleTime(Poco::Timespan(kIdleSeconds, 0));
  params->setKeepAlive(true);
  params->setKeepAliveTimeout(Poco::Timespan(kKeepAliveSeconds, 0));
  params->setMaxKeepAliveRequests(0);
  return params;
}

}  // namespace

struct StandinWorker::State {
  explicit State(const WorkerOptions& options)
      : threads(options.connections + kSpareThreads),
        service(options),
        pool("standin", 1, threads, kIdleSeconds, kStackBytes),
        socket(Listen(options.port)),
        params(ServerParams(threads)),
        server(new ConnectionFactory(params,
                                     new HandlerFactory(&service, &connections),
                                     &connections),
               pool, socket, params) {
    this->server.start();
  }

  ~State() {
    this->service.Shutdown();
    this->server.stop();
    this->connections.CloseAll();
    this->pool.joinAll();
  }

  int threads;
  Connections connections;
  WorkerService service;
  Poco::ThreadPool pool;
  Poco::Net::ServerSocket socket;
  Poco::Net::HTTPServerParams::Ptr params;
  Poco::Net::TCPServer server;
};

StandinWorker::StandinWorker(const WorkerOptions& options)
    : state(std::make_unique<State>(options)) {}

StandinWorker::~StandinWorker() = default;

std::uint16_t StandinWorker::Port() const {
  return this->state->socket.address().port();
}

std::string StandinWorker::Address() const {
  return "127.0.0.1:" + std::to_string(this->Port());
}

bool StandinWorker::Switch(const std::string& json) {
  bool silence_open = false;
  if (!this->state->service.Switch(json, &silence_open).empty()) return false;
  if (silence_open) this->state->connections.SilenceAll();
  return true;
}

std::string StandinWorker::Log() const { return this->state->service.Log(); }

void StandinWorker::CloseConnections() { this->state->connections.CloseAll(); }

}  // namespace mustardproxy::standin
