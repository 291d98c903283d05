// How callers speak to a node: what their header fields say, and how they are
// told what the node itself has to say.

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

// An answer that a node makes itself.
struct OwnAnswer {
  Outcome outcome = Outcome::kNotRun;
  Reason reason = Reason::kNone;
  // Empty: as `TraitsOf(reason)` says.
  std::optional<Duration> retry_after{};
  // May be empty.
  RequestId request_id{};
};

class CallerDialect {
 public:
  virtual ~CallerDialect() = default;

  // What the fields say of the call; method, target, fingerprint and body are
  // left open. kNone if it is sound. An id that cannot be used stays empty.
  virtual Reason ReadCallHead(const boost::beast::http::fields& fields,
                              CallHead& head) const = 0;

  // The fields that go with the request to its target.
  virtual HeaderList ForwardedFields(
      const boost::beast::http::fields& fields) const = 0;

  virtual AnswerHead MakeOwnAnswer(const OwnAnswer& answer) const = 0;

  // What is added to a target's answer.
  virtual void AddAnswerFields(const RequestId& request_id,
                               AnswerHead& head) const = 0;
};

// What the product itself speaks: docs/PROTOCOLS.md.
class OwnCallerDialect : public CallerDialect {
 public:
  Reason ReadCallHead(const boost::beast::http::fields& fields,
                      CallHead& head) const override;
  HeaderList ForwardedFields(
      const boost::beast::http::fields& fields) const override;
  AnswerHead MakeOwnAnswer(const OwnAnswer& answer) const override;
  void AddAnswerFields(const RequestId& request_id,
                       AnswerHead& head) const override;
};

// The dialect of callers when none is given.
const CallerDialect& DefaultCallerDialect();

// The default dialect's head of an answer of the node's own, and the body that
// goes with one in any dialect: a line for a person to read.
AnswerHead MakeOutcomeHead(Outcome outcome,
                           Reason reason,
                           const RequestId& request_id);
std::string MakeOutcomeBody(Outcome outcome, Reason reason);

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TRANSPORT_CALLERS_CALLER_DIALECT_H_
