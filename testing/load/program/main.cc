#include <cxxopts.hpp>
#include <iostream>
#include <string>
#include <vector>

#include "load/judge.h"
#include "load/load_run.h"

namespace {

constexpr int kFaulty = 1;
constexpr int kUsageError = 2;

using mustardproxy::load::LoadOptions;

cxxopts::Options Usage() {
  cxxopts::Options usage("load", "Sends a mixed load to a cell and judges it.");
  auto add = usage.add_options();
  add("entries", "callers' urls of the entry processes, with commas",
      cxxopts::value<std::vector<std::string>>());
  add("workers", "urls of the worker stand-ins, with commas",
      cxxopts::value<std::vector<std::string>>());
  add("rate", "requests a second",
      cxxopts::value<double>()->default_value("200"));
  add("seconds", "length of the load",
      cxxopts::value<double>()->default_value("5"));
  add("seed", "seed of all that is drawn",
      cxxopts::value<std::uint64_t>()->default_value("1"));
  add("help", "this text");
  return usage;
}

LoadOptions ReadOptions(const cxxopts::ParseResult& arguments) {
  LoadOptions options;
  options.entries = arguments["entries"].as<std::vector<std::string>>();
  options.rate = arguments["rate"].as<double>();
  std::chrono::duration<double> length(arguments["seconds"].as<double>());
  options.length =
      std::chrono::duration_cast<std::chrono::milliseconds>(length);
  options.seed = arguments["seed"].as<std::uint64_t>();
  return options;
}

int Run(int argc, char** argv) {
  cxxopts::Options usage = Usage();
  const cxxopts::ParseResult arguments = usage.parse(argc, argv);
  if (arguments.count("help") > 0) {
    std::cout << usage.help() << '\n';
    return 0;
  }
  LoadOptions options = ReadOptions(arguments);
  auto workers = arguments["workers"].as<std::vector<std::string>>();
  auto requests = mustardproxy::load::PlanLoad(options);
  mustardproxy::load::SendLoad(options, &requests);
  mustardproxy::load::FollowDeferred(options, &requests);
  auto judgement = mustardproxy::load::Judge(
      requests, mustardproxy::load::FetchLogs(workers));
  for (const std::string& fault : judgement.faults) std::cout << fault << '\n';
  std::cout << Summary("load", judgement) << '\n';
  return judgement.Clean() ? 0 : kFaulty;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(argc, argv);
  } catch (const std::exception& problem) {
    std::cerr << "load: " << problem.what() << '\n';
    return kUsageError;
  }
}
