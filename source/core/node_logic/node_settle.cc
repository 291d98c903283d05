// Part of `node.h`: what news of one part of a node means to the others.

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

// After a change made here: how often members that lag are asked, how many at a
// time, and for how long. It is a burst: 16 heartbeats each 100 ms.
constexpr Duration kQuestionPeriod = std::chrono::milliseconds(100);
constexpr std::size_t kMembersAsked = 16;
constexpr Duration kLongestQuestions = std::chrono::seconds(10);

}  // namespace

void Node::Settle(TimePoint now) {
  m_membership.Introduce(now, m_directory.TakeFound(m_membership.table()));
  TakeDirectoryNews(now);
  DrainOwnerWhenDue(now);
  PublishTarget(now);
  UpdateMeasuringBudget(now);
  TakeEvacuations(now);
  TakeMemberChanges(now);
  TakeNewestRevision(now);
  m_config_sync.SetWatchDuty(now, m_watch_duty.IsOnDuty(now));
  AskForRevisions(now);
  TakeBroadcasts(now);
  RunProbes(now);
  AnnounceLeaveWhenIdle(now);
  ExitWhenDone(now);
}

void Node::TakeDirectoryNews(TimePoint now) {
  const std::optional<std::size_t> rows = m_directory.rows_found();
  if (rows && !std::exchange(m_has_set_expectation, true)) {
    m_config_sync.OnPeersExpected(
        now, *rows >= MemberDirectorySettings{}.wanted_rows);
  }
  const bool was_available =
      std::exchange(m_was_table_available, m_config_sync.is_table_available());
  if (m_was_table_available && !was_available)
    m_directory.OnTableAvailable(now);
}

void Node::TakeMemberChanges(TimePoint now) {
  const std::vector<MemberChange> changes = m_membership.TakeChanges();
  bool has_peers_changed = false;
  for (const MemberChange& change : changes) {
    TakeMemberChange(now, change);
    const bool is_live = IsLive(change.member.state);
    has_peers_changed |= change.kind != MemberChangeKind::kUpdated ||
                         is_live != IsLive(change.before);
  }
  if (has_peers_changed)
    UpdateMembers(now);
  if (!changes.empty())
    UpdateFleetSize();
}

void Node::TakeMemberChange(TimePoint now, const MemberChange& change) {
  const Member& member = change.member;
  if (member.state != change.before ||
      change.kind == MemberChangeKind::kAdded) {
    LogLine(LogLevel::kInfo, "member.changed")
        .Add("member", ToHex(member.id))
        .Add("state", ToToken(member.state));
  }
  UpdateConfigSync(now, member);
  UpdateRouter(now, member, change.kind == MemberChangeKind::kForgotten);
}

void Node::UpdateRouter(TimePoint now,
                        const Member& member,
                        bool is_forgotten) {
  // A suspect owner may be frozen: calls sent there would wait for nothing. If
  // it is this node that is cut off, a refusal is the truth as well.
  const bool takes_calls =
      !is_forgotten && member.state == MemberState::kAlive && member.target &&
      member.target->is_serving && !m_evacuations.IsEvacuated(member.zone);
  if (takes_calls)
    m_router.Update(member.target->service, MakeCandidate(now, member));
  else
    m_router.Remove(member.id);
}

void Node::TakeEvacuations(TimePoint now) {
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
    m_config_sync.OnPeerRevision(now, member.id, member.gossip_endpoint,
                                 member.revision);
  } else {
    m_config_sync.OnPeerRemoved(member.gossip_endpoint);
  }
}

// Heartbeats carry revisions without a change of the member's record.
void Node::TakeNewestRevision(TimePoint now) {
  const Revision newest = m_membership.newest_revision();
  if (newest <= m_contracts.revision() || newest == m_reported_revision)
    return;
  for (const Member* member : m_membership.table().Live()) {
    if (member->revision != newest)
      continue;
    // Until a member is known to have it in force there is nobody to ask.
    m_reported_revision = newest;
    UpdateConfigSync(now, *member);
  }
}

void Node::OnLocalCommit(TimePoint now, const ConfigChange& change) {
  m_config_sync.OnLocalCommit(now, change);
  m_committed_revision = change.revision;
  m_next_question = now + kQuestionPeriod;
  m_questions_end = now + kLongestQuestions;
}

// Symptom without this: `contract write --wait` returns long after the change
// is in force everywhere, since each member's revision reaches this node only
// with its next heartbeat here, which in a large fleet takes minutes.
void Node::AskForRevisions(TimePoint now) {
  if (now < m_next_question)
    return;
  const std::size_t behind =
      m_membership.QueryRevision(now, m_committed_revision, kMembersAsked);
  const bool is_done = behind == 0 || now >= m_questions_end;
  m_next_question = is_done ? TimePoint::max() : now + kQuestionPeriod;
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
    TakeRouteDocument(now);
    return;
  }
  LogLine(LogLevel::kInfo, "contract.in_force")
      .Add("workspace", workspace)
      .Add("revision", m_contracts.revision())
      .Add("withdrawn", contract == nullptr);
  if (workspace.value() == kEvacuationWorkspace) {
    TakeEvacuationContract(now, contract);
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

// Contracts are ordered by revision; a withdrawn one evacuates no zone.
void Node::TakeEvacuationContract(TimePoint now, const Contract* contract) {
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

void Node::TakeRouteDocument(TimePoint now) {
  const std::string* const text = m_contracts.RouteDocumentText();
  if (!text || !m_decoder)
    return;
  auto decoded = m_decoder->Decode(*text);
  if (const auto* fault = std::get_if<RouteDocumentFault>(&decoded)) {
    // From a peer of a newer release. What is in force stays.
    LogLine(LogLevel::kError, "config.unreadable")
        .Add("revision", m_contracts.revision())
        .Add("fault", fault->message);
    return;
  }
  auto& document = std::get<RouteDocument>(decoded);
  LogLine(LogLevel::kInfo, "routes.in_force")
      .Add("revision", document.revision)
      .Add("routes", document.config.routes.size())
      .Add("services", document.config.services.size());
  m_actions.Push(SetCallerBounds{document.config.callers});
  m_routes.Replace(std::move(document.config));
  m_owner.OnRoutesChanged(now);
}

void Node::PublishTarget(TimePoint now) {
  std::optional<TargetSummary> target = m_owner.life().Summary();
  if (target && m_owner.is_leaving())
    target->is_serving = false;
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
