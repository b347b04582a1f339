#include <Poco/Exception.h>

#include <csignal>
#include <cstdint>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <string>

#include "standin/worker.h"

namespace {

constexpr int kUsageError = 2;

mustardproxy::standin::WorkerOptions ReadOptions(
    const cxxopts::ParseResult& arguments) {
  mustardproxy::standin::WorkerOptions options;
  options.id = arguments["id"].as<std::string>();
  options.port = arguments["port"].as<std::uint16_t>();
  options.capacity.cpu_milli = arguments["cpu-milli"].as<std::int64_t>();
  options.capacity.memory_mb = arguments["memory-mb"].as<std::int64_t>();
  options.capacity.accelerators = arguments["accelerators"].as<std::int64_t>();
  options.capacity.slots = arguments["slots"].as<std::int64_t>();
  options.connections = arguments["connections"].as<std::int32_t>();
  return options;
}

cxxopts::Options Usage() {
  cxxopts::Options usage("standin_worker", "A worker, for tests.");
  auto add = usage.add_options();
  add("id", "name", cxxopts::value<std::string>()->default_value("worker"));
  add("port", "port on 127.0.0.1, 0 for any",
      cxxopts::value<std::uint16_t>()->default_value("0"));
  add("cpu-milli", "thousandths of a processor",
      cxxopts::value<std::int64_t>()->default_value("4000"));
  add("memory-mb", "megabytes",
      cxxopts::value<std::int64_t>()->default_value("16000"));
  add("accelerators", "accelerators",
      cxxopts::value<std::int64_t>()->default_value("0"));
  add("slots", "tasks at once",
      cxxopts::value<std::int64_t>()->default_value("8"));
  add("connections", "connections at once",
      cxxopts::value<std::int32_t>()->default_value("64"));
  add("address-file", "file that ip:port is written to",
      cxxopts::value<std::string>()->default_value(""));
  add("help", "this text");
  return usage;
}

/// Returns at SIGTERM or SIGINT.
void WaitForSignal(const sigset_t& signals) {
  int signal = 0;
  sigwait(&signals, &signal);
}

int Run(int argc, char** argv) {
  cxxopts::Options usage = Usage();
  const cxxopts::ParseResult arguments = usage.parse(argc, argv);
  if (arguments.count("help") > 0) {
    std::cout << usage.help() << '\n';
    return 0;
  }
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigprocmask(SIG_BLOCK, &signals, nullptr);
  const mustardproxy::standin::StandinWorker worker(ReadOptions(arguments));
  const std::string file = arguments["address-file"].as<std::string>();
  if (!file.empty()) std::ofstream(file) << worker.Address() << '\n';
  std::cout << R"({"url": "http://)" << worker.Address() << R"("})"
            << std::endl;
  WaitForSignal(signals);
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(argc, argv);
  } catch (const cxxopts::exceptions::exception& problem) {
    std::cerr << "standin_worker: " << problem.what() << '\n';
  } catch (const Poco::Exception& problem) {
    std::cerr << "standin_worker: " << problem.displayText() << '\n';
  }
  return kUsageError;
}
