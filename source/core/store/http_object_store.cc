// Maps HTTP statuses to those of the object store.

#include "core/store/http_object_store.h"

#include <boost/beast/http/field.hpp>
#include <boost/leaf/handle_errors.hpp>

#include "core/store/table_codec.h"

namespace bulrushmount {
namespace {

namespace http = boost::beast::http;

HttpRequest MakeRequest(http::verb method, const std::string& key) {
  HttpRequest request;
  request.version(11);
  request.method(method);
  request.target("/v1/objects/" + ToHex(key));
  return request;
}

// As for the table, a 503 means "without effect" only if the body is the
// store's own reply that nothing was done.
bool ReportsUnavailable(const HttpReply& reply) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<bool> {
        BOOST_LEAF_AUTO(body, DecodeTableReply(reply.body));
        return body.status == TableStatus::kUnavailable;
      },
      [] { return false; });
}

ObjectStatus StatusOf(const HttpReply& reply) {
  if (reply.delivery == HttpDelivery::kNotSent) {
    return ObjectStatus::kUnavailable;
  }
  if (reply.delivery == HttpDelivery::kUnknown) {
    return ObjectStatus::kUnknown;
  }
  switch (reply.status) {
    case 200:
    case 201:
    case 204:
      return ObjectStatus::kOk;
    case 404:
      return ObjectStatus::kNotFound;
    case 412:
      return ObjectStatus::kExists;
    default:
      return ReportsUnavailable(reply) ? ObjectStatus::kUnavailable
                                       : ObjectStatus::kUnknown;
  }
}

}  // namespace

void HttpObjectStore::Get(const std::string& key, Callback callback) {
  Send(MakeRequest(http::verb::get, key), std::move(callback));
}

void HttpObjectStore::Put(const std::string& key,
                          std::string bytes,
                          Callback callback) {
  HttpRequest request = MakeRequest(http::verb::put, key);
  request.body() = std::move(bytes);
  Send(std::move(request), std::move(callback));
}

void HttpObjectStore::PutIfAbsent(const std::string& key,
                                  std::string bytes,
                                  Callback callback) {
  HttpRequest request = MakeRequest(http::verb::put, key);
  request.set(http::field::if_none_match, "*");
  request.body() = std::move(bytes);
  Send(std::move(request), std::move(callback));
}

void HttpObjectStore::Send(HttpRequest request, Callback callback) {
  m_client.Send(std::move(request),
                [callback = std::move(callback)](HttpReply reply) {
                  ObjectReply result;
                  result.status = StatusOf(reply);
                  if (result.status == ObjectStatus::kOk) {
                    result.bytes = std::move(reply.body);
                  }
                  callback(Now(), std::move(result));
                });
}

}  // namespace bulrushmount
