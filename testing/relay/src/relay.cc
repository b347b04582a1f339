#include "standin/relay.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>

#include <algorithm>
#include <condition_variable>
#include <list>
#include <mutex>
#include <thread>
#include <utility>

#include "stream.h"

namespace mustardproxy::standin {
namespace {

using Poco::Net::Socket;
using Poco::Net::SocketAddress;
using Poco::Net::StreamSocket;

constexpr int kBacklog = 256;
/// Time after which a change of the faults is seen at the latest.
constexpr std::chrono::milliseconds kStep{10};

/// One relayed connection.
struct Pair {
  Pair(const StreamSocket& client, const StreamSocket& upstream)
      : there(client, upstream), back(upstream, client) {}

  [[nodiscard]] bool Finished() const {
    if (this->silent) return this->there.Ended() && this->back.Ended();
    return this->there.Finished() && this->back.Finished();
  }

  Stream there;
  Stream back;
  bool silent = false;
  bool broken = false;
};

void Reset(StreamSocket socket) {
  try {
    socket.setLinger(true, 0);
    socket.close();
  } catch (const Poco::Exception&) {
    return;  // It is closed already.
  }
}

}  // namespace

struct Relay::State {
  State(std::uint16_t port, const std::string& target,
        std::size_t max_connections)
      : target(target), max_connections(max_connections) {
    // Holds the port while the relay is cut and does not listen, so that no
    // other program is given it meanwhile.
    this->guard.bind(SocketAddress("127.0.0.1", port), true);
    this->port = this->guard.address().port();
    this->Listen();
    this->thread = std::thread([this] { this->Run(); });
  }

  ~State() {
    {
      const std::lock_guard lock(this->mutex);
      this->stopping = true;
    }
    this->thread.join();
  }

  void Listen() {
    this->listener = Poco::Net::ServerSocket();
    this->listener.bind(SocketAddress("127.0.0.1", this->port), true);
    this->listener.listen(kBacklog);
    this->listening = true;
  }

  void Run();
  /// Takes over what `Set` and `SilenceOpen` asked for.
  bool TakeOrders();
  void Pass();
  void Accept();
  void Serve(Stream* stream, const Socket::SocketList& readable,
             const Socket::SocketList& writable, Pair* pair);
  void CloseAll();

  SocketAddress target;
  std::size_t max_connections;
  std::uint16_t port = 0;
  Poco::Net::ServerSocket guard;
  Poco::Net::ServerSocket listener;
  bool listening = false;
  std::list<Pair> pairs;
  RelayFaults active;

  mutable std::mutex mutex;
  std::condition_variable obeyed;
  RelayFaults wanted;
  bool silence_wanted = false;
  std::int64_t orders = 0;
  std::int64_t orders_done = 0;
  std::int64_t taken = 0;
  bool stopping = false;
  std::thread thread;
};

bool Relay::State::TakeOrders() {
  const std::lock_guard lock(this->mutex);
  if (this->stopping) return false;
  if (this->orders == this->orders_done) return true;
  this->active = this->wanted;
  if (this->silence_wanted) {
    for (Pair& pair : this->pairs) pair.silent = true;
    this->silence_wanted = false;
  }
  if (this->active.cut && this->listening) {
    this->listener.close();
    this->listening = false;
    this->CloseAll();
  }
  if (!this->active.cut && !this->listening) this->Listen();
  this->orders_done = this->orders;
  this->obeyed.notify_all();
  return true;
}

void Relay::State::CloseAll() {
  for (Pair& pair : this->pairs) {
    Reset(pair.there.From());
    Reset(pair.there.To());
  }
  this->pairs.clear();
}

void Relay::State::Run() {
  while (this->TakeOrders()) {
    if (this->active.freeze || this->active.cut) {
      std::this_thread::sleep_for(kStep);
      continue;
    }
    this->Pass();
  }
  this->CloseAll();
}

void Relay::State::Pass() {
  const auto now = RelayClock::now();
  RelayClock::duration wait = kStep;
  Socket::SocketList readable{this->listener};
  Socket::SocketList writable;
  Socket::SocketList broken;
  for (const Pair& pair : this->pairs) {
    for (const Stream* stream : {&pair.there, &pair.back}) {
      if (stream->WantsRead()) readable.push_back(stream->From());
      if (pair.silent) continue;
      if (stream->WantsWrite(now)) writable.push_back(stream->To());
      wait = std::min(wait, std::max(RelayClock::duration::zero(),
                                     stream->NextDue() - now));
    }
  }
  const auto micros =
      std::chrono::duration_cast<std::chrono::microseconds>(wait).count();
  Socket::select(readable, writable, broken, Poco::Timespan(micros));
  const auto has = [](const Socket::SocketList& list, const Socket& socket) {
    return std::find(list.begin(), list.end(), socket) != list.end();
  };
  for (Pair& pair : this->pairs) {
    this->Serve(&pair.there, readable, writable, &pair);
    this->Serve(&pair.back, readable, writable, &pair);
  }
  this->pairs.remove_if([](const Pair& pair) {
    if (pair.broken) {
      Reset(pair.there.From());
      Reset(pair.there.To());
    }
    return pair.broken || pair.Finished();
  });
  if (has(readable, this->listener)) this->Accept();
}

void Relay::State::Serve(Stream* stream, const Socket::SocketList& readable,
                         const Socket::SocketList& writable, Pair* pair) {
  const auto now = RelayClock::now();
  const auto has = [](const Socket::SocketList& list, const Socket& socket) {
    return std::find(list.begin(), list.end(), socket) != list.end();
  };
  if (pair->broken) return;
  try {
    if (has(readable, stream->From())) {
      if (pair->silent) {
        stream->Drop();
        return;
      }
      stream->Read(now, this->active.delay);
    }
    if (pair->silent) return;
    const bool direct = this->active.delay == std::chrono::milliseconds(0);
    if (direct || stream->Finished() || has(writable, stream->To())) {
      stream->Write(now);
    }
  } catch (const Poco::Exception&) {
    // A reset on one side is passed on to the other, unless it is silent.
    pair->broken = !pair->silent;
  }
}

void Relay::State::Accept() {
  try {
    StreamSocket client = this->listener.acceptConnection();
    if (this->pairs.size() >= this->max_connections) {
      Reset(client);
      return;
    }
    StreamSocket upstream;
    upstream.connectNB(this->target);
    upstream.setNoDelay(true);
    client.setNoDelay(true);
    client.setBlocking(false);
    upstream.setBlocking(false);
    this->pairs.emplace_back(client, upstream);
    const std::lock_guard lock(this->mutex);
    ++this->taken;
  } catch (const Poco::Exception&) {
    return;  // Either end was gone before the connection stood.
  }
}

Relay::Relay(std::uint16_t port, const std::string& target,
             std::size_t max_connections)
    : state(std::make_unique<State>(port, target, max_connections)) {}

Relay::~Relay() = default;

std::uint16_t Relay::Port() const { return this->state->port; }

std::string Relay::Address() const {
  return "127.0.0.1:" + std::to_string(this->Port());
}

void Relay::Set(const RelayFaults& faults) {
  std::unique_lock lock(this->state->mutex);
  this->state->wanted = faults;
  const std::int64_t order = ++this->state->orders;
  this->state->obeyed.wait(lock,
                           [&] { return this->state->orders_done >= order; });
}

RelayFaults Relay::Faults() const {
  const std::lock_guard lock(this->state->mutex);
  return this->state->wanted;
}

void Relay::SilenceOpen() {
  std::unique_lock lock(this->state->mutex);
  this->state->silence_wanted = true;
  const std::int64_t order = ++this->state->orders;
  this->state->obeyed.wait(lock,
                           [&] { return this->state->orders_done >= order; });
}

std::int64_t Relay::Taken() const {
  const std::lock_guard lock(this->state->mutex);
  return this->state->taken;
}

std::string Relay::Switch(const std::string& json) {
  RelayFaults faults = this->Faults();
  bool silence = false;
  try {
    Poco::JSON::Parser parser;
    const auto object = parser.parse(json).extract<Poco::JSON::Object::Ptr>();
    for (const std::string& name : object->getNames()) {
      const Poco::Dynamic::Var value = object->get(name);
      if (name == "cut") {
        faults.cut = value.extract<bool>();
      } else if (name == "freeze") {
        faults.freeze = value.extract<bool>();
      } else if (name == "silence_open") {
        silence = value.extract<bool>();
      } else if (name == "delay_ms") {
        faults.delay = std::chrono::milliseconds(value.convert<Poco::UInt32>());
      } else {
        return "unknown switch: " + name;
      }
    }
  } catch (const Poco::Exception& problem) {
    return problem.displayText();
  }
  this->Set(faults);
  if (silence) this->SilenceOpen();
  return {};
}

}  // namespace mustardproxy::standin
