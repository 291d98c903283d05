// The interfaces of a request between two nodes, for the entry and for the
// owner. Implemented over sockets (node_stream_client, node_stream_server) and
// within a process (local_node_stream).

#ifndef BULRUSHMOUNT_CORE_TRANSPORT_PEERS_NODE_STREAM_H_
#define BULRUSHMOUNT_CORE_TRANSPORT_PEERS_NODE_STREAM_H_

#include <memory>
#include <string>

#include "core/common/outcome.h"
#include "core/node_logic/call_types.h"
#include "core/transport/body_stream.h"
#include "core/transport/http1_head.h"

namespace bulrushmount {

// A request from an entry to an owner: the call's properties for the owner, and
// the header fields and body framing for the target.
struct WorkRequest {
  WorkHead work;
  HeaderList headers;
  BodyShape shape;
  // If not empty, this is a request to the node itself; see
  // control_request_handler.h.
  std::string control{};
};

// Receives the result of one attempt. Exactly one of OnRefused, OnAnswer,
// OnFailed and OnLost is called, unless the attempt is cancelled first.
class AttemptListener {
 public:
  virtual ~AttemptListener() = default;

  // The owner refused the request; it was certainly not run.
  virtual void OnRefused(Reason reason, const LoadReport& load) = 0;

  // An error in `body` means that the answer is incomplete.
  virtual void OnAnswer(AnswerHead head,
                        const LoadReport& load,
                        std::shared_ptr<BodySource> body) = 0;

  // The owner sent the request to its target and got no complete answer.
  virtual void OnFailed(Reason reason, const LoadReport& load) = 0;

  virtual void OnLost(bool is_certainly_not_run, Reason reason) = 0;

  // The owner's node has stopped responding. Called at most once, before any of
  // the others.
  virtual void OnSilent() {}
};

// The entry's end of a request.
class AttemptStream {
 public:
  virtual ~AttemptStream() = default;

  // The sink for the request body.
  virtual std::shared_ptr<BodySink> request_body() = 0;

  // Cancels the attempt; the listener is not called any more.
  virtual void Cancel() = 0;
};

// Notified at most once, when the entry cancels or is lost.
class WorkListener {
 public:
  virtual ~WorkListener() = default;
  virtual void OnCancelled() = 0;
};

// The owner's end of a request. Exactly one of Refuse, Fail, Answer and Reset
// is called to end it.
class WorkStream {
 public:
  virtual ~WorkStream() = default;

  virtual const WorkRequest& request() const = 0;
  virtual std::shared_ptr<BodySource> request_body() = 0;

  // `listener` must outlive the stream or be removed with nullptr.
  virtual void SetListener(WorkListener* listener) = 0;

  virtual void Refuse(Reason reason, const LoadReport& load) = 0;
  virtual void Fail(Reason reason, const LoadReport& load) = 0;

  // Starts the answer and returns the sink of its body; aborting the sink marks
  // the answer as incomplete.
  virtual std::shared_ptr<BodySink> Answer(AnswerHead head,
                                           const LoadReport& load) = 0;

  // Ends the request without a verdict.
  virtual void Reset() = 0;
};

// Accepts the requests that reach this node as an owner.
class WorkAcceptor {
 public:
  virtual ~WorkAcceptor() = default;
  virtual void OnWork(std::shared_ptr<WorkStream> stream) = 0;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TRANSPORT_PEERS_NODE_STREAM_H_
