// Looks up the terms of the workspace's contract for a call and sets its
// deadlines.

#ifndef BULRUSHMOUNT_CORE_PIPELINE_CONTRACT_FILTER_H_
#define BULRUSHMOUNT_CORE_PIPELINE_CONTRACT_FILTER_H_

#include "core/common/time.h"
#include "core/contracts/contract_store.h"
#include "core/pipeline/call_pipeline.h"
#include "core/pipeline/filter.h"

namespace bulrushmount {

class ContractFilter : public CallFilter {
 public:
  // Both references must outlive the object. A contract limits the first byte
  // of an answer; `max_answer_time` limits the complete answer.
  ContractFilter(const ContractStore& contracts,
                 CallPipeline& pipeline,
                 Duration max_answer_time)
      : m_contracts(contracts),
        m_pipeline(pipeline),
        m_max_answer_time(max_answer_time) {}

  FilterVerdict OnCall(TimePoint now, Call& call) override;

 private:
  const ContractStore& m_contracts;
  CallPipeline& m_pipeline;
  Duration m_max_answer_time;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_PIPELINE_CONTRACT_FILTER_H_
