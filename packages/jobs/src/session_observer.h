#ifndef MUSTARDPROXY_JOBS_SESSION_OBSERVER_H_
#define MUSTARDPROXY_JOBS_SESSION_OBSERVER_H_

#include <cstdint>
#include <utility>
#include <vector>

namespace mustardproxy::jobs {

/// Number of a session, counted from 0 within one ownership. Indexes vectors
/// with data for each worker.
using SessionNumber = std::uint32_t;

/// Is told when something changes that decides whether and how many tasks a
/// worker takes.
class SessionObserver {
 public:
  SessionObserver() = default;
  SessionObserver(const SessionObserver&) = delete;
  SessionObserver& operator=(const SessionObserver&) = delete;
  virtual ~SessionObserver() = default;

  virtual void OnChange(SessionNumber session) = 0;
};

/// A flag of a session whose changes are reported to the observer of the
/// session.
class ObservedFlag {
 public:
  ObservedFlag(bool value, const SessionNumber* session,
               SessionObserver* const* observer)
      : value(value), session(session), observer(observer) {}
  ObservedFlag(const ObservedFlag&) = default;
  ObservedFlag& operator=(const ObservedFlag& other) {
    if (this != &other) *this = other.value;
    return *this;
  }
  ~ObservedFlag() = default;

  ObservedFlag& operator=(bool changed) {
    const bool same = std::exchange(this->value, changed) == changed;
    if (!same && *this->observer != nullptr) {
      (*this->observer)->OnChange(*this->session);
    }
    return *this;
  }
  operator bool() const { return this->value; }  // NOLINT: reads as a bool

 private:
  bool value;
  const SessionNumber* session;
  SessionObserver* const* observer;
};

/// Sessions that have changed, each once, for one reader.
class ChangedSessions {
 public:
  void Note(SessionNumber session) {
    if (session >= this->noted.size()) this->noted.resize(session + 1, false);
    if (this->noted[session]) return;
    this->noted[session] = true;
    this->sessions.push_back(session);
  }
  /// @return the sessions noted since the last call
  std::vector<SessionNumber> Take() {
    for (const SessionNumber session : this->sessions) {
      this->noted[session] = false;
    }
    return std::exchange(this->sessions, {});
  }

 private:
  std::vector<bool> noted;
  std::vector<SessionNumber> sessions;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_SESSION_OBSERVER_H_
