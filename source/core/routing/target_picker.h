// Picks the target for one attempt of a call: the interface, and the values
// that cross it. A picker serves one service; `router.h` joins the services.
//
// Every report of a target's load is stale when it arrives here, so a pick is
// a guess, and the admission at the target's owner is the decision.

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

// How far a target's owner is from this node.
enum class ZoneDistance : std::uint8_t {
  kSameZone,
  kSameRegion,
  kOtherRegion,
};

inline constexpr std::size_t kZoneDistances = 3;

// A target that takes work, as membership tells it.
struct Candidate {
  NodeId node;
  ZoneDistance distance = ZoneDistance::kSameZone;
  std::uint32_t slots = 1;
  // When this node first saw the target warming; empty once it is warm.
  std::optional<TimePoint> warming_since = std::nullopt;
};

struct PickRequest {
  double weight = 1.0;
  // Until the first byte of the answer must be here.
  Duration time_left{};
  // Owners that this call has tried before. Must outlive the call of `Pick`.
  std::span<const NodeId> excluded{};
  // What the bytes of the answer cost between availability zones, as the wait
  // that would be as bad.
  Duration zone_transfer{};
};

// One attempt on its way. The caller of the picker keeps it and hands it back
// with each event of the attempt.
struct Dispatch {
  NodeId node;
  double weight = 1.0;
  TimePoint sent_at{};
  // Set by `OnAnswerBegun`.
  bool is_answer_begun = false;
};

// Whether an answer speaks for the target.
enum class AnswerQuality : std::uint8_t {
  kGood,
  // A 5xx of the target's own. Many of them, fast, are a target that fails
  // while its low load attracts more.
  kServerError,
};

// After `OnSent`, an attempt reports `OnAnswerBegun` at most once and then
// exactly one of `OnEnded`, `OnRefused`, `OnLost` and `OnCancelled`. Events of
// a node that was removed in between are ignored.
class TargetPicker {
 public:
  virtual ~TargetPicker() = default;

  // Adds the candidate, or replaces what was known of its node's place, slots
  // and cold start. What was learnt of its load stays.
  virtual void Update(const Candidate& candidate) = 0;
  virtual void Remove(NodeId node) = 0;

  // Empty if every candidate is excluded or there is none.
  virtual std::optional<NodeId> Pick(TimePoint now,
                                     const PickRequest& request,
                                     RandomSource& random) = 0;

  virtual void OnSent(const Dispatch& dispatch) = 0;

  // The head of the target's answer is here.
  virtual void OnAnswerBegun(TimePoint now,
                             Dispatch& dispatch,
                             const LoadReport& load,
                             AnswerQuality quality) = 0;

  // The whole answer is here, or it broke off after it had begun.
  virtual void OnEnded(TimePoint now,
                       const Dispatch& dispatch,
                       const LoadReport& load) = 0;

  // Certainly not run. `reason` tells a full target from a failing one.
  virtual void OnRefused(TimePoint now,
                         const Dispatch& dispatch,
                         Reason reason,
                         const LoadReport& load) = 0;

  // No answer will come: the owner or its target is gone.
  virtual void OnLost(TimePoint now, const Dispatch& dispatch) = 0;

  // Nothing is heard from the owner's node; the attempt goes on.
  virtual void OnSilent(TimePoint now, const Dispatch& dispatch) = 0;

  // The entry gave up: caller gone, or deadline passed.
  virtual void OnCancelled(TimePoint now, const Dispatch& dispatch) = 0;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_ROUTING_TARGET_PICKER_H_
