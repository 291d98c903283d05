// Handles operators' requests about contracts against the table: write, show,
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

// HTTP statuses: 200 done; 400 faults in the text (all are listed); 404 no such
// contract; 412 version mismatch (with the current version); 503 store
// unavailable or contended, certainly not written; 504 outcome unknown, read
// back with show. Bodies are JSON, except that show returns the contract as it
// was written.
class ContractWriter {
 public:
  using AnswerCallback = std::function<void(TimePoint, AnswerOperator)>;
  // Called when a change written through this node is committed, before its
  // answer.
  using CommitCallback = std::function<void(TimePoint, const ConfigChange&)>;

  // `table` and `random` must outlive the object, and the object must outlive
  // its requests.
  ContractWriter(const ContractWriterSettings& settings,
                 TableService& table,
                 RandomSource& random,
                 CommitCallback on_commit);

  ContractWriter(const ContractWriter&) = delete;
  ContractWriter& operator=(const ContractWriter&) = delete;

  // Calls `answer` exactly once, possibly before it returns.
  void Handle(TimePoint now,
              const OperatorRequested& request,
              AnswerCallback answer);

  void OnTimer(TimePoint now);
  // TimePoint::max() if no timer is pending.
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
  void RemoveFinishedChanges();

  const ContractWriterSettings m_settings;
  TableService& m_table;
  RandomSource& m_random;
  const CommitCallback m_on_commit;
  std::vector<std::shared_ptr<ContractChange>> m_changes;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_CONTRACTS_CONTRACT_WRITER_H_
