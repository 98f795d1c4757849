// bbv_front: sockets and HTTP connections on one event loop.
//
// Callers' connections, kept connections to targets and the store, and small
// servers for readiness and metrics. Needs libuv and bbv_http.
#ifndef MODULES_BBV_FRONT_BBV_FRONT_H_
#define MODULES_BBV_FRONT_BBV_FRONT_H_

#include "bbv_front/caller_connection.h"
#include "bbv_front/event_loop.h"
#include "bbv_front/http_client.h"
#include "bbv_front/small_http_server.h"
#include "bbv_front/tcp_stream.h"

#endif  // MODULES_BBV_FRONT_BBV_FRONT_H_
