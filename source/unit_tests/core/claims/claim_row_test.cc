// Tests of `core/claims/claim_row.h` and `core/claims/claim_sweeper.h`.

#include "core/claims/claim_row.h"

#include <string>

#include <gtest/gtest.h>

#include "core/claims/claim_sweeper.h"
#include "unit_tests/core/claims/claim_cluster.h"
#include "unit_tests/core/store/fake_table_service.h"

namespace bulrushmount {
namespace {

using detail::ClaimRow;
using detail::ClaimRowState;
using std::chrono_literals::operator""h;
using std::chrono_literals::operator""s;

constexpr TimePoint kStart{1h};
constexpr WallTime kWallStart{1000h};

struct KeyPair {
  const char* name;
  const char* workspace;
  const char* key;
  const char* other_workspace;
  const char* other_key;
};

class RowKeyTest : public testing::TestWithParam<KeyPair> {};

// Guards against refusing a request because of the claim of another workspace:
// two different keys must not share a row.
TEST_P(RowKeyTest, DiffersForDifferentKeys) {
  const KeyPair& pair = GetParam();
  EXPECT_NE(detail::ClaimRowKey(WorkspaceName(pair.workspace),
                                IdempotencyKey(pair.key)),
            detail::ClaimRowKey(WorkspaceName(pair.other_workspace),
                                IdempotencyKey(pair.other_key)));
}

INSTANTIATE_TEST_SUITE_P(
    Claims,
    RowKeyTest,
    testing::Values(KeyPair{"Key", "a", "k", "a", "l"},
                    KeyPair{"Workspace", "a", "k", "b", "k"},
                    KeyPair{"Slash", "a/b", "c", "a", "b/c"},
                    KeyPair{"Escape", "a", "%2F", "a", "/"},
                    KeyPair{"Case", "a", "K", "a", "k"},
                    KeyPair{"Byte", "a", "\xc3", "a", "\xa9"}),
    [](const auto& info) { return info.param.name; });

TEST(ClaimRowTest, SurvivesEncoding) {
  ClaimRow row;
  row.state = ClaimRowState::kFinished;
  row.token = ~std::uint64_t{0};
  row.fingerprint = Fingerprint(7);
  row.claimed_at = kWallStart;
  row.expires_at = kWallStart + 24h;
  row.answer = {201, "a/b", std::string("\0\xff", 2), true};
  const auto decoded = detail::DecodeClaimRow(detail::EncodeClaimRow(row));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->token, row.token);
  EXPECT_EQ(decoded->fingerprint, row.fingerprint);
  EXPECT_EQ(decoded->expires_at, row.expires_at);
  EXPECT_EQ(decoded->answer, row.answer);
}

// Always returns 0, so the sweeper chooses shard 0.
class ZeroSource : public RandomSource {
 public:
  std::uint64_t NextBits() override { return 0; }
};

struct SweepCase {
  const char* name;
  ClaimRowState state;
  Duration past_expiry;
  bool is_deleted;
};

class SweepTest : public testing::TestWithParam<SweepCase> {
 protected:
  void PutRow(ClaimRowState state, Duration past_expiry) {
    ClaimRow row;
    row.state = state;
    row.expires_at =
        kWallStart -
        std::chrono::duration_cast<WallTime::duration>(past_expiry);
    m_table.table().Apply(
        TableTransact{{}, {{kKey, detail::EncodeClaimRow(row)}}, {}});
  }

  bool HasRow() { return !m_table.table().Apply(TableGet{kKey}).rows.empty(); }

  static constexpr char kKey[] = "claim/0000/a/k";

  FakeTableService m_table;
  ZeroSource m_random;
  ClaimSweeper m_sweeper{{}, m_table, m_random, kStart, {kStart, kWallStart}};
};

TEST_P(SweepTest, Removes) {
  PutRow(GetParam().state, GetParam().past_expiry);
  m_sweeper.OnTimer(m_sweeper.NextWakeup(), 1);
  m_table.DeliverAll(kStart);
  EXPECT_EQ(HasRow(), !GetParam().is_deleted);
  EXPECT_EQ(m_sweeper.stats().rows_deleted, GetParam().is_deleted ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Claims,
    SweepTest,
    testing::Values(
        SweepCase{"FinishedPast", ClaimRowState::kFinished, 61 * 60s, true},
        SweepCase{"FinishedInAllowance", ClaimRowState::kFinished, 59 * 60s,
                  false},
        SweepCase{"ReleasedPast", ClaimRowState::kReleased, 2h, true},
        SweepCase{"UnknownPast", ClaimRowState::kUnknown, 2h, true},
        SweepCase{"ClaimedMayStillRun", ClaimRowState::kClaimed, 24h, false},
        SweepCase{"ClaimedPast", ClaimRowState::kClaimed, 26h, true}),
    [](const auto& info) { return info.param.name; });

// Guards against a request that runs twice: the sweeper scans an expired row, a
// node claims the key again, and a delete by key alone removes the new claim.
TEST_F(SweepTest, KeepsARowThatChangedSinceTheScan) {
  PutRow(ClaimRowState::kReleased, 2h);
  m_sweeper.OnTimer(m_sweeper.NextWakeup(), 1);
  PutRow(ClaimRowState::kClaimed, Duration{0});
  m_table.DeliverAll(kStart);
  EXPECT_TRUE(HasRow());
  EXPECT_EQ(m_sweeper.stats().failures, 1U);
}

TEST_F(SweepTest, SharesTheRateAmongTheMembers) {
  m_sweeper.OnTimer(kStart + 600s, 1100);
  EXPECT_GE(m_sweeper.NextWakeup(), kStart + 600s + 550s);
  m_sweeper.OnTimer(kStart + 700s, 1100);
  EXPECT_EQ(m_sweeper.stats().scans, 1U);
}

}  // namespace
}  // namespace bulrushmount
