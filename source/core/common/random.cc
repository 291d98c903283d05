// Part of `random.h`.

#include "core/common/random.h"

namespace bulrushmount {

namespace {

constexpr int kFractionBits = 53;

}  // namespace

std::size_t RandomSource::Index(std::size_t bound) {
  // The bias of the multiplication is below bound / 2^64.
  const auto product = static_cast<unsigned __int128>(NextBits()) * bound;
  return static_cast<std::size_t>(product >> 64);
}

double RandomSource::Fraction() {
  return static_cast<double>(NextBits() >> (64 - kFractionBits)) /
         static_cast<double>(std::uint64_t{1} << kFractionBits);
}

std::uint64_t SystemSeed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

}  // namespace bulrushmount
