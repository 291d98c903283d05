// Runs the logic of one node with a script of arbitrary events, encoded in
// bytes: unknown ids, reordered and repeated events, damaged datagrams, and
// late, lost or wrong replies of the table. Used by a unit test and a fuzz
// target.

#ifndef BULRUSHMOUNT_UNIT_TESTS_CORE_NODE_LOGIC_EVENT_SCRIPT_H_
#define BULRUSHMOUNT_UNIT_TESTS_CORE_NODE_LOGIC_EVENT_SCRIPT_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/random.h"
#include "core/node_logic/node_logic.h"
#include "core/store/in_memory_table.h"

namespace bulrushmount::testing {

class EventScript {
 public:
  explicit EventScript(std::string bytes);

  // Runs the script until the node is idle. Returns the first violated
  // invariant, or an empty string. The invariants: each call gets exactly one
  // final outcome, by its deadline unless its answer has begun; each work ends
  // exactly once; timers do not fire endlessly without time advancing.
  std::string Run();

 private:
  struct OpenCall {
    TimePoint deadline;
    // The attempt whose answer is relayed, if any.
    std::optional<AttemptNumber> relayed;
  };
  struct OpenWork {
    bool is_handed_over = false;
    bool is_relayed = false;
  };

  void Prepare();
  void Step();
  void StepOfCall(std::uint8_t kind);
  void StepOfWork(std::uint8_t kind);
  void StepOfTarget(std::uint8_t kind);
  void StepOfOthers(std::uint8_t kind);
  void SettleDown();

  // --- Events ---
  void Arrive();
  void ArriveWork();
  void ReplyFromTable();
  void ArriveDatagram();
  void AskAsOperator();
  void AdvanceTime(Duration duration);
  void Freeze(Duration duration);
  void RunTimers();
  void CheckDeadlines();
  void Deliver(NodeEvent event);

  // --- Actions ---
  void On(const DispatchAttempt&) {}
  void On(const CancelAttempt&) {}
  void On(const RelayAnswer& action);
  void On(const AnswerCaller& action);
  void On(const ReplayAnswer& action);
  void On(const AbortAnswer& action);
  void On(const HandToTarget& action);
  void On(const RefuseWork& action) { EndWork(action.work); }
  void On(const RelayWork& action);
  void On(const FailWork& action) { EndWork(action.work); }
  void On(const CancelWork&) {}
  void On(const SendProbe&) {}
  void On(const SendDatagram& action);
  void On(const SubmitTableRequest& action);
  void On(const AnswerOperator&) {}
  void On(const UseTarget&) {}
  void On(const SetCallerBounds&) {}
  void On(const ExitProcess&) {}
  void EndCall(CallId call, bool may_be_relayed, bool must_be_relayed);
  void EndWork(WorkId work);
  void Fault(std::string_view text);

  // --- Script bytes; zeros after the end ---
  std::uint8_t Byte();
  CallId AnyCall() { return CallId(Byte() % 8); }
  WorkId AnyWork() { return WorkId(Byte() % 8); }
  AttemptNumber AnyAttempt() { return AttemptNumber(Byte() % 5); }
  Reason AnyReason();
  LoadReport AnyLoad();
  std::string AnyText();

  std::string m_bytes;
  std::size_t m_at = 0;
  SeededRandomSource m_random{1};
  TimePoint m_now = TimePoint() + std::chrono::hours(1);
  InMemoryTable m_table;
  NodeLogic m_logic;
  std::string m_fault;
  // Before that the table replies at once and correctly.
  bool m_is_prepared = false;

  std::map<CallId, OpenCall> m_calls;
  std::map<WorkId, OpenWork> m_works;
  std::map<TableRequestId, TableRequest> m_requests;
  std::vector<std::string> m_datagrams;
};

}  // namespace bulrushmount::testing

#endif  // BULRUSHMOUNT_UNIT_TESTS_CORE_NODE_LOGIC_EVENT_SCRIPT_H_
