// Part of `admission_queue.h`.

#include "core/admission/admission_queue.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <tuple>
#include <utility>

namespace bulrushmount {

namespace {

// Number of finish tags from which those without effect are pruned.
constexpr std::size_t kPruneAt = 128;

// How many of its works a workspace may have started beyond its share while the
// queue was not contended; more are forgiven. Without a bound, a workspace that
// has used idle capacity for long would get nothing in the next contention.
constexpr double kMaxLead = 2;

// Sort key among works of the same timeliness: earliest due time first if the
// work is likely in time, newest first otherwise. Newest first also applies to
// late works, since the service time is an estimate and a work that is slightly
// late by it is often in time.
Duration OrderOf(const QueuedWork& work) {
  // A nested call's deadline is the time that its caller has left.
  const TimePoint objective =
      work.is_nested ? work.deadline : work.objective.value_or(work.deadline);
  switch (work.timeliness) {
    case Timeliness::kLikely:
      return objective.time_since_epoch();
    case Timeliness::kPossible:
    case Timeliness::kLate:
      return -objective.time_since_epoch();
  }
  return Duration::max();
}

// Compares the ids' values, since clang-tidy mistakes the comparison of strong
// types in a tuple for a null pointer comparison.
bool ByWorkspace(const QueuedWork& left, const QueuedWork& right) {
  return std::make_tuple(std::cref(left.workspace.value()), left.timeliness,
                         OrderOf(left), left.work.value()) <
         std::make_tuple(std::cref(right.workspace.value()), right.timeliness,
                         OrderOf(right), right.work.value());
}

bool ByDue(const QueuedWork& left, const QueuedWork& right) {
  return std::make_tuple(left.timeliness, OrderOf(left), left.work.value()) <
         std::make_tuple(right.timeliness, OrderOf(right), right.work.value());
}

bool ByStart(const QueuedWork& left, const QueuedWork& right) {
  return std::make_tuple(left.timeliness, left.start_tag, OrderOf(left),
                         left.work.value()) <
         std::make_tuple(right.timeliness, right.start_tag, OrderOf(right),
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

bool AdmissionQueue::SetContended(bool is_contended) {
  if (is_contended == m_is_contended)
    return false;
  m_is_contended = is_contended;
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
  const double cost = work.weight / work.share;
  double start_tag = work.start_tag;
  if (m_is_contended) {
    m_virtual_time = std::max(m_virtual_time, start_tag);
  } else {
    // The work may have gone before others with lower tags.
    double lowest = start_tag;
    for (const QueuedWork& waiting : m_works)
      lowest = std::min(lowest, waiting.start_tag);
    m_virtual_time = std::max(m_virtual_time, lowest);
    start_tag = std::min(start_tag, m_virtual_time + kMaxLead * cost);
  }
  m_finish_tags[work.workspace] = start_tag + cost;
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
  std::sort(m_works.begin(), m_works.end(), m_is_contended ? ByStart : ByDue);
}

double AdmissionQueue::FirstTagOf(const WorkspaceName& workspace) const {
  const auto found = m_finish_tags.find(workspace);
  if (found == m_finish_tags.end())
    return m_virtual_time;
  return std::max(m_virtual_time, found->second);
}

}  // namespace bulrushmount
