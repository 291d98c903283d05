// Decides whether a request may use a route, by the key of its workspace.

#ifndef BULRUSHMOUNT_CORE_PIPELINE_WORKSPACE_CHECK_H_
#define BULRUSHMOUNT_CORE_PIPELINE_WORKSPACE_CHECK_H_

#include <cstdint>
#include <optional>

#include "core/common/outcome.h"
#include "core/common/time.h"
#include "core/contracts/confirmation_source.h"
#include "core/routes/route_config.h"
#include "core/workspaces/key_digest.h"
#include "core/workspaces/workspace_table.h"

namespace bulrushmount {

struct WorkspaceVerdict {
  std::uint32_t PriorityOn(const Route& route) const {
    return workspace ? workspace->priority.value_or(route.priority)
                     : route.priority;
  }

  // kNone if the request may use the route.
  Reason refusal = Reason::kNone;
  // Null if the request is refused or needs no key.
  const Workspace* workspace = nullptr;
};

class WorkspaceCheck {
 public:
  // `confirmation` must outlive the object. With `max_unconfirmed`, requests
  // with keys are refused if the document in effect has not been confirmed as
  // the newest for that long, since their keys may have been withdrawn.
  WorkspaceCheck(const ConfirmationSource& confirmation,
                 std::optional<Duration> max_unconfirmed)
      : m_confirmation(confirmation), m_max_unconfirmed(max_unconfirmed) {}

  // The verdict is valid until the table changes.
  WorkspaceVerdict Check(TimePoint now,
                         const Route& route,
                         const WorkspaceTable& table,
                         const std::optional<KeyDigest>& key) const;

 private:
  bool IsUnconfirmed(TimePoint now) const;

  const ConfirmationSource& m_confirmation;
  std::optional<Duration> m_max_unconfirmed;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_PIPELINE_WORKSPACE_CHECK_H_
