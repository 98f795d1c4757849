#ifndef MODULES_BBV_CORE_JSON_TEXT_H_
#define MODULES_BBV_CORE_JSON_TEXT_H_

#include <string>
#include <string_view>
#include <vector>

namespace bbv {

// Checks of JSON texts from other processes before they are parsed.

// Deepest nesting of a document that is parsed. Copying and printing a parsed
// document recurse once per level.
inline constexpr int kMaxJsonDepth = 64;

// Returns whether arrays and objects in `json` nest deeper than kMaxJsonDepth.
// For a text that is not JSON the result is unspecified. Thread safe.
bool IsJsonTooDeep(std::string_view json);

// A document whose list was cut out.
struct JsonList {
  // The document with an empty list.
  std::string rest;
  // Texts of the list's items; they point into the document.
  std::vector<std::string_view> items;
};

// Splits off the list that is the value of `key` in the object `json`, so that
// an item which cannot be parsed does not affect the others. Without such a
// list, `rest` is the whole document. Thread safe.
JsonList SplitJsonList(std::string_view json, std::string_view key);

// Returns `text` with each byte that is not UTF-8 replaced by U+FFFD. Thread
// safe.
std::string ReplaceMalformedUtf8(std::string_view text);

}  // namespace bbv

#endif  // MODULES_BBV_CORE_JSON_TEXT_H_
