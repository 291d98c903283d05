// The entry node's side of the driver: tracks the callers' calls and their
// attempts, and relays the answers.

#ifndef BULRUSHMOUNT_CORE_TRANSPORT_CALLERS_ENTRY_CALLS_H_
#define BULRUSHMOUNT_CORE_TRANSPORT_CALLERS_ENTRY_CALLS_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_map>

#include <boost/asio/any_io_executor.hpp>

#include "core/common/ids.h"
#include "core/common/time.h"
#include "core/node_logic/actions.h"
#include "core/node_logic/node_logic_interface.h"
#include "core/transport/callers/caller_server.h"
#include "core/transport/event_sink.h"
#include "core/transport/peers/node_stream_client.h"

namespace bulrushmount {

class EntryCalls : public CallAcceptor {
 public:
  // All must outlive the object.
  EntryCalls(boost::asio::any_io_executor executor,
             NodeId self,
             const NodeLogicInterface& logic,
             NodeStreamClient& client,
             WorkAcceptor& own_works,
             EventSink& events,
             const CallerDialect& dialect = DefaultCallerDialect());
  ~EntryCalls() override;

  EntryCalls(const EntryCalls&) = delete;
  EntryCalls& operator=(const EntryCalls&) = delete;

  void OnCall(std::shared_ptr<CallerExchange> exchange) override;
  void OnCallerDisconnected(const CallerExchange& exchange) override;
  bool IsRepeatable(const CallHead& head) const override {
    return m_logic.IsRepeatable(head);
  }

  // An action for a call that has ended has no effect.
  void Do(const DispatchAttempt& action);
  void Do(const CancelAttempt& action);
  void Do(const RelayAnswer& action);
  void Do(const AnswerCaller& action);
  void Do(const ReplayAnswer& action);
  void Do(const AbortAnswer& action);

  // Reports and aborts the answers that have transferred no byte for `limit`.
  // To be called periodically.
  void FindStalled(TimePoint now, Duration limit);

  std::size_t size() const { return m_calls.size(); }

 private:
  class Attempt;
  struct Call;

  Call* Find(CallId id);
  Attempt* Find(CallId id, AttemptNumber number);
  // Removes the call and cancels its remaining attempts.
  void Drop(CallId id);
  void OnRelayed(CallId id, AttemptNumber number, PumpResult result);

  boost::asio::any_io_executor m_executor;
  NodeId m_self;
  const NodeLogicInterface& m_logic;
  NodeStreamClient& m_client;
  WorkAcceptor& m_own_works;
  EventSink& m_events;
  const CallerDialect& m_dialect;
  std::uint64_t m_last_id = 0;
  std::unordered_map<CallId, std::unique_ptr<Call>> m_calls;
  std::unordered_map<const CallerExchange*, CallId> m_ids;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TRANSPORT_CALLERS_ENTRY_CALLS_H_
