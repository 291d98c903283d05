// Counts what real requests and probes say.

#include "core/target_state/target_evidence.h"

#include <algorithm>

namespace bulrushmount {

void TargetEvidence::OnReal(TimePoint now,
                            RealResult result,
                            const WorkspaceName& workspace) {
  m_connects_failed =
      result == RealResult::kConnectFailed ? m_connects_failed + 1 : 0;
  switch (result) {
    case RealResult::kAnswered:
      m_sheds = 0;
      m_probes_failed = 0;
      m_last_answer = now;
      m_is_trial = false;
      break;
    case RealResult::kShed:
      // A full target sheds and answers in turn, one that drains only sheds:
      // this counts by its own run, not as a failure of the window.
      ++m_sheds;
      return;
    case RealResult::kConnectFailed:
    case RealResult::kError:
    case RealResult::kBrokenOff:
      break;
  }
  Remember({workspace, now, result != RealResult::kAnswered});
}

void TargetEvidence::Remember(const Result& result) {
  m_results.push_back(result);
  if (m_results.size() > m_thresholds.window) {
    m_results.pop_front();
  }
  std::erase_if(m_by_workspace, [&](const Result& known) {
    return known.workspace == result.workspace;
  });
  m_by_workspace.push_back(result);
  if (m_by_workspace.size() > m_thresholds.workspaces) {
    m_by_workspace.pop_front();
  }
}

void TargetEvidence::OnProbe(bool is_healthy) {
  m_probes_failed = is_healthy ? 0 : m_probes_failed + 1;
}

bool TargetEvidence::IsFailingReal(TimePoint now) const {
  if (m_connects_failed >= m_thresholds.connects_failed ||
      m_sheds >= m_thresholds.sheds) {
    return true;
  }
  const std::size_t least_results =
      m_is_trial ? m_thresholds.trial_results : m_thresholds.least_results;
  if (m_results.size() < least_results) {
    return false;
  }
  const auto failures =
      std::count_if(m_results.begin(), m_results.end(),
                    [](const Result& result) { return result.is_failure; });
  const auto results = static_cast<double>(m_results.size());
  return static_cast<double>(failures) >=
             m_thresholds.failed_fraction * results &&
         DoWorkspacesAgree(now);
}

std::vector<TargetEvidence::Vote> TargetEvidence::Votes(TimePoint now) const {
  std::vector<Vote> votes;
  const auto add = [&](const Result& result) {
    if (now - result.at >= m_thresholds.workspace_memory) {
      return;
    }
    auto vote = std::find_if(votes.begin(), votes.end(), [&](const Vote& one) {
      return one.workspace == result.workspace;
    });
    if (vote == votes.end()) {
      vote = votes.insert(votes.end(), Vote{result.workspace});
    }
    ++vote->results;
    vote->failures += result.is_failure ? 1 : 0;
  };
  std::for_each(m_results.begin(), m_results.end(), add);
  if (votes.size() >= m_thresholds.least_workspaces) {
    return votes;
  }
  for (const Result& last : m_by_workspace) {
    const bool is_in_window = std::any_of(
        m_results.begin(), m_results.end(),
        [&](const Result& one) { return one.workspace == last.workspace; });
    if (!is_in_window) {
      add(last);
    }
  }
  return votes;
}

// Each workspace counts alike, however many requests it sends. What goes wrong
// else: one workspace whose requests always fail sends four fifths of the
// traffic, and takes one target out after the other for all others.
bool TargetEvidence::DoWorkspacesAgree(TimePoint now) const {
  const std::vector<Vote> votes = Votes(now);
  double failed = 0;
  for (const Vote& vote : votes) {
    failed +=
        static_cast<double>(vote.failures) / static_cast<double>(vote.results);
  }
  return failed >=
         m_thresholds.failed_fraction * static_cast<double>(votes.size());
}

bool TargetEvidence::IsOfOneWorkspace(TimePoint now) const {
  if (m_connects_failed >= m_thresholds.connects_failed ||
      m_sheds >= m_thresholds.sheds) {
    return false;
  }
  const std::vector<Vote> votes = Votes(now);
  return votes.size() == 1 && votes.front().workspace != WorkspaceName();
}

bool TargetEvidence::IsFailingProbes(TimePoint now) const {
  return m_probes_failed >= m_thresholds.probes && !IsObserved(now);
}

bool TargetEvidence::IsObserved(TimePoint now) const {
  return m_last_answer && now < *m_last_answer + m_thresholds.fresh;
}

std::optional<TimePoint> TargetEvidence::ObservedUntil() const {
  if (!m_last_answer) {
    return std::nullopt;
  }
  return *m_last_answer + m_thresholds.fresh;
}

void TargetEvidence::Clear() {
  m_results.clear();
  m_connects_failed = 0;
  m_sheds = 0;
  m_probes_failed = 0;
  m_last_answer.reset();
  m_is_trial = false;
}

}  // namespace bulrushmount
