// Estimates how reliable this node's own failure detection is at the moment.

#ifndef BULRUSHMOUNT_CORE_MEMBERSHIP_LOCAL_HEALTH_H_
#define BULRUSHMOUNT_CORE_MEMBERSHIP_LOCAL_HEALTH_H_

#include <algorithm>

#include "core/common/time.h"

namespace bulrushmount {

// A node that lacks CPU time or network connectivity misses acks that were
// sent, and would suspect healthy members. Late timers, missing nacks from
// helpers and suspicions of this node itself raise the score; a higher score
// lengthens the timeouts of failure detection.
class LocalHealth {
 public:
  void Worsen(int by = 1) { m_score = std::min(m_score + by, kMaxScore); }
  void Improve() { m_score = std::max(m_score - 1, 0); }

  // `timeout` multiplied by the score plus 1.
  Duration Stretch(Duration timeout) const { return timeout * (1 + m_score); }

  int score() const { return m_score; }

 private:
  static constexpr int kMaxScore = 6;

  // 0 means healthy.
  int m_score = 0;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_MEMBERSHIP_LOCAL_HEALTH_H_
