// Part of `budget_lease.h`: acquires, renews and releases one slot, with one
// table request at a time.

#include "core/measuring/budget_lease.h"

#include <algorithm>
#include <utility>

#include "core/common/logging.h"

namespace bulrushmount {

namespace {

const Row* FindRow(const std::vector<Row>& rows, const std::string& key) {
  const auto found = std::find_if(
      rows.begin(), rows.end(), [&](const Row& row) { return row.key == key; });
  return found == rows.end() ? nullptr : &*found;
}

RowVersion VersionOf(const std::vector<Row>& rows, const std::string& key) {
  const Row* row = FindRow(rows, key);
  return row == nullptr ? kNoRow : row->version;
}

}  // namespace

BudgetLease::BudgetLease(NodeId self,
                         const ServiceName& service,
                         const MeasuringSettings& settings,
                         RandomSource& random,
                         TimePoint now)
    : m_self(self),
      m_keys(service),
      m_settings(settings),
      m_random(random),
      m_pacing(settings, random),
      m_observer(self, m_keys, settings),
      m_next_attempt(now),
      m_alive(std::make_shared<bool>(true)) {}

BudgetLease::~BudgetLease() = default;

void BudgetLease::OnBudget(TimePoint now,
                           Revision revision,
                           const BudgetLayout& layout) {
  m_revision = revision;
  if (layout == m_layout) {
    return;
  }
  m_layout = layout;
  m_candidate.reset();
  m_is_layout_check_due = true;
  m_is_layout_write_due = false;
  if (m_state_machine.state() == LeaseState::kHeld) {
    // The row must be moved to the new budget soon, since no other slot is
    // granted before.
    m_renew_at = now;
    m_next_attempt = now;
    return;
  }
  m_next_attempt = now + std::chrono::duration_cast<Duration>(
                             m_settings.change_spread * m_random.Fraction());
}

void BudgetLease::OnNeed(TimePoint now, ProbeNeed need) {
  const bool is_more_urgent = need > m_need;
  m_need = need;
  if (is_more_urgent && m_state_machine.state() == LeaseState::kAbsent) {
    m_next_attempt = std::min(m_next_attempt, NextPoll(now));
  }
}

void BudgetLease::OnTimer(TimePoint now,
                          TimePoint idle_at,
                          TableService& table) {
  if (m_is_waiting) {
    return;
  }
  if (m_slot && now >= TermEnd()) {
    DropSlot(LeaseEvent::kLapsed, now);
  }
  if (now < m_next_attempt) {
    return;
  }
  switch (m_state_machine.state()) {
    case LeaseState::kAbsent:
      StepWhenAbsent(now, table);
      return;
    case LeaseState::kHeld:
      StepWhenHeld(now, idle_at, table);
      return;
    case LeaseState::kOutcomeUnknown:
      Scan(now, Request::kReadBack, table);
      return;
    case LeaseState::kRequested:
    case LeaseState::kReleasing:
      return;
  }
}

TimePoint BudgetLease::NextWakeup(TimePoint idle_at) const {
  if (m_is_waiting) {
    return TimePoint::max();
  }
  if (m_state_machine.state() == LeaseState::kHeld) {
    return HeldWakeup(idle_at);
  }
  const bool is_request_due =
      m_state_machine.state() == LeaseState::kOutcomeUnknown ||
      IsSlotWanted() || m_is_layout_check_due;
  return is_request_due ? m_next_attempt : TimePoint::max();
}

TimePoint BudgetLease::HeldWakeup(TimePoint idle_at) const {
  if (m_need == ProbeNeed::kNone || !Held()) {
    return std::min(std::max(idle_at, m_next_attempt), TermEnd());
  }
  const TimePoint renewal = std::max(m_renew_at, m_next_attempt);
  if (IsRenewalWanted()) {
    return std::min(renewal, TermEnd());
  }
  const TimePoint release = std::max({UsableUntil(), idle_at, m_next_attempt});
  return std::min(release, TermEnd());
}

std::optional<HeldSlot> BudgetLease::Held() const {
  if (m_state_machine.state() != LeaseState::kHeld ||
      m_layout.ShareOf(m_slot->index) != m_slot->share) {
    return std::nullopt;
  }
  const Duration wait = m_settings.Spacing(m_slot->share.window);
  return HeldSlot{m_slot->share, m_slot->granted_at + wait, UsableUntil()};
}

// --- Requests ---------------------------------------------------------------

void BudgetLease::Submit(TimePoint now,
                         Request kind,
                         TableRequest body,
                         TableService& table) {
  m_is_waiting = true;
  table.Submit(std::move(body),
               [this, kind, alive = std::weak_ptr<bool>(m_alive)](
                   TimePoint reply_time, const TableReply& reply) {
                 if (!alive.expired()) {
                   OnReply(reply_time, kind, reply);
                 }
               });
}

void BudgetLease::OnReply(TimePoint now,
                          Request kind,
                          const TableReply& reply) {
  m_is_waiting = false;
  switch (kind) {
    case Request::kScan:
      OnScanned(now, reply);
      return;
    case Request::kWriteLayout:
      OnLayoutWritten(now, reply);
      return;
    case Request::kAcquire:
      OnAcquired(now, reply);
      return;
    case Request::kRenew:
      OnRenewed(now, reply);
      return;
    case Request::kRelease:
      m_pacing.OnTurnEnded(now);
      // Whatever the outcome, this node no longer uses the slot. If the row
      // still exists, other nodes take the slot when its term is over.
      DropSlot(LeaseEvent::kLapsed, now);
      return;
    case Request::kReadBack:
      OnReadBack(now, reply);
      return;
  }
}

void BudgetLease::StepWhenAbsent(TimePoint now, TableService& table) {
  if (m_is_layout_write_due) {
    WriteLayout(now, table);
    return;
  }
  if (m_candidate && IsSlotWanted()) {
    Acquire(now, table);
    return;
  }
  if (IsSlotWanted() || m_is_layout_check_due) {
    Scan(now, Request::kScan, table);
  }
}

void BudgetLease::StepWhenHeld(TimePoint now,
                               TimePoint idle_at,
                               TableService& table) {
  if (!IsSlotKept(now)) {
    if (now >= idle_at) {
      Release(now, table);
    }
    return;
  }
  if (!IsRenewalWanted() || now < m_renew_at) {
    return;
  }
  if (m_is_read_back_due) {
    Scan(now, Request::kReadBack, table);
    return;
  }
  if (IsTableLayoutOld()) {
    WriteLayout(now, table);
    return;
  }
  if (!IsTableLayoutNew()) {
    Renew(now, table);
    return;
  }
  // The table has a newer budget than this node. The lease ends with its term
  // unless the node receives the contract before.
  m_next_attempt = NextPoll(now);
  m_is_read_back_due = true;
}

void BudgetLease::Scan(TimePoint now, Request kind, TableService& table) {
  Submit(now, kind, TableScan{m_keys.prefix()}, table);
}

void BudgetLease::OnScanned(TimePoint now, const TableReply& reply) {
  m_next_attempt = NextPoll(now);
  if (reply.status != TableStatus::kOk) {
    return;
  }
  UpdateTableLayout(reply.rows);
  const std::vector<FreeSlot> free =
      m_observer.FindFree(now, reply.rows, m_layout);
  if (IsTableLayoutNew()) {
    return;
  }
  m_is_layout_write_due = IsTableLayoutOld();
  if (m_is_layout_write_due) {
    m_next_attempt = now;
    return;
  }
  m_is_layout_check_due = false;
  if (free.empty() || !IsSlotWanted()) {
    return;
  }
  m_is_other_slot_free = free.size() > 1;
  const FreeSlot& chosen = free[m_random.Index(free.size())];
  Slot candidate;
  candidate.index = chosen.index;
  candidate.version = chosen.version;
  candidate.share = *m_layout.ShareOf(chosen.index);
  m_candidate = candidate;
  m_next_attempt = now;
}

void BudgetLease::WriteLayout(TimePoint now, TableService& table) {
  m_is_layout_write_due = false;
  TableTransact transact;
  transact.conditions = {{m_keys.layout(), m_table_layout_version}};
  transact.puts = {{m_keys.layout(), Encode(LayoutRow{m_revision, m_layout})}};
  Submit(now, Request::kWriteLayout, std::move(transact), table);
}

void BudgetLease::OnLayoutWritten(TimePoint now, const TableReply& reply) {
  // The table is read again before the layout is used: this node's budget may
  // have changed since, or another node may have written first.
  m_is_read_back_due = true;
  const bool is_answered = reply.status == TableStatus::kOk ||
                           reply.status == TableStatus::kConditionFailed;
  m_next_attempt = is_answered ? now : NextPoll(now);
}

void BudgetLease::Acquire(TimePoint now, TableService& table) {
  Slot slot = *std::exchange(m_candidate, std::nullopt);
  slot.nonce = m_random.NextBits();
  slot.term = m_pacing.Term(m_layout);
  slot.layout = m_layout;
  slot.requested_at = now;
  m_slot = slot;
  m_state_machine.Handle(LeaseEvent::kRequested);
  Submit(now, Request::kAcquire, SlotTransaction(slot), table);
}

void BudgetLease::OnAcquired(TimePoint now, const TableReply& reply) {
  switch (reply.status) {
    case TableStatus::kOk:
      m_slot->version = VersionOf(reply.rows, m_keys.Slot(m_slot->index));
      BeginHolding(now);
      return;
    case TableStatus::kUnknown:
      m_state_machine.Handle(LeaseEvent::kAnswerLost);
      m_next_attempt = now;
      return;
    case TableStatus::kConditionFailed:
    case TableStatus::kUnavailable:
      DropSlot(LeaseEvent::kRefused, now);
      return;
  }
}

void BudgetLease::BeginHolding(TimePoint now) {
  m_state_machine.Handle(LeaseEvent::kGranted);
  m_slot->granted_at = now;
  m_renew_at = m_slot->requested_at + m_slot->term / 2;
  m_next_attempt = now;
  m_is_read_back_due = !m_pacing.HasSlotForEveryMember(m_layout);
  if (now >= TermEnd()) {
    DropSlot(LeaseEvent::kLapsed, now);
  }
}

void BudgetLease::Renew(TimePoint now, TableService& table) {
  Slot renewal = *m_slot;
  renewal.nonce = m_random.NextBits();
  renewal.term = m_pacing.Term(m_layout);
  renewal.layout = m_layout;
  renewal.requested_at = now;
  m_renewal = renewal;
  Submit(now, Request::kRenew, SlotTransaction(renewal), table);
}

void BudgetLease::OnRenewed(TimePoint now, const TableReply& reply) {
  if (reply.status == TableStatus::kOk) {
    const RowVersion version =
        VersionOf(reply.rows, m_keys.Slot(m_slot->index));
    ApplyRenewal(version);
    m_next_attempt = now;
    return;
  }
  // The old term continues; only the table shows whether the new one has begun.
  m_is_read_back_due = true;
  m_next_attempt =
      reply.status == TableStatus::kUnavailable ? NextPoll(now) : now;
}

void BudgetLease::ApplyRenewal(RowVersion version) {
  m_slot = std::exchange(m_renewal, std::nullopt);
  m_slot->version = version;
  m_is_read_back_due = !m_pacing.HasSlotForEveryMember(m_layout);
  m_renew_at = m_slot->requested_at + m_slot->term / 2;
}

void BudgetLease::Release(TimePoint now, TableService& table) {
  TableTransact transact;
  const std::string key = m_keys.Slot(m_slot->index);
  transact.conditions = {{key, m_slot->version}};
  transact.deletes = {key};
  m_state_machine.Handle(LeaseEvent::kReleaseRequested);
  Submit(now, Request::kRelease, std::move(transact), table);
}

void BudgetLease::OnReadBack(TimePoint now, const TableReply& reply) {
  if (reply.status != TableStatus::kOk) {
    m_next_attempt = NextPoll(now);
    return;
  }
  UpdateTableLayout(reply.rows);
  m_next_attempt = now;
  m_is_read_back_due = false;
  const Row* row = FindRow(reply.rows, m_keys.Slot(m_slot->index));
  const auto slot = row ? DecodeSlotRow(row->value) : std::nullopt;
  if (!slot || slot->holder != m_self) {
    const bool is_outcome_unknown =
        m_state_machine.state() == LeaseState::kOutcomeUnknown;
    DropSlot(is_outcome_unknown ? LeaseEvent::kRefused : LeaseEvent::kLapsed,
             now);
    return;
  }
  OnReadBackOwnRow(now, reply.rows, *row, slot->nonce);
}

void BudgetLease::OnReadBackOwnRow(TimePoint now,
                                   const std::vector<Row>& rows,
                                   const Row& row,
                                   std::uint64_t nonce) {
  if (m_state_machine.state() == LeaseState::kOutcomeUnknown) {
    if (nonce != m_slot->nonce) {
      DropSlot(LeaseEvent::kRefused, now);
      return;
    }
    m_slot->version = row.version;
    BeginHolding(now);
    return;
  }
  if (m_renewal && nonce == m_renewal->nonce) {
    ApplyRenewal(row.version);
    return;
  }
  m_is_other_slot_free = IsOtherSlotFree(now, rows);
  // The renewal has not taken effect, or an earlier one took effect late. The
  // next one must use this version, and the term is not extended until then.
  m_renewal.reset();
  m_slot->version = row.version;
}

// --- Table state and lease conditions ---------------------------------------

void BudgetLease::UpdateTableLayout(const std::vector<Row>& rows) {
  const Row* row = FindRow(rows, m_keys.layout());
  m_table_layout = row ? DecodeLayoutRow(row->value) : std::nullopt;
  m_table_layout_version = row ? row->version : kNoRow;
}

bool BudgetLease::IsTableLayoutOld() const {
  if (!m_table_layout) {
    const bool is_row_missing = m_table_layout_version == kNoRow;
    return is_row_missing && m_layout.slot_count() > 0;
  }
  return m_table_layout->layout != m_layout &&
         m_table_layout->revision < m_revision;
}

bool BudgetLease::IsTableLayoutNew() const {
  if (!m_table_layout) {
    // A later release may write the row in an unknown format.
    return m_table_layout_version != kNoRow;
  }
  return m_table_layout->layout != m_layout &&
         m_table_layout->revision >= m_revision;
}

TableTransact BudgetLease::SlotTransaction(const Slot& slot) const {
  const std::string key = m_keys.Slot(slot.index);
  const SlotRow row{m_self, slot.nonce, slot.term, slot.layout};
  TableTransact transact;
  transact.conditions = {{m_keys.layout(), m_table_layout_version},
                         {key, slot.version}};
  transact.puts = {{key, Encode(row)}};
  return transact;
}

void BudgetLease::DropSlot(LeaseEvent event, TimePoint now) {
  m_state_machine.Handle(event);
  LogLine(LogLevel::kDebug, "measuring.slot_dropped")
      .Add("slot", m_slot->index);
  m_slot.reset();
  m_renewal.reset();
  m_is_read_back_due = false;
  m_next_attempt = NextPoll(now);
}

bool BudgetLease::IsOtherSlotFree(TimePoint now, const std::vector<Row>& rows) {
  const std::vector<FreeSlot> free = m_observer.FindFree(now, rows, m_layout);
  return std::any_of(free.begin(), free.end(), [&](const FreeSlot& slot) {
    return slot.index != m_slot->index;
  });
}

bool BudgetLease::IsSlotWanted() const {
  return m_need != ProbeNeed::kNone && m_layout.slot_count() > 0;
}

bool BudgetLease::IsRenewalWanted() const {
  return IsUncontended() || m_slot->layout != m_layout;
}

bool BudgetLease::IsSlotKept(TimePoint now) const {
  if (m_need == ProbeNeed::kNone || !Held()) {
    return false;
  }
  return IsUncontended() || now < UsableUntil();
}

bool BudgetLease::IsUncontended() const {
  return m_is_other_slot_free || m_pacing.HasSlotForEveryMember(m_layout);
}

TimePoint BudgetLease::TermEnd() const {
  return m_slot->requested_at + m_slot->term;
}

TimePoint BudgetLease::UsableUntil() const {
  return TermEnd() - m_settings.probe_timeout - m_settings.send_tolerance;
}

TimePoint BudgetLease::NextPoll(TimePoint now) {
  return m_pacing.NextPoll(now, m_need, m_layout);
}

}  // namespace bulrushmount
