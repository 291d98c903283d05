// Settings of the gossip protocol, and counters of its traffic.

#ifndef BULRUSHMOUNT_CORE_MEMBERSHIP_MEMBERSHIP_SETTINGS_H_
#define BULRUSHMOUNT_CORE_MEMBERSHIP_MEMBERSHIP_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "core/common/time.h"

namespace bulrushmount {

struct MembershipSettings {
  // One direct heartbeat is sent per period.
  Duration heartbeat_period = std::chrono::milliseconds(500);
  // After this time without an ack, helpers are asked to ping the member.
  Duration direct_timeout = std::chrono::milliseconds(200);
  // After this further time without an ack the member becomes suspect.
  // Meanwhile the direct ping is repeated too, so that packet loss alone seldom
  // causes a suspicion.
  Duration indirect_timeout = std::chrono::milliseconds(800);
  std::size_t indirect_helpers = 3;
  Duration direct_retry_interval = std::chrono::milliseconds(100);
  // Time from suspicion to death at the initiator, unless refuted.
  Duration suspicion_time = std::chrono::seconds(2);
  // A node that only received the suspicion from others waits this many times
  // the suspicion time for the initiator; then it pings the member itself and
  // becomes an initiator.
  int bystander_factor = 2;
  // Every nth heartbeat goes to another region.
  std::size_t far_heartbeat_interval = 5;
  // A node that distinguishes availability zones sends heartbeats to its own
  // zone, as often as without zones, and one more to another zone with every
  // nth of them. One in n table comparisons goes to another zone. 0: zones are
  // not distinguished.
  std::size_t other_zone_interval = 8;
  // Number of members per zone that pass a piece of news on to other zones, in
  // addition to the one that reports it first. Two, so that one may be lost; as
  // many again for reports of suspect, dead and departed members.
  std::size_t news_carriers = 2;
  // When a heartbeat to another zone gets no ack within the direct timeout,
  // this many other members of that zone get one at once: the whole zone may be
  // unreachable. Not more often than once per interval.
  std::size_t zone_check_heartbeats = 5;
  Duration zone_check_interval = std::chrono::seconds(1);
  // News other than a suspicion brings the next heartbeat forward to this
  // delay, while the byte budget has a reserve.
  Duration expedited_heartbeat_delay = std::chrono::milliseconds(100);
  // Budget of bytes including headers; beyond it news and table comparisons
  // wait.
  double bytes_per_second = 5000;
  double bytes_burst = 40000;
  // Interval of table comparisons with a random member.
  Duration sync_period = std::chrono::seconds(5);
  // The same while the last comparison found differences.
  Duration fast_sync_period = std::chrono::milliseconds(500);
  // Interval at which one dead member is pinged, so that the parts of a healed
  // partition merge.
  Duration dead_ping_period = std::chrono::seconds(2);
  // The same while an availability zone returns.
  Duration merging_dead_ping_period = std::chrono::milliseconds(250);
  // How long tombstones are kept.
  Duration left_tombstone_age = std::chrono::minutes(10);
  Duration dead_tombstone_age = std::chrono::hours(1);
  // A timer that is late by this much means that the process was paused: its
  // view of other members is outdated, and acks missing in that time are no
  // evidence against them.
  Duration pause_threshold = std::chrono::seconds(1);
};

struct MembershipCounters {
  std::uint64_t datagrams_sent = 0;
  // Without the byte of the datagram's kind and the IP and UDP headers.
  std::uint64_t bytes_sent = 0;
  std::uint64_t datagrams_received = 0;
  std::uint64_t bytes_received = 0;
  // Datagrams dropped because they could not be parsed or had fields out of
  // range.
  std::uint64_t malformed = 0;
  std::uint64_t suspicions = 0;
  std::uint64_t deaths_declared = 0;
  std::uint64_t refutations = 0;
  std::uint64_t pauses = 0;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_MEMBERSHIP_MEMBERSHIP_SETTINGS_H_
