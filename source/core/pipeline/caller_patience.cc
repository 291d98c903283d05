// Part of `caller_patience.h`.

#include "core/pipeline/caller_patience.h"

#include <algorithm>
#include <numeric>

namespace bulrushmount {

namespace {

// A longest time that is said no more is forgotten after one to two of these.
constexpr Duration kWindow = std::chrono::seconds(30);

// What is said may be above the longest known by this part before the count
// begins anew: callers' clocks, and the way of the request.
constexpr double kScaleTolerance = 0.02;

// Requests before a cluster is believed, and after which each counts half.
constexpr std::uint32_t kLeastRequests = 32;
constexpr std::uint32_t kHalveAt = 512;

// A gap is a bin with less than this part of what the bins of the cluster hold
// in the mean.
constexpr double kGapFraction = 0.25;
// The cluster's part of all: with two retries each, a third of all requests are
// first tries even when every one is refused.
constexpr double kLeastShareOfNew = 0.15;

// Kinds come from the operator; more than this are not looked at.
constexpr std::size_t kMaxKinds = 256;

}  // namespace

Duration CallerPatience::WaitedBefore(TimePoint now,
                                      const KindName& name,
                                      Duration told) {
  const bool is_full = m_kinds.size() >= kMaxKinds && !m_kinds.contains(name);
  if (is_full || told <= Duration::zero())
    return Duration::zero();
  Kind& kind = m_kinds[name];
  LearnLongest(now, told, kind);
  Count(told, kind);
  const std::size_t first_of_new = FirstBinOfNew(kind);
  const Duration least_of_new = kind.scale * first_of_new / kBins;
  if (told >= least_of_new)
    return Duration::zero();
  // New ones say what is in the middle of the cluster, in the mean.
  return (least_of_new + kind.scale) / 2 - told;
}

void CallerPatience::LearnLongest(TimePoint now, Duration told, Kind& kind) {
  if (kind.total == 0 || now - kind.window_begun >= kWindow) {
    const bool is_next = now - kind.window_begun < 2 * kWindow;
    kind.longest_before = is_next ? kind.longest : Duration::zero();
    kind.longest = Duration::zero();
    kind.window_begun = now;
  }
  kind.longest = std::max(kind.longest, told);
}

void CallerPatience::Count(Duration told, Kind& kind) {
  const Duration longest = std::max(kind.longest, kind.longest_before);
  const double ratio = kind.scale > Duration::zero()
                           ? ToSeconds(longest) / ToSeconds(kind.scale)
                           : 0.0;
  if (ratio < 1 - kScaleTolerance || ratio > 1 + kScaleTolerance) {
    kind.counts = {};
    kind.total = 0;
    kind.scale = longest;
  }
  const double part = ToSeconds(told) / ToSeconds(kind.scale);
  const auto bin = static_cast<std::size_t>(part * kBins);
  ++kind.counts.at(std::min(bin, kBins - 1));
  if (++kind.total < kHalveAt)
    return;
  for (std::uint32_t& count : kind.counts)
    count /= 2;
  kind.total =
      std::accumulate(kind.counts.begin(), kind.counts.end(), std::uint32_t{0});
}

std::size_t CallerPatience::FirstBinOfNew(const Kind& kind) {
  if (kind.total < kLeastRequests)
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
  return in_cluster >= kLeastShareOfNew * kind.total ? first : 0;
}

}  // namespace bulrushmount
