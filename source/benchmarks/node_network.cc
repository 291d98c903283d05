// Part of `node_network.h`: starts the nodes, runs the event queue and measures
// processor time. node_network_actions.cc performs the actions of the nodes.

#include "benchmarks/node_network.h"

#include <algorithm>
#include <cmath>
#include <ctime>

#include <fmt/format.h>

#include "core/common/datagram.h"
#include "core/membership/gossip_codec.h"

namespace bulrushmount {

namespace {

constexpr std::uint16_t kStreamPort = 7001;
constexpr std::uint16_t kGossipPort = 7002;
constexpr std::uint16_t kTargetPort = 8000;
constexpr std::uint32_t kSlots = 50;
constexpr Duration kAnnouncementPeriod = std::chrono::seconds(1);
constexpr int kClockReads = 20000;

std::uint64_t ThreadCpuNanoseconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<std::uint64_t>(time.tv_sec) * 1'000'000'000 +
         static_cast<std::uint64_t>(time.tv_nsec);
}

std::uint64_t MeasureClockOverhead() {
  const std::uint64_t start = ThreadCpuNanoseconds();
  for (int i = 0; i < kClockReads; ++i)
    ThreadCpuNanoseconds();
  return (ThreadCpuNanoseconds() - start) / kClockReads;
}

void Add(EventCost& cost,
         std::uint64_t taken_ns,
         std::uint64_t clock_overhead_ns) {
  const std::uint64_t net =
      taken_ns > clock_overhead_ns ? taken_ns - clock_overhead_ns : 0;
  ++cost.count;
  cost.total_ns += net;
  cost.longest_ns = std::max(cost.longest_ns, net);
}

std::string ContractOf(const std::string& workspace,
                       const std::string& service) {
  return fmt::format(R"(workspace: {}
services:
  - name: {}
    kinds:
      - name: browse
        method: "*"
        path: /
        repeatable: true
        weight: 1
        deadline: 500ms
        objective: {{fraction: 0.99, within: 100ms}}
limits: {{units_per_second: 100000, burst_units: 100000, in_flight: 10000}}
share: 1
key_retention: 24h
)",
                     workspace, service);
}

}  // namespace

NodeNetwork::NodeNetwork(const NetworkSettings& settings)
    : m_settings(settings),
      m_random(settings.seed),
      m_now(TimePoint() + std::chrono::hours(1)),
      m_nodes(settings.nodes),
      m_clock_overhead_ns(MeasureClockOverhead()) {
  ResetCounts();
}

NodeNetwork::~NodeNetwork() = default;

void NodeNetwork::StartAll() {
  m_node_by_id.clear();
  m_attempts.clear();
  for (std::size_t index = 0; index < m_nodes.size(); ++index)
    StartNode(index);
}

std::string NodeNetwork::ServiceOf(std::size_t node, std::size_t services) {
  return fmt::format("service-{}", node % services);
}

void NodeNetwork::StartNode(std::size_t index) {
  Node& node = m_nodes[index];
  ++node.process_number;
  node.is_stopped = false;
  m_wakeups.erase({node.wakeup, index});
  node.wakeup = TimePoint();
  node.random = std::make_unique<SeededRandomSource>(m_random.NextBits());
  node.settings.id = NodeId(m_random.NextBits() | 1);
  const std::string ip =
      fmt::format("10.{}.{}.{}", index % m_settings.zones + 1, index / 250,
                  index % 250 + 1);
  node.settings.stream_endpoint = {ip, kStreamPort};
  node.settings.gossip_endpoint = {ip, kGossipPort};
  const std::size_t zone = index % m_settings.zones;
  node.settings.zone = AvailabilityZone(fmt::format("zone-{}", zone));
  node.settings.region =
      Region(fmt::format("region-{}", zone % m_settings.regions));
  m_node_by_ip[ip] = index;
  m_node_by_id[node.settings.id.value()] = index;
  node.logic = std::make_unique<NodeLogic>(node.settings, *node.random, m_now);
  AnnounceTarget(index);
}

Member NodeNetwork::RecordOf(std::size_t index,
                             std::uint64_t incarnation,
                             bool is_warming) const {
  const NodeSettings& settings = m_nodes[index].settings;
  Member member;
  member.id = settings.id;
  member.stream_endpoint = settings.stream_endpoint;
  member.gossip_endpoint = settings.gossip_endpoint;
  member.zone = settings.zone;
  member.region = settings.region;
  member.incarnation = Incarnation(incarnation);
  member.target =
      TargetSummary{ServiceName(ServiceOf(index, m_settings.services)),
                    Incarnation(1), kSlots, true, is_warming};
  return member;
}

void NodeNetwork::DistributeMemberRecords(std::uint64_t incarnation,
                                          bool is_warming) {
  gossip::Gossip head;
  head.set_version(detail::kGossipVersion);
  head.set_type(gossip::Gossip::SYNC_REPLY);
  head.set_sender(~std::uint64_t{0});
  head.set_sender_incarnation(1);
  std::vector<std::string> payloads;
  detail::GossipWriter writer(head);
  for (std::size_t i = 0; i < m_nodes.size(); ++i) {
    const Member record = RecordOf(i, incarnation, is_warming);
    if (writer.Add(record))
      continue;
    payloads.push_back(writer.Take());
    writer = detail::GossipWriter(head);
    writer.Add(record);
  }
  payloads.push_back(writer.Take());
  const char kind = static_cast<char>(DatagramKind::kGossip);
  for (std::size_t i = 0; i < m_nodes.size(); ++i) {
    for (const std::string& payload : payloads)
      Deliver(i, DatagramArrived{m_nodes[0].settings.gossip_endpoint,
                                 kind + payload});
  }
}

bool NodeNetwork::WriteContracts() {
  for (std::size_t i = 0; i < m_settings.workspaces; ++i) {
    const std::string workspace = fmt::format("workspace-{}", i);
    if (!Write(workspace,
               ContractOf(workspace, ServiceOf(i, m_settings.services))))
      return false;
  }
  return true;
}

bool NodeNetwork::WriteDocument(std::size_t bytes) {
  const std::string workspace = "workspace-0";
  return Write(workspace, ContractOf(workspace, ServiceOf(0, 1)) + "# " +
                              std::string(bytes, 'x') + "\n");
}

bool NodeNetwork::Write(const std::string& workspace, std::string text) {
  OperatorRequested request;
  request.request = OperatorRequestId(++m_last_id);
  request.verb = OperatorVerb::kWrite;
  request.workspace = WorkspaceName(workspace);
  request.body = std::move(text);
  m_operator_answer.reset();
  Deliver(0, request);
  const TimePoint end = m_now + std::chrono::seconds(30);
  while (!m_operator_answer && m_now < end)
    Run(std::chrono::milliseconds(10));
  return m_operator_answer && m_operator_answer->status < 300;
}

void NodeNetwork::Run(Duration span) {
  const TimePoint end = m_now + span;
  while (true) {
    const TimePoint next_scheduled =
        m_scheduled.empty() ? TimePoint::max() : m_scheduled.begin()->first;
    const TimePoint wakeup =
        m_wakeups.empty() ? TimePoint::max() : m_wakeups.begin()->first;
    if (std::min(next_scheduled, wakeup) > end)
      break;
    m_now = std::max(m_now, std::min(next_scheduled, wakeup));
    if (wakeup < next_scheduled) {
      Deliver(m_wakeups.begin()->second, TimerFired());
      continue;
    }
    ScheduledEvent due = std::move(m_scheduled.begin()->second);
    m_scheduled.erase(m_scheduled.begin());
    HandleScheduled(std::move(due));
  }
  m_now = end;
}

void NodeNetwork::Schedule(Duration delay, ScheduledEvent scheduled) {
  m_scheduled.emplace(m_now + delay, std::move(scheduled));
}

void NodeNetwork::Schedule(Duration delay, std::size_t node, NodeEvent event) {
  Schedule(delay, ScheduledEvent{node, m_nodes[node].process_number,
                                 std::move(event)});
}

void NodeNetwork::HandleScheduled(ScheduledEvent scheduled) {
  const Node& node = m_nodes[scheduled.node];
  if (node.process_number != scheduled.process_number || node.is_stopped)
    return;
  if (auto* event = std::get_if<NodeEvent>(&scheduled.payload))
    Deliver(scheduled.node, std::move(*event));
  else if (std::holds_alternative<CallDue>(scheduled.payload))
    SendCall(scheduled.node);
  else if (std::holds_alternative<AnnouncementDue>(scheduled.payload))
    AnnounceTarget(scheduled.node);
  else
    ServeTable(scheduled.node,
               std::get<TableRequestArrived>(scheduled.payload));
}

std::vector<NodeAction> NodeNetwork::Handle(std::size_t index,
                                            NodeEvent event) {
  const std::size_t kind = event.index();
  const std::uint64_t start = ThreadCpuNanoseconds();
  std::vector<NodeAction> actions =
      m_nodes[index].logic->Handle(m_now, std::move(event));
  Add(m_counts.events[kind], ThreadCpuNanoseconds() - start,
      m_clock_overhead_ns);
  return actions;
}

void NodeNetwork::Deliver(std::size_t index, NodeEvent event) {
  Node& node = m_nodes[index];
  if (node.is_stopped)
    return;
  std::vector<NodeAction> actions = Handle(index, std::move(event));
  UpdateWakeup(index);
  for (NodeAction& action : actions) {
    std::visit(
        [this, index](auto&& item) {
          Perform(index, std::forward<decltype(item)>(item));
        },
        std::move(action));
  }
}

void NodeNetwork::UpdateWakeup(std::size_t index) {
  Node& node = m_nodes[index];
  const std::uint64_t start = ThreadCpuNanoseconds();
  const TimePoint wakeup = node.logic->NextWakeup();
  Add(m_counts.next_wakeup, ThreadCpuNanoseconds() - start,
      m_clock_overhead_ns);
  if (wakeup == node.wakeup)
    return;
  m_wakeups.erase({node.wakeup, index});
  node.wakeup = wakeup;
  m_wakeups.emplace(wakeup, index);
}

void NodeNetwork::AnnounceTarget(std::size_t index) {
  TargetAnnounced event;
  event.service = ServiceName(ServiceOf(index, m_settings.services));
  event.endpoint = {"127.0.0.1", kTargetPort};
  event.slots = kSlots;
  event.connections = 4 * kSlots;
  event.incarnation = Incarnation(1);
  Deliver(index, event);
  Schedule(
      kAnnouncementPeriod,
      ScheduledEvent{index, m_nodes[index].process_number, AnnouncementDue{}});
}

void NodeNetwork::SetLoad(double calls_per_second) {
  const bool is_running = m_calls_per_second > 0;
  m_calls_per_second = calls_per_second;
  if (is_running)
    return;
  for (std::size_t i = 0; i < m_nodes.size(); ++i)
    Schedule(Duration(0),
             ScheduledEvent{i, m_nodes[i].process_number, CallDue{}});
}

CallArrived NodeNetwork::MakeCall(std::size_t workspace) {
  CallArrived event;
  event.call = CallId(++m_last_id);
  event.head.request_id = RequestId(fmt::format("request-{}", m_last_id));
  event.head.workspace = WorkspaceName(fmt::format("workspace-{}", workspace));
  event.head.service = ServiceName(ServiceOf(workspace, m_settings.services));
  event.head.method = "GET";
  event.head.target = "/scripts/7?chapter=12";
  event.head.fingerprint = Fingerprint(m_random.NextBits());
  return event;
}

void NodeNetwork::SendCall(std::size_t index) {
  if (m_calls_per_second <= 0)
    return;
  const double gap_s = -std::log(1 - m_random.Fraction()) / m_calls_per_second;
  Schedule(std::chrono::nanoseconds(static_cast<std::int64_t>(gap_s * 1e9)),
           ScheduledEvent{index, m_nodes[index].process_number, CallDue{}});
  const std::size_t workspace = m_random.Index(m_settings.workspaces);
  ++m_counts.calls;
  Deliver(index, MakeCall(workspace));
}

bool NodeNetwork::RunCallOnNode(std::size_t node) {
  const auto find = [](const std::vector<NodeAction>& actions, auto is_wanted) {
    return std::find_if(actions.begin(), actions.end(), is_wanted);
  };
  const std::vector<NodeAction> entry_actions =
      Handle(node, MakeCall(m_random.Index(m_settings.workspaces)));
  const auto dispatch = find(entry_actions, [](const NodeAction& action) {
    return std::holds_alternative<DispatchAttempt>(action);
  });
  if (dispatch == entry_actions.end())
    return false;
  const auto& attempt = std::get<DispatchAttempt>(*dispatch);
  const LoadReport load{1, 0, kSlots, std::chrono::milliseconds(10)};
  const WorkId work(++m_last_id);
  const std::vector<NodeAction> owner_actions =
      Handle(node, WorkArrived{work, attempt.head});
  const auto hand_over = find(owner_actions, [](const NodeAction& action) {
    return std::holds_alternative<HandToTarget>(action);
  });
  m_now += std::chrono::microseconds(50);
  if (hand_over != owner_actions.end()) {
    Handle(node, TargetAnswerBegun{work, 200, false});
    Handle(node, TargetAnswerEnded{work});
  }
  Handle(node, AttemptAnswerBegun{attempt.call, attempt.attempt, 200, load});
  Handle(node,
         AttemptAnswerEnded{attempt.call, attempt.attempt, load, std::nullopt});
  return hand_over != owner_actions.end();
}

void NodeNetwork::StopZone(std::size_t zone) {
  for (std::size_t i = 0; i < m_nodes.size(); ++i) {
    if (i % m_settings.zones != zone)
      continue;
    m_nodes[i].is_stopped = true;
    m_wakeups.erase({m_nodes[i].wakeup, i});
  }
}

std::size_t NodeNetwork::CountReady() const {
  return static_cast<std::size_t>(
      std::count_if(m_nodes.begin(), m_nodes.end(), [](const Node& node) {
        return !node.is_stopped && node.logic->IsReady();
      }));
}

std::size_t NodeNetwork::CountRunning() const {
  return static_cast<std::size_t>(
      std::count_if(m_nodes.begin(), m_nodes.end(),
                    [](const Node& node) { return !node.is_stopped; }));
}

bool NodeNetwork::IsRunning(std::size_t node) const {
  return !m_nodes[node].is_stopped;
}

std::size_t NodeNetwork::MembersAt(std::size_t node) const {
  const std::string page = m_nodes[node].logic->MetricsText(m_now);
  const std::string name = "\nbulrushmount_members ";
  const std::size_t at = page.find(name);
  return at == std::string::npos ? 0
                                 : std::stoul(page.substr(at + name.size()));
}

const NodeLogic& NodeNetwork::logic(std::size_t node) const {
  return *m_nodes[node].logic;
}

void NodeNetwork::ResetCounts() {
  m_counts = NetworkCounts();
  m_counts.traffic.resize(m_nodes.size());
  m_reads_in_second = 0;
}

}  // namespace bulrushmount
