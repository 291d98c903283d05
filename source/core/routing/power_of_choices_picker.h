// The picker used in production: draws a few candidates from each zone
// distance, estimates for each the time until it would answer, and picks the
// lowest.

#ifndef BULRUSHMOUNT_CORE_ROUTING_POWER_OF_CHOICES_PICKER_H_
#define BULRUSHMOUNT_CORE_ROUTING_POWER_OF_CHOICES_PICKER_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <optional>

#include "core/routing/candidate_list.h"
#include "core/routing/target_picker.h"

namespace bulrushmount {

struct PowerOfChoicesSettings {
  // Candidates drawn per zone distance; at most kMaxChoices.
  std::size_t choices = 2;
  // Network round-trip time by ZoneDistance.
  std::array<Duration, kZoneDistances> round_trip = {
      std::chrono::microseconds(100), std::chrono::milliseconds(1),
      std::chrono::milliseconds(30)};
  // Duration of a target's cold start, over which its capacity rises.
  Duration warmup = std::chrono::seconds(10);
};

class PowerOfChoicesPicker : public TargetPicker {
 public:
  static constexpr std::size_t kMaxChoices = 8;

  explicit PowerOfChoicesPicker(const PowerOfChoicesSettings& settings);

  void Update(const Candidate& candidate) override;
  void Remove(NodeId node) override;
  std::optional<NodeId> Pick(TimePoint now,
                             const PickRequest& request,
                             RandomSource& random) override;
  void OnSent(const Dispatch& dispatch) override;
  void OnAnswerBegun(TimePoint now,
                     Dispatch& dispatch,
                     const LoadReport& load,
                     AnswerQuality quality) override;
  void OnEnded(TimePoint now,
               const Dispatch& dispatch,
               const LoadReport& load) override;
  void OnRefused(TimePoint now,
                 const Dispatch& dispatch,
                 Reason reason,
                 const LoadReport& load) override;
  void OnLost(TimePoint now, const Dispatch& dispatch) override;
  void OnSilent(TimePoint now, const Dispatch& dispatch) override;
  void OnCancelled(TimePoint now, const Dispatch& dispatch) override;
  void OnPaused(TimePoint now) override;

 private:
  // This node's data on one target.
  struct Target {
    Candidate candidate;
    // Attempts of this node that have not ended. Exact.
    std::uint32_t own_in_flight = 0;
    // Attempts of these without an answer yet, and the sum of their weights.
    std::uint32_t own_waiting = 0;
    double own_waiting_weight = 0;
    // Time of the last answer while own_waiting was above 0, or when
    // own_waiting last rose from 0.
    TimePoint silent_since;
    // Requests in the owner's last report that are not from this node.
    double others_in_flight = 0;
    // Service time of a request of weight 1, as the owner last reported or as a
    // cancelled attempt without an answer implied.
    double service_seconds = 0;
    // When an answer or a changed report last confirmed service_seconds.
    TimePoint service_seconds_at;
    // Since when reports have stated that the target is slow; empty if the last
    // one did not.
    std::optional<TimePoint> slow_since;
    // Its last answer was not slow, although the owner still reports that it is
    // on average.
    bool is_recovering = false;
    // Slowdown of a start there, as the owner last reported; see LoadReport.
    double slowdown = 1.0;
    TimePoint reported_at;
    // As the owner last reported; empty before that.
    std::optional<std::uint32_t> limit;
    // Recent fraction of failed attempts, in [0, 1], as of `failed_at`.
    double failure = 0;
    TimePoint failed_at;
    // Time until which the owner's report that it accepts no work is assumed to
    // hold.
    TimePoint closed_until;
  };

  using Targets = CandidateList<Target>;

  void Release(Target& target, const Dispatch& dispatch);
  void StopWaiting(Target& target, const Dispatch& dispatch);
  void ApplyReport(TimePoint now, Target& target, const LoadReport& load);
  void RecordServiceTime(TimePoint now, Target& target, double seconds);
  void RecordAnswerTime(Target& target, double seconds) const;
  bool IsSlow(double service_seconds) const;
  // Whether a request should find out if a slow target has recovered.
  bool IsTrialDue(TimePoint now, const Target& target) const;
  void RecordFailureSample(TimePoint now, Target& target, double sample);
  double LoadOf(TimePoint now, const Target& target) const;
  double ServiceTimeOf(TimePoint now,
                       const Target& target,
                       const PickRequest& request) const;
  double FailureOf(TimePoint now, const Target& target) const;
  // The part of the failure rate that distinguishes the target from others.
  double ExcessFailureOf(TimePoint now, const Target& target) const;
  double SlowdownOf(TimePoint now, const Target& target) const;
  double CapacityOf(TimePoint now, const Target& target) const;
  double TransferTimeOf(const Target& target, const PickRequest& request) const;
  double ScoreOf(TimePoint now,
                 const Target& target,
                 const PickRequest& request) const;
  double MeanGain() const;

  PowerOfChoicesSettings m_settings;
  Targets m_targets;
  // Means over all targets: requests in flight from other nodes per slot, and
  // service time of a request of weight 1. Defaults for targets without a
  // recent report.
  double m_mean_others_per_slot = 0;
  double m_mean_service_seconds = 0;
  // Mean over all targets of the recent fraction of failed attempts, in [0, 1].
  double m_mean_failure = 0;
  // Number of reports in the means; stops counting when it no longer affects
  // their gain.
  std::uint32_t m_reports = 0;
  // End of the last pause of this process.
  std::optional<TimePoint> m_resumed_at;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_ROUTING_POWER_OF_CHOICES_PICKER_H_
