// Settings of the quarantine with their defaults.

#ifndef BULRUSHMOUNT_CORE_QUARANTINE_QUARANTINE_SETTINGS_H_
#define BULRUSHMOUNT_CORE_QUARANTINE_QUARANTINE_SETTINGS_H_

#include <chrono>
#include <cstddef>

#include "core/common/time.h"

namespace bulrushmount {

struct QuarantineSettings {
  // A quarantined request is refused for this long and is suspect for the same
  // time afterwards.
  Duration quarantine_time = std::chrono::minutes(10);
  // A suspect is forgotten if it is not reported again for this long.
  Duration suspicion_time = std::chrono::minutes(10);
  // A clearance is remembered for this long, so that delayed news of the
  // earlier suspicion cannot make the request suspect again.
  Duration clearance_time = std::chrono::minutes(2);
  // Term of a permit, counted from when its request or renewal was sent. Must
  // exceed the time in which all nodes learn of a new member.
  Duration permit_term = std::chrono::seconds(6);
  // The home counts a permit as in use for this long beyond its term, to allow
  // for clock drift between nodes.
  Duration permit_clock_drift_margin = std::chrono::milliseconds(500);
  Duration permit_renewal = std::chrono::seconds(2);
  // Time between two attempts to request or renew a permit.
  Duration permit_retry = std::chrono::milliseconds(100);
  // Time between two attempts to return a permit.
  Duration return_retry = std::chrono::seconds(1);
  // A call whose permit request gets no answer for this long is refused.
  Duration permit_timeout = std::chrono::milliseconds(300);
  // How long gossip carries news. Must be less than clearance_time, so that old
  // news of a suspicion does not outlive the record of its clearance.
  Duration broadcast_lifetime = std::chrono::seconds(60);
  // A node that was paused for longer than this may have been declared dead,
  // and another home may have replaced it. Must be less than the time in which
  // the membership declares a death.
  Duration pause_threshold = std::chrono::milliseconds(1500);
  // Interval and number of the attempts to fetch news that was missed.
  Duration catch_up_retry = std::chrono::milliseconds(200);
  int catch_up_tries = 10;
  // Maximum number of datagrams that answer one attempt.
  std::size_t catch_up_datagrams = 4;
  // Maximum number of recorded fingerprints; about 48 bytes each.
  std::size_t max_records = 4096;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_QUARANTINE_QUARANTINE_SETTINGS_H_
