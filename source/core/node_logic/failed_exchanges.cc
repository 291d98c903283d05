// Implements `failed_exchanges.h`.

#include "core/node_logic/failed_exchanges.h"

#include <chrono>
#include <cstddef>

namespace bulrushmount::detail {

namespace {

// A crashed target refuses connections at once, and its replacement reports
// within seconds.
constexpr Duration kCrashDetectionTime = std::chrono::seconds(5);
// Bounds memory; more requests than a target runs concurrently.
constexpr std::size_t kMaxFailures = 256;

}  // namespace

void FailedExchanges::Add(TimePoint now, WorkId id, const AdmittedWork& work) {
  RemoveExpired(now);
  if (m_works.size() >= kMaxFailures)
    m_works.pop_front();
  m_works.push_back({now, work});
  m_waiting.push_back({now, id});
}

void FailedExchanges::OnCancelled(WorkId id) {
  std::erase_if(m_waiting,
                [id](const WaitingWork& waiting) { return waiting.id == id; });
}

std::vector<WorkId> FailedExchanges::TakeWaiting(TimePoint failed_until) {
  std::vector<WorkId> taken;
  std::erase_if(m_waiting, [&](const WaitingWork& waiting) {
    if (waiting.at > failed_until)
      return false;
    taken.push_back(waiting.id);
    return true;
  });
  return taken;
}

std::vector<AdmittedWork> FailedExchanges::TakeRecent(TimePoint now) {
  RemoveExpired(now);
  std::vector<AdmittedWork> recent;
  recent.reserve(m_works.size());
  for (const FailedWork& broken : m_works)
    recent.push_back(broken.work);
  m_works.clear();
  return recent;
}

void FailedExchanges::RemoveExpired(TimePoint now) {
  std::erase_if(m_works, [now](const FailedWork& broken) {
    return now - broken.at > kCrashDetectionTime;
  });
}

}  // namespace bulrushmount::detail
