#ifndef MUSTARDPROXY_STANDIN_HTTP_INTERFACE_H_
#define MUSTARDPROXY_STANDIN_HTTP_INTERFACE_H_

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/TCPServerConnectionFactory.h>

#include "connections.h"
#include "worker_service.h"

namespace mustardproxy::standin {

/// Makes the handler of each request.
class HandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  HandlerFactory(WorkerService* service, Connections* connections)
      : service(service), connections(connections) {}
  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest& request) override;

 private:
  WorkerService* service;
  Connections* connections;
};

/// Makes HTTP connections that are listed among the open ones while they live.
class ConnectionFactory : public Poco::Net::TCPServerConnectionFactory {
 public:
  ConnectionFactory(Poco::Net::HTTPServerParams::Ptr params,
                    Poco::Net::HTTPRequestHandlerFactory::Ptr handlers,
                    Connections* connections)
      : params(std::move(params)),
        handlers(std::move(handlers)),
        connections(connections) {}
  Poco::Net::TCPServerConnection* createConnection(
      const Poco::Net::StreamSocket& socket) override;

 private:
  Poco::Net::HTTPServerParams::Ptr params;
  Poco::Net::HTTPRequestHandlerFactory::Ptr handlers;
  Connections* connections;
};

}  // namespace mustardproxy::standin

#endif  // MUSTARDPROXY_STANDIN_HTTP_INTERFACE_H_
