// Strong types: ids and units with the same representation that cannot be
// confused with one another.

#ifndef BULRUSHMOUNT_CORE_COMMON_STRONG_TYPE_H_
#define BULRUSHMOUNT_CORE_COMMON_STRONG_TYPE_H_

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

#include <fmt/format.h>

namespace bulrushmount {

// Wraps a `Rep` with its comparison, hash and formatting, but without implicit
// conversions. `Tag` is an empty type that identifies the meaning.
template <typename Tag, typename Rep>
class StrongType {
 public:
  using Representation = Rep;

  constexpr StrongType() = default;
  constexpr explicit StrongType(Rep value) : m_value(std::move(value)) {}

  constexpr const Rep& value() const { return m_value; }

  // clang-tidy 14 takes the 0 in the defaulted comparison for a null pointer,
  // and reports it for the second line.
  friend constexpr auto operator<=>(const StrongType&,
                                    const StrongType&) = default;  // NOLINT
  friend constexpr bool operator==(const StrongType&,
                                   const StrongType&) = default;

 private:
  Rep m_value{};
};

}  // namespace bulrushmount

template <typename Tag, typename Rep>
struct std::hash<bulrushmount::StrongType<Tag, Rep>> {
  std::size_t operator()(
      const bulrushmount::StrongType<Tag, Rep>& id) const noexcept {
    return std::hash<Rep>()(id.value());
  }
};

template <typename Tag, typename Rep>
struct fmt::formatter<bulrushmount::StrongType<Tag, Rep>>
    : fmt::formatter<Rep> {
  template <typename Context>
  auto format(const bulrushmount::StrongType<Tag, Rep>& id,
              Context& context) const {
    return fmt::formatter<Rep>::format(id.value(), context);
  }
};

#endif  // BULRUSHMOUNT_CORE_COMMON_STRONG_TYPE_H_
