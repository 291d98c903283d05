// Part of `fault_schedule.h`.

#include "soak/fault_schedule.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>

#include <fmt/format.h>

#include "core/common/random.h"

namespace bulrushmount::soak {

namespace {

using std::chrono::milliseconds;

// The mean time between single faults or series at one node. In a fleet of ten
// nodes several faults are active at any moment.
constexpr Duration kMeanGapPerNode = std::chrono::seconds(8);
constexpr double kSeriesFraction = 0.3;
constexpr std::size_t kMaxSeriesLength = 4;
constexpr Duration kMeanSeriesGap = milliseconds(700);
// The range of durations includes the time after which a silent node is
// declared dead (2 s), so that faults are both shorter and longer than it.
constexpr Duration kMinFaultDuration = milliseconds(100);
constexpr Duration kMaxFaultDuration = milliseconds(4000);
// Shorter than the timeout of a client: otherwise a client could time out
// merely because its node is frozen.
constexpr Duration kMaxFreezeDuration = milliseconds(2500);
constexpr double kStoreForAllFraction = 0.4;

// Notices of servers have a random source of their own.
constexpr std::uint64_t kNoticeSeedMask = 0x6e6f74696365;
constexpr Duration kMeanNoticeGapPerNode = std::chrono::seconds(20);
constexpr double kLeaveByAnswersFraction = 0.25;
constexpr double kLimitAllFraction = 0.2;
// Longer than the time from which a limit is guaranteed.
constexpr Duration kMinLimitDuration = milliseconds(8000);
constexpr Duration kMaxLimitDuration = milliseconds(14000);
constexpr double kMinRate = 0.5;
constexpr double kMaxRate = 10;

// One event in four is a change of routes by the operator, since a fleet
// changes more often than it fails.
constexpr double kMoveRoutesFraction = 0.25;

constexpr std::array kKinds = {FaultKind::kKillNode,
                               FaultKind::kFreezeNode,
                               FaultKind::kTerminateNode,
                               FaultKind::kReloadNode,
                               FaultKind::kCrashServer,
                               FaultKind::kHangServer,
                               FaultKind::kDrainServer,
                               FaultKind::kBreakAnswers,
                               FaultKind::kStoreDown,
                               FaultKind::kStoreSilent,
                               FaultKind::kStoreSlow,
                               FaultKind::kStoreLosesAnswers,
                               FaultKind::kStoreForgetsHistory,
                               FaultKind::kCutLink,
                               FaultKind::kStallLink,
                               FaultKind::kStallLinkDown,
                               FaultKind::kSlowLink};

constexpr std::array kLinks = {platform::Link::kStore, platform::Link::kServer,
                               platform::Link::kStream};

Duration RandomDuration(SeededRandomSource& random,
                        Duration min,
                        Duration max) {
  return min + FromSeconds(ToSeconds(max - min) * random.Fraction());
}

Fault GenerateFault(SeededRandomSource& random, std::size_t nodes) {
  Fault fault;
  fault.kind = random.Fraction() < kMoveRoutesFraction
                   ? FaultKind::kMoveRoutes
                   : kKinds.at(random.Index(kKinds.size()));
  fault.node = random.Index(nodes);
  fault.link = kLinks.at(random.Index(kLinks.size()));
  fault.affects_all_nodes = random.Fraction() < kStoreForAllFraction;
  fault.duration =
      RandomDuration(random, kMinFaultDuration,
                     fault.kind == FaultKind::kFreezeNode ? kMaxFreezeDuration
                                                          : kMaxFaultDuration);
  return fault;
}

void AddNotices(std::uint64_t seed,
                Duration length,
                std::size_t nodes,
                std::vector<Fault>& faults) {
  SeededRandomSource random(seed ^ kNoticeSeedMask);
  const double mean_gap =
      ToSeconds(kMeanNoticeGapPerNode) / static_cast<double>(nodes);
  Duration at{};
  for (;;) {
    at += FromSeconds(-mean_gap * std::log(1 - random.Fraction()));
    if (at >= length)
      return;
    Fault fault;
    fault.at = at;
    fault.node = random.Index(nodes);
    const bool is_leaving = random.Fraction() < kLeaveByAnswersFraction;
    fault.kind =
        is_leaving ? FaultKind::kLeaveByAnswers : FaultKind::kLimitServer;
    fault.affects_all_nodes =
        !is_leaving && random.Fraction() < kLimitAllFraction;
    fault.rate = kMinRate + (kMaxRate - kMinRate) * random.Fraction();
    fault.duration =
        is_leaving
            ? RandomDuration(random, kMinFaultDuration, kMaxFaultDuration)
            : RandomDuration(random, kMinLimitDuration, kMaxLimitDuration);
    faults.push_back(fault);
  }
}

const char* ToText(platform::Link link) {
  switch (link) {
    case platform::Link::kStore:
      return "store";
    case platform::Link::kServer:
      return "server";
    case platform::Link::kStream:
      return "stream";
  }
  return "";
}

}  // namespace

std::vector<Fault> GenerateSchedule(std::uint64_t seed,
                                    Duration length,
                                    std::size_t nodes,
                                    bool has_notices) {
  SeededRandomSource random(seed);
  const double mean_gap =
      ToSeconds(kMeanGapPerNode) / static_cast<double>(nodes);
  std::vector<Fault> faults;
  Duration at{};
  for (;;) {
    at += FromSeconds(-mean_gap * std::log(1 - random.Fraction()));
    if (at >= length)
      break;
    Fault fault = GenerateFault(random, nodes);
    const bool is_series = random.Fraction() < kSeriesFraction;
    const std::size_t count =
        is_series ? 2 + random.Index(kMaxSeriesLength - 1) : 1;
    Duration begins = at;
    for (std::size_t number = 0; number < count; ++number) {
      fault.at = begins;
      faults.push_back(fault);
      begins += RandomDuration(random, milliseconds(1), 2 * kMeanSeriesGap);
      // With probability 1/2 the next fault of the series hits another node.
      if (random.Fraction() < 0.5)
        fault.node = random.Index(nodes);
    }
  }
  if (has_notices)
    AddNotices(seed, length, nodes, faults);
  std::stable_sort(
      faults.begin(), faults.end(),
      [](const Fault& one, const Fault& other) { return one.at < other.at; });
  return faults;
}

std::string ToText(FaultKind kind) {
  switch (kind) {
    case FaultKind::kKillNode:
      return "kill-node";
    case FaultKind::kFreezeNode:
      return "freeze-node";
    case FaultKind::kTerminateNode:
      return "terminate-node";
    case FaultKind::kReloadNode:
      return "reload-node";
    case FaultKind::kCrashServer:
      return "crash-server";
    case FaultKind::kHangServer:
      return "hang-server";
    case FaultKind::kDrainServer:
      return "drain-server";
    case FaultKind::kBreakAnswers:
      return "break-answers";
    case FaultKind::kStoreDown:
      return "store-down";
    case FaultKind::kStoreSilent:
      return "store-silent";
    case FaultKind::kStoreSlow:
      return "store-slow";
    case FaultKind::kStoreLosesAnswers:
      return "store-loses-answers";
    case FaultKind::kStoreForgetsHistory:
      return "store-forgets-history";
    case FaultKind::kCutLink:
      return "cut-link";
    case FaultKind::kStallLink:
      return "stall-link";
    case FaultKind::kStallLinkDown:
      return "stall-link-down";
    case FaultKind::kSlowLink:
      return "slow-link";
    case FaultKind::kLimitServer:
      return "limit-server";
    case FaultKind::kLeaveByAnswers:
      return "leave-by-answers";
    case FaultKind::kMoveRoutes:
      return "move-routes";
  }
  return "";
}

std::string ToText(const Fault& fault) {
  return fmt::format(
      "at={:.3f} kind={} node={} link={} for={:.3f} all={} rate={:.2f}",
      ToSeconds(fault.at), ToText(fault.kind), fault.node, ToText(fault.link),
      ToSeconds(fault.duration), fault.affects_all_nodes, fault.rate);
}

}  // namespace bulrushmount::soak
