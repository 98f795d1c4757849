// bbv_http: HTTP/1.1 messages without sockets.
//
// Heads, field names, a strict incremental parser on Boost.Beast, and the
// splitting of event streams. Needs Boost (headers only).
#ifndef MODULES_BBV_HTTP_BBV_HTTP_H_
#define MODULES_BBV_HTTP_BBV_HTTP_H_

#include "bbv_http/event_splitter.h"
#include "bbv_http/http_message.h"
#include "bbv_http/http_parser.h"

#endif  // MODULES_BBV_HTTP_BBV_HTTP_H_
