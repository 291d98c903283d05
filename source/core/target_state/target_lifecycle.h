// Lifecycle of a node's target: announced, warming, serving, suspect, draining,
// gone. Its state determines whether the target gets new requests, and what the
// node publishes about it.

#ifndef BULRUSHMOUNT_CORE_TARGET_STATE_TARGET_LIFECYCLE_H_
#define BULRUSHMOUNT_CORE_TARGET_STATE_TARGET_LIFECYCLE_H_

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
  // Announced, but without an answered request or healthy probe yet; gets few
  // new requests.
  kAnnounced,
  // Answers, and is in its cold start.
  kWarming,
  kServing,
  // Gets no new requests until it is tried again.
  kSuspect,
  // Gets no new requests; running ones continue.
  kDraining,
};

std::string_view ToToken(TargetState state);

struct TargetLifecycleSettings {
  Duration warmup = std::chrono::seconds(10);
  std::uint32_t warm_answers = 50;
  EvidenceThresholds thresholds;
  // Time after which a suspect target is tried again; doubled each time that it
  // becomes suspect again, up to the maximum.
  Duration shortest_suspicion = std::chrono::seconds(1);
  Duration longest_suspicion = std::chrono::seconds(30);
  // Maximum if only one workspace's requests failed and there are no results of
  // others, so that one workspace cannot keep the target from the others for
  // long.
  Duration longest_suspicion_by_one_workspace = std::chrono::seconds(4);
  // Consecutive missed announcements after which the target is gone.
  std::uint32_t announcements_missed = 3;
};

// Data that a target announces.
struct TargetAnnouncement {
  ServiceName service;
  // Positive.
  std::uint32_t slots = 0;
  Incarnation incarnation;
  // Remaining time of its cold start; empty for the time in the settings.
  std::optional<Duration> cold_time_left{};
};

class TargetLifecycle {
 public:
  explicit TargetLifecycle(const TargetLifecycleSettings& settings);
  ~TargetLifecycle();

  TargetLifecycle(const TargetLifecycle&) = delete;
  TargetLifecycle& operator=(const TargetLifecycle&) = delete;

  // A higher incarnation is a restarted target, whose lifecycle begins again.
  // The same one is a heartbeat, which does not reopen a draining target. A
  // lower one is late and ignored.
  void OnAnnounced(TimePoint now, const TargetAnnouncement& announcement);

  // A due announcement did not arrive.
  void OnAnnouncementMissed(TimePoint now);

  void OnWithdrawn(TimePoint now);

  // The last request of a draining target has ended.
  void OnDrained(TimePoint now);

  // All connections of the target were lost with requests in flight: it
  // crashed.
  void OnCrashed(TimePoint now);

  // Handles the result of a real request of `workspace`.
  void OnRequestResult(TimePoint now,
                       RequestResult result,
                       const WorkspaceName& workspace = WorkspaceName());

  // `is_healthy` is also false for a probe without an answer.
  void OnProbe(TimePoint now, bool is_healthy);

  // Call it at `NextWakeup`.
  void OnTimer(TimePoint now);
  TimePoint NextWakeup() const;

  TargetState state() const;
  // Whether the owner may start new requests on it. The owner enforces this, so
  // outdated information on other nodes does no harm.
  bool IsServing() const;
  // Factor of its share of picks and its slots; 0 if it gets no new requests.
  double RampFactor(TimePoint now) const;
  ProbeNeed Need(TimePoint now) const;
  // Empty if there is no target.
  std::optional<TargetSummary> Summary() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TARGET_STATE_TARGET_LIFECYCLE_H_
