#include "node.h"

#include <algorithm>

namespace mustardproxy::fault_matrix {

void Node::Begin() {
  ++this->run;
  this->began = this->simulation->Now();
  this->alive = true;
  this->paused = false;
  this->OnStarted();
}

void Node::End() {
  this->alive = false;
  this->paused = false;
  this->backlog.clear();
  this->OnKilled();
  const auto dying = std::exchange(this->watchers, {});
  for (const auto& watcher : dying) {
    if (const auto call = watcher.lock()) {
      (*call)();
    }
  }
}

void Node::Receive(std::function<void()> what) {
  if (!this->alive) {
    return;
  }
  if (this->paused) {
    this->backlog.push_back(std::move(what));
    return;
  }
  what();
}

void Node::Pause(Duration lasting) {
  if (!this->alive) {
    return;
  }
  this->paused = true;
  this->paused_until =
      std::max(this->paused_until, this->simulation->Now() + lasting);
  this->simulation->At(this->paused_until, [this, paused_run = this->run] {
    this->Resume(paused_run);
  });
}

void Node::Resume(std::uint64_t paused_run) {
  const bool due = this->alive && this->paused && this->run == paused_run &&
                   this->simulation->Now() >= this->paused_until;
  if (!due) {
    return;
  }
  this->paused = false;
  this->OnResumed();
  while (!this->paused && this->alive && !this->backlog.empty()) {
    const std::function<void()> next = std::move(this->backlog.front());
    this->backlog.pop_front();
    next();
  }
}

void Node::Kill(Duration lasting) {
  if (!this->alive) {
    return;
  }
  this->End();
  this->simulation->After(lasting, [this] {
    if (!this->alive) {
      this->Begin();
    }
  });
}

}  // namespace mustardproxy::fault_matrix
