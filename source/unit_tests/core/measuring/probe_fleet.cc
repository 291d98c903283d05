// Part of `probe_fleet.h`: events are ordered by one true time, which each node
// sees through its own clock.

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

// A node's connection to the table. Replies wait while the node is suspended.
class ProbeFleet::Link : public TableService {
 public:
  Link(ProbeFleet& fleet, Node& node) : m_fleet(fleet), m_node(node) {}

  void Submit(TableRequest request, Callback callback) override;

 private:
  struct Delivery {
    Duration request_delay{};
    Duration reply_delay{};
    bool is_request_lost = false;
    bool is_reply_lost = false;
  };

  Delivery RandomDelivery();

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

  // Converts a true time to this node's clock and back.
  TimePoint LocalTime(TimePoint time) const {
    const double seconds = ToSeconds(time.time_since_epoch()) * m_clock_rate;
    return TimePoint(FromSeconds(seconds)) + m_clock_offset;
  }
  TimePoint TrueTime(TimePoint local) const {
    if (local == TimePoint::max()) {
      return local;
    }
    const double seconds =
        ToSeconds((local - m_clock_offset).time_since_epoch()) / m_clock_rate;
    // Rounded up, so that the local time has been reached.
    return TimePoint(FromSeconds(seconds)) + std::chrono::microseconds(1);
  }

  // Runs `action` now, or when the node resumes; never if the node has ended.
  void Run(std::function<void(TimePoint)> action) {
    if (!is_alive) {
      return;
    }
    if (is_frozen) {
      m_deferred.push_back(std::move(action));
      return;
    }
    action(LocalTime(m_fleet.now()));
  }

  void Resume() {
    is_frozen = false;
    // The timer fires before the node reads pending messages.
    OnTimer();
    std::deque<std::function<void(TimePoint)>> deferred;
    deferred.swap(m_deferred);
    for (const auto& action : deferred) {
      action(LocalTime(m_fleet.now()));
    }
  }

  TimePoint NextWakeup() const {
    return is_alive && !is_frozen ? TrueTime(m_scheduler.NextWakeup())
                                  : TimePoint::max();
  }

  void OnTimer() {
    const TimePoint local = LocalTime(m_fleet.now());
    const auto order = m_scheduler.OnTimer(local, m_link);
    if (order) {
      // The daemon sends it slightly late, or is suspended before.
      const Duration late = m_fleet.RandomUpTo(m_fleet.m_max_send_delay);
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
    const bool is_hanging = m_random.Fraction() < m_fleet.m_hang_fraction;
    const TimePoint answer = m_fleet.now() + kAnswerTime;
    const TimePoint end = is_hanging ? TrueTime(order.gives_up_at) : answer;
    m_fleet.m_records.push_back({m_fleet.now(), end, m_index});
    // The connection may be lost long before the target stops processing.
    const bool is_connection_lost = m_random.Index(2) == 0;
    const TimePoint reported_at = is_connection_lost ? answer : end;
    m_fleet.m_time.At(reported_at, [this, order, is_hanging] {
      Run([this, order, is_hanging](TimePoint then) {
        is_hanging ? m_scheduler.OnProbeFailed(then, order.probe)
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

ProbeFleet::Link::Delivery ProbeFleet::Link::RandomDelivery() {
  SeededRandomSource& random = m_fleet.m_random;
  const Duration usual_delay = std::chrono::milliseconds(2);
  Delivery delivery{usual_delay, usual_delay};
  switch (m_fleet.m_fault) {
    case LinkFault::kNone:
    case LinkFault::kDown:
      break;
    case LinkFault::kAnswersLost:
      delivery.is_reply_lost = true;
      break;
    case LinkFault::kSlow:
      delivery.request_delay = m_fleet.RandomUpTo(std::chrono::seconds(4));
      delivery.reply_delay = m_fleet.RandomUpTo(std::chrono::seconds(4));
      break;
    case LinkFault::kUnreliable:
      delivery.request_delay = m_fleet.RandomUpTo(
          std::chrono::seconds(random.Index(4) == 0 ? 15 : 1));
      delivery.reply_delay = m_fleet.RandomUpTo(std::chrono::seconds(1));
      delivery.is_request_lost = random.Index(6) == 0;
      delivery.is_reply_lost = random.Index(3) == 0;
      break;
  }
  return delivery;
}

void ProbeFleet::Link::Submit(TableRequest request, Callback callback) {
  const bool is_write = std::holds_alternative<TableTransact>(request);
  ++(is_write ? m_fleet.m_writes : m_fleet.m_reads);
  const bool is_down = m_fleet.m_fault == LinkFault::kDown;
  const Delivery delivery = RandomDelivery();
  // Reported once: by the answer or by the timeout, whichever is first.
  auto is_reported = std::make_shared<bool>(false);
  const auto report = [this, callback, is_reported](const TableReply& reply) {
    m_node.Run([callback, is_reported, reply](TimePoint now) {
      if (!std::exchange(*is_reported, true)) {
        callback(now, reply);
      }
    });
  };
  if (is_down) {
    m_fleet.m_time.After(delivery.reply_delay, [report] {
      report({TableStatus::kUnavailable, {}});
    });
    return;
  }
  m_fleet.m_time.After(kTableTimeout, [report] {
    report({TableStatus::kUnknown, {}});
  });
  if (delivery.is_request_lost) {
    return;
  }
  m_fleet.m_time.After(delivery.request_delay, [this, delivery, report,
                                                request = std::move(request)] {
    const TableReply reply = m_fleet.m_table.Apply(request);
    if (!delivery.is_reply_lost) {
      m_fleet.m_time.After(delivery.reply_delay,
                           [report, reply] { report(reply); });
    }
  });
}

ProbeFleet::ProbeFleet(std::uint64_t seed, const MeasuringSettings& settings)
    : m_random(seed), m_settings(settings) {}

ProbeFleet::~ProbeFleet() = default;

std::size_t ProbeFleet::Join(ProbeNeed need) {
  m_nodes.push_back(std::make_unique<Node>(*this, m_nodes.size() + 1));
  Node& node = *m_nodes.back();
  const TimePoint local = node.LocalTime(now());
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
  Node& node_entry = *m_nodes[node];
  node_entry.Run([&node_entry, need](TimePoint now) {
    node_entry.scheduler().OnNeed(now, need);
  });
}

void ProbeFleet::SetBudget(const ServiceMeasuringBudget& budget,
                           Duration spread,
                           const std::vector<std::size_t>& cut_off) {
  m_terms.budgets = {budget};
  m_terms.budgets[0].service = kService;
  m_revision = Revision(m_revision.value() + 1);
  m_received_at = now() + spread;
  for (std::size_t i = 0; i < m_nodes.size(); ++i) {
    if (std::find(cut_off.begin(), cut_off.end(), i) != cut_off.end()) {
      continue;
    }
    Node& node = *m_nodes[i];
    const auto report = [&node, revision = m_revision, terms = m_terms] {
      node.Run([&node, revision, terms](TimePoint now) {
        node.scheduler().OnContract(now, revision, &terms);
      });
    };
    m_time.After(RandomUpTo(spread), report);
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
  // Time advances even if a node always requests an immediate wakeup.
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
