// A small blocking HTTP/1.1 server and client for the stand-ins of the cases.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>

namespace review {

using Clock = std::chrono::steady_clock;

struct Request {
  std::string method, path, query, body;
  std::map<std::string, std::string> headers;  // names in lower case
};

struct Response {
  int status = 200;
  std::string body = "{}";
};

inline std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

inline std::string Decode(const std::string& text) {
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

inline std::string QueryField(const std::string& query,
                              const std::string& name) {
  std::size_t at = 0;
  while (at <= query.size()) {
    std::size_t end = query.find('&', at);
    if (end == std::string::npos) end = query.size();
    const std::string pair = query.substr(at, end - at);
    const std::size_t mark = pair.find('=');
    if (pair.substr(0, mark) == name && mark != std::string::npos) {
      return Decode(pair.substr(mark + 1));
    }
    at = end + 1;
  }
  return "";
}

inline bool SendAll(int fd, const std::string& text) {
  std::size_t at = 0;
  while (at < text.size()) {
    const ssize_t n =
        ::send(fd, text.data() + at, text.size() - at, MSG_NOSIGNAL);
    if (n <= 0) return false;
    at += static_cast<std::size_t>(n);
  }
  return true;
}

// Reads one message; `buffer` keeps what arrived beyond it.
inline bool ReadMessage(int fd, std::string* buffer, std::string* first_line,
                        std::map<std::string, std::string>* headers,
                        std::string* body, Clock::time_point until) {
  const auto more = [&] {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
                          until - Clock::now())
                          .count();
    if (left <= 0) return false;
    pollfd entry{fd, POLLIN, 0};
    if (::poll(&entry, 1, static_cast<int>(left)) <= 0) return false;
    char bytes[16384];
    const ssize_t n = ::recv(fd, bytes, sizeof bytes, 0);
    if (n <= 0) return false;
    buffer->append(bytes, static_cast<std::size_t>(n));
    return true;
  };
  std::size_t end = std::string::npos;
  while ((end = buffer->find("\r\n\r\n")) == std::string::npos) {
    if (!more()) return false;
  }
  const std::string head = buffer->substr(0, end);
  buffer->erase(0, end + 4);
  headers->clear();
  std::size_t at = head.find("\r\n");
  *first_line = head.substr(0, at);
  while (at != std::string::npos) {
    const std::size_t next = head.find("\r\n", at + 2);
    const std::string line = head.substr(
        at + 2, next == std::string::npos ? std::string::npos : next - at - 2);
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      std::size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') ++value;
      (*headers)[Lower(line.substr(0, colon))] = line.substr(value);
    }
    at = next;
  }
  const auto length = headers->find("content-length");
  const std::size_t wanted =
      length == headers->end() ? 0 : std::stoul(length->second);
  while (buffer->size() < wanted) {
    if (!more()) return false;
  }
  *body = buffer->substr(0, wanted);
  buffer->erase(0, wanted);
  return true;
}

// A port that is free now and that outgoing connections don't take: it lies
// below the usual range of these.
inline int FreePort() {
  static std::mutex mutex;
  static std::set<int> given;
  static unsigned seed = static_cast<unsigned>(::getpid()) * 7919U;
  const std::lock_guard lock(mutex);
  for (int tries = 0; tries < 1000; ++tries) {
    const int port = 12'000 + ::rand_r(&seed) % 18'000;
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool free =
        ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    ::close(fd);
    if (free && given.insert(port).second) return port;
  }
  throw std::runtime_error("no free port");
}

// A server on a free loopback port, one thread a connection. A handler that
// returns nothing closes the connection without an answer.
class Server {
 public:
  using Handler = std::function<std::optional<Response>(const Request&)>;

  explicit Server(Handler handler)
      : handler(std::move(handler)), port(FreePort()) {}
  ~Server() {
    this->Close();
    while (this->threads > 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
  }

  void Open() {
    this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(this->port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    for (int tries = 0;
         ::bind(this->listener, reinterpret_cast<sockaddr*>(&address),
                sizeof address) != 0;
         ++tries) {
      if (tries > 100) throw std::runtime_error("can not bind");
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    ::listen(this->listener, 512);
    socklen_t size = sizeof address;
    ::getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &size);
    this->port = ntohs(address.sin_port);
    this->open = true;
    this->acceptor = std::thread([this] { this->Accept(); });
  }
  // Stops listening and resets all connections, like a process that dies.
  void Close() {
    if (!this->open.exchange(false)) return;
    this->acceptor.join();
    ::close(this->listener);
    this->ResetConnections();
  }
  // Resets the open connections; new ones work.
  void ResetConnections() {
    const std::lock_guard lock(this->mutex);
    for (const int fd : this->connections) {
      this->doomed.insert(fd);
      // Aborts the connection at once, though its thread may be at work.
      sockaddr nowhere{};
      nowhere.sa_family = AF_UNSPEC;
      ::connect(fd, &nowhere, sizeof nowhere);
      ::shutdown(fd, SHUT_RDWR);
    }
  }
  [[nodiscard]] std::string Address() const {
    return "127.0.0.1:" + std::to_string(this->port);
  }

 private:
  void Accept() {
    while (this->open) {
      pollfd entry{this->listener, POLLIN, 0};
      if (::poll(&entry, 1, 20) <= 0) continue;
      const int fd = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      const int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      {
        const std::lock_guard lock(this->mutex);
        this->connections.insert(fd);
      }
      ++this->threads;
      std::thread([this, fd] {
        this->Serve(fd);
        {
          const std::lock_guard lock(this->mutex);
          this->connections.erase(fd);
          this->doomed.erase(fd);
          ::close(fd);
        }
        --this->threads;
      }).detach();
    }
  }
  void Serve(int fd) {
    std::string buffer, line;
    Request request;
    while (ReadMessage(fd, &buffer, &line, &request.headers, &request.body,
                       Clock::now() + std::chrono::hours(1))) {
      const std::size_t a = line.find(' ');
      const std::size_t b = line.find(' ', a + 1);
      request.method = line.substr(0, a);
      const std::string target = line.substr(a + 1, b - a - 1);
      const std::size_t mark = target.find('?');
      request.path = target.substr(0, mark);
      request.query = mark == std::string::npos ? "" : target.substr(mark + 1);
      const std::optional<Response> response = this->handler(request);
      {
        const std::lock_guard lock(this->mutex);
        if (this->doomed.contains(fd)) return;
      }
      if (!response) return;
      if (!SendAll(fd, "HTTP/1.1 " + std::to_string(response->status) +
                           " X\r\nContent-Type: application/json\r\n"
                           "Content-Length: " +
                           std::to_string(response->body.size()) + "\r\n\r\n" +
                           response->body)) {
        return;
      }
    }
  }

  Handler handler;
  int port;
  int listener = -1;
  std::atomic<bool> open = false;
  std::atomic<int> threads = 0;
  std::thread acceptor;
  std::mutex mutex;
  std::set<int> connections;
  std::set<int> doomed;
};

// One request on a connection of its own. Status 0: no answer.
inline Response Call(const std::string& address, const std::string& method,
                     const std::string& path, const std::string& host,
                     const std::string& body,
                     std::chrono::milliseconds timeout) {
  const auto until = Clock::now() + timeout;
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  const std::size_t colon = address.rfind(':');
  to.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Response response{0, ""};
  if (::connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0 &&
      SendAll(fd, method + " " + path + " HTTP/1.1\r\nHost: " + host +
                      "\r\nContent-Type: application/json\r\n"
                      "X-Request-Timeout-Ms: " +
                      std::to_string(timeout.count()) +
                      "\r\nConnection: close\r\nContent-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body)) {
    std::string buffer, line, answer;
    std::map<std::string, std::string> headers;
    if (ReadMessage(fd, &buffer, &line, &headers, &answer, until)) {
      response = {std::stoi(line.substr(9, 3)), answer};
    }
  }
  ::close(fd);
  return response;
}

}  // namespace review
