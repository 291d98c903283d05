// Part of `limiter_home.h`.

#include "core/limits/limiter_home.h"

#include <algorithm>
#include <iterator>

namespace bulrushmount {

namespace {

// Time between two removals of loans whose term is over.
constexpr Duration kSweepPeriod = std::chrono::seconds(1);

// If a rate is lowered below this fraction of the rate that still counts, the
// home asks the entry to confirm it.
constexpr double kConfirmBelowPart = 0.9;

void AddToSums(detail::LimitAccount& account, const detail::Loan& loan) {
  account.outstanding += loan.granted_units - loan.used_units;
  account.demand += loan.demand;
  account.unknown_demands += loan.demand > 0 ? 0 : 1;
  account.rate_counted += loan.rate_counted;
  account.in_flight_counted += loan.in_flight_counted;
  account.in_flight_target += loan.in_flight_target;
}

void SubtractFromSums(detail::LimitAccount& account, const detail::Loan& loan) {
  account.outstanding -= loan.granted_units - loan.used_units;
  account.demand -= loan.demand;
  account.unknown_demands -= loan.demand > 0 ? 0 : 1;
  account.rate_counted -= loan.rate_counted;
  account.in_flight_counted -= loan.in_flight_counted;
  account.in_flight_target -= loan.in_flight_target;
}

// Returns whether `request` is repeated or reordered; it must not change the
// account.
bool IsStale(const detail::Loan& loan, const AllotmentRequest& request) {
  if (request.session != loan.session)
    return request.session < loan.session;
  return request.number <= loan.number;
}

}  // namespace

LimiterHome::LimiterHome(const LimitsSettings& settings, TimePoint now)
    : m_settings(settings), m_home_since(now) {}

void LimiterHome::SetLimits(TimePoint now,
                            WorkspaceKey workspace,
                            WorkspaceLimits limits) {
  m_limits[workspace] = limits;
  const auto found = m_accounts.find(workspace);
  if (found == m_accounts.end())
    return;
  detail::LimitAccount& account = found->second;
  Refill(now, account);
  account.limits = limits;
  account.level = std::min(account.level, limits.burst_units);
}

void LimiterHome::RemoveWorkspace(WorkspaceKey workspace) {
  m_limits.erase(workspace);
  m_accounts.erase(workspace);
}

std::optional<WorkspaceLimits> LimiterHome::LimitsOf(
    WorkspaceKey workspace) const {
  const auto found = m_limits.find(workspace);
  if (found == m_limits.end())
    return std::nullopt;
  return found->second;
}

void LimiterHome::OnMembersChanged(
    TimePoint now,
    std::size_t members,
    bool has_departure,
    const std::function<bool(WorkspaceKey)>& is_home) {
  m_members = std::max<std::size_t>(members, 1);
  if (has_departure)
    m_home_since = now;
  std::erase_if(m_accounts,
                [&](const auto& item) { return !is_home(item.first); });
}

std::optional<Allotment> LimiterHome::OnRequest(
    TimePoint now,
    NodeId entry,
    const AllotmentRequest& request) {
  const auto limits = m_limits.find(request.workspace);
  if (limits == m_limits.end())
    return std::nullopt;
  detail::LimitAccount& account =
      AccountOf(now, request.workspace, limits->second);
  Refill(now, account);
  RemoveExpiredLoans(now, account);

  const auto known = account.loans.find(entry);
  if (known != account.loans.end()) {
    if (IsStale(known->second, request))
      return std::nullopt;
    SubtractFromSums(account, known->second);
    if (known->second.session != request.session)
      known->second = detail::Loan();
  }
  detail::Loan& loan = account.loans[entry];
  loan.session = request.session;
  loan.number = request.number;
  RecordUse(account, loan, request);
  if (request.is_release) {
    // The entry no longer uses the rest, so it can be lent again.
    account.level =
        std::min(account.limits.burst_units,
                 account.level + loan.granted_units - loan.used_units);
    account.loans.erase(entry);
    return std::nullopt;
  }
  LendUnits(now, account, loan, request);
  LendRate(now, account, loan, request);
  LendInFlight(now, account, loan, request);
  const RequestPace pace = PaceFor(now, account, loan);
  loan.lent_by = request.number;
  const Duration term = Term(m_settings, m_members);
  loan.counted_until = now + term + m_settings.clock_drift_margin;
  AddToSums(account, loan);

  Allotment allotment;
  allotment.workspace = request.workspace;
  allotment.session = request.session;
  allotment.number = request.number;
  allotment.granted_units = loan.granted_units;
  allotment.in_flight = loan.in_flight_lent;
  allotment.rate = loan.rate_lent;
  allotment.term = term;
  allotment.interval = IntervalFor(now, account, loan);
  allotment.pace = pace;
  return allotment;
}

void LimiterHome::OnTimer(TimePoint now) {
  for (auto item = m_accounts.begin(); item != m_accounts.end();) {
    detail::LimitAccount& account = item->second;
    Refill(now, account);
    RemoveExpiredLoans(now, account);
    const bool is_full = account.level >= account.limits.burst_units;
    const bool is_idle = account.loans.empty() && is_full;
    item = is_idle ? m_accounts.erase(item) : std::next(item);
  }
}

// A home that is new to a workspace starts without units and earns them at the
// rate of the workspace. If it started full, a second full burst could be lent
// while loans of the old home are still in use.
detail::LimitAccount& LimiterHome::AccountOf(TimePoint now,
                                             WorkspaceKey workspace,
                                             const WorkspaceLimits& limits) {
  const auto [found, is_new] = m_accounts.try_emplace(workspace);
  detail::LimitAccount& account = found->second;
  if (is_new) {
    account.limits = limits;
    account.level = InitialLevel(now, limits);
    account.refilled_at = now;
    account.swept_at = now;
    account.lending_started_at = now;
    account.grace_until = m_home_since + m_settings.handover_grace;
  }
  return account;
}

double LimiterHome::InitialLevel(TimePoint now,
                                 const WorkspaceLimits& limits) const {
  const Duration since = now - m_home_since;
  const Duration in_grace = std::min(since, m_settings.handover_grace);
  const double unlent_part = 1.0 - LendablePart(m_settings, m_members);
  const double seconds =
      unlent_part * ToSeconds(in_grace) + ToSeconds(since - in_grace);
  return std::min(limits.burst_units, limits.units_per_second * seconds);
}

Duration LimiterHome::IntervalFor(TimePoint now,
                                  const detail::LimitAccount& account,
                                  const detail::Loan& loan) const {
  const bool is_first = loan.demand <= 0 || IsRampingUp(now, account);
  const double requests_per_second =
      is_first ? m_settings.home_first_requests_per_second
               : m_settings.home_requests_per_second;
  const double seconds =
      static_cast<double>(account.loans.size()) / requests_per_second;
  return std::min(FromSeconds(seconds), MaxInterval(m_settings, m_members));
}

// Returns whether some entries may not have sent their second request yet,
// which is the first one that reports a demand.
bool LimiterHome::IsRampingUp(TimePoint now,
                              const detail::LimitAccount& account) const {
  const double seconds = static_cast<double>(account.loans.size()) /
                         m_settings.home_first_requests_per_second;
  return now - account.lending_started_at < 2 * FromSeconds(seconds);
}

double LimiterHome::HeadroomFor(TimePoint now,
                                const detail::LimitAccount& account,
                                const detail::Loan& loan) const {
  const double total = account.demand + loan.demand;
  if (total <= 0 || now < account.grace_until || IsRampingUp(now, account))
    return m_settings.rate_headroom;
  const double low_use_rate = m_settings.low_use_rate_part *
                              account.limits.units_per_second *
                              LendablePart(m_settings, m_members);
  return std::clamp(low_use_rate / total, m_settings.rate_headroom,
                    m_settings.max_rate_headroom);
}

RequestPace LimiterHome::PaceFor(TimePoint now,
                                 const detail::LimitAccount& account,
                                 const detail::Loan& loan) const {
  if (loan.demand <= 0)
    return RequestPace::kNormal;
  const double rate = account.limits.units_per_second;
  const bool is_scarce =
      (account.demand + loan.demand) * m_settings.rate_headroom >
      rate * LendablePart(m_settings, m_members);
  if (is_scarce && loan.rate_lent < kConfirmBelowPart * loan.rate_counted)
    return RequestPace::kConfirm;
  const double relaxed_rate = m_settings.relaxed_headroom * loan.demand;
  const bool has_units = loan.granted_units > loan.used_units;
  const bool has_calls =
      2 * (account.in_flight_target + loan.in_flight_target) <=
      account.limits.in_flight;
  const bool is_relaxed =
      loan.rate_lent >= relaxed_rate && has_units && has_calls;
  return is_relaxed ? RequestPace::kRelaxed : RequestPace::kNormal;
}

void LimiterHome::Refill(TimePoint now, detail::LimitAccount& account) const {
  const WorkspaceLimits& limits = account.limits;
  const double capacity = LendingCapacity(m_settings, limits);
  const double ceiling =
      std::min(limits.burst_units, capacity - account.outstanding);
  const double unlent_part = 1.0 - LendablePart(m_settings, m_members);
  const double unlent_rate = limits.units_per_second * unlent_part;
  const double rate =
      std::max(0.0, limits.units_per_second - account.rate_counted);
  // Entries may use rates of an old home until the grace time is over, so only
  // the unlent rate accrues until then.
  const Duration in_grace =
      std::clamp(account.grace_until - account.refilled_at, Duration(0),
                 now - account.refilled_at);
  const Duration after = now - account.refilled_at - in_grace;
  const double earned = std::min(rate, unlent_rate) * ToSeconds(in_grace) +
                        rate * ToSeconds(after);
  account.level =
      std::max(account.level, std::min(ceiling, account.level + earned));
  account.refilled_at = now;
}

void LimiterHome::RemoveExpiredLoans(TimePoint now,
                                     detail::LimitAccount& account) const {
  if (now - account.swept_at < kSweepPeriod)
    return;
  account.swept_at = now;
  std::erase_if(account.loans, [&](const auto& item) {
    const bool is_over = item.second.counted_until <= now;
    if (is_over)
      SubtractFromSums(account, item.second);
    return is_over;
  });
  if (account.loans.empty()) {
    // Resets the sums so that rounding errors do not accumulate over months.
    account.outstanding = 0;
    account.demand = 0;
    account.rate_counted = 0;
  }
}

void LimiterHome::RecordUse(detail::LimitAccount& account,
                            detail::Loan& loan,
                            const AllotmentRequest& request) const {
  if (request.used_units > loan.granted_units) {
    account.level -= request.used_units - loan.granted_units;
    loan.granted_units = request.used_units;
  }
  loan.used_units = std::max(loan.used_units, request.used_units);
  loan.demand = request.demand;
  loan.in_flight = request.in_flight;
  loan.in_flight_target = request.in_flight_target;

  // After a partition the units admitted on the other side are deducted as
  // debt. The debt is bounded, so that a workspace is not refused for as long
  // as the partition lasted.
  const double allowances =
      AllowedUnits(m_settings, account.limits, m_members) *
      static_cast<double>(m_members);
  const double floor =
      std::max(LendingCapacity(m_settings, account.limits), allowances);
  account.level = std::max(account.level, -floor);
}

// Units that no entry has requested are lent in advance. An entry that has a
// loan admits only from it, and its first loan is sized by its first call.
// Without units in advance a workspace far below its limit would be refused
// with workspace-rate-limit when its demand rises within milliseconds, in the
// first seconds of a fleet or of a limiter home. While the home ramps up, every
// member may be about to send a request and each gets an equal part; later only
// the known borrowers share.
double LimiterHome::AdvanceUnits(TimePoint now,
                                 const detail::LimitAccount& account,
                                 double level) const {
  const std::size_t loans = account.loans.size();
  const std::size_t takers = IsRampingUp(now, account)
                                 ? std::max(m_members, loans) - loans + 1
                                 : loans;
  const double equal_part = level / static_cast<double>(takers + 1);
  // If the workspace uses a single entry, that entry needs a large part of the
  // burst.
  const double spare = level - account.limits.burst_units / 2;
  return std::max(spare, equal_part);
}

void LimiterHome::LendUnits(TimePoint now,
                            detail::LimitAccount& account,
                            detail::Loan& loan,
                            const AllotmentRequest& request) const {
  const WorkspaceLimits& limits = account.limits;
  const double level = std::max(0.0, account.level);
  const double balance = loan.granted_units - loan.used_units;
  double amount = std::clamp(request.target_units - balance, 0.0, level);
  if (HeadroomFor(now, account, loan) >= m_settings.relaxed_headroom) {
    const double relaxed_units =
        m_settings.relaxed_units_factor * request.target_units - balance;
    amount = std::max(amount, std::min(relaxed_units, level / 8));
  }

  const double total_demand = account.demand + loan.demand;
  const bool is_scarce =
      total_demand > limits.units_per_second && loan.demand > 0;
  if (is_scarce) {
    // Each entry gets its share of the units earned since its last loan.
    // Otherwise the entries that send their requests first would take all
    // units.
    const Duration since = loan.lent_at == TimePoint() ? m_settings.min_interval
                                                       : now - loan.lent_at;
    const double earned = limits.units_per_second * ToSeconds(since);
    const double part = loan.demand / total_demand;
    amount = std::min(amount, part * (level + earned));
  } else {
    amount = std::max(amount, AdvanceUnits(now, account, level) - balance);
  }

  account.level -= amount;
  loan.granted_units += amount;
  loan.lent_at = now;
}

void LimiterHome::LendRate(TimePoint now,
                           detail::LimitAccount& account,
                           detail::Loan& loan,
                           const AllotmentRequest& request) const {
  const double lendable =
      account.limits.units_per_second * LendablePart(m_settings, m_members);
  // A lower rate counts only once the entry has applied it.
  if (request.applied >= loan.lent_by)
    loan.rate_counted = loan.rate_lent;

  const double headroom = HeadroomFor(now, account, loan);
  double wanted = loan.demand * headroom;
  double total = (account.demand + loan.demand) * headroom;
  // Entries with unknown demand count like this one. Otherwise, in a fleet of a
  // thousand entries that all receive calls of the workspace, the first ones to
  // report demand would get the whole rate, and it would take several rounds of
  // requests to redistribute it.
  if (IsRampingUp(now, account))
    total += static_cast<double>(account.unknown_demands) * wanted;
  // During the grace time an entry keeps its rate but gets no more: the old
  // home has shared the rate fairly, and not all demand is known here yet.
  if (now < account.grace_until)
    wanted = std::min(wanted, std::max(request.rate_held, loan.rate_lent));
  else if (total > lendable)
    wanted *= lendable / total;
  const double free = std::max(0.0, lendable - account.rate_counted);
  loan.rate_lent = std::min(wanted, free);
  loan.rate_counted = std::max(loan.rate_counted, loan.rate_lent);
}

void LimiterHome::LendInFlight(TimePoint now,
                               detail::LimitAccount& account,
                               detail::Loan& loan,
                               const AllotmentRequest& request) const {
  const std::uint32_t limit = account.limits.in_flight;
  // A smaller share counts only once the entry has applied it.
  if (request.applied >= loan.lent_by)
    loan.in_flight_counted = loan.in_flight_lent;
  loan.in_flight_counted = std::max(loan.in_flight_counted, loan.in_flight);
  if (now < account.grace_until) {
    const std::uint32_t least =
        AllowedInFlight(m_settings, account.limits, m_members);
    const std::uint32_t kept = std::max(request.in_flight_held, loan.in_flight);
    loan.in_flight_lent = std::min(limit, std::max(kept, least));
  } else {
    const std::uint64_t others = account.in_flight_counted;
    const std::uint64_t free = others < limit ? limit - others : 0;
    const std::uint64_t targets =
        account.in_flight_target + request.in_flight_target;
    std::uint64_t wanted = request.in_flight_target;
    if (targets > limit)
      wanted = std::max<std::uint64_t>(1, limit * wanted / targets);
    else if (free > wanted + limit / 2)
      wanted = free - limit / 2;
    loan.in_flight_lent =
        static_cast<std::uint32_t>(std::min<std::uint64_t>(wanted, free));
  }
  loan.in_flight_counted =
      std::max(loan.in_flight_counted, loan.in_flight_lent);
}

}  // namespace bulrushmount
