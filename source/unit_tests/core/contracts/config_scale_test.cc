// Configuration changes at the intended fleet size of 1,100 nodes: in force
// everywhere within 5 s, with a bound on the reads of the table. Runs in
// virtual time, so the figures do not depend on the machine.

#include <algorithm>

#include <gtest/gtest.h>

#include "core/contracts/config_table_reader.h"
#include "unit_tests/core/contracts/config_fleet.h"

namespace bulrushmount {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kNodes = 1'100;
// Peers known to each node. A real node knows all of them; a sample keeps the
// test small and is the harder case.
constexpr std::size_t kKnownPeers = 30;
constexpr Duration kTick = milliseconds(5);

// The bound that the settings guarantee while no peer serves any node.
const auto kMaxFetchReads = static_cast<std::size_t>(
    ConfigSyncSettings{}.fleet_fetches_per_second * (1 + kMaxSingleReads));

struct ScaleCase {
  std::string name;
  // All configuration datagrams are lost; gossip still reports the change.
  bool are_peers_silent = false;
  // The node that wrote the change fails before it notifies any other.
  bool is_writer_lost = false;
  // Maximum table reads in any second.
  std::size_t max_reads_per_second = 0;
};

class ConfigScaleTest : public testing::TestWithParam<ScaleCase> {
 protected:
  // Advances the time and records the reads of each second.
  void Tick() {
    m_fleet.Advance(kTick);
    if (m_fleet.now - m_second_began < seconds(1))
      return;
    const std::size_t reads = m_fleet.table.fake().reads();
    m_max_reads = std::max(m_max_reads, reads - m_reads_before);
    m_reads_before = reads;
    m_second_began = m_fleet.now;
  }

  void Run(Duration duration) {
    for (const TimePoint end = m_fleet.now + duration; m_fleet.now < end;)
      Tick();
  }

  void Introduce() {
    for (std::size_t i = 0; i < kNodes; ++i) {
      m_fleet.nodes[i]->sync->SetMemberCount(m_fleet.now, kNodes);
      for (std::size_t j = 0; j < kKnownPeers; ++j)
        m_fleet.Introduce(i, m_fleet.random.Index(kNodes));
    }
  }

  // Simplified gossip: each node learns of the writer's revision within a
  // second, unless it already has it.
  void Gossip() {
    for (int i = 0; i < 200; ++i) {
      Tick();
      for (std::size_t node = static_cast<std::size_t>(i); node < kNodes;
           node += 200)
        m_fleet.Introduce(node, 0);
    }
  }

  ConfigFleet m_fleet{kNodes, 7};
  TimePoint m_second_began = m_fleet.now;
  std::size_t m_reads_before = 0;
  std::size_t m_max_reads = 0;
};

TEST_P(ConfigScaleTest, IsInForceEverywhereWithinFiveSeconds) {
  Run(seconds(3));
  Introduce();
  Run(seconds(10));
  EXPECT_LE(m_max_reads, 2'000u) << "all nodes started at once";
  RecordProperty("reads_a_second_at_start", static_cast<int>(m_max_reads));
  m_max_reads = 0;

  m_fleet.loss = GetParam().are_peers_silent ? 1 : 0.01;
  const TimePoint written = m_fleet.now;
  m_fleet.Write(0, "studio", 1);
  m_fleet.nodes[0]->is_cut = GetParam().is_writer_lost;
  if (GetParam().are_peers_silent)
    Gossip();
  while (m_fleet.CountInForce(Revision(1)) < kNodes &&
         m_fleet.now - written < seconds(10))
    Tick();
  const double spread = ToSeconds(m_fleet.now - written);
  Run(seconds(2));
  EXPECT_EQ(m_fleet.CountInForce(Revision(1)), kNodes);
  EXPECT_LE(spread, 5.0);
  EXPECT_LE(m_max_reads, GetParam().max_reads_per_second);
  RecordProperty("spread_ms", static_cast<int>(spread * 1000));
  RecordProperty("reads_a_second", static_cast<int>(m_max_reads));
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    ConfigScaleTest,
    testing::Values(ScaleCase{"Healthy", false, false, 20},
                    ScaleCase{"PeersSilent", true, false, kMaxFetchReads},
                    ScaleCase{"WriterLost", false, true, 20}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace bulrushmount
