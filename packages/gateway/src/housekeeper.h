#ifndef MUSTARDPROXY_GATEWAY_HOUSEKEEPER_H_
#define MUSTARDPROXY_GATEWAY_HOUSEKEEPER_H_

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace mustardproxy::gateway_detail {

/// Calls a function every few seconds on a thread of its own.
class Housekeeper {
 public:
  explicit Housekeeper(std::function<void()> work);
  ~Housekeeper();
  Housekeeper(const Housekeeper&) = delete;
  Housekeeper& operator=(const Housekeeper&) = delete;

 private:
  void Run();

  std::function<void()> work;
  std::mutex mutex;
  std::condition_variable changed;
  bool stopped = false;
  std::thread thread;
};

}  // namespace mustardproxy::gateway_detail

#endif  // MUSTARDPROXY_GATEWAY_HOUSEKEEPER_H_
