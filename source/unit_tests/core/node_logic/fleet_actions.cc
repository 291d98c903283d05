// Implements `fleet.h`: carries out the actions of nodes.

#include <algorithm>
#include <utility>
#include <variant>

#include "unit_tests/core/node_logic/fleet.h"
#include "unit_tests/core/node_logic/fleet_parts.h"

namespace bulrushmount::testing {

namespace {

constexpr Duration kNetworkDelay = std::chrono::microseconds(500);
constexpr Duration kTableDelay = std::chrono::milliseconds(3);
constexpr Duration kFailureTime = std::chrono::milliseconds(1);
constexpr int kOk = 200;
// Above this number closed streams are removed.
constexpr std::size_t kKeptStreams = 1024;
constexpr int kServerError = 500;

}  // namespace

Fleet::Stream* Fleet::FindStream(std::size_t node, WorkId work) {
  for (const auto& stream : m_streams) {
    if (!stream->is_closed && stream->work == work && stream->owner == node)
      return stream.get();
  }
  return nullptr;
}

Fleet::Stream* Fleet::FindStream(std::size_t node,
                                 CallId call,
                                 AttemptNumber attempt) {
  for (const auto& stream : m_streams) {
    if (!stream->is_closed && stream->entry == node && stream->call == call &&
        stream->attempt == attempt)
      return stream.get();
  }
  return nullptr;
}

TimePoint Fleet::ReserveProcessor(std::size_t node, TimePoint arrival) {
  TimePoint& free_at = m_nodes[node]->processor_free_at;
  free_at = std::max(free_at, arrival) + m_options.handling_time;
  return free_at;
}

// Keeps the linear search for streams short.
void Fleet::RemoveClosedStreams() {
  if (m_streams.size() > kKeptStreams)
    std::erase_if(m_streams, [](const auto& one) { return one->is_closed; });
}

void Fleet::Do(std::size_t node, const DispatchAttempt& action) {
  ++m_dispatches;
  RemoveClosedStreams();
  AttemptLost lost;
  lost.call = action.call;
  lost.attempt = action.attempt;
  lost.is_certainly_not_run = true;
  lost.reason = Reason::kNodeUnreachable;
  const std::uint64_t entry_life = m_nodes[node]->life;
  for (std::size_t owner = 0; owner < m_nodes.size(); ++owner) {
    Node& other = *m_nodes[owner];
    if (other.settings.id != action.owner || other.has_exited)
      continue;
    auto stream = std::make_unique<Stream>();
    stream->entry = node;
    stream->entry_life = entry_life;
    stream->call = action.call;
    stream->attempt = action.attempt;
    stream->owner = owner;
    stream->owner_life = other.life;
    stream->work = WorkId(++m_last_id);
    stream->head = action.head;
    const std::uint64_t owner_life = other.life;
    const WorkArrived arrived{stream->work, action.head};
    m_streams.push_back(std::move(stream));
    const TimePoint handled_at = ReserveProcessor(owner, now() + kNetworkDelay);
    m_time.After(handled_at - now(), [this, owner, owner_life, arrived] {
      if (m_nodes[owner]->life == owner_life)
        Deliver(owner, arrived);
    });
    return;
  }
  m_time.After(kNetworkDelay, [this, node, entry_life, lost] {
    if (m_nodes[node]->life == entry_life)
      Deliver(node, lost);
  });
}

void Fleet::Do(std::size_t node, const CancelAttempt& action) {
  Stream* stream = FindStream(node, action.call, action.attempt);
  if (!stream)
    return;
  stream->is_closed = true;
  const WorkCancelled cancelled{stream->work};
  const std::size_t owner = stream->owner;
  const std::uint64_t life = stream->owner_life;
  m_time.After(kNetworkDelay, [this, owner, life, cancelled] {
    if (m_nodes[owner]->life == life)
      Deliver(owner, cancelled);
  });
}

// Bodies are not modelled: the head and the end of an answer arrive together.
void Fleet::Do(std::size_t node, const RelayAnswer& action) {
  Answer(action.call, Outcome::kAnswered, Reason::kNone);
}

void Fleet::Do(std::size_t node, const AnswerCaller& action) {
  Answer(action.call, action.outcome, action.reason);
}

void Fleet::Do(std::size_t node, const ReplayAnswer& action) {
  Answer(action.call, Outcome::kAnswered, Reason::kNone);
}

void Fleet::Do(std::size_t node, const AbortAnswer& action) {
  m_calls.at(action.call.value() - 1).is_connection_closed = true;
}

void Fleet::Answer(CallId id, Outcome outcome, Reason reason) {
  CallerView& call = m_calls.at(id.value() - 1);
  if (call.is_connection_closed)
    return;
  call.outcome = outcome;
  call.reason = reason;
  call.answered_at = now();
}

void Fleet::Do(std::size_t node, const HandToTarget& action) {
  FakeTarget& target = m_nodes[node]->target;
  const WorkId work = action.work;
  const Stream* stream = FindStream(node, work);
  if (!stream)
    return;
  if (!target.is_up) {
    m_time.After(kNetworkDelay, [this, node, work] {
      Deliver(node, TargetConnectFailed{work});
    });
    return;
  }
  const std::string request = stream->head.request_id.value();
  ++m_runs[request];
  if (const auto key = m_key_of_request.find(request);
      key != m_key_of_request.end())
    ++m_runs_of_key[key->second];
  target.last_run_at = now();
  const CallerView& caller = m_calls.at(stream->call.value() - 1);
  m_notices.OnRun(now(), stream->entry, TargetKeyOf(node), caller.sent_at);
  target.runs[work] = TargetRun();
  if (stream->head.method == kPoisonMethod || ExceedsColdRate(node)) {
    m_time.After(kNetworkDelay, [this, node] { CrashTarget(node); });
    return;
  }
  const std::uint64_t life = target.life;
  const bool fails = target.is_failing || stream->head.method == kFailMethod;
  const int status = fails ? kServerError : kOk;
  const bool is_cold = m_options.cold && ColdTimeLeft(node) > Duration::zero();
  const Duration usual_time = is_cold
                                  ? FromSeconds(ToSeconds(target.service_time) *
                                                m_options.cold->slowdown)
                                  : target.service_time;
  const Duration run_time = fails ? kFailureTime : usual_time;
  m_time.After(run_time, [this, node, life, work, status] {
    const TimePoint handled_at = ReserveProcessor(node, now());
    if (handled_at <= now()) {
      FinishRun(node, life, work, status);
      return;
    }
    m_time.At(handled_at, [this, node, life, work, status] {
      FinishRun(node, life, work, status);
    });
  });
}

void Fleet::FinishRun(std::size_t node,
                      std::uint64_t life,
                      WorkId work,
                      int status) {
  FakeTarget& target = m_nodes[node]->target;
  if (target.life != life || target.runs.erase(work) == 0)
    return;
  if (Stream* stream = FindStream(node, work)) {
    stream->status = status;
    stream->target = TargetKeyOf(node);
    stream->notice = target.notice;
  }
  TargetAnswerBegun begun{work, status, false};
  begun.notice = target.notice;
  Deliver(node, begun);
  Deliver(node, TargetAnswerEnded{work});
}

void Fleet::Do(std::size_t node, const RefuseWork& action) {
  Stream* stream = FindStream(node, action.work);
  if (!stream)
    return;
  stream->is_closed = true;
  const AttemptRefused refused{stream->call, stream->attempt, action.reason,
                               action.load};
  const std::size_t entry = stream->entry;
  const std::uint64_t life = stream->entry_life;
  m_time.After(kNetworkDelay, [this, entry, life, refused] {
    if (m_nodes[entry]->life == life)
      Deliver(entry, refused);
  });
}

void Fleet::Do(std::size_t node, const RelayWork& action) {
  Stream* stream = FindStream(node, action.work);
  if (!stream)
    return;
  stream->is_closed = true;
  const AttemptAnswerBegun begun{stream->call, stream->attempt, stream->status,
                                 action.load};
  const AttemptAnswerEnded ended{stream->call, stream->attempt, action.load,
                                 KeptAnswer{"text/plain", "done"}};
  const std::size_t entry = stream->entry;
  const std::uint64_t life = stream->entry_life;
  const TargetKey target = stream->target;
  const TargetNotice notice = stream->notice;
  m_time.After(kNetworkDelay,
               [this, entry, life, begun, ended, target, notice] {
                 if (m_nodes[entry]->life != life)
                   return;
                 if (m_nodes[entry]->IsRunning())
                   m_notices.OnRelayed(now(), entry, target, notice);
                 m_calls.at(begun.call.value() - 1).status = begun.status;
                 Deliver(entry, begun);
                 Deliver(entry, ended);
               });
}

void Fleet::Do(std::size_t node, const FailWork& action) {
  Stream* stream = FindStream(node, action.work);
  if (!stream)
    return;
  stream->is_closed = true;
  AttemptLost lost;
  lost.call = stream->call;
  lost.attempt = stream->attempt;
  lost.reason = action.reason;
  const std::size_t entry = stream->entry;
  const std::uint64_t life = stream->entry_life;
  m_time.After(kNetworkDelay, [this, entry, life, lost] {
    if (m_nodes[entry]->life == life)
      Deliver(entry, lost);
  });
}

void Fleet::Do(std::size_t node, const CancelWork& action) {
  m_nodes[node]->target.runs.erase(action.work);
}

void Fleet::Do(std::size_t node, const SendProbe& action) {
  const bool has_left_in_time = now() < action.valid_until;
  if (!has_left_in_time || !m_nodes[node]->target.is_up) {
    Deliver(node, ProbeFailed{action.probe, !m_nodes[node]->target.is_up});
    return;
  }
  m_probes.push_back(now());
  const ProbeId probe = action.probe;
  const std::uint64_t life = m_nodes[node]->life;
  m_time.After(kNetworkDelay, [this, node, life, probe] {
    if (m_nodes[node]->life != life)
      return;
    ProbeAnswered answer{probe, true, kNetworkDelay};
    if (m_options.cold) {
      answer.instance = InstanceId(InstanceOf(node));
      answer.load_sample = TargetLoadSample{0, 0, m_options.slots, 1.0};
      answer.cold_time_left = ColdTimeLeft(node);
    }
    Deliver(node, answer);
  });
}

void Fleet::Do(std::size_t node, const SendDatagram& action) {
  const std::optional<std::size_t> to = FindNode(action.to);
  if (!to || m_nodes[node]->is_gossip_lost || m_nodes[*to]->is_gossip_lost)
    return;
  const std::uint64_t life = m_nodes[*to]->life;
  const DatagramArrived arrived{m_nodes[node]->settings.gossip_endpoint,
                                action.bytes};
  m_time.After(kNetworkDelay, [this, to, life, arrived] {
    if (m_nodes[*to]->life == life && !m_nodes[*to]->is_gossip_lost)
      Deliver(*to, arrived);
  });
}

void Fleet::Do(std::size_t node, const SubmitTableRequest& action) {
  ++m_table_calls;
  const std::uint64_t life = m_nodes[node]->life;
  if (m_nodes[node]->is_refused_at_table) {
    AnswerTable({node, life, action.request, {}},
                {TableStatus::kUnavailable, {}, {}});
  } else if (std::holds_alternative<TableWatch>(action.body)) {
    AddWatch(node, action);
  } else {
    SubmitToTable(node, action);
  }
}

void Fleet::SubmitToTable(std::size_t node, const SubmitTableRequest& action) {
  const std::uint64_t life = m_nodes[node]->life;
  const TableRequestId id = action.request;
  m_table.Submit(action.body,
                 [this, node, life, id](TimePoint, TableReply reply) {
                   if (m_nodes[node]->life == life)
                     Deliver(node, TableReplied{id, std::move(reply)});
                 });
  m_time.After(kTableDelay, [this] { m_table.DeliverNext(now()); });
}

// The watch is answered by the next change or when its wait time ends.
void Fleet::AddWatch(std::size_t node, const SubmitTableRequest& action) {
  const auto& body = std::get<TableWatch>(action.body);
  const OpenWatch watch{node, m_nodes[node]->life, action.request, body};
  const TableReply reply = m_table.table().Apply(body);
  if (reply.status != TableStatus::kOk || !reply.rows.empty()) {
    AnswerWatch(watch);
    return;
  }
  m_watches.push_back(watch);
  m_time.After(body.wait, [this, watch] {
    const std::size_t ended =
        std::erase_if(m_watches, [&watch](const OpenWatch& other) {
          return other.node == watch.node && other.life == watch.life &&
                 other.request == watch.request;
        });
    if (ended > 0)
      AnswerWatch(watch);
  });
}

void Fleet::AnswerWatch(const OpenWatch& watch) {
  AnswerTable(watch, m_table.table().Apply(watch.watch));
}

void Fleet::AnswerTable(const OpenWatch& watch, const TableReply& reply) {
  m_time.After(kTableDelay, [this, watch, reply] {
    if (m_nodes[watch.node]->life == watch.life)
      Deliver(watch.node, TableReplied{watch.request, reply});
  });
}

void Fleet::Do(std::size_t node, const AnswerOperator& action) {
  m_operator_answer = action;
}

void Fleet::Do(std::size_t node, const ExitProcess& action) {
  m_nodes[node]->has_exited = true;
}

}  // namespace bulrushmount::testing
