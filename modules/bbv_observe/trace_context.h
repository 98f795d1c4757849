#ifndef MODULES_BBV_OBSERVE_TRACE_CONTEXT_H_
#define MODULES_BBV_OBSERVE_TRACE_CONTEXT_H_

#include <cstdint>
#include <random>
#include <string>
#include <string_view>

namespace bbv {

// Identifies a span within a trace by hexadecimal ids: 32 digits for the trace,
// 16 for a span.
struct TraceContext {
  std::string trace_id;
  std::string span_id;
  std::string parent_span_id;

  // Returns the value of the W3C traceparent header for this span. Thread safe.
  std::string ToTraceparent() const;
};

// Returns a new child span of the span in `traceparent`, or the root span of a
// new trace if the header is invalid. As thread safe as `generator`.
TraceContext ContinueTrace(std::string_view traceparent,
                           std::mt19937_64* generator);

}  // namespace bbv

#endif  // MODULES_BBV_OBSERVE_TRACE_CONTEXT_H_
