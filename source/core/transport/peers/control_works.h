// Questions of one node to another about itself, over node streams: answered
// here, so that they touch neither the decision logic nor the target.

#ifndef BULRUSHMOUNT_CORE_TRANSPORT_PEERS_CONTROL_WORKS_H_
#define BULRUSHMOUNT_CORE_TRANSPORT_PEERS_CONTROL_WORKS_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "core/transport/peers/node_stream.h"

namespace bulrushmount {

// The question for a node's part of the burn report; its path and, as what no
// caller's request can carry, `WorkRequest::control`.
inline constexpr char kBurnControl[] = "burn";

WorkRequest MakeControlRequest(const std::string& control);

// Stands before the acceptor of works and takes the questions out.
class ControlWorks : public WorkAcceptor {
 public:
  // The answer's body.
  using Answerer = std::function<std::string()>;

  // `works` must outlive the object.
  explicit ControlWorks(WorkAcceptor& works) : m_works(works) {}

  void Add(const std::string& control, Answerer answerer);

  // A question that this release does not know is refused.
  void OnWork(std::shared_ptr<WorkStream> stream) override;

 private:
  WorkAcceptor& m_works;
  std::map<std::string, Answerer> m_answerers;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TRANSPORT_PEERS_CONTROL_WORKS_H_
