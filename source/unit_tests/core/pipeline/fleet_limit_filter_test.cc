// Tests of `core/pipeline/fleet_limit_filter.h`: calls that wait for the home
// of their workspace, in a fleet of two in which the other node is the home.

#include "core/pipeline/fleet_limit_filter.h"

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "core/common/random.h"
#include "core/pipeline/call_pipeline.h"
#include "core/workspace_limits/workspace_limits_codec.h"

namespace bulrushmount {
namespace {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

class SentDatagrams : public DatagramPort {
 public:
  void Send(const Endpoint&, DatagramKind, std::string payload) override {
    const auto datagram = DecodeWorkspaceLimits(payload);
    for (const UnitRequest& request : datagram->requests)
      requests.push_back(request);
  }
  std::vector<UnitRequest> requests;
};

class FleetLimitFilterTest : public testing::Test, private CallSink {
 protected:
  FleetLimitFilterTest() : m_pipeline(*this) {
    auto filter = std::make_unique<FleetLimitFilter>(m_limiter, m_pipeline);
    m_pipeline.AddFilter(std::move(filter));
    constexpr std::size_t workspaces = 20;
    std::vector<NamedRate> rates;
    rates.reserve(workspaces);
    // Of a few workspaces, the other node is the home of some.
    for (std::size_t index = 0; index < workspaces; ++index)
      rates.push_back({WorkspaceName("w" + std::to_string(index)), {10, 10}});
    for (const NamedRate& named : rates) {
      const std::uint64_t key = KeyOf(named.workspace).value();
      if (RendezvousHome({m_self, m_other}, key)->id == m_other.id)
        m_workspace = named.workspace;
    }
    m_limiter.SetLimits(m_now, std::move(rates));
    m_limiter.SetMembers(m_now, {{m_self}, {m_other}}, {});
  }

  CallId Start(const WorkspaceName& workspace) {
    const CallId call(++m_last_call);
    CallHead head;
    head.workspace = workspace;
    m_pipeline.Start(m_now, call, std::move(head));
    return call;
  }

  void Answer(std::uint32_t granted, Duration retry_after = Duration()) {
    const UnitRequest& request = m_datagrams.requests.back();
    WorkspaceLimitsDatagram datagram;
    datagram.responses = {
        {request.workspace, request.number, granted, retry_after, retry_after}};
    m_limiter.OnDatagram(m_now, m_other.gossip,
                         EncodeWorkspaceLimits(datagram).front());
  }

  void End(CallId call, Outcome outcome) {
    m_pipeline.End(m_now, call, {outcome, Reason::kNoTarget, {}, false});
  }

  Peer m_self{NodeId(1), {"127.0.0.1", 1}};
  Peer m_other{NodeId(2), {"127.0.0.1", 2}};
  TimePoint m_now{std::chrono::hours(1)};
  SeededRandomSource m_random{1};
  SentDatagrams m_datagrams;
  FleetLimiter m_limiter{{5s, 0.1, 20}, m_self, m_random, m_datagrams, m_now};
  CallPipeline m_pipeline;
  WorkspaceName m_workspace;
  std::vector<CallId> m_accepted;
  std::optional<CallEnd> m_end;

 private:
  void OnCallAccepted(TimePoint, Call& call) override {
    m_accepted.push_back(call.id);
    call.hand_overs = m_hand_overs;
  }
  void OnDeadline(TimePoint, Call&) override {}
  void OnPermitLost(TimePoint, Call&) override {}
  void OnCallEnded(TimePoint, Call&, const CallEnd& end) override {
    m_end = end;
  }

 protected:
  std::uint32_t m_hand_overs = 0;
  std::uint64_t m_last_call = 0;
};

TEST_F(FleetLimitFilterTest, PassesCallsWithoutALimitAtOnce) {
  Start(WorkspaceName());
  Start(WorkspaceName("unlimited"));
  EXPECT_EQ(m_accepted.size(), 2U);
  EXPECT_TRUE(m_datagrams.requests.empty());
}

TEST_F(FleetLimitFilterTest, HoldsACallUntilItsUnitIsGranted) {
  const CallId call = Start(m_workspace);
  EXPECT_TRUE(m_accepted.empty());
  ASSERT_EQ(m_datagrams.requests.size(), 1U);
  Answer(1);
  EXPECT_EQ(m_accepted, std::vector{call});
}

TEST_F(FleetLimitFilterTest, SharesOneRequestAmongWaitingCalls) {
  Start(m_workspace);
  Start(m_workspace);
  Start(m_workspace);
  EXPECT_EQ(m_datagrams.requests.size(), 1U);
  Answer(1);
  ASSERT_EQ(m_datagrams.requests.size(), 2U);
  EXPECT_EQ(m_datagrams.requests.back().wanted, 2U);
  Answer(2);
  EXPECT_EQ(m_accepted.size(), 3U);
}

TEST_F(FleetLimitFilterTest, RefusesWithTheTimeOfTheHome) {
  Start(m_workspace);
  Answer(0, 400ms);
  ASSERT_TRUE(m_end);
  EXPECT_EQ(m_end->outcome, Outcome::kNotRun);
  EXPECT_EQ(m_end->reason, Reason::kWorkspaceRateLimit);
  EXPECT_EQ(m_end->detail, "home");
  ASSERT_TRUE(m_end->retry_after);
  EXPECT_GE(*m_end->retry_after, 400ms);
  EXPECT_LE(*m_end->retry_after, 800ms);
  // The next call is refused without a message.
  m_end.reset();
  Start(m_workspace);
  EXPECT_EQ(m_datagrams.requests.size(), 1U);
  ASSERT_TRUE(m_end);
  EXPECT_EQ(m_end->detail, "home-before");
}

// Guards against a call that waits for ever if all datagrams are lost.
TEST_F(FleetLimitFilterTest, RefusesACallWithoutAnAnswer) {
  Start(m_workspace);
  const TimePoint start = m_now;
  while (!m_end && m_now < start + 1s) {
    m_now += 1ms;
    if (m_limiter.NextWakeup() <= m_now)
      m_limiter.OnTimer(m_now);
  }
  ASSERT_TRUE(m_end);
  EXPECT_LE(m_now - start, 61ms);
  EXPECT_EQ(m_end->reason, Reason::kWorkspaceRateLimit);
  EXPECT_EQ(m_end->detail, "unanswered");
}

// Guards against a unit that is used for a caller who has gone, and against a
// decision on a call that no longer exists.
TEST_F(FleetLimitFilterTest, KeepsTheUnitOfACallerThatDisconnects) {
  const CallId gone = Start(m_workspace);
  End(gone, Outcome::kNotRun);
  Answer(1);
  EXPECT_TRUE(m_accepted.empty());
  Start(m_workspace);
  EXPECT_EQ(m_accepted.size(), 1U);
  EXPECT_EQ(m_datagrams.requests.size(), 1U);
}

struct EndedCall {
  Outcome outcome;
  std::uint32_t hand_overs;
  bool is_given_back;
};

class EndedCallTest : public FleetLimitFilterTest,
                      public testing::WithParamInterface<EndedCall> {};

// Guards against calls that count against the limit although no target has seen
// them, and against calls that do not count although a target has.
TEST_P(EndedCallTest, GivesBackTheUnitOnlyIfItWasNotForwarded) {
  m_hand_overs = GetParam().hand_overs;
  const CallId call = Start(m_workspace);
  Answer(1);
  End(call, GetParam().outcome);
  Start(m_workspace);
  EXPECT_EQ(m_accepted.size(), GetParam().is_given_back ? 2U : 1U);
}

INSTANTIATE_TEST_SUITE_P(Ends,
                         EndedCallTest,
                         testing::Values(EndedCall{Outcome::kNotRun, 0, true},
                                         EndedCall{Outcome::kNotRun, 1, false},
                                         EndedCall{Outcome::kUnknown, 0, false},
                                         EndedCall{Outcome::kAnswered, 0,
                                                   false}));

// Guards against units that are given back to the home twice because a datagram
// is repeated, and against units that are lost when they have expired.
TEST_F(FleetLimitFilterTest, ReportsExpiredUnitsToTheHomeOnce) {
  const CallId call = Start(m_workspace);
  Answer(1);
  m_now += 300ms;
  m_limiter.OnTimer(m_now);
  End(call, Outcome::kNotRun);
  Start(m_workspace);
  ASSERT_EQ(m_datagrams.requests.size(), 2U);
  EXPECT_EQ(m_datagrams.requests.back().returned, 1U);
  EXPECT_GE(m_datagrams.requests.back().returned_age, 300ms);
  Answer(1);
  m_now += 1s;
  m_limiter.OnTimer(m_now);
  Start(m_workspace);
  EXPECT_EQ(m_datagrams.requests.back().returned, 0U);
}

}  // namespace
}  // namespace bulrushmount
