#include <cstdio>
#include <cxxopts.hpp>
#include <exception>
#include <string>
#include <vector>

#include "sections.h"

namespace mustardproxy::bench {
namespace {

struct Section {
  const char* name;
  void (*run)(const BenchOptions&);
};

constexpr Section kSections[] = {
    {"placement-cost", BenchPlacementCost},
    {"waiting-time", BenchWaitingTime},
    {"packing", BenchPacking},
    {"fairness", BenchFairness},
    {"gangs", BenchGangs},
    {"cancellations", BenchCancellations},
    {"failing-workers", BenchFailingWorkers},
    {"preemption", BenchPreemption},
    {"quotas", BenchQuotas},
    {"large-cell", BenchLargeCell},
    {"overload", BenchOverload},
};

int Run(int argc, char** argv) {
  cxxopts::Options parser("bench_decisions",
                          "Measures the decisions of the core in virtual time");
  parser.add_options()("seed", "seed of everything random",
                       cxxopts::value<std::uint64_t>()->default_value("1"))(
      "seeds", "runs with seeds from there on, where a spread is printed",
      cxxopts::value<std::int32_t>()->default_value("5"))(
      "seconds", "virtual seconds of each run",
      cxxopts::value<double>()->default_value("120"))(
      "section", "run only this section",
      cxxopts::value<std::string>()->default_value(""))("help", "print this");
  const auto arguments = parser.parse(argc, argv);
  if (arguments.count("help") > 0) {
    std::printf("%s", parser.help().c_str());
    return 0;
  }
  BenchOptions options;
  options.seed = arguments["seed"].as<std::uint64_t>();
  options.seconds = arguments["seconds"].as<double>();
  options.seeds = arguments["seeds"].as<std::int32_t>();
  const auto only = arguments["section"].as<std::string>();
  std::printf("seed %llu and %d that follow, %.0f virtual seconds a run\n",
              static_cast<unsigned long long>(options.seed), options.seeds - 1,
              options.seconds);
  std::setvbuf(stdout, nullptr, _IOLBF, BUFSIZ);
  for (const Section& section : kSections) {
    if (!only.empty() && only != section.name) continue;
    std::printf("\n== %s\n", section.name);
    section.run(options);
    std::fflush(stdout);
  }
  return 0;
}

}  // namespace
}  // namespace mustardproxy::bench

int main(int argc, char** argv) {
  try {
    return mustardproxy::bench::Run(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "bench_decisions: %s\n", error.what());
    return 2;
  }
}
