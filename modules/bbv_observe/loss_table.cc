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

constexpr std::string_view kRefused = "call-refused";
constexpr std::string_view kFailed = "call-failed";
constexpr std::string_view kFinished = "call-finished";
constexpr std::string_view kLeft = "caller-left";
constexpr std::string_view kLinesDropped = "log-lines-dropped";

std::string TextOf(const Json& line, const char* key) {
  const auto it = line.find(key);
  return it != line.end() && it->is_string() ? it->get<std::string>()
                                             : std::string();
}

int64_t NumberOf(const Json& line, const char* key) {
  const auto it = line.find(key);
  return it != line.end() && it->is_number() ? it->get<int64_t>() : 0;
}

// Returns why the request of `line` lost its worth; empty when it did not.
std::string ReasonOf(const Json& line) {
  const std::string name = TextOf(line, "name");
  if (name == kRefused) {
    std::string reason = "refused: " + TextOf(line, "cause");
    const std::string lacks = TextOf(line, "short_of");
    return lacks.empty() || lacks == "none" ? reason
                                            : reason + ", short of " + lacks;
  }
  if (name == kFailed) {
    return "failed: " + TextOf(line, "cause") + ", " + TextOf(line, "outcome");
  }
  if (name == kLeft)
    return "left by its caller";
  if (name != kFinished)
    return {};
  const auto late = line.find("late");
  if (late != line.end() && late->is_boolean() && late->get<bool>())
    return "late: first event or answer";
  // The path is told for pauses alone that were too long.
  return TextOf(line, "pause_path").empty() ? "" : "late: pause in a stream";
}

std::vector<std::pair<std::string, int64_t>> Largest(
    const std::map<std::string, int64_t>& counts) {
  std::vector<std::pair<std::string, int64_t>> rows(counts.begin(),
                                                    counts.end());
  std::stable_sort(rows.begin(), rows.end(),
                   [](const auto& left, const auto& right) {
                     return left.second > right.second;
                   });
  return rows;
}

std::string TextTable(const std::string& title,
                      const std::map<std::string, int64_t>& counts) {
  std::string text = title + "\n";
  for (const auto& [name, n] : Largest(counts))
    text += "  " + std::to_string(n) + "  " + name + "\n";
  return text;
}

Json JsonTable(const std::map<std::string, int64_t>& counts) {
  Json table = Json::object();
  for (const auto& [name, n] : Largest(counts))
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
    const std::string entry = TextOf(line, "node");
    if (TextOf(line, "name") == kLinesDropped) {
      int64_t& left_out = left_out_[entry];
      left_out = std::max(left_out, NumberOf(line, "total"));
    }
    const std::string reason = ReasonOf(line);
    if (reason.empty())
      continue;
    ++total_;
    ++reasons_[reason];
    ++entries_[entry];
    if (const std::string service = TextOf(line, "service"); !service.empty())
      ++services_[service];
    const int64_t time = NumberOf(line, "time_ms");
    ++spans_[time - time % span_ms_][reason];
  }
}

std::string LossTable::ToText() const {
  std::string text = TextTable("by reason", reasons_) +
                     TextTable("by service", services_) +
                     TextTable("by entry", entries_);
  text += "by time, from the first line\n";
  for (const auto& [start, counts] : spans_) {
    const double seconds =
        static_cast<double>(start - spans_.begin()->first) / 1000;
    const std::string title = "  +" + Json(seconds).dump() + " s";
    text += title;
    for (const auto& [name, n] : Largest(counts))
      text += "  " + std::to_string(n) + " " + name + ";";
    text += "\n";
  }
  if (!left_out_.empty())
    text += TextTable("lines left out by entries", left_out_);
  return text;
}

std::string LossTable::ToJson() const {
  Json json = {{"total", total_},
               {"reasons", JsonTable(reasons_)},
               {"services", JsonTable(services_)},
               {"entries", JsonTable(entries_)},
               {"spans", Json::array()},
               {"lines_left_out", JsonTable(left_out_)}};
  for (const auto& [start, counts] : spans_)
    json["spans"].push_back(
        {{"time_ms", start}, {"reasons", JsonTable(counts)}});
  return json.dump(2) + "\n";
}

}  // namespace bbv
