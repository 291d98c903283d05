// Common base of the pickers that serve as baselines in comparisons with
// PowerOfChoicesPicker: their only state is the last load report of each
// target.

#ifndef BULRUSHMOUNT_CORE_ROUTING_BASELINE_PICKER_H_
#define BULRUSHMOUNT_CORE_ROUTING_BASELINE_PICKER_H_

#include <cstdint>

#include "core/routing/candidate_list.h"
#include "core/routing/target_picker.h"

namespace bulrushmount {

class BaselinePicker : public TargetPicker {
 public:
  void Update(const Candidate& candidate) override;
  void Remove(NodeId node) override;
  void OnSent(const Dispatch& dispatch) override {}
  void OnAnswerBegun(TimePoint now,
                     Dispatch& dispatch,
                     const LoadReport& load,
                     AnswerQuality quality) override;
  void OnEnded(TimePoint now,
               const Dispatch& dispatch,
               const LoadReport& load) override;
  void OnRefused(TimePoint now,
                 const Dispatch& dispatch,
                 Reason reason,
                 const LoadReport& load) override;
  void OnLost(TimePoint now, const Dispatch& dispatch) override {}
  void OnSilent(TimePoint now, const Dispatch& dispatch) override {}
  void OnCancelled(TimePoint now, const Dispatch& dispatch) override {}

 protected:
  struct Target {
    Candidate candidate;
    // Requests in flight and queued at the owner, as last reported.
    std::uint32_t reported = 0;
  };

  CandidateList<Target> m_targets;

 private:
  void ApplyReport(NodeId node, const LoadReport& load);
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_ROUTING_BASELINE_PICKER_H_
