#include <Poco/Dynamic/Var.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/NumberFormatter.h>
#include <Poco/NumberParser.h>
#include <Poco/UTF8Encoding.h>

#include <algorithm>
#include <array>
#include <bit>
#include <optional>
#include <sstream>
#include <utility>

#include "mustardproxy/telemetry/timeline.h"

namespace mustardproxy {
namespace {

/// Objects nested deeper than this are not ours.
constexpr std::size_t kMaxDepth = 8;

struct NamedKind {
  TimelineKind kind;
  std::string_view name;
};

constexpr std::array kNamedKinds = {
    NamedKind{TimelineKind::kProcessStarted, "process-started"},
    NamedKind{TimelineKind::kProcessStopping, "process-stopping"},
    NamedKind{TimelineKind::kRequestArrived, "request-arrived"},
    NamedKind{TimelineKind::kRequestQueued, "request-queued"},
    NamedKind{TimelineKind::kRequestRefused, "request-refused"},
    NamedKind{TimelineKind::kRequestForwarded, "request-forwarded"},
    NamedKind{TimelineKind::kRequestAnswered, "request-answered"},
    NamedKind{TimelineKind::kTaskStarted, "task-started"},
    NamedKind{TimelineKind::kTaskEnded, "task-ended"},
    NamedKind{TimelineKind::kTaskStopped, "task-stopped"},
    NamedKind{TimelineKind::kWorkerAttached, "worker-attached"},
    NamedKind{TimelineKind::kWorkerLost, "worker-lost"},
    NamedKind{TimelineKind::kWorkerReleased, "worker-released"},
    NamedKind{TimelineKind::kWorkerEjected, "worker-ejected"},
    NamedKind{TimelineKind::kWorkerReturned, "worker-returned"},
    NamedKind{TimelineKind::kWorkerLeaving, "worker-leaving"},
    NamedKind{TimelineKind::kPeerJoined, "peer-joined"},
    NamedKind{TimelineKind::kPeerLost, "peer-lost"},
    NamedKind{TimelineKind::kConfigurationApplied, "configuration-applied"},
    NamedKind{TimelineKind::kJournalAppended, "journal-appended"},
    NamedKind{TimelineKind::kJournalFenced, "journal-fenced"},
    NamedKind{TimelineKind::kJournalAdopted, "journal-adopted"},
    NamedKind{TimelineKind::kPlatformLost, "platform-lost"},
    NamedKind{TimelineKind::kPlatformBack, "platform-back"},
};

std::optional<TimelineKind> ParseKind(std::string_view name) {
  for (const NamedKind& named : kNamedKinds) {
    if (named.name == name) return named.kind;
  }
  return std::nullopt;
}

/// Replaces each byte that is no part of UTF-8 by U+FFFD, since JSON with such
/// a byte in it can not be read back.
std::string ToUtf8(const std::string& text) {
  constexpr std::string_view kReplacement = "\xef\xbf\xbd";
  constexpr std::size_t kMaxLength = 4;
  std::string out;
  out.reserve(text.size());
  std::size_t at = 0;
  while (at < text.size()) {
    const auto* const bytes =
        reinterpret_cast<const unsigned char*>(text.data() + at);
    const std::size_t length = std::max(1, std::countl_one(*bytes));
    if (length > kMaxLength || at + length > text.size() ||
        !Poco::UTF8Encoding::isLegal(bytes, static_cast<int>(length))) {
      out += kReplacement;
      ++at;
      continue;
    }
    out.append(text, at, length);
    at += length;
  }
  return out;
}

void SetUnlessEmpty(const std::string& name, const std::string& value,
                    Poco::JSON::Object* object) {
  if (!value.empty()) object->set(name, ToUtf8(value));
}

Poco::JSON::Object ToJson(const StampedEvent& stamped) {
  const TimelineEvent& event = stamped.event;
  Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
  object.set("wall_us", Poco::UInt64{stamped.time.wall_micros});
  object.set("counter", stamped.time.counter);
  object.set("process", ToUtf8(stamped.process.Text()));
  // Text, since readers of JSON may keep only 53 bits of a number.
  object.set("incarnation", Poco::NumberFormatter::formatHex(
                                Poco::UInt64{stamped.incarnation}));
  object.set("sequence", Poco::UInt64{stamped.sequence});
  object.set("kind", std::string(Name(event.kind)));
  SetUnlessEmpty("request", event.request.Text(), &object);
  SetUnlessEmpty("task", event.task.Text(), &object);
  SetUnlessEmpty("worker", event.worker.Text(), &object);
  SetUnlessEmpty("peer", event.peer.Text(), &object);
  if (event.epoch != 0) object.set("epoch", Poco::UInt64{event.epoch});
  SetUnlessEmpty("detail", event.detail, &object);
  return object;
}

/// @return the text of an optional field; throws if it is not a text
std::string Text(const Poco::JSON::Object& object, const std::string& name) {
  const Poco::Dynamic::Var value = object.get(name);
  if (value.isEmpty()) return {};
  return value.extract<std::string>();
}

/// @return the number of a field; throws if it is missing or negative
std::uint64_t Number(const Poco::JSON::Object& object,
                     const std::string& name) {
  const Poco::Dynamic::Var value = object.get(name);
  if (!value.isInteger()) throw Poco::DataFormatException(name);
  return value.convert<Poco::UInt64>();
}

TimelineEvent ReadEvent(const Poco::JSON::Object& object) {
  const std::optional<TimelineKind> kind = ParseKind(Text(object, "kind"));
  if (!kind) throw Poco::DataFormatException("kind");
  TimelineEvent event;
  event.kind = *kind;
  event.request = RequestId(Text(object, "request"));
  event.task = TaskId(Text(object, "task"));
  event.worker = WorkerId(Text(object, "worker"));
  event.peer = ProcessId(Text(object, "peer"));
  if (object.has("epoch")) event.epoch = Number(object, "epoch");
  event.detail = Text(object, "detail");
  return event;
}

StampedEvent ReadStamped(const Poco::JSON::Object& object) {
  StampedEvent stamped;
  stamped.time.wall_micros = Number(object, "wall_us");
  stamped.time.counter = object.get("counter").convert<Poco::UInt32>();
  stamped.process = ProcessId(Text(object, "process"));
  if (stamped.process.Empty()) throw Poco::DataFormatException("process");
  stamped.incarnation =
      Poco::NumberParser::parseHex64(Text(object, "incarnation"));
  stamped.sequence = Number(object, "sequence");
  stamped.event = ReadEvent(object);
  return stamped;
}

std::vector<StampedEvent> ReadArray(std::string_view json) {
  Poco::JSON::Parser parser;
  parser.setDepth(kMaxDepth);
  const Poco::Dynamic::Var root = parser.parse(std::string(json));
  const auto& array = root.extract<Poco::JSON::Array::Ptr>();
  std::vector<StampedEvent> events;
  events.reserve(array->size());
  for (unsigned index = 0; index < array->size(); ++index) {
    const Poco::JSON::Object::Ptr object = array->getObject(index);
    if (!object) throw Poco::DataFormatException("event");
    events.push_back(ReadStamped(*object));
  }
  return events;
}

}  // namespace

std::string_view Name(TimelineKind kind) {
  for (const NamedKind& named : kNamedKinds) {
    if (named.kind == kind) return named.name;
  }
  return "unknown";
}

std::string FormatEvents(const std::vector<StampedEvent>& events) {
  std::ostringstream out;
  out << '[';
  const char* separator = "\n";
  for (const StampedEvent& stamped : events) {
    out << separator;
    ToJson(stamped).stringify(out);
    separator = ",\n";
  }
  out << "\n]\n";
  return out.str();
}

std::vector<StampedEvent> ParseEvents(std::string_view json) {
  try {
    return ReadArray(json);
  } catch (const std::exception&) {  // Poco::Exception is one
    return {};
  }
}

}  // namespace mustardproxy
