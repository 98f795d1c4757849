// bbv_observe: metrics and traces of a node.
//
// Metrics go through prometheus-cpp; docs/METRICS.md lists them. Spans, one a
// hop, are written as OTLP/JSON lines and joined by W3C traceparent headers,
// since Debian carries no OpenTelemetry library for C++.
#ifndef MODULES_BBV_OBSERVE_BBV_OBSERVE_H_
#define MODULES_BBV_OBSERVE_BBV_OBSERVE_H_

#include "bbv_observe/metrics.h"
#include "bbv_observe/span_writer.h"
#include "bbv_observe/trace_context.h"

#endif  // MODULES_BBV_OBSERVE_BBV_OBSERVE_H_
