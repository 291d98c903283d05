// Part of `admission_queue.h`.

#include "core/admission/admission_queue.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <tuple>
#include <utility>

namespace bulrushmount {

namespace {

// Beyond this many workspaces, those who have no more than others are dropped.
constexpr std::size_t kPruneAt = 128;

// The place of the work among those of its prospect: what is due first, and of
// those that likely are late the newest. That also holds for what is late: how
// long a work takes is an estimate, and a little late by it is often in time.
Duration OrderOf(const QueuedWork& work) {
  const TimePoint objective = work.objective.value_or(work.deadline);
  switch (work.prospect) {
    case Prospect::kLikely:
      return objective.time_since_epoch();
    case Prospect::kPossible:
    case Prospect::kLate:
      return -objective.time_since_epoch();
  }
  return Duration::max();
}

// By the ids' values: clang-tidy takes the comparison of the strong types in a
// tuple for a null pointer's.
bool ByWorkspace(const QueuedWork& left, const QueuedWork& right) {
  return std::make_tuple(std::cref(left.workspace.value()), left.prospect,
                         OrderOf(left), left.work.value()) <
         std::make_tuple(std::cref(right.workspace.value()), right.prospect,
                         OrderOf(right), right.work.value());
}

bool ByStart(const QueuedWork& left, const QueuedWork& right) {
  return std::make_tuple(left.prospect, left.start_tag, OrderOf(left),
                         left.work.value()) <
         std::make_tuple(right.prospect, right.start_tag, OrderOf(right),
                         right.work.value());
}

}  // namespace

void AdmissionQueue::Push(QueuedWork work) {
  m_works.push_back(std::move(work));
  Reorder();
}

std::optional<QueuedWork> AdmissionQueue::PopFirst(bool may_be_suspect) {
  const auto first = std::find_if(m_works.begin(), m_works.end(),
                                  [may_be_suspect](const QueuedWork& work) {
                                    return may_be_suspect || !work.is_suspect;
                                  });
  if (first == m_works.end())
    return std::nullopt;
  QueuedWork work = std::move(*first);
  m_works.erase(first);
  Charge(work);
  Reorder();
  return work;
}

bool AdmissionQueue::Remove(WorkId work) {
  const auto removed = std::erase_if(m_works, [work](const QueuedWork& queued) {
    return queued.work == work;
  });
  if (removed == 0)
    return false;
  Reorder();
  return true;
}

QueuedWork AdmissionQueue::PopLast() {
  QueuedWork work = std::move(m_works.back());
  m_works.pop_back();
  return work;
}

void AdmissionQueue::Reset() {
  m_works.clear();
  m_finish_tags.clear();
  m_virtual_time = 0;
}

void AdmissionQueue::Charge(const QueuedWork& work) {
  m_virtual_time = std::max(m_virtual_time, work.start_tag);
  m_finish_tags[work.workspace] = work.start_tag + work.weight / work.share;
  if (m_finish_tags.size() < kPruneAt)
    return;
  std::erase_if(m_finish_tags, [this](const auto& entry) {
    return entry.second <= m_virtual_time;
  });
}

void AdmissionQueue::Reorder() {
  std::sort(m_works.begin(), m_works.end(), ByWorkspace);
  const QueuedWork* before = nullptr;
  for (QueuedWork& work : m_works) {
    if (before && before->workspace == work.workspace)
      work.start_tag = before->start_tag + before->weight / before->share;
    else
      work.start_tag = FirstTagOf(work.workspace);
    before = &work;
  }
  std::sort(m_works.begin(), m_works.end(), ByStart);
}

double AdmissionQueue::FirstTagOf(const WorkspaceName& workspace) const {
  const auto found = m_finish_tags.find(workspace);
  if (found == m_finish_tags.end())
    return m_virtual_time;
  return std::max(m_virtual_time, found->second);
}

}  // namespace bulrushmount
