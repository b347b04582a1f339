#ifndef MUSTARDPROXY_STANDIN_SRC_PLATFORM_HANDLER_H_
#define MUSTARDPROXY_STANDIN_SRC_PLATFORM_HANDLER_H_

#include <Poco/Net/HTTPRequestHandlerFactory.h>

#include "platform_model.h"

namespace mustardproxy::standin {

/// Makes the handlers of the platform's HTTP interface.
class PlatformHandlerFactory final
    : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit PlatformHandlerFactory(PlatformModel* model);

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest& request) override;

 private:
  PlatformModel* model;
};

}  // namespace mustardproxy::standin

#endif  // MUSTARDPROXY_STANDIN_SRC_PLATFORM_HANDLER_H_
