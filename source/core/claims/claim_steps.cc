// Part of `claim_book_state.h`: the steps of a claim. Each reply of the table
// updates the known state of the row, and `Advance` then takes the next step.

#include <algorithm>
#include <utility>

#include "core/claims/claim_book_state.h"

namespace bulrushmount::detail {

namespace {

// More writes than this mean that the store repeatedly loses answers or that
// the row keeps changing hands.
constexpr int kMaxAcquireWrites = 4;

constexpr int kMaxBackoffDoublings = 16;

void UpdateRowState(Claim& claim, const Row* row) {
  const RowVersion current = row == nullptr ? kNoRow : row->version;
  if (claim.pending_write_condition != current)
    claim.pending_write_condition.reset();
  claim.version = current;
  claim.is_read_due = false;
  claim.holder = RowHolder::kNoClaim;
  if (row == nullptr)
    return;
  const std::optional<ClaimRow> decoded = DecodeClaimRow(row->value);
  if (!decoded) {
    // A row written by a later release may have any meaning, so the request may
    // have run.
    claim.holder = RowHolder::kOther;
    claim.other_row = claim.claimed_row;
    claim.other_row.state = ClaimRowState::kUnknown;
    return;
  }
  const bool is_own = decoded->token == claim.claimed_row.token;
  if (is_own && decoded->state == ClaimRowState::kClaimed) {
    claim.holder = RowHolder::kThisClaim;
  } else if (is_own || decoded->state != ClaimRowState::kReleased) {
    claim.holder = RowHolder::kOther;
    claim.other_row = *decoded;
  }
}

}  // namespace

void ClaimBookState::Advance(TimePoint now, Claim& claim) {
  if (claim.is_request_in_flight || claim.goal == ClaimGoal::kHold)
    return;
  if (claim.goal == ClaimGoal::kSettle) {
    AdvanceSettle(now, claim);
  } else if (claim.is_read_due) {
    Read(now, claim);
  } else {
    AdvanceAcquire(now, claim);
  }
}

void ClaimBookState::AdvanceAcquire(TimePoint now, Claim& claim) {
  switch (claim.holder) {
    case RowHolder::kThisClaim:
      Grant(now, claim);
      return;
    case RowHolder::kOther:
      Refuse(now, claim, ResultOfRow(now, claim.other_row, claim.request));
      return;
    case RowHolder::kNoClaim:
      if (claim.writes >= kMaxAcquireWrites) {
        Refuse(now, claim, {ClaimStatus::kStoreUnavailable, {}});
        return;
      }
      Write(now, claim, claim.claimed_row, Urgency::kClaim);
      return;
  }
}

void ClaimBookState::AdvanceSettle(TimePoint now, Claim& claim) {
  // A write that may still take effect could leave a claimed row without a
  // holder, and repeats of the key would be refused until the sweep. Writing
  // the outcome under the same condition prevents that.
  const bool is_in_table = claim.holder == RowHolder::kThisClaim ||
                           claim.pending_write_condition.has_value();
  if (!is_in_table) {
    Remove(claim);
    return;
  }
  if (!m_breaker.Allow(now)) {
    SetWake(claim, now + RetryPause(claim.failures));
    return;
  }
  if (claim.is_read_due) {
    Read(now, claim);
    return;
  }
  const bool is_released = claim.outcome_row.state == ClaimRowState::kReleased;
  Write(now, claim, claim.outcome_row,
        is_released ? Urgency::kRelease : Urgency::kOutcome);
}

void ClaimBookState::Grant(TimePoint now, Claim& claim) {
  // The node may have been frozen while the reply was in transit.
  if (now >= claim.request.deadline) {
    Refuse(now, claim, {ClaimStatus::kStoreUnavailable, {}});
    return;
  }
  claim.goal = ClaimGoal::kHold;
  SetWake(claim, TimePoint::max());
  QueueReply(std::exchange(claim.callback, nullptr),
             {ClaimStatus::kGranted, {}});
}

void ClaimBookState::Refuse(TimePoint now, Claim& claim, ClaimResult result) {
  QueueReply(std::exchange(claim.callback, nullptr), std::move(result));
  Settle(now, claim, ClaimRowState::kReleased);
}

void ClaimBookState::Settle(TimePoint now, Claim& claim, ClaimRowState state) {
  claim.goal = ClaimGoal::kSettle;
  ++m_settling;
  SetWake(claim, TimePoint::max());
  StoredAnswer answer = std::move(claim.outcome_row.answer);
  claim.outcome_row = claim.claimed_row;
  claim.outcome_row.state = state;
  claim.outcome_row.answer = std::move(answer);
  // The retention counts from the outcome.
  const Duration ran = now - claim.started;
  claim.outcome_row.expires_at +=
      std::chrono::duration_cast<WallTime::duration>(ran);
  if (m_settling > m_settings.max_pending_outcomes) {
    ++m_stats.outcomes_dropped;
    Remove(claim);
    return;
  }
  if (claim.failures > 0 && !claim.is_request_in_flight) {
    SetWake(claim, now + RetryPause(claim.failures));
    return;
  }
  Advance(now, claim);
}

void ClaimBookState::Remove(Claim& claim) {
  SetWake(claim, TimePoint::max());
  --m_settling;
  if (claim.outcome_row.answer.is_body_kept)
    m_pending_body_bytes -= claim.outcome_row.answer.body.size();
  m_by_key.erase(claim.row_key);
  m_claims.erase(claim.id);
}

void ClaimBookState::Read(TimePoint now, Claim& claim) {
  claim.is_request_in_flight = true;
  ++m_stats.reads;
  m_table.Submit(TableGet{claim.row_key},
                 [weak = weak_from_this(), id = claim.id, sent = now](
                     TimePoint then, TableReply reply) {
                   if (const auto self = weak.lock())
                     self->OnRead(then, id, then - sent, std::move(reply));
                 });
}

void ClaimBookState::Write(TimePoint now,
                           Claim& claim,
                           const ClaimRow& row,
                           Urgency urgency) {
  claim.is_request_in_flight = true;
  claim.is_outcome_sent = urgency != Urgency::kClaim;
  ++claim.writes;
  m_batcher->Add(now,
                 {claim.id, claim.row_key, claim.version, EncodeClaimRow(row)},
                 urgency);
}

void ClaimBookState::OnRead(TimePoint now,
                            ClaimId id,
                            Duration took,
                            TableReply reply) {
  CountReply(now, took, reply.status);
  Claim* claim = Find(id);
  if (claim == nullptr)
    return;
  claim->is_request_in_flight = false;
  if (reply.status == TableStatus::kOk) {
    claim->failures = 0;
    UpdateRowState(*claim, reply.rows.empty() ? nullptr : &reply.rows.front());
    Advance(now, *claim);
  } else {
    OnFailed(now, *claim);
  }
  SendReplies(now);
}

void ClaimBookState::OnWriteEnded(TimePoint now,
                                  ClaimId id,
                                  WriteResult result) {
  Claim* claim = Find(id);
  if (claim == nullptr)
    return;
  claim->is_request_in_flight = false;
  switch (result.status) {
    case WriteStatus::kWritten:
      OnWritten(now, *claim, result.version);
      break;
    case WriteStatus::kConflict:
      claim->failures = 0;
      UpdateRowState(*claim, result.row ? &*result.row : nullptr);
      Advance(now, *claim);
      break;
    case WriteStatus::kUnknown:
      claim->pending_write_condition = claim->version;
      claim->is_read_due = true;
      OnFailed(now, *claim);
      break;
    case WriteStatus::kUnavailable:
      OnFailed(now, *claim);
      break;
  }
  SendReplies(now);
}

void ClaimBookState::OnWritten(TimePoint now,
                               Claim& claim,
                               RowVersion version) {
  claim.failures = 0;
  claim.version = version;
  claim.pending_write_condition.reset();
  if (claim.is_outcome_sent) {
    Remove(claim);
    return;
  }
  claim.holder = RowHolder::kThisClaim;
  Advance(now, claim);
}

// Refuses the call, except after the first write without an answer: the row is
// then read back first.
void ClaimBookState::OnFailed(TimePoint now, Claim& claim) {
  const bool is_first = claim.failures == 0;
  ++claim.failures;
  if (claim.goal == ClaimGoal::kSettle) {
    SetWake(claim, now + RetryPause(claim.failures));
    return;
  }
  if (claim.is_read_due && is_first) {
    Advance(now, claim);
    return;
  }
  Refuse(now, claim, {ClaimStatus::kStoreUnavailable, {}});
}

void ClaimBookState::OnTransactionEnded(TimePoint now,
                                        Duration took,
                                        TableStatus status) {
  CountReply(now, took, status);
}

// A reply that took longer than a call may wait counts as a failure, so that a
// slow store opens the circuit breaker instead of leaving every call waiting.
void ClaimBookState::CountReply(TimePoint now,
                                Duration took,
                                TableStatus status) {
  const bool is_answer =
      status == TableStatus::kOk || status == TableStatus::kConditionFailed;
  if (is_answer && took <= m_settings.max_acquire_time) {
    m_breaker.OnSuccess();
  } else {
    m_breaker.OnFailure(now);
  }
}

Duration ClaimBookState::RetryPause(int failures) {
  Duration pause = m_settings.initial_retry_pause;
  const int doublings = std::min(failures - 1, kMaxBackoffDoublings);
  for (int count = 0; count < doublings; ++count)
    pause = std::min(pause * 2, m_settings.max_retry_pause);
  const double share = 0.5 + m_random.Fraction() / 2;
  return FromSeconds(ToSeconds(pause) * share);
}

}  // namespace bulrushmount::detail
