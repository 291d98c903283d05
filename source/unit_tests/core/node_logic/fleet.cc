// Implements `fleet.h`: the nodes, their processes and the event queue. Actions
// are carried out in fleet_actions.cc.

#include "unit_tests/core/node_logic/fleet.h"

#include <algorithm>

#include <fmt/format.h>

#include "core/contracts/operator_document_reader.h"
#include "unit_tests/core/node_logic/fleet_parts.h"

namespace bulrushmount::testing {

namespace {

constexpr std::uint16_t kStreamPort = 7001;
constexpr std::uint16_t kGossipPort = 7002;
constexpr std::uint16_t kTargetPort = 8000;
constexpr std::uint32_t kConnections = 220;
constexpr int kServerError = 500;
constexpr Duration kAnnouncementPeriod = std::chrono::seconds(1);
constexpr Duration kReplacementDelay = std::chrono::milliseconds(200);
// Maximum difference between the start times of processes of a whole fleet.
constexpr Duration kStartSpread = std::chrono::milliseconds(300);

std::string IpOf(std::size_t index, std::uint64_t life) {
  return fmt::format("127.{}.{}.{}", life, index / 250, index % 250 + 1);
}

FleetOptions OptionsOf(std::size_t nodes, const std::string& service) {
  FleetOptions options;
  options.services.assign(nodes, service);
  return options;
}

}  // namespace

Fleet::Fleet(std::size_t nodes, std::uint64_t seed, const std::string& service)
    : Fleet(OptionsOf(nodes, service), seed) {}

Fleet::Fleet(FleetOptions options, std::uint64_t seed)
    : m_options(std::move(options)), m_random(seed) {
  if (m_options.decoder) {
    TableTransact document;
    document.puts = {{kOperatorDocumentRow, m_options.document}};
    m_table.table().Apply(document);
  }
  for (std::size_t index = 0; index < m_options.services.size(); ++index) {
    m_nodes.push_back(std::make_unique<Node>());
    StartNode(index);
  }
}

Fleet::~Fleet() = default;

void Fleet::StartNode(std::size_t index) {
  Node& node = *m_nodes[index];
  ++node.life;
  node.actions.clear();
  node.waiting.clear();
  node.is_frozen = false;
  node.freeze_after.reset();
  node.has_exited = false;
  node.random = std::make_unique<SeededRandomSource>(m_random.NextBits());
  node.settings = m_options.settings;
  node.settings.id = NodeId(m_random.NextBits() | 1);
  const std::string ip = IpOf(index, m_options.keeps_addresses ? 1 : node.life);
  node.settings.stream_endpoint = {ip, kStreamPort};
  node.settings.gossip_endpoint = {ip, kGossipPort};
  node.settings.zone =
      AvailabilityZone(fmt::format("zone-{}", index % m_options.zones));
  node.settings.region = Region("region");
  node.settings.is_first_start &= node.life == 1;
  node.logic =
      m_options.decoder
          ? std::make_unique<NodeLogic>(node.settings, *m_options.decoder,
                                        *node.random, now())
          : std::make_unique<NodeLogic>(node.settings, *node.random, now());
  node.next_wakeup = node.logic->NextWakeup();
  Announce(index);
}

void Fleet::Announce(std::size_t index) {
  Node& node = *m_nodes[index];
  const std::uint64_t life = node.life;
  if (node.target.is_up && !node.target.is_withdrawn && m_options.cold) {
    SendHeartbeat(index);
  } else if (node.target.is_up && !node.target.is_withdrawn) {
    TargetAnnounced event;
    event.service = ServiceName(m_options.services[index]);
    event.endpoint = {"127.0.0.1", kTargetPort};
    event.slots = m_options.slots;
    event.connections = kConnections;
    event.incarnation = Incarnation(node.target.incarnation);
    Deliver(index, event);
  }
  m_time.After(kAnnouncementPeriod, [this, index, life] {
    if (m_nodes[index]->life == life)
      Announce(index);
  });
}

TargetKey Fleet::TargetKeyOf(std::size_t index) const {
  return {index, m_nodes[index]->target.incarnation};
}

std::string Fleet::InstanceOf(std::size_t index) const {
  return fmt::format("i-{}-{}", index, m_nodes[index]->target.incarnation);
}

Duration Fleet::ColdTimeLeft(std::size_t index) const {
  return std::max(Duration::zero(), m_nodes[index]->target.cold_until - now());
}

void Fleet::SendHeartbeat(std::size_t index) {
  TargetHeartbeat heartbeat;
  heartbeat.instance = InstanceId(InstanceOf(index));
  heartbeat.service = ServiceName(m_options.services[index]);
  heartbeat.endpoint = {"127.0.0.1", kTargetPort};
  heartbeat.slots = m_options.slots;
  heartbeat.cold_time_left = ColdTimeLeft(index);
  heartbeat.sequence = ++m_nodes[index]->target.heartbeats;
  Deliver(index, heartbeat);
}

bool Fleet::ExceedsColdRate(std::size_t index) {
  FakeTarget& target = m_nodes[index]->target;
  if (!m_options.cold || ColdTimeLeft(index) <= Duration::zero())
    return false;
  std::deque<TimePoint>& starts = target.cold_starts;
  starts.push_back(now());
  while (now() - starts.front() >= std::chrono::seconds(1))
    starts.pop_front();
  m_max_rate_at_cold_target =
      std::max(m_max_rate_at_cold_target, starts.size());
  return starts.size() > m_options.cold->crash_above;
}

void Fleet::PowerOffAll(Duration down) {
  for (std::size_t index = 0; index < m_nodes.size(); ++index) {
    FakeTarget& target = m_nodes[index]->target;
    target.is_up = false;
    ++target.life;
  }
  RestartAll(down);
  for (std::size_t index = 0; index < m_nodes.size(); ++index)
    m_time.After(down, [this, index] { StartTarget(index); });
}

void Fleet::StartTarget(std::size_t index) {
  FakeTarget& target = m_nodes[index]->target;
  target.is_up = true;
  ++target.incarnation;
  target.notice = TargetNotice();
  target.heartbeats = 0;
  target.cold_starts.clear();
  if (!m_options.cold)
    return;
  target.cold_until = now() + m_options.cold->cold_time;
  if (!m_nodes[index]->has_exited)
    SendHeartbeat(index);
}

void Fleet::CoolDown(const std::string& zone) {
  for (const auto& node : m_nodes) {
    if (node->settings.zone.value() != zone)
      continue;
    node->target.cold_until = now() + m_options.cold->cold_time;
    node->target.cold_starts.clear();
  }
}

void Fleet::Run(Duration duration) {
  RunUntil([] { return false; }, duration);
}

bool Fleet::RunUntil(const std::function<bool()>& condition, Duration limit) {
  const TimePoint end = now() + limit;
  while (!condition()) {
    TimePoint next = m_time.NextStep();
    for (const auto& node : m_nodes) {
      if (node->IsRunning())
        next = std::min(next, node->next_wakeup);
    }
    if (next > end) {
      m_time.MoveTo(end);
      return condition();
    }
    m_time.MoveTo(next);
    if (m_time.RunDueStep())
      continue;
    for (std::size_t index = 0; index < m_nodes.size(); ++index) {
      Node& node = *m_nodes[index];
      if (node.IsRunning() && node.next_wakeup <= now())
        Deliver(index, TimerFired());
    }
  }
  return true;
}

void Fleet::Deliver(std::size_t index, NodeEvent event) {
  Node& node = *m_nodes[index];
  if (node.has_exited)
    return;
  if (node.is_frozen) {
    node.waiting.push_back(std::move(event));
    return;
  }
  for (NodeAction& action : node.logic->Handle(now(), std::move(event)))
    node.actions.push_back(std::move(action));
  node.next_wakeup = node.logic->NextWakeup();
  CarryOut(index);
}

void Fleet::CarryOut(std::size_t index) {
  Node& node = *m_nodes[index];
  while (!node.actions.empty() && node.IsRunning()) {
    if (node.freeze_after && *node.freeze_after == 0) {
      node.is_frozen = true;
      node.freeze_after.reset();
      return;
    }
    if (node.freeze_after)
      --*node.freeze_after;
    const NodeAction action = std::move(node.actions.front());
    node.actions.pop_front();
    std::visit([this, index](const auto& one) { Do(index, one); }, action);
  }
}

void Fleet::Freeze(std::size_t index, std::size_t actions) {
  Node& node = *m_nodes[index];
  node.was_frozen = true;
  m_notices.OnEntryExcused(index);
  if (actions == 0)
    node.is_frozen = true;
  else
    node.freeze_after = actions;
}

void Fleet::Resume(std::size_t index) {
  Node& node = *m_nodes[index];
  node.freeze_after.reset();
  if (!node.is_frozen)
    return;
  node.is_frozen = false;
  m_notices.OnEntryExcused(index);
  CarryOut(index);
  std::deque<NodeEvent> waiting = std::exchange(node.waiting, {});
  for (NodeEvent& event : waiting)
    Deliver(index, std::move(event));
}

void Fleet::Kill(std::size_t index) {
  StopNode(index);
  m_time.After(kReplacementDelay, [this, index] { StartNode(index); });
}

void Fleet::RestartAll(Duration down) {
  for (std::size_t index = 0; index < m_nodes.size(); ++index) {
    StopNode(index);
    const Duration start =
        down + FromSeconds(ToSeconds(kStartSpread) * m_random.Fraction());
    m_time.After(start, [this, index] { StartNode(index); });
  }
}

void Fleet::StopNode(std::size_t index) {
  Node& node = *m_nodes[index];
  const std::uint64_t life = node.life;
  node.has_exited = true;
  m_notices.OnEntryExcused(index);
  for (CallerView& call : m_calls) {
    if (call.entry == index && !call.outcome)
      call.is_connection_closed = true;
  }
  // Its peers detect the closed connections. They may open further streams when
  // they do, so the events are collected first.
  std::vector<std::pair<std::size_t, NodeEvent>> events;
  for (const auto& stream : m_streams) {
    if (stream->is_closed)
      continue;
    if (stream->owner == index && stream->owner_life == life) {
      stream->is_closed = true;
      AttemptLost lost;
      lost.call = stream->call;
      lost.attempt = stream->attempt;
      if (m_nodes[stream->entry]->life == stream->entry_life)
        events.emplace_back(stream->entry, lost);
    } else if (stream->entry == index && stream->entry_life == life) {
      stream->is_closed = true;
      events.emplace_back(stream->owner, WorkCancelled{stream->work});
    }
  }
  for (auto& [peer, event] : events)
    Deliver(peer, std::move(event));
  node.target.runs.clear();
}

void Fleet::SetGossipLost(std::size_t index, bool is_lost) {
  m_nodes[index]->is_gossip_lost = is_lost;
}

void Fleet::RefuseAtTable(std::size_t index, bool is_refused) {
  m_nodes[index]->is_refused_at_table = is_refused;
}

void Fleet::WriteDocument(const std::string& text) {
  TableTransact document;
  document.puts = {{kOperatorDocumentRow, text}};
  WriteRows(document);
}

void Fleet::SetEvacuated(const std::string& zone, bool is_evacuated) {
  TableTransact change;
  if (is_evacuated)
    change.puts = {{kEvacuationRowPrefix + zone, "{}"}};
  else
    change.deletes = {kEvacuationRowPrefix + zone};
  WriteRows(change);
}

void Fleet::WriteRows(const TableTransact& rows) {
  m_table.table().Apply(rows);
  for (const OpenWatch& watch : std::exchange(m_watches, {}))
    AnswerWatch(watch);
}

void Fleet::RestoreTable(const InMemoryTable& copy) {
  m_table.table().RestoreFrom(copy);
  for (const OpenWatch& watch : std::exchange(m_watches, {}))
    AnswerTable(watch, {TableStatus::kUnknown, {}});
}

void Fleet::CrashTarget(std::size_t index) {
  Node& node = *m_nodes[index];
  if (!node.target.is_up)
    return;
  ++m_crashes;
  node.target.is_up = false;
  ++node.target.life;
  const std::map<WorkId, TargetRun> runs = std::exchange(node.target.runs, {});
  for (const auto& [work, run] : runs)
    Deliver(index, TargetExchangeFailed{work, run.is_answer_begun});
  const Duration down =
      m_options.cold ? m_options.cold->down_time : kReplacementDelay;
  m_time.After(down, [this, index] { StartTarget(index); });
}

void Fleet::WithdrawTarget(std::size_t index) {
  m_nodes[index]->target.is_withdrawn = true;
  Deliver(index, TargetWithdrawn());
}

void Fleet::SetServiceTime(std::size_t index, Duration service_time) {
  m_nodes[index]->target.service_time = service_time;
}

void Fleet::SetFailing(std::size_t index, bool is_failing) {
  m_nodes[index]->target.is_failing = is_failing;
}

void Fleet::SetNotice(std::size_t index, const TargetNotice& notice) {
  m_nodes[index]->target.notice = notice;
  m_notices.OnStated(now(), TargetKeyOf(index), notice);
}

void Fleet::FailRequest(std::size_t node) {
  Deliver(node, TargetAnswerBegun{WorkId(++m_last_id), kServerError, false});
}

void Fleet::Shutdown(std::size_t index) {
  Deliver(index, ShutdownRequested());
}

CallHead Fleet::MakeHead(const std::string& workspace,
                         const std::string& method,
                         const std::string& target) {
  CallHead head;
  head.request_id = RequestId(fmt::format("request-{}", ++m_last_id));
  head.workspace = WorkspaceName(workspace);
  head.service = ServiceName(m_options.services.front());
  head.method = method;
  head.target = target;
  head.fingerprint =
      Fingerprint(std::hash<std::string>()(workspace + method + target));
  return head;
}

std::size_t Fleet::Send(std::size_t entry, CallHead head) {
  CallerView view;
  view.request_id = head.request_id.value();
  view.sent_at = now();
  view.entry = entry;
  view.key = head.idempotency_key;
  const std::size_t index = m_calls.size();
  m_calls.push_back(view);
  if (head.idempotency_key) {
    m_key_of_request[head.request_id.value()] =
        head.workspace.value() + "/" + head.idempotency_key->value();
  }
  if (m_nodes[entry]->has_exited) {
    m_calls.back().is_connection_closed = true;
    return index;
  }
  Deliver(entry, CallArrived{CallId(index + 1), std::move(head)});
  return index;
}

void Fleet::Abandon(std::size_t call) {
  CallerView& view = m_calls[call];
  if (view.outcome || view.is_connection_closed)
    return;
  view.is_connection_closed = true;
  Deliver(view.entry, CallerDisconnected{CallId(call + 1)});
}

void Fleet::WriteContract(const std::string& workspace,
                          const std::string& yaml) {
  OperatorRequested request;
  request.request = OperatorRequestId(++m_last_id);
  request.verb = OperatorVerb::kWrite;
  request.workspace = WorkspaceName(workspace);
  request.body = yaml;
  m_operator_answer.reset();
  Deliver(0, request);
  RunUntil([this] { return m_operator_answer.has_value(); },
           std::chrono::seconds(30));
}

NodeLogic& Fleet::logic(std::size_t node) {
  return *m_nodes[node]->logic;
}

bool Fleet::has_exited(std::size_t node) const {
  return m_nodes[node]->has_exited;
}

bool Fleet::WasEverFrozen(std::size_t node) const {
  return m_nodes[node]->was_frozen;
}

std::size_t Fleet::RunsOf(const std::string& request_id) const {
  const auto found = m_runs.find(request_id);
  return found == m_runs.end() ? 0 : found->second;
}

std::size_t Fleet::RunsOfKey(const std::string& key) const {
  const auto found = m_runs_of_key.find(key);
  return found == m_runs_of_key.end() ? 0 : found->second;
}

std::optional<TimePoint> Fleet::LastRunAt(std::size_t node) const {
  return m_nodes[node]->target.last_run_at;
}

std::optional<std::size_t> Fleet::FindNode(const Endpoint& gossip) const {
  for (std::size_t index = 0; index < m_nodes.size(); ++index) {
    if (m_nodes[index]->settings.gossip_endpoint == gossip)
      return index;
  }
  return std::nullopt;
}

}  // namespace bulrushmount::testing
