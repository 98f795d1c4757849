#include "bbv_http/event_splitter.h"

#include <algorithm>
#include <charconv>
#include <utility>

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
  buffer_.erase(0, std::exchange(consumed_, 0));
  // Without an incomplete event, the usual case, `data` is split in place.
  const bool is_in_place = buffer_.empty();
  // The end of an event may have begun in the bytes received before.
  std::size_t search_from =
      buffer_.size() - std::min(buffer_.size(), kEventEnd.size() - 1);
  if (!is_in_place)
    buffer_.append(data);
  const std::string_view text = is_in_place ? data : buffer_;
  std::size_t begin = 0;
  while (true) {
    const std::size_t end = text.find(kEventEnd, search_from);
    if (end == std::string_view::npos)
      break;
    search_from = end + kEventEnd.size();
    const std::string_view event = text.substr(begin, search_from - begin);
    events_.push_back({event, FindId(event)});
    begin = search_from;
  }
  if (is_in_place)
    buffer_.assign(text.substr(begin));
  else
    consumed_ = begin;
  return events_;
}

void EventSplitter::Reset() {
  std::string().swap(buffer_);
  consumed_ = 0;
  events_.clear();
}

}  // namespace bbv
