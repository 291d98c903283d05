// Part of `target_evidence.h`.

#include "core/target_state/target_evidence.h"

#include <algorithm>

namespace bulrushmount {

void TargetEvidence::OnRequestResult(TimePoint now,
                                     RequestResult result,
                                     const WorkspaceName& workspace) {
  m_connects_failed =
      result == RequestResult::kConnectFailed ? m_connects_failed + 1 : 0;
  switch (result) {
    case RequestResult::kAnswered:
      m_sheds = 0;
      m_probes_failed = 0;
      m_last_answer = now;
      m_is_trial = false;
      break;
    case RequestResult::kShed:
      // A full target sheds and answers alternately, a draining one only sheds,
      // so sheds count by their consecutive number and not as failures in the
      // window.
      ++m_sheds;
      return;
    case RequestResult::kConnectFailed:
    case RequestResult::kError:
    case RequestResult::kConnectionLost:
      break;
  }
  AddResult({workspace, now, result != RequestResult::kAnswered});
}

void TargetEvidence::AddResult(const Result& result) {
  m_results.push_back(result);
  if (m_results.size() > m_thresholds.window) {
    m_results.pop_front();
  }
  std::erase_if(m_last_by_workspace, [&](const Result& known) {
    return known.workspace == result.workspace;
  });
  m_last_by_workspace.push_back(result);
  if (m_last_by_workspace.size() > m_thresholds.max_workspaces) {
    m_last_by_workspace.pop_front();
  }
}

void TargetEvidence::OnProbe(bool is_healthy) {
  m_probes_failed = is_healthy ? 0 : m_probes_failed + 1;
}

bool TargetEvidence::IsFailingRequests(TimePoint now) const {
  if (m_connects_failed >= m_thresholds.connects_failed ||
      m_sheds >= m_thresholds.sheds) {
    return true;
  }
  const std::size_t min_results =
      m_is_trial ? m_thresholds.trial_results : m_thresholds.min_results;
  if (m_results.size() < min_results) {
    return false;
  }
  const auto failures =
      std::count_if(m_results.begin(), m_results.end(),
                    [](const Result& result) { return result.is_failure; });
  const auto results = static_cast<double>(m_results.size());
  return static_cast<double>(failures) >=
             m_thresholds.failed_fraction * results &&
         IsFailingAcrossWorkspaces(now);
}

std::vector<TargetEvidence::WorkspaceResults>
TargetEvidence::ResultsByWorkspace(TimePoint now) const {
  std::vector<WorkspaceResults> entries;
  const auto add = [&](const Result& result) {
    if (now - result.at >= m_thresholds.workspace_result_lifetime) {
      return;
    }
    auto entry = std::find_if(entries.begin(), entries.end(),
                              [&](const WorkspaceResults& one) {
                                return one.workspace == result.workspace;
                              });
    if (entry == entries.end()) {
      entry = entries.insert(entries.end(), WorkspaceResults{result.workspace});
    }
    ++entry->results;
    entry->failures += result.is_failure ? 1 : 0;
  };
  std::for_each(m_results.begin(), m_results.end(), add);
  if (entries.size() >= m_thresholds.min_workspaces) {
    return entries;
  }
  for (const Result& last : m_last_by_workspace) {
    const bool is_in_window = std::any_of(
        m_results.begin(), m_results.end(),
        [&](const Result& one) { return one.workspace == last.workspace; });
    if (!is_in_window) {
      add(last);
    }
  }
  return entries;
}

// All workspaces have equal weight, however many requests they send. Otherwise
// one workspace that sends four fifths of the traffic and whose requests always
// fail would take one target after the other out of service for all others.
bool TargetEvidence::IsFailingAcrossWorkspaces(TimePoint now) const {
  const std::vector<WorkspaceResults> entries = ResultsByWorkspace(now);
  double failed = 0;
  for (const WorkspaceResults& entry : entries) {
    failed += static_cast<double>(entry.failures) /
              static_cast<double>(entry.results);
  }
  return failed >=
         m_thresholds.failed_fraction * static_cast<double>(entries.size());
}

bool TargetEvidence::IsFromOneWorkspace(TimePoint now) const {
  if (m_connects_failed >= m_thresholds.connects_failed ||
      m_sheds >= m_thresholds.sheds) {
    return false;
  }
  const std::vector<WorkspaceResults> entries = ResultsByWorkspace(now);
  return entries.size() == 1 && entries.front().workspace != WorkspaceName();
}

bool TargetEvidence::IsFailingProbes(TimePoint now) const {
  return m_probes_failed >= m_thresholds.probes && !HasRecentAnswer(now);
}

bool TargetEvidence::HasRecentAnswer(TimePoint now) const {
  return m_last_answer && now < *m_last_answer + m_thresholds.answer_lifetime;
}

std::optional<TimePoint> TargetEvidence::RecentAnswerUntil() const {
  if (!m_last_answer) {
    return std::nullopt;
  }
  return *m_last_answer + m_thresholds.answer_lifetime;
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
