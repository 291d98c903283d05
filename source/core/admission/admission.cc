// Part of `admission.h`.

#include "core/admission/admission.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bulrushmount {

namespace {

// Prevents a busy loop of the timer by clock rounding.
constexpr Duration kMinTimerStep = std::chrono::microseconds(10);

std::optional<TimePoint> ObjectiveOf(TimePoint now,
                                     const AdmissionRequest& request) {
  if (!request.objective_left)
    return std::nullopt;
  return now + *request.objective_left;
}

WorkClass ClassOf(const AdmissionRequest& request) {
  return {request.rank, request.is_nested};
}

// Load pattern: nested calls alone exceed what their targets can run. A caller
// needs several of them at different targets, so long waits and held calls only
// delay the refusal of the others. Above this part of the slots' time, nested
// calls are refused as soon as their expected wait is long.
constexpr double kMaxNestedPart = 0.6;

std::optional<TimePoint> HoldEndOf(TimePoint now,
                                   const AdmissionRequest& request) {
  if (request.max_hold <= Duration::zero())
    return std::nullopt;
  return now + request.max_hold;
}

// Load pattern: for some seconds a third more arrives than can be served. Works
// that wait are overtaken by others that are more likely in time, are late
// after some hundred milliseconds and then refused, so their callers lose time
// that another attempt needs. A refusal within this fraction of the objective
// costs little.
constexpr double kDecisionFraction = 1.0 / 8;

TimePoint DecideBy(TimePoint now, Duration objective_left) {
  return now + FromSeconds(kDecisionFraction *
                           std::max(0.0, ToSeconds(objective_left)));
}

bool HasWorkspace(const WorkspaceName& workspace) {
  return !workspace.value().empty();
}

// Time that the request would have taken on an undisturbed target.
Duration UndisturbedTime(Duration elapsed, double slowdown) {
  return FromSeconds(ToSeconds(elapsed) / slowdown);
}

}  // namespace

Admission::Admission(const AdmissionSettings& settings,
                     std::unique_ptr<ConcurrencyLimit> limit,
                     StartGate* gate)
    : m_settings(settings),
      m_limit(std::move(limit)),
      m_gate(gate ? *gate : m_open_gate),
      m_service_times(settings.initial_service_time),
      m_slowdown_baseline(settings.baseline_window) {}

AdmissionOutput Admission::SetTarget(TimePoint now,
                                     std::uint32_t slots,
                                     std::uint32_t connections) {
  m_limit->SetSlots(slots);
  m_slots = slots;
  m_connections = connections;
  m_is_open = true;
  return Reschedule(now);
}

AdmissionOutput Admission::SetSlowdown(TimePoint now, double slowdown) {
  m_slowdown = slowdown;
  m_slowdown_baseline.OnReported(now, slowdown);
  if (m_is_cold)
    m_cold_slowdown = std::min(m_cold_slowdown.value_or(slowdown), slowdown);
  return Reschedule(now);
}

void Admission::SetCold(bool is_cold) {
  m_is_cold = is_cold;
  if (!is_cold)
    m_cold_slowdown.reset();
}

double Admission::BaselineSlowdown() const {
  return std::max(m_slowdown_baseline.slowdown(),
                  m_cold_slowdown.value_or(0.0));
}

bool Admission::IsDisturbed() const {
  return m_slowdown >= m_settings.hold_from_slowdown * BaselineSlowdown();
}

AdmissionOutput Admission::Drain(TimePoint now, Reason reason) {
  m_is_open = false;
  m_closed_reason = reason;
  AdmissionOutput output;
  for (const QueuedWork& work : m_queue.works())
    output.refuse.push_back({work.work, reason});
  m_queue.Reset();
  m_next_wakeup.reset();
  return output;
}

AdmissionOutput Admission::Arrive(TimePoint now,
                                  WorkId work,
                                  const AdmissionRequest& arrived) {
  if (!m_is_open)
    return {.start = {}, .refuse = {{work, m_closed_reason}}};
  AdmissionRequest request = arrived;
  const Duration cost = m_service_times.SlotTime(request.kind, request.weight);
  if (HasWorkspace(request.workspace)) {
    m_shares.OnArrived(now, request.workspace, request.share, cost);
    request.rank = RankOf(now, request);
  }
  UpdateHistories(now);
  if (request.is_nested)
    m_nested_demand.Add(now, ToSeconds(cost));
  m_histories[ClassOf(request)].last_arrival = now;
  QueuedWork queued{
      .work = work,
      .workspace = request.workspace,
      .kind = request.kind,
      .weight = request.weight,
      .share = request.share,
      .deadline = now + request.time_left,
      .max_wait_ends = now + MaxWaitOf(now, request),
      .decide_by = DecidesOnArrival(request)
                       ? std::optional(DecideBy(now, *request.objective_left))
                       : std::nullopt,
      .hold_ends = HoldEndOf(now, request),
      .objective = ObjectiveOf(now, request),
      .is_suspect = request.is_suspect,
      .is_nested = request.is_nested};
  m_queue.Push(request.rank, std::move(queued), cost);
  return Reschedule(now);
}

void Admission::OnAnswerBegun(TimePoint now,
                              WorkId work,
                              bool is_server_error) {
  const auto found = m_running.find(work);
  if (found == m_running.end() || found->second.is_answer_begun)
    return;
  Running& running = found->second;
  running.is_answer_begun = true;
  running.is_server_error = is_server_error;
  if (is_server_error || running.is_time_unknown)
    return;
  const Duration elapsed = now - running.started_at;
  m_service_times.OnFirstByte(
      running.kind, running.weight,
      UndisturbedTime(elapsed, running.slowdown_at_start));
  m_limit->OnAnswer(now, {running.kind, elapsed, running.in_flight_at_start,
                          running.slowdown_at_start});
}

AdmissionOutput Admission::OnEnded(TimePoint now, WorkId work, WorkEnd end) {
  const auto found = m_running.find(work);
  if (found == m_running.end())
    return {};
  if (end == WorkEnd::kAnswered)
    OnAnswerBegun(now, work, /*is_server_error=*/false);
  const Running running = std::move(found->second);
  m_running.erase(found);
  Release(running);
  const bool is_sample = end == WorkEnd::kAnswered &&
                         !running.is_server_error && !running.is_time_unknown;
  if (is_sample) {
    m_service_times.OnSlotFreed(
        running.kind, running.weight,
        UndisturbedTime(now - running.started_at, running.slowdown_at_start));
  }
  return Reschedule(now);
}

AdmissionOutput Admission::OnCancelled(TimePoint now, WorkId work) {
  if (m_queue.Remove(work))
    return Reschedule(now);
  const auto found = m_running.find(work);
  if (found == m_running.end())
    return {};
  const Running running = std::move(found->second);
  m_running.erase(found);
  Release(running);
  if (!running.is_answer_begun && !running.is_time_unknown) {
    m_service_times.OnAborted(
        running.kind, running.weight,
        UndisturbedTime(now - running.started_at, running.slowdown_at_start));
  }
  return Reschedule(now);
}

// The time of the pause is neither time in which works waited for a slot nor
// time that running works took.
void Admission::OnPaused(TimePoint now, Duration length) {
  UpdateHistories(std::max(m_histories_updated_at, now - length));
  m_histories_updated_at = now;
  for (auto& [work, running] : m_running) {
    running.is_time_unknown = true;
    running.started_at = std::min(now, running.started_at + length);
  }
}

AdmissionOutput Admission::OnTimer(TimePoint now) {
  return Reschedule(now);
}

std::optional<TimePoint> Admission::NextWakeup() const {
  return m_next_wakeup;
}

LoadReport Admission::load() const {
  return {.in_flight = static_cast<std::uint32_t>(m_running.size()),
          .queued = static_cast<std::uint32_t>(m_queue.works().size()),
          .limit = Limit(),
          .service_time = m_service_times.first_byte_per_unit()};
}

std::uint32_t Admission::Limit() const {
  if (!m_is_open)
    return 0;
  return std::min(m_limit->limit(), m_connections);
}

std::size_t Admission::MaxQueue() const {
  return static_cast<std::size_t>(
      std::ceil(m_settings.queue_per_slot * Limit()));
}

Duration Admission::MaxWaitOf(TimePoint now,
                              const AdmissionRequest& request) const {
  const double waits =
      request.is_last_attempt && !IsOverloaded(ClassOf(request))
          ? m_settings.max_wait_of_last_attempt
          : m_settings.max_wait;
  const Duration expected =
      FromSeconds(waits * ToSeconds(m_service_times.slot_time_per_unit()));
  const std::optional<Duration> in_time = OverloadWaitOf(now, request);
  if (!request.is_last_attempt)
    return in_time ? std::min(expected, *in_time) : expected;
  const double fraction = m_service_times.has_samples()
                              ? m_settings.min_wait_of_time_left
                              : m_settings.min_wait_before_first_answer;
  const Duration least = FromSeconds(fraction * ToSeconds(request.time_left));
  return std::max(in_time.value_or(expected), least);
}

// Nested calls are needed until their deadline, not until their objective.
std::optional<Duration> Admission::OverloadWaitOf(
    TimePoint now,
    const AdmissionRequest& request) const {
  if (!DecidesOnArrival(request) || request.is_nested ||
      !IsBacklogged(ClassOf(request)))
    return std::nullopt;
  const Duration longest = InTimeWaitOf(request);
  if (IsWithinShare(now, request))
    return longest;
  return FromSeconds(m_settings.excess_wait_fraction * ToSeconds(longest));
}

// Load pattern: a workspace of the most urgent priority floods a target. With
// its priority, the flood would take the capacity of all others, so priorities
// only apply to what is within the fair shares.
Rank Admission::RankOf(TimePoint now, const AdmissionRequest& request) const {
  const Duration cost = m_service_times.SlotTime(request.kind, request.weight);
  if (m_shares.IsUnderserved(now, request.workspace, cost))
    return 0;
  if (IsWithinShare(now, request))
    return request.rank;
  Rank least_urgent = request.rank;
  for (const auto& [work_class, history] : m_histories) {
    if (now - history.last_arrival <= m_settings.presence_time)
      least_urgent = std::max(least_urgent, work_class.rank);
  }
  return least_urgent;
}

bool Admission::IsWithinShare(TimePoint now,
                              const AdmissionRequest& request) const {
  Duration waiting = m_service_times.SlotTime(request.kind, request.weight);
  for (const QueuedWork& work : m_queue.works()) {
    if (work.workspace == request.workspace)
      waiting += m_service_times.SlotTime(work.kind, work.weight);
  }
  return m_shares.IsWithinShare(now, request.workspace, waiting);
}

// A suspect may have to wait for another one, whose end is not predictable.
bool Admission::DecidesOnArrival(const AdmissionRequest& request) const {
  return m_settings.decides_on_arrival && request.objective_left &&
         !request.is_suspect &&
         (HasWorkspace(request.workspace) ||
          (request.is_nested && DoNestedCallsFit()));
}

Duration Admission::InTimeWaitOf(const AdmissionRequest& request) const {
  const Duration takes =
      m_service_times.FirstByte(request.kind, request.weight);
  return *request.objective_left - TimeOf(takes);
}

bool Admission::IsDecided(TimePoint now, const QueuedWork& work) const {
  return work.decide_by && *work.decide_by < now;
}

bool Admission::DoNestedCallsFit() const {
  return m_nested_demand.At(m_histories_updated_at) <
         kMaxNestedPart * Limit() * ToSeconds(kNestedDemandTime);
}

bool Admission::IsOverloaded(const WorkClass& work_class) const {
  // Nested calls that overload the target gain nothing from the slots of new
  // work of their rank.
  const WorkClass least_urgent{work_class.rank,
                               work_class.is_nested && DoNestedCallsFit()};
  const bool has_less_urgent_class =
      std::any_of(m_histories.upper_bound(least_urgent), m_histories.end(),
                  [this](const auto& entry) {
                    return m_histories_updated_at - entry.second.last_arrival <=
                           m_settings.presence_time;
                  });
  return !has_less_urgent_class && IsBacklogged(work_class);
}

bool Admission::IsBacklogged(const WorkClass& work_class) const {
  return m_histories.at(work_class).waiting_fraction >
         m_settings.overload_fraction;
}

void Admission::UpdateHistories(TimePoint now) {
  const double decay = std::exp(-ToSeconds(now - m_histories_updated_at) /
                                ToSeconds(m_settings.overload_time_constant));
  for (auto& [work_class, history] : m_histories) {
    const double waits = m_queue.CountUpTo(work_class) > 0 ? 1 : 0;
    history.waiting_fraction =
        waits + (history.waiting_fraction - waits) * decay;
  }
  m_histories_updated_at = now;
}

AdmissionOutput Admission::Reschedule(TimePoint now) {
  UpdateHistories(now);
  AdmissionOutput output;
  m_queue.UpdateTimeliness(
      [this, now](const QueuedWork& work) { return TimelinessOf(now, work); });
  m_queue.SetContended(IsContended(now));
  RefuseUnservable(now, output);
  StartEligible(now, output);
  RefuseOverflow(now, output);
  ScheduleWakeup(now);
  return output;
}

// The mean service time alone is not enough: under overload every work would
// start with just the mean time left, and half of the answers would be slightly
// late.
Timeliness Admission::TimelinessOf(TimePoint now,
                                   const QueuedWork& work) const {
  if (!work.objective)
    return Timeliness::kLikely;
  const Duration left = *work.objective - now;
  const Duration mean = m_service_times.FirstByte(work.kind, work.weight);
  if (TimeOf(mean) > left)
    return Timeliness::kLate;
  const bool is_likely =
      !m_settings.uses_likely_times || LikelyTimeOf(work) <= left;
  return is_likely ? Timeliness::kLikely : Timeliness::kPossible;
}

Duration Admission::TimeOf(Duration undisturbed) const {
  return m_settings.response_delay +
         FromSeconds(ToSeconds(undisturbed) * BaselineSlowdown());
}

Duration Admission::LikelyTimeOf(const QueuedWork& work) const {
  return TimeOf(m_service_times.LikelyFirstByte(work.kind, work.weight));
}

bool Admission::IsContended(TimePoint now) const {
  std::vector<const QueuedWork*> due;
  for (const QueuedWork& work : m_queue.works()) {
    if (!work.objective)
      return true;
    if (work.timeliness != Timeliness::kLate)
      due.push_back(&work);
  }
  std::sort(due.begin(), due.end(),
            [](const QueuedWork* one, const QueuedWork* other) {
              return *one->objective < *other->objective;
            });
  const double release_rate = ReleaseRate(now);
  std::size_t ahead = 0;
  return std::any_of(due.begin(), due.end(), [&](const QueuedWork* work) {
    return ExpectedWait(now, release_rate, ahead++) >
           *work->objective - now - LikelyTimeOf(*work);
  });
}

void Admission::RefuseUnservable(TimePoint now, AdmissionOutput& output) {
  const double release_rate = ReleaseRate(now);
  const std::size_t first_new = output.refuse.size();
  std::size_t ahead = 0;
  for (const QueuedWork& work : m_queue.works()) {
    const Duration wait = ExpectedWait(now, release_rate, ahead);
    if (const std::optional<Reason> reason = RefusalReason(now, work, wait))
      output.refuse.push_back({work.work, *reason});
    else
      ++ahead;
  }
  for (std::size_t index = first_new; index < output.refuse.size(); ++index)
    m_queue.Remove(output.refuse[index].work);
}

void Admission::StartEligible(TimePoint now, AdmissionOutput& output) {
  m_is_holding = IsDisturbed() && !m_queue.works().empty();
  if (m_is_holding)
    return;
  while (m_running.size() < Limit() && m_gate.MayStart(now)) {
    const auto work = m_queue.PopFirst(m_suspects_running == 0);
    if (!work)
      break;
    Start(now, *work);
    m_gate.OnStarted(now);
    output.start.push_back(work->work);
  }
  if (m_running.empty() && m_queue.works().empty())
    m_queue.Reset();
}

void Admission::RefuseOverflow(TimePoint now, AdmissionOutput& output) {
  while (const std::optional<WorkId> work = FindOverflow(now)) {
    m_queue.Remove(*work);
    output.refuse.push_back({*work, Reason::kOverloaded});
  }
}

// Refuses the last to start, not the last to arrive: a workspace that floods
// the queue pushes out its own works, never those of another. Works that may no
// longer be refused are refused only if there are no others. Late ones among
// them delay no others and have a bound of their own.
std::optional<WorkId> Admission::FindOverflow(TimePoint now) const {
  std::size_t late_count = 0;
  std::optional<WorkId> last;
  for (const QueuedWork& work : m_queue.works()) {
    if (!IsDecided(now, work))
      last = work.work;
    else if (work.timeliness == Timeliness::kLate)
      ++late_count;
  }
  const std::size_t other_count = m_queue.works().size() - late_count;
  if (other_count <= MaxQueue() && late_count <= MaxQueue())
    return std::nullopt;
  return last ? last : m_queue.works().back().work;
}

void Admission::ScheduleWakeup(TimePoint now) {
  m_next_wakeup.reset();
  if (m_queue.works().empty())
    return;
  const double release_rate = ReleaseRate(now);
  // While no work ends, the release rate falls and expected waits grow, so the
  // queue is checked again after each mean slot time even if nothing is due.
  TimePoint wakeup = now + m_service_times.slot_time_per_unit();
  if (!m_gate.MayStart(now))
    wakeup = std::min(wakeup, now + m_gate.ExpectedWait(now, 0));
  std::size_t ahead = 0;
  for (const QueuedWork& work : m_queue.works()) {
    const Duration wait = ExpectedWait(now, release_rate, ahead++);
    wakeup =
        std::min(wakeup, IsDecided(now, work) ? LatestStart(now, work)
                                              : LatestStart(now, work) - wait);
    if (work.decide_by && !IsDecided(now, work))
      wakeup = std::min(wakeup, *work.decide_by);
    if (work.hold_ends)
      wakeup = std::min(wakeup, *work.hold_ends);
  }
  m_next_wakeup = std::max(wakeup, now + kMinTimerStep);
}

void Admission::Start(TimePoint now, const QueuedWork& work) {
  const auto in_flight = static_cast<std::uint32_t>(m_running.size() + 1);
  m_running[work.work] = {.kind = work.kind,
                          .weight = work.weight,
                          .started_at = now,
                          .in_flight_at_start = in_flight,
                          .slowdown_at_start = m_slowdown,
                          .is_suspect = work.is_suspect};
  if (HasWorkspace(work.workspace)) {
    m_shares.OnStarted(now, work.workspace,
                       m_service_times.SlotTime(work.kind, work.weight));
  }
  if (work.is_suspect)
    ++m_suspects_running;
}

void Admission::Release(const Running& running) {
  if (running.is_suspect)
    --m_suspects_running;
}

double Admission::ReleaseRate(TimePoint now) const {
  double rate = 0;
  for (const auto& [work, running] : m_running) {
    // A work that has run for longer than expected is assumed to run for as
    // long again: a frozen target or a long download frees no slot soon.
    const Duration expected =
        m_service_times.SlotTime(running.kind, running.weight);
    rate += 1 / ToSeconds(std::max(expected, now - running.started_at));
  }
  return rate;
}

Duration Admission::ExpectedWait(TimePoint now,
                                 double release_rate,
                                 std::size_t ahead) const {
  return std::max(WaitForSlot(release_rate, ahead),
                  m_gate.ExpectedWait(now, ahead));
}

Duration Admission::WaitForSlot(double release_rate, std::size_t ahead) const {
  const std::size_t needed = m_running.size() + ahead + 1;
  if (needed <= Limit())
    return Duration::zero();
  if (release_rate <= 0)
    return Duration::max();
  return FromSeconds(static_cast<double>(needed - Limit()) / release_rate);
}

TimePoint Admission::LatestStart(TimePoint now, const QueuedWork& work) const {
  const Duration needed = m_service_times.FirstByte(work.kind, work.weight);
  if (IsDecided(now, work))
    return work.deadline - needed;
  return std::min(work.deadline - needed, work.max_wait_ends);
}

bool Admission::IsBlocked(const QueuedWork& work) const {
  return work.is_suspect && m_suspects_running > 0;
}

std::optional<Reason> Admission::RefusalReason(TimePoint now,
                                               const QueuedWork& work,
                                               Duration wait) const {
  if (work.deadline <= now)
    return Reason::kDeadlineTooShort;
  if (work.hold_ends && *work.hold_ends <= now)
    return Reason::kSlowTarget;
  // An idle target accepts any request. Otherwise estimates from a slow period
  // could refuse all requests and never be corrected.
  if (m_running.empty() && wait == Duration::zero() && !IsDisturbed())
    return std::nullopt;
  if (work.deadline - now <= m_service_times.FirstByte(work.kind, work.weight))
    return Reason::kDeadlineTooShort;
  if (wait == Duration::zero() && !IsBlocked(work))
    return std::nullopt;
  if (!IsDecided(now, work) && wait >= LatestStart(now, work) - now)
    return Reason::kOverloaded;
  return std::nullopt;
}

}  // namespace bulrushmount
