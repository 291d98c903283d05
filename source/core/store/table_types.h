// Requests to the platform's transactional table service and its replies, as
// value types that decision modules emit and receive.

#ifndef BULRUSHMOUNT_CORE_STORE_TABLE_TYPES_H_
#define BULRUSHMOUNT_CORE_STORE_TABLE_TYPES_H_

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/common/strong_type.h"
#include "core/common/time.h"

namespace bulrushmount {

// Assigned by the table at each write of a row and never reused for it; 0 means
// "no such row".
using RowVersion = StrongType<struct RowVersionTag, std::uint64_t>;
inline constexpr RowVersion kNoRow{0};

// Increases each time the table is restored from an older copy of itself.
// Versions are then assigned again, so versions of different epochs cannot be
// compared. 0 if the table has never been restored or does not report epochs.
using TableEpoch = StrongType<struct TableEpochTag, std::uint64_t>;

// A position in the table's history, ordered by epoch first.
struct TablePosition {
  TableEpoch epoch;
  RowVersion version;

  // clang-tidy 14 takes the defaulted comparison with 0 for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const TablePosition&, const TablePosition&) = default;
};

struct Row {
  std::string key;
  // May contain any bytes.
  std::string value;
  // For a removed row the version of its removal.
  RowVersion version;
  // Only set in replies to watches.
  bool is_removed = false;

  friend bool operator==(const Row&, const Row&) = default;
};

struct TableGet {
  std::string key;
};

// Reads the rows whose key starts with `prefix`, in key order.
struct TableScan {
  std::string prefix;
};

// Waits for changes of rows whose key starts with `prefix`. Answered as soon as
// a change is newer than `after`, or without rows once `wait` has passed.
// kHistoryLost means that the table no longer has the changes since `after`; a
// scan then returns the current rows.
struct TableWatch {
  std::string prefix;
  RowVersion after;
  Duration wait{};
};

// Requires that the row has this version (kNoRow: does not exist).
struct RowCondition {
  std::string key;
  RowVersion version;
};

struct RowPut {
  std::string key;
  std::string value;
};

// Atomic transaction: if all conditions hold, all writes take effect at once;
// otherwise none does.
struct TableTransact {
  std::vector<RowCondition> conditions;
  std::vector<RowPut> puts;
  std::vector<std::string> deletes;
};

using TableRequest =
    std::variant<TableGet, TableScan, TableWatch, TableTransact>;

enum class TableStatus : std::uint8_t {
  kOk,
  // A condition did not hold; nothing was written.
  kConditionFailed,
  // No reply, or an inconclusive one: a transaction may or may not have taken
  // effect, and only reading back shows which.
  kUnknown,
  // Certainly had no effect (the connection was refused).
  kUnavailable,
  // Only for a watch: read the rows again.
  kHistoryLost,
};

struct TableReply {
  TableStatus status = TableStatus::kUnknown;
  // Get: the row, or none. Scan: all rows. Watch: the changed and removed rows
  // in the order of their changes.
  // Transact with kOk: the rows put, with their new versions and without
  // values. Transact with kConditionFailed: the current rows of the conditions
  // that failed.
  std::vector<Row> rows;
  // For reads and watches: the newest version of any row of the table that the
  // reply reflects; 0 if not reported. A watch continues from it.
  RowVersion as_of{};
  // The epoch in which the table replied; 0 without a reply.
  TableEpoch epoch{};
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_STORE_TABLE_TYPES_H_
