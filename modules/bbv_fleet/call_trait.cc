#include "bbv_fleet/call_trait.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace bbv {
namespace {

// Bounds the evidence that one call can bring.
constexpr std::size_t kMaxPartTraits = 64;
constexpr int kHexadecimal = 16;

}  // namespace

std::vector<uint64_t> PartTraits(const std::vector<uint64_t>& prompt_parts) {
  std::vector<uint64_t> shared;
  for (std::size_t it = 0; it + 1 < prompt_parts.size(); ++it) {
    if (shared.size() == kMaxPartTraits)
      break;
    if (std::find(shared.begin(), shared.end(), prompt_parts[it]) ==
        shared.end())
      shared.push_back(prompt_parts[it]);
  }
  return shared;
}

std::string FormatTraits(const std::vector<uint64_t>& traits) {
  std::string text;
  for (const uint64_t it : traits) {
    std::array<char, 16> digits{};
    const auto result = std::to_chars(
        digits.data(), digits.data() + digits.size(), it, kHexadecimal);
    if (!text.empty())
      text += ',';
    text.append(digits.data(), result.ptr);
  }
  return text;
}

}  // namespace bbv
