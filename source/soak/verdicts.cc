// Part of `verdicts.h`.

#include "soak/verdicts.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <fmt/format.h>

namespace bulrushmount::soak {

namespace {

using platform::ClientVerdict;
using platform::FinishedCall;
using platform::LedgerRun;

constexpr char kVersionPath[] = "/version/";

void CheckCall(const FinishedCall& finished,
               std::size_t runs,
               std::vector<std::string>& broken) {
  const std::string& id = finished.call.request_id;
  const auto report = [&](const char* what) {
    broken.push_back(fmt::format("{}: request {} path {} node {} runs {}", what,
                                 id, finished.call.path, finished.node, runs));
  };
  switch (finished.outcome.verdict) {
    case ClientVerdict::kWrong:
      report("an answer that is not the server's own");
      break;
    case ClientVerdict::kNoAnswer:
      report("no answer");
      break;
    case ClientVerdict::kRefused:
      if (runs > 0)
        report("refused as not run, and has run");
      break;
    case ClientVerdict::kServed:
      if (runs == 0)
        report("served, and has not run");
      break;
    case ClientVerdict::kUnknown:
    case ClientVerdict::kNoRoute:
    case ClientVerdict::kAbandoned:
      break;
  }
  if (finished.call.path.starts_with(kOncePrefix) && runs > 1)
    report("a booking ran twice");
}

void CheckDrains(const SoakRecord& record, std::vector<std::string>& broken) {
  for (const AcknowledgedDrain& drain : record.drains) {
    for (const LedgerRun& run : record.runs) {
      if (run.instance == drain.instance &&
          run.started_at > drain.at + kDrainTime)
        broken.push_back(fmt::format("a run after the drain: request {} at {}",
                                     run.request_id, run.instance));
    }
  }
}

// Whether one process of the node has seen both moments.
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

// A version that was in force at a node's process stays in force there, or a
// later one does.
void CheckVersions(const SoakRecord& record, std::vector<std::string>& broken) {
  // By node: the first served call of each version, by when it ended.
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
        broken.push_back(fmt::format("routes went back: request {} path {}",
                                     finished.call.request_id,
                                     finished.call.path));
        break;
      }
    }
  }
}

}  // namespace

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

std::vector<std::string> FindBroken(const SoakRecord& record) {
  std::map<std::string, std::size_t> runs;
  for (const LedgerRun& run : record.runs)
    ++runs[run.request_id];
  std::vector<std::string> broken;
  for (const FinishedCall& finished : record.calls) {
    const auto found = runs.find(finished.call.request_id);
    CheckCall(finished, found == runs.end() ? 0 : found->second, broken);
  }
  CheckDrains(record, broken);
  CheckVersions(record, broken);
  return broken;
}

}  // namespace bulrushmount::soak
