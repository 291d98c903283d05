// Tests fleets whose routing document withdraws, adds and moves keys of
// workspaces.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <sstream>
#include <string>
#include <variant>
#include <vector>

#include <gtest/gtest.h>

#include "core/contracts/operator_document_reader.h"
#include "unit_tests/core/node_logic/fleet.h"

namespace bulrushmount {
namespace {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using testing::Fleet;
using testing::FleetOptions;

constexpr std::uint64_t kSeed = 20261205;
constexpr std::size_t kNodes = 87;
constexpr std::size_t kZones = 3;
// Time from the commit until a document is in force at connected nodes.
constexpr Duration kApplyTime = 2500ms;
constexpr Duration kMaxUnconfirmed = 5s;

// Decodes "VERSION KEY:WORKSPACE KEY:WORKSPACE ...".
class KeyDocumentDecoder : public RouteDocumentDecoder {
 public:
  std::variant<RouteDocument, RouteDocumentFault> Decode(
      std::string_view text) const override {
    std::istringstream words{std::string(text)};
    std::uint64_t version = 0;
    if (!(words >> version))
      return RouteDocumentFault{"no version"};
    Route read;
    read.name = KindName("read");
    read.host = "desk.example";
    read.path_prefix = "/read/";
    read.is_repeatable = true;
    read.timeout = 1s;
    read.latency_objective = 500ms;
    read.max_attempts = 2;
    read.shares = {{ServiceName("desk"), 1}};
    RouteConfig config;
    config.routes = {read};
    config.services = {{ServiceName("desk"), "/health", 100}};
    config.workspaces.emplace();
    for (std::string word; words >> word;) {
      const std::size_t colon = word.find(':');
      Workspace workspace;
      workspace.name = WorkspaceName(word.substr(colon + 1));
      workspace.keys = {KeyDigest::Of(word.substr(0, colon))};
      config.workspaces->push_back(std::move(workspace));
    }
    return RouteDocument{Revision(version), std::move(config)};
  }
};

class WorkspaceKeysTest : public ::testing::Test {
 protected:
  explicit WorkspaceKeysTest(std::optional<Duration> max_unconfirmed = {})
      : m_fleet(Options(m_decoder, max_unconfirmed), kSeed) {
    m_fleet.Run(8s);
  }

  static FleetOptions Options(const RouteDocumentDecoder& decoder,
                              std::optional<Duration> max_unconfirmed) {
    FleetOptions options;
    options.services.assign(kNodes, "desk");
    options.zones = kZones;
    options.keeps_addresses = true;
    options.decoder = &decoder;
    options.document = "1 a:one b:one c:two";
    options.settings.has_route_document = true;
    options.settings.refusals_cost_no_retry = true;
    options.settings.do_entries_evaluate_errors = true;
    options.settings.directory_interval = std::chrono::minutes(10);
    options.settings.max_unconfirmed_document = max_unconfirmed;
    return options;
  }

  // Returns the reason of the refusal, or kNone if the key is accepted.
  Reason Send(std::size_t node, const std::string& key) {
    CallHead head = m_fleet.MakeHead("", "GET", "/read/1");
    head.host = "desk.example";
    head.key = KeyDigest::Of(key);
    const std::size_t call = m_fleet.Send(node, std::move(head));
    const Reason reason = m_fleet.calls()[call].reason;
    m_fleet.Abandon(call);
    return reason;
  }

  // Returns the number of nodes whose verdict on the key is this one.
  std::size_t CountOf(const std::string& key, Reason reason) {
    std::size_t count = 0;
    for (std::size_t node = 0; node < m_fleet.size(); ++node)
      count += Send(node, key) == reason ? 1 : 0;
    return count;
  }

  void RefuseAtTable(bool is_refused) {
    for (std::size_t node = 0; node < kNodes; ++node)
      m_fleet.RefuseAtTable(node, is_refused);
  }

  KeyDocumentDecoder m_decoder;
  Fleet m_fleet;
};

// Failure: nodes still accept a withdrawn key, or refuse an added one, after
// config_apply_s. Six changes in 30 s.
TEST_F(WorkspaceKeysTest, EveryNodeFollowsEachChangeInTime) {
  struct Change {
    const char* name;
    const char* document;
    std::vector<const char*> accepted;
    std::vector<const char*> refused;
  };
  const std::vector<Change> changes = {
      {"KeyWithdrawn", "2 b:one c:two", {"b", "c"}, {"a"}},
      {"KeyAdded", "3 b:one c:two d:two", {"b", "c", "d"}, {"a"}},
      {"KeyMoved", "4 b:two c:two d:two", {"b", "c", "d"}, {"a"}},
      {"LastKeyWithdrawn", "5 b:one", {"b"}, {"a", "c", "d"}},
      {"KeyReturned", "6 a:one b:one", {"a", "b"}, {"c", "d"}},
      {"NoWorkspaces", "7", {}, {"a", "b", "c", "d"}}};
  for (const Change& change : changes) {
    SCOPED_TRACE(change.name);
    m_fleet.WriteDocument(change.document);
    m_fleet.Run(kApplyTime);
    for (const char* const key : change.accepted)
      EXPECT_EQ(CountOf(key, Reason::kNone), kNodes) << key;
    for (const char* const key : change.refused)
      EXPECT_EQ(CountOf(key, Reason::kUnknownKey), kNodes) << key;
    m_fleet.Run(kApplyTime);
  }
}

// Guards against nodes that miss a change because the table rejects them.
TEST_F(WorkspaceKeysTest, NodesRejectedByTheTableFollowThroughPeers) {
  for (std::size_t node = 0; node < kNodes; node += 3)
    m_fleet.RefuseAtTable(node, true);
  m_fleet.Run(10s);
  m_fleet.WriteDocument("2 b:one c:two");
  m_fleet.Run(kApplyTime);
  EXPECT_EQ(CountOf("a", Reason::kUnknownKey), kNodes);
  EXPECT_EQ(CountOf("b", Reason::kNone), kNodes);
}

// Failure: the responses of all watches to a change are lost, and the watches
// report nothing until they end after 25 s. In a fleet of four, all nodes
// watch.
TEST(SmallFleetKeysTest, AWithdrawalIsFoundWithoutWatches) {
  const KeyDocumentDecoder decoder;
  FleetOptions options;
  options.services.assign(4, "desk");
  options.decoder = &decoder;
  options.document = "1 a:one";
  options.settings.has_route_document = true;
  Fleet fleet(options, kSeed);
  fleet.Run(8s);
  // Changes the row without a response to open watches.
  TableTransact document;
  document.puts = {{kOperatorDocumentRow, "2 b:one"}};
  fleet.table().table().Apply(document);
  fleet.Run(10s);
  for (std::size_t node = 0; node < fleet.size(); ++node) {
    CallHead head = fleet.MakeHead("", "GET", "/read/1");
    head.host = "desk.example";
    head.key = KeyDigest::Of("a");
    const std::size_t call = fleet.Send(node, std::move(head));
    EXPECT_EQ(fleet.calls()[call].reason, Reason::kUnknownKey) << node;
  }
}

// Guards against 401 for a valid key at nodes that have just started, and
// against nodes that start with an older document.
TEST_F(WorkspaceKeysTest, RestartedNodesNeverRefuseAValidKeyAsUnknown) {
  m_fleet.WriteDocument("2 b:one c:two");
  m_fleet.Run(kApplyTime);
  for (std::size_t node = 0; node < kNodes * 6 / 10; ++node)
    m_fleet.Kill(node);
  for (const TimePoint end = m_fleet.now() + 6s; m_fleet.now() < end;) {
    m_fleet.Run(100ms);
    for (std::size_t node = 0; node < kNodes; ++node) {
      if (m_fleet.has_exited(node))
        continue;
      EXPECT_NE(Send(node, "b"), Reason::kUnknownKey) << node;
      EXPECT_NE(Send(node, "a"), Reason::kNone) << node;
    }
  }
  EXPECT_EQ(CountOf("b", Reason::kNone), kNodes);
}

// Guards against withdrawn keys that return with an older copy of the table.
TEST_F(WorkspaceKeysTest, ARestoredTableReturnsNoKey) {
  const InMemoryTable copy = m_fleet.table().table();
  m_fleet.WriteDocument("2 b:one c:two");
  m_fleet.Run(kApplyTime);
  m_fleet.RestoreTable(copy);
  m_fleet.Run(5s);
  EXPECT_EQ(CountOf("a", Reason::kUnknownKey), kNodes);
  EXPECT_EQ(CountOf("b", Reason::kNone), kNodes);
}

// Failure: the table is restored from an older copy, and nodes are restarted. A
// new process accepts withdrawn keys, and refuses valid ones, until its peers
// have reported the newer document.
TEST_F(WorkspaceKeysTest, NodesRestartedAfterARestoreReturnNoKey) {
  const InMemoryTable copy = m_fleet.table().table();
  m_fleet.WriteDocument("2 b:one d:two");
  m_fleet.Run(kApplyTime);
  m_fleet.RestoreTable(copy);
  m_fleet.Run(1s);
  for (std::size_t node = 0; node < kNodes * 6 / 10; ++node)
    m_fleet.Kill(node);
  std::size_t wrong = 0;
  for (const TimePoint end = m_fleet.now() + 6s; m_fleet.now() < end;) {
    m_fleet.Run(50ms);
    for (std::size_t node = 0; node < kNodes; ++node) {
      if (m_fleet.has_exited(node))
        continue;
      wrong += Send(node, "a") == Reason::kNone ? 1 : 0;
      wrong += Send(node, "d") == Reason::kUnknownKey ? 1 : 0;
    }
  }
  EXPECT_EQ(wrong, 0U);
  EXPECT_EQ(CountOf("d", Reason::kNone), kNodes);
}

// Guards against a fleet that starts together and waits for its peers' reports
// until the time limit.
TEST_F(WorkspaceKeysTest, AFleetThatStartsTogetherServesSoon) {
  m_fleet.RestartAll(500ms);
  EXPECT_TRUE(m_fleet.RunUntil(
      [this] { return CountOf("a", Reason::kNone) == kNodes; }, 4s));
}

// Guards against a faulty document that withdraws or adds keys.
TEST_F(WorkspaceKeysTest, AFaultyDocumentChangesNothing) {
  m_fleet.WriteDocument("bad b:one");
  m_fleet.Run(kApplyTime);
  EXPECT_EQ(CountOf("a", Reason::kNone), kNodes);
  m_fleet.WriteDocument("3 b:one");
  m_fleet.Run(kApplyTime);
  EXPECT_EQ(CountOf("a", Reason::kUnknownKey), kNodes);
}

// The default: an isolated node serves with the document that it has, and
// follows when it is connected again.
TEST_F(WorkspaceKeysTest, AnIsolatedNodeServesAndFollowsLater) {
  constexpr std::size_t node = 10;
  m_fleet.SetGossipLost(node, true);
  m_fleet.RefuseAtTable(node, true);
  m_fleet.WriteDocument("2 b:one c:two");
  m_fleet.Run(12s);
  EXPECT_EQ(Send(node, "a"), Reason::kNone);
  EXPECT_EQ(CountOf("a", Reason::kUnknownKey), kNodes - 1);
  m_fleet.SetGossipLost(node, false);
  m_fleet.RefuseAtTable(node, false);
  m_fleet.Run(3s);
  EXPECT_EQ(CountOf("a", Reason::kUnknownKey), kNodes);
}

class StrictKeysTest : public WorkspaceKeysTest {
 protected:
  StrictKeysTest() : WorkspaceKeysTest(kMaxUnconfirmed) {}
};

// Failure: healthy nodes refuse valid keys, since nothing confirms the document
// while it does not change.
TEST_F(StrictKeysTest, AnIdleFleetServesAllRequests) {
  for (const TimePoint end = m_fleet.now() + 40s; m_fleet.now() < end;) {
    m_fleet.Run(200ms);
    EXPECT_EQ(CountOf("a", Reason::kNone), kNodes);
  }
}

// Failure: a node that may have missed a withdrawal continues to serve the key.
TEST_F(StrictKeysTest, AnIsolatedNodeRefusesKeysInTime) {
  constexpr std::size_t node = 10;
  m_fleet.SetGossipLost(node, true);
  m_fleet.RefuseAtTable(node, true);
  m_fleet.Run(kMaxUnconfirmed + 1ms);
  EXPECT_EQ(Send(node, "a"), Reason::kConfigurationUnknown);
  EXPECT_EQ(Send(node, "unknown"), Reason::kConfigurationUnknown);
  EXPECT_EQ(CountOf("a", Reason::kNone), kNodes - 1);
  m_fleet.SetGossipLost(node, false);
  m_fleet.RefuseAtTable(node, false);
  m_fleet.Run(3s);
  EXPECT_EQ(CountOf("a", Reason::kNone), kNodes);
}

// Guards against nodes that confirm the document to each other without the
// table, and against a fleet that does not recover.
TEST_F(StrictKeysTest, WithoutTheTableNoNodeServesKeys) {
  RefuseAtTable(true);
  // An open watch is answered once more.
  m_fleet.Run(kMaxUnconfirmed + 2s);
  EXPECT_EQ(CountOf("a", Reason::kConfigurationUnknown), kNodes);
  RefuseAtTable(false);
  m_fleet.Run(kMaxUnconfirmed);
  EXPECT_EQ(CountOf("a", Reason::kNone), kNodes);
}

// Failure: a node that was frozen serves withdrawn keys when it resumes, before
// it knows of the withdrawal.
TEST_F(StrictKeysTest, AFrozenNodeServesNoKeyBeforeItIsConfirmed) {
  constexpr std::size_t node = 10;
  m_fleet.Freeze(node);
  m_fleet.Run(200ms);
  m_fleet.WriteDocument("2 b:one c:two");
  m_fleet.Run(kMaxUnconfirmed);
  m_fleet.Resume(node);
  EXPECT_NE(Send(node, "a"), Reason::kNone);
  m_fleet.Run(3s);
  EXPECT_EQ(CountOf("a", Reason::kUnknownKey), kNodes);
  EXPECT_EQ(CountOf("b", Reason::kNone), kNodes);
}

}  // namespace
}  // namespace bulrushmount
