// Tracks the mean body size and the mean time to first byte of answers for each
// kind of request.
//
// Load pattern: answers of 90 KB and of 1 KB come from the same targets.
// Choosing another availability zone to start some milliseconds sooner pays off
// only for small answers, whose transfer between zones is cheap.

#ifndef BULRUSHMOUNT_CORE_PIPELINE_ANSWER_PROFILES_H_
#define BULRUSHMOUNT_CORE_PIPELINE_ANSWER_PROFILES_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "core/common/ids.h"
#include "core/common/time.h"

namespace bulrushmount {

class AnswerProfiles {
 public:
  // `first_byte` is the time from sending the request to the owner until the
  // first byte of the answer.
  void OnAnswer(const KindName& kind,
                std::uint64_t body_bytes,
                Duration first_byte) {
    if (m_kinds.size() >= kMaxKinds && !m_kinds.contains(kind))
      return;
    Profile& profile = m_kinds[kind];
    ++profile.answers;
    const double gain = std::max(kSampleWeight, 1.0 / profile.answers);
    profile.body_bytes +=
        gain * (static_cast<double>(body_bytes) - profile.body_bytes);
    profile.first_byte_seconds +=
        gain * (ToSeconds(first_byte) - profile.first_byte_seconds);
  }

  // Both return means; 0 before the first answer.
  double BodyBytes(const KindName& kind) const {
    const auto found = m_kinds.find(kind);
    return found == m_kinds.end() ? 0.0 : found->second.body_bytes;
  }
  Duration FirstByte(const KindName& kind) const {
    const auto found = m_kinds.find(kind);
    return found == m_kinds.end()
               ? Duration::zero()
               : FromSeconds(found->second.first_byte_seconds);
  }

 private:
  // Weight of one answer in the moving average, which covers about the last 32
  // answers.
  static constexpr double kSampleWeight = 1.0 / 32;
  // Bounds memory: kinds are configured by the operator, and further ones are
  // not tracked.
  static constexpr std::size_t kMaxKinds = 256;

  struct Profile {
    std::uint32_t answers = 0;
    double body_bytes = 0;
    double first_byte_seconds = 0;
  };

  std::unordered_map<KindName, Profile> m_kinds;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_PIPELINE_ANSWER_PROFILES_H_
