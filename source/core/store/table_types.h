// The requests to the platform's transactional table service and its replies,
// as values: decision modules emit the ones and take the others.

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

// Set by the table at each write of the row and never used twice for it; 0
// stands for "no such row".
using RowVersion = StrongType<struct RowVersionTag, std::uint64_t>;
inline constexpr RowVersion kNoRow{0};

// Rises each time the table is restored from an older copy of itself. Versions
// are then given out again, so those of different epochs do not compare. 0 if
// the table has never been restored, or does not report it.
using TableEpoch = StrongType<struct TableEpochTag, std::uint64_t>;

// A moment in the table's history, ordered by epoch first.
struct TablePosition {
  TableEpoch epoch;
  RowVersion version;

  // clang-tidy 14 takes the defaulted comparison with 0 for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const TablePosition&, const TablePosition&) = default;
};

struct Row {
  std::string key;
  // Any bytes.
  std::string value;
  // Of a removed row: of its removal.
  RowVersion version;
  // Only in answers to watches.
  bool is_removed = false;

  friend bool operator==(const Row&, const Row&) = default;
};

struct TableGet {
  std::string key;
};

// Rows whose key starts with `prefix`, in key order.
struct TableScan {
  std::string prefix;
};

// Answered with the changes of rows whose key starts with `prefix` as soon as
// one is newer than `after`, or with none once `wait` has passed. kHistoryLost
// if the table no longer has the changes since `after`; a scan then shows the
// current rows.
struct TableWatch {
  std::string prefix;
  RowVersion after;
  Duration wait{};
};

// The row has this version (kNoRow: does not exist).
struct RowCondition {
  std::string key;
  RowVersion version;
};

struct RowPut {
  std::string key;
  std::string value;
};

// All conditions hold and all writes take effect at one moment, or none does.
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
  // No reply, or one that says nothing: a transaction may or may not have
  // taken effect, and only reading back tells.
  kUnknown,
  // Certainly without effect (the connection was refused).
  kUnavailable,
  // Only of a watch: read the row again.
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
  // Reads and watches: the newest version of any row of the table that the
  // reply takes into account; 0 if not reported. A watch continues from it.
  RowVersion as_of{};
  // In which the table answered; 0 without an answer.
  TableEpoch epoch{};
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_STORE_TABLE_TYPES_H_
