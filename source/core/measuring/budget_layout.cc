// Part of `budget_layout.h`.

#include "core/measuring/budget_layout.h"

#include <algorithm>

namespace bulrushmount {

namespace {

constexpr std::uint64_t kMicro = 1'000'000;
constexpr std::uint64_t kNanoTimesMicro = 1'000'000'000'000'000;

// Budgets below one probe a day allow none.
constexpr std::uint64_t kMinMicroprobes = 12;

// Cap that no fleet reaches, below which all arithmetic is exact.
constexpr double kMaxProbesPerSecond = 1e6;

std::uint64_t ToMicroprobes(double probes_per_second) {
  // Also false for NaN.
  if (!(probes_per_second > 0)) {
    return 0;
  }
  return static_cast<std::uint64_t>(
      std::min(probes_per_second, kMaxProbesPerSecond) * kMicro);
}

}  // namespace

BudgetLayout::BudgetLayout(const ServiceMeasuringBudget& budget)
    : BudgetLayout(ToMicroprobes(budget.probes_per_second),
                   budget.probes_in_flight) {}

BudgetLayout::BudgetLayout(std::uint64_t microprobes_per_second,
                           std::uint32_t probes_in_flight)
    : m_microprobes_per_second(microprobes_per_second),
      m_probes_in_flight(probes_in_flight) {
  if (microprobes_per_second < kMinMicroprobes || probes_in_flight == 0) {
    return;
  }
  const std::uint64_t whole = microprobes_per_second / kMicro;
  if (whole == 0) {
    m_window = Duration(kNanoTimesMicro / microprobes_per_second + 1);
  }
  m_probes_per_window =
      static_cast<std::uint32_t>(std::max<std::uint64_t>(whole, 1));
  m_slot_count = std::min({m_probes_per_window, probes_in_flight, kMaxSlots});
}

std::optional<SlotShare> BudgetLayout::ShareOf(std::uint32_t slot) const {
  if (slot >= m_slot_count) {
    return std::nullopt;
  }
  const std::uint32_t remainder = m_probes_per_window % m_slot_count;
  const std::uint32_t extra = slot < remainder ? 1 : 0;
  return SlotShare{m_probes_per_window / m_slot_count + extra, m_window};
}

}  // namespace bulrushmount
