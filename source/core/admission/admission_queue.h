// The works that wait for a slot, in the order in which they are to start:
// workspaces share the slots by weight (start-time fair queueing), and within a
// workspace the earliest objective or deadline goes first.
//
// Load pattern: for some seconds more arrives than can be done in time. In the
// order of deadlines everything is then answered just too late. So what cannot
// be in time any more waits until nothing else does: the others stay in time.
//
// Between the two is what can be in time but likely is not. It goes behind what
// likely is, and the newest of it first, which has the best chance. Were it
// taken for late, then at targets that are slow for some seconds, as all are
// after a restart, nothing new would go before what is late for good.

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

// Whether an answer can still be in time, if the work started now.
enum class Prospect : std::uint8_t { kLikely, kPossible, kLate };

struct QueuedWork {
  WorkId work;
  WorkspaceName workspace;
  KindName kind;
  double weight = 1.0;
  // Above 0.
  double share = 1.0;
  // When the first byte of the answer must come.
  TimePoint deadline;
  // Waits no longer than this, whatever the deadline.
  TimePoint max_wait_ends;
  // Refused from then on; empty if it may wait as long as others.
  std::optional<TimePoint> hold_ends{};
  // An answer after this is worth little; empty if none is better than another.
  std::optional<TimePoint> objective{};
  // Of being answered by its objective; set by the queue.
  Prospect prospect = Prospect::kLikely;
  bool is_suspect = false;
  // Set by the queue.
  double start_tag = 0;
};

// Short: every change costs time in proportion to its length.
class AdmissionQueue {
 public:
  void Push(QueuedWork work);

  // Removes and returns the first work, or the first that is no suspect; the
  // work is charged to its workspace as started.
  std::optional<QueuedWork> PopFirst(bool may_be_suspect);

  // Whether a work was waiting here under that id.
  bool Remove(WorkId work);

  // Notes what prospect each work has now, by `prospect(work)`. Whether the
  // order may be another since.
  template <typename ProspectOf>
  bool NoteProspects(const ProspectOf& prospect) {
    bool is_changed = false;
    for (QueuedWork& work : m_works) {
      const Prospect now = prospect(work);
      is_changed |= now != work.prospect;
      work.prospect = now;
    }
    if (is_changed)
      Reorder();
    return is_changed;
  }

  // Removes and returns the work that would start last. There must be one.
  QueuedWork PopLast();

  // Forgets who had how much: nothing runs and nothing waits.
  void Reset();

  // First to start first.
  const std::vector<QueuedWork>& works() const { return m_works; }

 private:
  double FirstTagOf(const WorkspaceName& workspace) const;
  void Charge(const QueuedWork& work);
  void Reorder();

  // Sorted by (prospect, start_tag, when it is due).
  std::vector<QueuedWork> m_works;
  // The start tag of the last work that started; never falls but by `Reset`.
  double m_virtual_time = 0;
  // Where a workspace's next work may start. Entries at or below
  // m_virtual_time say nothing and are dropped now and then.
  std::unordered_map<WorkspaceName, double> m_finish_tags;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_ADMISSION_ADMISSION_QUEUE_H_
