// Part of `cold_start.h`.

#include "core/target_state/cold_start.h"

#include <algorithm>

namespace bulrushmount {

ColdStart::ColdStart(TimePoint begun_at,
                     Duration warmup,
                     std::uint32_t warm_answers)
    : m_begun_at(begun_at), m_warmup(warmup), m_warm_answers(warm_answers) {}

void ColdStart::OnAnswered() {
  m_answers = std::min(m_answers + 1, m_warm_answers);
}

double ColdStart::Factor(TimePoint now) const {
  const double by_time =
      std::clamp(ToSeconds(now - m_begun_at) / ToSeconds(m_warmup), 0.0, 2.0);
  const double by_answers =
      m_warm_answers == 0 ? 1.0 : m_answers / double(m_warm_answers);
  const double progress =
      std::min({1.0, by_time, std::max(by_answers, by_time / 2)});
  return kMinFactor + (1 - kMinFactor) * progress;
}

TimePoint ColdStart::EndsAt() const {
  const bool is_warm = m_answers >= m_warm_answers;
  return m_begun_at + (is_warm ? m_warmup : 2 * m_warmup);
}

}  // namespace bulrushmount
