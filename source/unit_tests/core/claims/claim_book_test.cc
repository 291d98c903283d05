// Failures of the table and of claimants, one by one.

#include "core/claims/claim_book.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "core/claims/claim_row.h"
#include "unit_tests/core/claims/claim_world.h"

namespace bulrushmount {
namespace {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

// What a repeat at another node is told once the first call has ended so.
struct RepeatCase {
  const char* name;
  Ending ending;
  std::uint64_t fingerprint;
  Duration later;
  ClaimStatus expected;
};

class RepeatTest : public testing::TestWithParam<RepeatCase> {};

TEST_P(RepeatTest, IsTold) {
  ClaimWorld world(2);
  const std::size_t first = world.Send(0, "k", 1);
  world.DrainAll();
  world.GoOn(first, GetParam().ending);
  world.Pass(60ms);
  world.DrainAll();
  world.Pass(GetParam().later);
  const std::size_t repeat = world.Send(1, "k", GetParam().fingerprint);
  world.DrainAll();
  EXPECT_EQ(world.StatusOf(repeat), GetParam().expected);
  EXPECT_EQ(world.book(1).size(),
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

// Symptom: a claimed booking is refused, and its key is blocked. Sequence: the
// insert takes effect, its answer is lost. Cause: no read-back by token.
TEST(ClaimBookTest, LostAnswerIsReadBack) {
  ClaimWorld world(1);
  const std::size_t sent = world.Send(0, "k");
  world.Settle(0, Fate::kAnswerLost);
  world.DrainAll();
  EXPECT_EQ(world.StatusOf(sent), ClaimStatus::kGranted);
  EXPECT_EQ(world.book(0).stats().reads, 1U);
  EXPECT_EQ(world.book(0).stats().row_writes, 1U);
}

// Symptom: a booking that never ran is told as in progress for a day. Sequence:
// the insert times out and its read-back fails; the caller is refused; the
// insert lands after all. Cause: nothing was written to keep it out.
TEST(ClaimBookTest, InsertThatLandsAfterTheRefusalIsKeptOut) {
  ClaimWorld world(2);
  const std::size_t refused = world.Send(0, "k");
  world.Settle(0, Fate::kLandsLate);
  world.Deliver(0);
  world.Settle(0, Fate::kDown);
  world.Deliver(0);
  EXPECT_EQ(world.StatusOf(refused), ClaimStatus::kStoreUnavailable);
  world.Pass(1s);
  world.DrainAll();
  world.Pass(1s);
  world.DrainAll();
  world.Land(0);
  const std::size_t again = world.Send(1, "k");
  world.DrainAll();
  EXPECT_EQ(world.StatusOf(again), ClaimStatus::kGranted);
}

// Symptom: the same. Sequence: the insert times out, the read-back finds no
// row, and the second insert meets a refused connection; then the first lands.
// Cause: "unavailable" of the second was taken for the fate of both.
TEST(ClaimBookTest, InsertThatLandsAfterAnUnavailableOneIsKeptOut) {
  ClaimWorld world(2);
  const std::size_t refused = world.Send(0, "k");
  for (const Fate fate : {Fate::kLandsLate, Fate::kAnswered, Fate::kDown}) {
    world.Settle(0, fate);
    world.Deliver(0);
  }
  EXPECT_EQ(world.StatusOf(refused), ClaimStatus::kStoreUnavailable);
  world.Land(0);
  world.Pass(1s);
  world.Pass(60ms);
  world.DrainAll();
  world.Pass(60ms);
  world.DrainAll();
  const std::size_t again = world.Send(1, "k");
  world.DrainAll();
  EXPECT_EQ(world.StatusOf(again), ClaimStatus::kGranted);
}

// Symptom: the same, although the claim was released. Sequence: the first
// insert is late, the second succeeds; the claim is released; the first lands.
// Cause: the release deleted the row.
TEST(ClaimBookTest, InsertThatLandsAfterTheReleaseIsKeptOut) {
  ClaimWorld world(2);
  const std::size_t first = world.Send(0, "k");
  world.Settle(0, Fate::kLandsLate);
  world.DrainAll();
  ASSERT_EQ(world.StatusOf(first), ClaimStatus::kGranted);
  world.GoOn(first, Ending::kRelease);
  world.Pass(60ms);
  world.DrainAll();
  world.Land(0);
  const std::size_t again = world.Send(1, "k");
  world.DrainAll();
  EXPECT_EQ(world.StatusOf(again), ClaimStatus::kGranted);
}

// Symptom: a repeat of a booking that was not run hears for a day that its
// outcome is unknown. Sequence: the target sheds it, the claim is released, and
// its node is killed 20 ms later. Cause: the release waited with the outcomes,
// which are in no haste.
TEST(ClaimBookTest, AReleaseOutlivesItsNode) {
  ClaimWorld world(2);
  const std::size_t first = world.Send(0, "k");
  world.DrainAll();
  world.GoOn(first, Ending::kRelease);
  world.Pass(20ms);
  world.DrainAll();
  world.Crash(0);
  const std::size_t again = world.Send(1, "k");
  world.DrainAll();
  EXPECT_EQ(world.StatusOf(again), ClaimStatus::kGranted);
}

// Symptom: a publisher is charged twice. Sequence: the claimant is frozen with
// its grant on the way; its caller gives up and sends again elsewhere; the
// claimant wakes. Cause: the claim was taken over, or the deadline not checked.
TEST(ClaimBookTest, ClaimantFrozenBeforeItsGrantRunsNothing) {
  ClaimWorld world(2);
  const std::size_t first = world.Send(0, "k");
  world.Settle(0, Fate::kAnswered);
  world.SetFrozen(0, true);
  world.Pass(30s);
  const std::size_t repeat = world.Send(1, "k");
  world.DrainAll();
  EXPECT_EQ(world.StatusOf(repeat), ClaimStatus::kInProgress);
  world.SetFrozen(0, false);
  world.DrainAll();
  EXPECT_EQ(world.StatusOf(first), ClaimStatus::kStoreUnavailable);
  world.Pass(2s);
  world.DrainAll();
  const std::size_t later = world.Send(1, "k");
  world.DrainAll();
  EXPECT_EQ(world.StatusOf(later), ClaimStatus::kGranted);
}

// As above, but frozen between the grant and the dispatch.
TEST(ClaimBookTest, ClaimantFrozenBeforeItsDispatchRunsNothing) {
  ClaimWorld world(1);
  const std::size_t sent = world.Send(0, "k");
  world.DrainAll();
  ASSERT_EQ(world.StatusOf(sent), ClaimStatus::kGranted);
  const ClaimId claim = world.sends().at(sent).claim;
  EXPECT_TRUE(world.book(0).CheckBeforeDispatch(world.now(), claim));
  world.Pass(2s);
  EXPECT_FALSE(world.book(0).CheckBeforeDispatch(world.now(), claim));
  world.book(0).Release(world.now(), claim);
  EXPECT_FALSE(world.book(0).CheckBeforeDispatch(world.now(), claim));
}

// Symptom: a folio is drawn twice. Sequence: the claimant dispatches and is
// killed; the caller sends again at each node for an hour. Cause: another node
// took the claim over.
TEST(ClaimBookTest, ClaimOfAKilledNodeIsNeverTakenOver) {
  ClaimWorld world(3);
  world.Send(0, "k");
  world.DrainAll();
  world.Crash(0);
  for (std::size_t node = 0; node < 3; ++node) {
    world.Pass(1200s);
    const std::size_t repeat = world.Send(node, "k");
    world.DrainAll();
    EXPECT_EQ(world.StatusOf(repeat), ClaimStatus::kEarlierOutcomeUnknown);
  }
}

// Symptom: callers hang while the store is down. Sequence: an outage of 5 s
// with 10 calls a second. Cause: each call asked the table anew.
TEST(ClaimBookTest, FailingStoreRefusesAtOnceAndIsTriedOnceASecond) {
  ClaimWorld world(1);
  std::size_t asked = 0;
  for (int call = 0; call < 50; ++call) {
    const std::size_t sent = world.Send(0, "k" + std::to_string(call));
    asked += world.waiting();
    world.Settle(0, Fate::kDown);
    world.Deliver(0);
    EXPECT_EQ(world.StatusOf(sent), ClaimStatus::kStoreUnavailable);
    world.Pass(100ms);
  }
  EXPECT_EQ(asked, 3U + 4U);
  EXPECT_TRUE(world.book(0).is_store_failing());
  world.Pass(1s);
  const std::size_t trial = world.Send(0, "trial");
  world.DrainAll();
  EXPECT_EQ(world.StatusOf(trial), ClaimStatus::kGranted);
  EXPECT_FALSE(world.book(0).is_store_failing());
}

// Symptom: a call hangs until its deadline. Sequence: the store does not answer
// at all. Cause: the claim waited for the adapter's time-out.
TEST(ClaimBookTest, SilentStoreRefusesAfterTheLongestWait) {
  ClaimWorld world(1);
  const std::size_t sent = world.Send(0, "k");
  EXPECT_EQ(world.book(0).NextWakeup(), world.now() + 1s);
  world.Pass(1s);
  EXPECT_EQ(world.StatusOf(sent), ClaimStatus::kStoreUnavailable);
  world.Settle(0, Fate::kAnswered);
  world.Deliver(0);
  EXPECT_FALSE(world.book(0).CheckBeforeDispatch(world.now(),
                                                 world.sends().at(sent).claim));
  world.Pass(60ms);
  world.DrainAll();
  EXPECT_EQ(world.book(0).size(), 0U);
}

// Symptom: one repeat spoils the claims that shared its transaction. Sequence:
// four claims while one is in flight, one of a key that is taken. Cause: the
// conflict was told to all four.
TEST(ClaimBookTest, ConflictIsSplitOutOfItsBatch) {
  ClaimWorld world(2);
  world.Send(1, "taken");
  world.DrainAll();
  world.Send(0, "lone");
  const std::vector<std::string> keys = {"a", "taken", "b", "c"};
  std::vector<std::size_t> sends;
  sends.reserve(keys.size());
  for (const std::string& key : keys)
    sends.push_back(world.Send(0, key));
  EXPECT_EQ(world.waiting(), 1U);
  world.Pass(1ms);
  EXPECT_EQ(world.waiting(), 2U);
  world.DrainAll();
  for (std::size_t index = 0; index < keys.size(); ++index) {
    EXPECT_EQ(world.StatusOf(sends[index]), keys[index] == "taken"
                                                ? ClaimStatus::kInProgress
                                                : ClaimStatus::kGranted);
  }
  EXPECT_EQ(world.book(0).stats().transactions, 3U);
}

TEST(ClaimBookTest, TwoCallsOfOneNodeMeetWithoutTheTable) {
  ClaimWorld world(1);
  const std::size_t first = world.Send(0, "k");
  const std::size_t second = world.Send(0, "k");
  EXPECT_EQ(world.waiting(), 1U);
  EXPECT_EQ(world.StatusOf(second), ClaimStatus::kInProgress);
  world.DrainAll();
  EXPECT_EQ(world.StatusOf(first), ClaimStatus::kGranted);
}

// Symptom: a booking that ran is told as in progress for ever. Sequence: the
// store goes down between grant and outcome, for a minute. Cause: the outcome
// was tried once.
TEST(ClaimBookTest, OutcomeIsWrittenAfterAnOutage) {
  ClaimWorld world(2);
  const std::size_t first = world.Send(0, "k");
  world.DrainAll();
  world.GoOn(first, Ending::kFinish);
  for (int second = 0; second < 60; ++second) {
    world.Pass(1s);
    world.Settle(0, Fate::kDown);
    world.Deliver(0);
  }
  const std::size_t local = world.Send(0, "k");
  EXPECT_EQ(world.StatusOf(local), ClaimStatus::kFinished);
  for (int round = 0; round < 3; ++round) {
    world.Pass(17s);
    world.DrainAll();
  }
  const std::size_t remote = world.Send(1, "k");
  world.DrainAll();
  ASSERT_EQ(world.StatusOf(remote), ClaimStatus::kFinished);
  EXPECT_EQ(world.sends().at(remote).result->answer, AnswerOfRun(first));
  EXPECT_EQ(world.book(0).size(), 0U);
}

// Symptom: a node's memory fills during an outage. Cause: outcomes that cannot
// be written are kept without bound.
TEST(ClaimBookTest, OutcomesThatWaitAreBounded) {
  ClaimSettings settings;
  settings.max_pending_outcomes = 2;
  settings.max_pending_body_bytes = 30;
  ClaimWorld world(1, settings);
  for (const char* key : {"a", "b", "c"})
    world.Send(0, key);
  world.Pass(1ms);
  world.DrainAll();
  world.EndAllGranted(Ending::kFinish);
  EXPECT_EQ(world.book(0).size(), 2U);
  EXPECT_EQ(world.book(0).stats().outcomes_dropped, 1U);
  EXPECT_GE(world.book(0).stats().bodies_not_kept, 1U);
}

TEST(ClaimBookTest, LargeAnswerIsToldTruthfullyWithoutItsBody) {
  ClaimWorld world(1);
  const std::size_t sent = world.Send(0, "k");
  world.DrainAll();
  world.book(0).Finish(world.now(), world.sends().at(sent).claim,
                       {201, "text/plain", std::string(16 * 1024 + 1, 'x')});
  world.Pass(60ms);
  world.DrainAll();
  const std::size_t repeat = world.Send(0, "k");
  world.DrainAll();
  ASSERT_EQ(world.StatusOf(repeat), ClaimStatus::kFinished);
  const StoredAnswer& answer = world.sends().at(repeat).result->answer;
  EXPECT_FALSE(answer.is_body_kept);
  EXPECT_EQ(ToReplay(answer).status, 409);
  EXPECT_NE(ToReplay(answer).body.find("201"), std::string::npos);
}

// Symptom: a key stays blocked after its caller hung up. Sequence: the caller
// goes while the insert is on its way. Cause: the claim was forgotten.
TEST(ClaimBookTest, CallerThatGoesWhileAcquiringLeavesNoClaim) {
  ClaimWorld world(2);
  const std::size_t first = world.Send(0, "k");
  world.book(0).Release(world.now(), world.sends().at(first).claim);
  world.DrainAll();
  world.Pass(60ms);
  world.DrainAll();
  EXPECT_EQ(world.sends().at(first).callbacks, 0);
  const std::size_t again = world.Send(1, "k");
  world.DrainAll();
  EXPECT_EQ(world.StatusOf(again), ClaimStatus::kGranted);
}

// Symptom: a booking runs twice across an upgrade. Sequence: a node meets a row
// in a form of a later release. Cause: it was read as no row.
TEST(ClaimBookTest, UnreadableRowCountsAsOutcomeUnknown) {
  ClaimWorld world(1);
  const std::string key =
      detail::ClaimRowKey(WorkspaceName("publisher"), IdempotencyKey("k"));
  world.table().Apply(TableTransact{{}, {{key, "\xff\xff"}}, {}});
  const std::size_t sent = world.Send(0, "k");
  world.DrainAll();
  EXPECT_EQ(world.StatusOf(sent), ClaimStatus::kEarlierOutcomeUnknown);
}

}  // namespace
}  // namespace bulrushmount
