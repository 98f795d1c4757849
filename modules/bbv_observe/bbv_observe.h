// bbv_observe: metrics, traces and structured logs of a node.
//
// Metrics are collected with prometheus-cpp; docs/METRICS.md lists them. Spans,
// one per hop, are written as lines of OTLP/JSON and linked by W3C traceparent
// headers. They are encoded here because Debian has no OpenTelemetry package
// for C++.
#ifndef MODULES_BBV_OBSERVE_BBV_OBSERVE_H_
#define MODULES_BBV_OBSERVE_BBV_OBSERVE_H_

#include "bbv_observe/metrics.h"
#include "bbv_observe/span_writer.h"
#include "bbv_observe/trace_context.h"

#endif  // MODULES_BBV_OBSERVE_BBV_OBSERVE_H_
