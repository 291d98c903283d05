// Part of `news_queue.h`.

#include "core/membership/news_queue.h"

#include <algorithm>
#include <bit>
#include <iterator>
#include <vector>

namespace bulrushmount {

namespace {

// Enough for news to reach every member although some datagrams are lost; table
// comparison repairs the rest.
constexpr std::size_t kTransmissionFactor = 2;

// A short item may still fit where a long one did not.
constexpr int kMaxUnfitItems = 4;

// With more queued items than this, each is transmitted less often.
constexpr std::size_t kCrowdedQueueSize = 48;
constexpr std::size_t kCrowdedDivisor = 4;

}  // namespace

std::size_t TransmissionLimit(std::size_t members) {
  return kTransmissionFactor *
         static_cast<std::size_t>(std::bit_width(members));
}

void NewsQueue::Push(const Subject& subject) {
  const auto found = m_by_subject.find(subject);
  if (found != m_by_subject.end()) {
    m_order.erase(found->second);
    m_by_subject.erase(found);
  }
  const Item item{0, m_next_rank--, subject};
  m_order.insert(item);
  m_by_subject.emplace(subject, item);
  if (m_order.size() > kMaxItems) {
    const auto last = std::prev(m_order.end());
    m_by_subject.erase(last->subject);
    m_order.erase(last);
  }
}

void NewsQueue::Offer(std::size_t limit,
                      const std::function<WriteResult(const Subject&)>& write) {
  if (m_order.size() > kCrowdedQueueSize) {
    // Otherwise the newest news would displace all other items before they have
    // been sent once.
    limit = std::max<std::size_t>(limit / kCrowdedDivisor, 1);
  }
  std::vector<Item> sent;
  std::vector<Item> obsolete;
  int unfit_items = 0;
  for (const Item& item : m_order) {
    const WriteResult result = write(item.subject);
    if (result == WriteResult::kSent) {
      sent.push_back(item);
    } else if (result == WriteResult::kObsolete) {
      obsolete.push_back(item);
    } else if (++unfit_items == kMaxUnfitItems) {
      break;
    }
  }
  for (const Item& item : obsolete) {
    m_order.erase(item);
    m_by_subject.erase(item.subject);
  }
  for (Item item : sent) {
    m_order.erase(item);
    m_by_subject.erase(item.subject);
    if (++item.transmissions < limit) {
      m_order.insert(item);
      m_by_subject.emplace(item.subject, item);
    }
  }
}

}  // namespace bulrushmount
