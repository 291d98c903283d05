// A request between two nodes, as the entry and the owner see it, whether it
// travels over a socket (node_stream_client, node_stream_server) or stays in
// this process (local_node_stream).

#ifndef BULRUSHMOUNT_CORE_TRANSPORT_PEERS_NODE_STREAM_H_
#define BULRUSHMOUNT_CORE_TRANSPORT_PEERS_NODE_STREAM_H_

#include <memory>
#include <string>

#include "core/common/outcome.h"
#include "core/node_logic/call_types.h"
#include "core/transport/body_stream.h"
#include "core/transport/http1_head.h"

namespace bulrushmount {

// What an entry sends to an owner. The method and the target in both heads
// are the same; `request` adds what the target needs.
struct WorkRequest {
  WorkHead work;
  HeaderList headers;
  BodyShape shape;
  // Not empty: a question to the node itself, see control_works.h.
  std::string control{};
};

// What an owner says of one request. Of OnRefused, OnAnswer, OnFailed and
// OnLost exactly one comes, unless the attempt is cancelled first.
class AttemptListener {
 public:
  virtual ~AttemptListener() = default;

  // Certainly not run.
  virtual void OnRefused(Reason reason, const LoadReport& load) = 0;

  // A break in `body` means that the answer is not whole.
  virtual void OnAnswer(AnswerHead head,
                        const LoadReport& load,
                        std::shared_ptr<BodySource> body) = 0;

  // The owner handed it over and has no whole answer.
  virtual void OnFailed(Reason reason, const LoadReport& load) = 0;

  virtual void OnLost(bool is_certainly_not_run, Reason reason) = 0;

  // Nothing is heard from the owner's node. Told at most once, before any of
  // the others.
  virtual void OnSilent() {}
};

// The entry's end.
class AttemptStream {
 public:
  virtual ~AttemptStream() = default;

  // Where the request's body goes.
  virtual std::shared_ptr<BodySink> request_body() = 0;

  // Nothing is told to the listener any more.
  virtual void Cancel() = 0;
};

// Told when the entry cancels or is lost, at most once.
class WorkListener {
 public:
  virtual ~WorkListener() = default;
  virtual void OnCancelled() = 0;
};

// The owner's end. Exactly one of Refuse, Fail, Answer and Reset ends it.
class WorkStream {
 public:
  virtual ~WorkStream() = default;

  virtual const WorkRequest& request() const = 0;
  virtual std::shared_ptr<BodySource> request_body() = 0;

  // `listener` must outlive the stream or be taken away with nullptr.
  virtual void SetListener(WorkListener* listener) = 0;

  virtual void Refuse(Reason reason, const LoadReport& load) = 0;
  virtual void Fail(Reason reason, const LoadReport& load) = 0;

  // Starts the answer; aborting the sink breaks it off.
  virtual std::shared_ptr<BodySink> Answer(AnswerHead head,
                                           const LoadReport& load) = 0;

  // Breaks off without a word.
  virtual void Reset() = 0;
};

// Takes the requests that reach this node as an owner.
class WorkAcceptor {
 public:
  virtual ~WorkAcceptor() = default;
  virtual void OnWork(std::shared_ptr<WorkStream> stream) = 0;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TRANSPORT_PEERS_NODE_STREAM_H_
