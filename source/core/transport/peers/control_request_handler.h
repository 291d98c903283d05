// Requests between nodes for information about the node itself, over node
// streams. Answered here, without involving the decision logic or the target.

#ifndef BULRUSHMOUNT_CORE_TRANSPORT_PEERS_CONTROL_REQUEST_HANDLER_H_
#define BULRUSHMOUNT_CORE_TRANSPORT_PEERS_CONTROL_REQUEST_HANDLER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "core/transport/peers/node_stream.h"

namespace bulrushmount {

// The name of the request for a node's part of the burn report. Used in the
// path and in `WorkRequest::control`, which no caller's request can set.
inline constexpr char kBurnControl[] = "burn";
// The same for the use of the limits of workspaces.
inline constexpr char kWorkspacesControl[] = "workspaces";

WorkRequest MakeControlRequest(const std::string& control);

// Answers control requests and forwards all other requests to the next
// acceptor.
class ControlRequestHandler : public WorkAcceptor {
 public:
  // Returns the body of the answer.
  using BodyProvider = std::function<std::string()>;

  // `works` must outlive the object.
  explicit ControlRequestHandler(WorkAcceptor& works) : m_works(works) {}

  void Add(const std::string& control, BodyProvider provider);

  // Refuses control requests that this release does not know.
  void OnWork(std::shared_ptr<WorkStream> stream) override;

 private:
  WorkAcceptor& m_works;
  std::map<std::string, BodyProvider> m_providers;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TRANSPORT_PEERS_CONTROL_REQUEST_HANDLER_H_
