// Looks up the terms of the workspace's contract for a call and sets its
// deadline.

#ifndef BULRUSHMOUNT_CORE_PIPELINE_CONTRACT_FILTER_H_
#define BULRUSHMOUNT_CORE_PIPELINE_CONTRACT_FILTER_H_

#include "core/contracts/contract_store.h"
#include "core/pipeline/call_pipeline.h"
#include "core/pipeline/filter.h"

namespace bulrushmount {

class ContractFilter : public CallFilter {
 public:
  // Both must outlive the object.
  ContractFilter(const ContractStore& contracts, CallPipeline& pipeline)
      : m_contracts(contracts), m_pipeline(pipeline) {}

  FilterVerdict OnCall(TimePoint now, Call& call) override;

 private:
  const ContractStore& m_contracts;
  CallPipeline& m_pipeline;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_PIPELINE_CONTRACT_FILTER_H_
