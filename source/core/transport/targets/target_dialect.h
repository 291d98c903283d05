// The protocol between a node and its target: the fields that the node adds to
// a request, and the information in an answer besides its status.

#ifndef BULRUSHMOUNT_CORE_TRANSPORT_TARGETS_TARGET_DIALECT_H_
#define BULRUSHMOUNT_CORE_TRANSPORT_TARGETS_TARGET_DIALECT_H_

#include <optional>
#include <string>
#include <string_view>

#include <boost/beast/http/fields.hpp>

#include "core/common/ids.h"
#include "core/common/time.h"
#include "core/node_logic/call_types.h"
#include "core/transport/http1_head.h"

namespace bulrushmount {

// The information in an answer's head besides its status.
struct TargetVerdict {
  // The answer belongs to this request and may be relayed. Otherwise the
  // exchange fails as if there were no answer.
  bool is_valid = true;
  // The target did not run the request.
  bool is_shed = false;
  // The target did not run the request, because it was meant for another
  // target.
  bool is_wrong_target = false;
  std::optional<TargetLoadSample> load_sample;
  // How long the target keeps an idle connection open.
  std::optional<Duration> keep_alive;
  TargetNotice notice;
  // False if the answer does not state whether the target limits its rate.
  bool is_rate_limit_stated = true;
};

// The information in a health endpoint's answer.
struct HealthVerdict {
  bool is_healthy = false;
  // Empty if the target does not report it.
  InstanceId instance;
  std::optional<TargetLoadSample> load_sample;
  // How long the target remains in its cold start; empty if its answers do not
  // report it.
  std::optional<Duration> cold_time_left;
  // A missing rate limit does not withdraw one.
  TargetNotice notice;
};

// Reads the target's notice from the fields with these names. A rate limit that
// cannot be parsed counts as not stated.
void ReadNotice(const boost::beast::http::fields& fields,
                std::string_view rate_limit_field,
                std::string_view leaving_field,
                TargetVerdict& verdict);

class TargetDialect {
 public:
  virtual ~TargetDialect() = default;

  // `instance` is empty if targets have no ids.
  virtual void AddRequestFields(const WorkHead& work,
                                const InstanceId& instance,
                                Duration time_left,
                                RequestHead& head) const = 0;

  virtual TargetVerdict ReadAnswer(
      const RequestId& request_id,
      int status,
      const boost::beast::http::fields& fields) const = 0;

  virtual HealthVerdict ReadHealth(
      int status,
      const boost::beast::http::fields& fields) const = 0;

  // Whether an answer without a length, which ends with its connection, is
  // complete if the connection is closed without a reset.
  virtual bool MayEndWithConnection() const = 0;
};

// The project's own protocol; see docs/PROTOCOLS.md.
class NativeTargetDialect : public TargetDialect {
 public:
  void AddRequestFields(const WorkHead& work,
                        const InstanceId& instance,
                        Duration time_left,
                        RequestHead& head) const override;
  TargetVerdict ReadAnswer(
      const RequestId& request_id,
      int status,
      const boost::beast::http::fields& fields) const override;
  HealthVerdict ReadHealth(int status, const boost::beast::http::fields& fields)
      const override;
  // Such an answer cannot be distinguished from an interrupted one.
  bool MayEndWithConnection() const override { return false; }
};

// The dialect that is used when none is configured.
const TargetDialect& DefaultTargetDialect();

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TRANSPORT_TARGETS_TARGET_DIALECT_H_
