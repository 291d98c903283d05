// Part of `baseline_picker.h`.

#include "core/routing/baseline_picker.h"

namespace bulrushmount {

void BaselinePicker::Update(const Candidate& candidate) {
  m_targets.Update(candidate);
}

void BaselinePicker::Remove(NodeId node) {
  m_targets.Remove(node);
}

void BaselinePicker::OnAnswerBegun(TimePoint now,
                                   Dispatch& dispatch,
                                   const LoadReport& load,
                                   AnswerQuality quality) {
  dispatch.is_answer_begun = true;
  ApplyReport(dispatch.node, load);
}

void BaselinePicker::OnEnded(TimePoint now,
                             const Dispatch& dispatch,
                             const LoadReport& load) {
  ApplyReport(dispatch.node, load);
}

void BaselinePicker::OnRefused(TimePoint now,
                               const Dispatch& dispatch,
                               Reason reason,
                               const LoadReport& load) {
  ApplyReport(dispatch.node, load);
}

void BaselinePicker::ApplyReport(NodeId node, const LoadReport& load) {
  if (Target* target = m_targets.Find(node))
    target->reported = load.in_flight + load.queued;
}

}  // namespace bulrushmount
