// The life of the target beside a node: announced, warming, serving, suspect,
// draining, gone. It decides whether the target takes new work, and what the
// node tells the fleet of it.

#ifndef BULRUSHMOUNT_CORE_TARGET_STATE_TARGET_LIFE_H_
#define BULRUSHMOUNT_CORE_TARGET_STATE_TARGET_LIFE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

#include "core/common/ids.h"
#include "core/common/time.h"
#include "core/measuring/probe_need.h"
#include "core/membership/member.h"
#include "core/target_state/cold_start.h"
#include "core/target_state/target_evidence.h"

namespace bulrushmount {

enum class TargetState : std::uint8_t {
  kGone,
  // Known, without a sign of life of its own; takes little new work.
  kAnnounced,
  // Answers, and its cold start is not over.
  kWarming,
  kServing,
  // Takes no new work until it is tried again.
  kSuspect,
  // Takes no new work; what runs goes on.
  kDraining,
};

std::string_view ToToken(TargetState state);

struct TargetLifeSettings {
  Duration warmup = std::chrono::seconds(10);
  std::uint32_t warm_answers = 50;
  EvidenceThresholds thresholds;
  // A suspect is tried again after this time; doubled at each return to
  // suspicion up to the longest.
  Duration shortest_suspicion = std::chrono::seconds(1);
  Duration longest_suspicion = std::chrono::seconds(30);
  // The same if only one workspace's requests failed and no other's are known:
  // the others must not be kept from the target for long by its doing.
  Duration longest_suspicion_by_one = std::chrono::seconds(4);
  // Announcements that fail to come in turn before the target is gone.
  std::uint32_t announcements_missed = 3;
};

// What a target says of itself.
struct TargetAnnouncement {
  ServiceName service;
  // Positive.
  std::uint32_t slots = 0;
  Incarnation incarnation;
  // What is left of its cold start; empty: the settings' time.
  std::optional<Duration> cold_time_left{};
};

class TargetLife {
 public:
  explicit TargetLife(const TargetLifeSettings& settings);
  ~TargetLife();

  TargetLife(const TargetLife&) = delete;
  TargetLife& operator=(const TargetLife&) = delete;

  // A higher incarnation is a restarted target and starts anew. The same one
  // is a heartbeat; it does not call back a target that drains. A lower one is
  // late and ignored.
  void OnAnnounced(TimePoint now, const TargetAnnouncement& announcement);

  // An announcement that was due did not come.
  void OnAnnouncementMissed(TimePoint now);

  void OnWithdrawn(TimePoint now);

  // The last request of a draining target has ended.
  void OnDrained(TimePoint now);

  // All its connections broke with requests in flight: it crashed.
  void OnCrashed(TimePoint now);

  // `workspace` sent the request.
  void OnReal(TimePoint now,
              RealResult result,
              const WorkspaceName& workspace = WorkspaceName());

  // `is_healthy` is false also for a probe without an answer.
  void OnProbe(TimePoint now, bool is_healthy);

  // Call when `NextWakeup` has come.
  void OnTimer(TimePoint now);
  TimePoint NextWakeup() const;

  TargetState state() const;
  // Whether the owner may hand it new work. The owner refuses by this, so
  // what others still believe does no harm.
  bool IsServing() const;
  // By which its share of picks and its slots are scaled; 0 if it takes no new
  // work.
  double RampFactor(TimePoint now) const;
  ProbeNeed Need(TimePoint now) const;
  // Empty if there is no target.
  std::optional<TargetSummary> Summary() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TARGET_STATE_TARGET_LIFE_H_
