// The picker in use: draws a few candidates near and far, estimates for each
// how soon it would answer, and takes the soonest.

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
  // Candidates drawn from each zone distance; at most kMaxChoices.
  std::size_t choices = 2;
  // What a request and its answer spend on the way, by ZoneDistance.
  std::array<Duration, kZoneDistances> round_trip = {
      std::chrono::microseconds(100), std::chrono::milliseconds(1),
      std::chrono::milliseconds(30)};
  // A target's cold start, over which its share of picks rises.
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

 private:
  // What this node knows of one target.
  struct Target {
    Candidate candidate;
    // Attempts sent from here that have not ended. Exact.
    std::uint32_t own_in_flight = 0;
    // Of these, the ones without an answer yet, and the sum of their weights.
    std::uint32_t own_waiting = 0;
    double own_waiting_weight = 0;
    // When an answer last came while own_waiting was above 0, or it last rose
    // from 0.
    TimePoint silent_since;
    // The owner's last report, less what of it came from here.
    double others_in_flight = 0;
    // For a request of weight 1, as the owner last told or as an attempt
    // without an answer showed.
    double service_seconds = 0;
    // What the owner said that a start there would take, over the usual; see
    // LoadReport.
    double slowdown = 1.0;
    TimePoint reported_at;
    // As the owner last told; empty until then.
    std::optional<std::uint32_t> limit;
    // Recent share of attempts that failed, in [0, 1], as of `failed_at`.
    double failure = 0;
    TimePoint failed_at;
    // The owner said that it takes no work; believed until then.
    TimePoint closed_until;
  };

  using Targets = CandidateList<Target>;

  void Release(Target& target, const Dispatch& dispatch);
  void NoLongerWaiting(Target& target, const Dispatch& dispatch);
  void Learn(TimePoint now, Target& target, const LoadReport& load);
  void RecordFailureSample(TimePoint now, Target& target, double sample);
  double LoadOf(TimePoint now, const Target& target) const;
  double ServiceTimeOf(TimePoint now, const Target& target) const;
  double FailureOf(TimePoint now, const Target& target) const;
  double SlowdownOf(TimePoint now, const Target& target) const;
  double CapacityOf(TimePoint now, const Target& target) const;
  double WayOf(const Target& target, const PickRequest& request) const;
  double ScoreOf(TimePoint now,
                 const Target& target,
                 const PickRequest& request) const;
  double MeanGain() const;

  PowerOfChoicesSettings m_settings;
  Targets m_targets;
  // Of all targets: in flight from elsewhere per slot, and time for a request
  // of weight 1. What a target without a fresh report is taken for.
  double m_mean_others_per_slot = 0;
  double m_mean_service_seconds = 0;
  // Reports that the means are made of; stops counting when it matters no more.
  std::uint32_t m_reports = 0;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_ROUTING_POWER_OF_CHOICES_PICKER_H_
