// Implements `retry_detector.h`.

#include "core/pipeline/retry_detector.h"

#include <algorithm>
#include <numeric>

namespace bulrushmount {

namespace {

// A longest timeout that does not recur expires after one to two windows.
constexpr Duration kWindow = std::chrono::seconds(30);

// A timeout may exceed the longest known one by this fraction before counting
// restarts, since transit times vary.
constexpr double kScaleTolerance = 0.02;

// Minimum number of requests for an estimate, and the number at which counts
// are halved.
constexpr std::uint32_t kMinRequests = 32;
constexpr std::uint32_t kHalveAt = 512;

// A gap is a bin that holds less than this fraction of the mean bin of the
// cluster.
constexpr double kGapFraction = 0.25;
// Minimum share of requests in the cluster: with two retries each, a third of
// all requests are first attempts even if every request is refused.
constexpr double kMinFirstAttemptShare = 0.15;

// Bounds memory.
constexpr std::size_t kMaxKinds = 256;

}  // namespace

Duration RetryDetector::EstimateElapsed(TimePoint now,
                                        const KindName& name,
                                        Duration timeout) {
  const bool is_full = m_kinds.size() >= kMaxKinds && !m_kinds.contains(name);
  if (is_full || timeout <= Duration::zero())
    return Duration::zero();
  Kind& kind = m_kinds[name];
  UpdateLongest(now, timeout, kind);
  Count(timeout, kind);
  const std::size_t first_bin = FirstBinOfFirstAttempts(kind);
  const Duration min_first_timeout = kind.scale * first_bin / kBins;
  if (timeout >= min_first_timeout)
    return Duration::zero();
  // First attempts lie in the middle of the cluster on average.
  return (min_first_timeout + kind.scale) / 2 - timeout;
}

void RetryDetector::UpdateLongest(TimePoint now, Duration timeout, Kind& kind) {
  if (kind.total == 0 || now - kind.window_begun >= kWindow) {
    const bool is_next = now - kind.window_begun < 2 * kWindow;
    kind.previous_longest = is_next ? kind.longest : Duration::zero();
    kind.longest = Duration::zero();
    kind.window_begun = now;
  }
  kind.longest = std::max(kind.longest, timeout);
}

void RetryDetector::Count(Duration timeout, Kind& kind) {
  const Duration longest = std::max(kind.longest, kind.previous_longest);
  const double ratio = kind.scale > Duration::zero()
                           ? ToSeconds(longest) / ToSeconds(kind.scale)
                           : 0.0;
  if (ratio < 1 - kScaleTolerance || ratio > 1 + kScaleTolerance) {
    kind.counts = {};
    kind.total = 0;
    kind.scale = longest;
  }
  const double part = ToSeconds(timeout) / ToSeconds(kind.scale);
  const auto bin = static_cast<std::size_t>(part * kBins);
  ++kind.counts.at(std::min(bin, kBins - 1));
  if (++kind.total < kHalveAt)
    return;
  for (std::uint32_t& count : kind.counts)
    count /= 2;
  kind.total =
      std::accumulate(kind.counts.begin(), kind.counts.end(), std::uint32_t{0});
}

std::size_t RetryDetector::FirstBinOfFirstAttempts(const Kind& kind) {
  if (kind.total < kMinRequests)
    return 0;
  double in_cluster = 0;
  std::size_t first = kBins;
  while (first > 0) {
    const double count = kind.counts.at(first - 1);
    const auto bins = static_cast<double>(kBins - first);
    if (bins > 0 && count < kGapFraction * in_cluster / bins)
      break;
    in_cluster += count;
    --first;
  }
  return in_cluster >= kMinFirstAttemptShare * kind.total ? first : 0;
}

}  // namespace bulrushmount
