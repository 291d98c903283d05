// The requests to the platform's transactional table service and its replies,
// as values: decision modules emit the ones and take the others.

#ifndef BULRUSHMOUNT_CORE_STORE_TABLE_TYPES_H_
#define BULRUSHMOUNT_CORE_STORE_TABLE_TYPES_H_

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

struct Row {
  std::string key;
  // Any bytes.
  std::string value;
  RowVersion version;

  friend bool operator==(const Row&, const Row&) = default;
};

struct TableGet {
  std::string key;
};

// Rows whose key starts with `prefix`, in key order.
struct TableScan {
  std::string prefix;
};

// Answered as soon as the row is newer than `after`, or with no row once
// `wait` has passed. A table may not keep enough of the past to tell: then the
// status is kHistoryLost, and a get tells what is there.
struct TableWatch {
  std::string key;
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
  // Get: the row, or none. Scan: all rows. Watch: the row as changed, or none.
  // Transact with kOk: the rows put, with their new versions and without
  // values. Transact with kConditionFailed: the current rows of the conditions
  // that failed.
  std::vector<Row> rows;
  // Get and watch: the newest version of any row of the table that the reply
  // takes into account; 0 if the table does not tell. A watch goes on from it.
  RowVersion as_of{};
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_STORE_TABLE_TYPES_H_
