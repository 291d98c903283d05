// Several Quarantines, each with a simulated target, connected by a
// DatagramNetwork and a lossy broadcast in virtual time. Calls take the same
// steps as in node_logic: check, permit, owner, target. The fleet counts
// violations of the quarantine rules.

#ifndef BULRUSHMOUNT_UNIT_TESTS_CORE_QUARANTINE_QUARANTINE_FLEET_H_
#define BULRUSHMOUNT_UNIT_TESTS_CORE_QUARANTINE_QUARANTINE_FLEET_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/quarantine/quarantine.h"
#include "unit_tests/core/limits/datagram_network.h"

namespace bulrushmount {

class QuarantineFleet {
 public:
  static constexpr Duration kStep = std::chrono::milliseconds(1);

  // Number of calls by how they ended.
  struct Counts {
    int finished = 0;
    int crashed = 0;
    int refused = 0;
  };

  QuarantineFleet(std::size_t nodes, std::uint64_t seed)
      : m_random(seed),
        m_network(nodes, seed + 1),
        m_alive(nodes, true),
        m_restarts(nodes, 0) {
    for (std::size_t index = 0; index < nodes; ++index) {
      m_nodes.push_back(std::make_unique<Node>(*this, index));
      StartNode(index);
    }
    PublishMembers();
  }

  void AddPoison(Fingerprint fingerprint) { m_poison.insert(fingerprint); }
  TimePoint now() const { return m_now; }
  DatagramNetwork& network() { return m_network; }
  Quarantine& node(std::size_t index) { return *m_nodes[index]->quarantine; }
  std::size_t size() const { return m_nodes.size(); }
  Counts CountsOf(Fingerprint fingerprint) { return m_counts[fingerprint]; }
  std::size_t TargetsCrashed() const { return m_crashes; }
  // Maximum number of concurrent permitted runs of one fingerprint, and of
  // concurrent suspect runs on one target.
  std::size_t MaxConcurrentPermittedRuns() const {
    return m_max_permitted_runs;
  }
  std::size_t MaxSuspectsOnTarget() const { return m_max_suspects_on_target; }
  bool IsRunning(std::size_t index) const {
    return m_alive[index] && !m_network.IsFrozen(index);
  }
  bool IsReady(std::size_t index) {
    return IsRunning(index) && node(index).IsCaughtUp();
  }
  std::size_t HomeOf(Fingerprint fingerprint) const {
    const std::vector<Peer> members = MembersOf(0, false);
    return RendezvousHome(members, fingerprint.value())->gossip.port -
           DatagramNetwork::kFirstPort;
  }
  // Sets the maximum delay of gossip to a node and the fraction of it that is
  // lost.
  void SetGossip(Duration delay, double loss) {
    m_gossip_delay = delay;
    m_gossip_loss = loss;
  }

  // Simulates a call that arrives at node `entry` and is routed to the target
  // at `owner`. After `runtime` it finishes, or crashes the target if it is
  // poison.
  void Call(std::size_t entry,
            std::size_t owner,
            Fingerprint fingerprint,
            Duration runtime) {
    if (!IsReady(entry))
      return;
    Quarantine& quarantine = node(entry);
    switch (quarantine.Check(m_now, fingerprint)) {
      case Verdict::kClear:
        Dispatch(entry, owner, fingerprint, runtime, false);
        break;
      case Verdict::kSuspect:
        quarantine.RequestPermit(
            m_now, fingerprint, [=, this](PermitResult result) {
              OnPermit(entry, owner, fingerprint, runtime, result);
            });
        break;
      case Verdict::kQuarantined:
        ++m_counts[fingerprint].refused;
        break;
    }
  }

  void Advance(Duration duration) {
    const TimePoint end = m_now + duration;
    while (m_now < end) {
      m_now += kStep;
      m_network.SetNow(m_now);
      Step();
    }
  }

  // Kills a node and its target. The entries see their streams break.
  void Kill(std::size_t index) {
    m_alive[index] = false;
    for (const Run& run : TakeRuns(index)) {
      if (run.is_suspect)
        m_lost_as_suspects.insert(run.fingerprint);
      m_ends.push_back({run, RunEnd::kNodeLost});
    }
    NotifyEntries();
  }
  // Returns whether it ran as a suspect on a node that was killed, or on a
  // target that it or another request crashed.
  bool WasLostAsSuspect(Fingerprint fingerprint) const {
    return m_lost_as_suspects.contains(fingerprint);
  }
  void Restart(std::size_t index) {
    ++m_restarts[index];
    m_alive[index] = true;
    StartNode(index);
  }

  void PublishMembers(bool are_frozen_dead = false) {
    for (std::size_t index = 0; index < size(); ++index) {
      if (IsRunning(index)) {
        node(index).SetMembers(
            m_now, MembersOf(m_network.SideOf(index), are_frozen_dead));
      }
    }
  }

 private:
  struct Node : BroadcastPort {
    Node(QuarantineFleet& fleet, std::size_t index)
        : fleet(fleet), index(index) {}

    void Broadcast(std::uint64_t key,
                   std::string payload,
                   Duration lifetime) override {
      fleet.Gossip(index, payload);
    }

    QuarantineFleet& fleet;
    std::size_t index;
    std::unique_ptr<Quarantine> quarantine;
  };

  // A request that runs on a target.
  struct Run {
    std::size_t entry = 0;
    std::size_t owner = 0;
    Fingerprint fingerprint;
    bool is_suspect = false;
    NodeId entry_id;
    TimePoint ends_at;
  };

  enum class RunEnd : std::uint8_t { kFinished, kTargetLost, kNodeLost };

  struct EndedRun {
    Run run;
    RunEnd end = RunEnd::kFinished;
  };

  struct News {
    std::size_t from = 0;
    std::size_t to = 0;
    std::string payload;
  };

  Peer PeerOf(std::size_t index) const {
    return {NodeId((m_restarts[index] << 16U) + index + 1),
            DatagramNetwork::EndpointOf(index)};
  }

  std::vector<Peer> MembersOf(int side, bool are_frozen_dead) const {
    std::vector<Peer> members;
    for (std::size_t index = 0; index < size(); ++index) {
      if (m_alive[index] && m_network.SideOf(index) == side &&
          !(are_frozen_dead && m_network.IsFrozen(index)))
        members.push_back(PeerOf(index));
    }
    return members;
  }

  void StartNode(std::size_t index) {
    m_nodes[index]->quarantine = std::make_unique<Quarantine>(
        QuarantineSettings(), PeerOf(index), m_network.PortOf(index),
        *m_nodes[index], m_now);
  }

  // Gossip is repeated until every node has it, so a lost item arrives later.
  void Gossip(std::size_t from, const std::string& payload) {
    for (std::size_t to = 0; to < size(); ++to) {
      Duration delay =
          FromSeconds(ToSeconds(m_gossip_delay) * m_random.Fraction());
      while (m_random.Fraction() < m_gossip_loss)
        delay += m_gossip_delay;
      if (to != from)
        m_gossip.emplace(m_now + delay, News{from, to, payload});
    }
  }

  void OnPermit(std::size_t entry,
                std::size_t owner,
                Fingerprint fingerprint,
                Duration runtime,
                PermitResult result) {
    if (result == PermitResult::kGranted) {
      Dispatch(entry, owner, fingerprint, runtime, true);
    } else if (result == PermitResult::kRefused) {
      ++m_counts[fingerprint].refused;
    } else {
      // The entry resets the stream and the owner closes the connection.
      std::erase_if(m_runs, [&](const Run& run) {
        const bool is_lost = run.is_suspect && run.entry == entry &&
                             run.fingerprint == fingerprint;
        if (is_lost)
          node(run.owner).OnWorkEnded({fingerprint, true});
        return is_lost;
      });
    }
  }

  void Dispatch(std::size_t entry,
                std::size_t owner,
                Fingerprint fingerprint,
                Duration runtime,
                bool is_suspect) {
    const bool is_reachable =
        IsReady(owner) && m_network.SideOf(entry) == m_network.SideOf(owner);
    const bool is_admitted =
        is_reachable &&
        node(owner).AdmitWork(m_now, fingerprint, is_suspect) == Reason::kNone;
    if (!is_admitted) {
      ++m_counts[fingerprint].refused;
      if (is_reachable)
        node(entry).OnOwnerRefused(m_now, fingerprint);
      if (is_suspect)
        node(entry).EndPermit(m_now, fingerprint, PermitEnd::kInconclusive);
      return;
    }
    m_runs.push_back({entry, owner, fingerprint, is_suspect, PeerOf(entry).id,
                      m_now + runtime});
    UpdateRunMaxima(fingerprint, owner);
  }

  void UpdateRunMaxima(Fingerprint fingerprint, std::size_t owner) {
    std::size_t permitted_runs = 0;
    std::size_t suspects_on_target = 0;
    for (const Run& run : m_runs) {
      permitted_runs +=
          run.is_suspect && run.fingerprint == fingerprint ? 1 : 0;
      suspects_on_target += run.is_suspect && run.owner == owner ? 1 : 0;
    }
    m_max_permitted_runs = std::max(m_max_permitted_runs, permitted_runs);
    m_max_suspects_on_target =
        std::max(m_max_suspects_on_target, suspects_on_target);
  }

  void Step() {
    for (const QueuedDatagram& datagram : m_network.TakeArrived()) {
      if (m_alive[datagram.to]) {
        node(datagram.to)
            .OnDatagram(m_now, DatagramNetwork::EndpointOf(datagram.from),
                        datagram.payload);
      }
    }
    DeliverGossip();
    NotifyEntries();
    for (std::size_t index = 0; index < size(); ++index) {
      if (IsRunning(index) && node(index).NextWakeup() <= m_now)
        node(index).OnTimer(m_now);
    }
    EndRuns();
  }

  void DeliverGossip() {
    while (!m_gossip.empty() && m_gossip.begin()->first <= m_now) {
      const News news = m_gossip.begin()->second;
      m_gossip.erase(m_gossip.begin());
      const bool is_cut =
          m_network.SideOf(news.from) != m_network.SideOf(news.to);
      if (is_cut || m_network.IsFrozen(news.to))
        m_gossip.emplace(m_now + std::chrono::milliseconds(500), news);
      else if (m_alive[news.to])
        node(news.to).OnBroadcast(m_now, news.payload);
    }
  }

  void EndRuns() {
    for (;;) {
      const auto ended =
          std::find_if(m_runs.begin(), m_runs.end(),
                       [&](const Run& run) { return run.ends_at <= m_now; });
      if (ended == m_runs.end())
        return;
      const Run run = *ended;
      if (m_poison.contains(run.fingerprint)) {
        CrashTarget(run.owner);
      } else {
        m_runs.erase(ended);
        node(run.owner).OnWorkEnded({run.fingerprint, run.is_suspect});
        ++m_counts[run.fingerprint].finished;
        m_ends.push_back({run, RunEnd::kFinished});
        NotifyEntries();
      }
    }
  }

  // Removes and returns the runs on the target of `owner`.
  std::vector<Run> TakeRuns(std::size_t owner) {
    const auto others = std::stable_partition(
        m_runs.begin(), m_runs.end(),
        [&](const Run& run) { return run.owner != owner; });
    std::vector<Run> taken(others, m_runs.end());
    m_runs.erase(others, m_runs.end());
    return taken;
  }

  void CrashTarget(std::size_t owner) {
    ++m_crashes;
    const std::vector<Run> lost = TakeRuns(owner);
    std::vector<AdmittedWork> works;
    works.reserve(lost.size());
    for (const Run& run : lost)
      works.push_back({run.fingerprint, run.is_suspect});
    node(owner).OnTargetCrashed(m_now, works);
    for (const Run& run : lost) {
      ++m_counts[run.fingerprint].crashed;
      if (run.is_suspect)
        m_lost_as_suspects.insert(run.fingerprint);
      m_ends.push_back({run, RunEnd::kTargetLost});
    }
    NotifyEntries();
  }

  // A frozen entry reads its streams when it resumes. One that was restarted or
  // is disconnected gets no notification.
  void NotifyEntries() {
    std::vector<EndedRun> waiting;
    for (const EndedRun& ended : std::exchange(m_ends, {})) {
      const Run& run = ended.run;
      if (m_network.IsFrozen(run.entry))
        waiting.push_back(ended);
      else if (m_alive[run.entry] && PeerOf(run.entry).id == run.entry_id &&
               m_network.SideOf(run.entry) == m_network.SideOf(run.owner))
        NotifyEntry(run, ended.end);
    }
    m_ends = std::move(waiting);
  }

  void NotifyEntry(const Run& run, RunEnd end) {
    Quarantine& entry = node(run.entry);
    const bool is_finished = end == RunEnd::kFinished;
    if (run.is_suspect) {
      entry.EndPermit(m_now, run.fingerprint,
                      is_finished ? PermitEnd::kFinished : PermitEnd::kCrashed);
    } else if (end == RunEnd::kTargetLost) {
      entry.OnTargetLost(m_now, run.fingerprint);
    } else if (end == RunEnd::kNodeLost) {
      entry.OnOwnerLost(m_now, run.fingerprint);
    }
  }

  TimePoint m_now = TimePoint(std::chrono::hours(1));
  SeededRandomSource m_random;
  DatagramNetwork m_network;
  std::vector<bool> m_alive;
  std::vector<std::uint64_t> m_restarts;
  std::vector<std::unique_ptr<Node>> m_nodes;
  std::set<Fingerprint> m_poison;
  std::vector<Run> m_runs;
  std::vector<EndedRun> m_ends;
  std::set<Fingerprint> m_lost_as_suspects;
  std::multimap<TimePoint, News> m_gossip;
  Duration m_gossip_delay = std::chrono::milliseconds(500);
  double m_gossip_loss = 0;
  std::map<Fingerprint, Counts> m_counts;
  std::size_t m_crashes = 0;
  std::size_t m_max_permitted_runs = 0;
  std::size_t m_max_suspects_on_target = 0;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_UNIT_TESTS_CORE_QUARANTINE_QUARANTINE_FLEET_H_
