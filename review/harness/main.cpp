// Plays one case: harness CASE RECORD. TROUBLE=0 leaves the disruption out.
// Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.

#include <cstdlib>
#include <exception>
#include <iostream>
#include <map>
#include <string>

#include "cases.hpp"

int main(int argc, char** argv) {
  using review::Verdict;
  using Play = Verdict (*)(const std::string&, bool);
  const std::map<std::string, Play> cases = {
      {"end-behind-cut", &review::EndBehindCut},
      {"flapping-machine", &review::FlappingMachine},
      {"cancelled-before-stored", &review::CancelledBeforeStored},
      {"restart-in-turn", &review::RestartInTurn},
  };
  const char* trouble = std::getenv("TROUBLE");
  const bool with = trouble == nullptr || std::string(trouble) != "0";
  try {
    const auto found = cases.find(argc > 1 ? argv[1] : "");
    if (argc > 2 && found != cases.end()) {
      return static_cast<int>(found->second(argv[2], with));
    }
    std::cerr << "usage: harness CASE RECORD\n";
  } catch (const std::exception& problem) {
    std::cerr << problem.what() << '\n';
  }
  return static_cast<int>(Verdict::kNotRun);
}
