#ifndef MUSTARDPROXY_WORKER_JSON_H_
#define MUSTARDPROXY_WORKER_JSON_H_

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <cstdint>
#include <string>

#include "mustardproxy/core/resources.h"
#include "mustardproxy/core/time.h"

/// Access to parsed JSON. All of these throw Poco's exceptions for a missing
/// member or one of another type; `messages.cc` catches them.
namespace mustardproxy::worker_detail {

Poco::JSON::Object::Ptr ParseObject(const std::string& text);
std::uint64_t ReadUnsigned(const Poco::JSON::Object& object,
                           const std::string& name);
std::int64_t ReadInteger(const Poco::JSON::Object& object,
                         const std::string& name);
std::string ReadText(const Poco::JSON::Object& object, const std::string& name);
Duration ReadMillis(const Poco::JSON::Object& object, const std::string& name);
Resources ReadResources(const Poco::JSON::Object& object,
                        const std::string& name);
Poco::JSON::Array::Ptr ReadArray(const Poco::JSON::Object& object,
                                 const std::string& name);
std::string ReadBase64(const Poco::JSON::Object& object,
                       const std::string& name);

}  // namespace mustardproxy::worker_detail

#endif  // MUSTARDPROXY_WORKER_JSON_H_
