#ifndef MUSTARDPROXY_HTTP_HEADER_H_
#define MUSTARDPROXY_HTTP_HEADER_H_

#include <string>

namespace mustardproxy::http {

/// One field of a header.
struct HttpHeader {
  std::string name;
  std::string value;
};

}  // namespace mustardproxy::http

#endif  // MUSTARDPROXY_HTTP_HEADER_H_
