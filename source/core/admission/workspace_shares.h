// Tracks what each workspace asks of a target and gets from it, and decides
// whether a request is within its workspace's fair share of the target.
//
// Load pattern: one of many workspaces sends several times its usual rate, and
// all together exceed the target's capacity. Fair queueing orders the requests
// that wait, but a request that is accepted and then overtaken is answered late
// or refused after it was held. So the decision falls on arrival: a workspace
// with low demand is accepted up to the longest wait that is still in time, one
// that exceeds its share only up to a part of it.
//
// Load pattern: workspaces of the least urgent priority send most of the
// demand. The shares of ranks do not depend on demand, so these workspaces
// would be served far less than all others. One that is gets the most urgent
// rank until it is not.

#ifndef BULRUSHMOUNT_CORE_ADMISSION_WORKSPACE_SHARES_H_
#define BULRUSHMOUNT_CORE_ADMISSION_WORKSPACE_SHARES_H_

#include <chrono>
#include <cstddef>
#include <unordered_map>
#include <vector>

#include "core/common/decaying_sum.h"
#include "core/common/ids.h"
#include "core/common/time.h"

namespace bulrushmount {

class WorkspaceShares {
 public:
  // `cost`: expected time for which the request holds a slot. `share` weights
  // the workspace against others.
  void OnArrived(TimePoint now,
                 const WorkspaceName& workspace,
                 double share,
                 Duration cost);
  void OnStarted(TimePoint now, const WorkspaceName& workspace, Duration cost);

  // Whether the workspace stays within its max-min fair share of what the
  // target has recently run if `waiting` more slot time of it is run.
  bool IsWithinShare(TimePoint now,
                     const WorkspaceName& workspace,
                     Duration waiting) const;

  // Whether the fraction of the workspace's demand that was started would be
  // far below that of all workspaces together even if another request of this
  // cost was started.
  bool IsUnderserved(TimePoint now,
                     const WorkspaceName& workspace,
                     Duration cost) const;

 private:
  // Time constant of the decaying sums. At an owner that serves 10 requests per
  // second it covers some 20 of them; bursts last several times as long.
  static constexpr Duration kTimeConstant = std::chrono::seconds(2);

  // In seconds of slot time.
  struct Usage {
    double share = 1.0;
    DecayingSum demand{kTimeConstant};
    DecayingSum started{kTimeConstant};
  };

  // Slot time per unit of share that no workspace may exceed if all are to fit
  // into what was started; infinite if all demand fits.
  double FairLevel(TimePoint now) const;
  void Prune(TimePoint now);

  std::unordered_map<WorkspaceName, Usage> m_usages;
  Usage m_total;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_ADMISSION_WORKSPACE_SHARES_H_
