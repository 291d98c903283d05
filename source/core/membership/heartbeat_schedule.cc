// Part of `heartbeat_schedule.h`.

#include "core/membership/heartbeat_schedule.h"

#include <utility>

namespace bulrushmount {

HeartbeatSchedule::HeartbeatSchedule(NodeId self,
                                     Region region,
                                     std::size_t far_interval)
    : m_self(self), m_region(std::move(region)), m_far_interval(far_interval) {}

const Member* HeartbeatSchedule::Next(const MemberTable& table,
                                      RandomSource& random) {
  ++m_count;
  const bool is_far_turn = m_count % m_far_interval == 0;
  Round& first = is_far_turn ? m_far : m_near;
  Round& second = is_far_turn ? m_near : m_far;
  const Member* next = NextOf(first, !is_far_turn, table, random);
  return next != nullptr ? next : NextOf(second, is_far_turn, table, random);
}

void HeartbeatSchedule::Add(const Member& member, RandomSource& random) {
  Round& round = member.region == m_region ? m_near : m_far;
  round.ids.push_back(member.id);
  const std::size_t place =
      round.next + random.Index(round.ids.size() - round.next);
  std::swap(round.ids[place], round.ids.back());
}

const Member* HeartbeatSchedule::NextOf(Round& round,
                                        bool is_near,
                                        const MemberTable& table,
                                        RandomSource& random) {
  // The second attempt runs over a fresh round; if that is empty, there is no
  // such member.
  for (int attempt = 0; attempt < 2; ++attempt) {
    while (round.next < round.ids.size()) {
      const Member* member = table.Find(round.ids[round.next++]);
      if (member != nullptr && IsLive(member->state)) {
        return member;
      }
    }
    Refill(round, is_near, table, random);
  }
  return nullptr;
}

void HeartbeatSchedule::Refill(Round& round,
                               bool is_near,
                               const MemberTable& table,
                               RandomSource& random) {
  round.ids.clear();
  round.next = 0;
  for (const Member* member : table.Live()) {
    if (member->id != m_self && (member->region == m_region) == is_near) {
      round.ids.push_back(member->id);
    }
  }
  for (std::size_t i = round.ids.size(); i > 1; --i) {
    std::swap(round.ids[i - 1], round.ids[random.Index(i)]);
  }
}

}  // namespace bulrushmount
