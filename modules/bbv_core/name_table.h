#ifndef MODULES_BBV_CORE_NAME_TABLE_H_
#define MODULES_BBV_CORE_NAME_TABLE_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace bbv {

// Maps between the values of an `enum class` and their names. The values must
// be consecutive, starting from 0.
//
// Thread safe: immutable after construction.
template <typename Enum, std::size_t kCount>
class NameTable {
 public:
  constexpr explicit NameTable(std::array<std::string_view, kCount> names)
      : names_(names) {}

  // Returns the name of `value`, or "?" if the value is out of range, which is
  // possible for values received from another process.
  constexpr std::string_view Name(Enum value) const {
    const auto i = static_cast<std::size_t>(value);
    return i < kCount ? names_[i] : "?";
  }

  // Returns the value with the given name, or std::nullopt if there is none.
  constexpr std::optional<Enum> Find(std::string_view name) const {
    for (std::size_t i = 0; i < kCount; ++i) {
      if (names_[i] == name)
        return static_cast<Enum>(i);
    }
    return std::nullopt;
  }

  constexpr std::size_t size() const { return kCount; }

 private:
  std::array<std::string_view, kCount> names_;
};

}  // namespace bbv

#endif  // MODULES_BBV_CORE_NAME_TABLE_H_
