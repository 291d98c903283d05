// Part of `power_of_choices_picker.h`.

#include "core/routing/power_of_choices_picker.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace bulrushmount {

namespace {

using std::chrono_literals::operator""s;
using std::chrono_literals::operator""ms;

// Weight of one report in the means over all targets.
constexpr double kMeanGain = 0.05;
// Caps a reported service time in the mean at this multiple of it, so that one
// slow target among few does not hide that it is slow.
constexpr double kMaxMeanRatio = 1.5;

// Time constant of a load report, in service times: after a few of them most
// requests that were running then have ended.
constexpr double kLoadDecayInServiceTimes = 4.0;

// Time constant of a reported service time, after which a slow target is tried
// again.
constexpr Duration kServiceTimeDecay = 2s;

// Service times that differ from the mean by less than this part of it are
// within the error of the estimates. At low load the lowest score always wins,
// so a target would not be used because of a difference of a few percent, and
// without requests its service time could not be corrected.
constexpr double kServiceTimeError = 0.2;

// Load pattern: a target was slow for some seconds, and the load is so low that
// another target is always idle. However far its reported service time has
// decayed, it would still be above the others' and the target would never be
// picked. So one request at a time is sent there to find out whether it has
// recovered: more rarely the longer it has been slow, since these requests are
// late if it has not, and without a pause once one of them was not.
constexpr Duration kMinTrialPause = 500ms;
constexpr Duration kMaxTrialPause = 8s;
// A trial is preferred to an idle target of the same distance.
constexpr double kTrialFactor = 0.8;

// Time constant of a reported slowdown. Short: an owner refuses a start that
// would be slow, which costs one round trip, while avoiding a near target long
// after its disturbance costs traffic between availability zones.
constexpr Duration kSlowdownDecay = 50ms;

// Number of missing answers from which silence counts as slowness. With
// exponentially distributed times, a healthy target is misjudged once in e^3
// gaps.
constexpr double kMissingAnswers = 3.0;

// Silence up to this multiple of the service time is normal: the first of
// several requests that were sent together answers within it if times spread by
// a third of their mean.
constexpr double kNormalSilence = 1.5;

// For failing targets: weight of one attempt, time constant of the failure
// rate, and maximum penalty in service times.
constexpr double kFailureGain = 0.2;
constexpr Duration kFailureDecay = 2s;
constexpr double kFailureFactor = 50.0;

// Load pattern: all targets of a service shed part of their requests for some
// seconds. The targets that this node has used have a record of failures, and
// those that it has not look better, so calls would leave their availability
// zone for targets that shed just as often. So only failures above this
// multiple of the mean of all targets count.
constexpr double kCommonFailureFactor = 2.0;

// Time for which a refusal for draining excludes the target; by then membership
// reports it.
constexpr Duration kClosedDuration = 1s;
// A closed target is worse than every open one, but better than none.
constexpr double kClosedPenaltySeconds = 1e6;

// Fraction of its capacity at which a cold target starts.
constexpr double kColdFraction = 0.1;

// Initial mean service time. Only its ratio to the round trips matters.
constexpr double kInitialServiceSeconds = 0.01;

// Penalty of a busy target before it is full, in service times, since its load
// may have risen since the report. Almost 0 while half of its slots are free,
// so that near targets are used, and 1 when all are taken.
double CongestionOf(double utilisation) {
  const double square = utilisation * utilisation;
  return square * square;
}

// Whether a refusal is caused by a failing target rather than by its load.
bool IsFailure(Reason reason) {
  return reason == Reason::kShed || reason == Reason::kConnectFailed ||
         reason == Reason::kTargetLost || reason == Reason::kTargetCrashed ||
         reason == Reason::kNodeUnreachable;
}

// Returns `value` after exponential decay towards `rest` over `age`.
double DecayTowards(double value,
                    double rest,
                    double age,
                    double time_constant) {
  return rest + (value - rest) * std::exp(-age / time_constant);
}

}  // namespace

PowerOfChoicesPicker::PowerOfChoicesPicker(
    const PowerOfChoicesSettings& settings)
    : m_settings(settings), m_mean_service_seconds(kInitialServiceSeconds) {
  m_settings.choices =
      std::clamp<std::size_t>(settings.choices, 1, kMaxChoices);
}

void PowerOfChoicesPicker::Update(const Candidate& candidate) {
  m_targets.Update(candidate);
}

void PowerOfChoicesPicker::Remove(NodeId node) {
  m_targets.Remove(node);
}

std::optional<NodeId> PowerOfChoicesPicker::Pick(TimePoint now,
                                                 const PickRequest& request,
                                                 RandomSource& random) {
  std::optional<NodeId> best;
  double best_score = std::numeric_limits<double>::infinity();
  const auto consider = [&](const Target& target) {
    const double score = ScoreOf(now, target, request);
    if (score >= best_score)
      return;
    best_score = score;
    best = target.candidate.node;
  };
  for (const ZoneDistance distance :
       {ZoneDistance::kSameZone, ZoneDistance::kSameRegion,
        ZoneDistance::kOtherRegion}) {
    m_targets.Draw(distance, m_settings.choices, request.excluded, random,
                   consider);
  }
  return best;
}

void PowerOfChoicesPicker::OnSent(const Dispatch& dispatch) {
  Target* target = m_targets.Find(dispatch.node);
  if (!target)
    return;
  ++target->own_in_flight;
  if (target->own_waiting++ == 0) {
    target->own_waiting_weight = 0;
    target->silent_since = dispatch.sent_at;
  }
  target->own_waiting_weight += dispatch.weight;
}

void PowerOfChoicesPicker::OnAnswerBegun(TimePoint now,
                                         Dispatch& dispatch,
                                         const LoadReport& load,
                                         AnswerQuality quality) {
  Target* target = m_targets.Find(dispatch.node);
  if (!target)
    return;
  StopWaiting(*target, dispatch);
  dispatch.is_answer_begun = true;
  target->silent_since = now;
  RecordAnswerTime(*target,
                   ToSeconds(now - dispatch.sent_at) / dispatch.weight);
  ApplyReport(now, *target, load);
  // The report includes this answer.
  target->service_seconds_at = now;
  RecordFailureSample(now, *target,
                      quality == AnswerQuality::kServerError ? 1.0 : 0.0);
}

void PowerOfChoicesPicker::OnEnded(TimePoint now,
                                   const Dispatch& dispatch,
                                   const LoadReport& load) {
  Target* target = m_targets.Find(dispatch.node);
  if (!target)
    return;
  Release(*target, dispatch);
  ApplyReport(now, *target, load);
}

void PowerOfChoicesPicker::OnRefused(TimePoint now,
                                     const Dispatch& dispatch,
                                     Reason reason,
                                     const LoadReport& load) {
  Target* target = m_targets.Find(dispatch.node);
  if (!target)
    return;
  Release(*target, dispatch);
  ApplyReport(now, *target, load);
  if (IsFailure(reason))
    RecordFailureSample(now, *target, 1.0);
  if (reason == Reason::kDraining || reason == Reason::kEvacuated)
    target->closed_until = now + kClosedDuration;
}

void PowerOfChoicesPicker::OnLost(TimePoint now, const Dispatch& dispatch) {
  Target* target = m_targets.Find(dispatch.node);
  if (!target)
    return;
  Release(*target, dispatch);
  RecordFailureSample(now, *target, 1.0);
}

void PowerOfChoicesPicker::OnSilent(TimePoint now, const Dispatch& dispatch) {
  if (Target* target = m_targets.Find(dispatch.node))
    RecordFailureSample(now, *target, 1.0);
}

void PowerOfChoicesPicker::OnCancelled(TimePoint now,
                                       const Dispatch& dispatch) {
  Target* target = m_targets.Find(dispatch.node);
  if (!target)
    return;
  Release(*target, dispatch);
  const bool was_paused = m_resumed_at && dispatch.sent_at < *m_resumed_at;
  if (dispatch.is_answer_begun || was_paused)
    return;
  // A frozen target never answers. When its last attempt has been cancelled,
  // nothing is in flight, and it would look idle and fast again. So the elapsed
  // time is recorded as a lower bound of its service time.
  const double elapsed = ToSeconds(now - dispatch.sent_at) / dispatch.weight;
  if (elapsed <= target->service_seconds)
    return;
  RecordServiceTime(now, *target, elapsed);
  target->reported_at = now;
}

void PowerOfChoicesPicker::OnPaused(TimePoint now) {
  m_resumed_at = now;
  for (std::size_t index = 0; index < m_targets.size(); ++index)
    m_targets.At(index).silent_since = now;
}

void PowerOfChoicesPicker::StopWaiting(Target& target,
                                       const Dispatch& dispatch) {
  if (dispatch.is_answer_begun || target.own_waiting == 0)
    return;
  --target.own_waiting;
  target.own_waiting_weight -= dispatch.weight;
}

void PowerOfChoicesPicker::Release(Target& target, const Dispatch& dispatch) {
  StopWaiting(target, dispatch);
  // A target that was removed and added again starts from 0.
  if (target.own_in_flight > 0)
    --target.own_in_flight;
}

void PowerOfChoicesPicker::ApplyReport(TimePoint now,
                                       Target& target,
                                       const LoadReport& load) {
  const double reported = load.in_flight + load.queued;
  target.others_in_flight = std::max(0.0, reported - target.own_in_flight);
  target.reported_at = now;
  if (load.limit == 0) {
    target.closed_until = now + kClosedDuration;
    return;
  }
  target.closed_until = now;
  target.slowdown = load.slowdown;
  target.limit = load.limit;
  if (m_reports * kMeanGain < 1)
    ++m_reports;
  m_mean_others_per_slot += MeanGain() * (target.others_in_flight / load.limit -
                                          m_mean_others_per_slot);
  if (load.service_time <= Duration::zero())
    return;
  const double seconds = ToSeconds(load.service_time);
  // An owner whose target has answered nothing since repeats its last mean.
  if (seconds != target.service_seconds)
    RecordServiceTime(now, target, seconds);
  const double sample =
      m_reports > 1 ? std::min(seconds, kMaxMeanRatio * m_mean_service_seconds)
                    : seconds;
  m_mean_service_seconds += MeanGain() * (sample - m_mean_service_seconds);
}

void PowerOfChoicesPicker::RecordServiceTime(TimePoint now,
                                             Target& target,
                                             double seconds) {
  if (!IsSlow(seconds)) {
    target.slow_since.reset();
    target.is_recovering = false;
  } else if (!target.slow_since) {
    target.slow_since = now;
  }
  target.service_seconds = seconds;
  target.service_seconds_at = now;
}

void PowerOfChoicesPicker::RecordAnswerTime(Target& target,
                                            double seconds) const {
  if (IsSlow(seconds))
    target.is_recovering = false;
  else if (IsSlow(target.service_seconds))
    target.is_recovering = true;
}

bool PowerOfChoicesPicker::IsSlow(double service_seconds) const {
  return service_seconds > (1 + kServiceTimeError) * m_mean_service_seconds;
}

bool PowerOfChoicesPicker::IsTrialDue(TimePoint now,
                                      const Target& target) const {
  if (target.own_waiting > 0)
    return false;
  if (target.is_recovering)
    return true;
  if (!IsSlow(target.service_seconds))
    return false;
  const TimePoint confirmed_at = target.service_seconds_at;
  const Duration slow_for =
      confirmed_at - target.slow_since.value_or(confirmed_at);
  return now - confirmed_at >=
         std::clamp(slow_for, kMinTrialPause, kMaxTrialPause);
}

double PowerOfChoicesPicker::MeanGain() const {
  return std::max(kMeanGain, 1.0 / m_reports);
}

void PowerOfChoicesPicker::RecordFailureSample(TimePoint now,
                                               Target& target,
                                               double sample) {
  m_mean_failure += kMeanGain * (sample - m_mean_failure);
  const double failure = FailureOf(now, target);
  target.failure = failure + kFailureGain * (sample - failure);
  target.failed_at = now;
}

double PowerOfChoicesPicker::FailureOf(TimePoint now,
                                       const Target& target) const {
  if (target.failure == 0)
    return 0;
  return DecayTowards(target.failure, 0, ToSeconds(now - target.failed_at),
                      ToSeconds(kFailureDecay));
}

double PowerOfChoicesPicker::ExcessFailureOf(TimePoint now,
                                             const Target& target) const {
  return std::max(
      0.0, FailureOf(now, target) - kCommonFailureFactor * m_mean_failure);
}

double PowerOfChoicesPicker::LoadOf(TimePoint now, const Target& target) const {
  const double mean = m_mean_others_per_slot * CapacityOf(now, target);
  if (!target.limit)
    return target.own_in_flight + mean;
  const double age = ToSeconds(now - target.reported_at);
  const double time_constant =
      kLoadDecayInServiceTimes * m_mean_service_seconds;
  return target.own_in_flight +
         DecayTowards(target.others_in_flight, mean, age, time_constant);
}

double PowerOfChoicesPicker::ServiceTimeOf(TimePoint now,
                                           const Target& target,
                                           const PickRequest& request) const {
  double seconds = m_mean_service_seconds;
  if (target.service_seconds > 0) {
    seconds = DecayTowards(target.service_seconds, seconds,
                           ToSeconds(now - target.service_seconds_at),
                           ToSeconds(kServiceTimeDecay));
  }
  const bool is_in_time =
      seconds * request.weight < ToSeconds(request.time_left);
  if (is_in_time && IsTrialDue(now, target))
    return kTrialFactor * m_mean_service_seconds;
  const double error = kServiceTimeError * m_mean_service_seconds;
  seconds = m_mean_service_seconds +
            std::max(0.0, seconds - m_mean_service_seconds - error) -
            std::max(0.0, m_mean_service_seconds - seconds - error);
  if (target.own_waiting == 0)
    return seconds;
  // n requests of mean weight w answer at intervals of s * w / n, so a longer
  // gap shows that s has grown before any report does. But requests that were
  // sent together, as by pipelining callers, are all silent for one service
  // time.
  const double waiting = target.own_waiting;
  const double mean_weight = target.own_waiting_weight / waiting;
  const double silence = ToSeconds(now - target.silent_since);
  if (silence <= kNormalSilence * seconds * mean_weight)
    return seconds;
  return std::max(seconds, silence * waiting / mean_weight / kMissingAnswers);
}

// A disturbance lasts some hundred milliseconds, so older reports are decayed.
double PowerOfChoicesPicker::SlowdownOf(TimePoint now,
                                        const Target& target) const {
  return DecayTowards(target.slowdown, 1.0, ToSeconds(now - target.reported_at),
                      ToSeconds(kSlowdownDecay));
}

double PowerOfChoicesPicker::CapacityOf(TimePoint now,
                                        const Target& target) const {
  const double limit = target.limit.value_or(target.candidate.slots);
  if (!target.candidate.warming_since)
    return std::max(1.0, limit);
  const double warm = ToSeconds(now - *target.candidate.warming_since) /
                      ToSeconds(m_settings.warmup);
  return std::max(1.0, limit) * std::clamp(warm, kColdFraction, 1.0);
}

double PowerOfChoicesPicker::TransferTimeOf(const Target& target,
                                            const PickRequest& request) const {
  const ZoneDistance distance = target.candidate.distance;
  const double round_trip =
      ToSeconds(m_settings.round_trip[static_cast<std::size_t>(distance)]);
  return distance == ZoneDistance::kSameZone
             ? round_trip
             : round_trip + ToSeconds(request.zone_transfer);
}

double PowerOfChoicesPicker::ScoreOf(TimePoint now,
                                     const Target& target,
                                     const PickRequest& request) const {
  const double capacity = CapacityOf(now, target);
  const double service =
      ServiceTimeOf(now, target, request) * SlowdownOf(now, target);
  const double utilisation = (LoadOf(now, target) + 1) / capacity;
  const double wait = service * std::max(0.0, utilisation - 1);
  const double congestion = service * CongestionOf(utilisation);
  const double score = TransferTimeOf(target, request) +
                       service * request.weight + wait + congestion;
  // Added, and in units of the mean service time: a target that fails instantly
  // has a score near 0, which a factor would not raise.
  const double failing =
      kFailureFactor * ExcessFailureOf(now, target) * m_mean_service_seconds;
  const double closed = now < target.closed_until ? kClosedPenaltySeconds : 0;
  return score + failing + closed;
}

}  // namespace bulrushmount
