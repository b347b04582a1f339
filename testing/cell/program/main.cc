#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <pthread.h>

#include <algorithm>
#include <csignal>
#include <cxxopts.hpp>
#include <iostream>
#include <string>
#include <vector>

#include "cell/cell.h"
#include "load/figures.h"
#include "load/judge.h"
#include "load/load_run.h"

namespace {

constexpr int kFaulty = 1;
constexpr int kUsageError = 2;
constexpr std::size_t kMaxFaultsShown = 20;

using mustardproxy::cell::Cell;
using mustardproxy::cell::CellLayout;
using mustardproxy::load::EntryName;
using mustardproxy::load::Judgement;
using mustardproxy::load::LoadOptions;

cxxopts::Options Usage() {
  cxxopts::Options usage("cell", "Starts a cell and sends it a mixed load.");
  auto add = usage.add_options();
  add("serve", "print the addresses and stay until SIGTERM, without a load");
  add("data-centers", "data centres",
      cxxopts::value<std::int32_t>()->default_value("2"));
  add("entries", "entry processes in each data centre",
      cxxopts::value<std::int32_t>()->default_value("2"));
  add("workers", "workers in each data centre",
      cxxopts::value<std::int32_t>()->default_value("8"));
  add("rate", "requests a second",
      cxxopts::value<double>()->default_value("200"));
  add("seconds", "length of the load",
      cxxopts::value<double>()->default_value("5"));
  add("seed", "seed of all that is drawn",
      cxxopts::value<std::uint64_t>()->default_value("1"));
  add("help", "this text");
  return usage;
}

/// Blocks the signals that end the program, before any thread is made.
sigset_t BlockEndSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

CellLayout MakeLayout(const cxxopts::ParseResult& arguments) {
  CellLayout layout;
  layout.data_centers = arguments["data-centers"].as<std::int32_t>();
  layout.entries_per_data_center = arguments["entries"].as<std::int32_t>();
  layout.workers_per_data_center = arguments["workers"].as<std::int32_t>();
  return layout;
}

std::vector<std::string> Urls(const Cell& cell,
                              const std::vector<std::string>& names) {
  std::vector<std::string> urls;
  urls.reserve(names.size());
  for (const std::string& name : names) urls.push_back(cell.Url(name));
  return urls;
}

Poco::JSON::Array::Ptr ToArray(const std::vector<std::string>& texts) {
  Poco::JSON::Array::Ptr array = new Poco::JSON::Array;
  for (const std::string& text : texts) array->add(text);
  return array;
}

int Serve(Cell* cell, const sigset_t& signals) {
  Poco::JSON::Object line(Poco::JSON_PRESERVE_KEY_ORDER);
  line.set("entries", ToArray(Urls(*cell, cell->Entries())));
  line.set("platform", cell->Url("platform"));
  line.set("workers", ToArray(Urls(*cell, cell->Workers())));
  Poco::JSON::Object::Ptr pids = new Poco::JSON::Object;
  for (const Cell::NamedPid& process : cell->Pids()) {
    pids->set(process.name, process.pid);
  }
  line.set("pids", pids);
  line.stringify(std::cout);
  std::cout << std::endl;
  int signal = 0;
  sigwait(&signals, &signal);
  bool graceful = cell->StopEntries();
  cell->StopAll();
  return graceful ? 0 : kFaulty;
}

LoadOptions MakeLoad(const cxxopts::ParseResult& arguments, const Cell& cell) {
  LoadOptions options;
  options.entries = Urls(cell, cell.Entries());
  options.rate = arguments["rate"].as<double>();
  std::chrono::duration<double> length(arguments["seconds"].as<double>());
  options.length =
      std::chrono::duration_cast<std::chrono::milliseconds>(length);
  options.seed = arguments["seed"].as<std::uint64_t>();
  return options;
}

std::vector<EntryName> EntryNames(const Cell& cell) {
  std::vector<EntryName> names;
  for (const std::string& entry : cell.Entries()) {
    names.push_back({entry, cell.OperatorUrl(entry)});
  }
  return names;
}

void PrintFaults(const Judgement& judgement) {
  std::size_t shown = std::min(judgement.faults.size(), kMaxFaultsShown);
  for (std::size_t i = 0; i < shown; ++i) {
    std::cout << judgement.faults[i] << '\n';
  }
  if (shown < judgement.faults.size()) {
    std::cout << "and " << judgement.faults.size() - shown << " faults more\n";
  }
}

int Demo(Cell* cell, const LoadOptions& options) {
  using mustardproxy::load::ReadMetrics;
  std::vector<EntryName> entries = EntryNames(*cell);
  auto requests = mustardproxy::load::PlanLoad(options);
  auto before = ReadMetrics(entries);
  auto start = std::chrono::steady_clock::now();
  mustardproxy::load::SendLoad(options, &requests);
  std::chrono::duration<double> taken =
      std::chrono::steady_clock::now() - start;
  auto after = ReadMetrics(entries);
  mustardproxy::load::FollowDeferred(options, &requests);
  PrintFigures(before, after, taken.count(), &std::cout);
  PrintCallers(requests, &std::cout);
  bool graceful = cell->StopEntries();
  auto logs = mustardproxy::load::FetchLogs(Urls(*cell, cell->Workers()));
  cell->StopAll();
  Judgement judgement = mustardproxy::load::Judge(requests, logs);
  PrintFaults(judgement);
  if (!graceful) std::cout << "stop: " << cell->Trouble() << '\n';
  std::cout << "overcommitting starts that workers refused: "
            << judgement.overcommit_refused << '\n';
  std::cout << Summary("demo", judgement) << std::endl;
  return judgement.Clean() && graceful ? 0 : kFaulty;
}

int Run(int argc, char** argv) {
  cxxopts::Options usage = Usage();
  const cxxopts::ParseResult arguments = usage.parse(argc, argv);
  if (arguments.count("help") > 0) {
    std::cout << usage.help() << '\n';
    return 0;
  }
  bool serve = arguments.count("serve") > 0;
  // Without `--serve` a signal ends the program at once, and its processes with
  // it.
  const sigset_t signals = serve ? BlockEndSignals() : sigset_t{};
  Cell cell(MakeLayout(arguments));
  if (!cell.Start()) {
    std::cerr << "cell: " << cell.Trouble() << '\n';
    return kFaulty;
  }
  if (serve) return Serve(&cell, signals);
  return Demo(&cell, MakeLoad(arguments, cell));
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(argc, argv);
  } catch (const std::exception& problem) {
    std::cerr << "cell: " << problem.what() << '\n';
    return kUsageError;
  }
}
