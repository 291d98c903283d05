// The settings of the gossip, and the counters that show what it costs.

#ifndef BULRUSHMOUNT_CORE_MEMBERSHIP_MEMBERSHIP_SETTINGS_H_
#define BULRUSHMOUNT_CORE_MEMBERSHIP_MEMBERSHIP_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "core/common/time.h"

namespace bulrushmount {

struct MembershipSettings {
  // One direct heartbeat a period.
  Duration heartbeat_period = std::chrono::milliseconds(500);
  // Without an answer for this long, others are asked to try.
  Duration direct_timeout = std::chrono::milliseconds(200);
  // Without an answer for this long more, the member is suspect. Meanwhile the
  // direct heartbeat is repeated too, so that mere loss seldom leads there.
  Duration indirect_timeout = std::chrono::milliseconds(800);
  std::size_t indirect_helpers = 3;
  Duration direct_retry_interval = std::chrono::milliseconds(100);
  // From suspicion to death at the initiator, unless refuted.
  Duration suspicion_time = std::chrono::seconds(2);
  // Who only heard of the suspicion leaves this many times as long to the
  // initiator; then it tries the member itself, and so becomes an initiator.
  int bystander_factor = 2;
  // Every nth heartbeat goes to another region.
  std::size_t far_heartbeat_interval = 5;
  // News that is not mere suspicion brings the next heartbeat forward to this,
  // while the budget is ample.
  Duration hurried_heartbeat = std::chrono::milliseconds(100);
  // Bytes with headers, beyond which news and comparisons wait.
  double bytes_per_second = 5000;
  double bytes_burst = 40000;
  // How often a random member's table is compared with the own one.
  Duration sync_period = std::chrono::seconds(5);
  // The same while the last comparison left differences.
  Duration hurried_sync_period = std::chrono::milliseconds(500);
  // How often one dead member is tried, so that a healed partition merges.
  Duration dead_ping_period = std::chrono::seconds(2);
  // How long tombstones are kept.
  Duration left_memory = std::chrono::minutes(10);
  Duration dead_memory = std::chrono::hours(1);
  // A timer this late means that the process stood still: what it believes of
  // others is old, and no silence in that time was theirs.
  Duration pause_threshold = std::chrono::seconds(1);
};

struct MembershipCounters {
  std::uint64_t datagrams_sent = 0;
  // Without the datagram's kind and the IP and UDP headers.
  std::uint64_t bytes_sent = 0;
  std::uint64_t datagrams_received = 0;
  std::uint64_t bytes_received = 0;
  // Dropped: not parseable, or fields out of range.
  std::uint64_t malformed = 0;
  std::uint64_t suspicions = 0;
  std::uint64_t deaths_declared = 0;
  std::uint64_t refutations = 0;
  std::uint64_t pauses = 0;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_MEMBERSHIP_MEMBERSHIP_SETTINGS_H_
