#include "thread_name.h"

#include <pthread.h>

#include <algorithm>
#include <string>

namespace mustardproxy::worker_detail {
namespace {

/// The system refuses longer ones.
constexpr std::size_t kMaxName = 15;

}  // namespace

void NameThread(std::string_view name) {
  std::string full = "worker-";
  full += name;
  full.resize(std::min(full.size(), kMaxName));
  pthread_setname_np(pthread_self(), full.c_str());
}

}  // namespace mustardproxy::worker_detail
