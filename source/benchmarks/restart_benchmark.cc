// Measures the control bytes that the workspace limits and the quarantine send
// when one node fails, restarts, or resumes after a suspension, in virtual
// time.
//   restart_benchmark [SEED]

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <fmt/format.h>

#include "unit_tests/core/limits/limiter_fleet.h"
#include "unit_tests/core/quarantine/quarantine_fleet.h"

namespace bulrushmount {
namespace {

using std::chrono_literals::operator""s;

constexpr std::uint64_t kDefaultSeed = 20261202;
constexpr std::size_t kNodes = 1100;
constexpr double kCallsPerSecond = 200;
constexpr Duration kSettleTime = 60s;
constexpr Duration kDetectionTime = 2s;
// Windows measured after a change of the members.
constexpr Duration kFirstWindow = 1s;
constexpr Duration kLaterWindow = 20s;

void PrintWindow(std::string_view name,
                 DatagramNetwork& network,
                 Duration window) {
  const double seconds = ToSeconds(window);
  const auto nodes = static_cast<double>(kNodes);
  fmt::print("{:28} {:6.0f} {:12.0f} {:12.0f}\n", name, seconds,
             static_cast<double>(network.WireBytes()) / nodes / seconds,
             static_cast<double>(network.MaxWireBytesPerNode()) / seconds);
  network.ResetSentCounters();
}

// Load at all entries. Each entry gets calls of its own subset of `active`
// workspaces.
class UniformLoad {
 public:
  UniformLoad(std::size_t active, std::size_t workspaces, std::uint64_t seed)
      : m_fleet(kNodes, seed), m_random(seed), m_active(active) {
    for (std::size_t index = 0; index < workspaces; ++index) {
      m_names.emplace_back("workspace" + std::to_string(index));
      m_fleet.SetLimits(m_names.back(), {10000, 5000, 10000});
    }
  }

  LimiterFleet& fleet() { return m_fleet; }
  std::size_t HomeOfFirstWorkspace() const {
    return m_fleet.HomeOf(m_names.front());
  }

  void Run(Duration duration) {
    const TimePoint end = m_fleet.now() + duration;
    while (m_fleet.now() < end) {
      m_fleet.Advance(LimiterFleet::kStep);
      m_pending_calls += kCallsPerSecond * ToSeconds(LimiterFleet::kStep);
      for (; m_pending_calls >= 1; m_pending_calls -= 1)
        CallAtEveryEntry();
    }
  }

  void Print(std::string_view name) {
    Run(kFirstWindow);
    PrintWindow(name, m_fleet.network(), kFirstWindow);
    Run(kLaterWindow);
    PrintWindow(std::string(name) + ", then", m_fleet.network(), kLaterWindow);
  }

 private:
  void CallAtEveryEntry() {
    for (std::size_t index = 0; index < kNodes; ++index) {
      if (!m_fleet.IsRunning(index))
        continue;
      const WorkspaceName& name =
          m_names[(index * 7 + m_random.Index(m_active)) % m_names.size()];
      WorkspaceLimiter& node = m_fleet.node(index);
      if (node.TryAdmit(m_fleet.now(), name, 1) == Reason::kNone)
        node.OnCallEnded(m_fleet.now(), name);
    }
  }

  LimiterFleet m_fleet;
  SeededRandomSource m_random;
  std::size_t m_active;
  std::vector<WorkspaceName> m_names;
  double m_pending_calls = 0;
};

void MeasureLimits(std::size_t active,
                   std::size_t workspaces,
                   std::uint64_t seed) {
  fmt::print("limits: {} active of {} workspaces\n", active, workspaces);
  UniformLoad calls(active, workspaces, seed);
  calls.Run(kSettleTime);
  calls.fleet().network().ResetSentCounters();
  const std::size_t home = calls.HomeOfFirstWorkspace();
  calls.fleet().Kill(home);
  calls.Run(kDetectionTime);
  PrintWindow("home dead, not noticed", calls.fleet().network(),
              kDetectionTime);
  calls.fleet().PublishMembers();
  calls.Print("noticed");
  calls.fleet().Restart(home);
  calls.fleet().PublishMembers();
  calls.Print("replaced");
}

// Every node has quarantine records of `records` suspect requests.
void MeasureQuarantine(std::size_t records, std::uint64_t seed) {
  fmt::print("quarantine: {} records\n", records);
  QuarantineFleet fleet(kNodes, seed);
  fleet.Advance(7s);
  // Creates the records directly at each node, because broadcasting all of them
  // would take too long here.
  for (std::size_t index = 0; index < kNodes; ++index) {
    for (std::uint64_t number = 1; number <= records; ++number)
      fleet.node(index).OnTargetLost(fleet.now(), Fingerprint(number));
  }
  fleet.network().ResetSentCounters();
  fleet.Advance(kFirstWindow);
  PrintWindow("nothing happens", fleet.network(), kFirstWindow);
  fleet.Kill(0);
  fleet.Advance(kDetectionTime);
  fleet.PublishMembers();
  fleet.network().ResetSentCounters();
  fleet.Restart(0);
  fleet.PublishMembers();
  fleet.Advance(kFirstWindow);
  PrintWindow("a node is replaced", fleet.network(), kFirstWindow);
  fleet.network().SetFrozen(1, true);
  fleet.PublishMembers(true);
  fleet.Advance(kDetectionTime);
  fleet.network().SetFrozen(1, false);
  fleet.network().ResetSentCounters();
  fleet.PublishMembers();
  fleet.Advance(kFirstWindow);
  PrintWindow("a node comes back", fleet.network(), kFirstWindow);
  fleet.Advance(kDetectionTime);
  PrintWindow("then", fleet.network(), kDetectionTime);
}

}  // namespace
}  // namespace bulrushmount

int main(int argc, char** argv) {
  using namespace bulrushmount;
  const std::uint64_t seed = argc > 1 ? std::stoull(argv[1]) : kDefaultSeed;
  fmt::print("seed {}, {} nodes\n{:28} {:>6} {:>12} {:>12}\n", seed, kNodes, "",
             "s", "bytes/s", "most bytes/s");
  MeasureQuarantine(100, seed);
  MeasureLimits(1, 1, seed);
  MeasureLimits(200, 2000, seed);
  return 0;
}
