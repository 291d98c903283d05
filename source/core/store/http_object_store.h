// The platform's object store over HTTP/1.1: GET and PUT on /v1/objects/KEY,
// the key in hexadecimal digits.

#ifndef BULRUSHMOUNT_CORE_STORE_HTTP_OBJECT_STORE_H_
#define BULRUSHMOUNT_CORE_STORE_HTTP_OBJECT_STORE_H_

#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>

#include "core/store/http_client.h"
#include "core/store/object_store.h"

namespace bulrushmount {

class HttpObjectStore : public ObjectStore {
 public:
  HttpObjectStore(boost::asio::io_context& io, HttpClientSettings settings)
      : m_client(io, std::move(settings)) {}

  void Get(const std::string& key, Callback callback) override;
  void Put(const std::string& key,
           std::string bytes,
           Callback callback) override;
  void PutIfAbsent(const std::string& key,
                   std::string bytes,
                   Callback callback) override;

 private:
  void Send(HttpRequest request, Callback callback);

  HttpClient m_client;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_STORE_HTTP_OBJECT_STORE_H_
