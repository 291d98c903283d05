// The gate of targets that are known by an id: which words open it, and that
// none opens it again for a target that has said it leaves.

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

TEST_F(TargetGateTest, AFirstWordIsConfirmedByTheTargetsOwnHealth) {
  EXPECT_EQ(m_gate.OnHeartbeat(m_now, Ready("a", 1)), GateVerdict::kProbe);
  EXPECT_FALSE(m_gate.current());
  EXPECT_EQ(m_gate.OnProbe(InstanceId("a"), true), GateVerdict::kOpen);
  EXPECT_TRUE(IsOpenFor("a"));
}

// Symptom: requests begin on a target although its leaving was acknowledged
// seconds ago. Sequence: the target reports that it drains; the node
// acknowledges and is killed; its successor gets a "ready" of before that was
// held up on the way. Cause: a node that knows nothing believes the first word.
TEST_F(TargetGateTest, ALateWordAfterARestartOpensNothing) {
  EXPECT_EQ(m_gate.OnHeartbeat(m_now, Ready("a", 7)), GateVerdict::kProbe);
  // It drains, so its health endpoint says no.
  EXPECT_EQ(m_gate.OnProbe(InstanceId("a"), false), GateVerdict::kNone);
  EXPECT_FALSE(m_gate.current());
  m_gate.OnHeartbeat(m_now, Draining("a", 9));
  EXPECT_FALSE(m_gate.current());
  EXPECT_EQ(m_gate.OnHeartbeat(m_now, Ready("a", 8)), GateVerdict::kNone);
  EXPECT_FALSE(m_gate.current());
}

// Symptom: a sound target gets no work. Sequence: the node restarts; the
// target's health endpoint wrongly says that it is ill. Cause: only the probe
// could open the gate.
TEST_F(TargetGateTest, ASecondNewerWordOpensWithoutTheProbe) {
  m_gate.OnHeartbeat(m_now, Ready("a", 3));
  m_gate.OnProbe(InstanceId("a"), false);
  EXPECT_EQ(m_gate.OnHeartbeat(m_now, Ready("a", 4)), GateVerdict::kOpen);
  EXPECT_TRUE(IsOpenFor("a"));
}

TEST_F(TargetGateTest, TheSameWordTwiceIsNotASecondOne) {
  m_gate.OnHeartbeat(m_now, Ready("a", 3));
  EXPECT_EQ(m_gate.OnHeartbeat(m_now, Ready("a", 3)), GateVerdict::kNone);
  EXPECT_FALSE(m_gate.current());
}

TEST_F(TargetGateTest, DrainingClosesAtOnceHoweverOldTheWord) {
  OpenFor("a", 5);
  EXPECT_EQ(m_gate.OnHeartbeat(m_now, Draining("a", 4)), GateVerdict::kClose);
  EXPECT_FALSE(m_gate.current());
}

// Symptom: calls go to a target that is gone and fail. Sequence: a target
// crashes with a heartbeat under way; its successor opens the gate; then the
// old heartbeat arrives. Cause: the newest arrival is taken for the newest
// target.
TEST_F(TargetGateTest, ALateWordOfAPredecessorDoesNotReplaceItsSuccessor) {
  OpenFor("b", 1);
  EXPECT_EQ(m_gate.OnHeartbeat(m_now, Ready("a", 90)), GateVerdict::kProbe);
  EXPECT_TRUE(IsOpenFor("b"));
  // Who answers at the address is the successor.
  EXPECT_EQ(m_gate.OnProbe(InstanceId("b"), true), GateVerdict::kNone);
  EXPECT_TRUE(IsOpenFor("b"));
  EXPECT_EQ(m_gate.OnHeartbeat(m_now, Ready("a", 91)), GateVerdict::kNone);
}

TEST_F(TargetGateTest, ASuccessorReplacesItsPredecessorForGood) {
  OpenFor("a", 5);
  OpenFor("b", 1);
  EXPECT_EQ(m_gate.OnHeartbeat(m_now, Ready("a", 6)), GateVerdict::kNone);
  EXPECT_TRUE(IsOpenFor("b"));
}

TEST_F(TargetGateTest, ADepartedTargetStaysAway) {
  OpenFor("a", 5);
  EXPECT_EQ(m_gate.OnDeparted(InstanceId("a")), GateVerdict::kClose);
  EXPECT_EQ(m_gate.OnHeartbeat(m_now, Ready("a", 6)), GateVerdict::kNone);
  EXPECT_FALSE(m_gate.current());
}

// --- Targets that start again under their id --------------------------------

TargetHeartbeat Of(int process, TargetHeartbeat heartbeat) {
  heartbeat.started = ProcessStart(std::chrono::milliseconds(process));
  return heartbeat;
}

// Symptom: a target gets no work for good. Sequence: it crashes and starts
// again under its id; its heartbeats count from 1 again. Cause: they were taken
// for late words of before.
TEST_F(TargetGateTest, AProcessThatStartedAgainOpensAnew) {
  m_gate.OnHeartbeat(m_now, Of(1, Ready("a", 70)));
  m_gate.OnProbe(InstanceId("a"), true);
  ASSERT_TRUE(IsOpenFor("a"));
  EXPECT_EQ(m_gate.OnHeartbeat(m_now, Of(2, Ready("a", 1))),
            GateVerdict::kProbe);
  EXPECT_EQ(m_gate.OnProbe(InstanceId("a"), true), GateVerdict::kOpen);
  EXPECT_EQ(m_gate.current()->sequence, 1U);
}

// A drain binds the process that said it, and no later one.
TEST_F(TargetGateTest, AProcessAfterOneThatDrainedOpens) {
  m_gate.OnHeartbeat(m_now, Of(1, Draining("a", 9)));
  m_gate.OnHeartbeat(m_now, Of(2, Ready("a", 1)));
  EXPECT_EQ(m_gate.OnHeartbeat(m_now, Of(2, Ready("a", 2))),
            GateVerdict::kOpen);
  EXPECT_EQ(m_gate.OnHeartbeat(m_now, Of(1, Ready("a", 99))),
            GateVerdict::kNone);
  EXPECT_TRUE(IsOpenFor("a"));
}

// Symptom: a sound target is closed for good. Sequence: it drains, exits and is
// started again under its id; its last words of before arrive late. Cause: they
// were taken for the new process's.
TEST_F(TargetGateTest, LateWordsOfAnEarlierProcessCloseNothing) {
  m_gate.OnHeartbeat(m_now, Of(2, Ready("a", 1)));
  m_gate.OnProbe(InstanceId("a"), true);
  EXPECT_EQ(m_gate.OnHeartbeat(m_now, Of(1, Draining("a", 50))),
            GateVerdict::kNone);
  EXPECT_EQ(m_gate.OnDeparted(InstanceId("a"),
                              ProcessStart(std::chrono::milliseconds(1))),
            GateVerdict::kNone);
  EXPECT_TRUE(IsOpenFor("a"));
  EXPECT_EQ(m_gate.OnDeparted(InstanceId("a"),
                              ProcessStart(std::chrono::milliseconds(2))),
            GateVerdict::kClose);
}

// Symptom: a target that has said it leaves gets work. Sequence: a later
// process of it reports and is not yet confirmed; then the drain of the one in
// place arrives. Cause: the words of earlier processes were passed over,
// although the gate was open for one.
TEST_F(TargetGateTest, DrainOfTheProcessInPlaceClosesUntilTheNextIsConfirmed) {
  m_gate.OnHeartbeat(m_now, Of(2, Ready("a", 1)));
  m_gate.OnHeartbeat(m_now, Of(2, Ready("a", 2)));
  ASSERT_TRUE(IsOpenFor("a"));
  m_gate.OnHeartbeat(m_now, Of(3, Ready("a", 1)));
  EXPECT_EQ(m_gate.OnHeartbeat(m_now, Of(2, Draining("a", 3))),
            GateVerdict::kClose);
  EXPECT_FALSE(m_gate.current());
  EXPECT_EQ(m_gate.OnHeartbeat(m_now, Of(3, Ready("a", 2))),
            GateVerdict::kOpen);
}

// A naive gate that sees the words of one target in their true order: it knows
// which process is the newest of which it has heard, and whether that has said
// that it drains. Ours hears them in any order, and must never be open for a
// process that has, nor for one that was followed by another.
RC_GTEST_PROP(TargetGateProperty, ProcessesOfOneIdAgreeWithTrueTime, ()) {
  TargetGate gate;
  const InstanceId instance("a");
  int newest = 0;
  std::set<int> closed;
  std::map<int, std::set<std::uint64_t>> ready_words;
  const auto steps = *rc::gen::inRange(1, 80);
  for (int step = 0; step < steps; ++step) {
    const int process = *rc::gen::inRange(1, 5);
    const auto sequence = static_cast<std::uint64_t>(*rc::gen::inRange(1, 12));
    const auto what = *rc::gen::inRange(0, 8);
    const bool is_news = process >= newest;
    newest = std::max(newest, process);
    if (what == 0) {
      gate.OnHeartbeat(TimePoint(), Of(process, Draining("a", sequence)));
      closed.insert(process);
    } else if (what == 1) {
      gate.OnDeparted(instance,
                      ProcessStart(std::chrono::milliseconds(process)));
      closed.insert(process);
    } else {
      auto& words = ready_words[process];
      const bool is_newer =
          is_news && (words.empty() || sequence > *words.rbegin());
      gate.OnHeartbeat(TimePoint(), Of(process, Ready("a", sequence)));
      if (is_newer)
        words.insert(sequence);
    }
    const std::optional<TargetHeartbeat>& current = gate.current();
    if (current) {
      const auto open =
          static_cast<int>(current->started->time_since_epoch().count());
      RC_ASSERT(!closed.contains(open));
    }
    // Two words in their order and none of leaving: it is open, and for that.
    if (ready_words[newest].size() >= 2 && !closed.contains(newest)) {
      RC_ASSERT(current.has_value());
      RC_ASSERT(current->started ==
                ProcessStart(std::chrono::milliseconds(newest)));
    }
  }
}

// Whatever comes in whatever order: what has drained or departed never opens.
RC_GTEST_PROP(TargetGateProperty, ClosedTargetsStayClosed, ()) {
  TargetGate gate;
  const std::vector<std::string> names = {"a", "b", "c"};
  std::vector<std::string> closed;
  const auto steps = *rc::gen::inRange(1, 60);
  for (int step = 0; step < steps; ++step) {
    const std::string name = *rc::gen::elementOf(names);
    const auto sequence = static_cast<std::uint64_t>(*rc::gen::inRange(1, 20));
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        gate.OnHeartbeat(TimePoint(), Ready(name, sequence));
        break;
      case 1:
        gate.OnHeartbeat(TimePoint(), Draining(name, sequence));
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
