// Part of `config_sync.h`.

#include "core/contracts/config_sync.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <map>
#include <utility>
#include <vector>

#include "core/common/logging.h"

namespace bulrushmount {

namespace {

// Consecutive failed table reads double the delay up to this power of two.
constexpr std::uint32_t kMaxBackoffPower = 4;
constexpr Duration kMinTableRetryDelay = std::chrono::seconds(1);
// Limit for a table that is watched: a change must be known two seconds after
// the table is available again.
constexpr Duration kMaxWatchRetryDelay = std::chrono::seconds(2);

// With a maximum age of confirmation: its part that passes between two pulses
// of a node, and the difference of two nodes' ages from which the younger one
// is sent back.
constexpr double kPulsePart = 1.0 / 16;
constexpr double kAnswerPart = 1.0 / 20;
// Pulses of the last five seconds if the maximum age is five seconds.
constexpr std::size_t kMaxTokens = 16;
// A node whose confirmation is older than this part of the maximum reads the
// table itself. This occurs while no watchers are selected yet, and where
// datagrams are lost.
constexpr double kOwnReadPart = 0.75;

// Orders the nodes of a zone differently for each revision.
std::uint64_t FetchRank(NodeId node, Revision revision) {
  // The finalizer of SplitMix64.
  std::uint64_t bits = node.value() + revision.value() * 0x9e3779b97f4a7c15;
  bits = (bits ^ (bits >> 30)) * 0xbf58476d1ce4e5b9;
  bits = (bits ^ (bits >> 27)) * 0x94d049bb133111eb;
  return bits ^ (bits >> 31);
}

Duration Scale(Duration duration, double factor) {
  return FromSeconds(ToSeconds(duration) * factor);
}

}  // namespace

ConfigSync::ConfigSync(const ConfigSyncSettings& settings,
                       ContractStore& store,
                       EvacuationTable& evacuations,
                       std::unique_ptr<ConfigReader> reader,
                       DatagramPort& port,
                       RandomSource& random,
                       TimePoint now)
    : m_settings(settings),
      m_store(store),
      m_evacuations(evacuations),
      m_port(port),
      m_random(random),
      m_reader(std::move(reader)),
      m_uploader(store, port) {
  // A wide window, because the member count is not known yet.
  m_next_poll = m_reader->can_watch()
                    ? now + m_settings.check_delay
                    : now + m_settings.startup_window +
                          RandomUpTo(m_settings.startup_window * 2);
  m_next_pulse = now + RandomUpTo(m_settings.pulse_period);
  // A new node has no configuration: it reads the table unless a peer provides
  // the configuration earlier.
  m_table_at =
      now + (m_reader->can_watch() ? m_settings.initial_table_delay
                                   : RandomUpTo(m_settings.startup_window));
  ScheduleTableRead(now);
}

void ConfigSync::SetWatchDuty(TimePoint now, bool is_on_duty) {
  if (!m_reader->can_watch() || m_is_on_duty == is_on_duty)
    return;
  m_is_on_duty = is_on_duty;
  LogLine(LogLevel::kInfo, "config.watch_duty")
      .Add("on", is_on_duty)
      .Add("members", m_member_count)
      .Add("revision", m_store.revision());
  ResumeWatching(now);
}

void ConfigSync::OnPeersExpected(TimePoint now, bool are_likely) {
  if (!m_reader->can_watch() || m_store.is_known() || m_table_failures > 0)
    return;
  m_table_at =
      now + RandomUpTo(are_likely ? m_settings.read_window_with_peers
                                  : m_settings.read_window_without_peers);
  if (m_fetch_state == FetchState::kTableDelay)
    ScheduleTableRead(now);
}

void ConfigSync::SetMemberCount(TimePoint now, std::size_t count) {
  m_member_count = std::max<std::size_t>(count, 1);
  // Reschedules the poll when the member count changed a lot. After a partition
  // the few remaining nodes must not use the long interval of a large fleet,
  // and a large fleet must not poll as often as the few nodes known before.
  const Duration interval = PollInterval();
  const bool has_grown =
      m_reader->can_watch() && interval > m_poll_interval * 2;
  const bool is_scheduled = m_poll_interval > Duration::zero();
  if (is_scheduled && (has_grown || interval * 2 < m_poll_interval))
    SchedulePoll(now);
}

void ConfigSync::OnPeerRevision(TimePoint now,
                                NodeId node,
                                const AvailabilityZone& zone,
                                const Endpoint& endpoint,
                                Revision revision) {
  const bool is_far = !m_settings.zone.value().empty() &&
                      !zone.value().empty() && zone != m_settings.zone;
  Peer& peer = m_peers[endpoint];
  m_far_peers -= peer.is_far ? 1 : 0;
  m_far_peers += is_far ? 1 : 0;
  peer = Peer{node, revision, is_far, zone};
  OnRevisionReported(now, endpoint, revision);
}

void ConfigSync::OnPeerRemoved(const Endpoint& endpoint) {
  const auto peer = m_peers.find(endpoint);
  if (peer == m_peers.end())
    return;
  m_far_peers -= peer->second.is_far ? 1 : 0;
  m_peers.erase(peer);
}

void ConfigSync::OnLocalCommit(TimePoint now, const ConfigChange& change) {
  const Revision before(change.revision.value() - 1);
  if (m_store.revision() == before)
    return Apply(now, ConfigBatch{before, change.revision, {change}},
                 std::nullopt);
  if (change.revision.value() <= m_store.revision().value())
    return;
  // Other changes were committed in between; this node may be the only one that
  // knows of this one.
  if (change.revision.value() > m_target.value())
    m_target = change.revision;
  if (m_fetch_state == FetchState::kTableReading)
    return;
  m_table_at = now;
  ScheduleTableRead(now);
}

void ConfigSync::OnDatagram(TimePoint now,
                            const Endpoint& from,
                            std::string_view payload) {
  const std::optional<ConfigDatagram> datagram = DecodeDatagram(payload);
  if (!datagram.has_value())
    return;
  if (const auto* const request = std::get_if<BatchRequest>(&*datagram)) {
    m_uploader.OnRequest(now, from, *request);
    // A new node routes no calls before it knows the evacuations as well.
    if (request->since == Revision(0))
      SendAnswer(now, from, /*answered_token=*/0);
  } else if (const auto* const chunk = std::get_if<BatchChunk>(&*datagram))
    OnChunk(now, from, *chunk);
  else if (const auto* const pulse = std::get_if<RevisionPulse>(&*datagram))
    OnPulse(now, from, *pulse);
}

void ConfigSync::OnTimer(TimePoint now) {
  if (now >= m_next_pulse) {
    m_next_pulse = now + Jittered(PulsePeriod(now));
    SendPulses(now, 1);
  }
  if (m_pushes_left > 0 && now >= m_next_push)
    RepeatPush(now);
  if (m_fetch_state != FetchState::kIdle && now >= m_fetch_at)
    AdvanceFetch(now);
  ResumeWatching(now);
  if (now >= NextConfirmingRead()) {
    // A table that does not respond is asked once per maximum age.
    m_next_confirming_read = now + Jittered(*m_settings.max_confirmation_age);
    ReadTable(now);
  }
  if (now >= m_next_poll) {
    const bool is_first_schedule =
        m_reader->can_watch() && m_poll_interval == Duration::zero();
    SchedulePoll(now);
    if (!is_first_schedule && (!m_is_on_duty || m_do_watchers_check))
      ReadTable(now);
  }
}

TimePoint ConfigSync::NextWakeup() const {
  TimePoint next = std::min({m_next_poll, m_next_pulse, NextConfirmingRead()});
  if (m_pushes_left > 0)
    next = std::min(next, m_next_push);
  if (m_fetch_state != FetchState::kIdle &&
      m_fetch_state != FetchState::kTableReading)
    next = std::min(next, m_fetch_at);
  return next;
}

std::optional<Duration> ConfigSync::AgeOfConfirmation(TimePoint now) const {
  if (!m_confirmed_at.has_value())
    return std::nullopt;
  return now - *m_confirmed_at;
}

TimePoint ConfigSync::NextConfirmingRead() const {
  if (!m_settings.max_confirmation_age || !m_confirmed_at)
    return TimePoint::max();
  return std::max(
      m_next_confirming_read,
      *m_confirmed_at + Scale(*m_settings.max_confirmation_age, kOwnReadPart));
}

Duration ConfigSync::PollInterval() const {
  const double fleet_rate = m_reader->can_watch()
                                ? m_settings.fleet_checks_per_second
                                : m_settings.fleet_polls_per_second;
  return FromSeconds(static_cast<double>(m_member_count) / fleet_rate);
}

void ConfigSync::SchedulePoll(TimePoint now) {
  m_poll_interval = PollInterval();
  m_next_poll = now + Exponential(m_poll_interval);
}

Duration ConfigSync::Jittered(Duration mean) {
  return Scale(mean, 0.5 + m_random.Fraction());
}

Duration ConfigSync::Exponential(Duration mean) {
  return Scale(mean, -std::log1p(-m_random.Fraction()));
}

Duration ConfigSync::RandomUpTo(Duration bound) {
  return Scale(bound, m_random.Fraction());
}

// --- Exchange with peers ----------------------------------------------------

void ConfigSync::OnRevisionReported(TimePoint now,
                                    const Endpoint& from,
                                    Revision revision) {
  if (revision.value() <= m_store.revision().value())
    return;
  if (revision.value() > m_target.value())
    m_target = revision;
  const bool waits_for_far_source = m_fetch_state == FetchState::kPeerDelay &&
                                    m_source && IsFar(*m_source) &&
                                    !IsFar(from);
  if (waits_for_far_source) {
    m_source = from;
    m_fetch_at =
        std::min(m_fetch_at, now + RandomUpTo(m_settings.first_request_jitter));
    return;
  }
  const bool may_ask = m_fetch_state == FetchState::kIdle ||
                       m_fetch_state == FetchState::kTableDelay;
  if (!may_ask)
    return;
  // While a table read is pending, each further peer that reports the revision
  // gets one request.
  m_peer_attempts =
      m_fetch_state == FetchState::kIdle ? 0 : m_settings.peer_attempts - 1;
  m_source = from;
  m_fetch_state = FetchState::kPeerDelay;
  m_fetch_at = now + DelayOfFirstRequest(from, revision);
}

Duration ConfigSync::DelayOfFirstRequest(const Endpoint& from,
                                         Revision revision) {
  const Duration jitter = RandomUpTo(m_settings.first_request_jitter);
  if (!DistinguishesZones() || !IsFar(from))
    return jitter;
  if (IsFetcher(revision))
    return m_settings.fetcher_wait + jitter;
  return m_settings.far_wait + RandomUpTo(m_settings.far_wait);
}

void ConfigSync::OnPulse(TimePoint now,
                         const Endpoint& from,
                         const RevisionPulse& pulse) {
  const auto peer = m_peers.find(from);
  if (peer != m_peers.end())
    peer->second.revision = pulse.revision;
  MergePeerEvacuations(now, from, pulse);
  if (pulse.revision.value() > m_store.revision().value())
    return OnRevisionReported(now, from, pulse.revision);
  if (pulse.revision.value() < m_store.revision().value() ||
      LacksConfirmation(now, pulse))
    SendAnswer(now, from, pulse.token);
  TakeConfirmation(now, pulse);
}

Duration ConfigSync::PulsePeriod(TimePoint now) const {
  const Duration period = now < m_fast_pulses_until
                              ? m_settings.fast_pulse_period
                              : m_settings.pulse_period;
  return m_settings.max_confirmation_age
             ? std::min(period,
                        Scale(*m_settings.max_confirmation_age, kPulsePart))
             : period;
}

bool ConfigSync::LacksConfirmation(TimePoint now,
                                   const RevisionPulse& pulse) const {
  if (!m_settings.max_confirmation_age || pulse.is_answer || !m_confirmed_at)
    return false;
  return !pulse.confirmed_age ||
         *pulse.confirmed_age - (now - *m_confirmed_at) >
             Scale(*m_settings.max_confirmation_age, kAnswerPart);
}

// The peer's confirmation also covers the configuration in force here, which is
// not older than the peer's.
//
// The peer stated the age before this datagram was sent, which may be long ago:
// a process that was frozen handles the datagrams of that time when it resumes.
// Where the age matters, it counts from the pulse that the peer has answered.
void ConfigSync::TakeConfirmation(TimePoint now, const RevisionPulse& pulse) {
  if (!pulse.confirmed_age)
    return;
  TimePoint stated_after = now;
  if (m_settings.max_confirmation_age) {
    const auto sent = std::find_if(m_tokens.begin(), m_tokens.end(),
                                   [&pulse](const SentToken& one) {
                                     return one.token == pulse.answered_token;
                                   });
    if (sent == m_tokens.end())
      return;
    stated_after = sent->at;
  }
  const TimePoint confirmed_at = stated_after - *pulse.confirmed_age;
  m_confirmed_at =
      std::max(m_confirmed_at.value_or(confirmed_at), confirmed_at);
}

RevisionPulse ConfigSync::MakePulse(TimePoint now) const {
  RevisionPulse pulse{m_store.revision(), AgeOfConfirmation(now)};
  if (m_evacuations.is_known())
    pulse.evacuations = m_evacuations.Report();
  return pulse;
}

void ConfigSync::SendPulse(TimePoint now, const Endpoint& to) {
  RevisionPulse pulse = MakePulse(now);
  if (m_settings.max_confirmation_age)
    pulse.token = NewToken(now);
  m_port.Send(to, DatagramKind::kConfig, EncodeDatagram(pulse));
}

void ConfigSync::SendAnswer(TimePoint now,
                            const Endpoint& to,
                            std::uint64_t answered_token) {
  RevisionPulse pulse = MakePulse(now);
  pulse.is_answer = true;
  pulse.answered_token = answered_token;
  m_port.Send(to, DatagramKind::kConfig, EncodeDatagram(pulse));
}

std::uint64_t ConfigSync::NewToken(TimePoint now) {
  if (m_tokens.size() == kMaxTokens)
    m_tokens.pop_front();
  // 0 means that there is no token.
  m_tokens.push_back({std::max<std::uint64_t>(m_random.NextBits(), 1), now});
  return m_tokens.back().token;
}

void ConfigSync::ApplyEvacuationRead(TimePoint now,
                                     const EvacuationRead& read) {
  if (m_evacuations.OnRead(now, read))
    AnnounceEvacuations(now);
}

void ConfigSync::MergePeerEvacuations(TimePoint now,
                                      const Endpoint& from,
                                      const RevisionPulse& pulse) {
  if (pulse.evacuations && m_evacuations.OnPeerReport(now, *pulse.evacuations))
    AnnounceEvacuations(now);
  const bool lacks_any =
      !pulse.evacuations || m_evacuations.IsNewerThan(*pulse.evacuations);
  if (m_evacuations.is_known() && lacks_any && !pulse.is_answer)
    SendAnswer(now, from, pulse.token);
}

void ConfigSync::AnnounceEvacuations(TimePoint now) {
  m_fast_pulses_until = now + m_settings.fast_pulse_duration;
  m_next_pulse = std::min(m_next_pulse, now + m_settings.fast_pulse_period);
  SendPulses(now, m_settings.push_fanout);
}

void ConfigSync::SendPulses(TimePoint now, std::uint32_t count) {
  if (m_peers.empty())
    return;
  for (std::uint32_t i = 0; i < count; ++i) {
    const bool is_far = DistinguishesZones() &&
                        m_random.Fraction() < m_settings.far_pulse_fraction;
    if (const std::optional<Endpoint> peer = RandomPeer(is_far))
      SendPulse(now, *peer);
  }
}

std::optional<Endpoint> ConfigSync::RandomPeer(bool is_far) {
  if (!DistinguishesZones()) {
    const auto index =
        static_cast<std::ptrdiff_t>(m_random.Index(m_peers.size()));
    return std::next(m_peers.begin(), index)->first;
  }
  std::size_t index =
      m_random.Index(is_far ? m_far_peers : m_peers.size() - m_far_peers);
  for (const auto& [endpoint, peer] : m_peers) {
    if (peer.is_far == is_far && index-- == 0)
      return endpoint;
  }
  return std::nullopt;
}

// Tells the fetchers of each zone that this node has a new revision, including
// those of its own zone, which then need not ask another.
void ConfigSync::NotifyFetchers(TimePoint now) {
  using Ranked = std::pair<std::uint64_t, Endpoint>;
  std::map<AvailabilityZone, std::vector<Ranked>> zones;
  for (const auto& [endpoint, peer] : m_peers) {
    zones[peer.zone].emplace_back(FetchRank(peer.node, m_store.revision()),
                                  endpoint);
  }
  for (auto& [zone, ranked] : zones) {
    std::sort(ranked.begin(), ranked.end(),
              [](const Ranked& left, const Ranked& right) {
                return left.first < right.first;
              });
    const std::size_t count =
        std::min(m_settings.fetchers_per_zone, ranked.size());
    for (std::size_t i = 0; i < count; ++i)
      SendPulse(now, ranked[i].second);
  }
}

void ConfigSync::RepeatPush(TimePoint now) {
  --m_pushes_left;
  m_next_push = now + Jittered(m_settings.push_interval);
  if (std::exchange(m_notifies_fetchers, false))
    NotifyFetchers(now);
  std::vector<Endpoint> behind;
  for (const auto& [endpoint, peer] : m_peers) {
    if (!peer.is_far && peer.revision.value() < m_store.revision().value())
      behind.push_back(endpoint);
  }
  for (std::uint32_t i = 0;
       i < m_settings.repeated_push_fanout && !behind.empty(); ++i) {
    SendPulse(now, behind[m_random.Index(behind.size())]);
  }
}

bool ConfigSync::DistinguishesZones() const {
  return m_far_peers > 0 && m_far_peers < m_peers.size();
}

bool ConfigSync::IsFar(const Endpoint& endpoint) const {
  const auto peer = m_peers.find(endpoint);
  return peer != m_peers.end() && peer->second.is_far;
}

bool ConfigSync::IsFetcher(Revision revision) const {
  const std::uint64_t own = FetchRank(m_settings.self, revision);
  std::size_t before = 0;
  for (const auto& [endpoint, peer] : m_peers) {
    if (!peer.is_far && FetchRank(peer.node, revision) < own)
      ++before;
  }
  return before < m_settings.fetchers_per_zone;
}

// --- Fetching ---------------------------------------------------------------

void ConfigSync::AdvanceFetch(TimePoint now) {
  switch (m_fetch_state) {
    case FetchState::kIdle:
    case FetchState::kTableReading:
      return;
    case FetchState::kPeerDelay:
      return RequestFromPeer(now);
    case FetchState::kPeerAsked:
      return OnPeerFailed(now);
    case FetchState::kTableDelay:
      return ReadTable(now);
  }
}

void ConfigSync::RequestFromPeer(TimePoint now) {
  const std::optional<Endpoint> source = PickSource();
  if (!source.has_value())
    return ScheduleTableRead(now);
  m_asked_peer = *source;
  m_fetch_state = FetchState::kPeerAsked;
  m_download.emplace(m_store.revision());
  SendRequest(now);
}

void ConfigSync::SendRequest(TimePoint now) {
  m_fetch_at = now + Jittered(m_settings.peer_timeout);
  m_port.Send(m_asked_peer, DatagramKind::kConfig,
              EncodeDatagram(m_download->MakeRequest()));
}

std::optional<Endpoint> ConfigSync::PickSource() {
  std::optional<Endpoint> source = std::exchange(m_source, std::nullopt);
  if (!DistinguishesZones())
    return source ? source : PickNewerPeer(/*accepts_far=*/true);
  if (source && !IsFar(*source))
    return source;
  if (std::optional<Endpoint> near = PickNewerPeer(/*accepts_far=*/false))
    return near;
  return source ? source : PickNewerPeer(/*accepts_far=*/true);
}

std::optional<Endpoint> ConfigSync::PickNewerPeer(bool accepts_far) {
  // Reservoir sampling: one pass in which each candidate has the same
  // probability.
  std::optional<Endpoint> picked;
  std::size_t candidates = 0;
  for (const auto& [endpoint, peer] : m_peers) {
    if (peer.revision.value() <= m_store.revision().value() ||
        (peer.is_far && !accepts_far))
      continue;
    if (m_random.Index(++candidates) == 0)
      picked = endpoint;
  }
  return picked;
}

void ConfigSync::OnPeerFailed(TimePoint now) {
  ++m_peer_attempts;
  if (m_peer_attempts >= m_settings.peer_attempts) {
    m_download.reset();
    return ScheduleTableRead(now);
  }
  // Chunks already received are kept when the same peer is asked again, so a
  // large batch completes although some of its datagrams are lost.
  const std::optional<Endpoint> source = PickSource();
  if (!source.has_value() || *source == m_asked_peer)
    return SendRequest(now);
  m_asked_peer = *source;
  m_download.emplace(m_store.revision());
  SendRequest(now);
}

void ConfigSync::OnChunk(TimePoint now,
                         const Endpoint& from,
                         const BatchChunk& chunk) {
  if (m_fetch_state != FetchState::kPeerAsked || from != m_asked_peer)
    return;
  switch (m_download->OnChunk(chunk)) {
    case ChunkResult::kIgnored:
      return;
    case ChunkResult::kAccepted:
      m_fetch_at =
          now + Jittered(DistinguishesZones() ? m_settings.chunk_timeout
                                              : m_settings.peer_timeout);
      return;
    case ChunkResult::kWindowComplete:
      return SendRequest(now);
    case ChunkResult::kTooLarge:
      m_download.reset();
      return ScheduleTableRead(now);
    case ChunkResult::kComplete:
      break;
  }
  const std::optional<ConfigBatch> batch = m_download->Decode();
  if (!batch.has_value()) {
    m_download.emplace(m_store.revision());
    return OnPeerFailed(now);
  }
  m_download.reset();
  Apply(now, *batch, from);
  if (m_fetch_state != FetchState::kPeerAsked)
    return;
  // The peer did not have the newest revision itself.
  m_fetch_state = FetchState::kPeerDelay;
  m_fetch_at = now + RandomUpTo(m_settings.first_request_jitter);
}

void ConfigSync::ScheduleTableRead(TimePoint now) {
  // Spreads the reads of all nodes over a window, so that the fleet stays below
  // the rate even if no peer can serve any node.
  if (!m_table_at.has_value()) {
    const Duration window = FromSeconds(static_cast<double>(m_member_count) /
                                        m_settings.fleet_fetches_per_second);
    const double backoff = 1U << std::min(m_table_failures, kMaxBackoffPower);
    const Duration floor =
        m_table_failures > 0 ? kMinTableRetryDelay : Duration(0);
    m_table_at =
        m_reader->can_watch() && m_table_failures > 0
            ? now + kMinTableRetryDelay +
                  RandomUpTo(kMaxWatchRetryDelay - kMinTableRetryDelay)
            : now + RandomUpTo(Scale(std::max(window, floor), backoff));
  }
  m_download.reset();
  m_fetch_state = FetchState::kTableDelay;
  m_fetch_at = *m_table_at;
}

void ConfigSync::ReadTable(TimePoint now) {
  if (m_fetch_state == FetchState::kTableDelay)
    m_fetch_state = FetchState::kTableReading;
  // A poll in progress also serves the fetch.
  if (m_reader->is_reading())
    return;
  m_read_started = now;
  m_reader->Read(m_store.revision(),
                 [this](TimePoint at, const ConfigReadResult& result) {
                   OnTableRead(at, result);
                 });
}

void ConfigSync::OnTableRead(TimePoint now, const ConfigReadResult& result) {
  RecordTableState(now, result.is_ok);
  const bool was_fetch = m_fetch_state == FetchState::kTableReading;
  if (!result.is_ok) {
    if (!was_fetch)
      return;
    // The fetch is complete if peers have delivered the configuration in the
    // meantime. A watcher still reads the table again, but after a delay, so
    // that a table that rejects requests is not flooded.
    const bool is_current =
        m_store.is_known() && m_store.revision().value() >= m_target.value();
    if (is_current && !m_is_on_duty)
      return FinishFetch();
    ++m_table_failures;
    m_table_at.reset();
    // Peers may have become reachable in the meantime.
    m_peer_attempts = 0;
    ScheduleTableRead(now);
    if (PickSource().has_value()) {
      m_fetch_state = FetchState::kPeerDelay;
      m_fetch_at = now + Jittered(m_settings.peer_timeout);
    }
    return;
  }
  m_confirmed_at =
      std::max(m_confirmed_at.value_or(m_read_started), m_read_started);
  if (result.evacuations)
    ApplyEvacuationRead(now, *result.evacuations);
  if (result.batch.has_value())
    Apply(now, *result.batch, std::nullopt);
  else if (m_store.revision() == Revision(0) && !result.is_unwritten)
    m_store.SetKnownEmpty();
  if (was_fetch)
    FinishFetch();
  StartWatch(now);
}

// Logs one line when the table becomes unavailable and one when it is back.
void ConfigSync::RecordTableState(TimePoint now, bool is_available) {
  if (is_available == m_is_table_available)
    return;
  m_is_table_available = is_available;
  LogLine line(is_available ? LogLevel::kInfo : LogLevel::kWarning,
               is_available ? "dependency.regained" : "dependency.lost");
  line.Add("dependency", "table").Add("revision", m_store.revision());
  if (const std::optional<Duration> age = AgeOfConfirmation(now))
    line.Add("confirmed_ms_ago", ToMilliseconds(*age));
}

void ConfigSync::StartWatch(TimePoint now) {
  if (!m_is_on_duty || m_is_watching)
    return;
  m_is_watching = true;
  m_watch_started = now;
  m_reader->Watch(m_store.revision(),
                  [this](TimePoint at, const ConfigReadResult& result) {
                    OnWatched(at, result);
                  });
}

void ConfigSync::OnWatched(TimePoint now, const ConfigReadResult& result) {
  m_is_watching = false;
  RecordTableState(now, result.is_ok);
  if (result.is_ok) {
    // The response may have been on its way for as long as the watch lasted.
    const TimePoint as_of =
        m_settings.max_confirmation_age ? m_watch_started : now;
    m_confirmed_at = std::max(m_confirmed_at.value_or(as_of), as_of);
    if (result.evacuations)
      ApplyEvacuationRead(now, *result.evacuations);
    if (result.batch.has_value())
      Apply(now, *result.batch, std::nullopt);
    StartWatch(now);
    return;
  }
  ResumeWatching(now);
}

// Changes may have been missed, so the table is read before the next watch.
void ConfigSync::ResumeWatching(TimePoint now) {
  const bool is_busy = m_is_watching || m_reader->is_reading() ||
                       m_fetch_state != FetchState::kIdle;
  if (!m_is_on_duty || is_busy)
    return;
  m_table_at = now + RandomUpTo(m_settings.reread_window);
  ScheduleTableRead(now);
}

void ConfigSync::Apply(TimePoint now,
                       const ConfigBatch& batch,
                       const std::optional<Endpoint>& from) {
  if (m_store.Apply(now, batch) != ApplyResult::kApplied)
    return;
  LogLine(LogLevel::kInfo, "config.in_force")
      .Add("revision", batch.to)
      .Add("changes", batch.changes.size());
  SendPulses(now, m_settings.push_fanout);
  if (DistinguishesZones()) {
    m_notifies_fetchers = !from || IsFar(*from);
    if (m_notifies_fetchers)
      NotifyFetchers(now);
    m_pushes_left = m_settings.push_repetitions;
    m_next_push = now + Jittered(m_settings.push_interval);
  }
  if (m_store.revision().value() >= m_target.value() &&
      m_fetch_state != FetchState::kTableReading)
    FinishFetch();
}

void ConfigSync::FinishFetch() {
  m_fetch_state = FetchState::kIdle;
  m_download.reset();
  m_source.reset();
  m_table_at.reset();
  m_peer_attempts = 0;
  m_table_failures = 0;
}

}  // namespace bulrushmount
