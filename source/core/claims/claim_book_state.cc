// Part of `claim_book_state.h`: the calls of ClaimBook, timers and replies. The
// steps of a claim are in `claim_steps.cc`.

#include "core/claims/claim_book_state.h"

#include <algorithm>

namespace bulrushmount::detail {

ClaimBookState::ClaimBookState(ClaimSettings settings,
                               TableService& table,
                               RandomSource& random,
                               WallAnchor wall)
    : m_settings(settings),
      m_table(table),
      m_random(random),
      m_wall(wall),
      m_breaker(settings.failures_to_open, settings.trial_interval),
      m_batcher(std::make_shared<WriteBatcher>(m_settings, table, *this)) {}

ClaimId ClaimBookState::Acquire(TimePoint now,
                                ClaimRequest request,
                                ClaimBook::Callback callback) {
  const ClaimId id{++m_last_id};
  const std::size_t key_length = request.key.value().size();
  if (key_length == 0 || key_length > kMaxIdempotencyKeyLength) {
    QueueReply(std::move(callback), {ClaimStatus::kKeyInvalid, {}});
    SendReplies(now);
    return id;
  }
  std::string row_key = ClaimRowKey(request.workspace, request.key);
  const auto local = m_by_key.find(row_key);
  if (local != m_by_key.end()) {
    QueueReply(std::move(callback),
               ResultOfLocal(*m_claims.at(local->second), request));
  } else if (!m_breaker.Allow(now)) {
    QueueReply(std::move(callback), {ClaimStatus::kStoreUnavailable, {}});
  } else {
    Claim& claim = Insert(now, std::move(request), std::move(row_key));
    claim.callback = std::move(callback);
    Advance(now, claim);
  }
  SendReplies(now);
  return id;
}

// Creates the claim with the latest id, m_last_id.
Claim& ClaimBookState::Insert(TimePoint now,
                              ClaimRequest request,
                              std::string row_key) {
  auto owned = std::make_unique<Claim>();
  Claim& claim = *owned;
  claim.id = ClaimId(m_last_id);
  claim.row_key = std::move(row_key);
  claim.started = now;
  ClaimRow& row = claim.claimed_row;
  row.token = m_random.NextBits();
  row.fingerprint = request.fingerprint;
  row.claimed_at = m_wall.At(now);
  row.time_left = request.deadline - now;
  row.expires_at =
      row.claimed_at +
      std::chrono::duration_cast<WallTime::duration>(request.retention);
  const TimePoint latest = now + m_settings.max_acquire_time;
  const TimePoint give_up = std::min(request.deadline, latest);
  claim.request = std::move(request);
  m_by_key.emplace(claim.row_key, claim.id);
  m_claims.emplace(claim.id, std::move(owned));
  SetWake(claim, give_up);
  return claim;
}

// This node already has a claim of the key, so its row need not be read.
ClaimResult ClaimBookState::ResultOfLocal(const Claim& claim,
                                          const ClaimRequest& request) const {
  const bool is_released = claim.goal == ClaimGoal::kSettle &&
                           claim.outcome_row.state == ClaimRowState::kReleased;
  if (is_released) {
    const bool is_failing = m_breaker.is_open();
    return {
        is_failing ? ClaimStatus::kStoreUnavailable : ClaimStatus::kInProgress,
        {}};
  }
  if (claim.request.fingerprint != request.fingerprint)
    return {ClaimStatus::kKeyReused, {}};
  if (claim.goal != ClaimGoal::kSettle)
    return {ClaimStatus::kInProgress, {}};
  if (claim.outcome_row.state == ClaimRowState::kFinished)
    return {ClaimStatus::kFinished, claim.outcome_row.answer};
  return {ClaimStatus::kEarlierOutcomeUnknown, {}};
}

// The wall clock only chooses between "in progress" and "outcome unknown".
ClaimResult ClaimBookState::ResultOfRow(TimePoint now,
                                        const ClaimRow& row,
                                        const ClaimRequest& request) const {
  if (row.fingerprint != request.fingerprint)
    return {ClaimStatus::kKeyReused, {}};
  if (row.state == ClaimRowState::kFinished)
    return {ClaimStatus::kFinished, row.answer};
  if (row.state == ClaimRowState::kUnknown)
    return {ClaimStatus::kEarlierOutcomeUnknown, {}};
  const Duration age = m_wall.At(now) - row.claimed_at;
  const bool is_old = age > row.time_left + m_settings.in_progress_grace;
  return {
      is_old ? ClaimStatus::kEarlierOutcomeUnknown : ClaimStatus::kInProgress,
      {}};
}

bool ClaimBookState::CheckBeforeDispatch(TimePoint now, ClaimId id) const {
  const auto found = m_claims.find(id);
  if (found == m_claims.end())
    return false;
  const Claim& claim = *found->second;
  return claim.goal == ClaimGoal::kHold && now < claim.request.deadline;
}

void ClaimBookState::Release(TimePoint now, ClaimId id) {
  Claim* claim = Find(id);
  if (claim == nullptr || claim->goal == ClaimGoal::kSettle)
    return;
  claim->callback = nullptr;
  Settle(now, *claim, ClaimRowState::kReleased);
}

void ClaimBookState::Finish(TimePoint now, ClaimId id, StoredAnswer answer) {
  Claim* claim = Find(id);
  if (claim == nullptr || claim->goal != ClaimGoal::kHold)
    return;
  claim->outcome_row.answer = LimitBody(std::move(answer));
  Settle(now, *claim, ClaimRowState::kFinished);
}

void ClaimBookState::MarkUnknown(TimePoint now, ClaimId id) {
  Claim* claim = Find(id);
  if (claim == nullptr || claim->goal != ClaimGoal::kHold)
    return;
  Settle(now, *claim, ClaimRowState::kUnknown);
}

// A large body, or many that wait during an outage of the table, would exhaust
// the memory of the node. The status alone still prevents a second run.
StoredAnswer ClaimBookState::LimitBody(StoredAnswer answer) {
  const std::size_t size = answer.body.size();
  const bool is_kept =
      answer.is_body_kept && size <= m_settings.max_body_bytes &&
      m_pending_body_bytes + size <= m_settings.max_pending_body_bytes;
  if (!is_kept) {
    ++m_stats.bodies_not_kept;
    return {answer.status, {}, {}, false};
  }
  m_pending_body_bytes += size;
  return answer;
}

void ClaimBookState::OnTimer(TimePoint now) {
  m_batcher->OnTimer(now);
  while (!m_timers.empty() && m_timers.begin()->first <= now) {
    Claim* claim = Find(m_timers.begin()->second);
    SetWake(*claim, TimePoint::max());
    OnWake(now, *claim);
  }
  SendReplies(now);
}

void ClaimBookState::OnWake(TimePoint now, Claim& claim) {
  if (claim.goal == ClaimGoal::kSettle) {
    Advance(now, claim);
    return;
  }
  // Only a full wait counts as a failure: a call with a short deadline does not
  // show that the table has failed.
  if (now - claim.started >= m_settings.max_acquire_time)
    m_breaker.OnFailure(now);
  Refuse(now, claim, {ClaimStatus::kStoreUnavailable, {}});
}

TimePoint ClaimBookState::NextWakeup() const {
  const TimePoint batch = m_batcher->NextWakeup();
  return m_timers.empty() ? batch : std::min(batch, m_timers.begin()->first);
}

ClaimStats ClaimBookState::stats() const {
  ClaimStats stats = m_stats;
  stats.transactions = m_batcher->transactions();
  stats.row_writes = m_batcher->row_writes();
  return stats;
}

Claim* ClaimBookState::Find(ClaimId id) {
  const auto found = m_claims.find(id);
  return found == m_claims.end() ? nullptr : found->second.get();
}

void ClaimBookState::SetWake(Claim& claim, TimePoint wake_at) {
  m_timers.erase({claim.wake_at, claim.id});
  claim.wake_at = wake_at;
  if (wake_at != TimePoint::max())
    m_timers.emplace(wake_at, claim.id);
}

void ClaimBookState::QueueReply(ClaimBook::Callback callback,
                                ClaimResult result) {
  if (!callback)
    return;
  CountResult(result.status);
  m_replies.push_back({std::move(callback), std::move(result)});
}

void ClaimBookState::SendReplies(TimePoint now) {
  while (!m_replies.empty()) {
    const Reply reply = std::move(m_replies.front());
    m_replies.pop_front();
    reply.callback(now, reply.result);
  }
}

void ClaimBookState::CountResult(ClaimStatus status) {
  switch (status) {
    case ClaimStatus::kGranted:
      ++m_stats.granted;
      return;
    case ClaimStatus::kInProgress:
      ++m_stats.in_progress;
      return;
    case ClaimStatus::kFinished:
      ++m_stats.finished;
      return;
    case ClaimStatus::kEarlierOutcomeUnknown:
      ++m_stats.outcome_unknown;
      return;
    case ClaimStatus::kKeyReused:
    case ClaimStatus::kKeyInvalid:
      ++m_stats.key_reused;
      return;
    case ClaimStatus::kStoreUnavailable:
      ++m_stats.store_unavailable;
      return;
  }
}

}  // namespace bulrushmount::detail
