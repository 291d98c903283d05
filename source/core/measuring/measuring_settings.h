// Settings of the measuring budget, and the fleet size that membership reports
// to it.

#ifndef BULRUSHMOUNT_CORE_MEASURING_MEASURING_SETTINGS_H_
#define BULRUSHMOUNT_CORE_MEASURING_MEASURING_SETTINGS_H_

#include <chrono>
#include <cstdint>

#include "core/common/time.h"

namespace bulrushmount {

struct MeasuringSettings {
  // Term of a slot's lease in a small fleet. It grows with the fleet up to the
  // maximum, so that the table's writes stay near their target rate.
  Duration shortest_term = std::chrono::seconds(10);
  Duration longest_term = std::chrono::seconds(60);
  double fleet_writes_per_second = 20;

  // Interval between two reads of a node that waits for a free slot in a small
  // fleet; grows with the fleet.
  Duration min_poll_interval = std::chrono::seconds(1);
  double fleet_reads_per_second = 200;

  // After a change of the budget every node of the service reads the table
  // within this time, so that the first of them writes the new layout.
  Duration change_spread = std::chrono::seconds(2);

  // Time after which a probe without an answer times out and its connection is
  // closed.
  Duration probe_timeout = std::chrono::seconds(1);

  // Maximum delay between the decision to probe and the send; later the probe
  // is dropped.
  Duration send_tolerance = std::chrono::milliseconds(50);

  // Maximum relative difference between the rates of the monotonic clocks of
  // two nodes.
  double clock_drift = 0.02;
  // Time between the decisions for two probes that must not be in the same
  // window. They are then sent at least one window apart even if the earlier
  // one is sent late and this clock runs fast.
  Duration Spacing(Duration window) const {
    const auto drift =
        std::chrono::duration_cast<Duration>(window * clock_drift);
    return window + drift + send_tolerance;
  }

  // Additional time after a term before other nodes reuse its slot.
  Duration lapse_margin = std::chrono::milliseconds(500);

  // Interval between two probes of an idle, warming or suspect target while its
  // node holds a slot.
  Duration idle_interval = std::chrono::seconds(1);
  Duration warming_interval = std::chrono::milliseconds(500);
  Duration suspect_interval = std::chrono::milliseconds(250);
};

// Estimates that determine how often the table is polled, never what the budget
// allows.
struct FleetSize {
  // Live members with a target of this service.
  std::uint32_t service_members = 1;
  std::uint32_t members = 1;
  std::uint32_t services = 1;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_MEASURING_MEASURING_SETTINGS_H_
