#include "operator.h"

#include <fstream>
#include <iterator>
#include <stdexcept>

namespace mustardproxy::process_faults {

std::string WithUrgentWait(int milliseconds) {
  std::string text = cell::DefaultConfiguration();
  const std::string old = R"("urgent": {"max_wait_ms": 2000)";
  std::size_t at = text.find(old);
  if (at == std::string::npos) throw std::logic_error("no urgent profile");
  return text.replace(
      at, old.size(),
      R"("urgent": {"max_wait_ms": )" + std::to_string(milliseconds));
}

Operator::Operator(const Cell& cell, const std::string& name,
                   int urgent_wait_ms, const std::vector<std::string>& options)
    : output(cell.Folder() + "/" + name + ".out") {
  std::string file = cell.Folder() + "/" + name + ".jsonc";
  std::ofstream(file) << WithUrgentWait(urgent_wait_ms);
  std::vector<std::string> command = {
      MUSTARDCTL_PROGRAM, "--platform", cell.Url("platform"),
      "profile",          "apply",      file};
  command.insert(command.end(), options.begin(), options.end());
  this->process = std::make_unique<cell::ChildProcess>(command, this->output);
}

int Operator::Exit() {
  auto end = this->process->Wait(cell::kPatience);
  return end ? end->exit_code : -1;
}

std::string Operator::Output() const {
  std::ifstream file(this->output);
  return {std::istreambuf_iterator<char>(file),
          std::istreambuf_iterator<char>()};
}

std::int64_t VersionAt(const Cell& cell, const std::string& entry) {
  return StatusNumber(cell, entry, "configuration_version");
}

}  // namespace mustardproxy::process_faults
