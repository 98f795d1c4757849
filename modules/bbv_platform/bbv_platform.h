// bbv_platform: clients of the services around a node.
//
// These are the platform's log service and instance list, and a side's target:
// a model engine or a plain service. All clients use HTTP over blocking
// sockets; their responses are read with bbv_http's parser. Calls block their
// thread; their errors tell whether it is certain that the call was not
// performed.
#ifndef MODULES_BBV_PLATFORM_BBV_PLATFORM_H_
#define MODULES_BBV_PLATFORM_BBV_PLATFORM_H_

#include "bbv_platform/engine_client.h"
#include "bbv_platform/http_connection.h"
#include "bbv_platform/instance_list_client.h"
#include "bbv_platform/log_client.h"
#include "bbv_platform/service_client.h"

#endif  // MODULES_BBV_PLATFORM_BBV_PLATFORM_H_
