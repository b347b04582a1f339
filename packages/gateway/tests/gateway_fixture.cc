#include "gateway_fixture.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <arpa/inet.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <utility>

namespace mustardproxy::testing {

FakeCore::FakeCore() : thread([this] { this->Run(); }) {}

FakeCore::~FakeCore() {
  {
    std::lock_guard lock(this->mutex);
    this->stopped = true;
  }
  this->changed.notify_all();
  this->thread.join();
}

void FakeCore::Post(Event event) {
  std::lock_guard lock(this->mutex);
  this->seen.push_back(event);
  this->waiting.push_back(std::move(event));
  this->changed.notify_all();
}

void FakeCore::Behave(Behaviour behaviour) {
  std::lock_guard lock(this->mutex);
  this->behaviour = std::move(behaviour);
}

void FakeCore::Run() {
  std::unique_lock lock(this->mutex);
  for (;;) {
    this->changed.wait(
        lock, [this] { return this->stopped || !this->waiting.empty(); });
    if (this->stopped) return;
    Event event = std::move(this->waiting.front());
    this->waiting.pop_front();
    Behaviour act = this->behaviour;
    lock.unlock();
    if (act) act(event);
    lock.lock();
  }
}

GatewayFixture::~GatewayFixture() {
  if (this->gateway) this->gateway->Stop();
}

void GatewayFixture::Start(GatewayLimits limits) {
  this->gateway = Gateway::Builder()
                      .Self(ProcessId("entry-1"), 0xab)
                      .Limits(limits)
                      .StatusSource([] { return R"({"process":"entry-1"})"; })
                      .ReadySource([this] { return this->ready.load(); })
                      .Events(&this->timeline)
                      .Sink(&this->core)
                      .Measure(&this->metrics)
                      .Build();
  this->ports = this->gateway->Start().value();
}

namespace {

ReceivedAnswer Exchange(std::uint16_t port, const std::string& method,
                        const std::string& path, const std::string& body,
                        const std::map<std::string, std::string>& headers) {
  Poco::Net::HTTPClientSession session("127.0.0.1", port);
  session.setTimeout(Poco::Timespan(kGenerousLimit.count(), 0));
  Poco::Net::HTTPRequest request(method, path, "HTTP/1.1");
  for (const auto& header : headers) request.set(header.first, header.second);
  request.setContentLength(static_cast<std::streamsize>(body.size()));
  session.sendRequest(request) << body;
  Poco::Net::HTTPResponse response;
  std::istream& stream = session.receiveResponse(response);
  ReceivedAnswer answer;
  answer.status = response.getStatus();
  for (const auto& header : response) {
    answer.headers[header.first] = header.second;
  }
  Poco::StreamCopier::copyToString(stream, answer.body);
  return answer;
}

}  // namespace

ReceivedAnswer GatewayFixture::Send(
    const std::string& method, const std::string& path, const std::string& body,
    const std::map<std::string, std::string>& headers) {
  return Exchange(this->ports.callers, method, path, body, headers);
}

ReceivedAnswer GatewayFixture::SendToOperators(const std::string& path) {
  return Exchange(this->ports.operators, "GET", path, "", {});
}

void GatewayFixture::AnswerWith(std::function<Answer(const Request&)> make) {
  this->core.Behave([this, make = std::move(make)](const Event& event) {
    const auto* arrived = std::get_if<RequestArrived>(&event);
    if (arrived == nullptr) return;
    this->gateway->Perform(Reply{arrived->request.id, make(arrived->request)});
  });
}

RawCaller::RawCaller(std::uint16_t port)
    : descriptor(socket(AF_INET, SOCK_STREAM, 0)) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  timeval limit{.tv_sec = kGenerousLimit.count(), .tv_usec = 0};
  setsockopt(this->descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  if (connect(this->descriptor, reinterpret_cast<sockaddr*>(&address),
              sizeof(address)) != 0) {
    this->Close();
  }
}

RawCaller::~RawCaller() { this->Close(); }

void RawCaller::Send(std::string_view bytes) {
  while (!bytes.empty()) {
    ssize_t sent =
        send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) return;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
}

std::string RawCaller::ReadAll() {
  std::string all;
  std::array<char, 4096> buffer{};
  for (;;) {
    ssize_t got = recv(this->descriptor, buffer.data(), buffer.size(), 0);
    if (got <= 0) return all;
    all.append(buffer.data(), static_cast<std::size_t>(got));
  }
}

bool RawCaller::ReadUntil(std::string_view text) {
  std::string all;
  std::array<char, 4096> buffer{};
  while (all.find(text) == std::string::npos) {
    ssize_t got = recv(this->descriptor, buffer.data(), buffer.size(), 0);
    if (got <= 0) return false;
    all.append(buffer.data(), static_cast<std::size_t>(got));
  }
  return true;
}

void RawCaller::CloseSending() { shutdown(this->descriptor, SHUT_WR); }

void RawCaller::Close() {
  if (this->descriptor >= 0) close(this->descriptor);
  this->descriptor = -1;
}

Answer Completed(std::string body) {
  Answer answer;
  answer.outcome = Outcome::kCompleted;
  answer.status = 200;
  answer.content_type = "text/plain";
  answer.body = std::make_shared<const std::string>(std::move(body));
  return answer;
}

}  // namespace mustardproxy::testing
