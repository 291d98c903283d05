// Tests of `core/claims/claim_book.h`, one for each failure of the table or of
// a claimant.

#include "core/claims/claim_book.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "core/claims/claim_row.h"
#include "unit_tests/core/claims/claim_cluster.h"

namespace bulrushmount {
namespace {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

// The result of a repeat at another node after the first call ended with
// `ending`.
struct RepeatCase {
  const char* name;
  Ending ending;
  std::uint64_t fingerprint;
  Duration later;
  ClaimStatus expected;
};

class RepeatTest : public testing::TestWithParam<RepeatCase> {};

TEST_P(RepeatTest, GetsTheExpectedStatus) {
  ClaimCluster cluster(2);
  const std::size_t first = cluster.Send(0, "k", 1);
  cluster.DrainAll();
  cluster.EndCall(first, GetParam().ending);
  cluster.Advance(60ms);
  cluster.DrainAll();
  cluster.Advance(GetParam().later);
  const std::size_t repeat = cluster.Send(1, "k", GetParam().fingerprint);
  cluster.DrainAll();
  EXPECT_EQ(cluster.StatusOf(repeat), GetParam().expected);
  EXPECT_EQ(cluster.book(1).size(),
            GetParam().expected == ClaimStatus::kGranted ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Claims,
    RepeatTest,
    testing::Values(
        RepeatCase{"Finished", Ending::kFinish, 1, 0s, ClaimStatus::kFinished},
        RepeatCase{"Unknown", Ending::kUnknown, 1, 0s,
                   ClaimStatus::kEarlierOutcomeUnknown},
        RepeatCase{"Released", Ending::kRelease, 1, 0s, ClaimStatus::kGranted},
        RepeatCase{"Running", Ending::kNeverEnds, 1, 0s,
                   ClaimStatus::kInProgress},
        RepeatCase{"RunningForLong", Ending::kNeverEnds, 1, 61s,
                   ClaimStatus::kInProgress},
        RepeatCase{"RunningPastTheGrace", Ending::kNeverEnds, 1, 63s,
                   ClaimStatus::kEarlierOutcomeUnknown},
        RepeatCase{"OtherRequestAfterFinish", Ending::kFinish, 2, 0s,
                   ClaimStatus::kKeyReused},
        RepeatCase{"OtherRequestWhileRunning", Ending::kNeverEnds, 2, 0s,
                   ClaimStatus::kKeyReused},
        RepeatCase{"OtherRequestAfterRelease", Ending::kRelease, 2, 0s,
                   ClaimStatus::kGranted}),
    [](const auto& info) { return info.param.name; });

// Guards against refusing a claimed request and blocking its key: the insert
// takes effect, its reply is lost, and the row must be read back and recognized
// by its token.
TEST(ClaimBookTest, LostAnswerIsReadBack) {
  ClaimCluster cluster(1);
  const std::size_t sent = cluster.Send(0, "k");
  cluster.Resolve(0, Fate::kAnswerLost);
  cluster.DrainAll();
  EXPECT_EQ(cluster.StatusOf(sent), ClaimStatus::kGranted);
  EXPECT_EQ(cluster.book(0).stats().reads, 1U);
  EXPECT_EQ(cluster.book(0).stats().row_writes, 1U);
}

// Guards against reporting a request that never ran as in progress for a day:
// the insert times out, its read-back fails, the caller is refused, and the
// insert is applied after all. A write under the same condition must prevent
// it.
TEST(ClaimBookTest, LateInsertAfterTheRefusalDoesNotBlockTheKey) {
  ClaimCluster cluster(2);
  const std::size_t refused = cluster.Send(0, "k");
  cluster.Resolve(0, Fate::kAppliedLate);
  cluster.Deliver(0);
  cluster.Resolve(0, Fate::kUnavailable);
  cluster.Deliver(0);
  EXPECT_EQ(cluster.StatusOf(refused), ClaimStatus::kStoreUnavailable);
  cluster.Advance(1s);
  cluster.DrainAll();
  cluster.Advance(1s);
  cluster.DrainAll();
  cluster.ApplyLate(0);
  const std::size_t again = cluster.Send(1, "k");
  cluster.DrainAll();
  EXPECT_EQ(cluster.StatusOf(again), ClaimStatus::kGranted);
}

// Guards against the same failure: the insert times out, the read-back finds no
// row, the connection for the second insert is refused, and the first insert is
// applied. The "unavailable" of the second insert does not settle the first.
TEST(ClaimBookTest, LateInsertAfterAnUnavailableOneDoesNotBlockTheKey) {
  ClaimCluster cluster(2);
  const std::size_t refused = cluster.Send(0, "k");
  for (const Fate fate :
       {Fate::kAppliedLate, Fate::kAnswered, Fate::kUnavailable}) {
    cluster.Resolve(0, fate);
    cluster.Deliver(0);
  }
  EXPECT_EQ(cluster.StatusOf(refused), ClaimStatus::kStoreUnavailable);
  cluster.ApplyLate(0);
  cluster.Advance(1s);
  cluster.Advance(60ms);
  cluster.DrainAll();
  cluster.Advance(60ms);
  cluster.DrainAll();
  const std::size_t again = cluster.Send(1, "k");
  cluster.DrainAll();
  EXPECT_EQ(cluster.StatusOf(again), ClaimStatus::kGranted);
}

// Guards against the same failure after a release: the first insert is late,
// the second succeeds, the claim is released, and the first insert is applied.
// This happens if the release deletes the row.
TEST(ClaimBookTest, LateInsertAfterTheReleaseDoesNotBlockTheKey) {
  ClaimCluster cluster(2);
  const std::size_t first = cluster.Send(0, "k");
  cluster.Resolve(0, Fate::kAppliedLate);
  cluster.DrainAll();
  ASSERT_EQ(cluster.StatusOf(first), ClaimStatus::kGranted);
  cluster.EndCall(first, Ending::kRelease);
  cluster.Advance(60ms);
  cluster.DrainAll();
  cluster.ApplyLate(0);
  const std::size_t again = cluster.Send(1, "k");
  cluster.DrainAll();
  EXPECT_EQ(cluster.StatusOf(again), ClaimStatus::kGranted);
}

// Guards against reporting a request that did not run as "outcome unknown" for
// a day: the target sheds it, the claim is released, and its node is killed 20
// ms later. The write of a release must not wait as long as that of an outcome.
TEST(ClaimBookTest, AReleaseOutlivesItsNode) {
  ClaimCluster cluster(2);
  const std::size_t first = cluster.Send(0, "k");
  cluster.DrainAll();
  cluster.EndCall(first, Ending::kRelease);
  cluster.Advance(20ms);
  cluster.DrainAll();
  cluster.Crash(0);
  const std::size_t again = cluster.Send(1, "k");
  cluster.DrainAll();
  EXPECT_EQ(cluster.StatusOf(again), ClaimStatus::kGranted);
}

// Guards against a request that runs twice: the claimant is frozen while its
// grant is in transit, its caller gives up and sends again to another node, and
// the claimant resumes. The claim must not be taken over, and the deadline must
// be checked.
TEST(ClaimBookTest, ClaimantFrozenBeforeItsGrantRunsNothing) {
  ClaimCluster cluster(2);
  const std::size_t first = cluster.Send(0, "k");
  cluster.Resolve(0, Fate::kAnswered);
  cluster.SetFrozen(0, true);
  cluster.Advance(30s);
  const std::size_t repeat = cluster.Send(1, "k");
  cluster.DrainAll();
  EXPECT_EQ(cluster.StatusOf(repeat), ClaimStatus::kInProgress);
  cluster.SetFrozen(0, false);
  cluster.DrainAll();
  EXPECT_EQ(cluster.StatusOf(first), ClaimStatus::kStoreUnavailable);
  cluster.Advance(2s);
  cluster.DrainAll();
  const std::size_t later = cluster.Send(1, "k");
  cluster.DrainAll();
  EXPECT_EQ(cluster.StatusOf(later), ClaimStatus::kGranted);
}

// The same, but frozen between the grant and the dispatch.
TEST(ClaimBookTest, ClaimantFrozenBeforeItsDispatchRunsNothing) {
  ClaimCluster cluster(1);
  const std::size_t sent = cluster.Send(0, "k");
  cluster.DrainAll();
  ASSERT_EQ(cluster.StatusOf(sent), ClaimStatus::kGranted);
  const ClaimId claim = cluster.sends().at(sent).claim;
  EXPECT_TRUE(cluster.book(0).CheckBeforeDispatch(cluster.now(), claim));
  cluster.Advance(2s);
  EXPECT_FALSE(cluster.book(0).CheckBeforeDispatch(cluster.now(), claim));
  cluster.book(0).Release(cluster.now(), claim);
  EXPECT_FALSE(cluster.book(0).CheckBeforeDispatch(cluster.now(), claim));
}

// Guards against a request that runs twice: the claimant dispatches it and is
// killed, and the caller repeats it at each node for an hour. No other node may
// take the claim over.
TEST(ClaimBookTest, ClaimOfAKilledNodeIsNeverTakenOver) {
  ClaimCluster cluster(3);
  cluster.Send(0, "k");
  cluster.DrainAll();
  cluster.Crash(0);
  for (std::size_t node = 0; node < 3; ++node) {
    cluster.Advance(1200s);
    const std::size_t repeat = cluster.Send(node, "k");
    cluster.DrainAll();
    EXPECT_EQ(cluster.StatusOf(repeat), ClaimStatus::kEarlierOutcomeUnknown);
  }
}

// Guards against calls that wait while the store is down, because each of them
// sends a request to the table: an outage of 5 s with 10 calls per second.
TEST(ClaimBookTest, FailingStoreRefusesImmediatelyAndIsTriedOncePerSecond) {
  ClaimCluster cluster(1);
  std::size_t table_requests = 0;
  for (int call = 0; call < 50; ++call) {
    const std::size_t sent = cluster.Send(0, "k" + std::to_string(call));
    table_requests += cluster.waiting();
    cluster.Resolve(0, Fate::kUnavailable);
    cluster.Deliver(0);
    EXPECT_EQ(cluster.StatusOf(sent), ClaimStatus::kStoreUnavailable);
    cluster.Advance(100ms);
  }
  EXPECT_EQ(table_requests, 3U + 4U);
  EXPECT_TRUE(cluster.book(0).is_store_failing());
  cluster.Advance(1s);
  const std::size_t trial = cluster.Send(0, "trial");
  cluster.DrainAll();
  EXPECT_EQ(cluster.StatusOf(trial), ClaimStatus::kGranted);
  EXPECT_FALSE(cluster.book(0).is_store_failing());
}

// Guards against a call that waits until its deadline while the store does not
// reply at all, because the claim waits for the timeout of the adapter.
TEST(ClaimBookTest, SilentStoreRefusesAfterTheLongestWait) {
  ClaimCluster cluster(1);
  const std::size_t sent = cluster.Send(0, "k");
  EXPECT_EQ(cluster.book(0).NextWakeup(), cluster.now() + 1s);
  cluster.Advance(1s);
  EXPECT_EQ(cluster.StatusOf(sent), ClaimStatus::kStoreUnavailable);
  cluster.Resolve(0, Fate::kAnswered);
  cluster.Deliver(0);
  EXPECT_FALSE(cluster.book(0).CheckBeforeDispatch(
      cluster.now(), cluster.sends().at(sent).claim));
  cluster.Advance(60ms);
  cluster.DrainAll();
  EXPECT_EQ(cluster.book(0).size(), 0U);
}

// Guards against a conflict of one claim that fails the others in its
// transaction: four claims are batched while a transaction is in flight, and
// the key of one is taken.
TEST(ClaimBookTest, ConflictIsSplitOutOfItsBatch) {
  ClaimCluster cluster(2);
  cluster.Send(1, "taken");
  cluster.DrainAll();
  cluster.Send(0, "lone");
  const std::vector<std::string> keys = {"a", "taken", "b", "c"};
  std::vector<std::size_t> sends;
  sends.reserve(keys.size());
  for (const std::string& key : keys)
    sends.push_back(cluster.Send(0, key));
  EXPECT_EQ(cluster.waiting(), 1U);
  cluster.Advance(1ms);
  EXPECT_EQ(cluster.waiting(), 2U);
  cluster.DrainAll();
  for (std::size_t index = 0; index < keys.size(); ++index) {
    EXPECT_EQ(cluster.StatusOf(sends[index]), keys[index] == "taken"
                                                  ? ClaimStatus::kInProgress
                                                  : ClaimStatus::kGranted);
  }
  EXPECT_EQ(cluster.book(0).stats().transactions, 3U);
}

TEST(ClaimBookTest, ConcurrentCallsOfOneNodeConflictWithoutTheTable) {
  ClaimCluster cluster(1);
  const std::size_t first = cluster.Send(0, "k");
  const std::size_t second = cluster.Send(0, "k");
  EXPECT_EQ(cluster.waiting(), 1U);
  EXPECT_EQ(cluster.StatusOf(second), ClaimStatus::kInProgress);
  cluster.DrainAll();
  EXPECT_EQ(cluster.StatusOf(first), ClaimStatus::kGranted);
}

// Guards against reporting a request that ran as in progress forever: the store
// is down for a minute between grant and outcome, and the write of the outcome
// is not retried.
TEST(ClaimBookTest, OutcomeIsWrittenAfterAnOutage) {
  ClaimCluster cluster(2);
  const std::size_t first = cluster.Send(0, "k");
  cluster.DrainAll();
  cluster.EndCall(first, Ending::kFinish);
  for (int second = 0; second < 60; ++second) {
    cluster.Advance(1s);
    cluster.Resolve(0, Fate::kUnavailable);
    cluster.Deliver(0);
  }
  const std::size_t local = cluster.Send(0, "k");
  EXPECT_EQ(cluster.StatusOf(local), ClaimStatus::kFinished);
  for (int round = 0; round < 3; ++round) {
    cluster.Advance(17s);
    cluster.DrainAll();
  }
  const std::size_t remote = cluster.Send(1, "k");
  cluster.DrainAll();
  ASSERT_EQ(cluster.StatusOf(remote), ClaimStatus::kFinished);
  EXPECT_EQ(cluster.sends().at(remote).result->answer, AnswerOfRun(first));
  EXPECT_EQ(cluster.book(0).size(), 0U);
}

// Guards against unbounded memory use during an outage, while outcomes cannot
// be written.
TEST(ClaimBookTest, PendingOutcomesAreBounded) {
  ClaimSettings settings;
  settings.max_pending_outcomes = 2;
  settings.max_pending_body_bytes = 30;
  ClaimCluster cluster(1, settings);
  for (const char* key : {"a", "b", "c"})
    cluster.Send(0, key);
  cluster.Advance(1ms);
  cluster.DrainAll();
  cluster.EndAllGranted(Ending::kFinish);
  EXPECT_EQ(cluster.book(0).size(), 2U);
  EXPECT_EQ(cluster.book(0).stats().outcomes_dropped, 1U);
  EXPECT_GE(cluster.book(0).stats().bodies_not_kept, 1U);
}

TEST(ClaimBookTest, LargeAnswerIsReplayedAsAConflictWithoutItsBody) {
  ClaimCluster cluster(1);
  const std::size_t sent = cluster.Send(0, "k");
  cluster.DrainAll();
  cluster.book(0).Finish(cluster.now(), cluster.sends().at(sent).claim,
                         {201, "text/plain", std::string(16 * 1024 + 1, 'x')});
  cluster.Advance(60ms);
  cluster.DrainAll();
  const std::size_t repeat = cluster.Send(0, "k");
  cluster.DrainAll();
  ASSERT_EQ(cluster.StatusOf(repeat), ClaimStatus::kFinished);
  const StoredAnswer& answer = cluster.sends().at(repeat).result->answer;
  EXPECT_FALSE(answer.is_body_kept);
  EXPECT_EQ(ToReplay(answer).status, 409);
  EXPECT_NE(ToReplay(answer).body.find("201"), std::string::npos);
}

// Guards against a key that stays blocked after its caller disconnects while
// the insert is in transit, because the claim is dropped without a release.
TEST(ClaimBookTest, CallerThatDisconnectsWhileAcquiringLeavesNoClaim) {
  ClaimCluster cluster(2);
  const std::size_t first = cluster.Send(0, "k");
  cluster.book(0).Release(cluster.now(), cluster.sends().at(first).claim);
  cluster.DrainAll();
  cluster.Advance(60ms);
  cluster.DrainAll();
  EXPECT_EQ(cluster.sends().at(first).callbacks, 0);
  const std::size_t again = cluster.Send(1, "k");
  cluster.DrainAll();
  EXPECT_EQ(cluster.StatusOf(again), ClaimStatus::kGranted);
}

// Guards against a request that runs twice across an upgrade: a row in the
// format of a later release must not be read as no row.
TEST(ClaimBookTest, UnreadableRowCountsAsOutcomeUnknown) {
  ClaimCluster cluster(1);
  const std::string key =
      detail::ClaimRowKey(WorkspaceName("publisher"), IdempotencyKey("k"));
  cluster.table().Apply(TableTransact{{}, {{key, "\xff\xff"}}, {}});
  const std::size_t sent = cluster.Send(0, "k");
  cluster.DrainAll();
  EXPECT_EQ(cluster.StatusOf(sent), ClaimStatus::kEarlierOutcomeUnknown);
}

}  // namespace
}  // namespace bulrushmount
