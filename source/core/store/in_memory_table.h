// In-memory implementation of the platform's table. The fake of the unit tests
// and the platform stand-in share it, so that both behave alike.

#ifndef BULRUSHMOUNT_CORE_STORE_IN_MEMORY_TABLE_H_
#define BULRUSHMOUNT_CORE_STORE_IN_MEMORY_TABLE_H_

#include <cstdint>
#include <map>
#include <string>

#include "core/store/table_types.h"

namespace bulrushmount {

class InMemoryTable {
 public:
  // Applies `request` immediately and atomically. Never answers kUnknown or
  // kUnavailable. A key that is both put and deleted ends up deleted; of two
  // puts of one key the later wins.
  TableReply Apply(const TableRequest& request);

  // Replaces all rows and versions by those of an older copy and starts a new
  // epoch.
  void RestoreFrom(const InMemoryTable& copy);

  TableEpoch epoch() const { return m_epoch; }

 private:
  struct StoredRow {
    std::string value;
    RowVersion version;
  };
  using Rows = std::map<std::string, StoredRow>;

  TableReply Answer(const TableRequest& request);
  TableReply Get(const TableGet& get) const;
  TableReply Scan(const TableScan& scan) const;
  // Answers as if the wait had already passed.
  TableReply Watch(const TableWatch& watch) const;
  TableReply Transact(const TableTransact& transact);
  // Returns the current rows of the failed conditions; no row for a key that
  // does not exist. `has_failed` is set if any condition failed.
  TableReply CheckConditions(const TableTransact& transact,
                             bool& has_failed) const;

  Rows m_rows;
  // Shared by all rows and never decreases, so that a row which is deleted and
  // written again never gets an earlier version.
  std::uint64_t m_last_version = 0;
  TableEpoch m_epoch;
  // The version of each removal, used by watches.
  std::map<std::string, RowVersion> m_removed;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_STORE_IN_MEMORY_TABLE_H_
