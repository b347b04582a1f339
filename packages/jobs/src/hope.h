#ifndef MUSTARDPROXY_JOBS_HOPE_H_
#define MUSTARDPROXY_JOBS_HOPE_H_

namespace mustardproxy::jobs {

/// What is left of a job's worth if its next step starts now. What is in time
/// goes before what is late, and that before what is worth nothing any more.
enum class Hope { kInTime, kLate, kNone };

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_HOPE_H_
