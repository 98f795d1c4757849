#include "bbv_observe/span_writer.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

namespace bbv {
namespace {

using nlohmann::json;

json Attribute(const std::string& key, const std::string& value) {
  return {{"key", key}, {"value", {{"stringValue", value}}}};
}

}  // namespace

uint64_t UnixNanoseconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::nanoseconds>(now).count();
}

SpanWriter::SpanWriter(const std::string& path, std::string node)
    : node_(std::move(node)) {
  if (!path.empty())
    file_.open(path, std::ios::app);
}

void SpanWriter::Write(const Span& span) {
  if (!enabled())
    return;
  json attributes = json::array();
  for (const auto& [key, value] : span.attributes)
    attributes.push_back(Attribute(key, value));
  const json span_json = {
      {"traceId", span.context.trace_id},
      {"spanId", span.context.span_id},
      {"parentSpanId", span.context.parent_span_id},
      {"name", span.name},
      {"startTimeUnixNano", std::to_string(span.start_unix_nanoseconds)},
      {"endTimeUnixNano", std::to_string(span.end_unix_nanoseconds)},
      {"attributes", attributes}};
  const json resource = {
      {"attributes", json::array({Attribute("service.name", "bluebellvalve"),
                                  Attribute("service.instance.id", node_)})}};
  json scope;
  scope["spans"] = json::array({span_json});
  json resource_spans;
  resource_spans["resource"] = resource;
  resource_spans["scopeSpans"] = json::array({scope});
  json line;
  line["resourceSpans"] = json::array({resource_spans});
  const std::scoped_lock lock(mutex_);
  file_ << line.dump() << '\n';
  file_.flush();
}

}  // namespace bbv
