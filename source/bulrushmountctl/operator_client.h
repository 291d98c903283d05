// HTTP client for a node's operator address; each request uses a connection of
// its own.

#ifndef BULRUSHMOUNT_BULRUSHMOUNTCTL_OPERATOR_CLIENT_H_
#define BULRUSHMOUNT_BULRUSHMOUNTCTL_OPERATOR_CLIENT_H_

#include <string>
#include <variant>

#include "core/common/endpoint.h"
#include "core/common/time.h"
#include "core/store/table_types.h"

namespace bulrushmount {

struct OperatorRequest {
  std::string method;
  std::string target;
  std::string body;
  // Sent as `If-Match`; kNoRow omits the header.
  RowVersion if_version;
};

struct OperatorReply {
  int status = 0;
  std::string body;
  // Parsed from `ETag`; kNoRow if the header is missing or invalid.
  RowVersion version;
};

struct OperatorError {
  // False if no connection was made, so the node cannot have received any part
  // of the request.
  bool is_sent = false;
  std::string message;
};

class OperatorClient {
 public:
  // A non-empty `token` is sent as bearer token. `timeout` applies to each of
  // connecting, writing and reading.
  OperatorClient(Endpoint node, std::string token, Duration timeout);

  std::variant<OperatorReply, OperatorError> Send(
      const OperatorRequest& request) const;

 private:
  const Endpoint m_node;
  const std::string m_token;
  const Duration m_timeout;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_BULRUSHMOUNTCTL_OPERATOR_CLIENT_H_
