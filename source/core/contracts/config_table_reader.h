// Reads from the table what leads on from a configuration in force, as one
// consistent batch, although the table hands out one row at a time.

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

// Contracts that are read one by one; for more of them one scan is made, so
// that a fleet's reads stay bounded whatever has changed.
inline constexpr std::size_t kMaxSingleReads = 2;

// When nothing is newer it costs one read; else one for each changed contract
// more, or a scan where many changed. A change that is committed in the middle
// is noticed by its revision, and the read goes on to that one.
class ConfigTableReader : public ConfigReader {
 public:
  // `table` must outlive the object, and the object its requests.
  explicit ConfigTableReader(TableService& table) : m_table(table) {}

  ConfigTableReader(const ConfigTableReader&) = delete;
  ConfigTableReader& operator=(const ConfigTableReader&) = delete;

  bool is_reading() const override { return static_cast<bool>(m_done); }
  void Read(Revision since, Callback done) override;

 private:
  void ReadRevision();
  void OnRevisionRow(TimePoint now, const TableReply& reply);
  // What the log says has changed and is not in m_rows yet; empty if the log
  // does not reach back far enough.
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
  // m_rows holds every contract whose last change lies in (m_since,
  // m_complete_to], and perhaps newer ones.
  Revision m_complete_to;
  std::unordered_map<WorkspaceName, ConfigChange> m_rows;
  // As read at the start of the round; all rows of the round are read later.
  RevisionRecord m_record;
  std::vector<WorkspaceName> m_to_read;
  std::uint32_t m_rounds = 0;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_CONTRACTS_CONFIG_TABLE_READER_H_
