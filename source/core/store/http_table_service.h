// The platform's table service over HTTP/1.1 and JSON.

#ifndef BULRUSHMOUNT_CORE_STORE_HTTP_TABLE_SERVICE_H_
#define BULRUSHMOUNT_CORE_STORE_HTTP_TABLE_SERVICE_H_

#include <boost/asio/io_context.hpp>

#include "core/store/http_client.h"
#include "core/store/table_service.h"

namespace bulrushmount {

class HttpTableService : public TableService {
 public:
  HttpTableService(boost::asio::io_context& io, HttpClientSettings settings)
      : m_client(io, std::move(settings)) {}

  // A watch is not supported by this protocol and is answered with kHistoryLost
  // at once. kUnavailable: no byte was sent, or the service reported that it
  // did nothing. kUnknown: time-out, broken connection or unreadable response
  // after that.
  void Submit(TableRequest request, Callback callback) override;

 private:
  HttpClient m_client;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_STORE_HTTP_TABLE_SERVICE_H_
