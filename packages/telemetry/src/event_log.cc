#include "mustardproxy/telemetry/event_log.h"

#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

namespace mustardproxy {
namespace {

using std::chrono::system_clock;

/// Longest time that a line waits for more, so that many leave in one write.
constexpr std::chrono::milliseconds kFlushInterval(100);
/// Text that is written out before the interval ends.
constexpr std::size_t kFlushBytes = 65'536;
/// Written at once: what a pipe takes whole.
constexpr std::size_t kWriteBytes = 4096;
/// Longest time that the last lines may take at the end of the process.
constexpr std::chrono::seconds kLastFlush(1);
constexpr std::int64_t kMicrosPerSecond = 1'000'000;

std::string FormatTime(system_clock::time_point moment) {
  const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(
                          moment.time_since_epoch())
                          .count();
  const std::time_t seconds = micros / kMicrosPerSecond;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 40> text{};
  const std::size_t length =
      std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::snprintf(text.data() + length, text.size() - length, ".%06dZ",
                static_cast<int>(micros % kMicrosPerSecond));
  return text.data();
}

/// @return the text as a JSON string; bytes that are not UTF-8 are replaced
std::string Quote(std::string_view text) {
  constexpr int kCompact = -1;
  return nlohmann::json(text).dump(kCompact, ' ', false,
                                   nlohmann::json::error_handler_t::replace);
}

void Append(std::string* line, const LogField& field) {
  *line += ",\"";
  *line += field.key;
  *line += "\":";
  if (const auto* text = std::get_if<std::string_view>(&field.value)) {
    *line += Quote(*text);
  } else if (const auto* number = std::get_if<std::int64_t>(&field.value)) {
    *line += std::to_string(*number);
  } else {
    *line += nlohmann::json(std::get<double>(field.value)).dump();
  }
}

/// Writes all, or as much as `until` allows.
void WriteOut(int descriptor, std::string_view text,
              std::chrono::steady_clock::time_point until) {
  while (!text.empty()) {
    // Readers that take a line at a time lose what comes beyond their buffer.
    const std::size_t piece = std::min(text.size(), kWriteBytes);
    const ssize_t written = ::write(descriptor, text.data(), piece);
    if (written > 0) {
      text.remove_prefix(static_cast<std::size_t>(written));
      continue;
    }
    // A reader that is gone for good: there is nobody left to tell.
    if (errno != EINTR && errno != EAGAIN) return;
    if (std::chrono::steady_clock::now() >= until) return;
    pollfd ready{.fd = descriptor, .events = POLLOUT, .revents = 0};
    ::poll(&ready, 1, static_cast<int>(kFlushInterval.count()));
  }
}

}  // namespace

struct StdoutEventLog::State {
  explicit State(Options given) : options(std::move(given)) {}

  void Run();
  /// @return false if this second's lines are used up
  bool Admit(system_clock::time_point now);
  void NoteDropped();
  std::string Prefix(system_clock::time_point now, std::string_view part,
                     std::string_view event) const;

  const Options options;
  std::mutex mutex;
  std::condition_variable changed;
  std::string buffer;
  std::int64_t dropped = 0;
  std::int64_t second = 0;
  std::int32_t lines_in_second = 0;
  /// Text has been taken out of the buffer and is being written.
  bool writing = false;
  std::condition_variable flushed;
  bool stopping = false;
  std::thread thread;
};

StdoutEventLog::StdoutEventLog(Options options)
    : state(std::make_unique<State>(std::move(options))) {
  this->state->thread = std::thread([this] { this->state->Run(); });
}

StdoutEventLog::~StdoutEventLog() {
  {
    const std::lock_guard lock(this->state->mutex);
    this->state->stopping = true;
    this->state->changed.notify_one();
  }
  this->state->thread.join();
}

bool StdoutEventLog::State::Admit(system_clock::time_point now) {
  const std::int64_t present = system_clock::to_time_t(now);
  if (present != this->second) {
    this->second = present;
    this->lines_in_second = 0;
  }
  const bool fits = this->buffer.size() < this->options.max_buffered_bytes;
  return fits && this->lines_in_second++ < this->options.max_lines_per_second;
}

std::string StdoutEventLog::State::Prefix(system_clock::time_point now,
                                          std::string_view part,
                                          std::string_view event) const {
  std::string line = "{\"time\":\"" + FormatTime(now) + "\",\"process\":";
  line += Quote(this->options.process);
  line += ",\"part\":\"";
  line += part;
  line += "\",\"event\":\"";
  line += event;
  line += '"';
  return line;
}

void StdoutEventLog::State::NoteDropped() {
  if (this->dropped == 0) return;
  this->buffer += this->Prefix(system_clock::now(), "log", "log-dropped");
  this->buffer += ",\"lines\":" + std::to_string(this->dropped) + "}\n";
  this->dropped = 0;
}

void StdoutEventLog::Write(std::string_view part, std::string_view event,
                           std::initializer_list<LogField> fields) {
  State& log = *this->state;
  const auto now = system_clock::now();
  std::string line = log.Prefix(now, part, event);
  for (const LogField& field : fields) Append(&line, field);
  line += "}\n";
  const std::lock_guard lock(log.mutex);
  if (!log.Admit(now)) {
    ++log.dropped;
    return;
  }
  const bool wake = log.buffer.empty() || log.buffer.size() >= kFlushBytes;
  log.buffer += line;
  if (wake) log.changed.notify_one();
}

void StdoutEventLog::Flush() {
  std::unique_lock lock(this->state->mutex);
  this->state->flushed.wait_for(lock, kLastFlush, [this] {
    return this->state->buffer.empty() && !this->state->writing;
  });
}

void StdoutEventLog::State::Run() {
  std::unique_lock lock(this->mutex);
  while (true) {
    this->changed.wait(
        lock, [this] { return this->stopping || !this->buffer.empty(); });
    if (!this->stopping) {
      this->changed.wait_for(lock, kFlushInterval, [this] {
        return this->stopping || this->buffer.size() >= kFlushBytes;
      });
    }
    this->NoteDropped();
    const std::string text = std::exchange(this->buffer, {});
    const bool last = this->stopping;
    this->writing = true;
    lock.unlock();
    const auto forever = std::chrono::steady_clock::time_point::max();
    WriteOut(this->options.descriptor, text,
             last ? std::chrono::steady_clock::now() + kLastFlush : forever);
    lock.lock();
    this->writing = false;
    this->flushed.notify_all();
    if (last) return;
  }
}

}  // namespace mustardproxy
