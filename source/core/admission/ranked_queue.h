// The works that wait for a slot, with ranks: each rank has an AdmissionQueue
// of its own, and ranks share the slots' time by weight while more than one
// waits (start-time fair queueing over the ranks).
//
// Load pattern: a service that others call is short of slots. Short requests
// that callers wait for with slots of their own, and long ones that nobody
// waits for, fill it together; in the order of objectives a short one that is
// late goes behind all long ones, and takes the work of its caller with it when
// it fails. The operator ranks the short ones first. Served by rank alone, a
// lower rank would get nothing while a higher one fills all slots; so each rank
// has twice the share of the next one.

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

// 0 is the most urgent.
using Rank = std::uint32_t;

class RankedQueue {
 public:
  // `cost`: how long the work is expected to hold a slot.
  void Push(Rank rank, QueuedWork work, Duration cost);

  // Removes and returns the first work, or the first that is no suspect; it is
  // charged to its rank and its workspace as started.
  std::optional<QueuedWork> PopFirst(bool may_be_suspect);

  // Whether a work was waiting here under that id.
  bool Remove(WorkId work);

  // See AdmissionQueue.
  template <typename ProspectOf>
  void NoteProspects(const ProspectOf& prospect) {
    bool is_changed = false;
    for (auto& [rank, waiting] : m_ranks)
      is_changed |= waiting.queue.NoteProspects(prospect);
    if (is_changed)
      Reorder();
  }

  // Removes and returns the work that would start last. There must be one.
  QueuedWork PopLast();

  // Forgets who had how much: nothing runs and nothing waits.
  void Reset();

  // First to start first.
  const std::vector<QueuedWork>& works() const { return m_works; }
  // Works of this rank and of more urgent ones: a new work of the rank starts
  // behind these at the most, but for the share of the others.
  std::size_t CountUpTo(Rank rank) const;

 private:
  // One rank's works, and what it has had.
  struct Waiting {
    AdmissionQueue queue;
    // Of what the rank started last, in seconds by weight.
    double finish_tag = 0;
  };

  struct TaggedWork {
    double tag = 0;
    Rank rank = 0;
    QueuedWork work;
  };

  double FirstTagOf(const Waiting& waiting) const;
  // Its share of the slots' time is one over this.
  static double ScaleOf(Rank rank);
  double CostOf(Rank rank, WorkId work) const;
  // The rank that holds the work; there must be one.
  Rank RankOf(WorkId work) const;
  void Reorder();

  std::map<Rank, Waiting> m_ranks;
  // Of works that wait.
  std::map<WorkId, std::pair<Rank, Duration>> m_costs;
  double m_virtual_time = 0;
  // All works in the order of their start.
  std::vector<QueuedWork> m_works;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_ADMISSION_RANKED_QUEUE_H_
