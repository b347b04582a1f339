#include "switches.h"

#include <Poco/JSON/Object.h>

#include <chrono>

#include "json.h"

namespace mustardproxy::standin {
namespace {

bool TakeFlag(const Poco::Dynamic::Var& value, bool* flag) {
  if (!value.isBoolean()) return false;
  *flag = value.extract<bool>();
  return true;
}

bool TakeCount(const Poco::JSON::Object& object, const std::string& name,
               std::int64_t* count) {
  const auto value = NumberIn(object, name);
  if (!value) return false;
  *count = static_cast<std::int64_t>(*value);
  return true;
}

bool Take(const Poco::JSON::Object& object, const std::string& name,
          SwitchChange* change) {
  Switches* switches = &change->switches;
  const Poco::Dynamic::Var value = object.get(name);
  if (name == "fail_all") return TakeFlag(value, &switches->fail_all);
  if (name == "freeze") return TakeFlag(value, &switches->freeze);
  if (name == "silence_open") return TakeFlag(value, &change->silence_open);
  if (name == "leaving") return TakeFlag(value, &switches->leaving);
  if (name == "checks_epoch") return TakeFlag(value, &switches->checks_epoch);
  if (name == "cut_answers") {
    return TakeCount(object, name, &switches->cut_answers);
  }
  if (name == "cross_answers") {
    return TakeCount(object, name, &switches->cross_answers);
  }
  if (name != "late_answers_ms") return false;
  std::int64_t late = 0;
  if (!TakeCount(object, name, &late)) return false;
  switches->late_answers = std::chrono::milliseconds(late);
  return true;
}

}  // namespace

SwitchChange ReadSwitches(const Switches& now, const std::string& text) {
  SwitchChange change;
  change.switches = now;
  const auto object = ParseObject(text);
  if (!object) {
    change.problem = "not a JSON object";
    return change;
  }
  for (const std::string& name : object->getNames()) {
    if (Take(*object, name, &change)) continue;
    change.problem = "unknown switch or wrong value: " + name;
    return change;
  }
  return change;
}

}  // namespace mustardproxy::standin
