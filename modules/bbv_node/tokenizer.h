#ifndef MODULES_BBV_NODE_TOKENIZER_H_
#define MODULES_BBV_NODE_TOKENIZER_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bbv {

// Turns text into a model's tokens and back. This one takes each byte as a
// token and writes generated tokens as words; a model's own vocabulary takes
// its place once an engine with one is served.
//
// Thread safe.
std::vector<uint64_t> EncodeText(std::string_view text);
std::string DecodeToken(uint64_t token);

}  // namespace bbv

#endif  // MODULES_BBV_NODE_TOKENIZER_H_
