// What an entry remembers of the notices of targets.
//
// The owner of a target enforces its notices, but an owner that has restarted
// does not know them until the target's next answer. Entries that have relayed
// a notice send no requests to a process that is leaving, and pass its rate
// limit on to its owner.

#ifndef BULRUSHMOUNT_CORE_ROUTING_TARGET_NOTICES_H_
#define BULRUSHMOUNT_CORE_ROUTING_TARGET_NOTICES_H_

#include <cstddef>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/common/ids.h"
#include "core/node_logic/call_types.h"

namespace bulrushmount {

class TargetNotices {
 public:
  // Records the notice in an owner's report. A leaving process stays leaving.
  void OnReported(const LoadReport& load);

  bool IsLeaving(TargetProcess process) const;
  // Empty if the process has no limit or is unknown.
  std::optional<double> RateLimitOf(TargetProcess process) const;

  // Returns the processes that were first reported as leaving since the last
  // call.
  std::vector<TargetProcess> TakeNewlyLeaving();

  std::size_t size() const { return m_notices.size(); }

  // Several times the targets of the largest fleet. Beyond it, the processes
  // that were recorded first are dropped.
  static constexpr std::size_t kMaxProcesses = 4096;

 private:
  void Add(TargetProcess process, const TargetNotice& notice);

  struct Record {
    TargetNotice notice;
    std::list<TargetProcess>::iterator position;
  };

  // Only processes with a limit or that are leaving.
  std::unordered_map<TargetProcess, Record> m_notices;
  // Keys of m_notices, oldest first.
  std::list<TargetProcess> m_order;
  std::vector<TargetProcess> m_newly_leaving;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_ROUTING_TARGET_NOTICES_H_
