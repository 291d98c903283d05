// Tests of `core/quarantine/quarantine.h` over a few joined nodes.

#include <gtest/gtest.h>

#include "unit_tests/core/quarantine/quarantine_fleet.h"

namespace bulrushmount {
namespace {

using std::chrono_literals::operator""s;
using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""min;

constexpr std::size_t kNodes = 8;
const Fingerprint kPoison{13};
const Fingerprint kInnocent{21};

class QuarantineTest : public testing::Test {
 protected:
  QuarantineTest() : m_fleet(kNodes, 1) {
    m_fleet.AddPoison(kPoison);
    // Past the wait of new homes.
    m_fleet.Advance(7s);
  }

  // A node that is not the home of `fingerprint`.
  std::size_t Away(Fingerprint fingerprint, std::size_t skip = 0) const {
    const std::size_t home = m_fleet.HomeOf(fingerprint);
    return (home + 1 + skip) % kNodes;
  }

  QuarantineFleet m_fleet;
};

// Symptom: one request takes down target after target.
// Sequence: it crashes its target, and its caller sends it again and again,
// through other entries.
// Cause: nobody remembers the request between its runs.
TEST_F(QuarantineTest, ARepeatedPoisonCrashesTwoTargets) {
  for (std::size_t attempt = 0; attempt < 40; ++attempt) {
    m_fleet.Call(attempt % kNodes, (3 * attempt) % kNodes, kPoison, 10ms);
    m_fleet.Advance(600ms);
  }
  EXPECT_EQ(m_fleet.TargetsCrashed(), 2U);
  EXPECT_EQ(m_fleet.CountsOf(kPoison).refused, 38);
}

// Symptom: the same, with the caller's second send within milliseconds.
// Sequence: the entry hears of the crash by the failed call, and sends the
// request again before any gossip has come.
// Cause: suspicion that travels by gossip only.
TEST_F(QuarantineTest, TheEntryKnowsByTheFailedCall) {
  m_fleet.SetGossip(10s, 0);
  const std::size_t entry = Away(kPoison);
  for (std::size_t attempt = 0; attempt < 20; ++attempt) {
    const std::size_t owner = (entry + 1 + attempt % (kNodes - 1)) % kNodes;
    m_fleet.Call(entry, owner, kPoison, 5ms);
    m_fleet.Advance(20ms);
  }
  EXPECT_EQ(m_fleet.TargetsCrashed(), 2U);
}

// Symptom: while the news spreads, each entry crashes a target of its own.
// Sequence: after a crash at one target, entries that have not heard send the
// request to that same target again.
// Cause: only entries check.
TEST_F(QuarantineTest, TheOwnerRefusesWhatTheEntryHasNotHeardOf) {
  m_fleet.SetGossip(10s, 0);
  m_fleet.Call(1, 0, kPoison, 5ms);
  m_fleet.Advance(20ms);
  for (std::size_t entry = 2; entry < kNodes; ++entry)
    m_fleet.Call(entry, 0, kPoison, 5ms);
  m_fleet.Advance(20ms);
  EXPECT_EQ(m_fleet.TargetsCrashed(), 1U);
  EXPECT_EQ(m_fleet.CountsOf(kPoison).refused, static_cast<int>(kNodes) - 2);
}

TEST_F(QuarantineTest, TheOwnerTellsASuspectFromAConvict) {
  Quarantine& owner = m_fleet.node(0);
  const TimePoint now = m_fleet.now();
  owner.OnTargetCrashed(now, {{kInnocent, false}, {kPoison, true}});
  EXPECT_EQ(owner.AdmitWork(now, kPoison, false), Reason::kQuarantined);
  EXPECT_EQ(owner.AdmitWork(now, kPoison, true), Reason::kQuarantined);
  EXPECT_EQ(owner.AdmitWork(now, kInnocent, false), Reason::kSuspect);
  EXPECT_EQ(owner.AdmitWork(now, kInnocent, true), Reason::kNone);
  EXPECT_EQ(owner.AdmitWork(now, kInnocent, true), Reason::kSuspect);
}

// Symptom: a request that was cleared is convicted, and refused everywhere.
// Sequence: its clearance does not reach one entry, which sends it with a
// permit; a poison request is admitted beside it and takes the target down; the
// entry convicts both. Cause: the owner, which knows of the clearance, takes
// the one that runs for no suspect.
TEST_F(QuarantineTest, TheOwnerRunsOnePermitAtATimeWhateverItKnows) {
  Quarantine& owner = m_fleet.node(0);
  const TimePoint now = m_fleet.now();
  owner.OnTargetLost(now, kInnocent);
  owner.EndPermit(now, kInnocent, PermitEnd::kFinished);
  ASSERT_EQ(owner.Check(now, kInnocent), Verdict::kClear);
  ASSERT_EQ(owner.AdmitWork(now, kInnocent, true), Reason::kNone);
  EXPECT_EQ(owner.AdmitWork(now, kPoison, true), Reason::kSuspect);
  owner.OnWorkEnded({kInnocent, true});
  EXPECT_EQ(owner.AdmitWork(now, kPoison, true), Reason::kNone);
}

// Symptom: a reader's search is refused for ever because it once ran beside a
// poison request.
// Sequence: both are in flight at one target when it crashes; the search is
// sent again until it finishes.
// Cause: a suspect that nothing clears.
TEST_F(QuarantineTest, AnInnocentIsClearedByFinishing) {
  m_fleet.Call(1, 0, kInnocent, 50ms);
  m_fleet.Call(2, 0, kPoison, 10ms);
  m_fleet.Advance(1s);
  ASSERT_EQ(m_fleet.node(5).Check(m_fleet.now(), kInnocent), Verdict::kSuspect);
  m_fleet.Call(1, 3, kInnocent, 50ms);
  m_fleet.Advance(1s);
  EXPECT_EQ(m_fleet.CountsOf(kInnocent).finished, 1);
  for (std::size_t index = 0; index < kNodes; ++index) {
    EXPECT_EQ(m_fleet.node(index).Check(m_fleet.now(), kInnocent),
              Verdict::kClear);
  }
  for (std::size_t entry = 0; entry < kNodes; ++entry)
    m_fleet.Call(entry, entry, kInnocent, 50ms);
  m_fleet.Advance(1s);
  EXPECT_EQ(m_fleet.CountsOf(kInnocent).finished, 1 + static_cast<int>(kNodes));
}

// Symptom: a suspect runs on two targets at once and crashes both.
// Sequence: several entries send it in the same millisecond.
// Cause: each entry decides by itself.
TEST_F(QuarantineTest, OfRacingEntriesOneGetsThePermit) {
  m_fleet.Call(1, 0, kPoison, 5ms);
  m_fleet.Advance(1s);
  for (std::size_t entry = 0; entry < kNodes; ++entry)
    m_fleet.Call(entry, entry, kPoison, 20ms);
  m_fleet.Advance(1s);
  EXPECT_EQ(m_fleet.TargetsCrashed(), 2U);
  EXPECT_EQ(m_fleet.WorstTogether(), 1U);
}

// Symptom: a convicted request crashes one more target after each restart.
// Sequence: a node is replaced, and its fresh process gets the request as entry
// and as owner.
// Cause: news that only those hear who are there when it spreads.
TEST_F(QuarantineTest, ANewNodeLearnsOfConvictions) {
  for (int attempt = 0; attempt < 3; ++attempt) {
    m_fleet.Call(1, 2, kPoison, 5ms);
    m_fleet.Advance(1s);
  }
  ASSERT_EQ(m_fleet.TargetsCrashed(), 2U);
  m_fleet.Kill(3);
  m_fleet.Restart(3);
  m_fleet.PublishMembers();
  m_fleet.Advance(100ms);
  m_fleet.Call(3, 3, kPoison, 5ms);
  m_fleet.Advance(1s);
  EXPECT_EQ(m_fleet.TargetsCrashed(), 2U);
}

TEST_F(QuarantineTest, TwoSuspectsDoNotShareATarget) {
  m_fleet.Call(1, 0, kInnocent, 50ms);
  m_fleet.Call(2, 0, kPoison, 10ms);
  m_fleet.Advance(1s);
  m_fleet.Call(1, 4, kInnocent, 300ms);
  m_fleet.Advance(50ms);
  m_fleet.Call(2, 4, kPoison, 50ms);
  m_fleet.Advance(50ms);
  EXPECT_EQ(m_fleet.CountsOf(kPoison).refused, 1);
  m_fleet.Advance(1s);
  EXPECT_EQ(m_fleet.CountsOf(kInnocent).finished, 1);
  EXPECT_EQ(m_fleet.WorstOnTarget(), 1U);
}

// Symptom: a call hangs while its permit is waited for.
// Sequence: the home of the suspect is dead and not yet declared so.
// Cause: an ask without a time-out.
TEST_F(QuarantineTest, ASilentHomeMeansARefusalWithinTheTimeout) {
  m_fleet.Call(Away(kPoison), 0, kPoison, 5ms);
  m_fleet.Advance(1s);
  m_fleet.Kill(m_fleet.HomeOf(kPoison));
  const std::size_t entry = Away(kPoison, 1);
  m_fleet.Call(entry, entry, kPoison, 5ms);
  m_fleet.Advance(QuarantineSettings().permit_timeout + 2ms);
  EXPECT_EQ(m_fleet.CountsOf(kPoison).refused, 1);
}

// Symptom: two targets run a suspect at once after its home died.
// Sequence: an entry runs it under a permit; the home dies; another entry asks
// the new home, which knows of no permit.
// Cause: a new home that grants before the old permits are void.
TEST_F(QuarantineTest, ANewHomeTakesOverThePermitInUse) {
  m_fleet.Call(Away(kInnocent), 0, kInnocent, 50ms);
  m_fleet.Call(Away(kInnocent), 0, kPoison, 10ms);
  m_fleet.Advance(1s);
  const std::size_t home = m_fleet.HomeOf(kInnocent);
  const std::size_t entry = Away(kInnocent);
  const std::size_t other = Away(kInnocent, 1);
  m_fleet.Call(entry, entry, kInnocent, 20s);
  m_fleet.Advance(100ms);
  m_fleet.Kill(home);
  m_fleet.Advance(2s);
  m_fleet.PublishMembers();
  for (int attempt = 0; attempt < 30; ++attempt) {
    m_fleet.Call(other, other, kInnocent, 50ms);
    m_fleet.Advance(500ms);
  }
  EXPECT_EQ(m_fleet.WorstTogether(), 1U);
  m_fleet.Advance(5s);
  EXPECT_EQ(m_fleet.CountsOf(kInnocent).finished, 1);
}

// Symptom: the same after the home was stopped for some seconds.
// Sequence: the home is frozen, a second one stands in and grants a permit;
// the first goes on, the members see it again and ask it.
// Cause: a home that does not notice that it was stopped.
TEST_F(QuarantineTest, AHomeThatWasFrozenGrantsNothingAtFirst) {
  m_fleet.Call(Away(kInnocent), 0, kInnocent, 50ms);
  m_fleet.Call(Away(kInnocent), 0, kPoison, 10ms);
  m_fleet.Advance(1s);
  const std::size_t home = m_fleet.HomeOf(kInnocent);
  m_fleet.network().SetFrozen(home, true);
  m_fleet.Advance(2s);
  m_fleet.PublishMembers(true);
  m_fleet.Advance(7s);
  const std::size_t entry = Away(kInnocent);
  const std::size_t other = Away(kInnocent, 1);
  m_fleet.Call(entry, entry, kInnocent, 4s);
  m_fleet.Advance(100ms);
  ASSERT_GT(m_fleet.node(entry).PermitTimeLeft(m_fleet.now(), kInnocent), 5s);
  m_fleet.network().SetFrozen(home, false);
  m_fleet.PublishMembers();
  // Before the holder's renewal can reach it.
  for (int attempt = 0; attempt < 8; ++attempt) {
    m_fleet.Call(other, other, kInnocent, 50ms);
    m_fleet.Advance(500ms);
  }
  EXPECT_EQ(m_fleet.WorstTogether(), 1U);
  EXPECT_EQ(m_fleet.CountsOf(kInnocent).finished, 1);
}

// Symptom: a convicted request is tried again though it crashed as a suspect.
// Sequence: its entry is stopped before it hears of the crash.
// Cause: only the entry convicts.
TEST_F(QuarantineTest, TheOwnerConvictsWithoutTheEntry) {
  m_fleet.Call(1, 0, kPoison, 5ms);
  m_fleet.Advance(1s);
  const std::size_t entry = Away(kPoison);
  m_fleet.Call(entry, Away(kPoison, 1), kPoison, 100ms);
  m_fleet.Advance(20ms);
  m_fleet.network().SetFrozen(entry, true);
  m_fleet.Advance(10s);
  ASSERT_EQ(m_fleet.TargetsCrashed(), 2U);
  for (std::size_t index = 0; index < kNodes; ++index) {
    const Verdict verdict = m_fleet.node(index).Check(m_fleet.now(), kPoison);
    EXPECT_TRUE(index == entry || verdict == Verdict::kConvicted);
  }
}

// Symptom: a suspect still runs at a target though its permit went elsewhere.
// Sequence: the entry that runs it is cut off from the home.
// Cause: an entry that runs on without its permit renewed.
TEST_F(QuarantineTest, AnEntryThatIsCutOffCancelsTheRun) {
  m_fleet.Call(Away(kInnocent), 0, kInnocent, 50ms);
  m_fleet.Call(Away(kInnocent), 0, kPoison, 10ms);
  m_fleet.Advance(1s);
  const std::size_t entry = Away(kInnocent);
  const std::size_t other = Away(kInnocent, 1);
  m_fleet.Call(entry, entry, kInnocent, 60s);
  m_fleet.Advance(100ms);
  m_fleet.network().SetSide(entry, 1);
  for (int attempt = 0; attempt < 20; ++attempt) {
    m_fleet.Call(other, other, kInnocent, 50ms);
    m_fleet.Advance(500ms);
  }
  EXPECT_EQ(m_fleet.WorstTogether(), 1U);
  EXPECT_GE(m_fleet.CountsOf(kInnocent).finished, 1);
}

TEST_F(QuarantineTest, AConvictedRequestIsTriedOnceMoreAfterItsTime) {
  for (int attempt = 0; attempt < 3; ++attempt) {
    m_fleet.Call(1, 2, kPoison, 5ms);
    m_fleet.Advance(1s);
  }
  ASSERT_EQ(m_fleet.TargetsCrashed(), 2U);
  m_fleet.Advance(10min);
  for (std::size_t entry = 0; entry < kNodes; ++entry) {
    m_fleet.Call(entry, entry, kPoison, 5ms);
    m_fleet.Advance(1s);
  }
  EXPECT_EQ(m_fleet.TargetsCrashed(), 3U);
}

}  // namespace
}  // namespace bulrushmount
