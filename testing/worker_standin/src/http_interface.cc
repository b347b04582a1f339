#include "http_interface.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerConnection.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>

#include <array>
#include <chrono>
#include <cstdlib>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>

#include "json.h"
#include "report.h"

namespace mustardproxy::standin {
namespace {

using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr std::string_view kTaskPrefix = "/v1/tasks/";
constexpr std::int64_t kMaxBody = 4 << 20;

/// What a path below `/v1/tasks/` names.
struct TaskPath {
  TaskId task;
  /// stop, throttle or empty.
  std::string order;
};

std::optional<TaskPath> ReadTaskPath(const std::string& path) {
  if (!path.starts_with(kTaskPrefix)) return {};
  const std::string rest = path.substr(kTaskPrefix.size());
  const std::size_t slash = rest.find('/');
  std::string task;
  Poco::URI::decode(rest.substr(0, slash), task);
  TaskPath result;
  result.task = TaskId(std::move(task));
  if (slash != std::string::npos) result.order = rest.substr(slash + 1);
  return result;
}

/// Reads `cpu_milli=1,memory_mb=2,…`.
Resources ReadResources(const std::string& text) {
  Resources amount;
  std::istringstream parts(text);
  for (std::string part; std::getline(parts, part, ',');) {
    const std::size_t equals = part.find('=');
    if (equals == std::string::npos) continue;
    const std::string name = part.substr(0, equals);
    const std::int64_t value = std::atoll(part.c_str() + equals + 1);
    if (name == "cpu_milli") amount.cpu_milli = value;
    if (name == "memory_mb") amount.memory_mb = value;
    if (name == "accelerators") amount.accelerators = value;
    if (name == "slots") amount.slots = value;
  }
  return amount;
}

std::string FormatResources(const Resources& amount) {
  return "cpu_milli=" + std::to_string(amount.cpu_milli) +
         ",memory_mb=" + std::to_string(amount.memory_mb) +
         ",accelerators=" + std::to_string(amount.accelerators) +
         ",slots=" + std::to_string(amount.slots);
}

std::uint64_t NumberIn(const HTTPServerRequest& request, const char* name) {
  return std::strtoull(request.get(name, "0").c_str(), nullptr, 10);
}

TaskStart ReadStart(const HTTPServerRequest& request, const TaskId& task,
                    const std::string& body) {
  using std::chrono::milliseconds;
  TaskStart start;
  start.task = task;
  start.request = RequestId(request.get("Mustardproxy-Request-Id", ""));
  start.service = ServiceId(request.get("Mustardproxy-Service", ""));
  start.resources = ReadResources(request.get("Mustardproxy-Resources", ""));
  start.max_run = milliseconds(NumberIn(request, "Mustardproxy-Max-Run-Ms"));
  start.lease = milliseconds(NumberIn(request, "Mustardproxy-Task-Lease-Ms"));
  start.epoch = NumberIn(request, "Mustardproxy-Epoch");
  start.holder = request.get("Mustardproxy-Holder", "");
  start.body_hash = HashOf(body);
  start.plan = ReadPlan(body, start.resources);
  return start;
}

/// @return the whole body; empty if it did not come whole or is too long
std::optional<std::string> ReadBody(HTTPServerRequest& request) {
  if (!request.hasContentLength()) return std::string();
  const auto length = request.getContentLength64();
  if (length > kMaxBody) return {};
  std::string body(static_cast<std::size_t>(length), '\0');
  request.stream().read(body.data(), length);
  if (request.stream().gcount() != length) return {};
  return body;
}

class Handler : public Poco::Net::HTTPRequestHandler {
 public:
  Handler(WorkerService* service, Connections* connections)
      : service(service), connections(connections) {}
  void handleRequest(HTTPServerRequest& request,
                     HTTPServerResponse& response) override;

 private:
  void HandleTestCall(HTTPServerRequest& request, HTTPServerResponse& response);
  void HandleStart(HTTPServerRequest& request, HTTPServerResponse& response,
                   const TaskId& task, const std::string& body);
  ControlAnswer HandleControl(const HTTPServerRequest& request,
                              const std::string& body);
  void SendEnded(HTTPServerResponse& response, const EndedTask& ended);
  void Send(HTTPServerResponse& response, int status, const std::string& body);
  /// Keeps a silent connection open without reading or answering.
  void Hold(HTTPServerResponse& response);
  void Drop(HTTPServerResponse& response);
  [[nodiscard]] bool Silent() const { return this->connection->silent; }

  WorkerService* service;
  Connections* connections;
  std::shared_ptr<Connection> connection;
};

void Handler::handleRequest(HTTPServerRequest& request,
                            HTTPServerResponse& response) {
  this->connection =
      this->connections->Find(request.clientAddress().toString());
  if (!this->connection) return;
  const std::string& path = request.getURI();
  if (path == "/log" || path == "/switch") {
    this->HandleTestCall(request, response);
    return;
  }
  if (this->Silent()) {
    this->Hold(response);
    return;
  }
  const auto body = ReadBody(request);
  if (!body) {
    this->Drop(response);
    return;
  }
  this->service->WaitWhileFrozen();
  const auto task_path = ReadTaskPath(path);
  if (request.getMethod() == "POST" && task_path && task_path->order.empty()) {
    this->HandleStart(request, response, task_path->task, *body);
    return;
  }
  const ControlAnswer answer = this->HandleControl(request, *body);
  this->service->WaitWhileFrozen();
  this->Send(response, answer.status, answer.body);
}

void Handler::HandleTestCall(HTTPServerRequest& request,
                             HTTPServerResponse& response) {
  if (request.getURI() == "/log") {
    this->Send(response, HTTPResponse::HTTP_OK, this->service->Log());
    return;
  }
  bool silence_open = false;
  const std::string body = ReadBody(request).value_or("");
  const std::string problem = this->service->Switch(body, &silence_open);
  if (!problem.empty()) {
    std::string text;
    JsonWriter json(&text);
    json.Text("problem", problem);
    json.Close();
    this->Send(response, HTTPResponse::HTTP_BAD_REQUEST, text);
    return;
  }
  this->Send(response, HTTPResponse::HTTP_OK, "{}");
  if (silence_open) this->connections->SilenceAll();
}

ControlAnswer Handler::HandleControl(const HTTPServerRequest& request,
                                     const std::string& body) {
  const std::string& path = request.getURI();
  const auto task = ReadTaskPath(path);
  if (request.getMethod() == "GET" && task && task->order.empty()) {
    return this->service->QueryTask(task->task);
  }
  if (request.getMethod() != "POST") return {405, "{}"};
  if (path == "/v1/attach") return this->service->Attach(body);
  if (path == "/v1/renew") return this->service->Renew(body);
  if (path == "/v1/release") return this->service->Release(body);
  if (task && task->order == "stop") {
    return this->service->StopTask(task->task, body);
  }
  if (task && task->order == "throttle") {
    return this->service->ThrottleTask(task->task, body);
  }
  return {404, "{}"};
}

void Handler::HandleStart(HTTPServerRequest& request,
                          HTTPServerResponse& response, const TaskId& task,
                          const std::string& body) {
  const bool detached = request.get("Mustardproxy-Detached", "0") == "1";
  const StartAnswer answer =
      this->service->Start(ReadStart(request, task, body), detached);
  this->service->WaitWhileFrozen();
  if (answer.refusal) {
    this->Send(response, HTTPResponse::HTTP_CONFLICT,
               FormatRefusal(*answer.refusal));
    return;
  }
  if (detached) {
    response.set("Mustardproxy-Task-Id", task.Text());
    this->Send(response, HTTPResponse::HTTP_ACCEPTED, "{}");
    return;
  }
  if (!answer.ended) {
    this->Drop(response);
    return;
  }
  response.set("Mustardproxy-Incarnation",
               std::to_string(this->service->Run()));
  response.set("Mustardproxy-End-Sequence", std::to_string(answer.sequence));
  this->SendEnded(response, *answer.ended);
}

void Handler::SendEnded(HTTPServerResponse& response, const EndedTask& ended) {
  const AnswerFault fault = this->service->TakeFault(ended);
  if (fault.late > Duration::zero()) this->service->Pause(fault.late);
  this->service->WaitWhileFrozen();
  if (this->Silent()) {
    this->Hold(response);
    return;
  }
  const EndedTask& sent = fault.crossed ? *fault.crossed : ended;
  const std::string body(View(sent.body));
  response.set("Mustardproxy-Task-Id", sent.task.Text());
  response.set("Mustardproxy-Body-Hash", Hex(HashOf(body)));
  response.set("Mustardproxy-Run-Time-Ms",
               std::to_string(sent.run_time / std::chrono::milliseconds(1)));
  response.set("Mustardproxy-Task-End", std::string(NameOf(sent.end)));
  response.set("Mustardproxy-Peak-Usage", FormatResources(sent.peak_usage));
  response.setContentType(sent.content_type);
  response.setStatus(static_cast<HTTPResponse::HTTPStatus>(sent.status));
  if (!fault.cut) {
    response.sendBuffer(body.data(), body.size());
    return;
  }
  response.setContentLength64(static_cast<Poco::Int64>(body.size()));
  std::ostream& out = response.send();
  out.write(body.data(), static_cast<std::streamsize>(body.size() / 2));
  out.flush();
  this->connection->socket.shutdown();
}

void Handler::Send(HTTPServerResponse& response, int status,
                   const std::string& body) {
  if (this->Silent()) {
    this->Hold(response);
    return;
  }
  response.setStatus(static_cast<HTTPResponse::HTTPStatus>(status));
  response.setContentType("application/json");
  response.sendBuffer(body.data(), body.size());
}

void Handler::Hold(HTTPServerResponse& response) {
  constexpr std::size_t kChunk = 4096;
  const Poco::Timespan step(0, 200'000);
  std::array<char, kChunk> dropped{};
  Poco::Net::StreamSocket& socket = this->connection->socket;
  try {
    while (!this->service->Stopping()) {
      if (!socket.poll(step, Poco::Net::Socket::SELECT_READ)) continue;
      if (socket.receiveBytes(dropped.data(), kChunk) <= 0) break;
    }
  } catch (const Poco::Exception&) {
    // The peer has closed it, which ends the wait just as well.
  }
  this->Drop(response);
}

void Handler::Drop(HTTPServerResponse& response) {
  response.setKeepAlive(false);
  try {
    this->connection->socket.shutdown();
  } catch (const Poco::Exception&) {
    return;  // Closed by the peer already.
  }
}

class ListedConnection : public Poco::Net::HTTPServerConnection {
 public:
  ListedConnection(const Poco::Net::StreamSocket& socket,
                   Poco::Net::HTTPServerParams::Ptr params,
                   Poco::Net::HTTPRequestHandlerFactory::Ptr handlers,
                   Connections* connections)
      : HTTPServerConnection(socket, std::move(params), std::move(handlers)),
        peer(socket.peerAddress().toString()),
        connections(connections) {
    this->connections->Add(socket);
  }
  ~ListedConnection() override { this->connections->Remove(this->peer); }

 private:
  std::string peer;
  Connections* connections;
};

/// A connection whose peer has left before it was served.
class GoneConnection : public Poco::Net::TCPServerConnection {
 public:
  using TCPServerConnection::TCPServerConnection;
  void run() override {}
};

}  // namespace

Poco::Net::HTTPRequestHandler* HandlerFactory::createRequestHandler(
    const Poco::Net::HTTPServerRequest& /*request*/) {
  return new Handler(this->service, this->connections);
}

Poco::Net::TCPServerConnection* ConnectionFactory::createConnection(
    const Poco::Net::StreamSocket& socket) {
  try {
    Poco::Net::StreamSocket accepted(socket);
    accepted.setNoDelay(true);
    return new ListedConnection(socket, this->params, this->handlers,
                                this->connections);
  } catch (const Poco::Exception&) {
    return new GoneConnection(socket);
  }
}

}  // namespace mustardproxy::standin
