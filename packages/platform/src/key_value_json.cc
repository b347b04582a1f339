#include "key_value_json.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <iterator>
#include <sstream>
#include <utility>

#include "mustardproxy/core/error.h"

namespace mustardproxy::platform_detail {
namespace {

std::string DecodeBase64(const std::string& text) {
  std::istringstream in(text);
  Poco::Base64Decoder decoder(in);
  return {std::istreambuf_iterator<char>(decoder),
          std::istreambuf_iterator<char>()};
}

Poco::JSON::Array::Ptr ParseArray(const std::string& json) {
  Poco::JSON::Parser parser;
  return parser.parse(json).extract<Poco::JSON::Array::Ptr>();
}

Poco::JSON::Object::Ptr ObjectAt(const Poco::JSON::Array& array,
                                 std::size_t position) {
  auto object = array.getObject(static_cast<unsigned int>(position));
  if (!object) {
    throw Poco::DataFormatException("not an object");
  }
  return object;
}

KeyValue ToKeyValue(const Poco::JSON::Object& object) {
  KeyValue value;
  value.key = object.getValue<std::string>("Key");
  value.modify_index = object.getValue<Poco::UInt64>("ModifyIndex");
  // An empty value is shown as null.
  if (!object.isNull("Value")) {
    value.value = DecodeBase64(object.getValue<std::string>("Value"));
  }
  return value;
}

WorkerDescription ToWorker(const Poco::JSON::Object& object) {
  WorkerDescription worker;
  worker.id = WorkerId(object.getValue<std::string>("id"));
  worker.address = object.getValue<std::string>("address");
  worker.data_center =
      DataCenterId(object.getValue<std::string>("data_center"));
  worker.rack = RackId(object.getValue<std::string>("rack"));
  worker.leaving = object.getValue<std::string>("state") != "live";
  return worker;
}

}  // namespace

Result<std::vector<KeyValue>> ParseKeyValues(const std::string& json) {
  try {
    const Poco::JSON::Array::Ptr array = ParseArray(json);
    std::vector<KeyValue> values;
    values.reserve(array->size());
    for (std::size_t i = 0; i < array->size(); ++i) {
      values.push_back(ToKeyValue(*ObjectAt(*array, i)));
    }
    return values;
  } catch (const Poco::Exception&) {
    return make_error_code(Error::kMalformedReply);
  }
}

Result<std::vector<std::string>> ParseKeys(const std::string& json) {
  try {
    const Poco::JSON::Array::Ptr array = ParseArray(json);
    std::vector<std::string> keys;
    keys.reserve(array->size());
    for (std::size_t i = 0; i < array->size(); ++i) {
      keys.push_back(
          array->getElement<std::string>(static_cast<unsigned int>(i)));
    }
    return keys;
  } catch (const Poco::Exception&) {
    return make_error_code(Error::kMalformedReply);
  }
}

Result<std::vector<WorkerDescription>> ParseHosts(const std::string& json) {
  try {
    Poco::JSON::Parser parser;
    const auto document = parser.parse(json).extract<Poco::JSON::Object::Ptr>();
    const Poco::JSON::Array::Ptr hosts = document->getArray("hosts");
    if (!hosts) {
      return make_error_code(Error::kMalformedReply);
    }
    std::vector<WorkerDescription> workers;
    workers.reserve(hosts->size());
    for (std::size_t i = 0; i < hosts->size(); ++i) {
      workers.push_back(ToWorker(*ObjectAt(*hosts, i)));
    }
    return workers;
  } catch (const Poco::Exception&) {
    return make_error_code(Error::kMalformedReply);
  }
}

}  // namespace mustardproxy::platform_detail
