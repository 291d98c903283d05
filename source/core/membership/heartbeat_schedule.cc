// Part of `heartbeat_schedule.h`.

#include "core/membership/heartbeat_schedule.h"

#include <utility>

namespace bulrushmount {

HeartbeatSchedule::HeartbeatSchedule(NodeId self,
                                     Region region,
                                     std::size_t far_interval)
    : m_self(self), m_region(std::move(region)), m_far_interval(far_interval) {}

void HeartbeatSchedule::SetZones(IsOtherZone is_other_zone) {
  m_is_other_zone = std::move(is_other_zone);
  // Both rounds get other members than before.
  m_rounds[static_cast<std::size_t>(Distance::kNear)] = {};
  m_rounds[static_cast<std::size_t>(Distance::kOtherZone)] = {};
}

const Member* HeartbeatSchedule::Next(const MemberTable& table,
                                      RandomSource& random) {
  ++m_count;
  const bool is_far_turn = m_count % m_far_interval == 0;
  const Distance first = is_far_turn ? Distance::kFar : Distance::kNear;
  const Distance second = is_far_turn ? Distance::kNear : Distance::kFar;
  const Member* next = NextOf(first, table, random);
  return next != nullptr ? next : NextOf(second, table, random);
}

const Member* HeartbeatSchedule::NextInOtherZones(const MemberTable& table,
                                                  RandomSource& random) {
  return NextOf(Distance::kOtherZone, table, random);
}

void HeartbeatSchedule::Add(const Member& member, RandomSource& random) {
  Round& round = m_rounds[static_cast<std::size_t>(DistanceOf(member))];
  round.ids.push_back(member.id);
  const std::size_t place =
      round.next + random.Index(round.ids.size() - round.next);
  std::swap(round.ids[place], round.ids.back());
}

HeartbeatSchedule::Distance HeartbeatSchedule::DistanceOf(
    const Member& member) const {
  if (member.region != m_region)
    return Distance::kFar;
  return m_is_other_zone && m_is_other_zone(member) ? Distance::kOtherZone
                                                    : Distance::kNear;
}

const Member* HeartbeatSchedule::NextOf(Distance distance,
                                        const MemberTable& table,
                                        RandomSource& random) {
  Round& round = m_rounds[static_cast<std::size_t>(distance)];
  // The second attempt runs over a fresh round; if that is empty, there is no
  // such member.
  for (int attempt = 0; attempt < 2; ++attempt) {
    while (round.next < round.ids.size()) {
      const Member* member = table.Find(round.ids[round.next++]);
      if (member != nullptr && IsLive(member->state)) {
        return member;
      }
    }
    Refill(distance, table, random);
  }
  return nullptr;
}

void HeartbeatSchedule::Refill(Distance distance,
                               const MemberTable& table,
                               RandomSource& random) {
  Round& round = m_rounds[static_cast<std::size_t>(distance)];
  round.ids.clear();
  round.next = 0;
  for (const Member* member : table.Live()) {
    if (member->id != m_self && DistanceOf(*member) == distance) {
      round.ids.push_back(member->id);
    }
  }
  for (std::size_t i = round.ids.size(); i > 1; --i) {
    std::swap(round.ids[i - 1], round.ids[random.Index(i)]);
  }
}

}  // namespace bulrushmount
