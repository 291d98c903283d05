// Part of `key_checks.h`.

#include "soak/key_checks.h"

#include <algorithm>
#include <map>
#include <optional>
#include <tuple>
#include <unordered_map>
#include <utility>

#include <fmt/format.h>

namespace bulrushmount::soak {

namespace {

using platform::ClientVerdict;
using platform::FinishedCall;
using platform::LedgerRun;

// Returns the part of a key before its version, which is the workspace's name.
std::string WorkspaceOf(const std::string& key) {
  return key.substr(0, key.find('-'));
}

bool IsNeverValid(const std::string& key) {
  return key.empty() || key == kNeverValidKey;
}

bool IsPermanent(const std::string& key) {
  return !IsNeverValid(key) && key == PermanentKey(WorkspaceOf(key));
}

void CheckRun(const std::string& key,
              const LedgerRun& run,
              std::vector<std::string>& violations) {
  const auto report = [&](const char* what) {
    violations.push_back(fmt::format("{}: request {} key {} workspace {}", what,
                                     run.request_id, key, run.workspace));
  };
  if (run.has_key)
    report("a server received a key");
  if (IsNeverValid(key))
    report("a request without a valid key ran");
  else if (run.workspace != WorkspaceOf(key))
    report("a server received another workspace than that of the key");
}

// Returns the number of process starts of the node until then.
std::ptrdiff_t ProcessAt(const SoakRecord& record,
                         std::size_t node,
                         TimePoint at) {
  const auto starts = record.node_starts.find(node);
  if (starts == record.node_starts.end())
    return 0;
  return std::count_if(starts->second.begin(), starts->second.end(),
                       [at](TimePoint start) { return start <= at; });
}

// The time from the commit of a document until no node accepts a key that it
// withdraws: a series of faults in which the store loses the responses of all
// watches (8 s), the next periodic check of the table (1 s on average), and
// 2.5 s.
constexpr Duration kMaxWithdrawalTime = std::chrono::seconds(15);

// Checks that withdrawn keys are refused in time.
void CheckWithdrawals(const SoakRecord& record,
                      std::vector<std::string>& violations) {
  std::unordered_map<std::string, TimePoint> withdrawn;
  for (const auto& [version, at] : record.commits) {
    if (version <= kVersionsOfAKey)
      continue;
    for (const char* const workspace : kWorkspaces)
      withdrawn[KeyFrom(workspace, version - kVersionsOfAKey)] = at;
  }
  for (const FinishedCall& finished : record.calls) {
    const auto found = withdrawn.find(finished.call.key);
    if (found != withdrawn.end() &&
        finished.outcome.verdict == ClientVerdict::kServed &&
        finished.began_at > found->second + kMaxWithdrawalTime) {
      violations.push_back(fmt::format(
          "a withdrawn key was accepted: request {} key {} node {}",
          finished.call.request_id, finished.call.key, finished.node));
    }
  }
}

// The calls with one key at one process of a node.
struct KeyCalls {
  std::vector<const FinishedCall*> accepted;
  std::vector<const FinishedCall*> refused;
};

TimePoint EndOf(const FinishedCall& finished) {
  return finished.began_at + finished.outcome.took;
}

// Returns the earliest end of the calls that began after `after`.
std::optional<TimePoint> FirstEnd(const std::vector<const FinishedCall*>& calls,
                                  TimePoint after) {
  std::optional<TimePoint> first;
  for (const FinishedCall* const finished : calls) {
    if (finished->began_at > after)
      first = std::min(first.value_or(TimePoint::max()), EndOf(*finished));
  }
  return first;
}

// Checks that a process accepts each key in one period at most. Otherwise it
// has returned to an older document.
void CheckPeriods(const SoakRecord& record,
                  std::vector<std::string>& violations) {
  std::map<std::tuple<std::size_t, std::ptrdiff_t, std::string>, KeyCalls> keys;
  for (const FinishedCall& finished : record.calls) {
    const std::ptrdiff_t process =
        ProcessAt(record, finished.node, finished.began_at);
    if (process != ProcessAt(record, finished.node, EndOf(finished)))
      continue;
    KeyCalls& calls = keys[{finished.node, process, finished.call.key}];
    if (finished.outcome.verdict == ClientVerdict::kServed)
      calls.accepted.push_back(&finished);
    if (finished.outcome.verdict == ClientVerdict::kUnknownKey)
      calls.refused.push_back(&finished);
  }
  for (const auto& [key, calls] : keys) {
    const auto accepted = FirstEnd(calls.accepted, TimePoint::min());
    const auto refused =
        accepted ? FirstEnd(calls.refused, *accepted) : std::nullopt;
    if (refused && FirstEnd(calls.accepted, *refused)) {
      violations.push_back(
          fmt::format("a withdrawn key was accepted again: key {} node {}",
                      std::get<std::string>(key), std::get<0>(key)));
    }
  }
}

}  // namespace

void CheckKeys(const SoakRecord& record, std::vector<std::string>& violations) {
  if (!record.has_workspaces)
    return;
  std::unordered_map<std::string, const FinishedCall*> calls;
  for (const FinishedCall& finished : record.calls) {
    calls[finished.call.request_id] = &finished;
    if (IsPermanent(finished.call.key) &&
        finished.outcome.verdict == ClientVerdict::kUnknownKey) {
      violations.push_back(fmt::format("a valid key was refused: request {}",
                                       finished.call.request_id));
    }
  }
  for (const LedgerRun& run : record.runs) {
    const auto call = calls.find(run.request_id);
    if (call != calls.end())
      CheckRun(call->second->call.key, run, violations);
  }
  CheckPeriods(record, violations);
  CheckWithdrawals(record, violations);
}

}  // namespace bulrushmount::soak
