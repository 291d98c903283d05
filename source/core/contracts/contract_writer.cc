// Part of `contract_writer.h`.

#include "core/contracts/contract_writer.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "core/contracts/config_codec.h"
#include "core/contracts/contract_yaml.h"
#include "core/contracts/operator_answers.h"

namespace bulrushmount {

namespace {

// All faults of the request, so that the operator sees them at once.
YamlFaults FaultsOf(const OperatorRequested& request) {
  ContractOrFaults parsed = TryParseContract(request.body);
  if (parsed.contract.has_value() &&
      parsed.contract->workspace != request.workspace) {
    parsed.faults.Add(
        {}, fmt::format("the contract is of workspace '{}', but the request "
                        "names '{}'",
                        parsed.contract->workspace, request.workspace));
  }
  return std::move(parsed.faults);
}

}  // namespace

ContractWriter::ContractWriter(const ContractWriterSettings& settings,
                               TableService& table,
                               RandomSource& random,
                               CommitCallback on_commit)
    : m_settings(settings),
      m_table(table),
      m_random(random),
      m_on_commit(std::move(on_commit)) {}

void ContractWriter::Handle(TimePoint now,
                            const OperatorRequested& request,
                            AnswerCallback answer) {
  switch (request.verb) {
    case OperatorVerb::kWrite:
      return Write(now, request, std::move(answer));
    case OperatorVerb::kWithdraw:
      return Withdraw(now, request, std::move(answer));
    case OperatorVerb::kShow:
      return Show(request, std::move(answer));
    case OperatorVerb::kList:
      return List(request, std::move(answer));
  }
}

void ContractWriter::OnTimer(TimePoint now) {
  // Iterates over a copy, as a change that finishes may start another one
  // through its callback.
  const std::vector<std::shared_ptr<ContractChange>> changes = m_changes;
  for (const std::shared_ptr<ContractChange>& change : changes)
    change->OnTimer(now);
  RemoveFinishedChanges();
}

TimePoint ContractWriter::NextWakeup() const {
  TimePoint next = TimePoint::max();
  for (const std::shared_ptr<ContractChange>& change : m_changes) {
    if (!change->is_done())
      next = std::min(next, change->wakeup().value_or(TimePoint::max()));
  }
  return next;
}

void ContractWriter::Write(TimePoint now,
                           const OperatorRequested& request,
                           AnswerCallback answer) {
  const YamlFaults faults = FaultsOf(request);
  if (!faults.empty())
    return answer(now, AnswerToFaults(request.request, faults));
  StartChange(now,
              ConfigChange{request.workspace, Revision(), ChangeId(), false,
                           request.body},
              request, std::move(answer));
}

void ContractWriter::Withdraw(TimePoint now,
                              const OperatorRequested& request,
                              AnswerCallback answer) {
  StartChange(now,
              ConfigChange{request.workspace, Revision(), ChangeId(), true, ""},
              request, std::move(answer));
}

void ContractWriter::Show(const OperatorRequested& request,
                          AnswerCallback answer) {
  m_table.Submit(TableGet{ContractRowKey(request.workspace)},
                 [id = request.request, answer = std::move(answer)](
                     TimePoint now, const TableReply& reply) {
                   answer(now, AnswerToShow(id, reply));
                 });
}

void ContractWriter::List(const OperatorRequested& request,
                          AnswerCallback answer) {
  m_table.Submit(TableScan{kContractRowPrefix},
                 [id = request.request, answer = std::move(answer)](
                     TimePoint now, const TableReply& reply) {
                   answer(now, AnswerToList(id, reply));
                 });
}

void ContractWriter::StartChange(TimePoint now,
                                 ConfigChange draft,
                                 const OperatorRequested& request,
                                 AnswerCallback answer) {
  RemoveFinishedChanges();
  if (m_changes.size() >= m_settings.max_changes)
    return answer(now, AnswerToOverload(request.request));
  draft.change_id = ChangeId(m_random.NextBits());
  const auto change = std::make_shared<ContractChange>(
      m_settings, m_table, m_random, std::move(draft), request.if_version);
  m_changes.push_back(change);
  change->Start(now, [this, id = request.request, answer = std::move(answer)](
                         TimePoint now, const ChangeOutcome& outcome) {
    if (outcome.status == ChangeStatus::kCommitted)
      m_on_commit(now, outcome.change);
    answer(now, AnswerToChange(id, outcome));
  });
}

void ContractWriter::RemoveFinishedChanges() {
  std::erase_if(m_changes, [](const std::shared_ptr<ContractChange>& change) {
    return change->is_done();
  });
}

}  // namespace bulrushmount
