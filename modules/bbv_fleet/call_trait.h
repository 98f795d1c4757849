#ifndef MODULES_BBV_FLEET_CALL_TRAIT_H_
#define MODULES_BBV_FLEET_CALL_TRAIT_H_

#include <cstdint>
#include <string>
#include <vector>

namespace bbv {

// Traits of a call that it may share with others and by which it may crash its
// target, such as parts of its prompt. A trait is a 64-bit id.

// Returns the traits that the parts of a prompt give a call: all but the last,
// which no other request has, each once, up to a limit. Thread safe.
std::vector<uint64_t> PartTraits(const std::vector<uint64_t>& prompt_parts);

// Returns the traits as text, separated by commas: parts as hexadecimal
// numbers. Thread safe.
std::string FormatTraits(const std::vector<uint64_t>& traits);

}  // namespace bbv

#endif  // MODULES_BBV_FLEET_CALL_TRAIT_H_
