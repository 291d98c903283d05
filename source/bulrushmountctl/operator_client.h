// One HTTP exchange with a node's operator address.

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
  // Sent as `If-Match`; kNoRow for none.
  RowVersion if_version;
};

struct OperatorReply {
  int status = 0;
  std::string body;
  // Of `ETag`; kNoRow without one.
  RowVersion version;
};

struct OperatorError {
  // False: no connection was made, so the node knows nothing of the request.
  bool is_sent = false;
  std::string message;
};

class OperatorClient {
 public:
  // `token` is sent as bearer token unless empty.
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
