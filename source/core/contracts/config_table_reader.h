// Reads the changes after the configuration in force from the table as one
// consistent batch, although the table returns one row at a time.

#ifndef BULRUSHMOUNT_CORE_CONTRACTS_CONFIG_TABLE_READER_H_
#define BULRUSHMOUNT_CORE_CONTRACTS_CONFIG_TABLE_READER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/common/time.h"
#include "core/contracts/config_reader.h"
#include "core/contracts/config_types.h"
#include "core/store/table_service.h"

namespace bulrushmount {

// Up to this many changed contracts are read one by one; for more, one scan is
// made. This bounds the fleet's reads whatever has changed.
inline constexpr std::size_t kMaxSingleReads = 2;

// Costs one read if nothing has changed; otherwise one further read per changed
// contract, or one scan if many have changed. A change that is committed during
// the read is detected by its revision, and the read continues up to that
// revision.
class ConfigTableReader : public ConfigReader {
 public:
  // `table` must outlive the object, and the object must outlive its requests.
  explicit ConfigTableReader(TableService& table) : m_table(table) {}

  ConfigTableReader(const ConfigTableReader&) = delete;
  ConfigTableReader& operator=(const ConfigTableReader&) = delete;

  bool is_reading() const override { return static_cast<bool>(m_done); }
  void Read(Revision since, Callback done) override;

 private:
  void ReadRevision();
  void OnRevisionRow(TimePoint now, const TableReply& reply);
  // Workspaces that have changed according to the log and are not in m_rows
  // yet; empty if the log does not reach back far enough.
  std::optional<std::vector<WorkspaceName>> MissingRows() const;
  void ScanRows();
  void ReadNextRow(TimePoint now);
  void OnRows(TimePoint now, const TableReply& reply);
  void FinishRound(TimePoint now);
  ConfigBatch MakeBatch() const;
  void Finish(TimePoint now, ConfigReadResult result);

  TableService& m_table;
  Callback m_done;
  Revision m_since;
  // m_rows holds every contract whose last change is in (m_since,
  // m_complete_to], and possibly newer ones.
  Revision m_complete_to;
  std::unordered_map<WorkspaceName, ConfigChange> m_rows;
  // Read at the start of the round, before all rows of the round.
  RevisionRecord m_record;
  std::vector<WorkspaceName> m_to_read;
  std::uint32_t m_rounds = 0;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_CONTRACTS_CONFIG_TABLE_READER_H_
