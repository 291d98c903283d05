// Part of `policy_workload.h`: generates the arrivals, computes the slowdown of
// affected targets and simulates the clairvoyant queue.

#include "benchmarks/policy_workload.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <random>

namespace bulrushmount {

namespace {

constexpr double kMeanWorkSeconds = 0.010;
constexpr double kLogNormalSigma = 0.5;
constexpr double kHeavyChance = 0.1;
constexpr double kHeavyWeight = 2.0;
constexpr Duration kDeadlinePerWeight = std::chrono::milliseconds(150);
constexpr double kBurstLoad = 2.5;
constexpr double kMeanWeight = 1 + kHeavyChance * (kHeavyWeight - 1);
// Combined by XOR with the seed for the arrivals of the second workspace.
constexpr std::uint64_t kFloodSeed = 0x9e3779b97f4a7c15U;

// Arrivals of one workspace.
std::vector<Arrival> MakeWorkspaceArrivals(const Shape& shape,
                                           const Scenario& scenario,
                                           std::uint64_t seed) {
  std::mt19937_64 engine(seed);
  std::uniform_real_distribution<double> uniform(0, 1);
  std::lognormal_distribution<double> spread(
      -kLogNormalSigma * kLogNormalSigma / 2, kLogNormalSigma);
  const double calls_per_second = CapacityOf(shape) / kMeanWeight;
  std::vector<Arrival> arrivals;
  double now = 0;
  double burst_begin = 0;
  double burst_end = 0;
  while (TimePoint(FromSeconds(now)) < kArrivalsEnd) {
    if (now >= burst_end) {
      burst_begin = now + 0.1 + 0.3 * uniform(engine);
      const double drawn = 0.005 + 0.045 * uniform(engine);
      const double length = scenario.burst ? ToSeconds(*scenario.burst) : drawn;
      burst_end = burst_begin + length;
    }
    const bool is_burst =
        scenario.fault == Fault::kBursts && now >= burst_begin;
    const double load = is_burst ? kBurstLoad : scenario.load;
    now -= std::log(1 - uniform(engine)) / (load * calls_per_second);
    const bool is_heavy = uniform(engine) < kHeavyChance;
    const double weight = is_heavy ? kHeavyWeight : 1;
    const double service_time_s = kMeanWorkSeconds * weight * spread(engine);
    const auto entry = static_cast<std::size_t>(
        uniform(engine) * static_cast<double>(shape.nodes));
    arrivals.push_back({TimePoint(FromSeconds(now)), entry, weight,
                        FromSeconds(service_time_s),
                        static_cast<int>(weight) * kDeadlinePerWeight});
  }
  return arrivals;
}

}  // namespace

double CapacityOf(const Shape& shape) {
  return static_cast<double>(shape.targets * shape.slots) / kMeanWorkSeconds;
}

bool IsAffected(const Shape& shape, Fault fault, std::size_t index) {
  if (fault == Fault::kNone || fault == Fault::kBursts)
    return false;
  if (fault == Fault::kAllNoisy)
    return true;
  const std::size_t affected =
      fault == Fault::kFailing && shape.targets > 3 ? 2 : 1;
  return index < affected;
}

double SlowdownOf(const Shape& shape,
                  Fault fault,
                  std::size_t index,
                  TimePoint now,
                  std::size_t running) {
  if (now < kFaultAt || !IsAffected(shape, fault, index))
    return 1;
  switch (fault) {
    case Fault::kSlow:
      return 10;
    case Fault::kNoisy:
    case Fault::kAllNoisy:
      return std::max(1.0, static_cast<double>(running) / (shape.slots / 2.0));
    case Fault::kCold:
      return 1 + 4 * std::exp(-ToSeconds(now - kFaultAt));
    default:
      return 1;
  }
}

std::vector<Arrival> MakeArrivals(const Shape& shape,
                                  const Scenario& scenario,
                                  std::uint64_t seed) {
  std::vector<Arrival> arrivals = MakeWorkspaceArrivals(shape, scenario, seed);
  if (scenario.flood == 0)
    return arrivals;
  Scenario flood;
  flood.load = scenario.flood;
  for (Arrival& arrival :
       MakeWorkspaceArrivals(shape, flood, seed ^ kFloodSeed)) {
    arrival.is_flood = true;
    arrivals.push_back(arrival);
  }
  std::stable_sort(arrivals.begin(), arrivals.end(),
                   [](const Arrival& left, const Arrival& right) {
                     return left.at < right.at;
                   });
  return arrivals;
}

Result RunClairvoyant(const Shape& shape,
                      Fault fault,
                      const std::vector<Arrival>& arrivals) {
  Result result;
  std::vector<TimePoint> free_at(shape.targets * shape.slots);
  for (const Arrival& arrival : arrivals) {
    // The reference is a first workspace that has the targets to itself.
    if (arrival.is_flood)
      continue;
    TimePoint best_end = TimePoint::max();
    std::size_t best = 0;
    for (std::size_t slot = 0; slot < free_at.size(); ++slot) {
      const std::size_t target = slot / shape.slots;
      const TimePoint start = std::max(arrival.at, free_at[slot]);
      if (start >= best_end)
        continue;
      const bool is_affected = IsAffected(shape, fault, target);
      const bool is_unavailable =
          is_affected &&
          (fault == Fault::kCold
               ? start < kFaultAt
               : start >= kFaultAt &&
                     (fault == Fault::kDrain || fault == Fault::kFailing));
      // Uses only half of the slots of a noisy target, rounded up.
      const bool is_noisy = fault == Fault::kNoisy || fault == Fault::kAllNoisy;
      const bool is_slot_unusable = is_affected && is_noisy &&
                                    start >= kFaultAt &&
                                    slot % shape.slots >= (shape.slots + 1) / 2;
      if (is_unavailable || is_slot_unusable)
        continue;
      const double slowdown = SlowdownOf(shape, fault, target, start, 0);
      const TimePoint end =
          start + FromSeconds(ToSeconds(arrival.service_time) * slowdown);
      if (end < best_end) {
        best_end = end;
        best = slot;
      }
    }
    const bool is_good = best_end <= arrival.at + arrival.deadline;
    if (is_good)
      free_at[best] = best_end;
    if (arrival.at < kMeasureFrom)
      continue;
    ++result.calls;
    if (is_good)
      result.good_ms.push_back(ToMilliseconds(best_end - arrival.at));
    else
      ++result.refused;
  }
  return result;
}

}  // namespace bulrushmount
