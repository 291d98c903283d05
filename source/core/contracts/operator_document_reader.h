// Follows the one document in which an operator of the platform keeps the whole
// routing configuration.

#ifndef BULRUSHMOUNT_CORE_CONTRACTS_OPERATOR_DOCUMENT_READER_H_
#define BULRUSHMOUNT_CORE_CONTRACTS_OPERATOR_DOCUMENT_READER_H_

#include <string>

#include "core/contracts/config_reader.h"
#include "core/routes/route_document.h"
#include "core/store/table_service.h"

namespace bulrushmount {

// The row of the document; the adapter knows where the platform keeps it.
inline constexpr char kOperatorDocumentRow[] = "operator/document";

// How long a watch waits at the table. Each further one costs the fleet a read;
// the table's connections have keep-alive probes, so that a long wait does not
// hide a dead one.
inline constexpr Duration kWatchTime = std::chrono::seconds(25);

// A document is one change that replaces all: `ConfigChange::yaml` holds its
// text as the operator wrote it, under the workspace kRouteDocument.
class OperatorDocumentReader : public ConfigReader {
 public:
  // Both must outlive the object, and the object its requests.
  OperatorDocumentReader(TableService& table,
                         const RouteDocumentDecoder& decoder)
      : m_table(table), m_decoder(decoder) {}

  bool is_reading() const override { return m_is_reading; }
  void Read(Revision since, Callback done) override;
  bool can_watch() const override { return true; }
  void Watch(Revision since, const Callback& done) override;

 private:
  ConfigReadResult Take(Revision since, const TableReply& reply);
  ConfigReadResult TakeRow(Revision since, const Row& row) const;

  TableService& m_table;
  const RouteDocumentDecoder& m_decoder;
  bool m_is_reading = false;
  // Up to where the row's changes have been seen.
  RowVersion m_seen;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_CONTRACTS_OPERATOR_DOCUMENT_READER_H_
