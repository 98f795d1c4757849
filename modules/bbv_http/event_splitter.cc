#include "bbv_http/event_splitter.h"

#include <charconv>

namespace bbv {
namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kIdField = "id:";
constexpr std::string_view kDataField = "data";
constexpr std::string_view kDataLine = "\ndata";

std::optional<int64_t> FindId(std::string_view event) {
  std::size_t at = 0;
  while (at < event.size()) {
    std::string_view line = event.substr(at, event.find('\n', at) - at);
    at += line.size() + 1;
    if (!line.starts_with(kIdField))
      continue;
    line.remove_prefix(kIdField.size());
    if (line.starts_with(' '))
      line.remove_prefix(1);
    int64_t id = 0;
    const char* const end = line.data() + line.size();
    const auto result = std::from_chars(line.data(), end, id);
    if (result.ec == std::errc() && result.ptr == end && id >= 0)
      return id;
    return std::nullopt;
  }
  return std::nullopt;
}

}  // namespace

bool HasData(const StreamEvent& event) {
  return event.text.starts_with(kDataField) ||
         event.text.find(kDataLine) != std::string_view::npos;
}

const std::vector<StreamEvent>& EventSplitter::Split(std::string_view data) {
  events_.clear();
  std::string_view rest = data;
  if (!partial_.empty()) {
    joined_ = std::move(partial_);
    joined_.append(data);
    partial_.clear();
    rest = joined_;
  }
  while (true) {
    const std::size_t end = rest.find(kEventEnd);
    if (end == std::string_view::npos)
      break;
    const std::string_view text = rest.substr(0, end + kEventEnd.size());
    events_.push_back({text, FindId(text)});
    rest.remove_prefix(text.size());
  }
  partial_.assign(rest);
  return events_;
}

void EventSplitter::Reset() {
  partial_.clear();
  joined_.clear();
  events_.clear();
}

}  // namespace bbv
