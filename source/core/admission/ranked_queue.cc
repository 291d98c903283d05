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
  m_costs[work.work] = {rank, cost};
  m_ranks[rank].queue.Push(std::move(work));
  Reorder();
}

std::optional<QueuedWork> RankedQueue::PopFirst(bool may_be_suspect) {
  const auto first = std::find_if(m_works.begin(), m_works.end(),
                                  [may_be_suspect](const QueuedWork& work) {
                                    return may_be_suspect || !work.is_suspect;
                                  });
  if (first == m_works.end())
    return std::nullopt;
  const Rank rank = RankOf(first->work);
  RankQueue& waiting = m_ranks.at(rank);
  const double tag = FirstTagOf(waiting);
  std::optional<QueuedWork> work = waiting.queue.PopFirst(may_be_suspect);
  m_virtual_time = std::max(m_virtual_time, tag);
  waiting.finish_tag = tag + CostOf(rank, work->work);
  m_costs.erase(work->work);
  Reorder();
  return work;
}

bool RankedQueue::Remove(WorkId work) {
  const auto found = m_costs.find(work);
  if (found == m_costs.end())
    return false;
  m_ranks.at(found->second.first).queue.Remove(work);
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
  m_ranks.clear();
  m_costs.clear();
  m_works.clear();
  m_virtual_time = 0;
}

std::size_t RankedQueue::CountUpTo(Rank rank) const {
  std::size_t count = 0;
  for (const auto& [other, waiting] : m_ranks) {
    if (other <= rank)
      count += waiting.queue.works().size();
  }
  return count;
}

double RankedQueue::FirstTagOf(const RankQueue& waiting) const {
  return std::max(m_virtual_time, waiting.finish_tag);
}

double RankedQueue::CostFactorOf(Rank rank) {
  return std::pow(kShareRatio, std::min(rank, kLeastShareFrom));
}

double RankedQueue::CostOf(Rank rank, WorkId work) const {
  return ToSeconds(m_costs.at(work).second) * CostFactorOf(rank);
}

Rank RankedQueue::RankOf(WorkId work) const {
  return m_costs.at(work).first;
}

void RankedQueue::Reorder() {
  m_works.clear();
  if (m_ranks.size() == 1) {
    m_works = m_ranks.begin()->second.queue.works();
    return;
  }
  std::vector<TaggedWork> tagged;
  for (const auto& [rank, waiting] : m_ranks) {
    double tag = FirstTagOf(waiting);
    for (const QueuedWork& work : waiting.queue.works()) {
      tagged.push_back({tag, rank, work});
      tag += CostOf(rank, work.work);
    }
  }
  // Within a rank this keeps the order of its queue, since tags increase.
  std::stable_sort(tagged.begin(), tagged.end(),
                   [](const TaggedWork& one, const TaggedWork& other) {
                     return std::pair(one.tag, one.rank) <
                            std::pair(other.tag, other.rank);
                   });
  for (TaggedWork& entry : tagged)
    m_works.push_back(std::move(entry.work));
}

}  // namespace bulrushmount
