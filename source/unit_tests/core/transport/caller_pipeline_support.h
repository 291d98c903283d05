// Helpers for the tests of pipelined requests on a caller's connection.

#ifndef BULRUSHMOUNT_UNIT_TESTS_CORE_TRANSPORT_CALLER_PIPELINE_SUPPORT_H_
#define BULRUSHMOUNT_UNIT_TESTS_CORE_TRANSPORT_CALLER_PIPELINE_SUPPORT_H_

#include <functional>
#include <map>
#include <memory>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/transport/callers/caller_server.h"

namespace bulrushmount::testing {

// Requests whose path starts with this are repeatable.
inline constexpr std::string_view kRepeatable = "/safe";

// Records the calls in the order of their submission.
class PipelineAcceptor : public CallAcceptor {
 public:
  void OnCall(std::shared_ptr<CallerExchange> exchange) override {
    targets.push_back(exchange->head().target);
    if (on_call)
      on_call(exchange->head().target);
    calls[exchange->head().target] = std::move(exchange);
  }
  void OnCallerDisconnected(const CallerExchange& exchange) override {
    ++disconnects[exchange.head().target];
  }
  bool IsRepeatable(const CallHead& head) const override {
    return head.target.starts_with(kRepeatable);
  }

  bool Has(const std::string& target) const { return calls.contains(target); }

  std::function<void(const std::string& target)> on_call;
  std::vector<std::string> targets;
  std::map<std::string, std::shared_ptr<CallerExchange>> calls;
  std::map<std::string, int> disconnects;
};

inline AnswerHead HeadOf(const std::string& target, const BodyShape& shape) {
  AnswerHead head;
  head.status = 200;
  head.headers.push_back({"X-Target", target});
  head.shape = shape;
  return head;
}

struct ParsedAnswer {
  int status = 0;
  std::string target;
  std::string body;
  bool is_closing = false;

  friend bool operator==(const ParsedAnswer&, const ParsedAnswer&) = default;
};

inline std::ostream& operator<<(std::ostream& out, const ParsedAnswer& answer) {
  return out << answer.status << ' ' << answer.target << " body "
             << answer.body.size() << (answer.is_closing ? " closing" : "");
}

// Parses the complete answers at the start of `bytes`.
std::vector<ParsedAnswer> ParseAnswers(std::string_view bytes);

}  // namespace bulrushmount::testing

#endif  // BULRUSHMOUNT_UNIT_TESTS_CORE_TRANSPORT_CALLER_PIPELINE_SUPPORT_H_
