#ifndef MODULES_BBV_CONFIG_JSON_INTEGER_H_
#define MODULES_BBV_CONFIG_JSON_INTEGER_H_

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>

namespace bbv {

// Stores the integer `in` in `out`. Throws nlohmann::json::exception if it is
// not an integer in the range of the unsigned type; json::get_to() would
// truncate it. Thread safe.
template <typename Unsigned>
void ReadInteger(const nlohmann::json& in, Unsigned* out) {
  static_assert(std::numeric_limits<Unsigned>::min() == 0);
  const bool is_natural = in.is_number_unsigned() ||
                          (in.is_number_integer() && in.get<int64_t>() >= 0);
  if (!is_natural || in.get<uint64_t>() > std::numeric_limits<Unsigned>::max())
    throw nlohmann::json::other_error::create(501, "integer is out of range",
                                              &in);
  *out = in.get<Unsigned>();
}

}  // namespace bbv

#endif  // MODULES_BBV_CONFIG_JSON_INTEGER_H_
