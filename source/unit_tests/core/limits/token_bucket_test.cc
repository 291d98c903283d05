// Tests of `core/limits/token_bucket.h`.

#include "core/limits/token_bucket.h"

#include <vector>

#include <gtest/gtest.h>

namespace bulrushmount {
namespace {

struct Take {
  // Seconds since the start.
  double at;
  double units;
  bool expected;
};

struct BucketCase {
  double rate;
  double burst;
  std::vector<Take> takes;
};

class TokenBucketTest : public testing::TestWithParam<BucketCase> {};

TEST_P(TokenBucketTest, TakesWhatIsThere) {
  const TimePoint start{std::chrono::hours(1)};
  TokenBucket bucket(start, GetParam().rate, GetParam().burst);
  for (const Take& take : GetParam().takes) {
    EXPECT_EQ(bucket.TryTake(start + FromSeconds(take.at), take.units),
              take.expected)
        << "at " << take.at;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    TokenBucketTest,
    testing::Values(
        // The burst first, then the rate.
        BucketCase{2,
                   3,
                   {{0, 3, true},
                    {0, 1, false},
                    {0.4, 1, false},
                    {0.6, 1, true},
                    {10, 3, true},
                    {10, 0.1, false}}},
        // Weighted units.
        BucketCase{1, 1, {{0, 0.25, true}, {0, 0.75, true}, {0, 0.1, false}}},
        // A request above the burst waits for a full bucket and leaves a debt.
        BucketCase{
            1,
            2,
            {{0, 5, true}, {2, 1, false}, {3.9, 1, false}, {4.1, 1, true}}},
        BucketCase{0, 1, {{0, 1, true}, {1000, 1, false}}}));

TEST(TokenBucketReconfigureTest, CutsTheLevelToTheNewBurst) {
  const TimePoint start{std::chrono::hours(1)};
  TokenBucket bucket(start, 1, 10);
  bucket.Reconfigure(start, 1, 2);
  EXPECT_EQ(bucket.Level(start), 2);
  EXPECT_EQ(bucket.TakeUpTo(start, 5), 2);
  EXPECT_EQ(bucket.TakeUpTo(start, 5), 0);
  bucket.Fill();
  EXPECT_EQ(bucket.Level(start), 2);
}

TEST(TokenBucketDebtTest, PaysOffUnitsTakenWithoutCredit) {
  const TimePoint start{std::chrono::hours(1)};
  TokenBucket bucket(start, 2, 10);
  bucket.SetLevel(start, 1);
  bucket.TakeOwed(start, 4);
  EXPECT_EQ(bucket.Level(start), -3);
  EXPECT_FALSE(bucket.TryTake(start + FromSeconds(1.5), 1));
  EXPECT_TRUE(bucket.TryTake(start + FromSeconds(2), 1));
}

// Guards against units that are given back after the bucket has been full: with
// them, more than the burst could be taken at once.
TEST(TokenBucketGiveBackTest, GivesBackUnlessTheBucketWasFullSince) {
  const TimePoint start{std::chrono::hours(1)};
  const TimePoint taken = start + FromSeconds(1);
  TokenBucket bucket(start, 2, 10);
  EXPECT_EQ(bucket.TakeUpTo(taken, 8), 8);
  bucket.GiveBack(start + FromSeconds(2), taken + FromSeconds(0.1), 3);
  EXPECT_EQ(bucket.Level(start + FromSeconds(2)), 7);
  EXPECT_EQ(bucket.Level(start + FromSeconds(60)), 10);
  EXPECT_EQ(bucket.TakeUpTo(start + FromSeconds(60), 10), 10);
  bucket.GiveBack(start + FromSeconds(60), taken + FromSeconds(0.1), 5);
  EXPECT_EQ(bucket.Level(start + FromSeconds(60)), 0);
}

// Guards against a clock that reads earlier than before and drains the bucket.
TEST(TokenBucketGiveBackTest, IgnoresAnEarlierTime) {
  const TimePoint start{std::chrono::hours(1)};
  TokenBucket bucket(start, 100, 10);
  EXPECT_EQ(bucket.Level(start - FromSeconds(5)), 10);
}

}  // namespace
}  // namespace bulrushmount
