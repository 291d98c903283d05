// Reads and watches the operator's rows on a platform: the document with the
// whole routing configuration, and one row per evacuated availability zone. One
// scan and one watch cover both.

#ifndef BULRUSHMOUNT_CORE_CONTRACTS_OPERATOR_DOCUMENT_READER_H_
#define BULRUSHMOUNT_CORE_CONTRACTS_OPERATOR_DOCUMENT_READER_H_

#include <string>

#include "core/contracts/config_reader.h"
#include "core/routes/route_document.h"
#include "core/store/table_service.h"

namespace bulrushmount {

// Keys of the operator's rows; the platform's adapter knows where they are
// stored.
inline constexpr char kOperatorRowPrefix[] = "operator/";
inline constexpr char kOperatorDocumentRow[] = "operator/document";
// Followed by the zone's name; the value is ignored.
inline constexpr char kEvacuationRowPrefix[] = "operator/evacuation/";

// How long the table holds a watch without a change. Each new watch costs the
// fleet a read; the table's connections use keep-alive probes, so a long wait
// does not hide a dead connection.
inline constexpr Duration kWatchTime = std::chrono::seconds(25);

// A document is represented as one change that replaces the whole
// configuration: `ConfigChange::yaml` holds the operator's text, under the
// workspace kRouteDocument.
class OperatorDocumentReader : public ConfigReader {
 public:
  // `table` and `decoder` must outlive the object, and the object must outlive
  // its requests.
  OperatorDocumentReader(TableService& table,
                         const RouteDocumentDecoder& decoder,
                         Duration watch_time = kWatchTime)
      : m_table(table), m_decoder(decoder), m_watch_time(watch_time) {}

  bool is_reading() const override { return m_is_reading; }
  void Read(Revision since, Callback done) override;
  bool can_watch() const override { return true; }
  void Watch(Revision since, const Callback& done) override;

 private:
  ConfigReadResult ProcessReply(Revision since,
                                const TableReply& reply,
                                bool is_complete);
  ConfigReadResult ProcessRow(Revision since, const Row& row) const;

  TableService& m_table;
  const RouteDocumentDecoder& m_decoder;
  const Duration m_watch_time;
  bool m_is_reading = false;
  // The position up to which the rows' changes have been read. Its version is
  // only meaningful within its epoch.
  TablePosition m_seen;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_CONTRACTS_OPERATOR_DOCUMENT_READER_H_
