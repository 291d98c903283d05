// Value types for the operator's evacuations of availability zones.

#ifndef BULRUSHMOUNT_CORE_EVACUATION_EVACUATION_TYPES_H_
#define BULRUSHMOUNT_CORE_EVACUATION_EVACUATION_TYPES_H_

#include <vector>

#include "core/common/ids.h"
#include "core/store/table_types.h"

namespace bulrushmount {

// Whether a zone is evacuated, and the table change that set it. Of two states
// of a zone the one with the later position applies.
struct ZoneEvacuation {
  AvailabilityZone zone;
  bool is_evacuated = false;
  TablePosition position;

  friend bool operator==(const ZoneEvacuation&,
                         const ZoneEvacuation&) = default;
};

// The evacuations in one reply of the table.
struct EvacuationRead {
  TablePosition as_of;
  // If true, `zones` holds every evacuated zone; otherwise only changed zones.
  bool is_complete = false;
  std::vector<ZoneEvacuation> zones;
};

// All evacuations that one node knows, sent to its peers.
struct EvacuationReport {
  TableEpoch epoch;
  // Zones that are or were evacuated.
  std::vector<ZoneEvacuation> zones;

  friend bool operator==(const EvacuationReport&,
                         const EvacuationReport&) = default;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_EVACUATION_EVACUATION_TYPES_H_
