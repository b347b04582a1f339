#include "switch_json.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

namespace mustardproxy::standin {
namespace {

constexpr std::int64_t kAll = -1;

std::int64_t ToCount(const Poco::Dynamic::Var& value) {
  if (!value.isInteger() || value.convert<std::int64_t>() < 0) {
    throw Poco::DataFormatException("a number from 0 is needed");
  }
  return value.convert<std::int64_t>();
}

bool ToBool(const Poco::Dynamic::Var& value) {
  if (!value.isBoolean()) {
    throw Poco::DataFormatException("true or false is needed");
  }
  return value.convert<bool>();
}

std::int64_t ToLosses(const Poco::Dynamic::Var& value) {
  if (value.isBoolean()) {
    return value.convert<bool>() ? kAll : 0;
  }
  return ToCount(value);
}

void Set(const std::string& name, const Poco::Dynamic::Var& value,
         PlatformSwitches* switches) {
  if (name == "down") {
    switches->down = ToBool(value);
  } else if (name == "delay_ms") {
    switches->delay_ms = ToCount(value);
  } else if (name == "lose_replies") {
    switches->lose_replies = ToLosses(value);
  } else if (name == "writes_per_second") {
    switches->writes_per_second = ToCount(value);
  } else if (name == "reads_per_second") {
    switches->reads_per_second = ToCount(value);
  } else if (name == "host_list_lag_ms") {
    switches->host_list_lag_ms = ToCount(value);
  } else {
    throw Poco::DataFormatException("no such switch: " + name);
  }
}

}  // namespace

SwitchReading ReadSwitches(const std::string& json, PlatformSwitches present) {
  SwitchReading reading{present, ""};
  try {
    Poco::JSON::Parser parser;
    const auto object = parser.parse(json).extract<Poco::JSON::Object::Ptr>();
    for (const auto& [name, value] : *object) {
      Set(name, value, &reading.switches);
    }
  } catch (const Poco::Exception& error) {
    reading.problem = error.displayText();
  }
  return reading;
}

}  // namespace mustardproxy::standin
