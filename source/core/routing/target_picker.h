// Interface that picks the target for one attempt of a call, and its data
// types. A picker serves one service; `router.h` combines the services.
//
// Load reports are outdated when they arrive here, so a pick is an estimate.
// The admission at the target's owner makes the decision.

#ifndef BULRUSHMOUNT_CORE_ROUTING_TARGET_PICKER_H_
#define BULRUSHMOUNT_CORE_ROUTING_TARGET_PICKER_H_

#include <cstdint>
#include <optional>
#include <span>

#include "core/common/ids.h"
#include "core/common/outcome.h"
#include "core/common/random.h"
#include "core/common/time.h"
#include "core/node_logic/call_types.h"

namespace bulrushmount {

// Distance of a target's owner from this node.
enum class ZoneDistance : std::uint8_t {
  kSameZone,
  kSameRegion,
  kOtherRegion,
};

inline constexpr std::size_t kZoneDistances = 3;

// A target that accepts work, according to membership.
struct Candidate {
  NodeId node;
  ZoneDistance distance = ZoneDistance::kSameZone;
  std::uint32_t slots = 1;
  // When this node first saw the target in its cold start; empty once it is
  // warm.
  std::optional<TimePoint> warming_since = std::nullopt;
};

struct PickRequest {
  double weight = 1.0;
  // Time until the first byte of the answer must arrive.
  Duration time_left{};
  // Owners that this call has already tried. Must outlive the call of `Pick`.
  std::span<const NodeId> excluded{};
  // Cost of transferring the answer between availability zones, as an
  // equivalent delay.
  Duration zone_transfer{};
};

// One attempt in flight. The picker's caller keeps it and passes it with each
// event of the attempt.
struct Dispatch {
  NodeId node;
  double weight = 1.0;
  TimePoint sent_at{};
  // Set by `OnAnswerBegun`.
  bool is_answer_begun = false;
};

// Whether an answer shows that the target is healthy.
enum class AnswerQuality : std::uint8_t {
  kGood,
  // A 5xx status from the target itself. Without it, a target that fails fast
  // would attract more requests by its low load.
  kServerError,
};

// After `OnSent`, an attempt reports `OnAnswerBegun` at most once and then
// exactly one of `OnEnded`, `OnRefused`, `OnLost` and `OnCancelled`. Events of
// a node that was removed in between are ignored.
class TargetPicker {
 public:
  virtual ~TargetPicker() = default;

  // Adds the candidate, or updates its distance, slots and cold start. Recorded
  // load and latency are kept.
  virtual void Update(const Candidate& candidate) = 0;
  virtual void Remove(NodeId node) = 0;

  // Empty if every candidate is excluded or there is none.
  virtual std::optional<NodeId> Pick(TimePoint now,
                                     const PickRequest& request,
                                     RandomSource& random) = 0;

  virtual void OnSent(const Dispatch& dispatch) = 0;

  // The head of the target's answer has arrived.
  virtual void OnAnswerBegun(TimePoint now,
                             Dispatch& dispatch,
                             const LoadReport& load,
                             AnswerQuality quality) = 0;

  // The answer is complete, or it was cut off after it had begun.
  virtual void OnEnded(TimePoint now,
                       const Dispatch& dispatch,
                       const LoadReport& load) = 0;

  // The attempt was not run. `reason` distinguishes a full target from a
  // failing one.
  virtual void OnRefused(TimePoint now,
                         const Dispatch& dispatch,
                         Reason reason,
                         const LoadReport& load) = 0;

  // No answer will arrive: the owner or its target is gone.
  virtual void OnLost(TimePoint now, const Dispatch& dispatch) = 0;

  // The owner's node does not respond; the attempt continues.
  virtual void OnSilent(TimePoint now, const Dispatch& dispatch) = 0;

  // The entry cancelled the attempt: the caller disconnected, or the deadline
  // passed.
  virtual void OnCancelled(TimePoint now, const Dispatch& dispatch) = 0;

  // This process did not run for some time until `now`. What arrived meanwhile
  // is reported only now, so the time that attempts in progress have taken is
  // unknown.
  virtual void OnPaused(TimePoint now) {}
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_ROUTING_TARGET_PICKER_H_
