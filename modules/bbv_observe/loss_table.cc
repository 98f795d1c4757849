#include "bbv_observe/loss_table.h"

#include <algorithm>
#include <cassert>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>
#include <vector>

namespace bbv {
namespace {

using Json = nlohmann::ordered_json;

// Names of log events.
constexpr std::string_view kRefused = "call-refused";
constexpr std::string_view kFailed = "call-failed";
constexpr std::string_view kFinished = "call-finished";
constexpr std::string_view kCallerLeft = "caller-left";
constexpr std::string_view kLinesDropped = "log-lines-dropped";

std::string StringField(const Json& line, const char* key) {
  const auto it = line.find(key);
  return it != line.end() && it->is_string() ? it->get<std::string>()
                                             : std::string();
}

int64_t IntegerField(const Json& line, const char* key) {
  const auto it = line.find(key);
  return it != line.end() && it->is_number() ? it->get<int64_t>() : 0;
}

// Returns the reason why the request of `line` counts as lost; empty if it does
// not.
std::string LossReason(const Json& line) {
  const std::string name = StringField(line, "name");
  if (name == kRefused) {
    std::string reason = "refused: " + StringField(line, "cause");
    const std::string shortage = StringField(line, "short_of");
    return shortage.empty() || shortage == "none"
               ? reason
               : reason + ", short of " + shortage;
  }
  if (name == kFailed) {
    return "failed: " + StringField(line, "cause") + ", " +
           StringField(line, "outcome");
  }
  if (name == kCallerLeft)
    return "left by its caller";
  if (name != kFinished)
    return {};
  const auto late = line.find("late");
  if (late != line.end() && late->is_boolean() && late->get<bool>())
    return "late: first event or answer";
  // pause_path is set only if a pause in the stream was too long.
  return StringField(line, "pause_path").empty() ? ""
                                                 : "late: pause in a stream";
}

std::vector<std::pair<std::string, int64_t>> SortedByCount(
    const std::map<std::string, int64_t>& counts) {
  std::vector<std::pair<std::string, int64_t>> rows(counts.begin(),
                                                    counts.end());
  std::stable_sort(rows.begin(), rows.end(),
                   [](const auto& left, const auto& right) {
                     return left.second > right.second;
                   });
  return rows;
}

std::string FormatTable(const std::string& title,
                        const std::map<std::string, int64_t>& counts) {
  std::string text = title + "\n";
  for (const auto& [name, n] : SortedByCount(counts))
    text += "  " + std::to_string(n) + "  " + name + "\n";
  return text;
}

Json ToJsonObject(const std::map<std::string, int64_t>& counts) {
  Json table = Json::object();
  for (const auto& [name, n] : SortedByCount(counts))
    table[name] = n;
  return table;
}

}  // namespace

LossTable::LossTable(int64_t span_ms) : span_ms_(span_ms) {
  assert(span_ms > 0);
}

void LossTable::Read(std::istream* log) {
  for (std::string text; std::getline(*log, text);) {
    const std::size_t start = text.find('{');
    if (start == std::string::npos)
      continue;
    const Json line = Json::parse(text.substr(start), nullptr, false);
    if (!line.is_object())
      continue;
    const std::string entry = StringField(line, "node");
    if (StringField(line, "name") == kLinesDropped) {
      int64_t& dropped_lines = dropped_lines_[entry];
      dropped_lines = std::max(dropped_lines, IntegerField(line, "total"));
    }
    const std::string reason = LossReason(line);
    if (reason.empty())
      continue;
    ++total_;
    ++reasons_[reason];
    ++entries_[entry];
    if (const std::string service = StringField(line, "service");
        !service.empty())
      ++services_[service];
    const int64_t time = IntegerField(line, "time_ms");
    ++spans_[time - time % span_ms_][reason];
  }
}

std::string LossTable::ToText() const {
  std::string text = FormatTable("by reason", reasons_) +
                     FormatTable("by service", services_) +
                     FormatTable("by entry", entries_);
  text += "by time, from the first line\n";
  for (const auto& [start, counts] : spans_) {
    const double seconds =
        static_cast<double>(start - spans_.begin()->first) / 1000;
    const std::string title = "  +" + Json(seconds).dump() + " s";
    text += title;
    for (const auto& [name, n] : SortedByCount(counts))
      text += "  " + std::to_string(n) + " " + name + ";";
    text += "\n";
  }
  if (!dropped_lines_.empty())
    text += FormatTable("lines left out by entries", dropped_lines_);
  return text;
}

std::string LossTable::ToJson() const {
  Json json = {{"total", total_},
               {"reasons", ToJsonObject(reasons_)},
               {"services", ToJsonObject(services_)},
               {"entries", ToJsonObject(entries_)},
               {"spans", Json::array()},
               {"lines_left_out", ToJsonObject(dropped_lines_)}};
  for (const auto& [start, counts] : spans_)
    json["spans"].push_back(
        {{"time_ms", start}, {"reasons", ToJsonObject(counts)}});
  return json.dump(2) + "\n";
}

}  // namespace bbv
