#include <cstdlib>
#include <cxxopts.hpp>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>
#include <variant>

#include "job_load/deployment.h"
#include "job_load/experiment.h"
#include "job_load/report.h"

namespace {

constexpr int kUsageError = 2;

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

void WriteLines(const std::string& path,
                const std::vector<std::string>& lines) {
  std::ofstream file(path);
  for (const std::string& line : lines) file << line << '\n';
}

int Run(int argc, char** argv) {
  cxxopts::Options parser("job_load",
                          "Plays a described deployment in virtual time and "
                          "reports what its callers get");
  parser.add_options()("deployment", "description, JSON with comments",
                       cxxopts::value<std::string>())(
      "seed", "in place of the description's", cxxopts::value<std::uint64_t>())(
      "plot", "file for an SVG picture", cxxopts::value<std::string>())(
      "log", "file for the structured log", cxxopts::value<std::string>())(
      "help", "print this");
  parser.parse_positional("deployment");
  parser.positional_help("DEPLOYMENT");
  const auto arguments = parser.parse(argc, argv);
  if (arguments.count("help") > 0 || arguments.count("deployment") == 0) {
    std::cout << parser.help();
    return arguments.count("help") > 0 ? EXIT_SUCCESS : kUsageError;
  }
  const auto path = arguments["deployment"].as<std::string>();
  auto parsed = job_load::ParseDeployment(ReadFile(path));
  if (const auto* problem = std::get_if<job_load::DeploymentProblem>(&parsed)) {
    std::cerr << path << ": " << problem->field << " " << problem->reason
              << '\n';
    return kUsageError;
  }
  auto& deployment = std::get<job_load::Deployment>(parsed);
  if (arguments.count("seed") > 0) {
    deployment.seed = arguments["seed"].as<std::uint64_t>();
  }
  const job_load::ExperimentResult result = job_load::RunExperiment(deployment);
  std::cout << job_load::FormatReport(deployment, result);
  if (arguments.count("plot") > 0) {
    std::ofstream(arguments["plot"].as<std::string>())
        << job_load::PlotReport(deployment, result);
  }
  if (arguments.count("log") > 0) {
    WriteLines(arguments["log"].as<std::string>(), result.log);
  }
  return result.broken.empty() ? EXIT_SUCCESS : EXIT_FAILURE;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(argc, argv);
  } catch (const std::exception& failure) {
    std::cerr << "job_load: " << failure.what() << '\n';
    return kUsageError;
  }
}
