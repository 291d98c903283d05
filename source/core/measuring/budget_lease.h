// Lease of one slot of a service's measuring budget in the table. Probes must
// never exceed the budget, so the lease uses no estimates and no gossip: a slot
// has one row, a node holds it only by a committed transaction on that row, and
// a lease that cannot be renewed because the table is unavailable expires.
//
// Clocks of different nodes are never compared. A holder counts its term from
// before it sent the request; other nodes reuse a slot only after they have
// seen its row unchanged for the term and a margin, or deleted by its holder.

#ifndef BULRUSHMOUNT_CORE_MEASURING_BUDGET_LEASE_H_
#define BULRUSHMOUNT_CORE_MEASURING_BUDGET_LEASE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "core/common/ids.h"
#include "core/common/random.h"
#include "core/common/time.h"
#include "core/measuring/budget_layout.h"
#include "core/measuring/lease_pacing.h"
#include "core/measuring/lease_state_machine.h"
#include "core/measuring/measuring_settings.h"
#include "core/measuring/probe_need.h"
#include "core/measuring/share_rows.h"
#include "core/measuring/slot_observer.h"
#include "core/store/table_service.h"

namespace bulrushmount {

// A slot that this node holds.
struct HeldSlot {
  SlotShare share;
  // Probes may be decided in [usable_from, usable_until). It begins one whole
  // window after the grant was known, so that no window has probes of both the
  // previous holder and this one. It ends early enough that the last probe is
  // answered or timed out before the term ends.
  TimePoint usable_from;
  TimePoint usable_until;
};

class BudgetLease {
 public:
  // `random` must outlive the object.
  BudgetLease(NodeId self,
              const ServiceName& service,
              const MeasuringSettings& settings,
              RandomSource& random,
              TimePoint now);
  ~BudgetLease();

  BudgetLease(const BudgetLease&) = delete;
  BudgetLease& operator=(const BudgetLease&) = delete;

  // Sets the budget of the contract in force; also called when only its
  // revision changes. A layout without slots means that there is no contract. A
  // lower budget applies to this node immediately.
  void OnBudget(TimePoint now, Revision revision, const BudgetLayout& layout);

  void OnFleetSize(const FleetSize& size) { m_pacing.OnFleetSize(size); }

  // Sets how urgently the slot is needed; kNone releases it.
  void OnNeed(TimePoint now, ProbeNeed need);

  // Sends the next due request to the table; at most one is pending. `idle_at`:
  // time from which no probe of this node is in flight, so its slot may be
  // released. `table` is used only during this call; its reply is ignored if
  // this object was destroyed.
  void OnTimer(TimePoint now, TimePoint idle_at, TableService& table);

  // TimePoint::max() if only another call can change something. May change with
  // every call and with every reply of the table.
  TimePoint NextWakeup(TimePoint idle_at) const;

  // The held slot, also before and after the time in which it may be used;
  // empty as soon as the budget does not include it.
  std::optional<HeldSlot> Held() const;

  LeaseState state() const { return m_state_machine.state(); }

 private:
  // Version of another node's row and when this node first saw it.
  struct Observation {
    RowVersion version;
    TimePoint first_seen;
  };

  struct Slot {
    std::uint32_t index = 0;
    RowVersion version;
    std::uint64_t nonce = 0;
    Duration term{};
    SlotShare share;
    // Budget that the row belongs to.
    BudgetLayout layout;
    // Time at which the granted request was sent, from which the term counts.
    TimePoint requested_at;
    // Time at which the first grant was known. The previous holder may have
    // sent probes until just before the grant, so the wait before the first
    // probe counts from this, not from `requested_at`.
    TimePoint granted_at;
  };

  enum class Request : std::uint8_t {
    kScan,
    kWriteLayout,
    kAcquire,
    kRenew,
    kRelease,
    kReadBack,
  };

  void Submit(TimePoint now,
              Request kind,
              TableRequest body,
              TableService& table);
  void OnReply(TimePoint now, Request kind, const TableReply& reply);

  // Each does the next step for one state of the lease.
  void StepWhenAbsent(TimePoint now, TableService& table);
  void StepWhenHeld(TimePoint now, TimePoint idle_at, TableService& table);

  void Scan(TimePoint now, Request kind, TableService& table);
  void OnScanned(TimePoint now, const TableReply& reply);
  void WriteLayout(TimePoint now, TableService& table);
  void OnLayoutWritten(TimePoint now, const TableReply& reply);
  void Acquire(TimePoint now, TableService& table);
  void OnAcquired(TimePoint now, const TableReply& reply);
  void BeginHolding(TimePoint now);
  void Renew(TimePoint now, TableService& table);
  void OnRenewed(TimePoint now, const TableReply& reply);
  void ApplyRenewal(RowVersion version);
  void Release(TimePoint now, TableService& table);
  void OnReadBack(TimePoint now, const TableReply& reply);
  void OnReadBackOwnRow(TimePoint now,
                        const std::vector<Row>& rows,
                        const Row& row,
                        std::uint64_t nonce);
  bool IsOtherSlotFree(TimePoint now, const std::vector<Row>& rows);

  // Updates m_table_layout from a reply; `rows` are all rows.
  void UpdateTableLayout(const std::vector<Row>& rows);
  // Whether the table's layout differs from this node's and is older, or newer.
  bool IsTableLayoutOld() const;
  bool IsTableLayoutNew() const;

  // A write of the row of `slot`, conditional on the layout row and the slot's
  // row.
  TableTransact SlotTransaction(const Slot& slot) const;
  void DropSlot(LeaseEvent event, TimePoint now);

  bool IsSlotWanted() const;
  // The slot is renewed if no other node waits for it, or to move it to the new
  // budget.
  bool IsRenewalWanted() const;
  bool IsSlotKept(TimePoint now) const;
  // Whether no other node waits for this slot.
  bool IsUncontended() const;
  TimePoint TermEnd() const;
  TimePoint UsableUntil() const;
  TimePoint HeldWakeup(TimePoint idle_at) const;
  TimePoint NextPoll(TimePoint now);

  const NodeId m_self;
  const ShareKeys m_keys;
  const MeasuringSettings m_settings;
  RandomSource& m_random;
  LeasePacing m_pacing;

  Revision m_revision;
  BudgetLayout m_layout;
  ProbeNeed m_need = ProbeNeed::kNone;

  LeaseStateMachine m_state_machine;
  // Set exactly while the lease is not absent; used only while it is held.
  std::optional<Slot> m_slot;
  // A free slot to request; set only while the lease is absent.
  std::optional<Slot> m_candidate;
  // The renewal that is pending or has an unknown outcome.
  std::optional<Slot> m_renewal;
  // Whether the rows must be read again before the next renewal.
  bool m_is_read_back_due = false;
  // Whether there was another free slot in the last read.
  bool m_is_other_slot_free = false;
  // Whether the budget changed and the table may not have the new one yet.
  bool m_is_layout_check_due = false;
  // Whether the last read showed that the table's layout is old.
  bool m_is_layout_write_due = false;
  // Time of the next renewal.
  TimePoint m_renew_at;

  // Layout row as last read.
  std::optional<LayoutRow> m_table_layout;
  RowVersion m_table_layout_version;
  SlotObserver m_observer;

  // Whether a request is pending. At most one is, so replies cannot overtake
  // each other.
  bool m_is_waiting = false;
  // Earliest time of the next request.
  TimePoint m_next_attempt;
  // Expires with the object, so that late replies are ignored.
  std::shared_ptr<bool> m_alive;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_MEASURING_BUDGET_LEASE_H_
