// Queue of works that wait for a slot, with ranks (priorities): each rank has
// its own AdmissionQueue, and while several ranks have waiting works they share
// the slots' time by weight (start-time fair queueing over the ranks).
//
// Load pattern: a service that is called by other services is short of slots.
// Short requests, for which callers wait with slots of their own, compete with
// long ones that nobody waits for. Ordered by objective alone, a short request
// that is late goes behind all long ones, and its caller's request fails with
// it. So operators assign the short ones a more urgent rank. With strict
// priority a lower rank would get nothing while a higher one fills all slots;
// so each rank has twice the share of the next one.

#ifndef BULRUSHMOUNT_CORE_ADMISSION_RANKED_QUEUE_H_
#define BULRUSHMOUNT_CORE_ADMISSION_RANKED_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/admission/admission_queue.h"
#include "core/common/ids.h"
#include "core/common/time.h"

namespace bulrushmount {

// Priority of a request; 0 is the most urgent.
using Rank = std::uint32_t;

class RankedQueue {
 public:
  // `cost`: expected time for which the work holds a slot.
  void Push(Rank rank, QueuedWork work, Duration cost);

  // Removes and returns the first work, or the first that is not a suspect if
  // `may_be_suspect` is false, and charges its cost to its rank and its
  // workspace.
  std::optional<QueuedWork> PopFirst(bool may_be_suspect);

  // Returns whether a work with that id was waiting.
  bool Remove(WorkId work);

  // See AdmissionQueue.
  template <typename TimelinessOf>
  void UpdateTimeliness(const TimelinessOf& timeliness) {
    bool is_changed = false;
    for (auto& [rank, waiting] : m_ranks)
      is_changed |= waiting.queue.UpdateTimeliness(timeliness);
    if (is_changed)
      Reorder();
  }

  // Removes and returns the work that would start last. There must be one.
  QueuedWork PopLast();

  // Clears the queue and the shares that ranks and workspaces have used. Call
  // it when nothing runs and nothing waits.
  void Reset();

  // In the order in which they start.
  const std::vector<QueuedWork>& works() const { return m_works; }
  // Number of works of this rank and of more urgent ones. A new work of the
  // rank starts after at most these, and after the works that less urgent ranks
  // start with their share.
  std::size_t CountUpTo(Rank rank) const;

 private:
  // Works of one rank, and the share that it has used.
  struct RankQueue {
    AdmissionQueue queue;
    // Virtual finish time of the work that the rank started last, in weighted
    // seconds.
    double finish_tag = 0;
  };

  struct TaggedWork {
    double tag = 0;
    Rank rank = 0;
    QueuedWork work;
  };

  double FirstTagOf(const RankQueue& waiting) const;
  // Weight of a rank's costs; its share of the slots' time is the inverse.
  static double CostFactorOf(Rank rank);
  double CostOf(Rank rank, WorkId work) const;
  // Rank of a waiting work; there must be one.
  Rank RankOf(WorkId work) const;
  void Reorder();

  std::map<Rank, RankQueue> m_ranks;
  // Rank and expected cost of each waiting work.
  std::map<WorkId, std::pair<Rank, Duration>> m_costs;
  double m_virtual_time = 0;
  // All works in the order in which they start.
  std::vector<QueuedWork> m_works;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_ADMISSION_RANKED_QUEUE_H_
