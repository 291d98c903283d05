// Implements `owner_policies.h`.

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
// and the targets of all its callers answer with errors. Owners that react to
// errors would take all targets of all services out of service, including those
// for requests that do not need the failing service. The outage would outlast
// the fault, since each target is tried again only after seconds.
EvidenceThresholds OnlyRefusedConnections() {
  EvidenceThresholds thresholds;
  thresholds.sheds = std::numeric_limits<std::uint32_t>::max();
  thresholds.failed_fraction = std::numeric_limits<double>::infinity();
  thresholds.trial_results = std::numeric_limits<std::size_t>::max();
  return thresholds;
}

// A target that refuses connections is down; a trial costs one connection on
// the same machine.
constexpr Duration kMinDowntime = std::chrono::milliseconds(100);
constexpr Duration kMaxDowntime = std::chrono::milliseconds(500);

}  // namespace

// If targets report their speed, only their concurrency limit has to be
// learned.
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
  if (settings.do_entries_evaluate_errors) {
    life.thresholds = OnlyRefusedConnections();
    life.shortest_suspicion = kMinDowntime;
    life.longest_suspicion = kMaxDowntime;
  }
  return life;
}

}  // namespace bulrushmount::detail
