// Queue of the news to piggyback on the next datagrams. The least transmitted
// news goes first, and each item is sent a limited number of times, which grows
// with the logarithm of the fleet.

#ifndef BULRUSHMOUNT_CORE_MEMBERSHIP_NEWS_QUEUE_H_
#define BULRUSHMOUNT_CORE_MEMBERSHIP_NEWS_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <variant>

#include "core/common/ids.h"
#include "core/membership/broadcast_store.h"

namespace bulrushmount {

class NewsQueue {
 public:
  // A member, whose current state is sent, or a broadcast item.
  using Subject = std::variant<NodeId, BroadcastHash>;
  enum class WriteResult : std::uint8_t { kSent, kNoRoom, kObsolete };

  // Beyond this size the most transmitted news is dropped: after a change of
  // the whole fleet table comparison is cheaper than piggybacked news.
  static constexpr std::size_t kMaxItems = 128;

  // Replaces queued news of the same subject and resets its transmission count.
  void Push(const Subject& subject);

  // Calls `write` for the queued subjects in order, until several of them did
  // not fit. Subjects that have been sent `limit` times leave the queue.
  void Offer(std::size_t limit,
             const std::function<WriteResult(const Subject&)>& write);

  bool empty() const { return m_order.empty(); }
  std::size_t size() const { return m_order.size(); }

 private:
  struct Item {
    std::size_t transmissions = 0;
    // Among items sent equally often the newest goes first.
    std::uint64_t age_rank = 0;
    Subject subject;

    // clang-tidy 14 takes the defaulted comparison with 0 for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const Item&, const Item&) = default;
  };

  // Invariant: m_order and m_by_subject hold the same items.
  std::set<Item> m_order;
  std::map<Subject, Item> m_by_subject;
  std::uint64_t m_next_rank = ~std::uint64_t{0};
};

// How often each member transmits a piece of news in a fleet of `members`.
std::size_t TransmissionLimit(std::size_t members);

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_MEMBERSHIP_NEWS_QUEUE_H_
