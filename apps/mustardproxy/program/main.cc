#include <iostream>
#include <string>
#include <vector>

#include "program.h"

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv, argv + argc);
  return mustardproxy::RunProgram(arguments, std::cout, std::cerr);
}
