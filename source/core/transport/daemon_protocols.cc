// Part of `daemon_protocols.h`.

#include "core/transport/daemon_protocols.h"

#include "core/store/http_table_service.h"

namespace bulrushmount {

std::unique_ptr<TableService> NativeProtocols::MakeTable(
    boost::asio::io_context& context) {
  HttpClientSettings table;
  table.server = m_settings.platform.table;
  table.timeout = m_settings.platform.timeout;
  return std::make_unique<HttpTableService>(context, table);
}

}  // namespace bulrushmount
