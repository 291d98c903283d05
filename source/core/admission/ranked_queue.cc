// Part of `ranked_queue.h`.

#include "core/admission/ranked_queue.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bulrushmount {

namespace {

// Ratio of a rank's share to that of the next one. With 2, the third rank keeps
// a seventh of the time under any load, so that no request kind starves.
constexpr double kShareRatio = 2.0;
// Less urgent ranks have the share of this one.
constexpr Rank kLeastShareFrom = 8;

}  // namespace

void RankedQueue::Push(Rank rank, QueuedWork work, Duration cost) {
  const WorkClass work_class{rank, work.is_nested};
  m_costs[work.work] = {work_class, cost};
  m_classes[work_class].queue.Push(std::move(work));
  Reorder();
}

std::optional<QueuedWork> RankedQueue::PopFirst(bool may_be_suspect) {
  const auto first = std::find_if(m_works.begin(), m_works.end(),
                                  [may_be_suspect](const QueuedWork& work) {
                                    return may_be_suspect || !work.is_suspect;
                                  });
  if (first == m_works.end())
    return std::nullopt;
  const WorkClass work_class = ClassOf(first->work);
  ClassQueue& waiting = m_classes.at(work_class);
  const double tag = FirstTagOf(waiting);
  std::optional<QueuedWork> work = waiting.queue.PopFirst(may_be_suspect);
  m_virtual_time = std::max(m_virtual_time, tag);
  waiting.finish_tag = tag + CostOf(work_class, work->work);
  m_costs.erase(work->work);
  Reorder();
  return work;
}

bool RankedQueue::Remove(WorkId work) {
  const auto found = m_costs.find(work);
  if (found == m_costs.end())
    return false;
  m_classes.at(found->second.first).queue.Remove(work);
  m_costs.erase(found);
  Reorder();
  return true;
}

QueuedWork RankedQueue::PopLast() {
  QueuedWork work = m_works.back();
  Remove(work.work);
  return work;
}

void RankedQueue::Reset() {
  m_classes.clear();
  m_costs.clear();
  m_works.clear();
  m_virtual_time = 0;
}

std::size_t RankedQueue::CountUpTo(const WorkClass& work_class) const {
  std::size_t count = 0;
  for (const auto& [other, waiting] : m_classes) {
    if (!(work_class < other))
      count += waiting.queue.works().size();
  }
  return count;
}

double RankedQueue::FirstTagOf(const ClassQueue& waiting) const {
  return std::max(m_virtual_time, waiting.finish_tag);
}

double RankedQueue::CostFactorOf(const WorkClass& work_class) {
  const double factor =
      std::pow(kShareRatio, std::min(work_class.rank, kLeastShareFrom));
  return work_class.is_nested ? factor / kShareRatio : factor;
}

double RankedQueue::CostOf(const WorkClass& work_class, WorkId work) const {
  return ToSeconds(m_costs.at(work).second) * CostFactorOf(work_class);
}

WorkClass RankedQueue::ClassOf(WorkId work) const {
  return m_costs.at(work).first;
}

void RankedQueue::Reorder() {
  m_works.clear();
  if (m_classes.size() == 1) {
    m_works = m_classes.begin()->second.queue.works();
    return;
  }
  std::vector<TaggedWork> tagged;
  for (const auto& [work_class, waiting] : m_classes) {
    double tag = FirstTagOf(waiting);
    for (const QueuedWork& work : waiting.queue.works()) {
      tagged.push_back({tag, work_class, work});
      tag += CostOf(work_class, work.work);
    }
  }
  // Within a class this keeps the order of its queue, since tags increase.
  std::stable_sort(tagged.begin(), tagged.end(),
                   [](const TaggedWork& one, const TaggedWork& other) {
                     return std::pair(one.tag, one.work_class) <
                            std::pair(other.tag, other.work_class);
                   });
  for (TaggedWork& entry : tagged)
    m_works.push_back(std::move(entry.work));
}

}  // namespace bulrushmount
