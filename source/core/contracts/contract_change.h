// Writes one operator's change to the table: checks it against the current
// version, submits it and resolves lost responses until the outcome is certain.

#ifndef BULRUSHMOUNT_CORE_CONTRACTS_CONTRACT_CHANGE_H_
#define BULRUSHMOUNT_CORE_CONTRACTS_CONTRACT_CHANGE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "core/common/random.h"
#include "core/common/time.h"
#include "core/contracts/config_types.h"
#include "core/store/table_service.h"

namespace bulrushmount {

struct ContractWriterSettings {
  // Time from the request until a change without a certain outcome is given up.
  Duration resolve_limit = std::chrono::seconds(5);
  // Mean time between two attempts to resolve a lost response.
  Duration retry_delay = std::chrono::milliseconds(150);
  // Maximum number of changes in progress on one node; further ones are
  // refused.
  std::size_t max_changes = 64;
};

enum class ChangeStatus : std::uint8_t {
  kCommitted,
  // The contract has another version than the operator's request expects.
  kVersionMismatch,
  // There is no contract to withdraw.
  kNotFound,
  // The store is unavailable or contended; certainly not written.
  kNotWritten,
  // The response was lost, and reading back did not determine the outcome in
  // time.
  kUnknown,
};

// The status's name in logs.
std::string_view ToToken(ChangeStatus status);

struct ChangeOutcome {
  ChangeStatus status = ChangeStatus::kUnknown;
  // With kCommitted the version written, or kNoRow if a later change has
  // already replaced it. With kVersionMismatch the current version, kNoRow if
  // there is none.
  RowVersion version;
  // With kCommitted: the written change, including its revision.
  ConfigChange change;
};

// The transaction writes the contract's row and the revision row on condition
// that both still have the versions that were read. So at most one submission
// of it can take effect, however often it is sent and however late it arrives,
// and it can safely be sent again after a lost response. Once a condition has
// failed, the transaction can never take effect.
class ContractChange : public std::enable_shared_from_this<ContractChange> {
 public:
  using Callback = std::function<void(TimePoint now, ChangeOutcome outcome)>;

  // `draft` has no revision yet. `table` and `random` must outlive the object
  // and all its requests.
  ContractChange(const ContractWriterSettings& settings,
                 TableService& table,
                 RandomSource& random,
                 ConfigChange draft,
                 RowVersion if_version);

  // Calls `done` exactly once.
  void Start(TimePoint now, Callback done);

  void OnTimer(TimePoint now);
  // Empty while waiting for a reply of the table.
  std::optional<TimePoint> wakeup() const { return m_wakeup; }
  bool is_done() const { return m_is_done; }

 private:
  // The rows as last read.
  struct CurrentRows {
    // Empty if there is no row.
    std::optional<ConfigChange> contract;
    RowVersion contract_version;
    RevisionRecord record;
    RowVersion record_version;
  };

  void ReadRows();
  void OnContractRow(TimePoint now, const TableReply& reply);
  void OnRevisionRow(TimePoint now, const TableReply& reply);
  void Decide(TimePoint now);
  // Returns true if an earlier submission certainly had no effect; otherwise
  // finishes the change and returns false.
  bool ResolveEarlier(TimePoint now);
  bool CheckVersion(TimePoint now);
  void BuildTransaction();
  void SubmitTransaction();
  void OnTransactionReply(TimePoint now, const TableReply& reply);

  void OnReadFailed(TimePoint now);
  // Continues with `step` after a delay, or gives up past the limit.
  void RetryLater(TimePoint now, void (ContractChange::*step)());
  void FinishCommitted(TimePoint now, RowVersion version);
  void Finish(TimePoint now, ChangeStatus status, RowVersion version);

  const ContractWriterSettings m_settings;
  TableService& m_table;
  RandomSource& m_random;
  // Its revision is the one of the transaction built last.
  ConfigChange m_change;
  const RowVersion m_if_version;
  Callback m_done;
  TimePoint m_limit;

  CurrentRows m_rows;
  TableTransact m_transaction;
  // A submission of m_transaction had no clear response, so it may have taken
  // effect or may still do so. While true, only kCommitted and kUnknown may be
  // reported.
  bool m_is_unresolved = false;

  std::optional<TimePoint> m_wakeup;
  void (ContractChange::*m_next_step)() = nullptr;
  bool m_is_done = false;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_CONTRACTS_CONTRACT_CHANGE_H_
