// Estimates how long a caller has been trying when its request arrives.
//
// Load pattern: refused callers retry during an overload. Their latency
// objective counts from the first attempt, so if retries are treated as new
// requests, they occupy slots and are answered too late anyway. A caller's
// remaining timeout shrinks with each retry: the first attempts of a kind
// cluster at the longest timeout, and values below the gap under that cluster
// are retries. Without a gap no request counts as a retry.

#ifndef BULRUSHMOUNT_CORE_PIPELINE_RETRY_DETECTOR_H_
#define BULRUSHMOUNT_CORE_PIPELINE_RETRY_DETECTOR_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "core/common/ids.h"
#include "core/common/time.h"

namespace bulrushmount {

class RetryDetector {
 public:
  // `timeout` is the caller's remaining timeout. Returns the estimated time
  // since its first attempt; 0 for a first attempt, or if unknown.
  Duration EstimateElapsed(TimePoint now,
                           const KindName& kind,
                           Duration timeout);

 private:
  static constexpr std::size_t kBins = 20;

  // Remaining timeouts of one kind's requests.
  struct Kind {
    // Longest timeout of the current window and of the previous one.
    Duration longest{};
    Duration previous_longest{};
    TimePoint window_begun;
    // Histogram of recent timeouts in equal parts of `scale`, shortest first.
    std::array<std::uint32_t, kBins> counts{};
    std::uint32_t total = 0;
    // Longest timeout when counting began.
    Duration scale{};
  };

  static void UpdateLongest(TimePoint now, Duration timeout, Kind& kind);
  static void Count(Duration timeout, Kind& kind);
  // The lowest bin of the cluster at the longest timeout; 0 if there is no gap
  // below it.
  static std::size_t FirstBinOfFirstAttempts(const Kind& kind);

  std::unordered_map<KindName, Kind> m_kinds;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_PIPELINE_RETRY_DETECTOR_H_
