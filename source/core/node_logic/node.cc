// Implements `node.h`: construction, events and timers. The propagation of
// changes between modules is in node_updates.cc.

#include "core/node_logic/node.h"

#include <algorithm>
#include <memory>
#include <utility>
#include <variant>

#include "core/common/logging.h"
#include "core/contracts/config_table_reader.h"
#include "core/contracts/operator_document_reader.h"
#include "core/routing/power_of_choices_picker.h"

namespace bulrushmount::detail {

namespace {

constexpr int kFirstServerError = 500;

// Maximum number of pairs of workspace and kind with histograms.
constexpr std::size_t kMaxReportSeries = 512;

// How long a leaving node waits for cleanup that is not required: removing its
// row in the table, and outcomes of claims while the table is unavailable.
constexpr Duration kMaxCleanupTime = std::chrono::seconds(5);

// Ten times the time after which the first rows are visible to other nodes.
constexpr Duration kFirstStartWindow = std::chrono::seconds(1);

// A wakeup that is late by this much means that the process did not run, or
// hardly. Below, lateness cannot be distinguished from a busy machine.
constexpr Duration kMinPause = std::chrono::milliseconds(100);

// If no call arrives for this long, all callers are assumed to know that the
// node is leaving.
constexpr Duration kIdleTime = std::chrono::milliseconds(500);

MembershipSettings MakeMembershipSettings(const NodeSettings& settings) {
  MembershipSettings membership;
  membership.heartbeat_period = settings.heartbeat_period;
  membership.suspicion_time = settings.suspicion_time;
  return membership;
}

Member MakeSelf(const NodeSettings& settings) {
  Member self;
  self.id = settings.id;
  self.stream_endpoint = settings.stream_endpoint;
  self.gossip_endpoint = settings.gossip_endpoint;
  self.zone = settings.zone;
  self.region = settings.region;
  self.incarnation = Incarnation(1);
  return self;
}

Peer MakePeer(const NodeSettings& settings) {
  return Peer{settings.id, settings.gossip_endpoint};
}

QuarantineSettings MakeQuarantineSettings(const NodeSettings& settings) {
  QuarantineSettings quarantine;
  quarantine.quarantine_time = settings.quarantine_time;
  return quarantine;
}

MeasuringSettings MakeMeasuringSettings(const NodeSettings& settings) {
  MeasuringSettings measuring;
  measuring.shortest_term = settings.measuring_term;
  return measuring;
}

ConfigSyncSettings MakeConfigSettings(const NodeSettings& settings) {
  ConfigSyncSettings config;
  config.fleet_polls_per_second = settings.fleet_config_polls_per_second;
  config.max_confirmation_age = settings.max_unconfirmed_document;
  config.self = settings.id;
  config.zone = settings.zone;
  return config;
}

PowerOfChoicesSettings MakePickerSettings(const NodeSettings& settings) {
  PowerOfChoicesSettings picker;
  picker.warmup = settings.warmup;
  const auto set = [&picker](ZoneDistance distance, Duration round_trip) {
    picker.round_trip.at(static_cast<std::size_t>(distance)) = round_trip;
  };
  set(ZoneDistance::kSameRegion, settings.zone_round_trip);
  set(ZoneDistance::kOtherRegion, settings.region_round_trip);
  return picker;
}

MemberDirectorySettings MakeDirectorySettings(const NodeSettings& settings) {
  MemberDirectorySettings directory;
  directory.min_interval = settings.directory_interval;
  if (settings.is_first_start)
    directory.start_window = kFirstStartWindow;
  return directory;
}

EvacuationSettings MakeEvacuationSettings(const NodeSettings& settings,
                                          const RouteDocumentDecoder* decoder) {
  EvacuationSettings evacuation;
  evacuation.known_zones = settings.known_zones;
  evacuation.needs_read = decoder != nullptr;
  return evacuation;
}

std::unique_ptr<ConfigReader> MakeConfigReader(
    const NodeSettings& settings,
    TableService& table,
    const RouteDocumentDecoder* decoder) {
  if (!decoder)
    return std::make_unique<ConfigTableReader>(table);
  const Duration watch_time =
      settings.max_unconfirmed_document
          ? std::min(kWatchTime,
                     MaxWatchTime(*settings.max_unconfirmed_document))
          : kWatchTime;
  return std::make_unique<OperatorDocumentReader>(table, *decoder, watch_time);
}

WallAnchor AnchorAt(TimePoint now) {
  return WallAnchor{now, std::chrono::system_clock::now()};
}

}  // namespace

Node::Node(const NodeSettings& settings,
           const RouteDocumentDecoder* decoder,
           RandomSource& random,
           TimePoint now)
    : m_settings(settings),
      m_random(random),
      m_event_time(now),
      m_table(m_actions),
      m_datagrams(m_actions, m_traffic),
      m_membership(MakeMembershipSettings(settings),
                   MakeSelf(settings),
                   random,
                   m_datagrams,
                   now),
      m_directory(MakeDirectorySettings(settings),
                  settings.id,
                  settings.gossip_endpoint,
                  random,
                  m_table,
                  now),
      m_broadcasts(m_membership, m_event_time),
      m_decoder(decoder),
      m_evacuations(MakeEvacuationSettings(settings, decoder)),
      m_contract_writer(ContractWriterSettings(),
                        m_table,
                        random,
                        [this](TimePoint at, const ConfigChange& change) {
                          OnLocalCommit(at, change);
                        }),
      m_config_sync(MakeConfigSettings(settings),
                    m_contracts,
                    m_evacuations,
                    MakeConfigReader(settings, m_table, decoder),
                    m_datagrams,
                    random,
                    now),
      m_watch_duty(WatchDutySettings(), settings.id, now),
      m_limiter(LimitsSettings(), MakePeer(settings), m_datagrams, now),
      m_fleet_limiter(settings.workspace_limits,
                      MakePeer(settings),
                      random,
                      m_datagrams,
                      now),
      m_quarantine(MakeQuarantineSettings(settings),
                   MakePeer(settings),
                   m_datagrams,
                   m_broadcasts,
                   now),
      m_claims(ClaimSettings(), m_table, random, AnchorAt(now)),
      m_claim_sweeper(SweepSettings(), m_table, random, now, AnchorAt(now)),
      m_recorder(now, kMaxReportSeries),
      m_workspace_metrics(m_registry),
      m_metrics(m_registry),
      m_router([picker = MakePickerSettings(settings)] {
        return std::make_unique<PowerOfChoicesPicker>(picker);
      }),
      m_owner(settings,
              m_routes,
              m_evacuations,
              m_quarantine,
              m_metrics,
              m_actions,
              now),
      m_probes(settings.id, MakeMeasuringSettings(settings), random),
      m_entry(settings,
              EntrySide::Parts{m_contracts, m_routes, m_config_sync, m_limiter,
                               m_fleet_limiter, m_quarantine, m_claims,
                               m_router, m_notices, m_recorder, m_metrics,
                               *this, random, m_actions, m_event_time}) {
  m_contracts.AddListener(this);
}

std::vector<NodeAction> Node::Handle(TimePoint now, NodeEvent event) {
  DetectPause(now);
  m_event_time = now;
  std::visit(
      [this, now](auto&& one) { On(now, std::forward<decltype(one)>(one)); },
      std::move(event));
  PropagateChanges(now);
  return m_actions.Take();
}

void Node::DetectPause(TimePoint now) {
  if (now - m_event_time < kMinPause)
    return;
  const Duration late = now - NextWakeup();
  if (late < kMinPause)
    return;
  LogLine(LogLevel::kWarning, "node.paused").Add("ms", ToMilliseconds(late));
  m_owner.OnPaused(now, late);
  m_entry.OnPaused(now);
}

// While callers are served during a shutdown, a periodic check finds out
// whether calls still arrive.
TimePoint Node::NextLeaveStep() const {
  if (!m_leaving_since || m_has_exited)
    return TimePoint::max();
  if (m_has_announced_leave)
    return *m_leaving_since + m_settings.longest_leave - kExitMargin;
  if (!m_owner.is_leaving())
    return OwnerDrainTime();
  return std::max(*m_leaving_since + m_settings.leave_time,
                  m_event_time + kIdleTime);
}

TimePoint Node::NextWakeup() const {
  const TimePoint leave_step = NextLeaveStep();
  return std::min(
      {leave_step, m_membership.NextWakeup(), m_directory.NextWakeup(),
       m_contract_writer.NextWakeup(), m_config_sync.NextWakeup(),
       m_watch_duty.NextChange(m_event_time), m_limiter.NextWakeup(),
       m_fleet_limiter.NextWakeup(), m_quarantine.NextWakeup(),
       m_claims.NextWakeup(), SweepWakeup(), m_owner.NextWakeup(),
       m_probes.NextWakeup(), m_entry.NextWakeup(), m_next_revision_query,
       m_first_document_due.value_or(TimePoint::max())});
}

// With a routing document no request has an idempotency key, so there are no
// claims to sweep, and table reads cost.
TimePoint Node::SweepWakeup() const {
  return m_decoder ? TimePoint::max() : m_claim_sweeper.NextWakeup();
}

bool Node::IsRepeatable(const CallHead& head) const {
  if (m_decoder) {
    const Route* const route = m_routes.FindRoute(head.host, head.target);
    return route && route->is_repeatable;
  }
  const KindMatchResult match = m_contracts.MatchKind(
      head.workspace, head.service, head.method, head.target);
  const auto* const matched = std::get_if<MatchedKind>(&match);
  return matched && matched->kind->is_repeatable;
}

bool Node::IsReady() const {
  const bool is_configured =
      m_decoder ? m_routes.is_known() : m_contracts.is_known();
  return !m_leaving_since && is_configured && m_evacuations.is_known() &&
         m_quarantine.IsCaughtUp();
}

const Member* Node::FindOwner(NodeId node) const {
  const Member* member = m_membership.table().Find(node);
  return member && IsLive(member->state) ? member : nullptr;
}

void Node::On(TimePoint now, CallArrived event) {
  m_entry.OnCallArrived(now, std::move(event));
}

void Node::On(TimePoint now, const CallerDisconnected& event) {
  m_entry.dispatcher().OnCallerDisconnected(now, event.call);
}

void Node::On(TimePoint now, const AttemptRefused& event) {
  m_entry.dispatcher().OnRefused(now, event);
}

void Node::On(TimePoint now, const AttemptAnswerBegun& event) {
  m_entry.dispatcher().OnAnswerBegun(now, event);
}

void Node::On(TimePoint now, const AttemptAnswerEnded& event) {
  m_entry.dispatcher().OnAnswerEnded(now, event);
}

void Node::On(TimePoint now, const AttemptLost& event) {
  m_entry.dispatcher().OnLost(now, event);
}

void Node::On(TimePoint now, const AttemptSilent& event) {
  m_entry.dispatcher().OnSilent(now, event);
}

void Node::On(TimePoint now, const AnswerStalled& event) {
  m_entry.dispatcher().OnStalled(now, event.call);
}

void Node::On(TimePoint now, const WorkArrived& event) {
  m_owner.OnWorkArrived(now, event);
}

void Node::On(TimePoint now, const WorkCancelled& event) {
  m_owner.OnWorkCancelled(now, event.work);
}

void Node::On(TimePoint now, const TargetConnectFailed& event) {
  m_owner.OnConnectFailed(now, event.work);
}

void Node::On(TimePoint now, const TargetAnswerBegun& event) {
  m_owner.OnAnswerBegun(now, event);
  if (event.status >= kFirstServerError && !event.is_shed)
    m_entry.OnTargetError(now);
}

void Node::On(TimePoint now, const TargetAnswerEnded& event) {
  m_owner.OnAnswerEnded(now, event.work);
}

void Node::On(TimePoint now, const TargetExchangeFailed& event) {
  m_owner.OnExchangeFailed(now, event);
}

void Node::On(TimePoint now, const TargetAnnounced& event) {
  m_owner.OnAnnounced(now, event);
}

void Node::On(TimePoint now, const TargetWithdrawn& event) {
  m_owner.OnWithdrawn(now);
}

void Node::On(TimePoint now, const TargetHeartbeat& event) {
  m_owner.OnHeartbeat(now, event);
}

void Node::On(TimePoint now, const TargetDeparted& event) {
  m_owner.OnDeparted(now, event);
}

void Node::On(TimePoint now, const TargetReportRefused& event) {
  m_owner.OnReportRefused(now, event);
}

void Node::On(TimePoint now, const ProbeAnswered& event) {
  if (m_owner.OnOwnProbe(now, event))
    return;
  m_probes.OnProbeAnswered(now, event.probe);
  m_owner.OnProbe(now, event.is_healthy);
}

void Node::On(TimePoint now, const ProbeFailed& event) {
  if (m_owner.OnOwnProbe(now, event))
    return;
  m_probes.OnProbeFailed(now, event.probe);
  m_owner.OnProbe(now, false);
}

void Node::On(TimePoint now, const DatagramArrived& event) {
  if (event.bytes.empty())
    return;
  m_fleet_limiter.OnPeerContact(now);
  const std::string_view payload =
      std::string_view(event.bytes).substr(sizeof(DatagramKind));
  switch (static_cast<DatagramKind>(event.bytes.front())) {
    case DatagramKind::kGossip:
      m_watch_duty.OnPeerContact(now);
      m_membership.OnDatagram(now, event.from, payload);
      break;
    case DatagramKind::kLimits:
      m_limiter.OnDatagram(now, event.from, payload);
      break;
    case DatagramKind::kQuarantine:
      m_quarantine.OnDatagram(now, event.from, payload);
      break;
    case DatagramKind::kConfig:
      m_config_sync.OnDatagram(now, event.from, payload);
      break;
    case DatagramKind::kWorkspaceLimits:
      m_fleet_limiter.OnDatagram(now, event.from, payload);
      break;
  }
}

void Node::On(TimePoint now, TableReplied event) {
  m_table.OnReply(now, event.request, std::move(event.reply));
}

void Node::On(TimePoint now, const OperatorRequested& event) {
  m_contract_writer.Handle(now, event,
                           [this](TimePoint, AnswerOperator answer) {
                             m_actions.Push(std::move(answer));
                           });
}

void Node::On(TimePoint now, const TimerFired& event) {
  m_membership.OnTimer(now);
  m_directory.OnTimer(now, m_membership.table());
  m_contract_writer.OnTimer(now);
  m_config_sync.OnTimer(now);
  m_limiter.OnTimer(now);
  m_fleet_limiter.OnTimer(now);
  m_quarantine.OnTimer(now);
  m_claims.OnTimer(now);
  if (!m_decoder)
    m_claim_sweeper.OnTimer(now, m_membership.table().Live().size());
  m_owner.OnTimer(now);
  m_entry.OnTimer(now);
}

void Node::On(TimePoint now, const ShutdownRequested& event) {
  if (m_leaving_since)
    return;
  m_leaving_since = now;
  m_entry.Drain(now + MaxServingTime(), LastAnswerDeadline(now));
  DrainOwnerWhenDue(now);
  AnnounceLeaveWhenIdle(now);
  LogLine(LogLevel::kInfo, "node.leaving")
      .Add("calls", m_entry.size())
      .Add("works", m_owner.size());
}

// Load pattern: the nodes of a service are restarted one after the other while
// their targets keep running. A target that gets no work from the signal on
// would be idle until its node is back, and the service would lack its slots.
// Requests started in the first half of the leave time end well before the node
// exits.
void Node::DrainOwnerWhenDue(TimePoint now) {
  if (!m_leaving_since || m_owner.is_leaving() || now < OwnerDrainTime())
    return;
  m_owner.Drain(now);
}

TimePoint Node::OwnerDrainTime() const {
  return *m_leaving_since + m_settings.leave_time / 2;
}

// Calls whose deadline is later than this are refused.
TimePoint Node::LastAnswerDeadline(TimePoint leaving_since) const {
  if (m_settings.leave_time <= Duration::zero())
    return TimePoint::max();
  return leaving_since + m_settings.longest_leave - kExitMargin;
}

// Maximum time for which callers are served after a shutdown request.
Duration Node::MaxServingTime() const {
  if (m_settings.leave_time <= Duration::zero())
    return Duration::zero();
  return std::max(m_settings.leave_time,
                  m_settings.longest_leave - kFinalDrainTime);
}

// Callers switch to other nodes only after they have seen that this one is not
// ready, and some have no other node. Until calls stop, the node continues as
// an entry and receives updates about owners by gossip.
//
// A fixed time instead would refuse callers for seconds although the node still
// works.
void Node::AnnounceLeaveWhenIdle(TimePoint now) {
  if (!m_leaving_since || m_has_announced_leave)
    return;
  const Duration since = now - *m_leaving_since;
  const bool is_idle = m_entry.size() == 0 && m_owner.size() == 0;
  const bool is_quiet =
      is_idle && (m_entry.last_arrival() == TimePoint::min() ||
                  now - m_entry.last_arrival() >= kIdleTime);
  const bool has_served = since >= m_settings.leave_time && is_quiet;
  const bool must_end = since >= MaxServingTime();
  if (m_settings.leave_time > Duration::zero() && !has_served && !must_end)
    return;
  m_has_announced_leave = true;
  m_membership.Leave(now);
  m_directory.Leave(now);
}

void Node::ExitWhenDone(TimePoint now) {
  if (!m_leaving_since || m_has_exited)
    return;
  const Duration since = now - *m_leaving_since;
  if (since >= m_settings.longest_leave - kExitMargin) {
    m_has_exited = true;
    m_actions.Push(ExitProcess{});
    return;
  }
  if (!m_has_announced_leave || m_entry.size() > 0 || m_owner.size() > 0)
    return;
  const bool is_cleaned_up = m_membership.phase() == MemberPhase::kLeft &&
                             m_directory.has_left() && m_claims.size() == 0;
  if (!is_cleaned_up && now - *m_leaving_since < kMaxCleanupTime)
    return;
  m_has_exited = true;
  m_actions.Push(ExitProcess{});
}

}  // namespace bulrushmount::detail
