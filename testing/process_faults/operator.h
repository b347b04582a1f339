#ifndef MUSTARDPROXY_PROCESS_FAULTS_OPERATOR_H_
#define MUSTARDPROXY_PROCESS_FAULTS_OPERATOR_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "fixture.h"

namespace mustardproxy::process_faults {

/// @return the default configuration with another limit on urgent waits
[[nodiscard]] std::string WithUrgentWait(int milliseconds);

/// An operator who runs `mustardctl profile apply`.
class Operator {
 public:
  Operator(const Cell& cell, const std::string& name, int urgent_wait_ms,
           const std::vector<std::string>& options);

  /// @return its exit code, or -1
  [[nodiscard]] int Exit();
  [[nodiscard]] std::string Output() const;

 private:
  std::string output;
  std::unique_ptr<cell::ChildProcess> process;
};

/// @return the version of the configuration in force at an entry process, or -1
[[nodiscard]] std::int64_t VersionAt(const Cell& cell,
                                     const std::string& entry);

}  // namespace mustardproxy::process_faults

#endif  // MUSTARDPROXY_PROCESS_FAULTS_OPERATOR_H_
