#include <cstdlib>
#include <cxxopts.hpp>
#include <exception>
#include <filesystem>
#include <iostream>
#include <string>

#include "soak/soak.h"

namespace {

constexpr int kUsageError = 2;

void Print(const soak::SoakOptions& options, const soak::SoakResult& result) {
  std::cout << "seed " << options.seed << ": " << result.jobs << " jobs, "
            << result.accepted << " accepted, " << result.refused
            << " refused, " << result.unknown << " unknown, " << result.runs
            << " runs, " << result.broken.size() << " promises broken"
            << std::endl;
  if (result.broken.empty()) return;
  for (const std::string& event : result.events) {
    std::cout << "  " << event << '\n';
  }
  for (const std::string& problem : result.broken) {
    std::cout << "  BROKEN " << problem << '\n';
  }
  std::cout << "  logs in " << result.folder << std::endl;
}

int Run(int argc, char** argv) {
  cxxopts::Options parser("soak", "Real processes under random faults");
  auto add = parser.add_options();
  add("seed", "first seed",
      cxxopts::value<std::uint64_t>()->default_value("1"));
  add("count", "seeds from there on",
      cxxopts::value<std::uint64_t>()->default_value("1"));
  add("processes", "processes of the product",
      cxxopts::value<std::size_t>()->default_value("3"));
  add("workers", "workers", cxxopts::value<std::size_t>()->default_value("8"));
  add("seconds", "how long jobs come and faults strike",
      cxxopts::value<std::int64_t>()->default_value("12"));
  add("job-pause", "milliseconds between two jobs",
      cxxopts::value<std::int64_t>()->default_value("120"));
  add("faults", "faults", cxxopts::value<std::int32_t>()->default_value("5"));
  add("crashing-tasks",
      "some tasks take their workers down; workers shrink and grow");
  add("reused-ids", "workers start again under their ids, many at once");
  add("keep", "keep the logs of runs in which nothing broke");
  add("help", "print this");
  const auto arguments = parser.parse(argc, argv);
  if (arguments.count("help") > 0) {
    std::cout << parser.help();
    return EXIT_SUCCESS;
  }
  soak::SoakOptions options;
  options.processes = arguments["processes"].as<std::size_t>();
  options.workers = arguments["workers"].as<std::size_t>();
  options.length =
      std::chrono::seconds(arguments["seconds"].as<std::int64_t>());
  options.job_pause =
      std::chrono::milliseconds(arguments["job-pause"].as<std::int64_t>());
  options.faults = arguments["faults"].as<std::int32_t>();
  options.crashing_tasks = arguments.count("crashing-tasks") > 0;
  options.reused_ids = arguments.count("reused-ids") > 0;
  const auto first = arguments["seed"].as<std::uint64_t>();
  const auto count = arguments["count"].as<std::uint64_t>();
  std::uint64_t red = 0;
  for (options.seed = first; options.seed < first + count; ++options.seed) {
    const soak::SoakResult result = soak::RunSoak(options);
    Print(options, result);
    if (!result.broken.empty()) {
      ++red;
    } else if (arguments.count("keep") == 0) {
      std::filesystem::remove_all(result.folder);
    }
  }
  std::cout << "soak: " << count << " seeds, " << red << " red\n";
  return red == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(argc, argv);
  } catch (const std::exception& failure) {
    std::cerr << "soak: " << failure.what() << '\n';
    return kUsageError;
  }
}
