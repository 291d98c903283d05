// Tests of `core/quarantine/quarantine.h` with a few connected nodes.

#include <gtest/gtest.h>

#include "unit_tests/core/quarantine/quarantine_fleet.h"

namespace bulrushmount {
namespace {

using std::chrono_literals::operator""s;
using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""min;

constexpr std::size_t kNodes = 8;
const Fingerprint kPoison{13};
const Fingerprint kHarmless{21};

class QuarantineTest : public testing::Test {
 protected:
  QuarantineTest() : m_fleet(kNodes, 1) {
    m_fleet.AddPoison(kPoison);
    // Past the time in which new homes do not grant permits.
    m_fleet.Advance(7s);
  }

  // A node that is not the home of `fingerprint`.
  std::size_t EntryAwayFromHome(Fingerprint fingerprint,
                                std::size_t skip = 0) const {
    const std::size_t home = m_fleet.HomeOf(fingerprint);
    return (home + 1 + skip) % kNodes;
  }

  QuarantineFleet m_fleet;
};

// Guards against one request that crashes target after target: its caller
// repeats it through other entries, and no node has recorded the earlier crash.
TEST_F(QuarantineTest, ARepeatedPoisonCrashesTwoTargets) {
  for (std::size_t attempt = 0; attempt < 40; ++attempt) {
    m_fleet.Call(attempt % kNodes, (3 * attempt) % kNodes, kPoison, 10ms);
    m_fleet.Advance(600ms);
  }
  EXPECT_EQ(m_fleet.TargetsCrashed(), 2U);
  EXPECT_EQ(m_fleet.CountsOf(kPoison).refused, 38);
}

// Guards against a second crash when the caller repeats the request within
// milliseconds: the entry knows of the crash from the failed call, before any
// gossip arrives. Suspicion that spreads only by gossip is too late.
TEST_F(QuarantineTest, TheEntryLearnsFromTheFailedCall) {
  m_fleet.SetGossip(10s, 0);
  const std::size_t entry = EntryAwayFromHome(kPoison);
  for (std::size_t attempt = 0; attempt < 20; ++attempt) {
    const std::size_t owner = (entry + 1 + attempt % (kNodes - 1)) % kNodes;
    m_fleet.Call(entry, owner, kPoison, 5ms);
    m_fleet.Advance(20ms);
  }
  EXPECT_EQ(m_fleet.TargetsCrashed(), 2U);
}

// Guards against each entry crashing the target once while the news spreads:
// entries that have not received it send the request to the same target again.
// A check at the entries alone does not stop that.
TEST_F(QuarantineTest, TheOwnerRefusesASuspectUnknownToTheEntry) {
  m_fleet.SetGossip(10s, 0);
  m_fleet.Call(1, 0, kPoison, 5ms);
  m_fleet.Advance(20ms);
  for (std::size_t entry = 2; entry < kNodes; ++entry)
    m_fleet.Call(entry, 0, kPoison, 5ms);
  m_fleet.Advance(20ms);
  EXPECT_EQ(m_fleet.TargetsCrashed(), 1U);
  EXPECT_EQ(m_fleet.CountsOf(kPoison).refused, static_cast<int>(kNodes) - 2);
}

TEST_F(QuarantineTest, TheOwnerDistinguishesSuspectFromQuarantined) {
  Quarantine& owner = m_fleet.node(0);
  const TimePoint now = m_fleet.now();
  owner.OnTargetCrashed(now, {{kHarmless, false}, {kPoison, true}});
  EXPECT_EQ(owner.AdmitWork(now, kPoison, false), Reason::kQuarantined);
  EXPECT_EQ(owner.AdmitWork(now, kPoison, true), Reason::kQuarantined);
  EXPECT_EQ(owner.AdmitWork(now, kHarmless, false), Reason::kSuspect);
  EXPECT_EQ(owner.AdmitWork(now, kHarmless, true), Reason::kNone);
  EXPECT_EQ(owner.AdmitWork(now, kHarmless, true), Reason::kSuspect);
}

// Guards against quarantining a request that was cleared: its clearance does
// not reach one entry, which sends it with a permit; a poison request is
// admitted concurrently and crashes the target, and the entry quarantines both.
// This happens if the owner, which has the clearance, does not count the
// running request as a suspect.
TEST_F(QuarantineTest, TheOwnerRunsOnePermitAtATimeWhateverItKnows) {
  Quarantine& owner = m_fleet.node(0);
  const TimePoint now = m_fleet.now();
  owner.OnTargetLost(now, kHarmless);
  owner.EndPermit(now, kHarmless, PermitEnd::kFinished);
  ASSERT_EQ(owner.Check(now, kHarmless), Verdict::kClear);
  ASSERT_EQ(owner.AdmitWork(now, kHarmless, true), Reason::kNone);
  EXPECT_EQ(owner.AdmitWork(now, kPoison, true), Reason::kSuspect);
  owner.OnWorkEnded({kHarmless, true});
  EXPECT_EQ(owner.AdmitWork(now, kPoison, true), Reason::kNone);
}

// Guards against refusing a harmless request forever: it is in flight with a
// poison request when the target crashes, and is repeated until it finishes.
// Finishing must clear it.
TEST_F(QuarantineTest, AHarmlessRequestIsClearedByFinishing) {
  m_fleet.Call(1, 0, kHarmless, 50ms);
  m_fleet.Call(2, 0, kPoison, 10ms);
  m_fleet.Advance(1s);
  ASSERT_EQ(m_fleet.node(5).Check(m_fleet.now(), kHarmless), Verdict::kSuspect);
  m_fleet.Call(1, 3, kHarmless, 50ms);
  m_fleet.Advance(1s);
  EXPECT_EQ(m_fleet.CountsOf(kHarmless).finished, 1);
  for (std::size_t index = 0; index < kNodes; ++index) {
    EXPECT_EQ(m_fleet.node(index).Check(m_fleet.now(), kHarmless),
              Verdict::kClear);
  }
  for (std::size_t entry = 0; entry < kNodes; ++entry)
    m_fleet.Call(entry, entry, kHarmless, 50ms);
  m_fleet.Advance(1s);
  EXPECT_EQ(m_fleet.CountsOf(kHarmless).finished, 1 + static_cast<int>(kNodes));
}

// Guards against a suspect that runs on two targets at once and crashes both:
// several entries send it in the same millisecond. This happens if each entry
// decides on its own.
TEST_F(QuarantineTest, OneOfSeveralConcurrentEntriesGetsThePermit) {
  m_fleet.Call(1, 0, kPoison, 5ms);
  m_fleet.Advance(1s);
  for (std::size_t entry = 0; entry < kNodes; ++entry)
    m_fleet.Call(entry, entry, kPoison, 20ms);
  m_fleet.Advance(1s);
  EXPECT_EQ(m_fleet.TargetsCrashed(), 2U);
  EXPECT_EQ(m_fleet.MaxConcurrentPermittedRuns(), 1U);
}

// Guards against a quarantined request that crashes one more target after each
// restart: the new process of a replaced node gets the request as entry and as
// owner. This happens if news reaches only the nodes that are present while it
// spreads.
TEST_F(QuarantineTest, ANewNodeLearnsOfQuarantinedRequests) {
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
  m_fleet.Call(1, 0, kHarmless, 50ms);
  m_fleet.Call(2, 0, kPoison, 10ms);
  m_fleet.Advance(1s);
  m_fleet.Call(1, 4, kHarmless, 300ms);
  m_fleet.Advance(50ms);
  m_fleet.Call(2, 4, kPoison, 50ms);
  m_fleet.Advance(50ms);
  EXPECT_EQ(m_fleet.CountsOf(kPoison).refused, 1);
  m_fleet.Advance(1s);
  EXPECT_EQ(m_fleet.CountsOf(kHarmless).finished, 1);
  EXPECT_EQ(m_fleet.MaxSuspectsOnTarget(), 1U);
}

// Guards against a call that hangs while it waits for its permit: the home of
// the suspect is dead but not yet declared dead, and the permit request has
// no timeout.
TEST_F(QuarantineTest, ASilentHomeCausesARefusalWithinTheTimeout) {
  m_fleet.Call(EntryAwayFromHome(kPoison), 0, kPoison, 5ms);
  m_fleet.Advance(1s);
  m_fleet.Kill(m_fleet.HomeOf(kPoison));
  const std::size_t entry = EntryAwayFromHome(kPoison, 1);
  m_fleet.Call(entry, entry, kPoison, 5ms);
  m_fleet.Advance(QuarantineSettings().permit_timeout + 2ms);
  EXPECT_EQ(m_fleet.CountsOf(kPoison).refused, 1);
}

// Guards against two concurrent runs of a suspect after its home died: an entry
// runs it under a permit, the home dies, and another entry asks the new home,
// which does not know the permit. A new home must not grant before the old
// permits have expired.
TEST_F(QuarantineTest, ANewHomeTakesOverThePermitInUse) {
  m_fleet.Call(EntryAwayFromHome(kHarmless), 0, kHarmless, 50ms);
  m_fleet.Call(EntryAwayFromHome(kHarmless), 0, kPoison, 10ms);
  m_fleet.Advance(1s);
  const std::size_t home = m_fleet.HomeOf(kHarmless);
  const std::size_t entry = EntryAwayFromHome(kHarmless);
  const std::size_t other = EntryAwayFromHome(kHarmless, 1);
  m_fleet.Call(entry, entry, kHarmless, 20s);
  m_fleet.Advance(100ms);
  m_fleet.Kill(home);
  m_fleet.Advance(2s);
  m_fleet.PublishMembers();
  for (int attempt = 0; attempt < 30; ++attempt) {
    m_fleet.Call(other, other, kHarmless, 50ms);
    m_fleet.Advance(500ms);
  }
  EXPECT_EQ(m_fleet.MaxConcurrentPermittedRuns(), 1U);
  m_fleet.Advance(5s);
  EXPECT_EQ(m_fleet.CountsOf(kHarmless).finished, 1);
}

// Guards against two concurrent runs after the home was paused for some
// seconds: the home is frozen and another one replaces it and grants a permit;
// the first resumes, and the members ask it again. A home must detect that it
// was paused.
TEST_F(QuarantineTest, AHomeThatWasFrozenGrantsNothingAtFirst) {
  m_fleet.Call(EntryAwayFromHome(kHarmless), 0, kHarmless, 50ms);
  m_fleet.Call(EntryAwayFromHome(kHarmless), 0, kPoison, 10ms);
  m_fleet.Advance(1s);
  const std::size_t home = m_fleet.HomeOf(kHarmless);
  m_fleet.network().SetFrozen(home, true);
  m_fleet.Advance(2s);
  m_fleet.PublishMembers(true);
  m_fleet.Advance(7s);
  const std::size_t entry = EntryAwayFromHome(kHarmless);
  const std::size_t other = EntryAwayFromHome(kHarmless, 1);
  m_fleet.Call(entry, entry, kHarmless, 4s);
  m_fleet.Advance(100ms);
  ASSERT_GT(m_fleet.node(entry).PermitTimeLeft(m_fleet.now(), kHarmless), 5s);
  m_fleet.network().SetFrozen(home, false);
  m_fleet.PublishMembers();
  // Before the renewal by the holder can reach it.
  for (int attempt = 0; attempt < 8; ++attempt) {
    m_fleet.Call(other, other, kHarmless, 50ms);
    m_fleet.Advance(500ms);
  }
  EXPECT_EQ(m_fleet.MaxConcurrentPermittedRuns(), 1U);
  EXPECT_EQ(m_fleet.CountsOf(kHarmless).finished, 1);
}

// Guards against a further attempt of a request that crashed a target as a
// suspect: its entry is paused before it learns of the crash. The owner must
// quarantine it too.
TEST_F(QuarantineTest, TheOwnerQuarantinesWithoutTheEntry) {
  m_fleet.Call(1, 0, kPoison, 5ms);
  m_fleet.Advance(1s);
  const std::size_t entry = EntryAwayFromHome(kPoison);
  m_fleet.Call(entry, EntryAwayFromHome(kPoison, 1), kPoison, 100ms);
  m_fleet.Advance(20ms);
  m_fleet.network().SetFrozen(entry, true);
  m_fleet.Advance(10s);
  ASSERT_EQ(m_fleet.TargetsCrashed(), 2U);
  for (std::size_t index = 0; index < kNodes; ++index) {
    const Verdict verdict = m_fleet.node(index).Check(m_fleet.now(), kPoison);
    EXPECT_TRUE(index == entry || verdict == Verdict::kQuarantined);
  }
}

// Guards against a run that continues although the permit was granted to
// another entry: the entry that runs the suspect is disconnected from the home
// and must cancel a run whose permit was not renewed.
TEST_F(QuarantineTest, ADisconnectedEntryCancelsTheRun) {
  m_fleet.Call(EntryAwayFromHome(kHarmless), 0, kHarmless, 50ms);
  m_fleet.Call(EntryAwayFromHome(kHarmless), 0, kPoison, 10ms);
  m_fleet.Advance(1s);
  const std::size_t entry = EntryAwayFromHome(kHarmless);
  const std::size_t other = EntryAwayFromHome(kHarmless, 1);
  m_fleet.Call(entry, entry, kHarmless, 60s);
  m_fleet.Advance(100ms);
  m_fleet.network().SetSide(entry, 1);
  for (int attempt = 0; attempt < 20; ++attempt) {
    m_fleet.Call(other, other, kHarmless, 50ms);
    m_fleet.Advance(500ms);
  }
  EXPECT_EQ(m_fleet.MaxConcurrentPermittedRuns(), 1U);
  EXPECT_GE(m_fleet.CountsOf(kHarmless).finished, 1);
}

TEST_F(QuarantineTest, AQuarantinedRequestIsTriedOnceMoreAfterItsTime) {
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
