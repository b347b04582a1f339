// A small HTTP/1.1 server and client over loopback sockets, for stand-ins.
#ifndef REVIEW_HTTP_HPP_
#define REVIEW_HTTP_HPP_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

namespace review {

struct Request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  /// Names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
};

struct Reply {
  int status = 200;
  std::string body = "{}";
};

/// Serves one loopback address, one thread a connection. The handler returns
/// nothing if the request gets no answer; the connection is closed then.
class Server {
 public:
  using Handler = std::function<std::optional<Reply>(const Request&)>;

  explicit Server(Handler handler);
  ~Server();

  /// Opens the port. A port that was open before stays the same.
  void Open();
  /// Closes the port and resets all connections, as a process that is killed.
  void Close();
  /// From now on nothing is read or answered, as behind a partition. The end of
  /// the partition resets the connections that were open in it.
  void Cut();
  void Heal();

  [[nodiscard]] int Port() const { return this->port; }
  [[nodiscard]] std::string Address() const;

 private:
  void Accept(int listening);
  void Serve(int connection);
  void ResetConnections();

  Handler handler;
  int port = 0;
  int listening = -1;
  std::thread accepting;
  std::mutex mutex;
  std::condition_variable ended;
  /// Served connections; each has a thread.
  std::set<int> connections;
  bool cut = false;
};

struct Answer {
  /// 0 if there was no complete answer.
  int status = 0;
  std::string body;
};

/// Sends one request on a new connection.
Answer Send(const std::string& address, const std::string& method,
            const std::string& path, const std::string& host,
            const std::string& body, int timeout_ms);

/// @return the loopback address of this test. Others that are played at the
/// same
///   time have their own, so that none takes a port of another.
std::string Host();
/// @return a port of Host() that is free and was not returned before, outside
///   the range from which outgoing connections take theirs
int FreePort();

}  // namespace review

#endif  // REVIEW_HTTP_HPP_
