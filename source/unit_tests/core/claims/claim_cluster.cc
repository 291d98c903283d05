// Part of `claim_cluster.h`.

#include "unit_tests/core/claims/claim_cluster.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace bulrushmount {

namespace {

constexpr Duration kCallDeadline = std::chrono::seconds(2);
constexpr Duration kRetention = std::chrono::hours(24);
constexpr WallTime kWallStart{std::chrono::hours(500'000)};

}  // namespace

StoredAnswer AnswerOfRun(std::size_t sent) {
  return {201, "text/plain", "run of send " + std::to_string(sent), true};
}

class ClaimCluster::Port : public TableService {
 public:
  Port(ClaimCluster& cluster, std::size_t node, int process)
      : m_cluster(cluster), m_node(node), m_process(process) {}

  void Submit(TableRequest request, Callback callback) override {
    m_cluster.m_waiting.push_back(
        {m_node, m_process, std::move(request), std::move(callback)});
  }

 private:
  ClaimCluster& m_cluster;
  std::size_t m_node;
  int m_process;
};

ClaimCluster::ClaimCluster(std::size_t nodes, ClaimSettings settings)
    : m_settings(settings), m_nodes(nodes) {
  for (std::size_t node = 0; node < nodes; ++node)
    Start(node);
}

ClaimCluster::~ClaimCluster() = default;

void ClaimCluster::Start(std::size_t node) {
  Node& started = m_nodes.at(node);
  started.book.reset();
  started.port = std::make_unique<Port>(*this, node, started.process);
  started.random = std::make_unique<SeededRandomSource>(++m_seed);
  const WallAnchor wall{TimePoint{}, kWallStart};
  started.book = std::make_unique<ClaimBook>(m_settings, *started.port,
                                             *started.random, wall);
  started.is_frozen = false;
}

std::size_t ClaimCluster::Send(std::size_t node,
                               const std::string& key,
                               std::uint64_t fingerprint) {
  const std::size_t index = m_sends.size();
  m_sends.push_back({node, key, {}, {}, 0, false});
  if (m_nodes.at(node).is_frozen)
    return index;
  const ClaimRequest request{WorkspaceName("publisher"), IdempotencyKey(key),
                             Fingerprint(fingerprint), m_now + kCallDeadline,
                             kRetention};
  const ClaimId claim = book(node).Acquire(
      m_now, request, [this, index](TimePoint, ClaimResult result) {
        m_sends.at(index).result = std::move(result);
        ++m_sends.at(index).callbacks;
      });
  m_sends.at(index).claim = claim;
  return index;
}

void ClaimCluster::EndCall(std::size_t sent, Ending ending) {
  Sent& call = m_sends.at(sent);
  const bool is_granted =
      call.result && call.result->status == ClaimStatus::kGranted;
  if (!is_granted || call.is_ended || m_nodes.at(call.node).is_frozen)
    return;
  call.is_ended = true;
  ClaimBook& claims = book(call.node);
  if (!claims.CheckBeforeDispatch(m_now, call.claim)) {
    claims.Release(m_now, call.claim);
    return;
  }
  if (ending == Ending::kRelease) {
    claims.Release(m_now, call.claim);
    return;
  }
  m_runs[call.key].push_back(sent);
  if (ending == Ending::kFinish)
    claims.Finish(m_now, call.claim, AnswerOfRun(sent));
  if (ending == Ending::kUnknown)
    claims.MarkUnknown(m_now, call.claim);
}

void ClaimCluster::EndAllGranted(Ending ending) {
  for (std::size_t sent = 0; sent < m_sends.size(); ++sent)
    EndCall(sent, ending);
}

void ClaimCluster::Resolve(std::size_t nth, Fate fate) {
  if (m_waiting.empty())
    return;
  const auto chosen =
      m_waiting.begin() + static_cast<std::ptrdiff_t>(nth % m_waiting.size());
  Request request = std::move(*chosen);
  m_waiting.erase(chosen);
  TableReply reply;
  if (fate == Fate::kUnavailable)
    reply.status = TableStatus::kUnavailable;
  if (fate == Fate::kAnswered)
    reply = m_table.Apply(request.body);
  if (fate == Fate::kAnswerLost)
    m_table.Apply(request.body);
  if (fate == Fate::kAppliedLate)
    m_late.push_back(request.body);
  m_deliveries.push_back({std::move(request), std::move(reply)});
}

bool ClaimCluster::IsDeliverable(const Delivery& delivery) const {
  const Node& node = m_nodes.at(delivery.request.node);
  return !node.is_frozen || node.process != delivery.request.process;
}

void ClaimCluster::Deliver(std::size_t nth) {
  std::vector<std::size_t> deliverable;
  for (std::size_t index = 0; index < m_deliveries.size(); ++index) {
    if (IsDeliverable(m_deliveries[index]))
      deliverable.push_back(index);
  }
  if (deliverable.empty())
    return;
  const auto chosen =
      m_deliveries.begin() +
      static_cast<std::ptrdiff_t>(deliverable.at(nth % deliverable.size()));
  Delivery delivery = std::move(*chosen);
  m_deliveries.erase(chosen);
  if (m_nodes.at(delivery.request.node).process == delivery.request.process)
    delivery.request.callback(m_now, std::move(delivery.reply));
}

void ClaimCluster::ApplyLate(std::size_t nth) {
  if (m_late.empty())
    return;
  const auto chosen =
      m_late.begin() + static_cast<std::ptrdiff_t>(nth % m_late.size());
  m_table.Apply(*chosen);
  m_late.erase(chosen);
}

void ClaimCluster::DrainAll() {
  while (!m_waiting.empty() || !m_deliveries.empty()) {
    while (!m_waiting.empty())
      Resolve(0, Fate::kAnswered);
    const std::size_t before = m_deliveries.size();
    Deliver(0);
    if (m_waiting.empty() && m_deliveries.size() == before)
      return;
  }
}

void ClaimCluster::Advance(Duration time) {
  m_now += time;
  for (Node& node : m_nodes) {
    if (!node.is_frozen)
      node.book->OnTimer(m_now);
  }
}

bool ClaimCluster::AdvanceToNextWakeup() {
  TimePoint wakeup = TimePoint::max();
  for (const Node& node : m_nodes)
    wakeup = std::min(wakeup, node.book->NextWakeup());
  if (wakeup == TimePoint::max())
    return !m_late.empty();
  Advance(std::max(wakeup - m_now, Duration(0)));
  return true;
}

void ClaimCluster::Crash(std::size_t node) {
  ++m_nodes.at(node).process;
  for (Sent& call : m_sends) {
    if (call.node == node)
      call.is_ended = true;
  }
  Start(node);
}

void ClaimCluster::SetFrozen(std::size_t node, bool is_frozen) {
  m_nodes.at(node).is_frozen = is_frozen;
}

ClaimStatus ClaimCluster::StatusOf(std::size_t sent) const {
  return m_sends.at(sent).result.value_or(ClaimResult{}).status;
}

}  // namespace bulrushmount
