// Switches of the mechanisms for placing requests under load. All are on by
// default; an operator turns one off to measure its effect on a fleet.

#ifndef BULRUSHMOUNT_CORE_NODE_LOGIC_POLICY_SWITCHES_H_
#define BULRUSHMOUNT_CORE_NODE_LOGIC_POLICY_SWITCHES_H_

namespace bulrushmount {

struct PolicySwitches {
  // Limits the concurrency of a target to the knee of its load curve, above
  // which it slows down.
  bool knee_limit = true;
  // Starts no request on a target while it is slowed down by interference.
  bool hold_disturbed = true;
  // Entries try further owners for a fast start.
  bool selective_starts = true;
  // Entries accept a start that is close to the best that owners reported.
  bool best_reported_starts = true;
  // Distinguishes retries of callers from first attempts.
  bool retry_detector = true;
  // Queues requests that may miss their objective behind those that probably
  // meet it.
  bool likely_times = true;
  // Queues requests by the priorities that the operator gave to routes.
  bool ranks = true;
  // Retries repeatable requests elsewhere if the owner stops responding.
  bool leave_silent = true;
  // Sends refused callers a jittered Retry-After at which capacity is likely to
  // be free.
  bool retry_after = true;
  // Refuses calls at their entry that owners would refuse for lack of capacity.
  bool throttle = true;
  // Entries try fewer owners per call when most of them refuse.
  bool ask_budget = true;

  friend bool operator==(const PolicySwitches&,
                         const PolicySwitches&) = default;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_NODE_LOGIC_POLICY_SWITCHES_H_
