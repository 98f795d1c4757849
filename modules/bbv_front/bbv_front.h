// bbv_front: TCP and HTTP connections on one event loop.
//
// Server connections of callers, a client with persistent connections to
// targets and the store, and a small server for readiness and metrics. Depends
// on libuv and bbv_http.
#ifndef MODULES_BBV_FRONT_BBV_FRONT_H_
#define MODULES_BBV_FRONT_BBV_FRONT_H_

#include "bbv_front/caller_connection.h"
#include "bbv_front/caller_eviction.h"
#include "bbv_front/event_loop.h"
#include "bbv_front/http_client.h"
#include "bbv_front/small_http_server.h"
#include "bbv_front/tcp_stream.h"

#endif  // MODULES_BBV_FRONT_BBV_FRONT_H_
