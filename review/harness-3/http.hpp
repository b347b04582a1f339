#pragma once
// A small HTTP/1.1 server and client over loopback sockets.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>

namespace review {

using Headers = std::map<std::string, std::string>;

struct Request {
  std::string method;
  std::string target;
  Headers headers;
  std::string body;
};

struct Response {
  int status = 200;
  std::string body;
};

inline std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

inline std::string QueryField(const std::string& target,
                              const std::string& name) {
  auto at = target.find('?');
  while (at != std::string::npos) {
    const auto end = target.find('&', at + 1);
    const std::string pair = target.substr(
        at + 1, end == std::string::npos ? std::string::npos : end - at - 1);
    if (pair.rfind(name + "=", 0) == 0) {
      std::string value;
      for (std::size_t i = name.size() + 1; i < pair.size(); ++i) {
        if (pair[i] == '%' && i + 2 < pair.size()) {
          value +=
              static_cast<char>(std::stoi(pair.substr(i + 1, 2), nullptr, 16));
          i += 2;
        } else {
          value += pair[i];
        }
      }
      return value;
    }
    at = end;
  }
  return {};
}

/// Reads one message from a socket. `buffer` keeps what follows it.
inline bool ReadMessage(int fd, std::string* buffer, std::string* first,
                        Headers* headers, std::string* body, int timeout_ms) {
  const auto end =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(timeout_ms);
  std::size_t head = std::string::npos;
  std::size_t length = 0;
  for (;;) {
    if (head == std::string::npos) {
      head = buffer->find("\r\n\r\n");
      if (head != std::string::npos) {
        std::size_t at = buffer->find("\r\n");
        *first = buffer->substr(0, at);
        headers->clear();
        while (at < head) {
          const std::size_t next = buffer->find("\r\n", at + 2);
          const std::string line = buffer->substr(at + 2, next - at - 2);
          const auto colon = line.find(':');
          if (colon != std::string::npos) {
            std::string value = line.substr(colon + 1);
            while (!value.empty() && value.front() == ' ') value.erase(0, 1);
            (*headers)[Lower(line.substr(0, colon))] = value;
          }
          at = next;
        }
        const auto found = headers->find("content-length");
        if (found != headers->end()) length = std::stoul(found->second);
      }
    }
    if (head != std::string::npos && buffer->size() >= head + 4 + length) {
      *body = buffer->substr(head + 4, length);
      buffer->erase(0, head + 4 + length);
      return true;
    }
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
                          end - std::chrono::steady_clock::now())
                          .count();
    if (left <= 0) return false;
    pollfd entry{fd, POLLIN, 0};
    if (poll(&entry, 1, static_cast<int>(left)) <= 0) return false;
    char bytes[16384];
    const ssize_t got = recv(fd, bytes, sizeof(bytes), 0);
    if (got <= 0) return false;
    buffer->append(bytes, static_cast<std::size_t>(got));
  }
}

inline bool SendAll(int fd, const std::string& text) {
  std::size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t n =
        send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

inline sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

inline int FreePort() {
  static std::mutex mutex;
  static std::set<int> given;
  static std::mt19937 random{std::random_device{}()};
  const std::lock_guard lock(mutex);
  for (;;) {
    const int port = std::uniform_int_distribution<int>(15000, 31000)(random);
    if (!given.insert(port).second) continue;
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = Loopback(port);
    const bool free = bind(fd, reinterpret_cast<const sockaddr*>(&address),
                           sizeof(address)) == 0;
    close(fd);
    if (free) return port;
  }
}

/// Serves requests at one port; can go down, which closes all connections and
/// refuses new ones, and come up again. Connections beyond a cap are reset.
class Server {
 public:
  /// No response: the connection is closed.
  using Handler = std::function<std::optional<Response>(const Request&)>;

  explicit Server(Handler handler, int port = 0, std::size_t cap = 0)
      : handler(std::move(handler)),
        port(port == 0 ? FreePort() : port),
        cap(cap) {}
  ~Server() { this->Down(); }

  void Up() {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = Loopback(this->port);
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
        listen(fd, 256) != 0) {
      close(fd);
      throw std::runtime_error("can not listen");
    }
    this->listener = fd;
    this->up = true;
    this->accepting = std::thread([this, fd] { this->Accept(fd); });
  }

  void Down() {
    if (!this->up.exchange(false)) return;
    shutdown(this->listener, SHUT_RDWR);
    this->accepting.join();
    close(this->listener);
    const std::lock_guard lock(this->mutex);
    for (const int fd : this->open) shutdown(fd, SHUT_RDWR);
  }

  [[nodiscard]] std::string Address() const {
    return "127.0.0.1:" + std::to_string(this->port);
  }
  [[nodiscard]] std::size_t Open() {
    const std::lock_guard lock(this->mutex);
    return this->open.size();
  }
  [[nodiscard]] std::size_t Resets() {
    const std::lock_guard lock(this->mutex);
    return this->resets;
  }

 private:
  void Accept(int fd) {
    while (this->up) {
      const int got = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (got < 0) {
        if (!this->up) return;
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
        continue;
      }
      int on = 1;
      setsockopt(got, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      {
        const std::lock_guard lock(this->mutex);
        if (this->cap > 0 && this->open.size() >= this->cap) {
          ++this->resets;
          const linger reset{1, 0};
          setsockopt(got, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
          close(got);
          continue;
        }
        this->open.insert(got);
      }
      std::thread([this, got] { this->Serve(got); }).detach();
    }
  }

  void Serve(int fd) {
    std::string buffer, first, body;
    Headers headers;
    while (ReadMessage(fd, &buffer, &first, &headers, &body, 120000)) {
      Request request;
      const auto a = first.find(' ');
      const auto b = first.find(' ', a + 1);
      request.method = first.substr(0, a);
      request.target = first.substr(a + 1, b - a - 1);
      request.headers = headers;
      request.body = body;
      const auto response = this->handler(request);
      if (!response) break;
      if (!SendAll(fd, "HTTP/1.1 " + std::to_string(response->status) +
                           " X\r\nContent-Type: application/json\r\n"
                           "Content-Length: " +
                           std::to_string(response->body.size()) + "\r\n\r\n" +
                           response->body)) {
        break;
      }
    }
    {
      const std::lock_guard lock(this->mutex);
      this->open.erase(fd);
    }
    close(fd);
  }

  Handler handler;
  int port;
  std::size_t cap;
  std::size_t resets = 0;
  int listener = -1;
  std::atomic<bool> up{false};
  std::thread accepting;
  std::mutex mutex;
  std::set<int> open;
};

/// One request on a new connection; no response after the time-out.
inline std::optional<Response> Call(int port, const std::string& method,
                                    const std::string& target,
                                    const Headers& headers,
                                    const std::string& body, int timeout_ms) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = Loopback(port);
  std::optional<Response> response;
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) ==
      0) {
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers)
      text += name + ": " + value + "\r\n";
    if (method == "POST") {
      text += "Content-Type: application/json\r\nContent-Length: " +
              std::to_string(body.size()) + "\r\n";
    }
    text += "\r\n" + (method == "POST" ? body : std::string());
    std::string buffer, first, got;
    Headers fields;
    if (SendAll(fd, text) &&
        ReadMessage(fd, &buffer, &first, &fields, &got, timeout_ms) &&
        first.size() > 12) {
      response = Response{std::stoi(first.substr(9, 3)), got};
    }
  }
  close(fd);
  return response;
}

}  // namespace review
