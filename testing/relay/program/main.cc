#include <Poco/Exception.h>

#include <csignal>
#include <cstdint>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <string>

#include "standin/relay.h"

namespace {

constexpr int kUsageError = 2;

cxxopts::Options Usage() {
  cxxopts::Options usage("relay", "A TCP relay that does harm, for tests.");
  auto add = usage.add_options();
  add("listen", "port on 127.0.0.1, 0 for any",
      cxxopts::value<std::uint16_t>()->default_value("0"));
  add("to", "ip:port to pass connections on to", cxxopts::value<std::string>());
  add("control", "port of POST /switch, 0 for any",
      cxxopts::value<std::uint16_t>()->default_value("0"));
  add("address-file", "file that ip:port is written to",
      cxxopts::value<std::string>()->default_value(""));
  add("help", "this text");
  return usage;
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
  mustardproxy::standin::Relay relay(arguments["listen"].as<std::uint16_t>(),
                                     arguments["to"].as<std::string>());
  const mustardproxy::standin::RelayControl control(
      arguments["control"].as<std::uint16_t>(), &relay);
  const std::string file = arguments["address-file"].as<std::string>();
  if (!file.empty()) std::ofstream(file) << relay.Address() << '\n';
  std::cout << R"({"url": "http://)" << relay.Address()
            << R"(", "control": "http://127.0.0.1:)" << control.Port()
            << R"("})" << std::endl;
  int signal = 0;
  sigwait(&signals, &signal);
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(argc, argv);
  } catch (const cxxopts::exceptions::exception& problem) {
    std::cerr << "relay: " << problem.what() << '\n';
  } catch (const Poco::Exception& problem) {
    std::cerr << "relay: " << problem.displayText() << '\n';
  }
  return kUsageError;
}
