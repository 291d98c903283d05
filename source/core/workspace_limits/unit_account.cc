// Part of `unit_account.h`.

#include "core/workspace_limits/unit_account.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace bulrushmount::detail {

namespace {

// Time between two steps of an exchange: more than a round trip between zones
// (9 ms where zones are 4.5 ms apart) and its processing.
constexpr Duration kStepInterval = std::chrono::milliseconds(20);

// The step at which the exchange is repeated, the one at which the deputy is
// asked, and the last one.
constexpr int kRepeatStep = 1;
constexpr int kDeputyStep = 2;
constexpr int kLastStep = 3;

// Local units are used only once the home has been silent for this long: by
// then it has lowered its share if it is alive and cannot reach this node.
constexpr Duration kSilenceBeforeLocal = std::chrono::seconds(3);

// How long a local unit can be used.
constexpr Duration kLocalUnitLifetime = std::chrono::seconds(1);

// If the home has been silent for this long, a refusal by its deputy is final.
constexpr Duration kLongSilence = std::chrono::seconds(1);

// A longer wait than the home asks for is a corrupt datagram.
constexpr Duration kMaxBlockTime = std::chrono::seconds(1);

// Credit is asked ahead for this time.
constexpr Duration kAheadTime = kUnitLifetime / 2;
// Time constant of the estimate of the rate of calls.
constexpr Duration kRateTime = std::chrono::milliseconds(500);

constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(2);

constexpr Duration kUnusedTime = std::chrono::seconds(10);

}  // namespace

UnitAccount::UnitAccount(WorkspaceKey workspace,
                         const WorkspaceLimitsSettings& settings,
                         RandomSource& random,
                         UnitAccountOutlet& outlet,
                         const UnitCounters& counters,
                         TimePoint now)
    : m_workspace(workspace),
      m_settings(settings),
      m_random(random),
      m_outlet(outlet),
      m_returned_since(now),
      m_blocked_until(now),
      m_recent_calls(kRateTime),
      m_last_call(now),
      m_counters(counters) {}

UnitDecision UnitAccount::Admit(TimePoint now, CallId call) {
  m_recent_calls.Add(now, 1);
  m_last_call = now;
  if (m_waiting.empty()) {
    if (const std::optional<UnitDecision> taken = TakeCredit(now))
      return *taken;
    if (now < m_blocked_until)
      return Refuse(UnitSource::kHomeBefore);
  }
  if (MayUseLocalUnits(now) && TakeLocal(now)) {
    // Finds out whether the home is back.
    if (!m_exchange)
      StartExchange(now);
    return {};
  }
  ++m_counters.held;
  m_waiting.push_back({call, now + kMaxUnitWait});
  if (!m_exchange)
    StartExchange(now);
  return {UnitVerdict::kHeld};
}

void UnitAccount::Withdraw(CallId call) {
  std::erase_if(m_waiting, [&](const WaitingCall& waiting) {
    return waiting.call == call;
  });
}

void UnitAccount::GiveBack(TimePoint now, const UnitLease& lease) {
  if (m_counters.admitted > 0)
    --m_counters.admitted;
  if (now < lease.expires_at) {
    const auto place = std::find_if(
        m_credits.begin(), m_credits.end(), [&](const Credit& credit) {
          return credit.lease.expires_at > lease.expires_at;
        });
    m_credits.insert(place, {lease, 1, false});
    ServeWaiting(now);
    return;
  }
  ReportUnused(1, lease.requested_at);
}

void UnitAccount::ReportUnused(std::uint32_t units, TimePoint requested_at) {
  m_returned_since =
      m_returned == 0 ? requested_at : std::min(m_returned_since, requested_at);
  m_returned += units;
}

void UnitAccount::TakeOwed(TimePoint now) {
  DropExpired(now);
  ++m_counters.admitted;
  if (m_waiting.empty() && !m_credits.empty()) {
    if (--m_credits.front().units == 0)
      m_credits.pop_front();
    return;
  }
  ++m_owed;
  if (!m_exchange)
    StartExchange(now);
}

void UnitAccount::DropExpired(TimePoint now) {
  while (!m_credits.empty() && m_credits.front().lease.expires_at <= now) {
    const Credit& credit = m_credits.front();
    if (!credit.is_fallback)
      ReportUnused(credit.units, credit.lease.requested_at);
    m_credits.pop_front();
  }
}

std::optional<UnitDecision> UnitAccount::TakeCredit(TimePoint now) {
  DropExpired(now);
  if (m_credits.empty())
    return std::nullopt;
  Credit& credit = m_credits.front();
  UnitDecision decision;
  ++m_counters.admitted;
  if (credit.is_fallback)
    ++m_counters.fallback;
  else
    decision.lease = credit.lease;
  if (--credit.units == 0)
    m_credits.pop_front();
  return decision;
}

bool UnitAccount::MayUseLocalUnits(TimePoint now) const {
  return m_silent_since && now - *m_silent_since >= kSilenceBeforeLocal;
}

void UnitAccount::OnHomeSilent(TimePoint since) {
  m_silent_since = since;
  // Of an isolated node's small part of a small rate, the first unit would
  // otherwise become available at all isolated nodes at the same time.
  m_local_units = m_random.Fraction();
  m_local_used = 0;
  m_local_at = since + kSilenceBeforeLocal;
}

// Units that are not taken within kLocalUnitLifetime expire: if they could be
// saved, many isolated nodes could use the units of a long time at once.
bool UnitAccount::TakeLocal(TimePoint now) {
  const double rate = m_outlet.LocalUnitsPerSecond(m_workspace) *
                      ToSeconds(m_settings.window) /
                      ToSeconds(m_settings.window + kLocalUnitLifetime);
  m_local_units += rate * ToSeconds(now - m_local_at);
  m_local_at = now;
  const double expired =
      std::floor(m_local_units - rate * ToSeconds(kLocalUnitLifetime));
  m_local_used = std::max(m_local_used, expired);
  if (m_local_used + 1 > m_local_units)
    return false;
  ++m_local_used;
  ++m_counters.admitted;
  ++m_counters.fallback;
  return true;
}

UnitDecision UnitAccount::Refuse(UnitSource source) {
  ++m_counters.refused;
  UnitDecision decision{UnitVerdict::kRefused};
  decision.source = source;
  const Duration least =
      std::clamp(m_retry_after, kMinRetryAfter, kMaxRetryAfter / 2);
  decision.retry_after =
      least + FromSeconds(ToSeconds(least) * m_random.Fraction());
  return decision;
}

void UnitAccount::StartExchange(TimePoint now) {
  DropExpired(now);
  Exchange exchange;
  UnitRequest& request = exchange.request;
  request.workspace = m_workspace;
  request.number = m_outlet.TakeNumber();
  request.wanted = static_cast<std::uint32_t>(m_waiting.size());
  request.ahead = static_cast<std::uint32_t>(
      m_recent_calls.At(now) * ToSeconds(kAheadTime) / ToSeconds(kRateTime));
  request.owed = std::exchange(m_owed, 0);
  if (m_returned > 0) {
    request.returned = std::exchange(m_returned, 0);
    request.returned_age = now - m_returned_since;
  }
  exchange.sent_at = now;
  m_exchange = exchange;
  ContinueExchange(now);
}

void UnitAccount::ContinueExchange(TimePoint now) {
  Exchange& exchange = *m_exchange;
  const int step = exchange.steps++;
  exchange.next_step_at = now + kStepInterval;
  if (step == kLastStep) {
    EndUnanswered(now);
    return;
  }
  // Copied: a response may arrive, and end the exchange, before this returns.
  const UnitRequest request = exchange.request;
  const bool is_silent = m_silent_since.has_value();
  if (step == kDeputyStep || (step == 0 && is_silent))
    AskDeputy();
  if (step == 0 || step == kRepeatStep)
    m_outlet.SendToHome(request);
  if (step == kRepeatStep)
    m_outlet.SendToHomeByRelays(request);
}

void UnitAccount::AskDeputy() {
  Exchange& exchange = *m_exchange;
  if (exchange.is_deputy_asked || exchange.request.wanted == 0)
    return;
  exchange.is_deputy_asked = true;
  UnitRequest request = exchange.request;
  request.is_for_reserve = true;
  request.ahead = 0;
  request.owed = 0;
  request.returned = 0;
  m_outlet.SendToDeputy(request);
}

void UnitAccount::EndUnanswered(TimePoint now) {
  if (!m_silent_since)
    OnHomeSilent(m_exchange->sent_at);
  m_last_exchange = std::exchange(m_exchange, std::nullopt);
  // The home may have counted them; if not, they are reported once more. Units
  // to be returned are not: they must not count twice.
  m_owed += m_last_exchange->request.owed;
  m_retry_after = kMinRetryAfter;
  const auto served =
      std::min<std::size_t>(m_waiting.size(), m_last_exchange->request.wanted);
  for (std::size_t index = 0; index < served; ++index) {
    const CallId call = m_waiting.front().call;
    m_waiting.pop_front();
    const bool is_admitted = MayUseLocalUnits(now) && TakeLocal(now);
    m_outlet.Decide(
        call, is_admitted ? UnitDecision{} : Refuse(UnitSource::kUnanswered));
  }
  if (!m_waiting.empty())
    StartExchange(now);
}

void UnitAccount::OnResponse(TimePoint now, const UnitResponse& response) {
  if (m_exchange && m_exchange->request.number == response.number) {
    OnExchangeResponse(now, *m_exchange, response);
    return;
  }
  if (m_last_exchange && m_last_exchange->request.number == response.number)
    OnExchangeResponse(now, *m_last_exchange, response);
}

void UnitAccount::OnExchangeResponse(TimePoint now,
                                     Exchange& exchange,
                                     const UnitResponse& response) {
  bool& is_heard = response.is_from_reserve ? exchange.is_deputy_heard
                                            : exchange.is_home_heard;
  // A repeat of the response must not add its units again.
  if (std::exchange(is_heard, true))
    return;
  if (!response.is_from_reserve)
    m_silent_since.reset();
  if (response.granted > 0) {
    const UnitLease lease{exchange.sent_at, exchange.sent_at + kUnitLifetime};
    m_credits.push_back({lease, response.granted, response.is_from_reserve});
    std::stable_sort(m_credits.begin(), m_credits.end(),
                     [](const Credit& left, const Credit& right) {
                       return left.lease.expires_at < right.lease.expires_at;
                     });
  }
  const bool is_current = m_exchange && &exchange == &*m_exchange;
  const bool is_refused = response.granted < exchange.request.wanted;
  if (is_refused && is_current) {
    m_blocked_until = now + std::min(response.next_unit, kMaxBlockTime);
    m_retry_after = response.retry_after;
  }
  // Otherwise the home may still answer.
  const bool is_final =
      !response.is_from_reserve || !is_refused ||
      (m_silent_since && now - *m_silent_since >= kLongSilence);
  const bool ends = is_current && is_final;
  if (ends)
    m_last_exchange = std::exchange(m_exchange, std::nullopt);
  ServeWaiting(now);
  if (!ends)
    return;
  if (is_refused)
    RefuseWaiting(now, response.is_from_reserve ? UnitSource::kDeputy
                                                : UnitSource::kHome);
  else if (!m_waiting.empty() && !m_exchange)
    StartExchange(now);
}

void UnitAccount::ServeWaiting(TimePoint now) {
  while (!m_waiting.empty()) {
    const std::optional<UnitDecision> taken = TakeCredit(now);
    if (!taken)
      return;
    const CallId call = m_waiting.front().call;
    m_waiting.pop_front();
    m_outlet.Decide(call, *taken);
  }
}

void UnitAccount::RefuseWaiting(TimePoint now, UnitSource source) {
  while (!m_waiting.empty()) {
    const CallId call = m_waiting.front().call;
    m_waiting.pop_front();
    const bool is_admitted = MayUseLocalUnits(now) && TakeLocal(now);
    m_outlet.Decide(call, is_admitted ? UnitDecision{} : Refuse(source));
  }
}

void UnitAccount::OnHomeChanged(TimePoint now) {
  m_silent_since.reset();
  m_blocked_until = now;
  if (!m_exchange)
    return;
  m_owed += m_exchange->request.owed;
  m_last_exchange = std::exchange(m_exchange, std::nullopt);
  if (!m_waiting.empty())
    StartExchange(now);
}

void UnitAccount::OnTimer(TimePoint now) {
  if (m_exchange && m_exchange->next_step_at <= now)
    ContinueExchange(now);
  while (!m_waiting.empty() && m_waiting.front().give_up_at <= now) {
    const CallId call = m_waiting.front().call;
    m_waiting.pop_front();
    m_retry_after = kMinRetryAfter;
    m_outlet.Decide(call, Refuse(UnitSource::kUnanswered));
  }
}

TimePoint UnitAccount::NextWakeup() const {
  TimePoint next = TimePoint::max();
  if (m_exchange)
    next = std::min(next, m_exchange->next_step_at);
  if (!m_waiting.empty())
    next = std::min(next, m_waiting.front().give_up_at);
  return next;
}

bool UnitAccount::IsUnused(TimePoint now) const {
  return m_waiting.empty() && !m_exchange && m_owed == 0 &&
         now - m_last_call >= kUnusedTime;
}

}  // namespace bulrushmount::detail
