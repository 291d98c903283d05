// Implements `node.h`: propagates state changes of one module to the others.

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "core/common/hex.h"
#include "core/common/logging.h"
#include "core/node_logic/node.h"

namespace bulrushmount::detail {

namespace {

ZoneDistance DistanceOf(const NodeSettings& self, const Member& member) {
  if (member.region != self.region)
    return ZoneDistance::kOtherRegion;
  if (member.zone != self.zone)
    return ZoneDistance::kSameRegion;
  return ZoneDistance::kSameZone;
}

// After a configuration change made at this node, members that have not
// confirmed it are queried: the interval, the number of members per query and
// the total time. That is a burst of 16 heartbeats every 100 ms.
constexpr Duration kRevisionQueryPeriod = std::chrono::milliseconds(100);
constexpr std::size_t kMembersPerQuery = 16;
constexpr Duration kMaxRevisionQueryTime = std::chrono::seconds(10);

// How long the first document waits for a peer's report. A new node joins
// within some hundred milliseconds if a peer is reachable.
constexpr Duration kMaxFirstDocumentHold = std::chrono::milliseconds(1500);

}  // namespace

void Node::PropagateChanges(TimePoint now) {
  m_membership.Introduce(
      now, m_directory.TakeDiscoveredEndpoints(m_membership.table()));
  ApplyDirectoryChanges(now);
  DrainOwnerWhenDue(now);
  PublishTarget(now);
  UpdateMeasuringBudget(now);
  ApplyEvacuations(now);
  ApplyTargetNotices(now);
  ApplyMemberChanges(now);
  ApplyNewestRevision(now);
  ApplyHeldDocument(now);
  m_config_sync.SetWatchDuty(now, m_watch_duty.IsOnDuty(now));
  QueryMemberRevisions(now);
  TakeBroadcasts(now);
  RunProbes(now);
  AnnounceLeaveWhenIdle(now);
  ExitWhenDone(now);
}

void Node::ApplyDirectoryChanges(TimePoint now) {
  const std::optional<std::size_t> rows = m_directory.rows_found();
  if (rows && !std::exchange(m_has_set_peer_expectation, true)) {
    const bool has_peers = *rows >= MemberDirectorySettings{}.wanted_rows;
    m_config_sync.OnPeersExpected(now, has_peers);
    if (has_peers)
      m_fleet_limiter.ExpectPeers();
  }
  const bool was_available =
      std::exchange(m_was_table_available, m_config_sync.is_table_available());
  if (m_was_table_available && !was_available)
    m_directory.OnTableAvailable(now);
}

void Node::ApplyMemberChanges(TimePoint now) {
  const std::vector<MemberChange> changes = m_membership.TakeChanges();
  bool has_peers_changed = false;
  bool has_state_changed = false;
  for (const MemberChange& change : changes) {
    ApplyMemberChange(now, change);
    const bool is_live = IsLive(change.member.state);
    has_peers_changed |= change.kind != MemberChangeKind::kUpdated ||
                         is_live != IsLive(change.before);
    has_state_changed |= change.member.state != change.before;
  }
  if (has_peers_changed)
    UpdateMembers(now);
  if (has_peers_changed || has_state_changed)
    UpdateFleetLimiter(now);
  if (!changes.empty())
    UpdateFleetSize();
}

void Node::ApplyMemberChange(TimePoint now, const MemberChange& change) {
  const Member& member = change.member;
  if (member.state != change.before ||
      change.kind == MemberChangeKind::kAdded) {
    LogLine(LogLevel::kInfo, "member.changed")
        .Add("member", ToHex(member.id))
        .Add("state", ToToken(member.state));
  }
  if (change.kind == MemberChangeKind::kForgotten) {
    m_traffic.RemovePeer(member.id, member.stream_endpoint,
                         member.gossip_endpoint);
  } else if (IsLive(member.state)) {
    m_traffic.SetPeer(member.id, member.stream_endpoint, member.gossip_endpoint,
                      DistanceOf(m_settings, member));
  }
  UpdateConfigSync(now, member);
  UpdateRouter(now, member, change.kind == MemberChangeKind::kForgotten);
}

void Node::UpdateRouter(TimePoint now,
                        const Member& member,
                        bool is_forgotten) {
  // A suspect owner may be frozen, and calls sent there would get no answer. If
  // this node is the isolated one, a refusal is correct as well.
  const bool takes_calls =
      !is_forgotten && member.state == MemberState::kAlive && member.target &&
      member.target->is_serving && !m_evacuations.IsEvacuated(member.zone) &&
      !m_notices.IsLeaving(member.target->process);
  if (takes_calls)
    m_router.Update(member.target->service, MakeCandidate(now, member));
  else
    m_router.Remove(member.id);
}

void Node::ApplyEvacuations(TimePoint now) {
  if (m_evacuations.epoch() > m_epoch) {
    m_epoch = m_evacuations.epoch();
    m_directory.OnTableRestored(now, m_epoch);
  }
  if (!m_evacuations.is_known())
    return;
  std::vector<AvailabilityZone> evacuated = m_evacuations.Evacuated();
  if (m_evacuated == evacuated)
    return;
  m_evacuated = std::move(evacuated);
  m_owner.OnEvacuationsChanged(now);
  for (const Member* member : m_membership.table().Live())
    UpdateRouter(now, *member, /*is_forgotten=*/false);
}

// Members report that a target is leaving only after its owner knows it, and
// not at all if the owner has restarted since.
void Node::ApplyTargetNotices(TimePoint now) {
  const std::vector<TargetProcess> leaving = m_notices.TakeNewlyLeaving();
  if (leaving.empty())
    return;
  for (const Member* member : m_membership.table().Live()) {
    const bool is_leaving =
        member->target && std::find(leaving.begin(), leaving.end(),
                                    member->target->process) != leaving.end();
    if (!is_leaving)
      continue;
    LogLine(LogLevel::kInfo, "target.excluded")
        .Add("member", ToHex(member->id))
        .Add("process", ToHex(member->target->process.value()));
    UpdateRouter(now, *member, /*is_forgotten=*/false);
  }
}

Candidate Node::MakeCandidate(TimePoint now, const Member& member) const {
  Candidate candidate;
  candidate.node = member.id;
  candidate.distance = DistanceOf(m_settings, member);
  candidate.slots = std::max(member.target->slots, 1U);
  if (member.target->is_warming)
    candidate.warming_since = now;
  return candidate;
}

void Node::UpdateConfigSync(TimePoint now, const Member& member) {
  if (member.id == m_settings.id)
    return;
  if (IsLive(member.state)) {
    m_config_sync.OnPeerRevision(now, member.id, member.zone,
                                 member.gossip_endpoint, member.revision);
  } else {
    m_config_sync.OnPeerRemoved(member.gossip_endpoint);
  }
}

// Heartbeats carry revisions without changing the member's record.
void Node::ApplyNewestRevision(TimePoint now) {
  const Revision newest = m_membership.newest_revision();
  if (newest <= m_contracts.revision() || newest == m_reported_revision)
    return;
  for (const Member* member : m_membership.table().Live()) {
    if (member->revision != newest)
      continue;
    // Reported only once a member is known that has applied the revision and
    // can be queried for it.
    m_reported_revision = newest;
    UpdateConfigSync(now, *member);
  }
}

void Node::OnLocalCommit(TimePoint now, const ConfigChange& change) {
  m_config_sync.OnLocalCommit(now, change);
  m_committed_revision = change.revision;
  m_next_revision_query = now + kRevisionQueryPeriod;
  m_revision_queries_end = now + kMaxRevisionQueryTime;
}

// Without these queries `contract write --wait` returns long after the change
// is in force everywhere: the revision of each member arrives only with its
// next heartbeat to this node, which takes minutes in a large fleet.
void Node::QueryMemberRevisions(TimePoint now) {
  if (now < m_next_revision_query)
    return;
  m_membership.QueryRevision(now, m_committed_revision, kMembersPerQuery);
  // Continues although no known member is behind: members that become known
  // later may be, and their records can be older than their revisions.
  m_next_revision_query = now >= m_revision_queries_end
                              ? TimePoint::max()
                              : now + kRevisionQueryPeriod;
}

void Node::UpdateMembers(TimePoint now) {
  std::vector<Peer> peers;
  std::vector<WatchCandidate> watchers;
  for (const Member* member : m_membership.table().Live()) {
    peers.push_back(Peer{member->id, member->gossip_endpoint});
    watchers.push_back(WatchCandidate{member->id, member->zone});
  }
  m_watch_duty.SetMembers(now, watchers);
  m_limiter.SetMembers(now, peers);
  m_config_sync.SetMemberCount(now, std::max<std::size_t>(peers.size(), 1));
  m_quarantine.SetMembers(now, std::move(peers));
}

void Node::UpdateFleetLimiter(TimePoint now) {
  const MemberTable& table = m_membership.table();
  std::vector<FleetMember> live;
  for (const Member* member : table.Live()) {
    live.push_back({Peer{member->id, member->gossip_endpoint},
                    member->state == MemberState::kSuspect});
  }
  std::vector<Peer> dead;
  for (const Member* member : table.Dead())
    dead.push_back(Peer{member->id, member->gossip_endpoint});
  m_fleet_limiter.SetMembers(now, live, dead);
}

void Node::UpdateFleetSize() {
  const std::optional<TargetSummary> target = m_owner.life().Summary();
  FleetSize size;
  size.members = m_membership.table().Live().size();
  if (target) {
    size.service_members = std::max<std::size_t>(
        m_membership.table().LiveOf(target->service).size(), 1);
    size.services = std::max(size.members / size.service_members, 1U);
  }
  m_probes.OnFleetSize(size);
  m_entry.SetFleetSize(size.members);
}

void Node::TakeBroadcasts(TimePoint now) {
  for (const BroadcastItem& item : m_membership.TakeBroadcasts()) {
    if (item.kind == GossipBroadcasts::kQuarantineKind)
      m_quarantine.OnBroadcast(now, item.payload);
  }
}

void Node::OnContractChanged(TimePoint now,
                             const WorkspaceName& workspace,
                             const Contract* contract) {
  if (workspace.value() == kRouteDocument) {
    ApplyRouteDocument(now);
    return;
  }
  LogLine(LogLevel::kInfo, "contract.in_force")
      .Add("workspace", workspace)
      .Add("revision", m_contracts.revision())
      .Add("withdrawn", contract == nullptr);
  if (workspace.value() == kEvacuationWorkspace) {
    ApplyEvacuationContract(now, contract);
    return;
  }
  const auto* terms =
      contract ? std::get_if<WorkspaceTerms>(&contract->terms) : nullptr;
  if (terms) {
    m_limiter.SetLimits(now, workspace, terms->limits);
    return;
  }
  m_limiter.RemoveWorkspace(now, workspace);
  m_recorder.Forget(workspace);
}

// Contracts are ordered by revision; a withdrawn contract evacuates no zone.
void Node::ApplyEvacuationContract(TimePoint now, const Contract* contract) {
  EvacuationRead read;
  read.is_complete = true;
  read.as_of.version = RowVersion(m_contracts.revision().value());
  const auto* terms =
      contract ? std::get_if<EvacuationTerms>(&contract->terms) : nullptr;
  if (terms) {
    for (const AvailabilityZone& zone : terms->zones)
      read.zones.push_back({zone, true, read.as_of});
  }
  m_evacuations.OnRead(now, read);
}

bool Node::MayFirstDocumentBeOld() const {
  const std::optional<std::size_t> rows = m_directory.rows_found();
  if (!rows)
    return true;
  if (*rows == 0)
    return false;
  const std::vector<const Member*> live = m_membership.table().Live();
  const bool has_report =
      std::any_of(live.begin(), live.end(), [this](const Member* member) {
        return member->id != m_settings.id && member->revision > Revision(0);
      });
  return !has_report || m_config_sync.newest_known() > m_contracts.revision();
}

// Load pattern: the table is restored from an older copy, and nodes are
// restarted. A new process reads the older document before it knows of its
// peers' newer one, and accepts withdrawn keys or refuses valid ones until
// then.
void Node::ApplyHeldDocument(TimePoint now) {
  if (!m_first_document_due)
    return;
  if (now < *m_first_document_due && MayFirstDocumentBeOld())
    return;
  m_first_document_due = now;
  ApplyRouteDocument(now);
  m_first_document_due.reset();
}

void Node::ApplyRouteDocument(TimePoint now) {
  const std::string* const text = m_contracts.RouteDocumentText();
  if (!text || !m_decoder)
    return;
  auto decoded = m_decoder->Decode(*text);
  if (const auto* fault = std::get_if<RouteDocumentFault>(&decoded)) {
    // The document may come from a peer with a newer release. The current
    // configuration stays in force.
    LogLine(LogLevel::kError, "config.unreadable")
        .Add("revision", m_contracts.revision())
        .Add("fault", fault->message);
    return;
  }
  auto& document = std::get<RouteDocument>(decoded);
  // Without workspaces, an older document is better than none.
  const bool is_first_with_keys =
      !m_routes.is_known() && document.config.workspaces;
  if (is_first_with_keys && MayFirstDocumentBeOld()) {
    if (!m_first_document_due) {
      m_first_document_due = now + kMaxFirstDocumentHold;
      LogLine(LogLevel::kInfo, "routes.held")
          .Add("revision", document.revision);
    }
    if (now < *m_first_document_due)
      return;
  }
  LogLine(LogLevel::kInfo, "routes.in_force")
      .Add("revision", document.revision)
      .Add("routes", document.config.routes.size())
      .Add("services", document.config.services.size())
      .Add("workspaces",
           document.config.workspaces ? document.config.workspaces->size() : 0);
  // Withdrawn keys must be refused soon although a change is missed.
  m_config_sync.SetWatchersCheck(document.config.workspaces.has_value());
  m_actions.Push(SetCallerBounds{document.config.callers});
  std::vector<NamedRate> rates;
  for (const Workspace& workspace :
       document.config.workspaces.value_or(std::vector<Workspace>())) {
    rates.push_back(
        {workspace.name, {workspace.units_per_second, workspace.burst_units}});
  }
  m_routes.Replace(std::move(document.config));
  m_fleet_limiter.SetLimits(now, std::move(rates));
  m_owner.OnRoutesChanged(now);
}

void Node::PublishTarget(TimePoint now) {
  std::optional<TargetSummary> target = m_owner.life().Summary();
  if (target && m_owner.is_leaving())
    target->is_serving = false;
  if (target)
    target->process = m_owner.process();
  m_membership.UpdateSelf(now, target, m_contracts.revision());
  std::optional<ServiceName> service;
  if (target)
    service = target->service;
  m_probes.OnTarget(now, service);
  m_probes.OnNeed(now, m_owner.life().Need(now));
}

void Node::UpdateMeasuringBudget(TimePoint now) {
  const Revision revision = m_contracts.revision();
  if (revision == m_probes_revision)
    return;
  m_probes_revision = revision;
  const Contract* contract =
      m_contracts.Find(WorkspaceName(kMeasurementWorkspace));
  const auto* terms =
      contract ? std::get_if<MeasuringTerms>(&contract->terms) : nullptr;
  m_probes.OnContract(now, revision, terms);
}

void Node::RunProbes(TimePoint now) {
  if (m_probes.NextWakeup() > now)
    return;
  const std::optional<ProbeOrder> order = m_probes.OnTimer(now, m_table);
  if (!order)
    return;
  ++m_probes_sent;
  m_actions.Push(SendProbe{order->probe, m_owner.endpoint().value(),
                           order->valid_until, order->gives_up_at});
}

}  // namespace bulrushmount::detail
