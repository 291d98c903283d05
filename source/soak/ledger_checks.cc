// Part of `ledger_checks.h`.

#include "soak/ledger_checks.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <fmt/format.h>

#include "soak/key_checks.h"
#include "soak/limit_checks.h"
#include "soak/notice_checks.h"

namespace bulrushmount::soak {

namespace {

using platform::ClientVerdict;
using platform::FinishedCall;
using platform::LedgerRun;

constexpr char kVersionPath[] = "/version/";

void CheckCall(const FinishedCall& finished,
               std::size_t runs,
               std::vector<std::string>& violations) {
  const std::string& id = finished.call.request_id;
  const auto report = [&](const char* what) {
    violations.push_back(fmt::format("{}: request {} path {} node {} runs {}",
                                     what, id, finished.call.path,
                                     finished.node, runs));
  };
  switch (finished.outcome.verdict) {
    case ClientVerdict::kWrong:
      report("the answer does not match the request");
      break;
    case ClientVerdict::kNoAnswer:
      report("no answer");
      break;
    case ClientVerdict::kRefused:
    case ClientVerdict::kUnknownKey:
      if (runs > 0)
        report("the request was refused as not run but has run");
      break;
    case ClientVerdict::kServed:
      if (runs == 0)
        report("the request was answered but has not run");
      break;
    case ClientVerdict::kUnknown:
    case ClientVerdict::kNoRoute:
    case ClientVerdict::kAbandoned:
      break;
  }
  if (finished.call.path.starts_with(kOncePrefix) && runs > 1)
    report("a request that must run at most once ran more often");
}

void CheckDrains(const SoakRecord& record,
                 std::vector<std::string>& violations) {
  for (const AcknowledgedDrain& drain : record.drains) {
    for (const LedgerRun& run : record.runs) {
      if (run.instance == drain.instance &&
          run.started_at > drain.at + kDrainTime)
        violations.push_back(
            fmt::format("a run started after the drain time: request {} at {}",
                        run.request_id, run.instance));
    }
  }
}

// Returns whether the same process of the node was running at both times.
bool IsSameProcess(const SoakRecord& record,
                   std::size_t node,
                   TimePoint from,
                   TimePoint to) {
  const auto starts = record.node_starts.find(node);
  return starts == record.node_starts.end() ||
         std::none_of(
             starts->second.begin(), starts->second.end(),
             [&](TimePoint start) { return start >= from && start <= to; });
}

// Checks that a node process that has served a version of the routes does not
// return to an older one.
void CheckVersions(const SoakRecord& record,
                   std::vector<std::string>& violations) {
  // The end times of the served calls, by node and version.
  std::map<std::pair<std::size_t, std::uint64_t>, std::vector<TimePoint>> seen;
  for (const FinishedCall& finished : record.calls) {
    const std::uint64_t version = VersionOf(finished.call.path);
    if (version > 0 && finished.outcome.verdict == ClientVerdict::kServed)
      seen[{finished.node, version}].push_back(finished.began_at +
                                               finished.outcome.took);
  }
  for (const FinishedCall& finished : record.calls) {
    if (finished.outcome.verdict != ClientVerdict::kNoRoute)
      continue;
    const TimePoint ended = finished.began_at + finished.outcome.took;
    for (const TimePoint served :
         seen[{finished.node, VersionOf(finished.call.path)}]) {
      if (served < finished.began_at &&
          IsSameProcess(record, finished.node, served, ended)) {
        violations.push_back(fmt::format(
            "the routes returned to an older version: request {} path {}",
            finished.call.request_id, finished.call.path));
        break;
      }
    }
  }
}

}  // namespace

std::string PermanentKey(const std::string& workspace) {
  return workspace + "-permanent";
}

std::string KeyFrom(const std::string& workspace, std::uint64_t version) {
  return fmt::format("{}-{}", workspace, version);
}

std::string VersionPrefix(std::uint64_t version) {
  return fmt::format("{}{}/", kVersionPath, version);
}

std::uint64_t VersionOf(const std::string& path) {
  if (!path.starts_with(kVersionPath))
    return 0;
  std::uint64_t version = 0;
  const char* const begin = path.data() + sizeof(kVersionPath) - 1;
  std::from_chars(begin, path.data() + path.size(), version);
  return version;
}

std::vector<std::string> FindViolations(const SoakRecord& record) {
  std::map<std::string, std::size_t> runs;
  for (const LedgerRun& run : record.runs)
    ++runs[run.request_id];
  std::vector<std::string> violations;
  for (const FinishedCall& finished : record.calls) {
    const auto found = runs.find(finished.call.request_id);
    CheckCall(finished, found == runs.end() ? 0 : found->second, violations);
  }
  CheckDrains(record, violations);
  CheckVersions(record, violations);
  CheckNotices(record, violations);
  CheckKeys(record, violations);
  CheckLimits(record, violations);
  return violations;
}

}  // namespace bulrushmount::soak
