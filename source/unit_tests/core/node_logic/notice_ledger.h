// Records what targets state in their answers and which requests reach them
// afterwards, and finds requests that should not have been sent. It uses only
// what targets and callers see.

#ifndef BULRUSHMOUNT_UNIT_TESTS_CORE_NODE_LOGIC_NOTICE_LEDGER_H_
#define BULRUSHMOUNT_UNIT_TESTS_CORE_NODE_LOGIC_NOTICE_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/common/time.h"
#include "core/node_logic/call_types.h"

namespace bulrushmount::testing {

// A target's process: the index of its node, and its incarnation.
using TargetKey = std::pair<std::size_t, std::uint64_t>;

class NoticeLedger {
 public:
  // The target states `notice` in its answers from now on.
  void OnStated(TimePoint now, TargetKey target, const TargetNotice& notice);
  // The entry relays an answer with `notice`.
  void OnRelayed(TimePoint now,
                 std::size_t entry,
                 TargetKey target,
                 const TargetNotice& notice);
  // A request that a caller sent to `entry` at `sent_at` reaches the target.
  void OnRun(TimePoint now,
             std::size_t entry,
             TargetKey target,
             TimePoint sent_at);
  // The entry was restarted or frozen, so it is not bound by what it relayed.
  void OnEntryExcused(std::size_t entry);

  // One line per violation.
  std::vector<std::string> Violations() const;
  // Requests that reached the target from `begin` on.
  std::size_t CountRuns(std::size_t node, TimePoint begin) const;

 private:
  struct Statement {
    TimePoint at;
    TargetNotice notice;
  };
  struct Run {
    TimePoint at;
    TimePoint sent_at;
    std::size_t entry = 0;
    // When the entry first relayed a rate limit, and that the target leaves,
    // as of this run; empty if it did not.
    std::optional<TimePoint> limit_relayed_at;
    std::optional<TimePoint> leaving_relayed_at;
  };
  struct Target {
    std::vector<Statement> statements;
    std::vector<Run> runs;
  };
  struct Relayed {
    std::optional<TimePoint> limit_at;
    std::optional<TimePoint> leaving_at;
  };

  static void CheckDrain(TargetKey key,
                         const Target& target,
                         std::vector<std::string>& violations);
  static void CheckLimit(TargetKey key,
                         const Target& target,
                         std::vector<std::string>& violations);

  std::map<TargetKey, Target> m_targets;
  // By entry and target.
  std::map<std::pair<std::size_t, TargetKey>, Relayed> m_relayed;
};

}  // namespace bulrushmount::testing

#endif  // BULRUSHMOUNT_UNIT_TESTS_CORE_NODE_LOGIC_NOTICE_LEDGER_H_
