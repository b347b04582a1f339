#include "mustardproxy/telemetry/log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loglevel.h>

#include <atomic>
#include <iostream>
#include <log4cplus/config.hxx>
#include <memory>
#include <mutex>

#include "escape.h"

namespace mustardproxy {
namespace {

std::atomic<bool> started = false;

std::string_view Prefix(Part part) {
  switch (part) {
    case Part::kControl:
      return "control: ";
    case Part::kGateway:
      return "gateway: ";
    case Part::kPeer:
      return "peer: ";
    case Part::kPlatform:
      return "platform: ";
    case Part::kWorker:
      return "worker: ";
    case Part::kTimeline:
      return "timeline: ";
  }
  return "unknown: ";
}

log4cplus::LogLevel ToLogLevel(Level level) {
  switch (level) {
    case Level::kTrace:
      return log4cplus::TRACE_LOG_LEVEL;
    case Level::kDebug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case Level::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case Level::kWarn:
      return log4cplus::WARN_LOG_LEVEL;
    case Level::kError:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

log4cplus::LogLevel ParseLevel(std::string_view name) {
  if (name == "trace") return log4cplus::TRACE_LOG_LEVEL;
  if (name == "debug") return log4cplus::DEBUG_LOG_LEVEL;
  if (name == "warn") return log4cplus::WARN_LOG_LEVEL;
  if (name == "error") return log4cplus::ERROR_LOG_LEVEL;
  return log4cplus::INFO_LOG_LEVEL;
}

/// The process name as a literal part of a log4cplus pattern.
std::string PatternLiteral(std::string_view text) {
  std::string out;
  for (const char c : telemetry_detail::EscapeControls(text)) {
    if (c == '%') out += '%';
    out += c;
  }
  return out;
}

std::unique_ptr<log4cplus::Layout> MakeLayout(std::string_view process) {
  const std::string pattern =
      "%d{%Y-%m-%dT%H:%M:%S.%qZ} " + PatternLiteral(process) + " %-5p %m%n";
  return std::make_unique<log4cplus::PatternLayout>(pattern);
}

/// The root logger, looked up once: a look-up takes a lock of the library.
log4cplus::Logger& Root() {
  static auto* const root =
      new log4cplus::Logger(log4cplus::Logger::getRoot());  // never destroyed
  return *root;
}

std::string Record(Part part, std::string_view sentence) {
  std::string record(Prefix(part));
  record += telemetry_detail::EscapeControls(sentence);
  return record;
}

}  // namespace

void StartLog(std::string_view level, std::string_view process) {
  static std::mutex mutex;
  const std::lock_guard lock(mutex);
  // Without a counterpart: a line written late in the exit must not be lost.
  log4cplus::initialize();
  // The library's pool serves appenders of another thread, which are not used.
  log4cplus::setThreadPoolSize(1);
  log4cplus::SharedAppenderPtr appender(
      new log4cplus::ConsoleAppender(/*logToStdErr=*/true,
                                     /*immediateFlush=*/true));
  appender->setLayout(MakeLayout(process));
  log4cplus::Logger& root = Root();
  root.removeAllAppenders();
  root.addAppender(appender);
  root.setLogLevel(ParseLevel(level));
  started = true;
}

void Log(Part part, Level level, std::string_view sentence) {
  if (!started) {
    if (level == Level::kError) std::cerr << Record(part, sentence) + "\n";
    return;
  }
  const log4cplus::LogLevel log_level = ToLogLevel(level);
  if (!Root().isEnabledFor(log_level)) return;
  Root().forcedLog(log_level, Record(part, sentence));
}

}  // namespace mustardproxy
