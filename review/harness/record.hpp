// What was sent, answered and run, with the time since the start.
#ifndef REVIEW_RECORD_HPP_
#define REVIEW_RECORD_HPP_

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

class Record {
 public:
  explicit Record(const std::string& path)
      : out(path), begun(std::chrono::steady_clock::now()) {}

  void Note(const std::string& line) {
    const std::lock_guard lock(this->mutex);
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f ", this->Seconds());
    this->out << time << line << std::endl;
  }

  /// @return seconds since the start
  [[nodiscard]] double Seconds() const {
    return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                         this->begun)
        .count();
  }

 private:
  std::ofstream out;
  std::chrono::steady_clock::time_point begun;
  std::mutex mutex;
};

}  // namespace review

#endif  // REVIEW_RECORD_HPP_
