// Part of `owner_policies.h`.

#include "core/node_logic/owner_policies.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>

#include "core/admission/adaptive_limit.h"
#include "core/admission/knee_limit.h"

namespace bulrushmount::detail {

namespace {

// Load pattern: a service that all others call sheds or fails for some seconds,
// and every target of every caller answers with errors. Owners that judge by
// errors take all targets of all services out, and nothing is served, not even
// what does not need that service; it goes on after the fault, since each
// target is tried again only after seconds.
EvidenceThresholds OnlyRefusedConnections() {
  EvidenceThresholds thresholds;
  thresholds.sheds = std::numeric_limits<std::uint32_t>::max();
  thresholds.failed_fraction = std::numeric_limits<double>::infinity();
  thresholds.trial_results = std::numeric_limits<std::size_t>::max();
  return thresholds;
}

// A target that refuses connections is down; a try costs one connection on the
// same machine.
constexpr Duration kShortestDowntime = std::chrono::milliseconds(100);
constexpr Duration kLongestDowntime = std::chrono::milliseconds(500);

}  // namespace

// Targets that tell their speed are believed in that; what is left to learn is
// how they take a crowd.
std::unique_ptr<ConcurrencyLimit> MakeConcurrencyLimit(
    const NodeSettings& settings) {
  if (settings.selective_attempts > 0 && !settings.policies.knee_limit)
    return std::make_unique<FixedLimit>();
  if (settings.selective_attempts > 0)
    return std::make_unique<KneeLimit>();
  return std::make_unique<AdaptiveLimit>(AdaptiveLimitSettings());
}

AdmissionSettings AdmissionSettingsOf(const NodeSettings& settings) {
  AdmissionSettings admission;
  admission.uses_likely_times = settings.policies.likely_times;
  if (!settings.policies.hold_disturbed)
    admission.hold_from_slowdown = std::numeric_limits<double>::infinity();
  return admission;
}

TargetLifecycleSettings LifeSettingsOf(const NodeSettings& settings) {
  TargetLifecycleSettings life;
  life.warmup = settings.warmup;
  if (settings.do_entries_judge_errors) {
    life.thresholds = OnlyRefusedConnections();
    life.shortest_suspicion = kShortestDowntime;
    life.longest_suspicion = kLongestDowntime;
  }
  return life;
}

}  // namespace bulrushmount::detail
