// Implements `node.h`: the status and metrics pages for operators.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json.hpp>

#include "core/common/hex.h"
#include "core/node_logic/node.h"
#include "core/reporting/metrics_page.h"

namespace bulrushmount::detail {

namespace {

// Value of the gauge for a target without a rate limit; 0 is a valid limit.
constexpr double kNoRateLimit = -1;

boost::json::object ToJson(const Member& member) {
  boost::json::object object{
      {"id", ToHex(member.id)},
      {"state", ToToken(member.state)},
      {"zone", member.zone.value()},
      {"region", member.region.value()},
      {"stream", ToString(member.stream_endpoint)},
      {"revision", member.revision.value()},
  };
  if (member.target) {
    object["service"] = member.target->service.value();
    object["serving"] = member.target->is_serving;
    object["warming"] = member.target->is_warming;
    object["slots"] = member.target->slots;
  }
  return object;
}

boost::json::object ToJson(const LoadReport& load) {
  return {
      {"in_flight", load.in_flight},
      {"queued", load.queued},
      {"limit", load.limit},
      {"service_time_ms", ToMilliseconds(load.service_time)},
      {"rate_limit", load.notice.rate_limit
                         ? boost::json::value(*load.notice.rate_limit)
                         : boost::json::value()},
      {"leaving", load.notice.is_leaving},
  };
}

void SetGauge(MetricsRegistry& registry,
              std::string_view name,
              std::string_view help,
              double value) {
  registry.GetGauge(name, help).Set(value);
}

void RaiseCounter(MetricsRegistry& registry,
                  std::string_view name,
                  std::string_view help,
                  std::uint64_t value) {
  registry.GetCounter(name, help).RaiseTo(value);
}

void AddLoad(MetricsRegistry& registry, const LoadReport& load) {
  SetGauge(registry, "bulrushmount_target_limit",
           "Requests the target may run at once.", load.limit);
  SetGauge(registry, "bulrushmount_target_in_flight",
           "Requests that the target runs.", load.in_flight);
  SetGauge(registry, "bulrushmount_target_queued",
           "Requests that wait for the target.", load.queued);
  SetGauge(registry, "bulrushmount_target_rate_limit",
           "Requests per second that the target accepts; -1 without a limit.",
           load.notice.rate_limit.value_or(kNoRateLimit));
  SetGauge(registry, "bulrushmount_target_leaving",
           "Whether the target has announced that it is leaving.",
           load.notice.is_leaving ? 1 : 0);
}

void AddGossip(MetricsRegistry& registry, const MembershipCounters& gossip) {
  RaiseCounter(registry, "bulrushmount_gossip_sent_bytes_total",
               "Payload of gossip sent.", gossip.bytes_sent);
  RaiseCounter(registry, "bulrushmount_gossip_received_bytes_total",
               "Payload of gossip received.", gossip.bytes_received);
  RaiseCounter(registry, "bulrushmount_gossip_malformed_total",
               "Datagrams dropped.", gossip.malformed);
  RaiseCounter(registry, "bulrushmount_suspicions_total",
               "Members suspected by this node.", gossip.suspicions);
}

void AddTraffic(MetricsRegistry& registry, const PeerTraffic& traffic) {
  for (std::size_t cause = 0; cause < kTrafficCauses; ++cause) {
    for (std::size_t distance = 0; distance < kZoneDistances; ++distance) {
      const auto cause_kind = static_cast<TrafficCause>(cause);
      const auto distance_kind = static_cast<ZoneDistance>(distance);
      registry
          .GetCounter("bulrushmount_sent_bytes_total",
                      "Sent to other nodes, by cause and distance.",
                      {{"cause", std::string(ToToken(cause_kind))},
                       {"distance", std::string(ToToken(distance_kind))}})
          .RaiseTo(traffic.Bytes(cause_kind, distance_kind));
    }
  }
}

void AddClaims(MetricsRegistry& registry, const ClaimStats& claims) {
  RaiseCounter(registry, "bulrushmount_claims_granted_total", "Keys claimed.",
               claims.granted);
  RaiseCounter(registry, "bulrushmount_claims_refused_total",
               "Calls refused since the table gave no answer.",
               claims.store_unavailable);
  RaiseCounter(registry, "bulrushmount_claim_writes_total",
               "Rows written for claims.", claims.row_writes);
  RaiseCounter(registry, "bulrushmount_claim_transactions_total",
               "Transactions for claims.", claims.transactions);
}

}  // namespace

std::vector<Endpoint> Node::PeerStreams() const {
  std::vector<Endpoint> streams;
  for (const Member* member : m_membership.table().Live()) {
    if (member->id != m_settings.id)
      streams.push_back(member->stream_endpoint);
  }
  return streams;
}

WorkspaceReport Node::WorkspaceSnapshot(TimePoint now) const {
  WorkspaceReport report;
  report.window = m_settings.workspace_limits.window;
  report.uses = m_fleet_limiter.Uses(now);
  report.nodes = 1;
  return report;
}

std::string Node::StatusJson(TimePoint now) const {
  boost::json::array members;
  for (const Member* member : m_membership.table().Live())
    members.push_back(ToJson(*member));
  boost::json::array evacuated;
  for (const AvailabilityZone& zone : m_evacuations.Evacuated())
    evacuated.emplace_back(zone.value());
  boost::json::array known_zones;
  for (const AvailabilityZone& zone : m_settings.known_zones)
    known_zones.emplace_back(zone.value());
  // Null until the configuration is confirmed for the first time.
  boost::json::value config_age;
  if (const auto age = m_config_sync.AgeOfConfirmation(now))
    config_age = ToMilliseconds(*age);
  const boost::json::object status{
      {"node", ToHex(m_settings.id)},
      {"ready", IsReady()},
      {"leaving", m_leaving_since.has_value()},
      {"revision", m_contracts.revision().value()},
      {"newest_revision", m_membership.newest_revision().value()},
      {"config_age_ms", std::move(config_age)},
      {"evacuations_known", m_evacuations.is_known()},
      {"evacuated_zones", std::move(evacuated)},
      {"known_zones", std::move(known_zones)},
      {"table_epoch", m_evacuations.epoch().value()},
      {"calls", m_entry.size()},
      {"works", m_owner.size()},
      {"target", ToToken(m_owner.life().state())},
      {"load", ToJson(m_owner.LoadAt(now))},
      {"workspaces", ToJsonArray(m_fleet_limiter.Uses(now))},
      {"members", std::move(members)},
  };
  return boost::json::serialize(status) + "\n";
}

std::string Node::MetricsText(TimePoint now) const {
  MetricsRegistry& registry = m_registry;
  SetGauge(registry, "bulrushmount_calls", "Calls in progress at this entry.",
           static_cast<double>(m_entry.size()));
  SetGauge(registry, "bulrushmount_works",
           "Requests in progress at this owner.",
           static_cast<double>(m_owner.size()));
  AddLoad(registry, m_owner.LoadAt(now));
  SetGauge(registry, "bulrushmount_config_revision", "Configuration in force.",
           static_cast<double>(m_contracts.revision().value()));
  if (const auto age = m_config_sync.AgeOfConfirmation(now)) {
    SetGauge(registry, "bulrushmount_config_age_seconds",
             "Since the table or a peer last confirmed the configuration.",
             ToSeconds(*age));
  }
  SetGauge(registry, "bulrushmount_evacuated_zones",
           "Availability zones that are evacuated.",
           static_cast<double>(m_evacuations.Evacuated().size()));
  SetGauge(registry, "bulrushmount_table_epoch",
           "Rises each time the table is restored from an older copy.",
           static_cast<double>(m_evacuations.epoch().value()));
  SetGauge(registry, "bulrushmount_members",
           "Live members, this node included.",
           static_cast<double>(m_membership.table().Live().size()));
  SetGauge(registry, "bulrushmount_quarantine_records",
           "Fingerprints remembered.",
           static_cast<double>(m_quarantine.RecordCount()));
  AddGossip(registry, m_membership.counters());
  AddClaims(registry, m_claims.stats());
  RaiseCounter(registry, "bulrushmount_probes_total",
               "Probes of the target of this node.", m_probes_sent);
  m_workspace_metrics.Update(m_fleet_limiter.Counters(),
                             m_fleet_limiter.Largest(kMaxWorkspaceSeries));
  AddTraffic(registry, m_traffic);
  return registry.Page();
}

}  // namespace bulrushmount::detail
