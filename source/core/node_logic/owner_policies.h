// How an owner judges and limits the target beside it, by what the deployment's
// targets tell of themselves.

#ifndef BULRUSHMOUNT_CORE_NODE_LOGIC_OWNER_POLICIES_H_
#define BULRUSHMOUNT_CORE_NODE_LOGIC_OWNER_POLICIES_H_

#include <memory>

#include "core/admission/admission.h"
#include "core/admission/concurrency_limit.h"
#include "core/node_logic/node_settings.h"
#include "core/target_state/target_lifecycle.h"

namespace bulrushmount::detail {

// How many requests the target runs at once.
std::unique_ptr<ConcurrencyLimit> MakeConcurrencyLimit(
    const NodeSettings& settings);

// How works wait for the target.
AdmissionSettings AdmissionSettingsOf(const NodeSettings& settings);

// What takes the target out of service, and for how long.
TargetLifecycleSettings LifeSettingsOf(const NodeSettings& settings);

}  // namespace bulrushmount::detail

#endif  // BULRUSHMOUNT_CORE_NODE_LOGIC_OWNER_POLICIES_H_
