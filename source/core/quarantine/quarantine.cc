// Part of `quarantine.h`.

#include "core/quarantine/quarantine.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace bulrushmount {

Quarantine::Quarantine(const QuarantineSettings& settings,
                       const Peer& self,
                       DatagramPort& datagrams,
                       BroadcastPort& broadcasts,
                       TimePoint now)
    : m_settings(settings),
      m_self(self),
      m_datagrams(datagrams),
      m_broadcasts(broadcasts),
      m_last_run_at(now),
      m_continuous_since(now),
      m_members({self}),
      m_suspicions(settings),
      m_permit_home(settings) {
  StartCatchUp(now);
}

// --- Entry ------------------------------------------------------------------

Verdict Quarantine::Check(TimePoint now, Fingerprint fingerprint) {
  NoticePause(now);
  return m_suspicions.VerdictOf(now, fingerprint);
}

void Quarantine::RequestPermit(TimePoint now,
                               Fingerprint fingerprint,
                               PermitCallback callback) {
  NoticePause(now);
  const auto found = m_permits.find(fingerprint);
  const bool is_taken = found != m_permits.end() &&
                        found->second.stage != PermitStage::kReturning;
  const bool is_full =
      found == m_permits.end() && m_permits.size() >= m_settings.max_records;
  if (is_taken || is_full ||
      m_suspicions.VerdictOf(now, fingerprint) == Verdict::kQuarantined) {
    callback(PermitResult::kRefused);
    return;
  }
  Permit& permit = m_permits[fingerprint];
  permit = Permit();
  permit.number = PermitNumber(++m_last_permit);
  permit.callback = std::move(callback);
  permit.ends_at = now + m_settings.permit_timeout;
  SendAsk(now, fingerprint, permit);
}

void Quarantine::EndPermit(TimePoint now,
                           Fingerprint fingerprint,
                           PermitEnd end) {
  if (end == PermitEnd::kFinished)
    RecordAndBroadcast(now, fingerprint, SuspicionState::kCleared);
  if (end == PermitEnd::kCrashed)
    RecordAndBroadcast(now, fingerprint, SuspicionState::kQuarantined);
  const auto found = m_permits.find(fingerprint);
  if (found == m_permits.end() || found->second.stage != PermitStage::kHeld)
    return;
  found->second.stage = PermitStage::kReturning;
  found->second.callback = nullptr;
  SendAsk(now, fingerprint, found->second);
}

Duration Quarantine::PermitTimeLeft(TimePoint now,
                                    Fingerprint fingerprint) const {
  const auto found = m_permits.find(fingerprint);
  if (found == m_permits.end() || found->second.stage != PermitStage::kHeld)
    return Duration(0);
  return std::max(Duration(0), Duration(found->second.ends_at - now));
}

void Quarantine::OnTargetLost(TimePoint now, Fingerprint fingerprint) {
  m_suspicions.SetState(now, fingerprint, SuspicionState::kSuspect);
}

void Quarantine::OnOwnerLost(TimePoint now, Fingerprint fingerprint) {
  RecordAndBroadcast(now, fingerprint, SuspicionState::kSuspect);
}

void Quarantine::OnOwnerRefused(TimePoint now, Fingerprint fingerprint) {
  // Keeps a clearance that the owner has not received yet.
  if (!m_suspicions.Find(now, fingerprint))
    m_suspicions.SetState(now, fingerprint, SuspicionState::kSuspect);
}

// --- Owner ------------------------------------------------------------------

Reason Quarantine::AdmitWork(TimePoint now,
                             Fingerprint fingerprint,
                             bool is_suspect) {
  const Verdict verdict = m_suspicions.VerdictOf(now, fingerprint);
  if (verdict == Verdict::kQuarantined)
    return Reason::kQuarantined;
  // Until the news of a crash has reached all nodes, an entry without it may
  // send its copy of the request here, which could crash this target too.
  if (verdict == Verdict::kSuspect && !is_suspect)
    return Reason::kSuspect;
  if (is_suspect) {
    if (verdict == Verdict::kClear && !m_suspicions.Find(now, fingerprint))
      m_suspicions.SetState(now, fingerprint, SuspicionState::kSuspect);
    if (HasRunningSuspect(now))
      return Reason::kSuspect;
  }
  RunningCopies& copies = m_running[fingerprint];
  ++(is_suspect ? copies.suspect : copies.plain);
  return Reason::kNone;
}

void Quarantine::OnWorkEnded(const AdmittedWork& work) {
  const auto found = m_running.find(work.fingerprint);
  if (found == m_running.end())
    return;
  RunningCopies& copies = found->second;
  --(work.is_suspect ? copies.suspect : copies.plain);
  if (copies.plain + copies.suspect == 0)
    m_running.erase(found);
}

void Quarantine::OnTargetCrashed(TimePoint now,
                                 const std::vector<AdmittedWork>& works) {
  for (const AdmittedWork& work : works)
    OnWorkEnded(work);
  SuspectEndedWorks(now, works);
}

void Quarantine::SuspectEndedWorks(TimePoint now,
                                   const std::vector<AdmittedWork>& works) {
  for (const AdmittedWork& work : works) {
    RecordAndBroadcast(now, work.fingerprint,
                       work.is_suspect ? SuspicionState::kQuarantined
                                       : SuspicionState::kSuspect);
  }
}

// --- All --------------------------------------------------------------------

void Quarantine::SetMembers(TimePoint now, std::vector<Peer> members) {
  const bool has_self =
      std::any_of(members.begin(), members.end(),
                  [&](const Peer& member) { return member.id == m_self.id; });
  if (!has_self)
    members.push_back(m_self);
  if (members == m_members)
    return;
  NoticePause(now);
  HandleReturnedMembers(now, members);
  const Duration max_permit_age =
      m_settings.permit_term + m_settings.permit_clock_drift_margin;
  while (!m_past_members.empty() &&
         now - m_past_members.front().until >= max_permit_age)
    m_past_members.pop_front();
  m_past_members.push_back({now, std::move(m_members)});
  m_members = std::move(members);
  m_permit_home.OnMembersChanged(
      [this](Fingerprint fingerprint) { return IsHome(fingerprint); });
  // A new home must learn of the permits in use before it starts to grant, so
  // they are renewed immediately.
  for (auto& [fingerprint, permit] : m_permits) {
    if (permit.stage == PermitStage::kHeld)
      permit.next_ask = now;
  }
}

void Quarantine::OnDatagram(TimePoint now,
                            const Endpoint& from,
                            std::string_view bytes) {
  NoticePause(now);
  const std::optional<QuarantineDatagram> datagram = DecodeQuarantine(bytes);
  if (!datagram)
    return;
  if (datagram->news) {
    m_suspicions.Merge(now, *datagram->news);
  }
  for (const SuspicionNews& news : datagram->known)
    m_suspicions.Merge(now, news);
  if (datagram->wants_known)
    SendKnownNews(now, from);
  if (!datagram->ask && !datagram->reply && !datagram->wants_known) {
    m_catch_up_tries = 0;
    m_has_missed_news = false;
  }
  if (datagram->ask)
    OnAsk(now, from, datagram->sender, *datagram->ask);
  if (datagram->reply)
    OnReply(now, *datagram->reply);
}

void Quarantine::OnBroadcast(TimePoint now, std::string_view payload) {
  const std::optional<SuspicionNews> news = DecodeNews(payload);
  if (news)
    m_suspicions.Merge(now, *news);
}

void Quarantine::OnTimer(TimePoint now) {
  NoticePause(now);
  if (m_catch_up_tries > 0 && m_next_catch_up <= now)
    RequestMissedNews(now);
  // Callbacks may change m_permits, so the due permits are collected first.
  std::vector<Fingerprint> due;
  for (const auto& [fingerprint, permit] : m_permits) {
    if (permit.ends_at <= now || permit.next_ask <= now)
      due.push_back(fingerprint);
  }
  for (const Fingerprint fingerprint : due) {
    const auto found = m_permits.find(fingerprint);
    if (found == m_permits.end())
      continue;
    Permit& permit = found->second;
    if (permit.ends_at <= now && permit.stage == PermitStage::kAsking) {
      AbandonAsk(now, fingerprint, permit);
    } else if (permit.ends_at <= now) {
      FinishPermit(fingerprint, PermitResult::kLost);
    } else if (permit.next_ask <= now) {
      SendAsk(now, fingerprint, permit);
    }
  }
}

TimePoint Quarantine::NextWakeup() const {
  TimePoint wakeup = m_last_run_at + m_settings.pause_threshold / 3;
  if (m_catch_up_tries > 0)
    wakeup = std::min(wakeup, m_next_catch_up);
  for (const auto& [fingerprint, permit] : m_permits)
    wakeup = std::min({wakeup, permit.ends_at, permit.next_ask});
  return wakeup;
}

bool Quarantine::IsCaughtUp() const {
  return !m_has_missed_news || m_catch_up_tries == 0 || m_members.size() == 1;
}

// --- Internal ---------------------------------------------------------------

// Detects that this node was paused. A paused home lets its permits expire and
// is replaced by another home. If it resumed without noticing, it would grant
// permits that the other home has granted too.
void Quarantine::NoticePause(TimePoint now) {
  if (now - m_last_run_at > m_settings.pause_threshold) {
    m_continuous_since = now;
    m_has_missed_news = true;
    StartCatchUp(now);
  }
  m_last_run_at = now;
}

// Starts to fetch missed news. Without it a node that was started or paused
// would run a quarantined request on its own target.
void Quarantine::StartCatchUp(TimePoint now) {
  m_catch_up_tries = m_settings.catch_up_tries;
  m_next_catch_up = now;
}

void Quarantine::RequestMissedNews(TimePoint now) {
  m_next_catch_up = now + m_settings.catch_up_retry;
  std::vector<Peer> others;
  for (const Peer& member : m_members) {
    if (member.id != m_self.id)
      others.push_back(member);
  }
  if (others.empty())
    return;
  // Each attempt asks a different member.
  const std::uint64_t key =
      m_self.id.value() + static_cast<std::uint64_t>(m_catch_up_tries);
  --m_catch_up_tries;
  QuarantineDatagram datagram;
  datagram.sender = m_self.id;
  datagram.wants_known = true;
  m_datagrams.Send(RendezvousHome(others, key)->gossip,
                   DatagramKind::kQuarantine, EncodeQuarantine(datagram));
}

void Quarantine::SendKnownNews(TimePoint now, const Endpoint& to) {
  std::vector<SuspicionNews> known = m_suspicions.Newest(
      now, m_settings.catch_up_datagrams * kMaxKnownPerDatagram);
  // Sends at least one datagram; an empty one reports that there are no
  // records.
  do {
    const std::size_t count = std::min(known.size(), kMaxKnownPerDatagram);
    const auto end = known.begin() + static_cast<std::ptrdiff_t>(count);
    QuarantineDatagram datagram;
    datagram.sender = m_self.id;
    datagram.known.assign(known.begin(), end);
    known.erase(known.begin(), end);
    m_datagrams.Send(to, DatagramKind::kQuarantine, EncodeQuarantine(datagram));
  } while (!known.empty());
}

// Members that return after a partition had homes of their own on the other
// side, so this node treats their return like its own pause.
void Quarantine::HandleReturnedMembers(TimePoint now,
                                       const std::vector<Peer>& members) {
  for (const Peer& member : members) {
    const bool is_back = std::find(m_departed.begin(), m_departed.end(),
                                   member.id) != m_departed.end();
    if (!is_back)
      continue;
    m_continuous_since = now;
    StartCatchUp(now);
    std::erase(m_departed, member.id);
  }
  std::unordered_set<NodeId> present;
  for (const Peer& member : members)
    present.insert(member.id);
  for (const Peer& member : m_members) {
    if (!present.contains(member.id))
      m_departed.push_back(member.id);
  }
  while (m_departed.size() > m_settings.max_records)
    m_departed.pop_front();
}

void Quarantine::RecordAndBroadcast(TimePoint now,
                                    Fingerprint fingerprint,
                                    SuspicionState state) {
  m_suspicions.SetState(now, fingerprint, state);
  const std::optional<SuspicionNews> news = NewsOf(now, fingerprint);
  if (news) {
    m_broadcasts.Broadcast(fingerprint.value(), EncodeNews(*news),
                           m_settings.broadcast_lifetime);
  }
}

std::optional<SuspicionNews> Quarantine::NewsOf(TimePoint now,
                                                Fingerprint fingerprint) {
  return m_suspicions.Find(now, fingerprint);
}

void Quarantine::SendAsk(TimePoint now,
                         Fingerprint fingerprint,
                         Permit& permit) {
  const bool is_held = permit.stage == PermitStage::kHeld;
  PermitAsk ask;
  ask.fingerprint = fingerprint;
  ask.permit = permit.number;
  ask.ask = PermitAskNumber(++m_last_ask);
  ask.is_renewal = is_held;
  ask.is_return = permit.stage == PermitStage::kReturning;
  permit.previous_ask = permit.last_ask;
  permit.last_ask = {ask.ask, now};
  permit.next_ask =
      now + (ask.is_return ? m_settings.return_retry : m_settings.permit_retry);

  const Peer& home = *RendezvousHome(m_members, fingerprint.value());
  if (home.id == m_self.id) {
    OnAsk(now, m_self.gossip, m_self.id, ask);
    return;
  }
  QuarantineDatagram datagram;
  datagram.sender = m_self.id;
  datagram.ask = ask;
  datagram.news = NewsOf(now, fingerprint);
  m_datagrams.Send(home.gossip, DatagramKind::kQuarantine,
                   EncodeQuarantine(datagram));
}

void Quarantine::OnAsk(TimePoint now,
                       const Endpoint& from,
                       NodeId entry,
                       const PermitAsk& ask) {
  // An entry with a different member list sends its PermitAsk to the wrong
  // node. It gets no answer and refuses its call.
  if (!IsHome(ask.fingerprint))
    return;
  const bool is_quarantined =
      m_suspicions.VerdictOf(now, ask.fingerprint) == Verdict::kQuarantined;
  const bool is_settled = IsSettledHome(now, ask.fingerprint);
  PermitReply reply;
  reply.fingerprint = ask.fingerprint;
  reply.permit = ask.permit;
  reply.ask = ask.ask;
  reply.is_granted =
      m_permit_home.OnAsk(now, entry, ask, is_settled) && !is_quarantined;
  if (entry == m_self.id) {
    OnReply(now, reply);
    return;
  }
  QuarantineDatagram datagram;
  datagram.sender = m_self.id;
  datagram.reply = reply;
  datagram.news = NewsOf(now, ask.fingerprint);
  m_datagrams.Send(from, DatagramKind::kQuarantine, EncodeQuarantine(datagram));
}

void Quarantine::OnReply(TimePoint now, const PermitReply& reply) {
  const auto found = m_permits.find(reply.fingerprint);
  if (found == m_permits.end() || found->second.number != reply.permit)
    return;
  Permit& permit = found->second;
  const bool is_last = reply.ask == permit.last_ask.number;
  if (!is_last && reply.ask != permit.previous_ask.number)
    return;
  const SentAsk& asked = is_last ? permit.last_ask : permit.previous_ask;
  if (!reply.is_granted) {
    // A held permit stays valid until its term ends: the home may be new and
    // not ready to grant.
    if (permit.stage != PermitStage::kHeld)
      FinishPermit(reply.fingerprint, PermitResult::kRefused);
    return;
  }
  if (permit.stage == PermitStage::kReturning)
    return;
  const bool is_new = permit.stage == PermitStage::kAsking;
  const TimePoint ends_at = asked.sent_at + m_settings.permit_term;
  permit.stage = PermitStage::kHeld;
  permit.ends_at = is_new ? ends_at : std::max(permit.ends_at, ends_at);
  permit.next_ask = asked.sent_at + m_settings.permit_renewal;
  if (!is_new)
    return;
  const PermitCallback callback = permit.callback;
  callback(PermitResult::kGranted);
}

// The home may have granted the permit with the reply lost. Returns it, because
// otherwise no entry could run the suspect until the term of the permit ends.
void Quarantine::AbandonAsk(TimePoint now,
                            Fingerprint fingerprint,
                            Permit& permit) {
  const PermitCallback callback = std::move(permit.callback);
  permit.callback = nullptr;
  permit.stage = PermitStage::kReturning;
  permit.ends_at = now + m_settings.permit_term;
  SendAsk(now, fingerprint, permit);
  callback(PermitResult::kRefused);
}

void Quarantine::FinishPermit(Fingerprint fingerprint, PermitResult result) {
  const auto found = m_permits.find(fingerprint);
  const PermitCallback callback = std::move(found->second.callback);
  m_permits.erase(found);
  if (callback)
    callback(result);
}

bool Quarantine::IsHome(Fingerprint fingerprint) const {
  return RendezvousHome(m_members, fingerprint.value())->id == m_self.id;
}

bool Quarantine::IsSettledHome(TimePoint now, Fingerprint fingerprint) const {
  const Duration max_permit_age =
      m_settings.permit_term + m_settings.permit_clock_drift_margin;
  if (now - m_continuous_since < max_permit_age)
    return false;
  return std::all_of(
      m_past_members.begin(), m_past_members.end(),
      [&](const PastMembers& past) {
        return now - past.until >= max_permit_age ||
               RendezvousHome(past.members, fingerprint.value())->id ==
                   m_self.id;
      });
}

// Counts a copy as suspect also if it was admitted with a permit, whatever its
// verdict is here. An entry that has missed a clearance sends the cleared
// request with a permit. If a poison request ran concurrently and crashed the
// target, that entry would quarantine both.
bool Quarantine::HasRunningSuspect(TimePoint now) {
  return std::any_of(m_running.begin(), m_running.end(), [&](const auto& item) {
    return item.second.suspect > 0 ||
           m_suspicions.VerdictOf(now, item.first) != Verdict::kClear;
  });
}

}  // namespace bulrushmount
