// Tracks the availability zones that a node knows to be evacuated. Reads of the
// table and reports of peers are merged per zone by their position in the
// table, so nodes that receive the same changes in any order agree, and no node
// reverts to an earlier state.
//
// A table restored from an older copy may lack an evacuation that it
// acknowledged earlier. The zone then stays evacuated until there was time to
// write the operator's rows again.

#ifndef BULRUSHMOUNT_CORE_EVACUATION_EVACUATION_TABLE_H_
#define BULRUSHMOUNT_CORE_EVACUATION_EVACUATION_TABLE_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "core/common/ids.h"
#include "core/common/time.h"
#include "core/evacuation/evacuation_types.h"

namespace bulrushmount {

struct EvacuationSettings {
  // Zones that operators may evacuate; any if empty.
  std::vector<AvailabilityZone> known_zones;
  // If true, nothing is served until the evacuations are known. False in
  // deployments where evacuations are part of the contracts.
  bool needs_read = true;
  // Time after a restore during which evacuations are kept, so that the
  // operator's rows can be written again.
  Duration restore_hold = std::chrono::seconds(60);
};

class EvacuationTable {
 public:
  // Bounds memory and the size of reports.
  static constexpr std::size_t kMaxZones = 16;

  explicit EvacuationTable(EvacuationSettings settings);

  // Each returns whether the state of any zone has changed.
  bool OnRead(TimePoint now, const EvacuationRead& read);
  bool OnPeerReport(TimePoint now, const EvacuationReport& report);

  // False until a complete read of the table or a report of a peer that had
  // one. Until then any zone may be evacuated.
  bool is_known() const { return m_is_known; }
  // Whether requests may be started at targets of the zone.
  bool MayServe(const AvailabilityZone& zone) const {
    return m_is_known && !IsEvacuated(zone);
  }
  bool IsEvacuated(const AvailabilityZone& zone) const;
  EvacuationReport Report() const;
  // Whether the sender of the report lacks a change that is known here.
  bool IsNewerThan(const EvacuationReport& report) const;
  std::vector<AvailabilityZone> Evacuated() const;
  // The newest known epoch of the table.
  TableEpoch epoch() const { return m_epoch; }

 private:
  struct State {
    bool is_evacuated = false;
    TablePosition position;
  };

  void EnterEpoch(TimePoint now, TableEpoch epoch);
  bool IsWithinRestoreHold(TimePoint now, const State& state) const;
  bool IsAccepted(const AvailabilityZone& zone);
  bool Merge(const ZoneEvacuation& zone);
  bool RemoveMissing(TimePoint now, const EvacuationRead& read);

  const EvacuationSettings m_settings;
  bool m_is_known;
  // At most kMaxZones; the position of a state never decreases.
  std::map<AvailabilityZone, State> m_zones;
  // Never decreases.
  TableEpoch m_epoch;
  // Time at which m_epoch was first seen, unless it was the first epoch.
  std::optional<TimePoint> m_restored_at;
  bool m_has_epoch = false;
  // Rejected zone names, each logged once.
  std::set<AvailabilityZone> m_rejected_zones;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_EVACUATION_EVACUATION_TABLE_H_
