// Implements `workspace_check.h`.

#include "core/pipeline/workspace_check.h"

namespace bulrushmount {

WorkspaceVerdict WorkspaceCheck::Check(
    TimePoint now,
    const Route& route,
    const WorkspaceTable& table,
    const std::optional<KeyDigest>& key) const {
  if (!table.is_in_use() || route.is_public)
    return {};
  if (!key)
    return {Reason::kUnknownKey, nullptr};
  // Applies to unknown keys as well: a newer document may have added them.
  if (IsUnconfirmed(now))
    return {Reason::kConfigurationUnknown, nullptr};
  const Workspace* const workspace = table.Find(*key);
  if (!workspace)
    return {Reason::kUnknownKey, nullptr};
  return {Reason::kNone, workspace};
}

bool WorkspaceCheck::IsUnconfirmed(TimePoint now) const {
  if (!m_max_unconfirmed)
    return false;
  const std::optional<Duration> age = m_confirmation.AgeOfConfirmation(now);
  return !age || *age > *m_max_unconfirmed;
}

}  // namespace bulrushmount
