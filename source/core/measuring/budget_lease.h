// The lease of one slot of a service's measuring budget in the table. The
// measuring of servers must never exceed its budget, so there is no estimate
// and no gossip in it: a slot has one row, a node holds it only by a committed
// transaction on that row, and without the table a lease lapses.
//
// Clocks of two nodes are never compared. A holder counts its term from before
// it sent the request; others reuse a slot only after they have seen its row
// unchanged for the term and a margin, or deleted by its holder.

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
#include "core/measuring/lease_life.h"
#include "core/measuring/lease_pacing.h"
#include "core/measuring/measuring_settings.h"
#include "core/measuring/probe_need.h"
#include "core/measuring/share_rows.h"
#include "core/measuring/slot_observer.h"
#include "core/store/table_service.h"

namespace bulrushmount {

// A slot held.
struct HeldSlot {
  SlotShare share;
  // Probes may be decided in [usable_from, usable_until): the first is a whole
  // window after the slot was known to be ours, so that no window holds probes
  // of the last holder and of this one; the last is answered or given up
  // before the term ends.
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

  // The contract in force, at every change of the revision too; a layout
  // without slots if there is no contract. A lower budget binds this node at
  // once.
  void OnBudget(TimePoint now, Revision revision, const BudgetLayout& layout);

  void OnFleetSize(const FleetSize& size) { m_pacing.OnFleetSize(size); }

  // How much the slot is wanted. kNone gives it up.
  void OnNeed(TimePoint now, ProbeNeed need);

  // Sends what is due to the table; at most one request is under way.
  // `idle_at`: no probe of this node is in flight from then on, so its slot may
  // be given up. `table` is used within this call only; its reply is taken if
  // this object still lives.
  void OnTimer(TimePoint now, TimePoint idle_at, TableService& table);

  // TimePoint::max() when only another call can change something. May change
  // with every call and with every reply of the table.
  TimePoint NextWakeup(TimePoint idle_at) const;

  // The slot held, whether its time to be used is still to come or over; empty
  // as soon as the budget does not cover it.
  std::optional<HeldSlot> Held() const;

  LeaseState state() const { return m_life.state(); }

 private:
  // What others' rows looked like when this node first saw them so.
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
    // The budget that the row says it belongs to.
    BudgetLayout layout;
    // When the request that was granted was sent: the term counts from then.
    TimePoint requested_at;
    // When the first grant was known. The last holder may have probed until
    // just before the grant, so this, not `requested_at`, begins the wait.
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

  // One step each, by the state of the lease.
  void StepAbsent(TimePoint now, TableService& table);
  void StepHeld(TimePoint now, TimePoint idle_at, TableService& table);

  void Scan(TimePoint now, Request kind, TableService& table);
  void OnScanned(TimePoint now, const TableReply& reply);
  void WriteLayout(TimePoint now, TableService& table);
  void OnLayoutWritten(TimePoint now, const TableReply& reply);
  void Acquire(TimePoint now, TableService& table);
  void OnAcquired(TimePoint now, const TableReply& reply);
  void BeginHolding(TimePoint now);
  void Renew(TimePoint now, TableService& table);
  void OnRenewed(TimePoint now, const TableReply& reply);
  void TakeRenewal(RowVersion version);
  void Release(TimePoint now, TableService& table);
  void OnReadBack(TimePoint now, const TableReply& reply);
  void OnReadBackOwn(TimePoint now,
                     const std::vector<Row>& rows,
                     const Row& row,
                     std::uint64_t nonce);
  bool IsOtherSlotFree(TimePoint now, const std::vector<Row>& rows);

  // Takes what a reply says of the layout row; `rows` are all rows.
  void TakeLayout(const std::vector<Row>& rows);
  // The table's layout is another one and older than ours, or newer.
  bool IsTableLayoutOld() const;
  bool IsTableLayoutNew() const;

  // Conditions on the layout row and on the row of `slot`.
  TableTransact SlotTransaction(const Slot& slot) const;
  void Drop(LeaseEvent event, TimePoint now);

  bool IsSlotWanted() const;
  // Renewed when no node waits for it, or to move it to the new budget.
  bool IsRenewalWanted() const;
  bool IsKept(TimePoint now) const;
  // Nobody waits for this one.
  bool HasSlotForAll() const;
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

  LeaseLife m_life;
  // Set exactly while m_life is not absent; used only while it is held.
  std::optional<Slot> m_slot;
  // A free slot to ask for; set only while m_life is absent.
  std::optional<Slot> m_candidate;
  // The renewal under way, or whose outcome is unknown.
  std::optional<Slot> m_renewal;
  // The rows must be read again before the next renewal.
  bool m_is_read_back_due = false;
  // As last seen, there was a free slot besides ours.
  bool m_is_other_slot_free = false;
  // The budget changed, and the table may not have been told.
  bool m_is_layout_check_due = false;
  // The table's layout was just seen to be old.
  bool m_is_layout_write_due = false;
  // When the slot is renewed next.
  TimePoint m_renew_at;

  // What the table last said of the layout row.
  std::optional<LayoutRow> m_table_layout;
  RowVersion m_table_layout_version;
  SlotObserver m_observer;

  // At most one request is under way, so replies cannot overtake each other.
  bool m_is_waiting = false;
  // No request is sent before.
  TimePoint m_next_attempt;
  // Expires with the object, so that a late reply finds nothing.
  std::shared_ptr<bool> m_alive;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_MEASURING_BUDGET_LEASE_H_
