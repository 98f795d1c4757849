#ifndef MODULES_BBV_PLATFORM_SERVICE_CLIENT_H_
#define MODULES_BBV_PLATFORM_SERVICE_CLIENT_H_

#include "bbv_platform/http_connection.h"
#include "bbv_wire/bbv_wire.h"

namespace bbv {

// Sends `call` once to the service at `address`, over a separate connection.
// Errors are `not_performed` only if no connection could be established.
// Blocks; thread safe.
Result<wire::ServiceAnswerT> CallService(const SocketAddress& address,
                                         Milliseconds timeout,
                                         const wire::ServiceCallT& call);

}  // namespace bbv

#endif  // MODULES_BBV_PLATFORM_SERVICE_CLIENT_H_
