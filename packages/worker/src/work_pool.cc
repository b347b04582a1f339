#include "work_pool.h"

#include <Poco/Exception.h>

#include <chrono>
#include <utility>

#include "thread_name.h"

namespace mustardproxy::worker_detail {
namespace {

constexpr int kStackBytes = 256 * 1024;
constexpr std::chrono::seconds kIdleTime{5};

void JoinAll(std::list<std::unique_ptr<Poco::Thread>>* threads) {
  for (const auto& thread : *threads) thread->join();
}

}  // namespace

WorkPool::WorkPool(std::string name, std::int32_t max_threads,
                   std::size_t max_queued)
    : name(std::move(name)), max_threads(max_threads), max_queued(max_queued) {}

WorkPool::~WorkPool() { this->Stop(); }

bool WorkPool::Submit(Job job) {
  Threads finished;
  {
    const std::lock_guard lock(this->mutex);
    if (this->stopping || this->queue.size() >= this->max_queued) return false;
    this->queue.push_back(std::move(job));
    this->Add(&finished);
    if (this->threads.empty()) {
      this->queue.pop_back();
      return false;
    }
  }
  this->changed.notify_one();
  JoinAll(&finished);
  return true;
}

void WorkPool::SubmitFirst(Job job) {
  Threads finished;
  Job run_here;
  {
    const std::lock_guard lock(this->mutex);
    this->first.push_back(std::move(job));
    this->Add(&finished);
    if (this->threads.empty()) {
      run_here = std::move(this->first.back());
      this->first.pop_back();
    }
  }
  if (run_here) run_here();
  this->changed.notify_one();
  JoinAll(&finished);
}

void WorkPool::Add(Threads* finished) {
  *finished = std::move(this->ended);
  this->ended.clear();
  const std::size_t waiting = this->first.size() + this->queue.size();
  if (static_cast<std::size_t>(this->idle) >= waiting) return;
  if (this->threads.size() >= static_cast<std::size_t>(this->max_threads)) {
    return;
  }
  auto thread = std::make_unique<Poco::Thread>(this->name);
  thread->setStackSize(kStackBytes);
  Poco::Thread* made = thread.get();
  this->threads.push_back(std::move(thread));
  const auto self = std::prev(this->threads.end());
  try {
    made->startFunc([this, self] { this->Run(self); });
  } catch (const Poco::Exception&) {
    // No thread can be made now: the job waits for one that is there.
    this->threads.erase(self);
  }
}

bool WorkPool::Next(std::unique_lock<std::mutex>* lock, Job* job) {
  const auto has_work = [this] {
    return this->stopping || !this->first.empty() || !this->queue.empty();
  };
  ++this->idle;
  this->changed.wait_for(*lock, kIdleTime, has_work);
  --this->idle;
  std::deque<Job>& from = this->first.empty() ? this->queue : this->first;
  if (from.empty()) return false;
  *job = std::move(from.front());
  from.pop_front();
  return true;
}

void WorkPool::Run(Threads::iterator self) {
  NameThread(this->name);
  std::unique_lock lock(this->mutex);
  Job job;
  while (this->Next(&lock, &job)) {
    lock.unlock();
    job();
    job = nullptr;
    lock.lock();
  }
  this->ended.splice(this->ended.end(), this->threads, self);
  this->changed.notify_all();
}

void WorkPool::Stop() {
  Threads finished;
  {
    std::unique_lock lock(this->mutex);
    this->stopping = true;
    this->changed.notify_all();
    this->changed.wait(lock, [this] { return this->threads.empty(); });
    finished = std::move(this->ended);
    this->ended.clear();
  }
  JoinAll(&finished);
}

}  // namespace mustardproxy::worker_detail
