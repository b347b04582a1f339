#include "address_file.h"

#include <Poco/JSON/Object.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <utility>

namespace mustardproxy {
namespace {

std::string Stringify(const Poco::JSON::Object& object) {
  std::ostringstream text;
  object.stringify(text);
  return std::move(text).str();
}

std::error_code LastError() { return {errno, std::generic_category()}; }

}  // namespace

std::error_code WriteAddressFile(const std::string& path,
                                 const Addresses& addresses) {
  Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
  object.set("callers", addresses.callers);
  object.set("operators", addresses.operators);
  object.set("peers", addresses.peers);
  object.set("pid", getpid());
  std::string unfinished = path + ".part";
  {
    std::ofstream file(unfinished);
    file << Stringify(object) << '\n';
    file.close();
    if (file.fail()) return LastError();
  }
  if (std::rename(unfinished.c_str(), path.c_str()) != 0) return LastError();
  return {};
}

std::string FormatMember(const Addresses& addresses,
                         const std::string& data_center) {
  Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
  object.set("operators", addresses.operators);
  object.set("data_center", data_center);
  return Stringify(object);
}

}  // namespace mustardproxy
