#ifndef MODULES_BBV_OBSERVE_TRACE_CONTEXT_H_
#define MODULES_BBV_OBSERVE_TRACE_CONTEXT_H_

#include <cstdint>
#include <random>
#include <string>
#include <string_view>

namespace bbv {

// A place in a trace: hexadecimal trace id (32 digits) and span id (16).
struct TraceContext {
  std::string trace_id;
  std::string span_id;
  std::string parent_span_id;

  // Returns the W3C traceparent header that names this span. Thread safe.
  std::string ToTraceparent() const;
};

// Returns a new span below the one that `traceparent` names, or a new trace
// when that is not a valid header. Thread safety: as `generator`.
TraceContext ContinueTrace(std::string_view traceparent,
                           std::mt19937_64* generator);

}  // namespace bbv

#endif  // MODULES_BBV_OBSERVE_TRACE_CONTEXT_H_
