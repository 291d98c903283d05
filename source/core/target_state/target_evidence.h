// Recent evidence of a target's health, from its requests and its probes.
// Results of requests take precedence: health endpoints lag and can be
// wrong, so a probe counts only without recent answers, and never against them.

#ifndef BULRUSHMOUNT_CORE_TARGET_STATE_TARGET_EVIDENCE_H_
#define BULRUSHMOUNT_CORE_TARGET_STATE_TARGET_EVIDENCE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "core/common/ids.h"
#include "core/common/time.h"

namespace bulrushmount {

// Result of handing one request to the target.
enum class RequestResult : std::uint8_t {
  // A complete answer with a status below 500.
  kAnswered,
  // An answer with a status of 500 or more that does not signal shedding.
  kError,
  // The target signalled that it did not run the request.
  kShed,
  // The connection could not be established.
  kConnectFailed,
  // The connection was lost after the request was handed over.
  kConnectionLost,
};

struct EvidenceThresholds {
  // Consecutive refused connections.
  std::uint32_t connects_failed = 3;
  // Consecutive shed requests without an answer in between.
  std::uint32_t sheds = 8;
  // The target is failing if at least `min_results` of the last `window`
  // results are known, and at least this fraction of these are errors or lost
  // connections.
  double failed_fraction = 0.8;
  std::size_t window = 20;
  std::size_t min_results = 10;
  // Time for which results count for their workspaces, and number of workspaces
  // in the window below which the last results of further workspaces count too.
  std::size_t min_workspaces = 3;
  Duration workspace_result_lifetime = std::chrono::seconds(10);
  // Maximum number of workspaces whose last result is kept.
  std::size_t max_workspaces = 16;
  // Number of results, all failures, from which a target on trial after failed
  // requests is failing again.
  std::size_t trial_results = 3;
  // Consecutive failed or unhealthy probes.
  std::uint32_t probes = 3;
  // Time for which an answer counts as recent.
  Duration answer_lifetime = std::chrono::seconds(2);
};

class TargetEvidence {
 public:
  explicit TargetEvidence(const EvidenceThresholds& thresholds)
      : m_thresholds(thresholds) {}

  void OnRequestResult(TimePoint now,
                       RequestResult result,
                       const WorkspaceName& workspace);
  void OnProbe(bool is_healthy);

  // Whether the results of requests indicate that new ones would fail.
  bool IsFailingRequests(TimePoint now) const;
  // Whether probes fail and there is no recent answer.
  bool IsFailingProbes(TimePoint now) const;
  // Whether there is a recent answer.
  bool HasRecentAnswer(TimePoint now) const;
  // Whether all results are from one named workspace, whose requests may
  // themselves be the cause. Refused connections and sheds are never attributed
  // to a workspace.
  bool IsFromOneWorkspace(TimePoint now) const;
  // Time until which HasRecentAnswer holds; empty without an answer.
  std::optional<TimePoint> RecentAnswerUntil() const;

  void Clear();

  // Lowers the number of failures that suffice until the next answer.
  void BeginTrial() { m_is_trial = true; }

 private:
  struct Result {
    WorkspaceName workspace;
    TimePoint at;
    bool is_failure = false;
  };

  // Results of one workspace.
  struct WorkspaceResults {
    WorkspaceName workspace;
    std::size_t results = 0;
    std::size_t failures = 0;
  };

  void AddResult(const Result& result);
  std::vector<WorkspaceResults> ResultsByWorkspace(TimePoint now) const;
  bool IsFailingAcrossWorkspaces(TimePoint now) const;

  EvidenceThresholds m_thresholds;
  // The last `window` results, oldest first.
  std::deque<Result> m_results;
  // The last result of each workspace, newest at the end. Not cleared for a
  // trial, since recent results of other workspaces still count.
  std::deque<Result> m_last_by_workspace;
  std::uint32_t m_connects_failed = 0;
  std::uint32_t m_sheds = 0;
  std::uint32_t m_probes_failed = 0;
  std::optional<TimePoint> m_last_answer;
  bool m_is_trial = false;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TARGET_STATE_TARGET_EVIDENCE_H_
