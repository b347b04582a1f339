#include "status_board.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <array>
#include <charconv>
#include <sstream>
#include <utility>

namespace mustardproxy {
namespace {

constexpr int kHexadecimal = 16;

Poco::JSON::Object::Ptr MakeObject() {
  return new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
}

Poco::JSON::Object::Ptr Describe(const Resources& resources) {
  Poco::JSON::Object::Ptr object = MakeObject();
  object->set("cpu_milli", resources.cpu_milli);
  object->set("memory_mb", resources.memory_mb);
  object->set("accelerators", resources.accelerators);
  object->set("slots", resources.slots);
  return object;
}

/// As text, since JSON numbers lose digits above 53 bits.
std::string Hexadecimal(Incarnation incarnation) {
  std::array<char, sizeof(incarnation) * 2> digits{};
  auto end = std::to_chars(digits.data(), digits.data() + digits.size(),
                           incarnation, kHexadecimal);
  return {digits.data(), end.ptr};
}

Poco::JSON::Array::Ptr Names(const std::vector<JournalId>& journals) {
  Poco::JSON::Array::Ptr names = new Poco::JSON::Array;
  for (const JournalId& journal : journals) names->add(journal.Text());
  return names;
}

}  // namespace

void StatusBoard::Publish(CoreStatus status) {
  std::lock_guard lock(this->mutex);
  this->status = std::move(status);
}

CoreStatus StatusBoard::Read() const {
  std::lock_guard lock(this->mutex);
  return this->status;
}

bool StatusBoard::Ready() const {
  std::lock_guard lock(this->mutex);
  return this->status.ready && !this->status.stopping;
}

std::string StatusBoard::Format() const {
  CoreStatus status = this->Read();
  Poco::JSON::Object::Ptr object = MakeObject();
  object->set("process", status.process.Text());
  object->set("data_center", status.data_center.Text());
  object->set("incarnation", Hexadecimal(status.incarnation));
  object->set("configuration_version", status.configuration_version);
  object->set("ready", status.ready);
  object->set("stopping", status.stopping);
  object->set("platform_reachable", status.platform_reachable);
  object->set("owned_workers", status.owned_workers);
  object->set("known_workers", status.known_workers);
  object->set("live_peers", status.live_peers);
  object->set("queued", status.queued);
  object->set("running", status.running);
  object->set("requests", status.requests);
  object->set("deferred", status.deferred);
  object->set("capacity", Describe(status.capacity));
  object->set("free", Describe(status.free));
  object->set("journals", Names(status.journals));
  std::ostringstream text;
  object->stringify(text);
  return std::move(text).str();
}

}  // namespace mustardproxy
