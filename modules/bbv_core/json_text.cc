#include "bbv_core/json_text.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace bbv {
namespace {

constexpr std::string_view kSpaces = " \t\r\n";

// Returns the position after the string whose opening quote is at `at`.
std::size_t SkipString(std::string_view json, std::size_t at) {
  for (++at; at < json.size() && json[at] != '"'; ++at) {
    if (json[at] == '\\')
      ++at;
  }
  return std::min(at + 1, json.size());
}

std::size_t SkipSpaces(std::string_view json, std::size_t at) {
  return std::min(json.find_first_not_of(kSpaces, at), json.size());
}

bool IsOpening(char c) {
  return c == '[' || c == '{';
}

bool IsClosing(char c) {
  return c == ']' || c == '}';
}

// Returns the position after the opening bracket of the list that is the value
// of `key`; npos if there is none.
std::size_t FindList(std::string_view json, std::string_view key) {
  int depth = 0;
  std::size_t at = 0;
  while (at < json.size()) {
    if (json[at] != '"') {
      depth += IsOpening(json[at]) ? 1 : 0;
      depth -= IsClosing(json[at]) ? 1 : 0;
      ++at;
      continue;
    }
    const std::size_t end = SkipString(json, at);
    const std::string_view text = json.substr(at, end - at);
    at = end;
    if (depth != 1 || text.size() != key.size() + 2 ||
        text.substr(1, key.size()) != key)
      continue;
    const std::size_t colon = SkipSpaces(json, at);
    if (colon == json.size() || json[colon] != ':')
      continue;
    const std::size_t list = SkipSpaces(json, colon + 1);
    if (list < json.size() && json[list] == '[')
      return list + 1;
  }
  return std::string_view::npos;
}

// Returns the length of the UTF-8 sequence at the start of `text`, or 0 if it
// is malformed. Precondition: the text is not empty.
std::size_t Utf8SequenceLength(std::string_view text) {
  const auto first = static_cast<uint8_t>(text.front());
  if (first < 0x80)
    return 1;
  if (first < 0xc2 || first > 0xf4)
    return 0;
  std::size_t n = 2;
  if (first >= 0xe0)
    n = first >= 0xf0 ? 4 : 3;
  if (text.size() < n)
    return 0;
  const auto second = static_cast<uint8_t>(text[1]);
  // Longer forms than needed, surrogates and numbers beyond U+10FFFF.
  if ((first == 0xe0 && second < 0xa0) || (first == 0xed && second > 0x9f) ||
      (first == 0xf0 && second < 0x90) || (first == 0xf4 && second > 0x8f))
    return 0;
  for (std::size_t it = 1; it < n; ++it) {
    if ((static_cast<uint8_t>(text[it]) & 0xc0U) != 0x80)
      return 0;
  }
  return n;
}

}  // namespace

bool IsJsonTooDeep(std::string_view json) {
  int depth = 0;
  std::size_t at = 0;
  while (at < json.size()) {
    if (json[at] == '"') {
      at = SkipString(json, at);
      continue;
    }
    depth += IsOpening(json[at]) ? 1 : 0;
    depth -= IsClosing(json[at]) ? 1 : 0;
    if (depth > kMaxJsonDepth)
      return true;
    ++at;
  }
  return false;
}

JsonList SplitJsonList(std::string_view json, std::string_view key) {
  JsonList list;
  const std::size_t start = FindList(json, key);
  if (start == std::string_view::npos) {
    list.rest = json;
    return list;
  }
  std::size_t item = start;
  std::size_t at = start;
  int depth = 0;
  while (at < json.size()) {
    const char c = json[at];
    const bool ends_list = depth == 0 && IsClosing(c);
    if (ends_list || (depth == 0 && c == ',')) {
      const std::string_view text = json.substr(item, at - item);
      if (text.find_first_not_of(kSpaces) != std::string_view::npos)
        list.items.push_back(text);
      item = at + 1;
    }
    if (ends_list)
      break;
    depth += IsOpening(c) ? 1 : 0;
    depth -= IsClosing(c) ? 1 : 0;
    at = c == '"' ? SkipString(json, at) : at + 1;
  }
  list.rest = json.substr(0, start);
  list.rest += json.substr(at);
  return list;
}

std::string ReplaceMalformedUtf8(std::string_view text) {
  constexpr std::string_view kReplacement = "\xef\xbf\xbd";
  std::string out;
  out.reserve(text.size() + kReplacement.size());
  while (!text.empty()) {
    const std::size_t n = Utf8SequenceLength(text);
    out.append(n > 0 ? text.substr(0, n) : kReplacement);
    text.remove_prefix(n > 0 ? n : 1);
  }
  return out;
}

}  // namespace bbv
