// Processes of the system on loopback addresses, and clients of them.
#ifndef REVIEW_CELL_HPP_
#define REVIEW_CELL_HPP_

#include <sys/types.h>

#include <memory>
#include <string>
#include <vector>

#include "record.hpp"
#include "store.hpp"
#include "worker.hpp"

namespace review {

/// One machine of the system: `mustardproxy cell`, as the deploy file runs it.
class Process {
 public:
  Process(std::string name, const std::string& folder,
          const std::string& store_address);
  ~Process();

  void Start();
  void Signal(int signal);
  [[nodiscard]] bool Ready() const;
  [[nodiscard]] const std::string& Callers() const { return this->callers; }
  [[nodiscard]] const std::string& Name() const { return this->name; }
  /// @return true if the last change of ownership that it logged names itself
  [[nodiscard]] bool Leads() const;

 private:
  std::string name;
  std::string folder;
  std::string callers;
  std::string readiness;
  pid_t child = 0;
};

/// A small deployment: the store, machines of the system, and workers.
class Cell {
 public:
  Cell(std::size_t processes, const std::vector<MachineOptions>& machines,
       const std::string& record_path);
  ~Cell();

  /// Starts the processes and waits until they are ready.
  bool Start();
  /// Sends a request to one process and notes it with its answer.
  Answer Call(std::size_t process, const std::string& method,
              const std::string& job, const std::string& body,
              int timeout_ms = 3000);
  /// @return the state that a GET shows, or the status if it shows none
  std::string StateOf(std::size_t process, const std::string& job);
  /// @return the machine that runs the task, or null
  Machine* Find(const std::string& task, double within_s);
  /// @return the process that leads, waiting for one
  std::size_t Leader();

  Record record;
  Store store;
  Runs runs;
  std::vector<std::unique_ptr<Machine>> machines;
  std::vector<std::unique_ptr<Process>> processes;

 private:
  std::string folder;
};

void Pause(double seconds);

}  // namespace review

#endif  // REVIEW_CELL_HPP_
