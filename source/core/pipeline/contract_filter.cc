// Implements `contract_filter.h`.

#include "core/pipeline/contract_filter.h"

#include <algorithm>
#include <variant>

namespace bulrushmount {

FilterVerdict ContractFilter::OnCall(TimePoint now, Call& call) {
  const CallHead& head = call.head;
  const KindMatchResult match = m_contracts.MatchKind(
      head.workspace, head.service, head.method, head.target);
  if (const auto* reason = std::get_if<Reason>(&match))
    return RefuseCall(*reason);

  const auto& matched = std::get<MatchedKind>(match);
  call.terms.kind = *matched.kind;
  call.terms.share = matched.terms->share;
  call.terms.key_retention = matched.terms->key_retention;
  // The caller may shorten the deadline of the contract but not extend it.
  const Duration granted = matched.kind->deadline;
  call.deadline = now + std::min(head.deadline.value_or(granted), granted);
  call.answer_deadline = std::max(call.deadline, now + m_max_answer_time);
  m_pipeline.ArmDeadline(call);
  return PassCall{};
}

}  // namespace bulrushmount
