// The protocol between callers and nodes: the meaning of the callers' header
// fields, and the form of the answers that a node generates itself.

#ifndef BULRUSHMOUNT_CORE_TRANSPORT_CALLERS_CALLER_DIALECT_H_
#define BULRUSHMOUNT_CORE_TRANSPORT_CALLERS_CALLER_DIALECT_H_

#include <optional>
#include <string>

#include <boost/beast/http/fields.hpp>

#include "core/common/ids.h"
#include "core/common/outcome.h"
#include "core/common/time.h"
#include "core/node_logic/call_types.h"
#include "core/transport/http1_head.h"

namespace bulrushmount {

// An answer that a node generates itself, without a target.
struct LocalAnswer {
  Outcome outcome = Outcome::kNotRun;
  Reason reason = Reason::kNone;
  // Empty: the default in `TraitsOf(reason)`.
  std::optional<Duration> retry_after{};
  // May be empty.
  RequestId request_id{};
};

class CallerDialect {
 public:
  virtual ~CallerDialect() = default;

  // Fills in the properties of the call that the header fields define; leaves
  // method, target, fingerprint and body unset. An invalid request id is left
  // empty. Returns kNone if the fields are valid.
  virtual Reason ReadCallHead(const boost::beast::http::fields& fields,
                              CallHead& head) const = 0;

  // The header fields that are forwarded to the target.
  virtual HeaderList ForwardedFields(
      const boost::beast::http::fields& fields) const = 0;

  // Removes the caller's key and workspace from forwarded fields. Called if the
  // load balancer identifies the workspaces of requests.
  virtual void RemoveWorkspaceFields(HeaderList& headers) const {}

  virtual AnswerHead MakeLocalAnswer(const LocalAnswer& answer) const = 0;

  // Adds the protocol's own fields to a target's answer.
  virtual void AddAnswerFields(const RequestId& request_id,
                               AnswerHead& head) const = 0;
};

// The project's own protocol; see docs/PROTOCOLS.md.
class NativeCallerDialect : public CallerDialect {
 public:
  Reason ReadCallHead(const boost::beast::http::fields& fields,
                      CallHead& head) const override;
  HeaderList ForwardedFields(
      const boost::beast::http::fields& fields) const override;
  AnswerHead MakeLocalAnswer(const LocalAnswer& answer) const override;
  void AddAnswerFields(const RequestId& request_id,
                       AnswerHead& head) const override;
};

// The dialect that is used when none is configured.
const CallerDialect& DefaultCallerDialect();

// The head of a node's own answer in the default dialect, and the body of such
// an answer in every dialect: one human-readable line.
AnswerHead MakeOutcomeHead(Outcome outcome,
                           Reason reason,
                           const RequestId& request_id);
std::string MakeOutcomeBody(Outcome outcome, Reason reason);

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TRANSPORT_CALLERS_CALLER_DIALECT_H_
