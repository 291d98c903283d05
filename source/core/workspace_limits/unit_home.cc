// Part of `unit_home.h`.

#include "core/workspace_limits/unit_home.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace bulrushmount::detail {

namespace {

// A bucket that was not used for this long is dropped. Later than any repeat of
// a datagram is expected, so that no request is counted twice.
constexpr Duration kUnusedTime = std::chrono::seconds(10);
constexpr Duration kSweepPeriod = std::chrono::seconds(1);

// Intervals of the first takeover requests and of further ones.
constexpr Duration kTakeoverInterval = std::chrono::milliseconds(20);
constexpr int kQuickTakeoverTries = 3;
constexpr Duration kLongTakeoverInterval = std::chrono::milliseconds(100);

// A deputy that has not answered for this long is unreachable. By then it would
// have been declared dead, unless this node is the one that is cut off: then
// the deputy may grant units as the home.
constexpr Duration kUnreachableTime = std::chrono::seconds(5);

// A node that has started or was paused takes over buckets only in this time.
// Afterwards the other members have long known that it is back, so that nobody
// else can have granted units of a bucket that this node does not hold.
constexpr Duration kTakeoverTime = std::chrono::seconds(30);

// A node that has started alone grants nothing for this long: at its start a
// node knows only itself, and as the home of every workspace it would admit
// their limits once more.
constexpr Duration kSettlingTime = std::chrono::seconds(1);

constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(2);

// Load pattern: a workspace sends nine times its limit through all entries, and
// the home would answer each call. Entries that were refused are made to wait
// until refusals are only this part of the grants; more would cost the home's
// machine tens of kilobytes per second.
constexpr double kRefusalsPerGrant = 0.25;
constexpr Duration kMaxEntryWait = std::chrono::seconds(1);

// Error of the age that an entry reports with returned units: the difference of
// the network delays of the request and the report. Together with a bucket that
// was full shortly after the grant, at most rate x this time is given back too
// much.
constexpr Duration kReturnTolerance = std::chrono::milliseconds(20);

// A request for more units at once than this is corrupt or hostile.
constexpr std::uint32_t kMaxUnits = 100'000;

// A level such as 0.9999999 after many additions counts as a whole unit.
constexpr double kRounding = 1e-6;

std::uint32_t WholeUnits(double units) {
  return units <= 0 ? 0 : static_cast<std::uint32_t>(units + kRounding);
}

double Whole(std::uint32_t units) {
  return static_cast<double>(units);
}

}  // namespace

void UnitHome::UseCounter::Add(TimePoint now,
                               Duration window,
                               double granted_units,
                               double refused_units) {
  const auto slot =
      now.time_since_epoch() / (window / static_cast<Duration::rep>(kSlots));
  if (slot - newest >= static_cast<std::int64_t>(kSlots)) {
    granted.fill(0);
    refused.fill(0);
    newest = slot;
  }
  for (; newest < slot; ++newest) {
    const auto next = static_cast<std::size_t>(newest + 1) % kSlots;
    granted[next] = 0;
    refused[next] = 0;
  }
  const auto index = static_cast<std::size_t>(newest) % kSlots;
  granted[index] += granted_units;
  refused[index] += refused_units;
}

UnitHome::UnitHome(const WorkspaceLimitsSettings& settings,
                   const WorkspaceRates& rates,
                   FleetView& view,
                   UnitHomeOutlet& outlet)
    : m_settings(settings), m_rates(rates), m_view(view), m_outlet(outlet) {}

void UnitHome::OnRequest(TimePoint now,
                         const Requester& requester,
                         const UnitRequest& request) {
  // Members know a node that has just started some hundred milliseconds before
  // it has a document. Until then it cannot tell an unlimited workspace from a
  // limited one, and the deputy answers.
  if (!m_rates.is_known())
    return;
  const ActiveRate* const named = m_rates.Find(request.workspace);
  if (!named) {
    // The entry has another version of the document, in which the workspace is
    // limited.
    UnitResponse response;
    response.workspace = request.workspace;
    response.number = request.number;
    response.granted = request.wanted;
    response.is_from_reserve = request.is_for_reserve;
    m_outlet.Respond(requester, response);
    return;
  }
  const HomeAndDeputy place = m_view.Find(request.workspace);
  if (place.home->id == m_view.self().id)
    OnHomeRequest(now, requester, request, named->rate, place);
  else if (request.is_for_reserve && place.deputy->id == m_view.self().id)
    OnReserveRequest(now, requester, request, named->rate);
  // Otherwise the entry has a different member list. It gets no answer until
  // the lists agree, and asks the deputy meanwhile.
}

void UnitHome::OnHomeRequest(TimePoint now,
                             const Requester& requester,
                             const UnitRequest& request,
                             const WorkspaceRate& rate,
                             const HomeAndDeputy& place) {
  Bucket& bucket = FindOrCreate(now, request.workspace, rate, place);
  if (!bucket.is_taking_over) {
    Grant(now, bucket, requester, request);
    return;
  }
  std::erase_if(bucket.waiting, [&](const WaitingRequest& waiting) {
    return waiting.requester.node == requester.node;
  });
  bucket.waiting.push_back({requester, request, now});
  ContinueTakeover(now, request.workspace, bucket);
}

UnitHome::Bucket& UnitHome::FindOrCreate(TimePoint now,
                                         WorkspaceKey workspace,
                                         const WorkspaceRate& rate,
                                         const HomeAndDeputy& place) {
  m_next_sweep = std::min(m_next_sweep, now + kSweepPeriod);
  const auto found = m_buckets.find(workspace);
  if (found != m_buckets.end()) {
    Bucket& bucket = found->second;
    bucket.used_at = now;
    if (std::exchange(bucket.is_stale, false)) {
      bucket.units.SetLevel(
          now, std::min(bucket.units.Level(now),
                        UnusedLevel(now, m_view.RankSince(workspace), rate)));
    }
    return bucket;
  }
  const double scale = m_view.Scale(now);
  Bucket bucket(TokenBucket(now, rate.units_per_second * scale,
                            HomeCapacity(m_settings, rate) * scale),
                now);
  bucket.rate = rate;
  bucket.scale = scale;
  Rescale(now, bucket, rate);
  m_handed_over.erase(workspace);
  const bool has_settled = now - m_view.authority_since() >= kTakeoverTime;
  if (has_settled) {
    bucket.units.SetLevel(now,
                          UnusedLevel(now, m_view.RankSince(workspace), rate));
  } else {
    bucket.units.SetLevel(now, 0);
    bucket.is_taking_over = true;
    bucket.answered_at = now;
    bucket.takeover_at = now;
    ++m_takeovers;
  }
  return m_buckets.emplace(workspace, std::move(bucket)).first->second;
}

double UnitHome::UnusedLevel(TimePoint now,
                             TimePoint since,
                             const WorkspaceRate& rate) {
  const double scale = m_view.Scale(now);
  const double filled =
      rate.units_per_second * scale * ToSeconds(std::max(now, since) - since);
  return std::min(HomeCapacity(m_settings, rate) * scale, filled);
}

void UnitHome::Grant(TimePoint now,
                     Bucket& bucket,
                     const Requester& requester,
                     const UnitRequest& request) {
  bucket.used_at = now;
  Answered& answered = bucket.answered[requester.node];
  if (request.number < answered.number)
    return;
  if (request.number == answered.number) {
    m_outlet.Respond(requester, answered.response);
    return;
  }
  if (request.owed > 0)
    bucket.units.TakeOwed(now, Whole(std::min(request.owed, kMaxUnits)));
  if (request.returned > 0) {
    bucket.units.GiveBack(now, now - request.returned_age + kReturnTolerance,
                          Whole(std::min(request.returned, kMaxUnits)));
  }
  const std::uint32_t wanted = std::min(request.wanted, kMaxUnits);
  UnitResponse response;
  response.workspace = request.workspace;
  response.number = request.number;
  response.is_from_reserve = request.is_for_reserve;
  const double level = bucket.units.Level(now);
  response.granted = std::min(wanted, WholeUnits(level));
  const std::uint32_t refused = wanted - response.granted;
  // Units granted ahead may expire unused, so only the upper half of the bucket
  // is spent on them.
  const double spare = level - Whole(response.granted) -
                       HomeCapacity(m_settings, bucket.rate) * bucket.scale / 2;
  response.granted +=
      std::min(std::min(request.ahead, kMaxUnits), WholeUnits(spare));
  bucket.units.TakeOwed(now, Whole(response.granted));

  const double rate =
      std::max(bucket.rate.units_per_second * bucket.scale, kRounding);
  const double served = rate * ToSeconds(now - bucket.backlog_at);
  bucket.backlog = std::max(0.0, bucket.backlog - served) + Whole(refused);
  bucket.pressure =
      std::max(0.0, bucket.pressure - kRefusalsPerGrant * served) +
      (refused > 0 ? 1 : 0);
  bucket.backlog_at = now;
  if (refused > 0) {
    const double missing = 1 - (level - Whole(response.granted));
    response.next_unit = FromSeconds(std::min(
        std::max(missing, bucket.pressure) / rate, ToSeconds(kMaxEntryWait)));
    response.retry_after = std::clamp(
        FromSeconds(std::min(bucket.backlog / rate, ToSeconds(kMaxRetryAfter))),
        kMinRetryAfter, kMaxRetryAfter);
  }
  bucket.use.Add(
      now, m_settings.window,
      Whole(response.granted) + Whole(request.owed) - Whole(request.returned),
      Whole(refused));
  answered = {request.number, response};
  m_outlet.Respond(requester, response);
}

void UnitHome::OnReserveRequest(TimePoint now,
                                const Requester& requester,
                                const UnitRequest& request,
                                const WorkspaceRate& rate) {
  m_next_sweep = std::min(m_next_sweep, now + kSweepPeriod);
  const double scale = m_view.Scale(now);
  const double refill = ReserveRate(m_settings, rate) * scale;
  const double capacity = ReserveCapacity(m_settings, rate) * scale;
  auto found = m_reserves.find(request.workspace);
  if (found == m_reserves.end()) {
    TokenBucket units(now, refill, capacity);
    const TimePoint since = m_view.RankSince(request.workspace);
    units.SetLevel(now, refill * ToSeconds(now - since));
    found =
        m_reserves.emplace(request.workspace, Reserve{units, now, {}}).first;
  }
  Reserve& reserve = found->second;
  reserve.used_at = now;
  reserve.units.Reconfigure(now, refill, capacity);
  Answered& answered = reserve.answered[requester.node];
  if (request.number < answered.number)
    return;
  if (request.number > answered.number) {
    UnitResponse response;
    response.workspace = request.workspace;
    response.number = request.number;
    response.is_from_reserve = true;
    const double level = reserve.units.Level(now);
    const std::uint32_t wanted = std::min(request.wanted, kMaxUnits);
    response.granted = std::min(wanted, WholeUnits(level));
    reserve.units.TakeOwed(now, Whole(response.granted));
    if (response.granted < wanted) {
      response.next_unit = kMinRetryAfter;
      response.retry_after = kMaxRetryAfter / 4;
    }
    answered = {request.number, response};
  }
  m_outlet.Respond(requester, answered.response);
}

void UnitHome::OnTakeoverRequest(TimePoint now,
                                 const Requester& requester,
                                 const TakeoverRequest& request) {
  TakeoverResponse response;
  response.workspace = request.workspace;
  response.number = request.number;
  const HomeAndDeputy place = m_view.Find(request.workspace);
  const ActiveRate* const named = m_rates.Find(request.workspace);
  response.is_handed_over = named && place.home->id == requester.node;
  if (response.is_handed_over) {
    m_next_sweep = std::min(m_next_sweep, now + kSweepPeriod);
    const auto bucket = m_buckets.find(request.workspace);
    const auto earlier = m_handed_over.find(request.workspace);
    if (bucket != m_buckets.end() && !bucket->second.is_taking_over) {
      response.level = std::max(0.0, bucket->second.units.Level(now));
    } else if (earlier != m_handed_over.end() &&
               earlier->second.home == requester.node) {
      response.level = earlier->second.level;
    } else if (bucket == m_buckets.end() && place.deputy &&
               place.deputy->id == m_view.self().id) {
      response.level =
          UnusedLevel(now, m_view.RankSince(request.workspace), named->rate);
    }
    if (bucket != m_buckets.end()) {
      if (bucket->second.is_taking_over)
        --m_takeovers;
      m_buckets.erase(bucket);
    }
    m_handed_over.insert_or_assign(
        request.workspace, HandedOver{requester.node, response.level, now});
    response.scale = m_view.Scale(now);
    response.known_members =
        static_cast<std::uint32_t>(m_view.KnownMembers(now));
  }
  m_outlet.Respond(requester, response);
}

void UnitHome::OnTakeoverResponse(TimePoint now,
                                  const TakeoverResponse& response) {
  const auto found = m_buckets.find(response.workspace);
  if (found == m_buckets.end() || !found->second.is_taking_over ||
      found->second.takeover_number != response.number)
    return;
  Bucket& bucket = found->second;
  if (!response.is_handed_over) {
    // A deputy that considers itself the home keeps the bucket until it learns
    // that this node is back.
    bucket.answered_at = now;
    bucket.takeover_at = now + kLongTakeoverInterval;
    return;
  }
  m_view.AdoptScale(now, response.scale, response.known_members);
  RescaleAll(now);
  const double level = bucket.has_own_level
                           ? std::min(bucket.units.Level(now), response.level)
                           : response.level;
  EndTakeover(now, bucket, level);
}

void UnitHome::ContinueTakeover(TimePoint now,
                                WorkspaceKey workspace,
                                Bucket& bucket) {
  if (now < bucket.takeover_at)
    return;
  const HomeAndDeputy place = m_view.Find(workspace);
  if (place.home->id != m_view.self().id) {
    // The next takeover starts when this node is the home again.
    bucket.answered_at = now;
    bucket.takeover_at = now + kLongTakeoverInterval;
    m_next_takeover_step = std::min(m_next_takeover_step, bucket.takeover_at);
    return;
  }
  const TimePoint settled = m_view.authority_since() + kSettlingTime;
  if (place.deputy && now < bucket.answered_at + kUnreachableTime) {
    bucket.takeover_at =
        now + (bucket.tries++ < kQuickTakeoverTries ? kTakeoverInterval
                                                    : kLongTakeoverInterval);
    bucket.takeover_number = UnitRequestNumber(m_next_takeover++);
    m_outlet.AskTakeover(*place.deputy, {workspace, bucket.takeover_number});
  } else if (now < settled || m_view.IsAwaitingPeers(now)) {
    bucket.answered_at = now;
    bucket.takeover_at = std::max(settled, now + kLongTakeoverInterval);
  } else {
    const TimePoint since = std::max(settled, m_view.RankSince(workspace));
    EndTakeover(now, bucket,
                place.deputy ? 0 : UnusedLevel(now, since, bucket.rate));
    return;
  }
  m_next_takeover_step = std::min(m_next_takeover_step, bucket.takeover_at);
}

void UnitHome::EndTakeover(TimePoint now, Bucket& bucket, double level) {
  bucket.is_taking_over = false;
  bucket.has_own_level = false;
  --m_takeovers;
  bucket.units.SetLevel(now, level);
  const std::vector<WaitingRequest> waiting = std::move(bucket.waiting);
  bucket.waiting.clear();
  for (const WaitingRequest& one : waiting) {
    if (now - one.at <= kMaxUnitWait)
      Grant(now, bucket, one.requester, one.request);
  }
}

void UnitHome::OnAuthorityLost(TimePoint now) {
  m_reserves.clear();
  m_handed_over.clear();
  m_takeovers = m_buckets.size();
  m_next_takeover_step = m_takeovers > 0 ? now : TimePoint::max();
  for (auto& [workspace, bucket] : m_buckets) {
    bucket.has_own_level = !bucket.is_taking_over || bucket.has_own_level;
    bucket.is_taking_over = true;
    bucket.tries = 0;
    bucket.answered_at = now;
    bucket.takeover_at = now;
    bucket.waiting.clear();
  }
}

void UnitHome::OnMembersChanged(TimePoint now) {
  RescaleAll(now);
  for (auto& [workspace, bucket] : m_buckets) {
    if (m_view.Find(workspace).home->id != m_view.self().id)
      bucket.is_stale = true;
  }
  std::erase_if(m_reserves, [&](const auto& item) {
    const Peer* const deputy = m_view.Find(item.first).deputy;
    return !deputy || deputy->id != m_view.self().id;
  });
}

void UnitHome::OnRatesChanged(TimePoint now) {
  EraseBuckets([&](WorkspaceKey workspace, Bucket& bucket) {
    const ActiveRate* const named = m_rates.Find(workspace);
    if (named)
      Rescale(now, bucket, named->rate);
    return named == nullptr;
  });
}

void UnitHome::EraseBuckets(
    const std::function<bool(WorkspaceKey, Bucket&)>& is_erased) {
  for (auto item = m_buckets.begin(); item != m_buckets.end();) {
    if (!is_erased(item->first, item->second)) {
      ++item;
      continue;
    }
    if (item->second.is_taking_over)
      --m_takeovers;
    item = m_buckets.erase(item);
  }
}

void UnitHome::RescaleAll(TimePoint now) {
  for (auto& [workspace, bucket] : m_buckets)
    Rescale(now, bucket, bucket.rate);
}

void UnitHome::Rescale(TimePoint now,
                       Bucket& bucket,
                       const WorkspaceRate& rate) {
  bucket.rate = rate;
  bucket.scale = m_view.Scale(now);
  // A capacity of less than one unit would admit no call at all.
  bucket.units.Reconfigure(
      now, rate.units_per_second * bucket.scale,
      std::max(1.0, HomeCapacity(m_settings, rate) * bucket.scale));
}

void UnitHome::OnTimer(TimePoint now) {
  if (m_takeovers > 0 && now >= m_next_takeover_step) {
    m_next_takeover_step = TimePoint::max();
    for (auto& [workspace, bucket] : m_buckets) {
      if (bucket.is_taking_over) {
        m_next_takeover_step =
            std::min(m_next_takeover_step, std::max(bucket.takeover_at, now));
        ContinueTakeover(now, workspace, bucket);
      }
    }
  }
  if (now >= m_next_sweep)
    DropUnused(now);
}

void UnitHome::DropUnused(TimePoint now) {
  RescaleAll(now);
  EraseBuckets([&](WorkspaceKey workspace, Bucket& bucket) {
    // A new bucket would be full.
    const bool is_full =
        bucket.is_stale ||
        bucket.units.Level(now) >=
            HomeCapacity(m_settings, bucket.rate) * bucket.scale - kRounding;
    return is_full && now - bucket.used_at >= kUnusedTime;
  });
  std::erase_if(m_reserves, [&](const auto& item) {
    return now - item.second.used_at >=
           std::max(kUnusedTime, m_settings.window);
  });
  std::erase_if(m_handed_over, [&](const auto& item) {
    return now - item.second.at >= kUnusedTime;
  });
  const bool is_empty =
      m_buckets.empty() && m_reserves.empty() && m_handed_over.empty();
  m_next_sweep = is_empty ? TimePoint::max() : now + kSweepPeriod;
}

TimePoint UnitHome::NextWakeup() const {
  return m_takeovers > 0 ? std::min(m_next_sweep, m_next_takeover_step)
                         : m_next_sweep;
}

std::vector<WorkspaceUse> UnitHome::Uses(TimePoint now) const {
  std::vector<WorkspaceUse> uses;
  for (const auto& [workspace, bucket] : m_buckets) {
    const ActiveRate* const named = m_rates.Find(workspace);
    if (!named || m_view.Find(workspace).home->id != m_view.self().id)
      continue;
    // Copied: their state is brought up to date.
    UseCounter counter = bucket.use;
    counter.Add(now, m_settings.window, 0, 0);
    TokenBucket units = bucket.units;
    WorkspaceUse use;
    use.workspace = named->workspace;
    use.limit = named->limit;
    use.scale = bucket.scale;
    for (const double granted : counter.granted)
      use.granted += static_cast<std::uint64_t>(std::max(0.0, granted));
    for (const double refused : counter.refused)
      use.refused += static_cast<std::uint64_t>(refused);
    use.level = units.Level(now);
    uses.push_back(std::move(use));
  }
  return uses;
}

}  // namespace bulrushmount::detail
