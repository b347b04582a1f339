#include <Poco/Exception.h>
#include <pthread.h>

#include <csignal>
#include <cstdint>
#include <cxxopts.hpp>
#include <exception>
#include <fstream>
#include <iostream>
#include <string>

#include "standin/standin_platform.h"

namespace {

/// Blocks the signals that end the program; to be called before any thread is
/// made, so that `WaitForEnd` alone receives them.
sigset_t BlockEndSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

void WaitForEnd(const sigset_t& signals) {
  int received = 0;
  sigwait(&signals, &received);
}

int Serve(std::uint16_t port, const std::string& address_file) {
  const sigset_t signals = BlockEndSignals();
  const mustardproxy::standin::StandinPlatform platform(port);
  const std::string line = R"({"url": ")" + platform.Url() + "\"}";
  if (!address_file.empty()) {
    std::ofstream(address_file) << line << '\n';
  }
  std::cout << line << std::endl;
  WaitForEnd(signals);
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  constexpr int kUsageError = 2;
  cxxopts::Options options("standin_platform",
                           "Stand-in of the platform, for tests only.");
  options.add_options()("port", "port to listen on, 0 for any",
                        cxxopts::value<std::uint16_t>()->default_value("0"))(
      "address-file", "file that the address is written to as well",
      cxxopts::value<std::string>()->default_value(""))("help", "shows this");
  try {
    const cxxopts::ParseResult arguments = options.parse(argc, argv);
    if (arguments.count("help") != 0) {
      std::cout << options.help();
      return 0;
    }
    return Serve(arguments["port"].as<std::uint16_t>(),
                 arguments["address-file"].as<std::string>());
  } catch (const Poco::Exception& error) {
    std::cerr << error.displayText() << '\n';
    return 1;
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return kUsageError;
  }
}
