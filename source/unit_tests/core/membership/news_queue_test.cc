// Tests of `news_queue.h`, `broadcast_store.h` and `heartbeat_schedule.h`.

#include "core/membership/news_queue.h"

#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "core/membership/broadcast_store.h"
#include "core/membership/heartbeat_schedule.h"

namespace bulrushmount {
namespace {

using WriteResult = NewsQueue::WriteResult;

TEST(NewsQueueTest, SendsLeastTransmittedFirstUpToTheLimit) {
  NewsQueue queue;
  queue.Push(NodeId(1));
  std::vector<NodeId> order;
  const auto write_one = [&](const NewsQueue::Subject& subject) {
    order.push_back(std::get<NodeId>(subject));
    return WriteResult::kSent;
  };
  queue.Offer(3, write_one);
  queue.Push(NodeId(2));
  queue.Offer(3, write_one);
  queue.Offer(3, write_one);
  queue.Offer(3, write_one);
  queue.Offer(3, write_one);
  const std::vector<NodeId> expected{NodeId(1), NodeId(2), NodeId(1),
                                     NodeId(2), NodeId(1), NodeId(2)};
  EXPECT_EQ(order, expected);
  EXPECT_TRUE(queue.empty());
}

TEST(NewsQueueTest, KeepsItemsThatDidNotFitAndDropsObsoleteOnes) {
  NewsQueue queue;
  queue.Push(NodeId(1));
  queue.Push(NodeId(2));
  queue.Offer(3, [](const NewsQueue::Subject& subject) {
    return std::get<NodeId>(subject) == NodeId(1) ? WriteResult::kNoRoom
                                                  : WriteResult::kObsolete;
  });
  EXPECT_EQ(queue.size(), 1U);
}

TEST(BroadcastStoreTest, AcceptsAnItemOnceUntilItExpires) {
  BroadcastStore store;
  const TimePoint start;
  const BroadcastItem item{BroadcastKind(1), "key", "payload",
                           std::chrono::seconds(10)};
  BroadcastHash hash;
  EXPECT_TRUE(store.Add(start, item, hash));
  EXPECT_FALSE(store.Add(start, item, hash));
  const TimePoint later = start + std::chrono::seconds(4);
  EXPECT_EQ(store.Remaining(later, hash), std::chrono::seconds(6));
  store.Expire(start + std::chrono::seconds(10));
  EXPECT_EQ(store.Find(hash), nullptr);
}

TEST(BroadcastStoreTest, RefusesOversizedAndExpiredItemsAndStaysBounded) {
  BroadcastStore store;
  BroadcastHash hash;
  const auto second = std::chrono::seconds(1);
  EXPECT_FALSE(store.Add(TimePoint(),
                         {BroadcastKind(1), "k", std::string(256, 'x'), second},
                         hash));
  EXPECT_FALSE(store.Add(TimePoint(),
                         {BroadcastKind(1), "k", "v", Duration::zero()}, hash));
  for (int i = 0; i < 1000; ++i) {
    store.Add(TimePoint(),
              {BroadcastKind(1), std::to_string(i), "v", second + Duration(i)},
              hash);
  }
  EXPECT_EQ(store.Hashes().size(), BroadcastStore::kMaxItems);
  EXPECT_NE(store.Find(hash), nullptr);
}

TEST(HeartbeatScheduleTest, VisitsEveryMemberWithABoundedFarShare) {
  MemberTable table;
  SeededRandomSource random(3);
  for (std::uint64_t id = 1; id <= 12; ++id) {
    Member member;
    member.id = NodeId(id);
    member.region = Region(id <= 9 ? "near" : "far");
    table.Apply(TimePoint(), member);
  }
  HeartbeatSchedule schedule(NodeId(1), Region("near"), 5);
  std::map<NodeId, int> beats;
  for (int i = 0; i < 150; ++i) {
    ++beats[schedule.Next(table, random)->id];
  }
  EXPECT_EQ(beats.size(), 11U);
  EXPECT_FALSE(beats.contains(NodeId(1)));
  for (const auto& [id, count] : beats) {
    EXPECT_EQ(count, id.value() <= 9 ? 15 : 10);
  }
}

TEST(HeartbeatScheduleTest, FindsNoMemberWhenIsolated) {
  MemberTable table;
  SeededRandomSource random(3);
  HeartbeatSchedule schedule(NodeId(1), Region("near"), 5);
  EXPECT_EQ(schedule.Next(table, random), nullptr);
}

}  // namespace
}  // namespace bulrushmount
