// Tests of `core/quarantine/suspicion_table.h`.

#include "core/quarantine/suspicion_table.h"

#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace bulrushmount {
namespace {

using std::chrono_literals::operator""s;
using std::chrono_literals::operator""min;

constexpr TimePoint kStart{std::chrono::hours(1)};
const Fingerprint kFingerprint{7};

constexpr SuspicionState kSuspect = SuspicionState::kSuspect;
constexpr SuspicionState kCleared = SuspicionState::kCleared;
constexpr SuspicionState kQuarantined = SuspicionState::kQuarantined;

struct StateCase {
  std::vector<SuspicionState> states;
  Duration later;
  Verdict expected;
  std::uint32_t generation;
};

class SuspicionTableTest : public testing::TestWithParam<StateCase> {};

TEST_P(SuspicionTableTest, ReturnsTheVerdictForTheRecordedStates) {
  SuspicionTable table{QuarantineSettings()};
  for (const SuspicionState state : GetParam().states)
    table.SetState(kStart, kFingerprint, state);
  const TimePoint then = kStart + GetParam().later;
  EXPECT_EQ(table.VerdictOf(then, kFingerprint), GetParam().expected);
  const auto known = table.Find(then, kFingerprint);
  EXPECT_EQ(known ? known->suspicion.generation.value() : 0,
            GetParam().generation);
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    SuspicionTableTest,
    testing::Values(
        StateCase{{}, 0s, Verdict::kClear, 0},
        StateCase{{kSuspect}, 0s, Verdict::kSuspect, 1},
        StateCase{{kSuspect, kSuspect}, 0s, Verdict::kSuspect, 1},
        StateCase{{kSuspect, kCleared}, 0s, Verdict::kClear, 1},
        StateCase{{kSuspect, kCleared, kSuspect}, 0s, Verdict::kSuspect, 2},
        StateCase{{kSuspect, kQuarantined}, 0s, Verdict::kQuarantined, 1},
        StateCase{{kQuarantined, kSuspect}, 0s, Verdict::kQuarantined, 1},
        StateCase{{kQuarantined, kCleared}, 0s, Verdict::kQuarantined, 1},
        // Every record expires; a quarantined fingerprint is suspect first.
        StateCase{{kSuspect}, 10min, Verdict::kClear, 0},
        StateCase{{kQuarantined}, 10min, Verdict::kSuspect, 1},
        StateCase{{kQuarantined}, 20min, Verdict::kClear, 0}));

TEST(SuspicionTableExpiryTest, EndsWithTheNextRun) {
  SuspicionTable table{QuarantineSettings()};
  table.SetState(kStart, kFingerprint, kQuarantined);
  table.SetState(kStart + 11min, kFingerprint, kQuarantined);
  EXPECT_EQ(table.VerdictOf(kStart + 11min, kFingerprint),
            Verdict::kQuarantined);
  table.SetState(kStart + 22min, kFingerprint, kCleared);
  EXPECT_EQ(table.VerdictOf(kStart + 22min, kFingerprint), Verdict::kClear);
}

TEST(SuspicionTableSizeTest, EvictsClearedThenSuspectThenQuarantined) {
  QuarantineSettings settings;
  settings.max_records = 3;
  SuspicionTable table{settings};
  table.SetState(kStart, Fingerprint(1), kQuarantined);
  table.SetState(kStart, Fingerprint(2), kSuspect);
  table.SetState(kStart, Fingerprint(3), kCleared);
  for (std::uint64_t flood = 10; flood < 1000; ++flood) {
    table.SetState(kStart, Fingerprint(flood), kSuspect);
    EXPECT_EQ(table.size(), 3U);
  }
  EXPECT_EQ(table.VerdictOf(kStart, Fingerprint(1)), Verdict::kQuarantined);
  EXPECT_EQ(table.VerdictOf(kStart, Fingerprint(2)), Verdict::kClear);
  EXPECT_EQ(table.VerdictOf(kStart, Fingerprint(999)), Verdict::kSuspect);
}

// Guards against a harmless request that stays quarantined forever: each node
// that joins receives the record from one that joined before it, and a lifetime
// that restarts at each transfer never ends.
TEST(SuspicionTableAgeTest, ForwardingDoesNotRestartTheLifetime) {
  TimePoint now = kStart;
  std::vector<SuspicionNews> received = {
      {kFingerprint, {Generation(1), kQuarantined}, Duration(0)}};
  for (int node = 0; node < 30 && !received.empty(); ++node) {
    SuspicionTable table{QuarantineSettings()};
    table.Merge(now, received.front());
    now += 1min;
    table.VerdictOf(now, kFingerprint);
    received = table.Newest(now, 10);
  }
  EXPECT_TRUE(received.empty());
  EXPECT_EQ(now, kStart + 20min);
}

// Guards against nodes that disagree forever on whether a request is suspect:
// the same news reaches them in different orders, some of it twice, and
// overwrites records instead of being merged.
RC_GTEST_PROP(SuspicionTableMergeTest,
              ConvergesInAnyOrder,
              (const std::vector<std::pair<std::uint8_t, std::uint8_t>>& all)) {
  std::vector<Suspicion> news;
  news.reserve(all.size());
  for (const auto& [generation, state] : all) {
    news.push_back({Generation(1U + generation % 3U),
                    static_cast<SuspicionState>(1 + state % 3)});
  }
  SuspicionTable forward{QuarantineSettings()};
  SuspicionTable backward{QuarantineSettings()};
  for (const Suspicion& item : news)
    forward.Merge(kStart, {kFingerprint, item});
  for (auto item = news.rbegin(); item != news.rend(); ++item) {
    backward.Merge(kStart, {kFingerprint, *item});
    RC_ASSERT(!backward.Merge(kStart, {kFingerprint, *item}));
  }
  const auto one = forward.Find(kStart, kFingerprint);
  const auto other = backward.Find(kStart, kFingerprint);
  RC_ASSERT(one.has_value() == other.has_value());
  RC_ASSERT(!one || one->suspicion == other->suspicion);
}

}  // namespace
}  // namespace bulrushmount
