// One operator's change on its way into the table, from its check against the
// current version to a certain outcome.

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
  // From the request until a change that is not resolved is given up.
  Duration resolve_limit = std::chrono::seconds(5);
  // Mean time between two tries to resolve a lost answer.
  Duration retry_delay = std::chrono::milliseconds(150);
  // Changes that one node has in progress; more are refused.
  std::size_t max_changes = 64;
};

enum class ChangeStatus : std::uint8_t {
  kCommitted,
  // The contract has another version than the operator believed.
  kVersionMismatch,
  // There is no contract to withdraw.
  kNotFound,
  // The store is down or contended; certainly not written.
  kNotWritten,
  // The answer was lost, and reading back did not tell in time.
  kUnknown,
};

// For logs.
std::string_view ToToken(ChangeStatus status);

struct ChangeOutcome {
  ChangeStatus status = ChangeStatus::kUnknown;
  // With kCommitted the version written, or kNoRow if another change came on
  // top of it. With kVersionMismatch the current one, kNoRow if there is none.
  RowVersion version;
  // With kCommitted: what was written, with its revision.
  ConfigChange change;
};

// The transaction writes the contract's row and the revision row under the
// versions that both were read with. So at most one submission of it can take
// effect, however often it is sent and however late it arrives: that is what
// makes it safe to send it again after a lost answer. Once a condition has
// failed, it can never take effect any more.
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
  // Empty while a reply of the table is awaited.
  std::optional<TimePoint> wakeup() const { return m_wakeup; }
  bool is_done() const { return m_is_done; }

 private:
  // What the last reads found.
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
  // Whether the earlier submission is known to have had no effect, or the
  // outcome has been told.
  bool ResolveEarlier(TimePoint now);
  bool IsVersionRight(TimePoint now);
  void BuildTransaction();
  void SubmitTransaction();
  void OnTransactionReply(TimePoint now, const TableReply& reply);

  void OnReadFailed(TimePoint now);
  // Goes on with `step` after a delay, or gives up past the limit.
  void RetryLater(TimePoint now, void (ContractChange::*step)());
  void FinishCommitted(TimePoint now, RowVersion version);
  void Finish(TimePoint now, ChangeStatus status, RowVersion version);

  const ContractWriterSettings m_settings;
  TableService& m_table;
  RandomSource& m_random;
  // Its revision is that of the newest transaction built.
  ConfigChange m_change;
  const RowVersion m_if_version;
  Callback m_done;
  TimePoint m_limit;

  CurrentRows m_rows;
  TableTransact m_transaction;
  // A submission of m_transaction had no clear answer, so it may have taken
  // effect or may still do so. While true, no outcome but kCommitted and
  // kUnknown may be told.
  bool m_is_unresolved = false;

  std::optional<TimePoint> m_wakeup;
  void (ContractChange::*m_next_step)() = nullptr;
  bool m_is_done = false;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_CONTRACTS_CONTRACT_CHANGE_H_
