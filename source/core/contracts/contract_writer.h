// Operators' requests about contracts, answered from the table: write, show,
// list and withdraw.

#ifndef BULRUSHMOUNT_CORE_CONTRACTS_CONTRACT_WRITER_H_
#define BULRUSHMOUNT_CORE_CONTRACTS_CONTRACT_WRITER_H_

#include <functional>
#include <memory>
#include <vector>

#include "core/common/random.h"
#include "core/common/time.h"
#include "core/contracts/contract_change.h"
#include "core/node_logic/actions.h"
#include "core/node_logic/events.h"
#include "core/store/table_service.h"

namespace bulrushmount {

// HTTP statuses: 200 done, 400 faults in the text (all of them), 404 no such
// contract, 412 another version (with the current one), 503 store down or
// contended and certainly not written, 504 unknown: read back with show.
// Bodies are JSON, but for the contract that show returns as it was written.
class ContractWriter {
 public:
  using AnswerCallback = std::function<void(TimePoint, AnswerOperator)>;
  // A change of this node has been committed; called before its answer.
  using CommitCallback = std::function<void(TimePoint, const ConfigChange&)>;

  // `table` and `random` must outlive the object, and it must outlive its
  // requests.
  ContractWriter(const ContractWriterSettings& settings,
                 TableService& table,
                 RandomSource& random,
                 CommitCallback on_commit);

  ContractWriter(const ContractWriter&) = delete;
  ContractWriter& operator=(const ContractWriter&) = delete;

  // Calls `answer` exactly once, perhaps before it returns.
  void Handle(TimePoint now,
              const OperatorRequested& request,
              AnswerCallback answer);

  void OnTimer(TimePoint now);
  // TimePoint::max() if nothing waits for a time.
  TimePoint NextWakeup() const;

 private:
  void Write(TimePoint now,
             const OperatorRequested& request,
             AnswerCallback answer);
  void Withdraw(TimePoint now,
                const OperatorRequested& request,
                AnswerCallback answer);
  void Show(const OperatorRequested& request, AnswerCallback answer);
  void List(const OperatorRequested& request, AnswerCallback answer);
  void StartChange(TimePoint now,
                   ConfigChange draft,
                   const OperatorRequested& request,
                   AnswerCallback answer);
  void ForgetDone();

  const ContractWriterSettings m_settings;
  TableService& m_table;
  RandomSource& m_random;
  const CommitCallback m_on_commit;
  std::vector<std::shared_ptr<ContractChange>> m_changes;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_CONTRACTS_CONTRACT_WRITER_H_
