#ifndef MODULES_BBV_NODE_TOKENIZER_H_
#define MODULES_BBV_NODE_TOKENIZER_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bbv {

// Placeholder tokenizer: encodes each byte of the text as one token and decodes
// a generated token to a word. To be replaced by the model's own vocabulary
// once an engine with one is supported.
//
// Thread safe.
std::vector<uint64_t> EncodeText(std::string_view text);
std::string DecodeToken(uint64_t token);

}  // namespace bbv

#endif  // MODULES_BBV_NODE_TOKENIZER_H_
