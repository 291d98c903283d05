// What an entry learns of the answers to each kind of request: how large they
// are, and how soon they begin.
//
// Load pattern: answers of 90 KB and of 1 KB go to the same targets. To turn to
// another availability zone for a start that is some milliseconds sooner is
// worth it for the small ones alone: their bytes between zones cost little.

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
  // `first_byte` from sending the request to its owner.
  void OnAnswer(const KindName& kind,
                std::uint64_t body_bytes,
                Duration first_byte) {
    if (m_kinds.size() >= kMaxKinds && !m_kinds.contains(kind))
      return;
    Profile& profile = m_kinds[kind];
    ++profile.answers;
    const double gain = std::max(kGain, 1.0 / profile.answers);
    profile.body_bytes +=
        gain * (static_cast<double>(body_bytes) - profile.body_bytes);
    profile.first_byte_seconds +=
        gain * (ToSeconds(first_byte) - profile.first_byte_seconds);
  }

  // Means; 0 until an answer was seen.
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
  // Weight of one answer: of the last thirty or so.
  static constexpr double kGain = 1.0 / 32;
  // Kinds come from the operator; more than this are not looked at.
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
