#include "bbv_observe/trace_context.h"

#include <algorithm>
#include <cassert>
#include <cstdio>

namespace bbv {
namespace {

// Format: version "-" trace id "-" span id "-" flags.
constexpr std::size_t kTraceparentLength = 55;
constexpr std::size_t kTraceIdOffset = 3;
constexpr std::size_t kTraceIdLength = 32;
constexpr std::size_t kSpanIdOffset = 36;
constexpr std::size_t kSpanIdLength = 16;

std::string RandomHexadecimal(std::mt19937_64* generator) {
  char buf[kSpanIdLength + 1];
  std::snprintf(buf, sizeof(buf), "%016llx",
                static_cast<unsigned long long>((*generator)()));
  return buf;
}

bool IsTraceparent(std::string_view text) {
  if (text.size() != kTraceparentLength || text[2] != '-' ||
      text[kSpanIdOffset - 1] != '-' ||
      text[kSpanIdOffset + kSpanIdLength] != '-')
    return false;
  return std::all_of(text.begin(), text.end(), [](char c) {
    return c == '-' || (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  });
}

}  // namespace

std::string TraceContext::ToTraceparent() const {
  return "00-" + trace_id + "-" + span_id + "-01";
}

TraceContext ContinueTrace(std::string_view traceparent,
                           std::mt19937_64* generator) {
  assert(generator != nullptr);
  TraceContext context;
  if (IsTraceparent(traceparent)) {
    context.trace_id = traceparent.substr(kTraceIdOffset, kTraceIdLength);
    context.parent_span_id = traceparent.substr(kSpanIdOffset, kSpanIdLength);
  } else {
    context.trace_id =
        RandomHexadecimal(generator) + RandomHexadecimal(generator);
  }
  context.span_id = RandomHexadecimal(generator);
  return context;
}

}  // namespace bbv
