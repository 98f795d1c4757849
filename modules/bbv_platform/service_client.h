#ifndef MODULES_BBV_PLATFORM_SERVICE_CLIENT_H_
#define MODULES_BBV_PLATFORM_SERVICE_CLIENT_H_

#include "bbv_platform/http_connection.h"
#include "bbv_wire/bbv_wire.h"

namespace bbv {

// Sends `call` once, over a connection of its own, to the service at
// `address`. The error is `not_performed` only when no connection could be
// opened. Blocks; thread safe.
Result<wire::ServiceAnswerT> CallService(const SocketAddress& address,
                                         Milliseconds timeout,
                                         const wire::ServiceCallT& call);

}  // namespace bbv

#endif  // MODULES_BBV_PLATFORM_SERVICE_CLIENT_H_
