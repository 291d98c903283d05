// Part of `claim_sweeper.h`.

#include "core/claims/claim_sweeper.h"

#include <algorithm>
#include <utility>

#include "core/claims/claim_row.h"

namespace bulrushmount {

namespace {

constexpr Duration kMaxFirstPause = std::chrono::minutes(10);

}  // namespace

struct ClaimSweeper::State : std::enable_shared_from_this<State> {
  State(SweepSettings sweep_settings,
        TableService& table_service,
        RandomSource& random_source,
        WallAnchor anchor)
      : settings(sweep_settings),
        table(table_service),
        random(random_source),
        wall(anchor) {}

  bool IsExpired(const Row& row, WallTime now) const;
  void Scan();
  void OnScanned(TimePoint now, const TableReply& reply);
  TableTransact ToDelete(TimePoint now, const TableReply& reply) const;
  void OnDeleted(const TableReply& reply, std::size_t count);
  Duration Pause(std::size_t members);

  SweepSettings settings;
  TableService& table;
  RandomSource& random;
  WallAnchor wall;
  TimePoint next_scan;
  SweepStats stats;
};

// Keeps rows that this release cannot read; a later release deletes them.
bool ClaimSweeper::State::IsExpired(const Row& row, WallTime now) const {
  const auto claim = detail::DecodeClaimRow(row.value);
  if (!claim)
    return false;
  Duration allowance = settings.clock_skew_allowance;
  // Without its row a request that is running, or may be, could be claimed
  // again.
  if (claim->state == detail::ClaimRowState::kClaimed)
    allowance += settings.claimed_grace;
  return claim->expires_at + allowance < now;
}

void ClaimSweeper::State::Scan() {
  ++stats.scans;
  const std::size_t shard = random.Index(detail::kClaimShards);
  table.Submit(
      TableScan{detail::ClaimShardPrefix(shard)},
      [weak = weak_from_this()](TimePoint now, const TableReply& reply) {
        if (const auto self = weak.lock())
          self->OnScanned(now, reply);
      });
}

void ClaimSweeper::State::OnScanned(TimePoint now, const TableReply& reply) {
  if (reply.status != TableStatus::kOk) {
    ++stats.failures;
    return;
  }
  stats.rows_seen += reply.rows.size();
  TableTransact transaction = ToDelete(now, reply);
  const std::size_t count = transaction.deletes.size();
  if (count == 0)
    return;
  table.Submit(
      std::move(transaction),
      [weak = weak_from_this(), count](TimePoint, const TableReply& outcome) {
        if (const auto self = weak.lock())
          self->OnDeleted(outcome, count);
      });
}

// Deletes are conditional on the row version, so a row that changed since the
// scan is kept.
TableTransact ClaimSweeper::State::ToDelete(TimePoint now,
                                            const TableReply& reply) const {
  TableTransact transaction;
  for (const Row& row : reply.rows) {
    if (transaction.deletes.size() >= settings.max_deletes)
      break;
    if (!IsExpired(row, wall.At(now)))
      continue;
    transaction.conditions.push_back({row.key, row.version});
    transaction.deletes.push_back(row.key);
  }
  return transaction;
}

// A failed delete is not retried; a later scan of the shard repeats it.
void ClaimSweeper::State::OnDeleted(const TableReply& reply,
                                    std::size_t count) {
  if (reply.status == TableStatus::kOk) {
    stats.rows_deleted += count;
  } else {
    ++stats.failures;
  }
}

// Uniform between 0.5 and 1.5 times the mean, so that nodes that started
// together spread out.
Duration ClaimSweeper::State::Pause(std::size_t members) {
  const auto nodes = static_cast<double>(std::max<std::size_t>(members, 1));
  const double mean = nodes / settings.scans_per_second;
  return FromSeconds(mean * (0.5 + random.Fraction()));
}

ClaimSweeper::ClaimSweeper(SweepSettings settings,
                           TableService& table,
                           RandomSource& random,
                           TimePoint now,
                           WallAnchor wall)
    : m_state(std::make_shared<State>(settings, table, random, wall)) {
  // Spreads the first scans of nodes that start together.
  const double share = random.Fraction();
  m_state->next_scan = now + FromSeconds(ToSeconds(kMaxFirstPause) * share);
}

ClaimSweeper::~ClaimSweeper() = default;

void ClaimSweeper::OnTimer(TimePoint now, std::size_t members) {
  if (now < m_state->next_scan)
    return;
  m_state->next_scan = now + m_state->Pause(members);
  m_state->Scan();
}

void ClaimSweeper::SetWallAnchor(WallAnchor wall) {
  m_state->wall = wall;
}

TimePoint ClaimSweeper::NextWakeup() const {
  return m_state->next_scan;
}

SweepStats ClaimSweeper::stats() const {
  return m_state->stats;
}

}  // namespace bulrushmount
