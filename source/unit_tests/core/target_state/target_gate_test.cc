// Tests of `core/target_state/target_gate.h`: which heartbeats open the gate,
// and that none reopens it for a target that drains or has left.

#include "core/target_state/target_gate.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace bulrushmount {
namespace {

constexpr std::chrono::seconds kInterval(1);

TargetHeartbeat Ready(const std::string& instance, std::uint64_t sequence) {
  TargetHeartbeat heartbeat;
  heartbeat.instance = InstanceId(instance);
  heartbeat.service = ServiceName("desk");
  heartbeat.slots = 9;
  heartbeat.sequence = sequence;
  return heartbeat;
}

TargetHeartbeat Draining(const std::string& instance, std::uint64_t sequence) {
  TargetHeartbeat heartbeat = Ready(instance, sequence);
  heartbeat.readiness = TargetReadiness::kDraining;
  return heartbeat;
}

class TargetGateTest : public testing::Test {
 protected:
  bool IsOpenFor(const std::string& instance) const {
    return m_gate.current() &&
           m_gate.current()->instance == InstanceId(instance);
  }

  void OpenFor(const std::string& instance, std::uint64_t sequence) {
    m_gate.OnHeartbeat(m_now, Ready(instance, sequence));
    m_gate.OnProbe(InstanceId(instance), true);
    ASSERT_TRUE(IsOpenFor(instance));
  }

  TimePoint m_now;
  TargetGate m_gate;
};

TEST_F(TargetGateTest, FirstHeartbeatIsConfirmedByTheHealthEndpoint) {
  EXPECT_EQ(m_gate.OnHeartbeat(m_now, Ready("a", 1)), GateAction::kProbe);
  EXPECT_FALSE(m_gate.current());
  EXPECT_EQ(m_gate.OnProbe(InstanceId("a"), true), GateAction::kOpen);
  EXPECT_TRUE(IsOpenFor("a"));
}

// Guards against requests that start on a target seconds after its drain was
// acknowledged: the node acknowledges and is killed, and its next process
// receives a delayed "ready" heartbeat from before the drain.
TEST_F(TargetGateTest, LateHeartbeatAfterARestartOpensNothing) {
  EXPECT_EQ(m_gate.OnHeartbeat(m_now, Ready("a", 7)), GateAction::kProbe);
  // It drains, so its health endpoint reports unhealthy.
  EXPECT_EQ(m_gate.OnProbe(InstanceId("a"), false), GateAction::kNone);
  EXPECT_FALSE(m_gate.current());
  m_gate.OnHeartbeat(m_now, Draining("a", 9));
  EXPECT_FALSE(m_gate.current());
  EXPECT_EQ(m_gate.OnHeartbeat(m_now, Ready("a", 8)), GateAction::kNone);
  EXPECT_FALSE(m_gate.current());
}

// Guards against a healthy target that gets no requests after the node restarts
// because its health endpoint wrongly reports unhealthy, and only a probe could
// open the gate.
TEST_F(TargetGateTest, HeartbeatsThatContinueOpenWithoutTheProbe) {
  std::uint64_t sequence = 3;
  m_gate.OnHeartbeat(m_now, Ready("a", sequence));
  const TimePoint end = m_now + std::chrono::seconds(5);
  for (; m_now < end; m_now += std::chrono::seconds(1)) {
    EXPECT_EQ(m_gate.OnProbe(InstanceId("a"), false), GateAction::kNone);
    EXPECT_EQ(m_gate.OnHeartbeat(m_now, Ready("a", ++sequence)),
              GateAction::kProbe);
    EXPECT_FALSE(m_gate.current());
  }
  EXPECT_EQ(m_gate.OnHeartbeat(m_now, Ready("a", ++sequence)),
            GateAction::kOpen);
  EXPECT_TRUE(IsOpenFor("a"));
}

TEST_F(TargetGateTest, SecondNewerHeartbeatOpensIfTheProbeFails) {
  m_gate.OnHeartbeat(m_now, Ready("a", 3));
  m_gate.OnProbeFailed();
  m_now += kInterval;
  EXPECT_EQ(m_gate.OnHeartbeat(m_now, Ready("a", 4)), GateAction::kOpen);
  EXPECT_TRUE(IsOpenFor("a"));
}

// Guards against requests to a target that has left: several of its heartbeats
// are delayed together and arrive at the node's next process before the probe
// that the first one causes is answered.
TEST_F(TargetGateTest, HeartbeatsBeforeTheAnswerOfTheProbeOpenNothing) {
  for (const std::uint64_t sequence : {7, 8, 9}) {
    EXPECT_EQ(m_gate.OnHeartbeat(m_now, Ready("a", sequence)),
              GateAction::kProbe);
    EXPECT_FALSE(m_gate.current());
    m_now += std::chrono::milliseconds(50);
  }
  EXPECT_EQ(m_gate.OnProbe(InstanceId("a"), false), GateAction::kNone);
  m_now += kInterval;
  EXPECT_EQ(m_gate.OnHeartbeat(m_now, Ready("a", 10)), GateAction::kProbe);
  EXPECT_FALSE(m_gate.current());
}

// Guards against requests to a target that has left: the node acknowledges its
// leave and is killed, and several of its heartbeats arrive seconds late at the
// node's next process.
TEST_F(TargetGateTest, LateHeartbeatsOfAnUnhealthyTargetOpenNothing) {
  for (const std::uint64_t sequence : {7, 8, 9}) {
    EXPECT_EQ(m_gate.OnHeartbeat(m_now, Ready("a", sequence)),
              GateAction::kProbe);
    EXPECT_EQ(m_gate.OnProbe(InstanceId("a"), false), GateAction::kNone);
    EXPECT_FALSE(m_gate.current());
    m_now += std::chrono::milliseconds(1500);
  }
}

TEST_F(TargetGateTest, TargetThatTurnsHealthyOpensAtItsNextHeartbeat) {
  m_gate.OnHeartbeat(m_now, Ready("a", 3));
  m_gate.OnProbe(InstanceId("a"), false);
  EXPECT_EQ(m_gate.OnHeartbeat(m_now, Ready("a", 4)), GateAction::kProbe);
  EXPECT_EQ(m_gate.OnProbe(InstanceId("a"), true), GateAction::kOpen);
  EXPECT_TRUE(IsOpenFor("a"));
}

TEST_F(TargetGateTest, DuplicateHeartbeatIsNoConfirmation) {
  m_gate.OnHeartbeat(m_now, Ready("a", 3));
  EXPECT_EQ(m_gate.OnHeartbeat(m_now, Ready("a", 3)), GateAction::kNone);
  EXPECT_FALSE(m_gate.current());
}

TEST_F(TargetGateTest, LateDrainingHeartbeatClosesAtOnce) {
  OpenFor("a", 5);
  EXPECT_EQ(m_gate.OnHeartbeat(m_now, Draining("a", 4)), GateAction::kClose);
  EXPECT_FALSE(m_gate.current());
}

// Guards against calls to a target that is gone: it crashes with a heartbeat in
// transit, its successor opens the gate, and then the old heartbeat arrives.
TEST_F(TargetGateTest, LateHeartbeatOfAPredecessorDoesNotReplaceItsSuccessor) {
  OpenFor("b", 1);
  EXPECT_EQ(m_gate.OnHeartbeat(m_now, Ready("a", 90)), GateAction::kProbe);
  EXPECT_TRUE(IsOpenFor("b"));
  // The successor answers at the address.
  EXPECT_EQ(m_gate.OnProbe(InstanceId("b"), true), GateAction::kNone);
  EXPECT_TRUE(IsOpenFor("b"));
  EXPECT_EQ(m_gate.OnHeartbeat(m_now, Ready("a", 91)), GateAction::kNone);
}

TEST_F(TargetGateTest, SuccessorReplacesItsPredecessorPermanently) {
  OpenFor("a", 5);
  OpenFor("b", 1);
  EXPECT_EQ(m_gate.OnHeartbeat(m_now, Ready("a", 6)), GateAction::kNone);
  EXPECT_TRUE(IsOpenFor("b"));
}

TEST_F(TargetGateTest, DepartedTargetStaysClosed) {
  OpenFor("a", 5);
  EXPECT_EQ(m_gate.OnDeparted(InstanceId("a")), GateAction::kClose);
  EXPECT_EQ(m_gate.OnHeartbeat(m_now, Ready("a", 6)), GateAction::kNone);
  EXPECT_FALSE(m_gate.current());
}

// --- Targets that restart under the same id ---------------------------------

TargetHeartbeat WithProcess(int process, TargetHeartbeat heartbeat) {
  heartbeat.started = ProcessStart(std::chrono::milliseconds(process));
  return heartbeat;
}

// Guards against a target that never gets requests again after it crashed and
// restarted under the same id: its sequence numbers start at 1 again and must
// not count as late.
TEST_F(TargetGateTest, RestartedProcessOpensAgain) {
  m_gate.OnHeartbeat(m_now, WithProcess(1, Ready("a", 70)));
  m_gate.OnProbe(InstanceId("a"), true);
  ASSERT_TRUE(IsOpenFor("a"));
  EXPECT_EQ(m_gate.OnHeartbeat(m_now, WithProcess(2, Ready("a", 1))),
            GateAction::kProbe);
  EXPECT_EQ(m_gate.OnProbe(InstanceId("a"), true), GateAction::kOpen);
  EXPECT_EQ(m_gate.current()->sequence, 1U);
}

// A drain applies to the process that reported it, and to no later one.
TEST_F(TargetGateTest, ProcessAfterADrainedOneOpens) {
  m_gate.OnHeartbeat(m_now, WithProcess(1, Draining("a", 9)));
  m_gate.OnHeartbeat(m_now, WithProcess(2, Ready("a", 1)));
  m_now += kInterval;
  EXPECT_EQ(m_gate.OnHeartbeat(m_now, WithProcess(2, Ready("a", 2))),
            GateAction::kOpen);
  EXPECT_EQ(m_gate.OnHeartbeat(m_now, WithProcess(1, Ready("a", 99))),
            GateAction::kNone);
  EXPECT_TRUE(IsOpenFor("a"));
}

// Guards against closing a healthy target that drained, exited and restarted
// under the same id, when the last heartbeats of its earlier process arrive
// late.
TEST_F(TargetGateTest, LateHeartbeatsOfAnEarlierProcessCloseNothing) {
  m_gate.OnHeartbeat(m_now, WithProcess(2, Ready("a", 1)));
  m_gate.OnProbe(InstanceId("a"), true);
  EXPECT_EQ(m_gate.OnHeartbeat(m_now, WithProcess(1, Draining("a", 50))),
            GateAction::kNone);
  EXPECT_EQ(m_gate.OnDeparted(InstanceId("a"),
                              ProcessStart(std::chrono::milliseconds(1))),
            GateAction::kNone);
  EXPECT_TRUE(IsOpenFor("a"));
  EXPECT_EQ(m_gate.OnDeparted(InstanceId("a"),
                              ProcessStart(std::chrono::milliseconds(2))),
            GateAction::kClose);
}

// Guards against requests to a draining target: a later process of it has
// reported but is not confirmed yet, and the drain of the current process must
// not be ignored as one of an earlier process.
TEST_F(TargetGateTest, DrainOfTheCurrentProcessClosesUntilTheNextIsConfirmed) {
  m_gate.OnHeartbeat(m_now, WithProcess(2, Ready("a", 1)));
  m_now += kInterval;
  m_gate.OnHeartbeat(m_now, WithProcess(2, Ready("a", 2)));
  ASSERT_TRUE(IsOpenFor("a"));
  m_gate.OnHeartbeat(m_now, WithProcess(3, Ready("a", 1)));
  EXPECT_EQ(m_gate.OnHeartbeat(m_now, WithProcess(2, Draining("a", 3))),
            GateAction::kClose);
  EXPECT_FALSE(m_gate.current());
  m_now += kInterval;
  EXPECT_EQ(m_gate.OnHeartbeat(m_now, WithProcess(3, Ready("a", 2))),
            GateAction::kOpen);
}

// Compares with a naive gate that receives the heartbeats of one target in
// order: it knows the newest process and whether that drains. The tested gate
// receives them in any order, and must never be open for a process that drains
// or has left, nor for one that was followed by another.
RC_GTEST_PROP(TargetGateProperty, MatchesTheTrueOrderOfProcesses, ()) {
  TargetGate gate;
  TimePoint now;
  const InstanceId instance("a");
  int newest = 0;
  std::set<int> closed;
  std::map<int, std::set<std::uint64_t>> ready_sequences;
  const auto steps = *rc::gen::inRange(1, 80);
  for (int step = 0; step < steps; ++step) {
    const int process = *rc::gen::inRange(1, 5);
    const auto sequence = static_cast<std::uint64_t>(*rc::gen::inRange(1, 12));
    const auto what = *rc::gen::inRange(0, 8);
    now += kInterval;
    const bool is_newest_process = process >= newest;
    newest = std::max(newest, process);
    if (what == 0) {
      gate.OnHeartbeat(now, WithProcess(process, Draining("a", sequence)));
      closed.insert(process);
    } else if (what == 1) {
      gate.OnDeparted(instance,
                      ProcessStart(std::chrono::milliseconds(process)));
      closed.insert(process);
    } else {
      auto& sequences = ready_sequences[process];
      const bool is_newer =
          is_newest_process &&
          (sequences.empty() || sequence > *sequences.rbegin());
      gate.OnHeartbeat(now, WithProcess(process, Ready("a", sequence)));
      if (is_newer)
        sequences.insert(sequence);
    }
    const std::optional<TargetHeartbeat>& current = gate.current();
    if (current) {
      const auto open =
          static_cast<int>(current->started->time_since_epoch().count());
      RC_ASSERT(!closed.contains(open));
    }
    // After two heartbeats in order and no departure, the gate is open for that
    // process.
    if (ready_sequences[newest].size() >= 2 && !closed.contains(newest)) {
      RC_ASSERT(current.has_value());
      RC_ASSERT(current->started ==
                ProcessStart(std::chrono::milliseconds(newest)));
    }
  }
}

// For any order of events, a target that has drained or departed never opens
// the gate.
RC_GTEST_PROP(TargetGateProperty, ClosedTargetsStayClosed, ()) {
  TargetGate gate;
  TimePoint now;
  const std::vector<std::string> names = {"a", "b", "c"};
  std::vector<std::string> closed;
  const auto steps = *rc::gen::inRange(1, 60);
  for (int step = 0; step < steps; ++step) {
    const std::string name = *rc::gen::elementOf(names);
    const auto sequence = static_cast<std::uint64_t>(*rc::gen::inRange(1, 20));
    now += kInterval;
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        gate.OnHeartbeat(now, Ready(name, sequence));
        break;
      case 1:
        gate.OnHeartbeat(now, Draining(name, sequence));
        closed.push_back(name);
        break;
      case 2:
        gate.OnDeparted(InstanceId(name));
        closed.push_back(name);
        break;
      default:
        gate.OnProbe(InstanceId(name), *rc::gen::arbitrary<bool>());
        break;
    }
    for (const std::string& gone : closed) {
      RC_ASSERT(!gate.current() || gate.current()->instance.value() != gone);
    }
  }
}

}  // namespace
}  // namespace bulrushmount
