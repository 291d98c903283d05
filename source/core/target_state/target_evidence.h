// What has been seen of a target of late. Real answers are the evidence; health
// endpoints lag and mislead, so a probe counts only where there are no fresh
// real answers, and never against them.

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

// How the hand-over of one real request to the target ended.
enum class RealResult : std::uint8_t {
  // A whole answer that the target stands for (any status below 500).
  kAnswered,
  // An answer with a status of 500 or more that is no shedding.
  kError,
  // The target's signal that it did not run the request.
  kShed,
  // No connection could be made.
  kConnectFailed,
  // Broken off after the request was handed over.
  kBrokenOff,
};

struct EvidenceThresholds {
  // Connections refused one after the other.
  std::uint32_t connects_failed = 3;
  // Requests shed one after the other, none answered in between.
  std::uint32_t sheds = 8;
  // Of the last `window` results at least `least_results` are known, and at
  // least this fraction are errors or broken off.
  double failed_fraction = 0.8;
  std::size_t window = 20;
  std::size_t least_results = 10;
  // Results count for their workspaces for `workspace_memory`. With fewer
  // workspaces than this in the window, the last results of others count too.
  std::size_t least_workspaces = 3;
  Duration workspace_memory = std::chrono::seconds(10);
  // Of at most so many workspaces the last result is kept.
  std::size_t workspaces = 16;
  // A target on trial after real failures: its first results, all failures.
  std::size_t trial_results = 3;
  // Probes failed or unhealthy one after the other.
  std::uint32_t probes = 3;
  // A real answer speaks for the target this long.
  Duration fresh = std::chrono::seconds(2);
};

class TargetEvidence {
 public:
  explicit TargetEvidence(const EvidenceThresholds& thresholds)
      : m_thresholds(thresholds) {}

  void OnReal(TimePoint now, RealResult result, const WorkspaceName& workspace);
  void OnProbe(bool is_healthy);

  // Real requests say that new ones would fail.
  bool IsFailingReal(TimePoint now) const;
  // Probes say so, and no fresh real answer says otherwise.
  bool IsFailingProbes(TimePoint now) const;
  // A real answer has come of late.
  bool IsObserved(TimePoint now) const;
  // The results come from one workspace, by its name: it may be to blame
  // itself. Refused connections and sheds are nobody's doing.
  bool IsOfOneWorkspace(TimePoint now) const;
  // When IsObserved ends, if it holds.
  std::optional<TimePoint> ObservedUntil() const;

  void Clear();

  // Until the next real answer fewer failures suffice.
  void BeginTrial() { m_is_trial = true; }

 private:
  struct Result {
    WorkspaceName workspace;
    TimePoint at;
    bool is_failure = false;
  };

  // One workspace's part in the judgement.
  struct Vote {
    WorkspaceName workspace;
    std::size_t results = 0;
    std::size_t failures = 0;
  };

  void Remember(const Result& result);
  std::vector<Vote> Votes(TimePoint now) const;
  bool DoWorkspacesAgree(TimePoint now) const;

  EvidenceThresholds m_thresholds;
  // The last results.
  std::deque<Result> m_results;
  // The last one of each workspace, the newest at the end. Kept in a trial:
  // what others got a moment ago still speaks.
  std::deque<Result> m_by_workspace;
  std::uint32_t m_connects_failed = 0;
  std::uint32_t m_sheds = 0;
  std::uint32_t m_probes_failed = 0;
  std::optional<TimePoint> m_last_answer;
  bool m_is_trial = false;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TARGET_STATE_TARGET_EVIDENCE_H_
