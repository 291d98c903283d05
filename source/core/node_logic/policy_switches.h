// Switches of the mechanisms that placement under load rests on. All are on; an
// operator turns one off to learn what it is worth on the own fleet.

#ifndef BULRUSHMOUNT_CORE_NODE_LOGIC_POLICY_SWITCHES_H_
#define BULRUSHMOUNT_CORE_NODE_LOGIC_POLICY_SWITCHES_H_

namespace bulrushmount {

struct PolicySwitches {
  // Targets are kept below the load from which on they slow down.
  bool knee_limit = true;
  // Nothing starts on a target while it is disturbed.
  bool hold_disturbed = true;
  // Entries ask further owners for a start that is not slow.
  bool selective_starts = true;
  // What is hardly worse than the best that owners told is accepted.
  bool best_reported_starts = true;
  // Callers that have come back are told from new ones.
  bool retry_detector = true;
  // What may be late goes behind what likely is not.
  bool likely_times = true;
  // Works wait by the operator's ranks.
  bool ranks = true;
  // What may be repeated leaves an owner's node that has fallen silent.
  bool leave_silent = true;
  // Refused callers are told to come back when room is likely, each at another
  // time.
  bool retry_after = true;
  // Calls that owners would refuse for want of room are refused at their entry.
  bool throttle = true;
  // Entries ask fewer owners for a call where most of them refuse.
  bool ask_budget = true;

  friend bool operator==(const PolicySwitches&,
                         const PolicySwitches&) = default;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_NODE_LOGIC_POLICY_SWITCHES_H_
