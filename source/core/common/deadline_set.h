// The deadlines of requests in progress, ordered by time.

#ifndef BULRUSHMOUNT_CORE_COMMON_DEADLINE_SET_H_
#define BULRUSHMOUNT_CORE_COMMON_DEADLINE_SET_H_

#include <optional>
#include <set>
#include <utility>

#include "core/common/time.h"

namespace bulrushmount {

// Each id has at most one deadline. The owner of the set keeps that time with
// the request, so that removing it needs no search.
template <typename Id>
class DeadlineSet {
 public:
  void Add(TimePoint deadline, const Id& id) {
    m_entries.emplace(deadline, id);
  }

  // No effect if the deadline has been taken.
  void Remove(TimePoint deadline, const Id& id) {
    m_entries.erase({deadline, id});
  }

  // Removes and returns the id whose deadline passed first, if any.
  std::optional<Id> TakeExpired(TimePoint now) {
    if (m_entries.empty() || m_entries.begin()->first > now)
      return std::nullopt;
    const Id id = m_entries.begin()->second;
    m_entries.erase(m_entries.begin());
    return id;
  }

  // TimePoint::max() if there is none.
  TimePoint Next() const {
    return m_entries.empty() ? TimePoint::max() : m_entries.begin()->first;
  }

 private:
  std::set<std::pair<TimePoint, Id>> m_entries;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_COMMON_DEADLINE_SET_H_
