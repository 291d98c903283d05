// Part of `failed_exchanges.h`.

#include "core/node_logic/failed_exchanges.h"

#include <chrono>
#include <cstddef>

namespace bulrushmount::detail {

namespace {

// A target that crashed refuses connections at once, and its successor reports
// within seconds.
constexpr Duration kCrashNoticedWithin = std::chrono::seconds(5);
// Memory only: more than a target runs at once.
constexpr std::size_t kMostKept = 256;

}  // namespace

void FailedExchanges::Note(TimePoint now, const AdmittedWork& work) {
  Forget(now);
  if (m_works.size() >= kMostKept)
    m_works.pop_front();
  m_works.push_back({now, work});
}

std::vector<AdmittedWork> FailedExchanges::TakeRecent(TimePoint now) {
  Forget(now);
  std::vector<AdmittedWork> recent;
  recent.reserve(m_works.size());
  for (const FailedWork& broken : m_works)
    recent.push_back(broken.work);
  m_works.clear();
  return recent;
}

void FailedExchanges::Forget(TimePoint now) {
  std::erase_if(m_works, [now](const FailedWork& broken) {
    return now - broken.at > kCrashNoticedWithin;
  });
}

}  // namespace bulrushmount::detail
