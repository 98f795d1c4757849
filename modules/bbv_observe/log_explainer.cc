#include "bbv_observe/log_explainer.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

namespace bbv {
namespace {

using Json = nlohmann::ordered_json;

// Names of the events that report a failure.
constexpr std::array<std::string_view, 4> kFailureEvents = {
    "call-send-failed", "call-refused", "call-failed", "caller-left"};

bool ReportsFailure(const Json& line) {
  const std::string name = line.value("name", "");
  return std::find(kFailureEvents.begin(), kFailureEvents.end(), name) !=
         kFailureEvents.end();
}

// Formats a line's event-specific fields as " key=value key=value".
std::string FormatFields(const Json& line) {
  std::string text;
  for (const auto& [key, value] : line.items()) {
    if (key == "time_ms" || key == "node" || key == "event" || key == "name" ||
        key == "id")
      continue;
    text += ' ';
    text += key;
    text += '=';
    text += value.is_string() ? value.get<std::string>() : value.dump();
  }
  return text;
}

}  // namespace

LogExplainer::LogExplainer(std::string id) : id_(std::move(id)) {}

void LogExplainer::Read(std::istream* log) {
  for (std::string text; std::getline(*log, text);) {
    const std::size_t start = text.find('{');
    if (start == std::string::npos || text.find(id_) == std::string::npos)
      continue;
    const Json line = Json::parse(text.substr(start), nullptr, false);
    if (!line.is_object() || !line.contains("id") || line["id"] != id_)
      continue;
    const bool has_time =
        line.contains("time_ms") && line["time_ms"].is_number_integer();
    lines_.push_back(
        {has_time ? line["time_ms"].get<int64_t>() : 0, line.dump()});
  }
}

std::vector<LogExplainer::Line> LogExplainer::SortedByTime() const {
  std::vector<Line> sorted = lines_;
  std::stable_sort(sorted.begin(), sorted.end(),
                   [](const Line& left, const Line& right) {
                     return left.time_ms < right.time_ms;
                   });
  return sorted;
}

std::string LogExplainer::ToText() const {
  std::string text;
  std::string cause;
  int64_t first = 0;
  for (const Line& it : SortedByTime()) {
    const Json line = Json::parse(it.json);
    if (text.empty())
      first = it.time_ms;
    const std::string event = line.value("name", "?") + FormatFields(line);
    text += "+" + std::to_string(it.time_ms - first) + " ms " +
            line.value("node", "?") + " " + event + "\n";
    if (cause.empty() && ReportsFailure(line))
      cause = event;
  }
  if (!cause.empty())
    text += "first cause: " + cause + "\n";
  return text;
}

std::string LogExplainer::ToJson() const {
  Json list = Json::array();
  for (const Line& it : SortedByTime())
    list.push_back(Json::parse(it.json));
  return list.dump(2);
}

}  // namespace bbv
