#include <csignal>
#include <iostream>
#include <string>
#include <vector>

#include "run.h"

int main(int argc, char** argv) {
  // A write to a connection that the other end has reset would end the process
  // without a word; ignored, the call fails with an error instead.
  std::signal(SIGPIPE, SIG_IGN);
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  const mustardproxy::ctl::Console console{std::cout, std::cerr};
  return static_cast<int>(mustardproxy::ctl::Run(arguments, console));
}
