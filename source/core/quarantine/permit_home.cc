// Part of `permit_home.h`.

#include "core/quarantine/permit_home.h"

namespace bulrushmount {

PermitHome::PermitHome(const QuarantineSettings& settings)
    : m_settings(settings) {}

void PermitHome::OnMembersChanged(
    const std::function<bool(Fingerprint)>& is_home) {
  std::erase_if(m_holders,
                [&](const auto& item) { return !is_home(item.first); });
}

bool PermitHome::OnAsk(TimePoint now,
                       NodeId entry,
                       const PermitAsk& ask,
                       bool is_settled) {
  RemoveExpiredPermits(now);
  const auto found = m_holders.find(ask.fingerprint);
  if (found != m_holders.end()) {
    Holder& holder = found->second;
    if (holder.entry == entry)
      return OnAskOfHolder(now, holder, ask);
    if (!holder.is_returned && now < holder.counted_until)
      return false;
  }
  if (ask.is_return)
    return false;
  // The previous home may have died with a permit in use. A new grant would let
  // a second entry run the suspect concurrently.
  if (!is_settled && !ask.is_renewal)
    return false;
  return Grant(now, entry, ask);
}

bool PermitHome::OnAskOfHolder(TimePoint now,
                               Holder& holder,
                               const PermitAsk& ask) {
  const bool is_repeat = ask.ask <= holder.last_ask;
  const bool is_old = ask.permit < holder.permit;
  if (is_repeat || is_old)
    return ask.permit == holder.permit && !holder.is_returned &&
           now < holder.counted_until;
  holder.last_ask = ask.ask;
  if (ask.is_return) {
    holder.permit = ask.permit;
    holder.is_returned = true;
    return false;
  }
  // An entry has one permit for a fingerprint at a time, so a request for a
  // later permit implies that the earlier one has ended.
  if (ask.permit == holder.permit && holder.is_returned)
    return false;
  return Grant(now, holder.entry, ask);
}

bool PermitHome::Grant(TimePoint now, NodeId entry, const PermitAsk& ask) {
  const bool is_known = m_holders.contains(ask.fingerprint);
  if (!is_known && m_holders.size() >= m_settings.max_records)
    return false;
  Holder& holder = m_holders[ask.fingerprint];
  holder.entry = entry;
  holder.permit = ask.permit;
  holder.last_ask = ask.ask;
  holder.counted_until =
      now + m_settings.permit_term + m_settings.permit_clock_drift_margin;
  holder.is_returned = false;
  return true;
}

void PermitHome::RemoveExpiredPermits(TimePoint now) {
  if (now - m_swept_at < m_settings.permit_term)
    return;
  m_swept_at = now;
  std::erase_if(m_holders, [&](const auto& item) {
    return item.second.counted_until <= now;
  });
}

}  // namespace bulrushmount
