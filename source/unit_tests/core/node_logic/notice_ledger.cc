// Implements `notice_ledger.h`.

#include "unit_tests/core/node_logic/notice_ledger.h"

#include <algorithm>
#include <chrono>

#include <fmt/format.h>

namespace bulrushmount::testing {

namespace {

// The published guarantees. From kLimitGrace after a target first named a rate
// limit, it gets in any kLimitWindow at most kLimitFactor times what the rate
// allows, plus kLimitSlack requests, of entries that relayed a limit at least
// kRelayTime before.
constexpr Duration kLimitGrace = std::chrono::seconds(3);
constexpr Duration kLimitWindow = std::chrono::seconds(4);
constexpr double kLimitFactor = 1.5;
constexpr double kLimitSlack = 5;
constexpr Duration kRelayTime = std::chrono::milliseconds(500);
// No request that a caller sends later than this after its entry relayed that a
// target is leaving reaches the target.
constexpr Duration kDrainTime = std::chrono::seconds(2);

}  // namespace

void NoticeLedger::OnStated(TimePoint now,
                            TargetKey target,
                            const TargetNotice& notice) {
  m_targets[target].statements.push_back({now, notice});
}

void NoticeLedger::OnRelayed(TimePoint now,
                             std::size_t entry,
                             TargetKey target,
                             const TargetNotice& notice) {
  Relayed& relayed = m_relayed[{entry, target}];
  if (notice.rate_limit && !relayed.limit_at)
    relayed.limit_at = now;
  if (notice.is_leaving && !relayed.leaving_at)
    relayed.leaving_at = now;
}

void NoticeLedger::OnRun(TimePoint now,
                         std::size_t entry,
                         TargetKey target,
                         TimePoint sent_at) {
  const Relayed& relayed = m_relayed[{entry, target}];
  m_targets[target].runs.push_back(
      {now, sent_at, entry, relayed.limit_at, relayed.leaving_at});
}

void NoticeLedger::OnEntryExcused(std::size_t entry) {
  std::erase_if(m_relayed, [entry](const auto& item) {
    return item.first.first == entry;
  });
}

std::size_t NoticeLedger::CountRuns(std::size_t node, TimePoint begin) const {
  std::size_t count = 0;
  for (const auto& [key, target] : m_targets) {
    if (key.first != node)
      continue;
    count += static_cast<std::size_t>(
        std::count_if(target.runs.begin(), target.runs.end(),
                      [begin](const Run& run) { return run.at >= begin; }));
  }
  return count;
}

std::vector<std::string> NoticeLedger::Violations() const {
  std::vector<std::string> violations;
  for (const auto& [key, target] : m_targets) {
    CheckDrain(key, target, violations);
    CheckLimit(key, target, violations);
  }
  return violations;
}

void NoticeLedger::CheckDrain(TargetKey key,
                              const Target& target,
                              std::vector<std::string>& violations) {
  for (const Run& run : target.runs) {
    if (!run.leaving_relayed_at ||
        run.sent_at <= *run.leaving_relayed_at + kDrainTime)
      continue;
    violations.push_back(fmt::format(
        "target {}.{}: entry {} sent a request {:.3f} s after it relayed that "
        "the target is leaving",
        key.first, key.second, run.entry,
        ToSeconds(run.sent_at - *run.leaving_relayed_at)));
  }
}

// Checks each window that ends with a run and lies within the time for which
// the target named a limit.
void NoticeLedger::CheckLimit(TargetKey key,
                              const Target& target,
                              std::vector<std::string>& violations) {
  for (std::size_t last = 0; last < target.runs.size(); ++last) {
    const TimePoint end = target.runs[last].at;
    const TimePoint begin = end - kLimitWindow;
    std::optional<TimePoint> named_since;
    double allowed = kLimitSlack;
    for (std::size_t i = 0; i < target.statements.size(); ++i) {
      const Statement& statement = target.statements[i];
      if (statement.at > end)
        break;
      if (!statement.notice.rate_limit) {
        named_since.reset();
        continue;
      }
      named_since = named_since.value_or(statement.at);
      const TimePoint until = i + 1 < target.statements.size()
                                  ? std::min(end, target.statements[i + 1].at)
                                  : end;
      const Duration overlap = until - std::max(begin, statement.at);
      allowed += kLimitFactor * *statement.notice.rate_limit *
                 std::max(0.0, ToSeconds(overlap));
    }
    const TimePoint checked_from =
        named_since ? *named_since + std::max(kLimitGrace, kLimitWindow)
                    : TimePoint::max();
    if (end < checked_from)
      continue;
    std::size_t count = 0;
    for (std::size_t i = last + 1; i-- > 0 && target.runs[i].at > begin;) {
      const Run& run = target.runs[i];
      if (run.limit_relayed_at && run.at >= *run.limit_relayed_at + kRelayTime)
        ++count;
    }
    if (static_cast<double>(count) > allowed) {
      violations.push_back(
          fmt::format("target {}.{}: {} requests in 4 s, {:.1f} allowed",
                      key.first, key.second, count, allowed));
    }
  }
}

}  // namespace bulrushmount::testing
