// What the pickers share that exist to be measured against: they learn nothing
// but the last report.

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
    // In flight and queued at the owner, as last told.
    std::uint32_t reported = 0;
  };

  CandidateList<Target> m_targets;

 private:
  void Learn(NodeId node, const LoadReport& load);
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_ROUTING_BASELINE_PICKER_H_
