// Part of `target_notices.h`.

#include "core/routing/target_notices.h"

#include <utility>

namespace bulrushmount {

void TargetNotices::OnReported(const LoadReport& load) {
  if (load.process == TargetProcess())
    return;
  const auto found = m_notices.find(load.process);
  const bool is_known = found != m_notices.end();
  const bool was_leaving = is_known && found->second.notice.is_leaving;
  TargetNotice notice = load.notice;
  notice.is_leaving |= was_leaving;
  if (notice.is_leaving && !was_leaving)
    m_newly_leaving.push_back(load.process);
  if (is_known)
    found->second.notice = notice;
  else if (notice != TargetNotice())
    Add(load.process, notice);
  if (is_known && notice == TargetNotice()) {
    m_order.erase(found->second.position);
    m_notices.erase(found);
  }
}

void TargetNotices::Add(TargetProcess process, const TargetNotice& notice) {
  if (m_order.size() >= kMaxProcesses) {
    m_notices.erase(m_order.front());
    m_order.pop_front();
  }
  m_notices[process] = {notice, m_order.insert(m_order.end(), process)};
}

bool TargetNotices::IsLeaving(TargetProcess process) const {
  const auto found = m_notices.find(process);
  return found != m_notices.end() && found->second.notice.is_leaving;
}

std::optional<double> TargetNotices::RateLimitOf(TargetProcess process) const {
  const auto found = m_notices.find(process);
  return found == m_notices.end() ? std::nullopt
                                  : found->second.notice.rate_limit;
}

std::vector<TargetProcess> TargetNotices::TakeNewlyLeaving() {
  return std::exchange(m_newly_leaving, {});
}

}  // namespace bulrushmount
