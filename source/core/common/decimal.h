// Parses decimal numbers of protocols.

#ifndef BULRUSHMOUNT_CORE_COMMON_DECIMAL_H_
#define BULRUSHMOUNT_CORE_COMMON_DECIMAL_H_

#include <charconv>
#include <cmath>
#include <optional>
#include <string_view>

namespace bulrushmount {

// Empty unless the whole text is a finite number that is not negative.
inline std::optional<double> ParseNonNegative(std::string_view text) {
  double number = 0;
  const char* const end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, number);
  const bool is_number = result.ec == std::errc() && result.ptr == end;
  if (!is_number || !std::isfinite(number) || number < 0)
    return std::nullopt;
  return number;
}

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_COMMON_DECIMAL_H_
