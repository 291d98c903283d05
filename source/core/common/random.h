// The random source that is passed to decision modules, so that a test can seed
// it.

#ifndef BULRUSHMOUNT_CORE_COMMON_RANDOM_H_
#define BULRUSHMOUNT_CORE_COMMON_RANDOM_H_

#include <cstddef>
#include <cstdint>
#include <random>

namespace bulrushmount {

class RandomSource {
 public:
  virtual ~RandomSource() = default;

  virtual std::uint64_t NextBits() = 0;

  // Uniform over [0, bound). `bound` must be positive.
  std::size_t Index(std::size_t bound);

  // Uniform over [0, 1).
  double Fraction();
};

// A seeded Mersenne Twister.
class SeededRandomSource : public RandomSource {
 public:
  explicit SeededRandomSource(std::uint64_t seed) : m_engine(seed) {}

  std::uint64_t NextBits() override { return m_engine(); }

 private:
  std::mt19937_64 m_engine;
};

// A seed from the operating system.
std::uint64_t SystemSeed();

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_COMMON_RANDOM_H_
