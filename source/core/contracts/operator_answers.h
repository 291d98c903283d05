// Builds the answers to operators: HTTP status and body.

#ifndef BULRUSHMOUNT_CORE_CONTRACTS_OPERATOR_ANSWERS_H_
#define BULRUSHMOUNT_CORE_CONTRACTS_OPERATOR_ANSWERS_H_

#include "core/contracts/contract_change.h"
#include "core/node_logic/actions.h"
#include "core/settings/yaml_reader.h"
#include "core/store/table_types.h"

namespace bulrushmount {

AnswerOperator AnswerToFaults(OperatorRequestId request,
                              const YamlFaults& faults);
AnswerOperator AnswerToChange(OperatorRequestId request,
                              const ChangeOutcome& outcome);
AnswerOperator AnswerToShow(OperatorRequestId request, const TableReply& reply);
AnswerOperator AnswerToList(OperatorRequestId request, const TableReply& reply);
// Answer if too many changes are in progress.
AnswerOperator AnswerToOverload(OperatorRequestId request);

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_CONTRACTS_OPERATOR_ANSWERS_H_
