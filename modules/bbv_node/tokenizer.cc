#include "bbv_node/tokenizer.h"

namespace bbv {

std::vector<uint64_t> EncodeText(std::string_view text) {
  std::vector<uint64_t> tokens;
  tokens.reserve(text.size());
  for (const char c : text)
    tokens.push_back(static_cast<unsigned char>(c));
  return tokens;
}

std::string DecodeToken(uint64_t token) {
  return "w" + std::to_string(token) + " ";
}

}  // namespace bbv
