#include "http.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <random>
#include <stdexcept>

namespace review {
namespace {

using Clock = std::chrono::steady_clock;

sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, Host().c_str(), &address.sin_addr);
  return address;
}

void Reset(int socket) {
  const linger now{1, 0};
  setsockopt(socket, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  shutdown(socket, SHUT_RDWR);
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

std::string Unescape(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

/// Reads up to the end of a header and of the body that it announces.
class Reader {
 public:
  explicit Reader(int socket) : socket(socket) {}

  /// @return false if the connection ended or the time is up
  bool Header(std::string* first, std::map<std::string, std::string>* headers,
              Clock::time_point until) {
    std::size_t end = 0;
    while ((end = this->data.find("\r\n\r\n")) == std::string::npos) {
      if (!this->More(until)) return false;
    }
    const std::string text = this->data.substr(0, end + 2);
    this->data.erase(0, end + 4);
    std::size_t at = text.find("\r\n");
    *first = text.substr(0, at);
    headers->clear();
    for (at += 2; at < text.size();) {
      const std::size_t next = text.find("\r\n", at);
      const std::string line = text.substr(at, next - at);
      at = next + 2;
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos) continue;
      const std::size_t value = line.find_first_not_of(" \t", colon + 1);
      (*headers)[Lower(line.substr(0, colon))] =
          value == std::string::npos ? "" : line.substr(value);
    }
    return true;
  }

  bool Body(const std::map<std::string, std::string>& headers,
            std::string* body, Clock::time_point until) {
    const auto length = headers.find("content-length");
    const std::size_t size =
        length == headers.end() ? 0 : std::stoul(length->second);
    while (this->data.size() < size) {
      if (!this->More(until)) return false;
    }
    *body = this->data.substr(0, size);
    this->data.erase(0, size);
    return true;
  }

 private:
  bool More(Clock::time_point until) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        until - Clock::now());
    if (left.count() <= 0) return false;
    pollfd waiting{this->socket, POLLIN, 0};
    if (poll(&waiting, 1, static_cast<int>(left.count())) <= 0) return false;
    char buffer[16384];
    const ssize_t count = recv(this->socket, buffer, sizeof buffer, 0);
    if (count <= 0) return false;
    this->data.append(buffer, static_cast<std::size_t>(count));
    return true;
  }

  int socket;
  std::string data;
};

bool SendAll(int socket, const std::string& text) {
  std::size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t count =
        send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

void ParseTarget(const std::string& target, Request* request) {
  const std::size_t mark = target.find('?');
  request->path = target.substr(0, mark);
  if (mark == std::string::npos) return;
  std::size_t at = mark + 1;
  while (at <= target.size()) {
    const std::size_t end = std::min(target.find('&', at), target.size());
    const std::string pair = target.substr(at, end - at);
    const std::size_t equals = pair.find('=');
    if (equals != std::string::npos) {
      request->query[Unescape(pair.substr(0, equals))] =
          Unescape(pair.substr(equals + 1));
    }
    at = end + 1;
  }
}

}  // namespace

Server::Server(Handler handler) : handler(std::move(handler)) {}

Server::~Server() { this->Close(); }

std::string Server::Address() const {
  return Host() + ":" + std::to_string(this->port);
}

void Server::Open() {
  if (this->listening >= 0) return;
  const int made = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(made, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (this->port == 0) this->port = FreePort();
  sockaddr_in address = Loopback(this->port);
  if (bind(made, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      listen(made, 512) != 0) {
    throw std::runtime_error("can not listen");
  }
  this->listening = made;
  this->accepting = std::thread([this, made] { this->Accept(made); });
}

void Server::Close() {
  if (this->listening < 0) return;
  shutdown(this->listening, SHUT_RDWR);
  this->accepting.join();
  close(this->listening);
  this->listening = -1;
  this->ResetConnections();
  std::unique_lock lock(this->mutex);
  this->ended.wait(lock, [this] { return this->connections.empty(); });
}

void Server::Cut() {
  const std::lock_guard lock(this->mutex);
  this->cut = true;
}

void Server::Heal() {
  {
    const std::lock_guard lock(this->mutex);
    this->cut = false;
  }
  this->ResetConnections();
}

void Server::ResetConnections() {
  const std::lock_guard lock(this->mutex);
  for (const int one : this->connections) Reset(one);
}

void Server::Accept(int accepts) {
  while (true) {
    const int made = accept4(accepts, nullptr, nullptr, SOCK_CLOEXEC);
    if (made < 0) return;
    const int on = 1;
    setsockopt(made, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    {
      const std::lock_guard lock(this->mutex);
      this->connections.insert(made);
    }
    std::thread([this, made] { this->Serve(made); }).detach();
  }
}

void Server::Serve(int connection) {
  Reader reader(connection);
  constexpr std::chrono::hours kForever(1);
  const auto silent = [this] {
    const std::lock_guard lock(this->mutex);
    return this->cut;
  };
  while (true) {
    Request request;
    std::string first;
    const auto until = Clock::now() + kForever;
    if (!reader.Header(&first, &request.headers, until)) break;
    if (!reader.Body(request.headers, &request.body, until)) break;
    // What arrives behind a partition is lost; its connection stays silent.
    if (silent()) continue;
    const std::size_t one = first.find(' ');
    const std::size_t two = first.rfind(' ');
    if (one == std::string::npos || two <= one) break;
    request.method = first.substr(0, one);
    ParseTarget(first.substr(one + 1, two - one - 1), &request);
    const std::optional<Reply> reply = this->handler(request);
    if (silent()) continue;
    if (!reply) break;
    const std::string text = "HTTP/1.1 " + std::to_string(reply->status) +
                             " x\r\nContent-Type: application/json\r\n"
                             "Content-Length: " +
                             std::to_string(reply->body.size()) + "\r\n\r\n" +
                             reply->body;
    if (!SendAll(connection, text)) break;
  }
  const std::lock_guard lock(this->mutex);
  close(connection);
  this->connections.erase(connection);
  this->ended.notify_all();
}

Answer Send(const std::string& address, const std::string& method,
            const std::string& path, const std::string& host,
            const std::string& body, int timeout_ms) {
  Answer answer;
  const auto until = Clock::now() + std::chrono::milliseconds(timeout_ms);
  const int made = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in to = Loopback(std::stoi(address.substr(address.find(':') + 1)));
  if (connect(made, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0) {
    std::string text =
        method + " " + path + " HTTP/1.1\r\nHost: " + host +
        "\r\nX-Request-Timeout-Ms: " + std::to_string(timeout_ms) + "\r\n";
    if (!body.empty()) text += "Content-Type: application/json\r\n";
    if (!body.empty() || method == "POST") {
      text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    text += "\r\n" + body;
    Reader reader(made);
    std::string first;
    std::map<std::string, std::string> headers;
    const bool whole = SendAll(made, text) &&
                       reader.Header(&first, &headers, until) &&
                       reader.Body(headers, &answer.body, until);
    if (whole && first.size() > 12) answer.status = std::stoi(first.substr(9));
  }
  close(made);
  return answer;
}

std::string Host() {
  static const std::string host = [] {
    const auto id = static_cast<unsigned>(getpid());
    return "127." + std::to_string(1 + (id >> 16U) % 250) + "." +
           std::to_string((id >> 8U) & 255U) + "." + std::to_string(id & 255U);
  }();
  return host;
}

int FreePort() {
  constexpr int kFirst = 20'000;
  constexpr int kCount = 12'000;
  static std::mt19937 random{std::random_device{}()};
  static std::set<int> taken;
  while (true) {
    const int port = kFirst + static_cast<int>(random() % kCount);
    if (!taken.insert(port).second) continue;
    const int made = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = Loopback(port);
    const bool free =
        bind(made, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    close(made);
    if (free) return port;
  }
}

}  // namespace review
