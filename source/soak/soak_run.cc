// Part of `soak_run.h`.

#include "soak/soak_run.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>
#include <thread>

#include <fmt/format.h>

namespace bulrushmount::soak {

namespace {

using platform::ClientVerdict;
using platform::FinishedCall;
using platform::Link;
using platform::NodeFleet;
using platform::ServerStandIn;
using platform::StoreFaults;

constexpr std::array<const char*, 2> kServices = {"booking", "search"};
// A server that gets no word from its node leaves all the same.
constexpr Duration kDrainTimeout = std::chrono::seconds(4);
constexpr Duration kPollPeriod = std::chrono::milliseconds(20);
// A node that is asked to leave may take its longest leave, 6 s, and as long
// again on a busy machine.
constexpr Duration kLongestExit = std::chrono::seconds(20);
constexpr Duration kSlowStore = std::chrono::milliseconds(400);
constexpr std::uint64_t kLostAnswers = 3;
constexpr std::uint64_t kBrokenAnswers = 3;
// Routes of old versions that a document keeps.
constexpr std::uint64_t kKeptVersions = 40;

// Of the calls: probes of the newest routes, clients that go early, calls with
// no body and with a large one, and bookings.
constexpr double kProbeFraction = 0.1;
constexpr double kLeavingFraction = 0.03;
constexpr double kBodilessFraction = 0.5;
constexpr double kLargeFraction = 0.05;
constexpr double kOnceFraction = 0.45;
constexpr std::size_t kLargeBody = 200'000;

// Between an answer and a client's next request: a few hundred requests a
// second at each node, so that several soaks share a machine.
constexpr Duration kThinkTime = std::chrono::milliseconds(10);

// As long as clients think: about half of all calls are at a server at any
// moment, and a fault there meets some.
constexpr Duration kServiceTime = std::chrono::milliseconds(12);

// Addresses that no other soak or test on the machine uses.
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
    faults.delay = kSlowStore;
  if (kind == FaultKind::kStoreLosesAnswers)
    faults.lose_answers = kLostAnswers;
  return faults;
}

}  // namespace

SoakRun::SoakRun(SoakOptions options)
    : m_options(std::move(options)),
      m_random(m_options.seed + 1),
      m_nodes(m_options.nodes) {}

SoakResult SoakRun::Play() {
  StartFleet();
  if (!WaitUntilServing()) {
    RecordFailure("the fleet does not serve before any fault");
    return {m_broken, {}};
  }
  m_fleet->StartCalls(
      [this](std::size_t, platform::ClientCall& call) { MakeCall(call); },
      m_options.calls_each, kThinkTime);
  const TimePoint began = Now();
  if (!m_options.is_calm) {
    for (const Fault& fault :
         DrawSchedule(m_options.seed, m_options.length, m_options.nodes)) {
      After(fault.at, [this, fault] { Cause(fault); });
    }
  }
  PlayUntil(began + m_options.length);
  Heal();
  if (!m_fleet->StopCalls())
    RecordFailure("calls are still under way a minute after the last one");
  EndFleet();
  m_record.calls = m_fleet->TakeFinished();
  m_record.runs = m_fleet->Ledger();
  for (std::string& line : FindBroken(m_record))
    m_broken.push_back(std::move(line));
  return {m_broken, Figures(m_record)};
}

void SoakRun::StartFleet() {
  platform::FleetPlan plan;
  plan.program = m_options.program;
  plan.settings_template = m_options.settings_template;
  plan.folder = m_options.folder;
  plan.has_relays = true;
  plan.service_time = kServiceTime;
  for (std::size_t index = 0; index < m_options.nodes; ++index) {
    plan.ips.push_back(IpOf(index));
    plan.services.emplace_back(kServices.at(index % kServices.size()));
  }
  plan.document = Document();
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
             m_fleet->Call(index, path).outcome.verdict ==
                 ClientVerdict::kServed &&
             m_fleet->Call(index, kSafePrefix).outcome.verdict ==
                 ClientVerdict::kServed;
    });
    if (!is_serving) {
      RecordFailure(fmt::format("node {} does not serve version {}", index,
                                m_version.load()));
      return false;
    }
  }
  return true;
}

void SoakRun::After(Duration delay, Action action) {
  m_due.push({Now() + delay, ++m_last_action, std::move(action)});
}

void SoakRun::PlayUntil(TimePoint end) {
  while (Now() < end) {
    const TimePoint next = m_due.empty() ? end : std::min(end, m_due.top().at);
    std::this_thread::sleep_until(next);
    while (!m_due.empty() && m_due.top().at <= Now()) {
      const Action action = m_due.top().action;
      m_due.pop();
      action();
    }
    for (std::size_t index = 0; index < m_options.nodes; ++index) {
      if (!m_nodes[index].is_down && !m_nodes[index].is_leaving &&
          !m_fleet->IsRunning(index)) {
        RecordFailure(fmt::format("node {} ended by itself", index));
        StartNode(index);
      }
    }
  }
}

void SoakRun::Cause(const Fault& fault) {
  ++m_caused;
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
      return FailStore(fault);
    case FaultKind::kStoreForgetsHistory:
      return m_fleet->ForgetHistory();
    case FaultKind::kCutLink:
      return FailLink(fault, LinkState::kCut);
    case FaultKind::kStallLink:
      return FailLink(fault, LinkState::kStalled);
    case FaultKind::kStallLinkDown:
      return FailLink(fault, LinkState::kStalledFromServer);
    case FaultKind::kSlowLink:
      return FailLink(fault, LinkState::kSlow);
    case FaultKind::kMoveRoutes:
      return MoveRoutes();
  }
}

void SoakRun::StartNode(std::size_t index) {
  m_nodes[index].is_down = false;
  m_nodes[index].is_leaving = false;
  m_record.node_starts[index].push_back(Now());
  m_fleet->StartNode(index);
}

void SoakRun::KillNode(const Fault& fault) {
  NodeState& state = m_nodes[fault.node];
  if (state.is_down)
    return;
  state.is_down = true;
  state.is_frozen = false;
  m_fleet->node(fault.node).Kill();
  After(fault.lasts, [this, index = fault.node] { StartNode(index); });
}

void SoakRun::FreezeNode(const Fault& fault) {
  NodeState& state = m_nodes[fault.node];
  if (state.is_down || state.is_frozen || !m_fleet->IsRunning(fault.node))
    return;
  state.is_frozen = true;
  state.was_frozen_leaving |= state.is_leaving;
  m_fleet->node(fault.node).Freeze();
  After(fault.lasts, [this, index = fault.node] {
    m_nodes[index].is_frozen = false;
    m_fleet->node(index).Thaw();
  });
}

void SoakRun::TerminateNode(const Fault& fault) {
  NodeState& state = m_nodes[fault.node];
  if (state.is_down || state.is_leaving)
    return;
  state.is_leaving = true;
  state.was_frozen_leaving = state.is_frozen;
  m_fleet->node(fault.node).Terminate();
  AwaitExit(fault.node, Now(), fault.lasts);
}

void SoakRun::AwaitExit(std::size_t index,
                        TimePoint terminated_at,
                        Duration pause) {
  NodeState& state = m_nodes[index];
  // Killed meanwhile, and started anew.
  if (state.is_down || !state.is_leaving)
    return;
  if (m_fleet->IsRunning(index)) {
    if (Now() - terminated_at < kLongestExit) {
      After(kPollPeriod, [=, this] { AwaitExit(index, terminated_at, pause); });
      return;
    }
    RecordFailure(fmt::format("node {} does not end after SIGTERM", index));
    m_fleet->node(index).Kill();
  } else if (!HasEndedWell(index)) {
    RecordFailure(
        fmt::format("node {} ends with a fault after SIGTERM", index));
  }
  state.is_down = true;
  After(pause, [this, index] { StartNode(index); });
}

// A node that was frozen while it left may be out of time for its last calls,
// and says so by its exit status.
bool SoakRun::HasEndedWell(std::size_t index) {
  const auto exit = m_fleet->node(index).WaitForExit();
  const bool may_cut = m_nodes[index].was_frozen_leaving;
  return exit->code == EXIT_SUCCESS || (may_cut && exit->code == EXIT_FAILURE);
}

void SoakRun::CrashServer(const Fault& fault) {
  NodeState& state = m_nodes[fault.node];
  if (state.is_server_away)
    return;
  state.is_server_away = true;
  m_fleet->KillServer(fault.node);
  After(fault.lasts, [this, index = fault.node] {
    m_nodes[index].is_server_away = false;
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
  After(fault.lasts, [set] { set(false); });
}

// A request that a relay holds is on its way already: whether it begins later
// says nothing of the node. So a server does not leave behind a faulty link.
void SoakRun::DrainServer(const Fault& fault) {
  NodeState& state = m_nodes[fault.node];
  if (state.is_server_away || state.link_faults[Link::kServer] > 0)
    return;
  state.is_server_away = true;
  m_fleet->WithServer(fault.node,
                      [](ServerStandIn& server) { server.Drain(); });
  AwaitDrain(fault.node, Now(), fault.lasts);
}

void SoakRun::AwaitDrain(std::size_t index, TimePoint began, Duration pause) {
  bool is_acknowledged = false;
  m_fleet->WithServer(index, [&](ServerStandIn& server) {
    is_acknowledged = server.IsDrainAcknowledged();
  });
  if (!is_acknowledged && Now() - began < kDrainTimeout) {
    After(kPollPeriod, [=, this] { AwaitDrain(index, began, pause); });
    return;
  }
  if (is_acknowledged)
    m_record.drains.push_back({m_fleet->InstanceOf(index), Now()});
  After(kDrainTime, [this, index] {
    m_fleet->WithServer(index,
                        [](ServerStandIn& server) { server.Leave([] {}); });
  });
  After(kDrainTime + pause, [this, index] { m_fleet->KillServer(index); });
  After(kDrainTime + 2 * pause, [this, index] {
    m_nodes[index].is_server_away = false;
    m_fleet->StartServer(index);
  });
}

void SoakRun::FailStore(const Fault& fault) {
  for (std::size_t index = 0; index < m_options.nodes; ++index) {
    if (index != fault.node && !fault.is_for_all)
      continue;
    ++m_nodes[index].store_faults;
    m_fleet->SetStoreFaults(index, FaultsOf(fault.kind));
    After(fault.lasts, [this, index] {
      if (--m_nodes[index].store_faults == 0)
        m_fleet->SetStoreFaults(index, StoreFaults());
    });
  }
}

void SoakRun::FailLink(const Fault& fault, LinkState state) {
  if (fault.link == Link::kServer && m_nodes[fault.node].is_server_away)
    return;
  ++m_nodes[fault.node].link_faults[fault.link];
  m_fleet->SetLink(fault.node, fault.link, state);
  After(fault.lasts, [this, index = fault.node, link = fault.link] {
    if (--m_nodes[index].link_faults[link] == 0)
      m_fleet->SetLink(index, link, LinkState::kOpen);
  });
}

void SoakRun::MoveRoutes() {
  ++m_version;
  m_fleet->WriteDocument(Document());
}

void SoakRun::Heal() {
  // Every fault is undone by an action that is due some seconds from now.
  while (!m_due.empty())
    PlayUntil(m_due.top().at + std::chrono::milliseconds(1));
  if (WaitUntilServing())
    return;
  RecordFailure("the fleet does not serve after the last fault");
}

void SoakRun::EndFleet() {
  for (std::size_t index = 0; index < m_options.nodes; ++index)
    m_fleet->node(index).Terminate();
  for (std::size_t index = 0; index < m_options.nodes; ++index) {
    const auto exit = m_fleet->node(index).WaitForExit();
    if (!exit || exit->code != 0)
      RecordFailure(fmt::format("node {} does not end cleanly", index));
  }
}

// Called on the loop of the clients.
void SoakRun::MakeCall(platform::ClientCall& call) {
  const double kind = m_random.Fraction();
  if (kind < kProbeFraction)
    call.path = VersionPrefix(m_version) + call.request_id;
  else if (kind < kProbeFraction + kOnceFraction)
    call.path = kOncePrefix + call.request_id;
  else
    call.path = kSafePrefix + call.request_id;
  if (m_random.Fraction() < kBodilessFraction)
    call.body.clear();
  if (m_random.Fraction() < kLargeFraction)
    call.body.append(kLargeBody, 'x');
  if (m_random.Fraction() < kLeavingFraction)
    call.leaves_after = FromSeconds(m_random.Fraction() / 100);
}

// Each version moves the routes to the other service, and adds one of its own.
std::string SoakRun::Document() const {
  const std::uint64_t version = m_version;
  const std::string service = kServices.at(version % kServices.size());
  std::vector<platform::RouteEntry> routes;
  routes.push_back({platform::kFleetHost, kSafePrefix, service});
  routes.push_back({platform::kFleetHost, kOncePrefix, service, false});
  const std::uint64_t oldest =
      version > kKeptVersions ? version - kKeptVersions : 1;
  for (std::uint64_t kept = oldest; kept <= version; ++kept)
    routes.push_back({platform::kFleetHost, VersionPrefix(kept), service});
  return platform::OperatorDocument(version, routes,
                                    {kServices.begin(), kServices.end()});
}

std::string SoakRun::Figures(const SoakRecord& record) {
  std::map<ClientVerdict, std::size_t> counts;
  for (const FinishedCall& finished : record.calls)
    ++counts[finished.outcome.verdict];
  std::string text =
      fmt::format("seed={} nodes={} length_s={:.0f} faults={} calls={}",
                  m_options.seed, m_options.nodes, ToSeconds(m_options.length),
                  m_caused, record.calls.size());
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
