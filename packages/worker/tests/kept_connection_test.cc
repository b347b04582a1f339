#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <string>

#include "hash.h"
#include "link_fixture.h"

namespace mustardproxy {
namespace {

using Poco::Net::ServerSocket;
using Poco::Net::SocketAddress;
using Poco::Net::StreamSocket;

const Poco::Timespan kLimit(20, 0);

/// A worker that the test plays itself, byte by byte.
struct PlayedWorkerFixture : LinkFixture {
  PlayedWorkerFixture() { this->address = this->server.address().toString(); }

  StreamSocket Accept() {
    BOOST_REQUIRE(this->server.poll(kLimit, Poco::Net::Socket::SELECT_READ));
    StreamSocket socket = this->server.acceptConnection();
    socket.setReceiveTimeout(kLimit);
    return socket;
  }

  /// @return true if a further connection comes within a short while
  bool AnotherConnects() {
    constexpr int kShortMicros = 300'000;
    return this->server.poll(Poco::Timespan(0, kShortMicros),
                             Poco::Net::Socket::SELECT_READ);
  }

  /// Reads until the body of a request, which is `body`, has come.
  static void Read(StreamSocket* socket, const std::string& body) {
    std::string text;
    std::array<char, 4096> buffer{};
    while (!text.ends_with("\r\n\r\n" + body)) {
      const int count = socket->receiveBytes(buffer.data(), buffer.size());
      BOOST_REQUIRE(count > 0);
      text.append(buffer.data(), static_cast<std::size_t>(count));
    }
  }

  static void Write(StreamSocket* socket, const std::string& text) {
    socket->sendBytes(text.data(), static_cast<int>(text.size()));
  }

  static std::string AnswerTo(const std::string& task,
                              const std::string& body) {
    return "HTTP/1.1 200 OK\r\nMustardproxy-Task-Id: " + task +
           "\r\nMustardproxy-Body-Hash: " + worker_detail::BodyHash(body) +
           "\r\nMustardproxy-Task-End: finished\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  /// Serves one start and leaves its connection idle.
  StreamSocket ServeOne() {
    this->Start("r/0/1", "one");
    StreamSocket socket = this->Accept();
    Read(&socket, "one");
    Write(&socket, AnswerTo("r/0/1", "done"));
    this->events.Next<TaskEnded>();
    return socket;
  }

  ServerSocket server{SocketAddress("127.0.0.1", 0)};
};

void Reset(StreamSocket* socket) {
  socket->setLinger(true, 0);
  socket->close();
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(kept_connections, PlayedWorkerFixture)

BOOST_AUTO_TEST_CASE(a_connection_is_used_again) {
  StreamSocket socket = ServeOne();
  Start("r/0/2", "two");
  Read(&socket, "two");
  Write(&socket, AnswerTo("r/0/2", "done"));
  events.Next<TaskEnded>();
}

// A worker closes idle connections after a while. A request that meets the
// closed connection used to fail, though it had not even left.
BOOST_AUTO_TEST_CASE(a_connection_closed_while_idle_is_not_used) {
  for (const bool reset : {false, true}) {
    StreamSocket socket = ServeOne();
    if (reset) {
      Reset(&socket);
    } else {
      socket.close();
    }
    Start("r/0/2", "two");
    StreamSocket fresh = Accept();
    Read(&fresh, "two");
    Write(&fresh, AnswerTo("r/0/2", "done"));
    events.Next<TaskEnded>();
    fresh.close();
  }
}

// A connection sends bytes that nobody asked for: the rest of an answer that
// was duplicated on its way. The next request must not take them for its own.
BOOST_AUTO_TEST_CASE(a_connection_with_stray_bytes_is_not_used) {
  StreamSocket socket = ServeOne();
  Write(&socket, AnswerTo("r/0/2", "stray"));
  Start("r/0/2", "two");
  StreamSocket fresh = Accept();
  Read(&fresh, "two");
  Write(&fresh, AnswerTo("r/0/2", "right"));
  BOOST_TEST(View(events.Next<TaskEnded>().ended.body) == "right");
}

// The worker takes a request on a kept-open connection and dies before it
// answers. HTTP clients like to connect anew and send again at this point; the
// task would run twice. It must be sent once, and the fate told as uncertain.
BOOST_AUTO_TEST_CASE(a_request_on_a_reset_connection_is_not_sent_again) {
  StreamSocket socket = ServeOne();
  Start("r/0/2", "two");
  Read(&socket, "two");
  Reset(&socket);
  BOOST_TEST((events.Next<TaskUncertain>().reason == Error::kWorkerLost));
  BOOST_TEST(!AnotherConnects());
}

// The same with a body larger than the buffers on the way, so that the
// connection breaks while the request is still being written.
BOOST_AUTO_TEST_CASE(a_request_broken_off_while_written_is_not_sent_again) {
  constexpr std::size_t kLarge = 32U << 20U;
  StreamSocket socket = ServeOne();
  Start("r/0/2", std::string(kLarge, 'b'));
  std::array<char, 1024> buffer{};
  BOOST_REQUIRE(socket.receiveBytes(buffer.data(), buffer.size()) > 0);
  Reset(&socket);
  BOOST_TEST((events.Next<TaskUncertain>().reason == Error::kWorkerLost));
  BOOST_TEST(!AnotherConnects());
}

// The worker does not read: the request is never written whole, and no thread
// may wait for it for good.
BOOST_AUTO_TEST_CASE(a_request_that_is_not_read_is_given_up_on) {
  constexpr std::size_t kLarge = 32U << 20U;
  StreamSocket socket = ServeOne();
  Start("r/0/2", std::string(kLarge, 'b'));
  BOOST_TEST((events.Next<TaskUncertain>().reason == Error::kWorkerLost));
}

BOOST_AUTO_TEST_CASE(an_answer_that_asks_to_close_ends_the_connection) {
  Start("r/0/1", "one");
  StreamSocket socket = Accept();
  Read(&socket, "one");
  std::string answer = AnswerTo("r/0/1", "done");
  answer.insert(answer.find("\r\n") + 2, "Connection: close\r\n");
  Write(&socket, answer);
  events.Next<TaskEnded>();
  Start("r/0/2", "two");
  StreamSocket fresh = Accept();
  Read(&fresh, "two");
  Write(&fresh, AnswerTo("r/0/2", "done"));
  events.Next<TaskEnded>();
}

// An answer without a length ends when the connection does, which a cut looks
// like too.
BOOST_AUTO_TEST_CASE(an_answer_without_a_length_is_uncertain) {
  Start("r/0/1", "one");
  StreamSocket socket = Accept();
  Read(&socket, "one");
  std::string answer = AnswerTo("r/0/1", "done");
  const std::size_t length = answer.find("Content-Length");
  answer.erase(length, answer.find("\r\n", length) + 2 - length);
  Write(&socket, answer);
  socket.close();
  BOOST_TEST((events.Next<TaskUncertain>().reason == Error::kAnswerIncomplete));
}

BOOST_AUTO_TEST_CASE(an_answer_with_a_changed_body_is_uncertain) {
  Start("r/0/1", "one");
  StreamSocket socket = Accept();
  Read(&socket, "one");
  std::string answer = AnswerTo("r/0/1", "done");
  answer.back() = 'X';
  Write(&socket, answer);
  BOOST_TEST((events.Next<TaskUncertain>().reason == Error::kAnswerIncomplete));
}

// The refusal of another start arrives. Taken for ours, a task that runs would
// be called "not run".
BOOST_AUTO_TEST_CASE(a_refusal_of_another_task_is_uncertain) {
  const std::string refusal =
      R"({"reason":"no-room","highest_epoch":1,"holder":"entry",)"
      R"("lease_left_ms":5,"task":"r/0/9"})";
  Start("r/0/1", "one");
  StreamSocket socket = Accept();
  Read(&socket, "one");
  Write(&socket, "HTTP/1.1 409 Conflict\r\nContent-Length: " +
                     std::to_string(refusal.size()) + "\r\n\r\n" + refusal);
  BOOST_TEST((events.Next<TaskUncertain>().reason == Error::kAnswerIncomplete));
}

// A gateway on the way answers 503 by itself. It is not the worker's refusal:
// the worker may be running the task.
BOOST_AUTO_TEST_CASE(a_503_that_is_not_the_worker_s_is_uncertain) {
  Start("r/0/1", "one");
  StreamSocket socket = Accept();
  Read(&socket, "one");
  Write(&socket, "HTTP/1.1 503 Unavailable\r\nContent-Length: 4\r\n\r\nbusy");
  BOOST_TEST((events.Next<TaskUncertain>().reason == Error::kAnswerIncomplete));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy
