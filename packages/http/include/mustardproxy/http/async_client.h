#ifndef MUSTARDPROXY_HTTP_ASYNC_CLIENT_H_
#define MUSTARDPROXY_HTTP_ASYNC_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "mustardproxy/core/time.h"
#include "mustardproxy/http/client_connection.h"

namespace mustardproxy::http {

/// How a call shares the connections to its address with others.
enum class Lane {
  /// Opens a connection whenever none is idle.
  kUnlimited,
  /// Waits if this process holds as many connections to the address as it may.
  kUsual,
  /// Waits as well, but ahead of the usual ones.
  kUrgent,
  /// Counts among the connections that are held, and waits for none.
  kReserved,
};

/// One call to be made.
struct Exchange {
  /// `ip:port`
  std::string address;
  std::string method;
  /// Path and query, already percent-encoded.
  std::string target;
  std::string content_type;
  std::vector<HttpHeader> headers;
  std::string body;
  /// From the call to the last byte of the reply, without the wait for a
  /// connection.
  Duration timeout{0};
  Lane lane = Lane::kUnlimited;
};

/// How far a call came.
enum class ExchangeEnd {
  kReplied,
  /// No byte was sent: the other end has not seen the call and will not.
  kNotSent,
  /// Bytes were sent and no whole reply came.
  kUncertain,
  /// Not sent either: it waited for a connection until that was of no use any
  /// more, which says nothing about the other end.
  kNotAdmitted,
};

/// Connections of the calls that are not unlimited; totals since the start,
/// except for those of this moment.
struct ConnectionCounts {
  /// At this moment.
  std::size_t idle = 0;
  std::size_t in_use = 0;
  std::size_t waiting_calls = 0;
  std::int64_t opened = 0;
  /// The other end does not listen.
  std::int64_t refused = 0;
  /// The other end closed it before it replied to the first call: it takes no
  /// more connections, or has ended.
  std::int64_t reset = 0;
  /// Not opened in time.
  std::int64_t timed_out = 0;
  /// Calls that had to wait, and those of them that were not sent.
  std::int64_t waited = 0;
  std::int64_t not_sent = 0;
};

struct ExchangeResult {
  ExchangeEnd end = ExchangeEnd::kUncertain;
  int status = 0;
  std::string body;
};

/// Makes many HTTP calls at once from one thread: a call that waits long holds
/// a connection but no thread. Each call is sent once. Connections are kept
/// open and reused; after a call without a reply all older ones to that address
/// are closed, since they may be as silent. Calls that are not unlimited share
/// a bounded number of connections to each address. Safe from any thread.
class AsyncClient {
 public:
  /// Called on the client's thread, never before `Call` returns; must return
  /// at once.
  using Done = std::function<void(ExchangeResult)>;

  /// Connections to one address for calls that are not unlimited.
  static constexpr std::size_t kDefaultShare = 8;

  AsyncClient();
  ~AsyncClient();
  AsyncClient(const AsyncClient&) = delete;
  AsyncClient& operator=(const AsyncClient&) = delete;

  void Call(Exchange exchange, Done done);
  /// Sets how many connections to one address are held for calls that are not
  /// unlimited, at least 2. While some of them get no reply, a few more may be
  /// open.
  void SetShare(std::size_t connections);
  /// Ends the calls that wait for a connection; they are not sent.
  void CancelWaiting();
  /// Closes the connections of calls that are not unlimited, those in use once
  /// their calls have ended.
  void Release();
  [[nodiscard]] ConnectionCounts Counts() const;
  /// Drops calls under way without telling, and takes no more.
  void Stop();

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace mustardproxy::http

#endif  // MUSTARDPROXY_HTTP_ASYNC_CLIENT_H_
