// Combines the modules of a node's decision logic: dispatches events to them
// and propagates state changes between them.

#ifndef BULRUSHMOUNT_CORE_NODE_LOGIC_NODE_H_
#define BULRUSHMOUNT_CORE_NODE_LOGIC_NODE_H_

#include <optional>
#include <string>
#include <vector>

#include "core/claims/claim_book.h"
#include "core/claims/claim_sweeper.h"
#include "core/common/random.h"
#include "core/common/time.h"
#include "core/contracts/config_sync.h"
#include "core/contracts/contract_store.h"
#include "core/contracts/contract_writer.h"
#include "core/contracts/watch_duty.h"
#include "core/evacuation/evacuation_table.h"
#include "core/limits/workspace_limiter.h"
#include "core/measuring/probe_scheduler.h"
#include "core/membership/member_directory.h"
#include "core/membership/membership.h"
#include "core/node_logic/entry_side.h"
#include "core/node_logic/events.h"
#include "core/node_logic/node_settings.h"
#include "core/node_logic/owner_side.h"
#include "core/node_logic/ports.h"
#include "core/quarantine/quarantine.h"
#include "core/reporting/call_recorder.h"
#include "core/reporting/metrics_page.h"
#include "core/reporting/peer_traffic.h"
#include "core/reporting/traffic_metrics.h"
#include "core/reporting/workspace_metrics.h"
#include "core/reporting/workspace_report.h"
#include "core/routes/route_document.h"
#include "core/routes/route_table.h"
#include "core/routing/router.h"
#include "core/routing/target_notices.h"
#include "core/workspace_limits/fleet_limiter.h"

namespace bulrushmount::detail {

class Node : private OwnerDirectory, private ContractListener {
 public:
  // `decoder` reads the routing document of the operator; null if there is
  // none.
  Node(const NodeSettings& settings,
       const RouteDocumentDecoder* decoder,
       RandomSource& random,
       TimePoint now);

  std::vector<NodeAction> Handle(TimePoint now, NodeEvent event);
  TimePoint NextWakeup() const;
  bool IsRepeatable(const CallHead& head) const;
  bool IsReady() const;

  std::string StatusJson(TimePoint now) const;
  std::string MetricsText(TimePoint now) const;
  BurnReport BurnSnapshot(TimePoint now) { return m_recorder.Snapshot(now); }
  std::vector<Endpoint> PeerStreams() const;
  WorkspaceReport WorkspaceSnapshot(TimePoint now) const;
  PeerTraffic& traffic() { return m_traffic; }

 private:
  const Member* FindOwner(NodeId node) const override;

  void OnContractChanged(TimePoint now,
                         const WorkspaceName& workspace,
                         const Contract* contract) override;

  // One overload per event type.
  void On(TimePoint now, CallArrived event);
  void On(TimePoint now, const CallerDisconnected& event);
  void On(TimePoint now, const AttemptRefused& event);
  void On(TimePoint now, const AttemptAnswerBegun& event);
  void On(TimePoint now, const AttemptAnswerEnded& event);
  void On(TimePoint now, const AttemptLost& event);
  void On(TimePoint now, const AttemptSilent& event);
  void On(TimePoint now, const AnswerStalled& event);
  void On(TimePoint now, const WorkArrived& event);
  void On(TimePoint now, const WorkCancelled& event);
  void On(TimePoint now, const TargetConnectFailed& event);
  void On(TimePoint now, const TargetAnswerBegun& event);
  void On(TimePoint now, const TargetAnswerEnded& event);
  void On(TimePoint now, const TargetExchangeFailed& event);
  void On(TimePoint now, const TargetAnnounced& event);
  void On(TimePoint now, const TargetWithdrawn& event);
  void On(TimePoint now, const TargetHeartbeat& event);
  void On(TimePoint now, const TargetDeparted& event);
  void On(TimePoint now, const TargetReportRefused& event);
  void On(TimePoint now, const ProbeAnswered& event);
  void On(TimePoint now, const ProbeFailed& event);
  void On(TimePoint now, const DatagramArrived& event);
  void On(TimePoint now, TableReplied event);
  void On(TimePoint now, const OperatorRequested& event);
  void On(TimePoint now, const TimerFired& event);
  void On(TimePoint now, const ShutdownRequested& event);

  // Detects that this process did not run: it was stopped, its machine was
  // suspended, or the clock jumped ahead. What was learnt across that time
  // says nothing about targets.
  void DetectPause(TimePoint now);

  // Called after each event: propagates changes of one module to the others.
  void PropagateChanges(TimePoint now);
  void ApplyMemberChanges(TimePoint now);
  void ApplyMemberChange(TimePoint now, const MemberChange& change);
  void TakeBroadcasts(TimePoint now);
  void OnLocalCommit(TimePoint now, const ConfigChange& change);
  void QueryMemberRevisions(TimePoint now);
  void PublishTarget(TimePoint now);
  void UpdateMeasuringBudget(TimePoint now);
  void RunProbes(TimePoint now);
  void UpdateFleetSize();
  void UpdateMembers(TimePoint now);
  void UpdateFleetLimiter(TimePoint now);
  void UpdateConfigSync(TimePoint now, const Member& member);
  void ApplyNewestRevision(TimePoint now);
  void ApplyDirectoryChanges(TimePoint now);
  void ApplyRouteDocument(TimePoint now);
  // Whether a document that this process applies first may be older than that
  // of its peers.
  bool MayFirstDocumentBeOld() const;
  void ApplyHeldDocument(TimePoint now);
  void ApplyEvacuationContract(TimePoint now, const Contract* contract);
  void ApplyEvacuations(TimePoint now);
  void ApplyTargetNotices(TimePoint now);
  void UpdateRouter(TimePoint now, const Member& member, bool is_forgotten);
  Duration MaxServingTime() const;
  TimePoint LastAnswerDeadline(TimePoint leaving_since) const;
  TimePoint NextLeaveStep() const;
  void DrainOwnerWhenDue(TimePoint now);
  // Valid only while the node is leaving.
  TimePoint OwnerDrainTime() const;
  void AnnounceLeaveWhenIdle(TimePoint now);
  void ExitWhenDone(TimePoint now);
  TimePoint SweepWakeup() const;
  Candidate MakeCandidate(TimePoint now, const Member& member) const;

  NodeSettings m_settings;
  RandomSource& m_random;
  // Time of the current or the most recent event.
  TimePoint m_event_time;
  ActionQueue m_actions;
  TablePort m_table;
  PeerTraffic m_traffic;
  DatagramActions m_datagrams;

  Membership m_membership;
  MemberDirectory m_directory;
  GossipBroadcasts m_broadcasts;
  const RouteDocumentDecoder* m_decoder;
  RouteTable m_routes;
  ContractStore m_contracts;
  EvacuationTable m_evacuations;
  ContractWriter m_contract_writer;
  ConfigSync m_config_sync;
  WatchDuty m_watch_duty;
  WorkspaceLimiter m_limiter;
  FleetLimiter m_fleet_limiter;
  Quarantine m_quarantine;
  ClaimBook m_claims;
  ClaimSweeper m_claim_sweeper;
  CallRecorder m_recorder;
  // Mutable because gauges are set when the page is rendered.
  mutable MetricsRegistry m_registry;
  // Mutable for the same reason.
  mutable WorkspaceMetrics m_workspace_metrics;
  TrafficMetrics m_metrics;
  Router m_router;
  TargetNotices m_notices;
  OwnerSide m_owner;
  ProbeScheduler m_probes;
  EntrySide m_entry;

  std::uint64_t m_probes_sent = 0;
  // Set once ConfigSync was notified whether peers are likely to exist, judging
  // by the number of member rows.
  bool m_has_set_peer_expectation = false;
  bool m_was_table_available = true;
  // When the first document is applied at the latest; empty unless it is held
  // until peers have reported theirs.
  std::optional<TimePoint> m_first_document_due;
  // The evacuated zones that the router and the owner currently use.
  std::optional<std::vector<AvailabilityZone>> m_evacuated;
  TableEpoch m_epoch;
  // The newest revision reported to ConfigSync.
  Revision m_reported_revision;
  // Revision of the last change that an operator made at this node. Members
  // that may not have applied it are queried from m_next_revision_query until
  // m_revision_queries_end.
  Revision m_committed_revision;
  TimePoint m_next_revision_query = TimePoint::max();
  TimePoint m_revision_queries_end;
  // The revision last passed to m_probes.
  Revision m_probes_revision;
  // Time of the shutdown request.
  std::optional<TimePoint> m_leaving_since;
  // Whether the leave was announced to the other members.
  bool m_has_announced_leave = false;
  bool m_has_exited = false;
};

}  // namespace bulrushmount::detail

#endif  // BULRUSHMOUNT_CORE_NODE_LOGIC_NODE_H_
