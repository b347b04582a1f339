#include "job_pool.h"

#include <utility>

#include "mustardproxy/telemetry/clock.h"

namespace mustardproxy::platform_detail {

JobPool::JobPool(JobPoolOptions options) : options(std::move(options)) {}

JobPool::~JobPool() { this->Stop(); }

void JobPool::Start() {
  for (std::size_t i = 0; i < this->options.threads; ++i) {
    auto client = std::make_unique<KeyValueClient>(this->options.url,
                                                   this->options.timeout);
    client->Observe(this->options.observer);
    KeyValueClient* own = client.get();
    this->threads.push_back(
        {std::move(client), std::thread([this, own] { this->Run(own); })});
  }
}

void JobPool::Stop() {
  {
    const std::lock_guard lock(this->mutex);
    this->stopped = true;
  }
  this->changed.notify_all();
  for (Thread& each : this->threads) {
    each.client->Abort();
  }
  for (Thread& each : this->threads) {
    each.thread.join();
  }
  this->threads.clear();
}

bool JobPool::Add(Job job) {
  const std::lock_guard lock(this->mutex);
  const std::size_t waiting = this->ready.size() + this->delayed.size();
  if (this->stopped || waiting >= this->options.max_jobs) {
    return false;
  }
  this->ready.push_back(std::move(job));
  this->changed.notify_one();
  return true;
}

void JobPool::Run(KeyValueClient* client) {
  while (std::optional<Job> job = this->Next()) {
    const std::optional<Duration> pause = (*job)(client);
    if (pause) {
      const std::lock_guard lock(this->mutex);
      this->delayed.emplace(SteadyNow() + *pause, std::move(*job));
      this->changed.notify_one();
    }
  }
}

std::optional<Job> JobPool::Next() {
  std::unique_lock lock(this->mutex);
  while (!this->stopped) {
    const Instant now = SteadyNow();
    this->MoveDueJobs(now);
    if (!this->ready.empty()) {
      Job job = std::move(this->ready.front());
      this->ready.pop_front();
      return job;
    }
    if (this->delayed.empty()) {
      this->changed.wait(lock);
    } else {
      this->changed.wait_for(lock, this->delayed.begin()->first - now);
    }
  }
  return std::nullopt;
}

void JobPool::MoveDueJobs(Instant now) {
  while (!this->delayed.empty() && this->delayed.begin()->first <= now) {
    this->ready.push_back(std::move(this->delayed.begin()->second));
    this->delayed.erase(this->delayed.begin());
  }
}

}  // namespace mustardproxy::platform_detail
