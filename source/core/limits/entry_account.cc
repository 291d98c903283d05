// Part of `entry_account.h`.

#include "core/limits/entry_account.h"

#include <algorithm>
#include <cmath>

namespace bulrushmount::detail {

namespace {

// Tolerance for sums of units, which are rounded differently here and at the
// home.
constexpr double kRoundingTolerance = 1e-6;

// The time between requests to a home that does not answer doubles up to 2^3
// times the minimum interval.
constexpr std::uint32_t kMaxBackoffShift = 3;

constexpr double kSignificantCalls = 4;
constexpr double kDemandTimeConstantSeconds = 2;

double AllowedRate(const WorkspaceLimits& limits, std::size_t members) {
  return limits.units_per_second / static_cast<double>(members);
}

}  // namespace

EntryAccount::EntryAccount(const LimitsSettings& settings,
                           WorkspaceKey key,
                           const WorkspaceLimits& limits,
                           std::size_t members,
                           TimePoint now)
    : m_settings(settings),
      m_key(key),
      m_limits(limits),
      m_allowed_in_flight(AllowedInFlight(settings, limits, members)),
      m_allowance(now,
                  AllowedRate(limits, members),
                  AllowedUnits(settings, limits, members)),
      m_rate_bucket(now, 0, 0) {}

Reason EntryAccount::TryAdmit(TimePoint now, double units) {
  EndExpiredSession(now);
  if (units > m_max_call_units) {
    m_max_call_units = units;
    SetRate(now, m_rate);
  }
  m_last_call = now;
  m_offered_units += units;

  m_peak_in_flight = std::max(m_peak_in_flight, m_in_flight + 1);
  if (m_in_flight >= InFlightShare(now)) {
    m_was_refused = true;
    ++m_peak_in_flight;
    return Reason::kWorkspaceInFlightLimit;
  }
  if (!TakeUnits(now, units)) {
    m_was_refused = true;
    return Reason::kWorkspaceRateLimit;
  }
  ++m_in_flight;
  return Reason::kNone;
}

void EntryAccount::OnCallEnded() {
  if (m_in_flight > 0)
    --m_in_flight;
}

void EntryAccount::Reconfigure(TimePoint now,
                               const WorkspaceLimits& limits,
                               std::size_t members) {
  m_allowed_in_flight = AllowedInFlight(m_settings, limits, members);
  m_allowance.Reconfigure(now, AllowedRate(limits, members),
                          AllowedUnits(m_settings, limits, members));
  if (limits == m_limits)
    return;
  // Credit that was lent under the old contract must not exceed the new limits.
  const double capacity = LendingCapacity(m_settings, limits);
  m_granted_units = std::min(m_granted_units, m_used_units + capacity);
  m_in_flight_share = std::min(m_in_flight_share, limits.in_flight);
  m_former_loan.units = std::min(m_former_loan.units, capacity);
  SetRate(now, std::min(m_rate, limits.units_per_second));
  m_former_loan.in_flight = std::min(m_former_loan.in_flight, limits.in_flight);
  m_limits = limits;
  m_is_request_due = true;
}

void EntryAccount::SetHome(TimePoint now, const Peer& home) {
  const bool is_same = home.id == m_home.id;
  m_home = home;
  if (is_same)
    return;
  if (HasLoan(now))
    m_former_loan = {std::max(0.0, Balance()), m_in_flight_share,
                     m_valid_until};
  EndSession();
}

bool EntryAccount::IsActive(TimePoint now) const {
  return m_in_flight > 0 || now - m_last_call < m_settings.idle_time;
}

bool EntryAccount::IsStarved() const {
  return m_was_refused || Balance() < m_target_units / 4 ||
         m_in_flight * 4 > m_in_flight_share * 3;
}

bool EntryAccount::IsDue(TimePoint now,
                         Duration interval,
                         Duration starved_interval) const {
  if (m_is_request_due)
    return true;
  const Duration waited = now - m_last_request.sent_at;
  if (m_unanswered > 0) {
    const std::uint32_t shift = std::min(m_unanswered - 1, kMaxBackoffShift);
    return waited >= m_settings.min_interval * (1U << shift);
  }
  if (now >= m_valid_until)
    return waited >= m_settings.min_interval;
  return waited >= WantedInterval(interval, starved_interval);
}

Duration EntryAccount::WantedInterval(Duration interval,
                                      Duration starved_interval) const {
  if (m_pace == RequestPace::kConfirm)
    return m_settings.min_interval;
  if (IsStarved())
    return std::max(starved_interval, m_home_interval);
  if (m_pace == RequestPace::kRelaxed)
    return std::max(interval, FromSeconds(m_settings.relaxed_term_part *
                                          ToSeconds(m_term)));
  return std::max(interval, m_home_interval);
}

AllotmentRequest EntryAccount::MakeRequest(TimePoint now,
                                           Duration interval,
                                           RequestNumber number,
                                           std::uint64_t& next_session) {
  EndExpiredSession(now);
  UpdateDemand(now);
  if (m_session == LendingSession())
    m_session = LendingSession(next_session++);
  const double capacity = LendingCapacity(m_settings, m_limits);
  // The lent rate covers steady demand; units cover bursts.
  const Duration ahead = std::min(2 * interval, m_settings.lending_horizon);
  m_target_units = std::max(2 * m_max_call_units, m_demand * ToSeconds(ahead));
  m_target_units = std::min(m_target_units, capacity);

  AllotmentRequest request;
  request.workspace = m_key;
  request.session = m_session;
  request.number = number;
  request.used_units = m_used_units;
  request.target_units = m_target_units;
  request.demand = m_demand;
  request.in_flight = m_in_flight;
  request.in_flight_target =
      std::min(m_limits.in_flight, 2 * m_peak_in_flight + 1);
  request.in_flight_held = HasLoan(now) ? m_in_flight_share
                           : now < m_former_loan.valid_until
                               ? m_former_loan.in_flight
                               : 0;
  request.rate_held = IsRateValid(now) ? m_rate : 0;
  request.applied = m_applied;

  m_previous_request = m_last_request;
  m_last_request = {number, now};
  ++m_unanswered;
  m_is_request_due = false;
  m_was_refused = false;
  m_peak_in_flight = std::max(m_in_flight, m_peak_in_flight / 2);
  return request;
}

bool EntryAccount::HasLoan(TimePoint now) const {
  return now < m_valid_until;
}

AllotmentRequest EntryAccount::MakeRelease(TimePoint now,
                                           RequestNumber number) {
  AllotmentRequest request;
  request.workspace = m_key;
  request.session = m_session;
  request.number = number;
  request.used_units = m_used_units;
  request.applied = m_applied;
  request.is_release = true;
  EndSession();
  m_former_loan = FormerLoan();
  SetRate(now, 0);
  m_demand = 0;
  return request;
}

void EntryAccount::Apply(TimePoint now, const Allotment& allotment) {
  if (allotment.session != m_session || allotment.number <= m_applied)
    return;
  TimePoint sent_at;
  if (allotment.number == m_last_request.number)
    sent_at = m_last_request.sent_at;
  else if (allotment.number == m_previous_request.number)
    sent_at = m_previous_request.sent_at;
  else
    return;
  m_valid_until = std::max(m_valid_until, sent_at + allotment.term);
  m_granted_units = std::max(m_granted_units, allotment.granted_units);
  m_in_flight_share = allotment.in_flight;
  SetRate(now, allotment.rate);
  m_home_interval = allotment.interval;
  m_pace = allotment.pace;
  m_term = allotment.term;
  m_applied = allotment.number;
  m_unanswered = 0;
  m_former_loan = FormerLoan();
  if (Balance() >= 0)
    m_allowance.Fill();
}

bool EntryAccount::IsHomeSilent() const {
  return m_unanswered > m_settings.max_unanswered_requests;
}

std::uint32_t EntryAccount::InFlightShare(TimePoint now) const {
  if (HasLoan(now))
    return IsHomeSilent() ? std::max(m_in_flight_share, m_allowed_in_flight)
                          : m_in_flight_share;
  if (now < m_former_loan.valid_until)
    return std::max(m_former_loan.in_flight, m_allowed_in_flight);
  return m_allowed_in_flight;
}

bool EntryAccount::TakeUnits(TimePoint now, double units) {
  if (TakeLentUnits(now, units))
    return true;
  // While the home answers, the loan is the limit. A home that does not answer
  // cannot lend more, so the entry then falls back to its local allowance.
  if (HasLoan(now) && !IsHomeSilent())
    return false;
  if (!m_allowance.TryTake(now, units))
    return false;
  m_used_units += units;
  return true;
}

bool EntryAccount::IsRateValid(TimePoint now) const {
  return HasLoan(now) || now < m_former_loan.valid_until;
}

void EntryAccount::SetRate(TimePoint now, double rate) {
  const double saved = rate * ToSeconds(m_settings.rate_burst_window);
  m_rate = rate;
  m_rate_bucket.Reconfigure(
      now, rate, rate > 0 ? std::max(saved, 2 * m_max_call_units) : 0);
}

bool EntryAccount::TakeLentUnits(TimePoint now, double units) {
  if (!IsRateValid(now))
    return false;
  const double available = HasLoan(now) ? Balance() : m_former_loan.units;
  // A call that costs more than an entry can ever borrow puts the account into
  // debt instead of being refused forever.
  const double needed =
      std::min(units, LendingCapacity(m_settings, m_limits) / 2);
  if (m_rate_bucket.Level(now) + std::max(0.0, available) + kRoundingTolerance <
      needed)
    return false;
  const double rest = units - m_rate_bucket.TakeUpTo(now, units);
  if (HasLoan(now))
    m_used_units += rest;
  else
    m_former_loan.units -= rest;
  return true;
}

void EntryAccount::EndSession() {
  m_session = LendingSession();
  m_granted_units = 0;
  m_used_units = 0;
  m_in_flight_share = 0;
  m_pace = RequestPace::kNormal;
  m_valid_until = TimePoint();
  m_unanswered = 0;
  m_is_request_due = true;
}

void EntryAccount::EndExpiredSession(TimePoint now) {
  if (m_valid_until != TimePoint() && now >= m_valid_until)
    EndSession();
  if (m_rate > 0 && !IsRateValid(now))
    SetRate(now, 0);
}

void EntryAccount::UpdateDemand(TimePoint now) {
  const Duration since =
      std::max(now - m_last_request.sent_at, m_settings.min_interval);
  const double latest = m_offered_units / ToSeconds(since);
  // A few calls more or less in a short time are noise and are smoothed. Many
  // calls at once show that demand has risen, so the new value is used
  // immediately.
  const bool is_rise = m_offered_units > kSignificantCalls * m_max_call_units;
  const double weight =
      m_demand == 0 || (is_rise && latest > m_demand)
          ? 1.0
          : 1.0 - std::exp(-ToSeconds(since) / kDemandTimeConstantSeconds);
  m_demand += weight * (latest - m_demand);
  m_offered_units = 0;
}

}  // namespace bulrushmount::detail
