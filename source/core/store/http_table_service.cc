// Maps the result of the HTTP exchange to the table's statuses.

#include "core/store/http_table_service.h"

#include <utility>

#include <boost/beast/http/field.hpp>
#include <boost/leaf/handle_errors.hpp>

#include "core/common/logging.h"
#include "core/store/table_codec.h"

namespace bulrushmount {
namespace {

namespace http = boost::beast::http;

TableReply DecodeOrUnknown(const HttpReply& reply) {
  return boost::leaf::try_handle_all(
      [&] { return DecodeTableReply(reply.body); },
      [&] {
        LogLine(LogLevel::kWarning, "table.unreadable_reply")
            .Add("status", reply.status);
        return TableReply{TableStatus::kUnknown, {}};
      });
}

// A plain 503 may come from an intermediary after the table has received the
// request. So a 503 only counts as without effect if the body is the table's
// own reply that nothing was done.
TableReply ToTableReply(const HttpReply& reply) {
  if (reply.delivery == HttpDelivery::kNotSent) {
    return {TableStatus::kUnavailable, {}};
  }
  if (reply.delivery == HttpDelivery::kUnknown) {
    return {TableStatus::kUnknown, {}};
  }
  TableReply decoded = DecodeOrUnknown(reply);
  const bool is_ok = reply.status == 200;
  if (!is_ok && decoded.status != TableStatus::kUnavailable) {
    return {TableStatus::kUnknown, {}};
  }
  return decoded;
}

}  // namespace

void HttpTableService::Submit(TableRequest request, Callback callback) {
  HttpRequest message;
  message.version(11);
  message.method(http::verb::post);
  const std::string_view path = PathOf(request);
  message.target({path.data(), path.size()});
  message.set(http::field::content_type, "application/json");
  message.body() = EncodeTableRequest(request);
  m_client.Send(std::move(message),
                [callback = std::move(callback)](const HttpReply& reply) {
                  callback(Now(), ToTableReply(reply));
                });
}

}  // namespace bulrushmount
