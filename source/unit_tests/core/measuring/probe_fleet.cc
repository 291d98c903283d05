// A queue of events in one true time; each node sees it by a clock of its own.

#include "unit_tests/core/measuring/probe_fleet.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <utility>

namespace bulrushmount {

namespace {

const ServiceName kService("desk");
constexpr Duration kTableTimeout = std::chrono::seconds(2);
constexpr Duration kAnswerTime = std::chrono::milliseconds(6);

}  // namespace

// A node's way to the table, and its own stop and go.
class ProbeFleet::Link : public TableService {
 public:
  Link(ProbeFleet& fleet, Node& node) : m_fleet(fleet), m_node(node) {}

  void Submit(TableRequest request, Callback callback) override;

 private:
  struct Journey {
    Duration there{};
    Duration back{};
    bool is_lost_there = false;
    bool is_lost_back = false;
  };

  Journey RandomJourney();

  ProbeFleet& m_fleet;
  Node& m_node;
};

class ProbeFleet::Node {
 public:
  Node(ProbeFleet& fleet, std::uint64_t id)
      : m_fleet(fleet),
        m_index(id - 1),
        m_random(fleet.m_random.NextBits()),
        m_clock_offset(std::chrono::seconds(m_random.Index(3600))),
        m_clock_rate(0.991 + 0.018 * m_random.Fraction()),
        m_scheduler(NodeId(id), fleet.m_settings, m_random),
        m_link(fleet, *this) {}

  // This node's clock at a true time, and back.
  TimePoint Local(TimePoint time) const {
    const double seconds = ToSeconds(time.time_since_epoch()) * m_clock_rate;
    return TimePoint(FromSeconds(seconds)) + m_clock_offset;
  }
  TimePoint True(TimePoint local) const {
    if (local == TimePoint::max()) {
      return local;
    }
    const double seconds =
        ToSeconds((local - m_clock_offset).time_since_epoch()) / m_clock_rate;
    // Rounded up, so that the local time has come.
    return TimePoint(FromSeconds(seconds)) + std::chrono::microseconds(1);
  }

  // Runs now, or when the node goes on; never if it has ended.
  void Run(std::function<void(TimePoint)> action) {
    if (!is_alive) {
      return;
    }
    if (is_frozen) {
      m_deferred.push_back(std::move(action));
      return;
    }
    action(Local(m_fleet.now()));
  }

  void Resume() {
    is_frozen = false;
    // The timer fires before the node has read what it missed.
    OnTimer();
    std::deque<std::function<void(TimePoint)>> deferred;
    deferred.swap(m_deferred);
    for (const auto& action : deferred) {
      action(Local(m_fleet.now()));
    }
  }

  TimePoint NextWakeup() const {
    return is_alive && !is_frozen ? True(m_scheduler.NextWakeup())
                                  : TimePoint::max();
  }

  void OnTimer() {
    const TimePoint local = Local(m_fleet.now());
    const auto order = m_scheduler.OnTimer(local, m_link);
    if (order) {
      // The daemon is a little late, or stopped before the bytes leave.
      const Duration late = m_fleet.RandomUpTo(m_fleet.m_lateness);
      m_fleet.m_time.After(late, [this, order = *order] {
        Run([this, order](TimePoint now) { Send(now, order); });
      });
    }
  }

  ProbeScheduler& scheduler() { return m_scheduler; }

  bool is_alive = true;
  bool is_frozen = false;

 private:
  void Send(TimePoint now, const ProbeOrder& order) {
    if (now >= order.valid_until) {
      m_scheduler.OnProbeFailed(now, order.probe);
      return;
    }
    const bool hangs = m_random.Fraction() < m_fleet.m_hang_fraction;
    const TimePoint answer = m_fleet.now() + kAnswerTime;
    const TimePoint end = hangs ? True(order.gives_up_at) : answer;
    m_fleet.m_records.push_back({m_fleet.now(), end, m_index});
    // The connection may break long before the target gives up its work.
    const bool breaks = m_random.Index(2) == 0;
    const TimePoint reported_at = breaks ? answer : end;
    m_fleet.m_time.At(reported_at, [this, order, hangs] {
      Run([this, order, hangs](TimePoint then) {
        hangs ? m_scheduler.OnProbeFailed(then, order.probe)
              : m_scheduler.OnProbeAnswered(then, order.probe);
      });
    });
  }

  ProbeFleet& m_fleet;
  std::size_t m_index;
  SeededRandomSource m_random;
  Duration m_clock_offset;
  double m_clock_rate;
  ProbeScheduler m_scheduler;
  Link m_link;
  std::deque<std::function<void(TimePoint)>> m_deferred;
};

ProbeFleet::Link::Journey ProbeFleet::Link::RandomJourney() {
  SeededRandomSource& random = m_fleet.m_random;
  const Duration quick = std::chrono::milliseconds(2);
  Journey journey{quick, quick};
  switch (m_fleet.m_fault) {
    case LinkFault::kNone:
    case LinkFault::kDown:
      break;
    case LinkFault::kAnswersLost:
      journey.is_lost_back = true;
      break;
    case LinkFault::kSlow:
      journey.there = m_fleet.RandomUpTo(std::chrono::seconds(4));
      journey.back = m_fleet.RandomUpTo(std::chrono::seconds(4));
      break;
    case LinkFault::kUnreliable:
      journey.there = m_fleet.RandomUpTo(
          std::chrono::seconds(random.Index(4) == 0 ? 15 : 1));
      journey.back = m_fleet.RandomUpTo(std::chrono::seconds(1));
      journey.is_lost_there = random.Index(6) == 0;
      journey.is_lost_back = random.Index(3) == 0;
      break;
  }
  return journey;
}

void ProbeFleet::Link::Submit(TableRequest request, Callback callback) {
  const bool is_write = std::holds_alternative<TableTransact>(request);
  ++(is_write ? m_fleet.m_writes : m_fleet.m_reads);
  const bool is_down = m_fleet.m_fault == LinkFault::kDown;
  const Journey journey = RandomJourney();
  // Told once: by the answer or by the time-out, whichever is first.
  auto is_reported = std::make_shared<bool>(false);
  const auto tell = [this, callback, is_reported](const TableReply& reply) {
    m_node.Run([callback, is_reported, reply](TimePoint now) {
      if (!std::exchange(*is_reported, true)) {
        callback(now, reply);
      }
    });
  };
  if (is_down) {
    m_fleet.m_time.After(journey.back, [tell] {
      tell({TableStatus::kUnavailable, {}});
    });
    return;
  }
  m_fleet.m_time.After(kTableTimeout, [tell] {
    tell({TableStatus::kUnknown, {}});
  });
  if (journey.is_lost_there) {
    return;
  }
  m_fleet.m_time.After(
      journey.there, [this, journey, tell, request = std::move(request)] {
        const TableReply reply = m_fleet.m_table.Apply(request);
        if (!journey.is_lost_back) {
          m_fleet.m_time.After(journey.back, [tell, reply] { tell(reply); });
        }
      });
}

ProbeFleet::ProbeFleet(std::uint64_t seed, const MeasuringSettings& settings)
    : m_random(seed), m_settings(settings) {}

ProbeFleet::~ProbeFleet() = default;

std::size_t ProbeFleet::Join(ProbeNeed need) {
  m_nodes.push_back(std::make_unique<Node>(*this, m_nodes.size() + 1));
  Node& node = *m_nodes.back();
  const TimePoint local = node.Local(now());
  ProbeScheduler& scheduler = node.scheduler();
  scheduler.OnContract(local, m_revision, &m_terms);
  scheduler.OnNeed(local, need);
  scheduler.OnTarget(local, kService);
  ReportSize();
  return m_nodes.size() - 1;
}

void ProbeFleet::Kill(std::size_t node) {
  m_nodes[node]->is_alive = false;
  ReportSize();
}

void ProbeFleet::Freeze(std::size_t node) {
  m_nodes[node]->is_frozen = true;
}

void ProbeFleet::Resume(std::size_t node) {
  if (m_nodes[node]->is_alive && m_nodes[node]->is_frozen) {
    m_nodes[node]->Resume();
  }
}

void ProbeFleet::SetNeed(std::size_t node, ProbeNeed need) {
  Node& told = *m_nodes[node];
  told.Run(
      [&told, need](TimePoint now) { told.scheduler().OnNeed(now, need); });
}

void ProbeFleet::SetBudget(const ServiceMeasuringBudget& budget,
                           Duration spread,
                           const std::vector<std::size_t>& cut_off) {
  m_terms.budgets = {budget};
  m_terms.budgets[0].service = kService;
  m_revision = Revision(m_revision.value() + 1);
  m_reported_at = now() + spread;
  for (std::size_t i = 0; i < m_nodes.size(); ++i) {
    if (std::find(cut_off.begin(), cut_off.end(), i) != cut_off.end()) {
      continue;
    }
    Node& node = *m_nodes[i];
    const auto tell = [&node, revision = m_revision, terms = m_terms] {
      node.Run([&node, revision, terms](TimePoint now) {
        node.scheduler().OnContract(now, revision, &terms);
      });
    };
    m_time.After(RandomUpTo(spread), tell);
  }
}

void ProbeFleet::SetFleet(std::uint32_t members, std::uint32_t services) {
  m_size.members = members;
  m_size.services = services;
  ReportSize();
}

void ProbeFleet::ReportSize() {
  const auto live =
      std::count_if(m_nodes.begin(), m_nodes.end(),
                    [](const auto& node) { return node->is_alive; });
  m_size.service_members = static_cast<std::uint32_t>(live);
  m_size.members = std::max(m_size.members, m_size.service_members);
  for (const auto& node : m_nodes) {
    node->scheduler().OnFleetSize(m_size);
  }
}

void ProbeFleet::Advance(Duration duration) {
  const TimePoint end = now() + duration;
  while (now() < end) {
    Step(end);
  }
}

void ProbeFleet::Step(TimePoint end) {
  TimePoint next = std::min(end, m_time.NextStep());
  for (const auto& node : m_nodes) {
    next = std::min(next, node->NextWakeup());
  }
  // A node that always wants to wake up at once still lets time pass.
  m_time.MoveTo(std::max(next, now() + std::chrono::microseconds(10)));
  while (m_time.RunDueStep()) {
  }
  for (const auto& node : m_nodes) {
    if (node->NextWakeup() <= now()) {
      ++m_timers;
      node->OnTimer();
    }
  }
}

std::vector<ProbeRecord> ProbeFleet::Records() const {
  return m_records;
}

Duration ProbeFleet::RandomUpTo(Duration longest) {
  return std::chrono::duration_cast<Duration>(longest * m_random.Fraction());
}

std::size_t CountOverBudget(const std::vector<ProbeRecord>& records,
                            NaiveBudget naive) {
  std::size_t over = 0;
  for (const ProbeRecord& record : records) {
    over += naive.Allows(record.sent_at) ? 0 : 1;
    naive.Record(record);
  }
  return over;
}

}  // namespace bulrushmount
