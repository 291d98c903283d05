// Part of `soak_run.h`.

#include "soak/soak_run.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>
#include <thread>

#include <fmt/format.h>

#include "soak/limit_checks.h"

namespace bulrushmount::soak {

namespace {

using platform::ClientVerdict;
using platform::FinishedCall;
using platform::Link;
using platform::NodeFleet;
using platform::ServerStandIn;
using platform::StoreFaults;

constexpr std::array<const char*, 2> kServices = {"booking", "search"};
// After this time a draining server leaves although its node has not
// acknowledged the drain.
constexpr Duration kDrainTimeout = std::chrono::seconds(4);
constexpr Duration kPollPeriod = std::chrono::milliseconds(20);
// After SIGTERM a node may take the longest leave time, 6 s, and as long again
// on a busy machine.
constexpr Duration kMaxExitTime = std::chrono::seconds(20);
constexpr Duration kSlowStoreDelay = std::chrono::milliseconds(400);
constexpr std::uint64_t kLostAnswers = 3;
constexpr std::uint64_t kBrokenAnswers = 3;
// The number of older versions whose routes a document keeps.
constexpr std::uint64_t kMaxOlderVersions = 40;

// Fractions of the calls: probes of the newest routes, clients that disconnect
// early, calls with an empty or a large body, and bookings.
constexpr double kProbeFraction = 0.1;
constexpr double kEarlyDisconnectFraction = 0.03;
constexpr double kEmptyBodyFraction = 0.5;
constexpr double kLargeBodyFraction = 0.05;
constexpr double kOnceFraction = 0.45;
constexpr std::size_t kLargeBodyBytes = 200'000;

// Fractions of the calls with a key of few versions, of which some are
// withdrawn, and of those without a valid key. The others have a permanent key.
constexpr double kChangingKeyFraction = 0.2;
constexpr double kNoKeyFraction = 0.02;
constexpr double kNeverValidKeyFraction = 0.02;
constexpr double kClaimFraction = 0.5;
// The versions before the newest whose keys are used.
constexpr std::uint64_t kUsedOlderVersions = 6;

// The time between an answer and the client's next request. It limits the load
// to a few hundred requests a second at each node, so that several soaks can
// run on one machine.
constexpr Duration kThinkTime = std::chrono::milliseconds(10);

// About the same as the think time: at any moment about half of all calls are
// at a server, so that a fault of a server affects some of them.
constexpr Duration kServiceTime = std::chrono::milliseconds(12);

// Returns a loopback address that is derived from the process id, so that no
// other soak or test on the machine uses it.
std::string IpOf(std::size_t index) {
  const auto pid = static_cast<unsigned>(::getpid());
  return fmt::format("127.{}.{}.{}", 1 + (pid / 250) % 250, 1 + pid % 250,
                     1 + index);
}

StoreFaults FaultsOf(FaultKind kind) {
  StoreFaults faults;
  faults.is_down = kind == FaultKind::kStoreDown;
  faults.is_silent = kind == FaultKind::kStoreSilent;
  if (kind == FaultKind::kStoreSlow)
    faults.delay = kSlowStoreDelay;
  if (kind == FaultKind::kStoreLosesAnswers)
    faults.lose_answers = kLostAnswers;
  return faults;
}

}  // namespace

SoakRun::SoakRun(SoakOptions options)
    : m_options(std::move(options)),
      m_random(m_options.seed + 1),
      m_key_random(m_options.seed + 2),
      m_nodes(m_options.nodes) {}

SoakResult SoakRun::Run() {
  StartFleet();
  if (!WaitUntilServing()) {
    RecordViolation("the fleet does not serve before the first fault");
    return {m_violations, {}};
  }
  m_fleet->StartCalls(
      [this](std::size_t, platform::ClientCall& call) { MakeCall(call); },
      m_options.calls_per_node, kThinkTime);
  const TimePoint began = Now();
  if (!m_options.is_without_faults) {
    for (const Fault& fault :
         GenerateSchedule(m_options.seed, m_options.length, m_options.nodes,
                          m_options.has_notices)) {
      ScheduleAfter(fault.at, [this, fault] { InjectFault(fault); });
    }
  }
  RunUntil(began + m_options.length);
  WaitForRecovery();
  if (!m_fleet->StopCalls())
    RecordViolation(
        "calls are still in flight a minute after the last one was sent");
  EndFleet();
  m_record.calls = m_fleet->TakeFinished();
  m_record.runs = m_fleet->Ledger();
  m_record.has_workspaces = m_options.has_workspaces;
  for (std::string& line : FindViolations(m_record))
    m_violations.push_back(std::move(line));
  return {m_violations, FormatStatistics(m_record)};
}

void SoakRun::StartFleet() {
  platform::FleetPlan plan;
  plan.program = m_options.program;
  plan.settings_template = m_options.settings_template;
  plan.folder = m_options.folder;
  plan.has_relays = true;
  plan.service_time = kServiceTime;
  if (m_options.has_workspaces) {
    plan.settings_values = {
        {"bounds.quota_window_s", fmt::format("{}", ToSeconds(kLimitWindow))},
        {"bounds.quota_overage", fmt::format("{}", kLimitOverage)},
        {"bounds.quota_slack", fmt::format("{}", kLimitSlack)}};
  }
  for (std::size_t index = 0; index < m_options.nodes; ++index) {
    plan.ips.push_back(IpOf(index));
    plan.services.emplace_back(kServices.at(index % kServices.size()));
  }
  plan.document = RoutesDocument();
  m_fleet = std::make_unique<NodeFleet>(plan);
  for (std::size_t index = 0; index < m_options.nodes; ++index)
    StartNode(index);
  for (std::size_t index = 0; index < m_options.nodes; ++index)
    m_fleet->StartServer(index);
}

bool SoakRun::WaitUntilServing() {
  const std::string path = VersionPrefix(m_version);
  for (std::size_t index = 0; index < m_options.nodes; ++index) {
    const bool is_serving = WaitUntil([&] {
      return m_fleet->IsReady(index) &&
             m_fleet->Call(index, path, ServedKey()).outcome.verdict ==
                 ClientVerdict::kServed &&
             m_fleet->Call(index, kSafePrefix, ServedKey()).outcome.verdict ==
                 ClientVerdict::kServed;
    });
    if (!is_serving) {
      RecordViolation(fmt::format("node {} does not serve version {}", index,
                                  m_version.load()));
      return false;
    }
  }
  return true;
}

void SoakRun::ScheduleAfter(Duration delay, Action action) {
  m_scheduled.push(
      {Now() + delay, ++m_last_sequence_number, std::move(action)});
}

void SoakRun::RunUntil(TimePoint end) {
  while (Now() < end) {
    const TimePoint next =
        m_scheduled.empty() ? end : std::min(end, m_scheduled.top().at);
    std::this_thread::sleep_until(next);
    while (!m_scheduled.empty() && m_scheduled.top().at <= Now()) {
      const Action action = m_scheduled.top().action;
      m_scheduled.pop();
      action();
    }
    for (std::size_t index = 0; index < m_options.nodes; ++index) {
      if (!m_nodes[index].is_down && !m_nodes[index].is_leaving &&
          !m_fleet->IsRunning(index)) {
        RecordViolation(fmt::format("node {} exited unexpectedly", index));
        StartNode(index);
      }
    }
  }
}

void SoakRun::InjectFault(const Fault& fault) {
  ++m_injected_faults;
  switch (fault.kind) {
    case FaultKind::kKillNode:
      return KillNode(fault);
    case FaultKind::kFreezeNode:
      return FreezeNode(fault);
    case FaultKind::kTerminateNode:
      return TerminateNode(fault);
    case FaultKind::kReloadNode:
      if (m_fleet->IsRunning(fault.node))
        m_fleet->node(fault.node).Reload();
      return;
    case FaultKind::kCrashServer:
      return CrashServer(fault);
    case FaultKind::kHangServer:
      return HangServer(fault);
    case FaultKind::kDrainServer:
      return DrainServer(fault);
    case FaultKind::kBreakAnswers:
      m_fleet->WithServer(fault.node, [](ServerStandIn& server) {
        server.BreakAnswers(kBrokenAnswers);
      });
      return;
    case FaultKind::kStoreDown:
    case FaultKind::kStoreSilent:
    case FaultKind::kStoreSlow:
    case FaultKind::kStoreLosesAnswers:
      return InjectStoreFault(fault);
    case FaultKind::kStoreForgetsHistory:
      return m_fleet->ForgetHistory();
    case FaultKind::kCutLink:
      return InjectLinkFault(fault, LinkState::kCut);
    case FaultKind::kStallLink:
      return InjectLinkFault(fault, LinkState::kStalled);
    case FaultKind::kStallLinkDown:
      return InjectLinkFault(fault, LinkState::kStalledFromServer);
    case FaultKind::kSlowLink:
      return InjectLinkFault(fault, LinkState::kSlow);
    case FaultKind::kLimitServer:
      return LimitServers(fault);
    case FaultKind::kLeaveByAnswers:
      return LeaveByAnswers(fault);
    case FaultKind::kMoveRoutes:
      return MoveRoutes();
  }
}

void SoakRun::StartNode(std::size_t index) {
  m_nodes[index].is_down = false;
  m_nodes[index].is_leaving = false;
  m_record.node_starts[index].push_back(Now());
  RecordDisturbance(index);
  m_fleet->StartNode(index);
}

void SoakRun::KillNode(const Fault& fault) {
  NodeState& state = m_nodes[fault.node];
  if (state.is_down)
    return;
  state.is_down = true;
  state.is_frozen = false;
  m_fleet->node(fault.node).Kill();
  ScheduleAfter(fault.duration,
                [this, index = fault.node] { StartNode(index); });
}

void SoakRun::FreezeNode(const Fault& fault) {
  NodeState& state = m_nodes[fault.node];
  if (state.is_down || state.is_frozen || !m_fleet->IsRunning(fault.node))
    return;
  state.is_frozen = true;
  state.was_frozen_while_leaving |= state.is_leaving;
  RecordDisturbance(fault.node);
  m_fleet->node(fault.node).Freeze();
  ScheduleAfter(fault.duration, [this, index = fault.node] {
    m_nodes[index].is_frozen = false;
    m_fleet->node(index).Thaw();
    RecordDisturbance(index);
  });
}

void SoakRun::TerminateNode(const Fault& fault) {
  NodeState& state = m_nodes[fault.node];
  if (state.is_down || state.is_leaving)
    return;
  state.is_leaving = true;
  state.was_frozen_while_leaving = state.is_frozen;
  m_fleet->node(fault.node).Terminate();
  AwaitExit(fault.node, Now(), fault.duration);
}

void SoakRun::AwaitExit(std::size_t index,
                        TimePoint terminated_at,
                        Duration pause) {
  NodeState& state = m_nodes[index];
  // The node has been killed in the meantime, and possibly restarted.
  if (state.is_down || !state.is_leaving)
    return;
  if (m_fleet->IsRunning(index)) {
    if (Now() - terminated_at < kMaxExitTime) {
      ScheduleAfter(kPollPeriod,
                    [=, this] { AwaitExit(index, terminated_at, pause); });
      return;
    }
    RecordViolation(fmt::format("node {} does not exit after SIGTERM", index));
    m_fleet->node(index).Kill();
  } else if (!HasExitedAsExpected(index)) {
    RecordViolation(
        fmt::format("node {} exits with an error after SIGTERM", index));
  }
  state.is_down = true;
  ScheduleAfter(pause, [this, index] { StartNode(index); });
}

// A node that was frozen while it was leaving may have no time left for its
// last calls; it then exits with EXIT_FAILURE.
bool SoakRun::HasExitedAsExpected(std::size_t index) {
  const auto exit = m_fleet->node(index).WaitForExit();
  const bool may_abort_calls = m_nodes[index].was_frozen_while_leaving;
  return exit->code == EXIT_SUCCESS ||
         (may_abort_calls && exit->code == EXIT_FAILURE);
}

void SoakRun::CrashServer(const Fault& fault) {
  NodeState& state = m_nodes[fault.node];
  if (state.is_server_leaving_or_down)
    return;
  state.is_server_leaving_or_down = true;
  m_fleet->KillServer(fault.node);
  ScheduleAfter(fault.duration, [this, index = fault.node] {
    m_nodes[index].is_server_leaving_or_down = false;
    m_fleet->StartServer(index);
  });
}

void SoakRun::HangServer(const Fault& fault) {
  const std::string instance = m_fleet->InstanceOf(fault.node);
  const auto set = [this, index = fault.node, instance](bool is_hanging) {
    m_fleet->WithServer(index, [&](ServerStandIn& server) {
      if (server.options().instance == instance)
        server.SetHanging(is_hanging);
    });
  };
  set(true);
  ScheduleAfter(fault.duration, [set] { set(false); });
}

// A server is not drained while its link is faulty: a request that the relay
// holds has already left the node, so a late start of it at the server is no
// fault of the node.
void SoakRun::DrainServer(const Fault& fault) {
  NodeState& state = m_nodes[fault.node];
  if (state.is_server_leaving_or_down || state.link_faults[Link::kServer] > 0)
    return;
  state.is_server_leaving_or_down = true;
  m_fleet->WithServer(fault.node,
                      [](ServerStandIn& server) { server.Drain(); });
  AwaitDrain(fault.node, Now(), fault.duration);
}

void SoakRun::AwaitDrain(std::size_t index, TimePoint began, Duration pause) {
  bool is_acknowledged = false;
  m_fleet->WithServer(index, [&](ServerStandIn& server) {
    is_acknowledged = server.IsDrainAcknowledged();
  });
  if (!is_acknowledged && Now() - began < kDrainTimeout) {
    ScheduleAfter(kPollPeriod, [=, this] { AwaitDrain(index, began, pause); });
    return;
  }
  if (is_acknowledged)
    m_record.drains.push_back({m_fleet->InstanceOf(index), Now()});
  ScheduleAfter(kDrainTime, [this, index] {
    m_fleet->WithServer(index,
                        [](ServerStandIn& server) { server.Leave([] {}); });
  });
  ScheduleAfter(kDrainTime + pause,
                [this, index] { m_fleet->KillServer(index); });
  ScheduleAfter(kDrainTime + 2 * pause, [this, index] {
    m_nodes[index].is_server_leaving_or_down = false;
    m_fleet->StartServer(index);
  });
}

void SoakRun::InjectStoreFault(const Fault& fault) {
  for (std::size_t index = 0; index < m_options.nodes; ++index) {
    if (index != fault.node && !fault.affects_all_nodes)
      continue;
    ++m_nodes[index].store_faults;
    m_fleet->SetStoreFaults(index, FaultsOf(fault.kind));
    ScheduleAfter(fault.duration, [this, index] {
      if (--m_nodes[index].store_faults == 0)
        m_fleet->SetStoreFaults(index, StoreFaults());
    });
  }
}

void SoakRun::InjectLinkFault(const Fault& fault, LinkState state) {
  if (fault.link == Link::kServer &&
      m_nodes[fault.node].is_server_leaving_or_down)
    return;
  ++m_nodes[fault.node].link_faults[fault.link];
  RecordDisturbance(fault.node);
  m_fleet->SetLink(fault.node, fault.link, state);
  ScheduleAfter(fault.duration, [this, index = fault.node, link = fault.link] {
    if (--m_nodes[index].link_faults[link] == 0)
      m_fleet->SetLink(index, link, LinkState::kOpen);
    RecordDisturbance(index);
  });
}

void SoakRun::MoveRoutes() {
  ++m_version;
  m_fleet->WriteDocument(RoutesDocument());
  m_record.commits[m_version] = Now();
}

void SoakRun::WaitForRecovery() {
  // Each active fault is undone by an action that is due within a few seconds.
  while (!m_scheduled.empty())
    RunUntil(m_scheduled.top().at + std::chrono::milliseconds(1));
  if (WaitUntilServing())
    return;
  RecordViolation("the fleet does not serve after the last fault");
}

void SoakRun::EndFleet() {
  for (std::size_t index = 0; index < m_options.nodes; ++index)
    m_fleet->node(index).Terminate();
  for (std::size_t index = 0; index < m_options.nodes; ++index) {
    const auto exit = m_fleet->node(index).WaitForExit();
    if (!exit || exit->code != 0)
      RecordViolation(fmt::format("node {} does not exit cleanly", index));
  }
}

// Called on the event loop of the clients.
void SoakRun::MakeCall(platform::ClientCall& call) {
  const double kind = m_random.Fraction();
  if (kind < kProbeFraction)
    call.path = VersionPrefix(m_version) + call.request_id;
  else if (kind < kProbeFraction + kOnceFraction)
    call.path = kOncePrefix + call.request_id;
  else
    call.path = kSafePrefix + call.request_id;
  if (m_random.Fraction() < kEmptyBodyFraction)
    call.body.clear();
  if (m_random.Fraction() < kLargeBodyFraction)
    call.body.append(kLargeBodyBytes, 'x');
  if (m_random.Fraction() < kEarlyDisconnectFraction)
    call.leaves_after = FromSeconds(m_random.Fraction() / 100);
  if (!m_options.has_workspaces)
    return;
  call.key = DrawKey();
  if (m_key_random.Fraction() < kClaimFraction)
    call.claimed_workspace = kWorkspaces[0];
}

std::string SoakRun::DrawKey() {
  const std::string workspace =
      kWorkspaces.at(m_key_random.Index(kWorkspaces.size()));
  double kind = m_key_random.Fraction();
  if (kind < kNoKeyFraction)
    return "";
  kind -= kNoKeyFraction;
  if (kind < kNeverValidKeyFraction)
    return kNeverValidKey;
  kind -= kNeverValidKeyFraction;
  if (kind >= kChangingKeyFraction)
    return PermanentKey(workspace);
  const std::uint64_t newest = m_version;
  const std::uint64_t older = m_key_random.Index(
      std::min<std::uint64_t>(newest, kUsedOlderVersions + 1));
  return KeyFrom(workspace, newest - older);
}

std::string SoakRun::ServedKey() const {
  return m_options.has_workspaces ? PermanentKey(kWorkspaces[0]) : "";
}

// Each version switches the routes to the other service and adds a route of its
// own.
std::string SoakRun::RoutesDocument() const {
  const std::uint64_t version = m_version;
  const std::string service = kServices.at(version % kServices.size());
  std::vector<platform::RouteEntry> routes;
  routes.push_back({platform::kFleetHost, kSafePrefix, service});
  routes.push_back({platform::kFleetHost, kOncePrefix, service, false});
  const std::uint64_t oldest =
      version > kMaxOlderVersions ? version - kMaxOlderVersions : 1;
  for (std::uint64_t kept = oldest; kept <= version; ++kept)
    routes.push_back({platform::kFleetHost, VersionPrefix(kept), service});
  std::optional<std::vector<platform::WorkspaceEntry>> workspaces;
  if (m_options.has_workspaces)
    workspaces.emplace();
  for (const char* const name : kWorkspaces) {
    if (!workspaces)
      break;
    platform::WorkspaceEntry workspace{name, {PermanentKey(name)}};
    if (workspace.name == kLimitedWorkspace) {
      workspace.rate_per_second = kLimitRate;
      workspace.burst = kLimitBurst;
    }
    for (std::uint64_t from = version;
         from > 0 && from + kVersionsOfAKey > version; --from)
      workspace.keys.push_back(KeyFrom(name, from));
    workspaces->push_back(std::move(workspace));
  }
  return platform::OperatorDocument(version, routes,
                                    {kServices.begin(), kServices.end()},
                                    /*cold_rate=*/0, workspaces);
}

std::string SoakRun::FormatStatistics(const SoakRecord& record) {
  std::map<ClientVerdict, std::size_t> counts;
  for (const FinishedCall& finished : record.calls)
    ++counts[finished.outcome.verdict];
  std::string text =
      fmt::format("seed={} nodes={} length_s={:.0f} faults={} calls={}",
                  m_options.seed, m_options.nodes, ToSeconds(m_options.length),
                  m_injected_faults, record.calls.size());
  for (const auto& [verdict, count] : counts)
    text += fmt::format(" {}={}", platform::ToText(verdict), count);
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  for (std::size_t index = 0; index < m_options.nodes; ++index) {
    reads += m_fleet->StoreCalls(index).reads;
    writes += m_fleet->StoreCalls(index).writes;
  }
  return text + fmt::format(" versions={} store_reads={} store_writes={}",
                            m_version.load(), reads, writes);
}

}  // namespace bulrushmount::soak
