// Tests the invariants of several nodes together with kills, freezes, network
// partitions and table outages between any two actions.

#include "core/node_logic/node_logic.h"

#include <array>
#include <chrono>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "unit_tests/core/node_logic/fleet.h"

namespace bulrushmount {
namespace {

using testing::CallerView;
using testing::Fleet;

constexpr char kWorkspace[] = "paramo";
constexpr char kService[] = "session-desk";
constexpr Duration kDeadline = std::chrono::milliseconds(500);
// Time that a refusal or an answer may take beyond the deadline, for
// transmission.
constexpr Duration kMargin = std::chrono::milliseconds(5);

constexpr char kContract[] = R"(workspace: paramo
services:
  - name: session-desk
    kinds:
      - name: book
        method: PUT
        path: /
        repeatable: false
        weight: 1
        deadline: 500ms
        objective: {fraction: 0.99, within: 100ms}
      - name: download
        method: GET
        path: /masters
        repeatable: true
        weight: 1
        deadline: 60s
        objective: {fraction: 0.99, within: 100ms}
      - name: browse
        method: "*"
        path: /
        repeatable: true
        weight: 1
        deadline: 500ms
        objective: {fraction: 0.99, within: 100ms}
limits: {units_per_second: 100000, burst_units: 100000, in_flight: 10000}
share: 1
key_retention: 24h
)";

constexpr char kMeasuringContract[] = R"(workspace: measurement
budgets:
  - {service: session-desk, probes_per_second: 2, probes_in_flight: 1}
)";
constexpr std::size_t kProbesPerSecond = 2;

class NodeLogicTest : public ::testing::Test {
 public:
  // Returns a fleet whose nodes know each other, the contract and their
  // targets.
  static std::unique_ptr<Fleet> MakeFleet(
      std::size_t nodes,
      std::uint64_t seed,
      Duration settling = std::chrono::seconds(5)) {
    auto fleet = std::make_unique<Fleet>(nodes, seed, kService);
    fleet->WriteContract(kWorkspace, kContract);
    fleet->WriteContract(kMeasurementWorkspace, kMeasuringContract);
    const bool is_ready = fleet->RunUntil(
        [&fleet] {
          for (std::size_t node = 0; node < fleet->size(); ++node) {
            if (!fleet->logic(node).IsReady())
              return false;
          }
          return true;
        },
        std::chrono::seconds(60));
    EXPECT_TRUE(is_ready);
    fleet->Run(settling);
    return fleet;
  }
};

// Failure: `contract write --wait` returns long after the change is in force.
// The writing node does not query the other members, so it learns the revision
// of each only with that member's next heartbeat to it, one member per 0.5 s.
TEST_F(NodeLogicTest, WriterPromptlyLearnsThatAllHaveTheRevision) {
  const std::size_t nodes = 40;
  const auto fleet = MakeFleet(nodes, 5);
  fleet->WriteContract("measurement", kMeasuringContract);
  const auto knows = [&fleet] {
    const std::string status = fleet->logic(0).StatusJson(fleet->now());
    std::size_t found = 0;
    for (std::size_t at = status.find("\"revision\":2"); at != status.npos;
         at = status.find("\"revision\":2", at + 1))
      ++found;
    // One entry per member and one for the node itself.
    return found == nodes + 1;
  };
  EXPECT_TRUE(fleet->RunUntil(knows, std::chrono::seconds(1)));
}

// Guards against datagrams that are not counted, or as of the same zone.
TEST_F(NodeLogicTest, CountsTheBytesOfDatagramsByCauseAndDistance) {
  const auto fleet = MakeFleet(4, 1);
  const std::string page = fleet->logic(0).MetricsText(fleet->now());
  for (const char* const distance : {"same-zone", "other-zone"}) {
    const std::string series =
        "bulrushmount_sent_bytes_total{cause=\"membership\",distance=\"" +
        std::string(distance) + "\"} ";
    const std::size_t at = page.find(series);
    ASSERT_NE(at, std::string::npos) << distance;
    EXPECT_GT(std::stoul(page.substr(at + series.size())), 1000U) << distance;
  }
}

TEST_F(NodeLogicTest, AnswersCallsAtEveryEntry) {
  const auto fleet = MakeFleet(3, 1);
  for (std::size_t entry = 0; entry < fleet->size(); ++entry)
    fleet->Send(entry, fleet->MakeHead(kWorkspace, "GET", "/scripts"));
  fleet->Run(kDeadline);
  for (const CallerView& call : fleet->calls()) {
    EXPECT_EQ(call.outcome, Outcome::kAnswered) << TraitsOf(call.reason).token;
    EXPECT_EQ(fleet->RunsOf(call.request_id), 1U);
  }
}

TEST_F(NodeLogicTest, RunsARepeatedKeyOnceAndReplaysItsAnswer) {
  const auto fleet = MakeFleet(3, 2);
  for (std::size_t entry = 0; entry < fleet->size(); ++entry) {
    CallHead head = fleet->MakeHead(kWorkspace, "PUT", "/slots/7");
    head.idempotency_key = IdempotencyKey("booking-7");
    fleet->Send(entry, head);
    fleet->Run(std::chrono::seconds(2));
  }
  EXPECT_EQ(fleet->RunsOfKey("paramo/booking-7"), 1U);
  for (const CallerView& call : fleet->calls())
    EXPECT_EQ(call.outcome, Outcome::kAnswered);
}

// The outcome reported to a caller must agree with the recorded runs of the
// targets.
void CheckReportedOutcome(const Fleet& fleet, const CallerView& call) {
  const std::size_t runs = fleet.RunsOf(call.request_id);
  if (call.outcome == Outcome::kNotRun)
    RC_ASSERT(runs == 0U);
  if (call.key) {
    RC_ASSERT(fleet.RunsOfKey(
                  fmt::format("{}/{}", kWorkspace, call.key->value())) <= 1U);
  } else if (call.outcome == Outcome::kAnswered) {
    RC_ASSERT(runs >= 1U);
  }
}

// Every call whose connection stays open and whose entry was never frozen gets
// its final answer in time.
void CheckAnswerTime(const Fleet& fleet, const CallerView& call) {
  if (call.is_connection_closed || fleet.WasEverFrozen(call.entry))
    return;
  RC_ASSERT(call.outcome.has_value());
  RC_ASSERT(call.answered_at <= call.sent_at + kDeadline + kMargin);
}

// The number of probes in any second is within the contract.
void CheckProbes(const Fleet& fleet) {
  const std::vector<TimePoint>& probes = fleet.probes();
  for (std::size_t first = 0; first + kProbesPerSecond < probes.size();
       ++first) {
    const Duration span = probes[first + kProbesPerSecond] - probes[first];
    RC_ASSERT(span >= std::chrono::seconds(1));
  }
}

// A fault or a call as data, so that a failing sequence can be printed.
struct Step {
  enum class Kind : std::uint8_t {
    kCall,
    kBooking,
    kPoison,
    kKill,
    kFreeze,
    kResume,
    kCrash,
    kCut,
    kHeal,
    kTable,
    kSlow,
    kWait,
  };
  Kind kind = Kind::kCall;
  std::size_t node = 0;
  // Depends on the kind: a key, a number of actions, a fault, or milliseconds.
  std::size_t detail = 0;
  Duration pause{};
};

std::ostream& operator<<(std::ostream& out, const Step& step) {
  return out << fmt::format("{{{} node {} detail {} pause {} us}}",
                            static_cast<int>(step.kind), step.node, step.detail,
                            step.pause.count() / 1000);
}

constexpr std::size_t kNodes = 3;

rc::Gen<Step> AnyStep() {
  using Kind = Step::Kind;
  const auto kind = rc::gen::weightedElement<Kind>({{8, Kind::kCall},
                                                    {8, Kind::kBooking},
                                                    {2, Kind::kPoison},
                                                    {1, Kind::kKill},
                                                    {3, Kind::kFreeze},
                                                    {2, Kind::kResume},
                                                    {2, Kind::kCrash},
                                                    {1, Kind::kCut},
                                                    {1, Kind::kHeal},
                                                    {3, Kind::kTable},
                                                    {2, Kind::kSlow},
                                                    {2, Kind::kWait}});
  const auto pause = rc::gen::map(rc::gen::inRange(0, 20'000), [](int us) {
    return Duration(std::chrono::microseconds(us));
  });
  return rc::gen::build<Step>(
      rc::gen::set(&Step::kind, kind),
      rc::gen::set(&Step::node, rc::gen::inRange<std::size_t>(0, kNodes)),
      rc::gen::set(&Step::detail, rc::gen::inRange<std::size_t>(0, 700)),
      rc::gen::set(&Step::pause, pause));
}

CallHead MakeBooking(Fleet& fleet, std::size_t key) {
  CallHead head = fleet.MakeHead(kWorkspace, "PUT", "/slots");
  head.idempotency_key = IdempotencyKey(fmt::format("key-{}", key % 5));
  return head;
}

void ApplyStep(Fleet& fleet, const Step& step) {
  constexpr std::array faults = {TableFault::kNone, TableFault::kDown,
                                 TableFault::kSilent, TableFault::kAnswerLost};
  constexpr std::size_t most_actions = 6;
  switch (step.kind) {
    case Step::Kind::kCall:
      fleet.Send(step.node, fleet.MakeHead(kWorkspace, "GET", "/scripts"));
      break;
    case Step::Kind::kBooking:
      fleet.Send(step.node, MakeBooking(fleet, step.detail));
      break;
    case Step::Kind::kPoison:
      fleet.Send(step.node,
                 fleet.MakeHead(kWorkspace, Fleet::kPoisonMethod, "/scripts"));
      break;
    case Step::Kind::kKill:
      fleet.Kill(step.node);
      break;
    case Step::Kind::kFreeze:
      fleet.Freeze(step.node, step.detail % most_actions);
      break;
    case Step::Kind::kResume:
      fleet.Resume(step.node);
      break;
    case Step::Kind::kCrash:
      fleet.CrashTarget(step.node);
      break;
    case Step::Kind::kCut:
      fleet.SetGossipLost(step.node, true);
      break;
    case Step::Kind::kHeal:
      fleet.SetGossipLost(step.node, false);
      break;
    case Step::Kind::kTable:
      fleet.table().SetFault(faults.at(step.detail % faults.size()));
      break;
    case Step::Kind::kSlow:
      fleet.SetServiceTime(step.node,
                           std::chrono::milliseconds(step.detail + 1));
      break;
    case Step::Kind::kWait:
      fleet.Run(std::chrono::milliseconds(step.detail * 20));
      break;
  }
  fleet.Run(step.pause);
}

void EndAllFaults(Fleet& fleet) {
  fleet.table().SetFault(TableFault::kNone);
  for (std::size_t node = 0; node < fleet.size(); ++node) {
    fleet.SetGossipLost(node, false);
    fleet.Resume(node);
  }
}

std::unique_ptr<Fleet> RunHistory(std::uint64_t seed,
                                  const std::vector<Step>& steps) {
  auto fleet = NodeLogicTest::MakeFleet(kNodes, seed);
  for (const Step& step : steps)
    ApplyStep(*fleet, step);
  EndAllFaults(*fleet);
  fleet->Run(std::chrono::seconds(3));
  return fleet;
}

// Checks for arbitrary sequences of kills, freezes between two actions, target
// crashes, gossip partitions and table outages: no request is reported as not
// run although a target ran it, no booking runs twice, every call gets an
// outcome, and no target gets more probes than the contract allows.
RC_GTEST_PROP(NodeHistories, SatisfyTheInvariants, (std::uint64_t seed)) {
  const auto steps = *rc::gen::container<std::vector<Step>>(AnyStep());
  const auto fleet = RunHistory(seed, steps);
  for (const CallerView& call : fleet->calls()) {
    CheckReportedOutcome(*fleet, call);
    CheckAnswerTime(*fleet, call);
  }
  CheckProbes(*fleet);
}

// Failure: a fleet does not recover after all faults have ended, because some
// state is never cleared.
RC_GTEST_PROP(NodeHistories, RecoverAfterAllFaultsEnd, (std::uint64_t seed)) {
  const auto steps = *rc::gen::container<std::vector<Step>>(AnyStep());
  const auto fleet = RunHistory(seed, steps);
  for (std::size_t node = 0; node < kNodes; ++node)
    fleet->SetServiceTime(node, std::chrono::milliseconds(5));
  fleet->Run(std::chrono::seconds(90));
  for (std::size_t entry = 0; entry < kNodes; ++entry) {
    CallHead head = fleet->MakeHead(kWorkspace, "PUT", "/after");
    head.idempotency_key = IdempotencyKey(fmt::format("after-{}", entry));
    fleet->Send(entry, head);
    fleet->Run(kDeadline);
    RC_ASSERT(fleet->calls().back().outcome == Outcome::kAnswered);
  }
}

// Failure: one request that its caller repeats crashes one target after
// another, sent through all entries in turn and at once, because the crashes
// are not attributed to the request.
TEST_F(NodeLogicTest, PoisonCrashesABoundedNumberOfTargets) {
  constexpr std::size_t repeats = 30;
  // Runs in progress at the first crash, and one run with a permit.
  constexpr std::size_t max_crashes = kNodes + 1;
  const auto fleet = MakeFleet(kNodes, 4);
  for (std::size_t repeat = 0; repeat < repeats; ++repeat) {
    for (std::size_t entry = 0; entry < kNodes; ++entry) {
      fleet->Send(
          entry, fleet->MakeHead(kWorkspace, Fleet::kPoisonMethod, "/scripts"));
    }
    fleet->Run(std::chrono::milliseconds(700));
  }
  RecordProperty("crashes", static_cast<int>(fleet->crashes()));
  EXPECT_GE(fleet->crashes(), 1U);
  EXPECT_LE(fleet->crashes(), max_crashes);
}

// Failure: a harmless request that ran concurrently with a crashing one gets a
// Retry-After of a minute although it could run within a second. The target
// crashes with both requests, the harmless one is sent twice concurrently, then
// the crashing one runs alone, crashes the target again and is sent once more.
// The cause is that suspect and quarantined requests are refused with the same
// reason.
TEST_F(NodeLogicTest,
       SuspectAndQuarantinedRequestsAreRefusedWithDifferentReasons) {
  const auto fleet = MakeFleet(1, 7);
  fleet->Run(std::chrono::seconds(10));
  const auto send = [&fleet](const char* method) {
    return fleet->Send(0, fleet->MakeHead(kWorkspace, method, "/folios"));
  };
  fleet->SetServiceTime(0, std::chrono::milliseconds(300));
  send("GET");
  fleet->Run(std::chrono::milliseconds(50));
  send(Fleet::kPoisonMethod);
  fleet->Run(std::chrono::seconds(3));

  const std::size_t first = send("GET");
  const std::size_t concurrent = send("GET");
  fleet->Run(std::chrono::seconds(1));
  EXPECT_EQ(fleet->calls()[first].outcome, Outcome::kAnswered);
  EXPECT_EQ(fleet->calls()[concurrent].outcome, Outcome::kNotRun);
  EXPECT_EQ(fleet->calls()[concurrent].reason, Reason::kSuspect);

  send(Fleet::kPoisonMethod);
  fleet->Run(std::chrono::seconds(3));
  const std::size_t quarantined = send(Fleet::kPoisonMethod);
  fleet->Run(std::chrono::seconds(1));
  EXPECT_EQ(fleet->calls()[quarantined].reason, Reason::kQuarantined);
  EXPECT_EQ(fleet->crashes(), 2U);
}

// Failure: a withdrawn target gets new work. It withdraws while gossip is lost,
// and calls continue at all entries. The entries act on outdated state; only
// the owner knows the current one.
TEST_F(NodeLogicTest, WithdrawnTargetGetsNoNewWork) {
  const auto fleet = MakeFleet(kNodes, 5);
  for (std::size_t node = 0; node < kNodes; ++node)
    fleet->SetGossipLost(node, true);
  fleet->WithdrawTarget(1);
  const TimePoint withdrawn_at = fleet->now();
  for (int round = 0; round < 50; ++round) {
    for (std::size_t entry = 0; entry < kNodes; ++entry)
      fleet->Send(entry, fleet->MakeHead(kWorkspace, "GET", "/scripts"));
    fleet->Run(std::chrono::milliseconds(20));
  }
  EXPECT_LE(fleet->LastRunAt(1).value_or(withdrawn_at), withdrawn_at);
  std::size_t answered = 0;
  for (const CallerView& call : fleet->calls())
    answered += call.outcome == Outcome::kAnswered ? 1 : 0;
  EXPECT_GT(answered, 0U);
}

// Failure: a graceful shutdown aborts requests in progress. All nodes are
// stopped one after the other while calls run that take longer than any other
// step of the shutdown, and the exit does not wait for them.
TEST_F(NodeLogicTest, ShutdownCompletesRequestsInProgressAndExits) {
  const auto fleet = MakeFleet(kNodes, 6);
  for (std::size_t node = 0; node < kNodes; ++node) {
    fleet->SetServiceTime(node, std::chrono::seconds(20));
    fleet->Send(node, fleet->MakeHead(kWorkspace, "GET", "/masters/1"));
  }
  fleet->Run(std::chrono::milliseconds(50));
  for (std::size_t node = 0; node < kNodes; ++node)
    fleet->Shutdown(node);
  EXPECT_TRUE(fleet->RunUntil(
      [&fleet] {
        return fleet->has_exited(0) && fleet->has_exited(1) &&
               fleet->has_exited(2);
      },
      std::chrono::seconds(60)));
  for (const CallerView& call : fleet->calls())
    EXPECT_EQ(call.outcome, Outcome::kAnswered) << TraitsOf(call.reason).token;
}

// Failure: a booking is executed after its caller has given up. The entry sends
// its claim to the table and is frozen; the claim is granted, the caller gives
// up, and the entry resumes and dispatches, because a granted claim has no time
// limit for the dispatch.
TEST_F(NodeLogicTest, FrozenClaimantDoesNotDispatchAfterTheDeadline) {
  const auto fleet = MakeFleet(kNodes, 8);
  fleet->Send(0, MakeBooking(*fleet, 0));
  fleet->Freeze(0);
  fleet->Run(2 * kDeadline);
  fleet->Resume(0);
  fleet->Run(std::chrono::seconds(2));
  EXPECT_EQ(fleet->RunsOfKey("paramo/key-0"), 0U);
  // The key is available again: the retry of the caller runs.
  const std::size_t again = fleet->Send(1, MakeBooking(*fleet, 0));
  fleet->Run(kDeadline);
  EXPECT_EQ(fleet->calls()[again].outcome, Outcome::kAnswered);
  EXPECT_EQ(fleet->RunsOfKey("paramo/key-0"), 1U);
}

// Failure: callers get "not run" although other targets are free. A target
// crashes, and calls are sent to it before its node has announced that. No
// retry was reserved for the attempt, so none is made.
TEST_F(NodeLogicTest, AttemptThatWasNotRunGoesToAnotherOwner) {
  const auto fleet = MakeFleet(kNodes, 5);
  fleet->CrashTarget(1);
  // Not more concurrent calls than the retries that the budget reserves for an
  // idle service.
  constexpr int calls = 5;
  for (int call = 0; call < calls; ++call)
    fleet->Send(0, fleet->MakeHead(kWorkspace, "GET", "/scripts"));
  fleet->Run(kDeadline);
  for (const CallerView& call : fleet->calls())
    EXPECT_EQ(call.outcome, Outcome::kAnswered) << TraitsOf(call.reason).token;
}

// Failure: a workspace is refused with workspace-rate-limit although it sends a
// hundredth of its contractual rate. In a new fleet the limiter homes can lend
// little at first, and the first calls arrive at all entries within a third of
// a second. An entry with a loan uses only that loan, and the first loan was
// sized for a single call.
TEST_F(NodeLogicTest, FirstCallsWithinTheLimitAreAdmitted) {
  const auto fleet = MakeFleet(kNodes, 9, Duration(0));
  for (int round = 0; round < 100; ++round) {
    for (std::size_t entry = 0; entry < kNodes; ++entry)
      fleet->Send(entry, fleet->MakeHead(kWorkspace, "GET", "/scripts"));
    fleet->Run(std::chrono::microseconds(3540));
  }
  std::size_t refused = 0;
  for (const CallerView& call : fleet->calls())
    refused += call.reason == Reason::kWorkspaceRateLimit ? 1 : 0;
  EXPECT_EQ(refused, 0U) << "of " << fleet->calls().size();
}

// Failure: a node applies a contract that was replaced. Three changes are made
// while the node is frozen, and after it resumes it continues with its old
// state.
TEST_F(NodeLogicTest, FrozenNodeCatchesUpWithTheConfiguration) {
  const auto fleet = MakeFleet(kNodes, 7);
  fleet->Freeze(2);
  for (const char* const workspace : {"one", "two", "three"}) {
    std::string yaml = kContract;
    yaml.replace(yaml.find("paramo"), 6, workspace);
    fleet->WriteContract(workspace, yaml);
  }
  fleet->Run(std::chrono::seconds(8));
  fleet->Resume(2);
  fleet->Run(std::chrono::seconds(5));
  const std::size_t call =
      fleet->Send(2, fleet->MakeHead("three", "GET", "/scripts"));
  fleet->Run(kDeadline);
  EXPECT_EQ(fleet->calls()[call].outcome, Outcome::kAnswered)
      << TraitsOf(fleet->calls()[call].reason).token;
}

}  // namespace
}  // namespace bulrushmount
