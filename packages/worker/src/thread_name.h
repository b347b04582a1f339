#ifndef MUSTARDPROXY_WORKER_THREAD_NAME_H_
#define MUSTARDPROXY_WORKER_THREAD_NAME_H_

#include <string_view>

namespace mustardproxy::worker_detail {

/// Names the calling thread `worker-NAME` for tools that show processor time by
/// thread; else it bears the name of the thread that made it.
void NameThread(std::string_view name);

}  // namespace mustardproxy::worker_detail

#endif  // MUSTARDPROXY_WORKER_THREAD_NAME_H_
