// bbv_http: HTTP/1.1 messages, independent of any network I/O.
//
// Message heads and their fields, a strict incremental parser based on
// Boost.Beast, and a splitter for event streams. Requires Boost (headers only).
#ifndef MODULES_BBV_HTTP_BBV_HTTP_H_
#define MODULES_BBV_HTTP_BBV_HTTP_H_

#include "bbv_http/event_splitter.h"
#include "bbv_http/http_message.h"
#include "bbv_http/http_parser.h"

#endif  // MODULES_BBV_HTTP_BBV_HTTP_H_
