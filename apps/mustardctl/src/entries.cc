#include "entries.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <algorithm>
#include <utility>

namespace mustardproxy::ctl {
namespace {

constexpr std::size_t kMaxDepth = 8;

Entry ParseMember(const KeyValue& stored) {
  Entry entry;
  const std::string_view key = stored.key;
  entry.process = ProcessId{key.substr(kMemberPrefix.size())};
  try {
    Poco::JSON::Parser parser;
    parser.setDepth(kMaxDepth);
    const auto object =
        parser.parse(stored.value).extract<Poco::JSON::Object::Ptr>();
    entry.data_center =
        DataCenterId(object->getValue<std::string>("data_center"));
    entry.address = object->getValue<std::string>("operators");
  } catch (const Poco::Exception&) {
    entry.address.clear();
  }
  return entry;
}

}  // namespace

Result<std::vector<Entry>> ReadMembers(KeyValueStore* store) {
  const Result<std::vector<KeyValue>> stored = store->List(kMemberPrefix);
  if (!stored) return stored.error();
  std::vector<Entry> entries;
  for (const KeyValue& member : stored.value()) {
    if (member.key.starts_with(kMemberPrefix)) {
      entries.push_back(ParseMember(member));
    }
  }
  return entries;
}

void AddAddresses(std::span<const std::string> addresses,
                  std::vector<Entry>* entries) {
  for (const std::string& address : addresses) {
    const bool known = std::any_of(
        entries->begin(), entries->end(),
        [&address](const Entry& entry) { return entry.address == address; });
    if (!known) entries->push_back({ProcessId(), DataCenterId(), address});
  }
}

std::string Describe(const Entry& entry) {
  std::string text = entry.process.Text();
  if (!entry.data_center.Empty()) {
    text += " (" + entry.data_center.Text() + ")";
  }
  if (!text.empty()) text += ' ';
  return text + (entry.address.empty() ? "without address" : entry.address);
}

}  // namespace mustardproxy::ctl
