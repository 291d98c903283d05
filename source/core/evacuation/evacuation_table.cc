// Implements `evacuation_table.h`.

#include "core/evacuation/evacuation_table.h"

#include <algorithm>
#include <utility>

#include "core/common/logging.h"

namespace bulrushmount {

EvacuationTable::EvacuationTable(EvacuationSettings settings)
    : m_settings(std::move(settings)), m_is_known(!m_settings.needs_read) {}

bool EvacuationTable::OnRead(TimePoint now, const EvacuationRead& read) {
  if (m_has_epoch && read.as_of.epoch < m_epoch) {
    LogLine(LogLevel::kWarning, "evacuation.earlier_epoch_ignored")
        .Add("epoch", read.as_of.epoch)
        .Add("known_epoch", m_epoch);
    return false;
  }
  EnterEpoch(now, read.as_of.epoch);
  bool has_changed = false;
  for (const ZoneEvacuation& zone : read.zones)
    has_changed |= Merge(zone);
  if (read.is_complete) {
    has_changed |= RemoveMissing(now, read);
    m_is_known = true;
  }
  return has_changed;
}

bool EvacuationTable::OnPeerReport(TimePoint now,
                                   const EvacuationReport& report) {
  EnterEpoch(now, report.epoch);
  bool has_changed = false;
  for (const ZoneEvacuation& zone : report.zones)
    has_changed |= Merge(zone);
  m_is_known = true;
  return has_changed;
}

void EvacuationTable::EnterEpoch(TimePoint now, TableEpoch epoch) {
  if (m_has_epoch && epoch <= m_epoch)
    return;
  if (m_has_epoch) {
    m_restored_at = now;
    LogLine(LogLevel::kWarning, "table.restored")
        .Add("epoch", epoch)
        .Add("known_epoch", m_epoch)
        .Add("evacuated_zones", Evacuated().size());
  }
  m_has_epoch = true;
  m_epoch = epoch;
}

// Whether the state is from an earlier epoch and its row may not have been
// written again yet.
bool EvacuationTable::IsWithinRestoreHold(TimePoint now,
                                          const State& state) const {
  return m_restored_at && state.position.epoch < m_epoch &&
         now - *m_restored_at < m_settings.restore_hold;
}

bool EvacuationTable::IsAccepted(const AvailabilityZone& zone) {
  const std::vector<AvailabilityZone>& known = m_settings.known_zones;
  const bool is_known = known.empty() || std::find(known.begin(), known.end(),
                                                   zone) != known.end();
  const bool has_room = m_zones.contains(zone) || m_zones.size() < kMaxZones;
  if (is_known && has_room)
    return true;
  if (m_rejected_zones.size() < kMaxZones &&
      m_rejected_zones.insert(zone).second) {
    LogLine(LogLevel::kError, "evacuation.zone_ignored")
        .Add("zone", zone)
        .Add("fault", is_known ? "too many evacuated zones" : "unknown zone");
  }
  return false;
}

bool EvacuationTable::Merge(const ZoneEvacuation& zone) {
  if (!IsAccepted(zone.zone))
    return false;
  const auto [found, is_new] = m_zones.try_emplace(zone.zone);
  State& state = found->second;
  if (!is_new && zone.position <= state.position)
    return false;
  const bool has_changed = state.is_evacuated != zone.is_evacuated;
  state = {zone.is_evacuated, zone.position};
  if (has_changed) {
    LogLine(LogLevel::kInfo,
            zone.is_evacuated ? "evacuation.in_force" : "evacuation.ended")
        .Add("zone", zone.zone)
        .Add("epoch", zone.position.epoch)
        .Add("row_version", zone.position.version);
  }
  return has_changed;
}

// Ends evacuations whose rows are missing from the read.
bool EvacuationTable::RemoveMissing(TimePoint now, const EvacuationRead& read) {
  bool has_changed = false;
  for (const ZoneEvacuation& known : Report().zones) {
    const bool is_there = std::any_of(read.zones.begin(), read.zones.end(),
                                      [&known](const ZoneEvacuation& zone) {
                                        return zone.zone == known.zone;
                                      });
    if (is_there || !known.is_evacuated ||
        IsWithinRestoreHold(now, m_zones.at(known.zone)))
      continue;
    has_changed |= Merge({known.zone, false, read.as_of});
  }
  return has_changed;
}

bool EvacuationTable::IsEvacuated(const AvailabilityZone& zone) const {
  const auto found = m_zones.find(zone);
  return found != m_zones.end() && found->second.is_evacuated;
}

EvacuationReport EvacuationTable::Report() const {
  EvacuationReport report{m_epoch, {}};
  for (const auto& [zone, state] : m_zones)
    report.zones.push_back({zone, state.is_evacuated, state.position});
  return report;
}

bool EvacuationTable::IsNewerThan(const EvacuationReport& report) const {
  if (report.epoch < m_epoch)
    return true;
  return std::any_of(
      m_zones.begin(), m_zones.end(), [&report](const auto& own) {
        const auto same = std::find_if(report.zones.begin(), report.zones.end(),
                                       [&own](const ZoneEvacuation& zone) {
                                         return zone.zone == own.first;
                                       });
        return same == report.zones.end() ||
               same->position < own.second.position;
      });
}

std::vector<AvailabilityZone> EvacuationTable::Evacuated() const {
  std::vector<AvailabilityZone> zones;
  for (const auto& [zone, state] : m_zones) {
    if (state.is_evacuated)
      zones.push_back(zone);
  }
  return zones;
}

}  // namespace bulrushmount
