// Part of `notice_checks.h`.

#include "soak/notice_checks.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <utility>

#include <fmt/format.h>

namespace bulrushmount::soak {

namespace {

using platform::ClientVerdict;
using platform::FinishedCall;
using platform::LedgerRun;

// The published guarantees. From kLimitGrace after a server named a rate, it
// gets in any kLimitWindow at most kLimitFactor times what the rate allows,
// plus kLimitSlack requests, from nodes that relayed such an answer kRelayTime
// or longer before.
constexpr Duration kLimitGrace = std::chrono::seconds(3);
constexpr Duration kLimitWindow = std::chrono::seconds(4);
constexpr double kLimitFactor = 1.5;
constexpr double kLimitSlack = 5;
constexpr Duration kRelayTime = std::chrono::milliseconds(500);

// A time during which a server stated the same.
struct Statement {
  StatedNotice notice;
  TimePoint end = TimePoint::max();
};

using CallsById = std::map<std::string, const FinishedCall*>;

std::map<std::string, std::vector<Statement>> StatementsByInstance(
    const SoakRecord& record) {
  std::map<std::string, std::vector<Statement>> statements;
  for (const StatedNotice& notice : record.notices) {
    std::vector<Statement>& of_instance = statements[notice.instance];
    if (!of_instance.empty())
      of_instance.back().end = notice.at;
    of_instance.push_back({notice});
  }
  return statements;
}

// Runs of one server with the calls that they belong to, by start time.
struct ServerRun {
  TimePoint started_at;
  const FinishedCall* call = nullptr;
};

std::map<std::string, std::vector<ServerRun>> RunsByInstance(
    const SoakRecord& record) {
  CallsById calls;
  for (const FinishedCall& finished : record.calls)
    calls[finished.call.request_id] = &finished;
  std::map<std::string, std::vector<ServerRun>> runs;
  for (const LedgerRun& run : record.runs) {
    const auto call = calls.find(run.request_id);
    if (call != calls.end())
      runs[run.instance].push_back({run.started_at, call->second});
  }
  for (auto& [instance, of_instance] : runs) {
    std::stable_sort(of_instance.begin(), of_instance.end(),
                     [](const ServerRun& one, const ServerRun& other) {
                       return one.started_at < other.started_at;
                     });
  }
  return runs;
}

// When the node first relayed an answer of a run that began in the statement;
// empty if it did not.
std::optional<TimePoint> RelayedAt(const std::vector<ServerRun>& runs,
                                   const Statement& statement,
                                   std::size_t node) {
  std::optional<TimePoint> relayed_at;
  for (const ServerRun& run : runs) {
    const FinishedCall& call = *run.call;
    const bool is_relayed =
        call.node == node && call.outcome.verdict == ClientVerdict::kServed &&
        run.started_at >= statement.notice.at && run.started_at < statement.end;
    if (!is_relayed)
      continue;
    const TimePoint at = call.began_at + call.outcome.took;
    relayed_at = std::min(relayed_at.value_or(at), at);
  }
  return relayed_at;
}

bool IsDisturbed(const SoakRecord& record,
                 std::size_t node,
                 TimePoint from,
                 TimePoint to) {
  const auto found = record.disturbances.find(node);
  return found != record.disturbances.end() &&
         std::any_of(found->second.begin(), found->second.end(),
                     [&](TimePoint at) { return at >= from && at <= to; });
}

// The nodes that relayed the statement, and when.
std::map<std::size_t, TimePoint> RelayingNodes(
    const std::vector<ServerRun>& runs,
    const Statement& statement) {
  std::map<std::size_t, TimePoint> nodes;
  for (const ServerRun& run : runs) {
    if (nodes.contains(run.call->node))
      continue;
    if (const auto at = RelayedAt(runs, statement, run.call->node))
      nodes[run.call->node] = *at;
  }
  return nodes;
}

void CheckLimit(const SoakRecord& record,
                const Statement& statement,
                const std::vector<ServerRun>& runs,
                std::vector<std::string>& violations) {
  const std::map<std::size_t, TimePoint> relayed =
      RelayingNodes(runs, statement);
  const auto allowed = static_cast<std::size_t>(
      kLimitFactor * ToSeconds(kLimitWindow) * *statement.notice.rate_limit +
      kLimitSlack);
  std::vector<TimePoint> counted;
  for (const ServerRun& run : runs) {
    const auto node = relayed.find(run.call->node);
    const bool is_bound =
        node != relayed.end() && run.started_at >= node->second + kRelayTime &&
        run.started_at >= statement.notice.at + kLimitGrace &&
        run.started_at < statement.end &&
        !IsDisturbed(record, run.call->node, node->second, run.started_at);
    if (is_bound)
      counted.push_back(run.started_at);
  }
  for (std::size_t i = 0; i + allowed < counted.size(); ++i) {
    if (counted[i + allowed] - counted[i] >= kLimitWindow)
      continue;
    violations.push_back(fmt::format(
        "a server got more than {} requests in 4 s after it had named {:.2f} a "
        "second: {}",
        allowed, *statement.notice.rate_limit, statement.notice.instance));
    return;
  }
}

void CheckLeaving(const SoakRecord& record,
                  const Statement& statement,
                  const std::vector<ServerRun>& runs,
                  std::vector<std::string>& violations) {
  for (const auto& [node, relayed_at] : RelayingNodes(runs, statement)) {
    for (const ServerRun& run : runs) {
      const FinishedCall& call = *run.call;
      const bool is_late =
          call.node == node && call.began_at > relayed_at + kDrainTime &&
          !IsDisturbed(record, node, relayed_at, run.started_at);
      if (is_late) {
        violations.push_back(fmt::format(
            "a request reached a server that was leaving by its answers: "
            "request {} node {} at {}",
            call.call.request_id, node, statement.notice.instance));
      }
    }
  }
}

}  // namespace

void CheckNotices(const SoakRecord& record,
                  std::vector<std::string>& violations) {
  const auto runs = RunsByInstance(record);
  for (const auto& [instance, statements] : StatementsByInstance(record)) {
    const auto found = runs.find(instance);
    if (found == runs.end())
      continue;
    for (const Statement& statement : statements) {
      if (statement.notice.rate_limit)
        CheckLimit(record, statement, found->second, violations);
      if (statement.notice.is_leaving)
        CheckLeaving(record, statement, found->second, violations);
    }
  }
}

}  // namespace bulrushmount::soak
