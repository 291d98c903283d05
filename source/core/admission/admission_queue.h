// Queue of works that wait for a slot, in the order in which they start:
// workspaces share the slots by weight (start-time fair queueing), and within a
// workspace the earliest objective or deadline goes first.
//
// Load pattern: many workspaces of very different sizes share a target that can
// serve all of them in time. Fair queueing would make a large workspace's
// requests late by letting small ones that have more time left go first. So
// workspaces are only distinguished while the queue is contended.
//
// Load pattern: for some seconds more requests arrive than can be answered in
// time. In pure deadline order every one of them would be answered slightly too
// late. So works that can no longer be in time (kLate) wait until there are no
// others, and the others stay in time.
//
// Works that can be in time but probably will not (kPossible) go after those
// that probably will (kLikely), newest first, since the newest has the best
// chance. If they were treated as late, targets that are slow for some seconds,
// as all are after a restart, would start no new request before the ones that
// are already late.

#ifndef BULRUSHMOUNT_CORE_ADMISSION_ADMISSION_QUEUE_H_
#define BULRUSHMOUNT_CORE_ADMISSION_ADMISSION_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/common/ids.h"
#include "core/common/time.h"

namespace bulrushmount {

// Whether a work's answer can still be in time if the work starts now.
enum class Timeliness : std::uint8_t { kLikely, kPossible, kLate };

struct QueuedWork {
  WorkId work;
  WorkspaceName workspace;
  KindName kind;
  double weight = 1.0;
  // Above 0.
  double share = 1.0;
  // Latest time for the first byte of the answer.
  TimePoint deadline;
  // Latest start, independent of the deadline.
  TimePoint max_wait_ends;
  // After this time the work is refused only if its deadline can no longer be
  // met; empty if it may be refused at any time.
  std::optional<TimePoint> decide_by{};
  // Time at which a work that waits for an undisturbed target is refused; empty
  // if it may wait as long as others.
  std::optional<TimePoint> hold_ends{};
  // Time after which an answer has little value to the caller; empty if there
  // is no objective.
  std::optional<TimePoint> objective{};
  // Whether it can be answered by its objective; set by the queue.
  Timeliness timeliness = Timeliness::kLikely;
  bool is_suspect = false;
  // A call that a target makes while it serves another request. Its caller
  // holds a slot of its own until it is answered.
  bool is_nested = false;
  // Virtual start time of fair queueing; set by the queue.
  double start_tag = 0;
};

// Intended for short queues: every change takes time proportional to the
// length.
class AdmissionQueue {
 public:
  void Push(QueuedWork work);

  // Removes and returns the first work, or the first that is not a suspect if
  // `may_be_suspect` is false, and charges its cost to its workspace.
  std::optional<QueuedWork> PopFirst(bool may_be_suspect);

  // Returns whether a work with that id was waiting.
  bool Remove(WorkId work);

  // Sets the timeliness of each work to `timeliness(work)`. Returns whether the
  // order may have changed.
  template <typename TimelinessOf>
  bool UpdateTimeliness(const TimelinessOf& timeliness) {
    bool is_changed = false;
    for (QueuedWork& work : m_works) {
      const Timeliness now = timeliness(work);
      is_changed |= now != work.timeliness;
      work.timeliness = now;
    }
    if (is_changed)
      Reorder();
    return is_changed;
  }

  // Sets whether workspaces share the slots fairly; otherwise the earliest
  // objective or deadline of all goes first. Returns whether the order may have
  // changed.
  bool SetContended(bool is_contended);

  // Removes and returns the work that would start last. There must be one.
  QueuedWork PopLast();

  // Clears the queue and the shares that workspaces have used. Call it when
  // nothing runs and nothing waits.
  void Reset();

  // In the order in which they start.
  const std::vector<QueuedWork>& works() const { return m_works; }

 private:
  double FirstTagOf(const WorkspaceName& workspace) const;
  void Charge(const QueuedWork& work);
  void Reorder();

  // Sorted by (timeliness, start_tag, due time) while contended, otherwise by
  // (timeliness, due time).
  std::vector<QueuedWork> m_works;
  // Start tag of the last work that started; never decreases except by `Reset`.
  double m_virtual_time = 0;
  bool m_is_contended = true;
  // Virtual time at which a workspace's next work may start. Entries at or
  // below m_virtual_time have no effect and are pruned occasionally.
  std::unordered_map<WorkspaceName, double> m_finish_tags;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_ADMISSION_ADMISSION_QUEUE_H_
