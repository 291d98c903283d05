// Chooses how an owner limits and evaluates its target, depending on what the
// targets of the deployment report.

#ifndef BULRUSHMOUNT_CORE_NODE_LOGIC_OWNER_POLICIES_H_
#define BULRUSHMOUNT_CORE_NODE_LOGIC_OWNER_POLICIES_H_

#include <memory>

#include "core/admission/admission.h"
#include "core/admission/concurrency_limit.h"
#include "core/node_logic/node_settings.h"
#include "core/target_state/target_lifecycle.h"

namespace bulrushmount::detail {

// Limit of the requests that the target runs concurrently.
std::unique_ptr<ConcurrencyLimit> MakeConcurrencyLimit(
    const NodeSettings& settings);

// How requests are queued for the target.
AdmissionSettings AdmissionSettingsOf(const NodeSettings& settings);

// When the target is taken out of service, and for how long.
TargetLifecycleSettings LifeSettingsOf(const NodeSettings& settings);

}  // namespace bulrushmount::detail

#endif  // BULRUSHMOUNT_CORE_NODE_LOGIC_OWNER_POLICIES_H_
