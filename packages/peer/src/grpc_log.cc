#include "grpc_log.h"

#include <grpc/support/log.h>

#include <string>

#include "mustardproxy/telemetry/log.h"

namespace mustardproxy::peer_detail {
namespace {

/// The library calls an error what is daily work here, such as a peer that is
/// away; the state of peers is logged elsewhere.
void Write(gpr_log_func_args* line) {
  Log(Part::kPeer, Level::kDebug, std::string("grpc: ") + line->message);
}

}  // namespace

void RouteGrpcLog() { gpr_set_log_function(Write); }

}  // namespace mustardproxy::peer_detail
