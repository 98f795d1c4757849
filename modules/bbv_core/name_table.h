#ifndef MODULES_BBV_CORE_NAME_TABLE_H_
#define MODULES_BBV_CORE_NAME_TABLE_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace bbv {

// Names of the values of an `enum class` whose values count up from 0.
//
// Thread safety: immutable after construction.
template <typename Enum, std::size_t kCount>
class NameTable {
 public:
  constexpr explicit NameTable(std::array<std::string_view, kCount> names)
      : names_(names) {}

  // Returns the name of `value`, or "?" for a value outside the table, as can
  // arrive from another process.
  constexpr std::string_view Name(Enum value) const {
    const auto it = static_cast<std::size_t>(value);
    return it < kCount ? names_[it] : "?";
  }

  // Returns the value named `name`, if there is one.
  constexpr std::optional<Enum> Find(std::string_view name) const {
    for (std::size_t it = 0; it < kCount; ++it) {
      if (names_[it] == name)
        return static_cast<Enum>(it);
    }
    return std::nullopt;
  }

  constexpr std::size_t size() const { return kCount; }

 private:
  std::array<std::string_view, kCount> names_;
};

}  // namespace bbv

#endif  // MODULES_BBV_CORE_NAME_TABLE_H_
