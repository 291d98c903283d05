// Queue of works that wait for a slot, with ranks (priorities) and precedence
// for nested calls: each class of works has its own AdmissionQueue, and while
// several classes have waiting works they share the slots' time by weight
// (start-time fair queueing over the classes).
//
// Load pattern: a service that is called by other services is short of slots.
// Short requests, for which callers wait with slots of their own, compete with
// long ones that nobody waits for. Ordered by objective alone, a short request
// that is late goes behind all long ones, and its caller's request fails with
// it. So operators assign the short ones a more urgent rank. With strict
// priority a lower rank would get nothing while a higher one fills all slots;
// so each rank has twice the share of the next one.
//
// Load pattern: a burst of long requests meets nested calls on the same
// targets. A request that makes nested calls holds a slot elsewhere and fails
// if one of them does, so each nested call that is displaced wastes more than
// its own time. Nested calls of a rank therefore form a class with the share of
// the next more urgent rank that goes first among equal tags: it precedes new
// works of the same and of less urgent ranks, and cannot starve them.

#ifndef BULRUSHMOUNT_CORE_ADMISSION_RANKED_QUEUE_H_
#define BULRUSHMOUNT_CORE_ADMISSION_RANKED_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "core/admission/admission_queue.h"
#include "core/common/ids.h"
#include "core/common/time.h"

namespace bulrushmount {

// Priority of a request; 0 is the most urgent.
using Rank = std::uint32_t;

// Works that share the slots with other classes as one.
struct WorkClass {
  Rank rank = 0;
  bool is_nested = false;

  // Most urgent first.
  friend bool operator<(const WorkClass& left, const WorkClass& right) {
    return std::pair(left.rank, !left.is_nested) <
           std::pair(right.rank, !right.is_nested);
  }
};

class RankedQueue {
 public:
  // `cost`: expected time for which the work holds a slot.
  void Push(Rank rank, QueuedWork work, Duration cost);

  // Removes and returns the first work, or the first that is not a suspect if
  // `may_be_suspect` is false, and charges its cost to its class and
  // its workspace.
  std::optional<QueuedWork> PopFirst(bool may_be_suspect);

  // Returns whether a work with that id was waiting.
  bool Remove(WorkId work);

  // See AdmissionQueue.
  template <typename TimelinessOf>
  void UpdateTimeliness(const TimelinessOf& timeliness) {
    bool is_changed = false;
    for (auto& [work_class, waiting] : m_classes)
      is_changed |= waiting.queue.UpdateTimeliness(timeliness);
    if (is_changed)
      Reorder();
  }

  void SetContended(bool is_contended) {
    bool is_changed = false;
    for (auto& [work_class, waiting] : m_classes)
      is_changed |= waiting.queue.SetContended(is_contended);
    if (is_changed)
      Reorder();
  }

  // Removes and returns the work that would start last. There must be one.
  QueuedWork PopLast();

  // Clears the queue and the shares that classes and workspaces have used. Call
  // it when nothing runs and nothing waits.
  void Reset();

  // In the order in which they start.
  const std::vector<QueuedWork>& works() const { return m_works; }
  // Number of works of this class and of more urgent ones. A new work of the
  // class starts after at most these, and after the works that less urgent
  // classes start with their share.
  std::size_t CountUpTo(const WorkClass& work_class) const;

 private:
  // Works of one class, and the share that it has used.
  struct ClassQueue {
    AdmissionQueue queue;
    // Virtual finish time of the work that the class started last, in weighted
    // seconds.
    double finish_tag = 0;
  };

  struct TaggedWork {
    double tag = 0;
    WorkClass work_class;
    QueuedWork work;
  };

  double FirstTagOf(const ClassQueue& waiting) const;
  // Weight of a class's costs; its share of the slots' time is the inverse.
  static double CostFactorOf(const WorkClass& work_class);
  double CostOf(const WorkClass& work_class, WorkId work) const;
  // Class of a waiting work; there must be one.
  WorkClass ClassOf(WorkId work) const;
  void Reorder();

  std::map<WorkClass, ClassQueue> m_classes;
  // Class and expected cost of each waiting work.
  std::map<WorkId, std::pair<WorkClass, Duration>> m_costs;
  double m_virtual_time = 0;
  // All works in the order in which they start.
  std::vector<QueuedWork> m_works;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_ADMISSION_RANKED_QUEUE_H_
