#ifndef MUSTARDPROXY_STANDIN_SWITCHES_H_
#define MUSTARDPROXY_STANDIN_SWITCHES_H_

#include <cstdint>
#include <string>

#include "mustardproxy/core/time.h"

namespace mustardproxy::standin {

/// Faults that a test turns on and off.
struct Switches {
  /// Every task ends at once as failed.
  bool fail_all = false;
  /// Nothing is read, run or answered until it is off again.
  bool freeze = false;
  /// Refuses new starts.
  bool leaving = false;
  /// This many attached answers stop half way through the body.
  std::int64_t cut_answers = 0;
  /// This many attached answers are those of another task.
  std::int64_t cross_answers = 0;
  /// Attached answers wait this long after the task's end.
  Duration late_answers{0};
  /// Off: any epoch is taken.
  bool checks_epoch = true;
};

/// What a `POST /switch` asked for.
struct SwitchChange {
  Switches switches;
  /// Connections open now go silent for good.
  bool silence_open = false;
  /// Set if a name or a value was not understood; nothing is changed then.
  std::string problem;
};

/// @return `now` with the members of the JSON object `text` taken over
SwitchChange ReadSwitches(const Switches& now, const std::string& text);

}  // namespace mustardproxy::standin

#endif  // MUSTARDPROXY_STANDIN_SWITCHES_H_
