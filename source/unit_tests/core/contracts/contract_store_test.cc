// Tests of `core/contracts/contract_store.h`.

#include "core/contracts/contract_store.h"

#include <algorithm>
#include <map>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "core/contracts/config_codec.h"
#include "unit_tests/core/contracts/contract_texts.h"

namespace bulrushmount {
namespace {

ConfigChange Written(const std::string& workspace,
                     std::uint64_t revision,
                     double rate) {
  return ConfigChange{WorkspaceName(workspace), Revision(revision),
                      ChangeId(revision), false,
                      MakeContractText(workspace, rate)};
}

ConfigBatch Snapshot(std::vector<ConfigChange> changes) {
  const Revision to = changes.back().revision;
  return ConfigBatch{Revision(0), to, std::move(changes)};
}

struct MatchCase {
  std::string name;
  std::string workspace;
  std::string service;
  std::string method;
  std::string target;
  // The kind's name, or the reason's token.
  std::string expected;
};

class MatchKindTest : public testing::TestWithParam<MatchCase> {};

std::string Describe(const KindMatchResult& result) {
  if (const auto* const match = std::get_if<MatchedKind>(&result))
    return match->kind->name.value();
  return std::string(TraitsOf(std::get<Reason>(result)).token);
}

TEST_P(MatchKindTest, FindsTheFirstKindOrReportsWhatIsUnknown) {
  ContractStore store;
  ConfigChange gone{WorkspaceName("gone"), Revision(2), ChangeId(2), true, ""};
  ConfigChange odd{WorkspaceName("odd"), Revision(3), ChangeId(3), false,
                   "from: the future"};
  ConfigChange budget{WorkspaceName(kMeasurementWorkspace), Revision(4),
                      ChangeId(4), false,
                      "workspace: measurement\nbudgets:\n  - {service: desk, "
                      "probes_per_second: 1, probes_in_flight: 1}\n"};
  store.Apply(TimePoint{},
              Snapshot({Written("studio", 1, 10), gone, odd, budget}));
  const MatchCase& test = GetParam();
  EXPECT_EQ(Describe(store.MatchKind(WorkspaceName(test.workspace),
                                     ServiceName(test.service), test.method,
                                     test.target)),
            test.expected);
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    MatchKindTest,
    testing::Values(
        MatchCase{"Prefix", "studio", "desk", "GET", "/scripts/1", "browse"},
        MatchCase{"First", "studio", "desk", "POST", "/scripts", "other"},
        MatchCase{"Query", "studio", "desk", "GET", "/scripts?a=/b", "browse"},
        MatchCase{"QueryIsNoPath", "studio", "desk", "GET", "/?/scripts",
                  "unknown-kind"},
        MatchCase{"NoPath", "studio", "desk", "GET", "/x", "unknown-kind"},
        MatchCase{"NoService", "studio", "vault", "GET", "/scripts",
                  "unknown-service"},
        MatchCase{"NoWorkspace", "nobody", "desk", "GET", "/scripts",
                  "unknown-workspace"},
        MatchCase{"Withdrawn", "gone", "desk", "GET", "/scripts",
                  "unknown-workspace"},
        MatchCase{"Measurement", "measurement", "desk", "GET", "/scripts",
                  "unknown-workspace"},
        MatchCase{"Unreadable", "odd", "desk", "GET", "/scripts",
                  "configuration-unknown"}),
    [](const auto& info) { return info.param.name; });

TEST(ContractStoreTest, ConfigurationIsUnknownAtFirst) {
  ContractStore store;
  EXPECT_EQ(Describe(store.MatchKind(WorkspaceName("a"), ServiceName("b"),
                                     "GET", "/")),
            "configuration-unknown");
  store.SetKnownEmpty();
  EXPECT_EQ(Describe(store.MatchKind(WorkspaceName("a"), ServiceName("b"),
                                     "GET", "/")),
            "unknown-workspace");
}

class RecordingListener : public ContractListener {
 public:
  void OnContractChanged(TimePoint now,
                         const WorkspaceName& workspace,
                         const Contract* contract) override {
    seen.push_back(workspace.value() + (contract != nullptr ? "+" : "-"));
  }

  std::vector<std::string> seen;
};

TEST(ContractStoreTest, NotifiesListenersOfChanges) {
  ContractStore store;
  RecordingListener listener;
  store.AddListener(&listener);
  store.Apply(TimePoint{}, Snapshot({Written("a", 1, 1), Written("b", 2, 1)}));
  store.Apply(
      TimePoint{},
      ConfigBatch{Revision(2),
                  Revision(3),
                  {{WorkspaceName("a"), Revision(3), ChangeId(3), true, ""}}});
  EXPECT_EQ(listener.seen, (std::vector<std::string>{"a+", "b+", "a-"}));
}

// Guards against a withdrawn contract that becomes active again on some nodes:
// revision 2 withdraws it, and a late batch contains revision 1 or a batch with
// a gap skips revision 2.
TEST(ContractStoreTest, RefusesStaleBatchesAndGaps) {
  ContractStore store;
  const ConfigBatch first = Snapshot({Written("a", 1, 1)});
  const ConfigBatch withdrawal{
      Revision(1),
      Revision(2),
      {{WorkspaceName("a"), Revision(2), ChangeId(2), true, ""}}};
  EXPECT_EQ(store.Apply(TimePoint{}, withdrawal), ApplyResult::kGap);
  EXPECT_EQ(store.Apply(TimePoint{}, first), ApplyResult::kApplied);
  EXPECT_EQ(store.Apply(TimePoint{}, withdrawal), ApplyResult::kApplied);
  EXPECT_EQ(store.Apply(TimePoint{}, first), ApplyResult::kStale);
  EXPECT_EQ(store.Find(WorkspaceName("a")), nullptr);
  EXPECT_EQ(store.revision(), Revision(2));
}

// Comparison with a naive model: the list of all changes, replayed up to the
// revision in force. The store receives random batches, and its own batches are
// compared with the replay.
RC_GTEST_PROP(ContractStoreProperty, EqualsTheReplayOfItsRevision, ()) {
  const auto length = *rc::gen::inRange(1, 12);
  std::vector<ConfigChange> history;
  for (int i = 1; i <= length; ++i) {
    const auto workspace = *rc::gen::element<std::string>("a", "b", "c");
    ConfigChange change = Written(workspace, i, i);
    if (*rc::gen::inRange(0, 3) == 0)
      change = {change.workspace, change.revision, change.change_id, true, ""};
    history.push_back(change);
  }
  const auto replay = [&](std::uint64_t since, std::uint64_t to) {
    std::map<std::string, ConfigChange> last;
    for (const ConfigChange& change : history) {
      if (change.revision.value() <= to)
        last[change.workspace.value()] = change;
    }
    ConfigBatch batch{Revision(since), Revision(to), {}};
    for (const auto& [workspace, change] : last) {
      if (change.revision.value() > since)
        batch.changes.push_back(change);
    }
    std::ranges::sort(batch.changes, {}, [](const ConfigChange& change) {
      return change.revision.value();
    });
    return batch;
  };

  ContractStore store;
  for (int step = 0; step < 20; ++step) {
    const std::uint64_t before = store.revision().value();
    const auto to = *rc::gen::inRange<std::uint64_t>(0, length + 1);
    const auto since = *rc::gen::inRange<std::uint64_t>(0, to + 1);
    const ApplyResult result = store.Apply(TimePoint{}, replay(since, to));
    RC_ASSERT((result == ApplyResult::kApplied) ==
              (since <= before && to > before));
    RC_ASSERT(store.revision().value() >= before);
    const auto asked = *rc::gen::inRange<std::uint64_t>(0, length + 1);
    if (asked <= store.revision().value()) {
      const ConfigBatch batch = store.ChangesSince(Revision(asked));
      RC_ASSERT(batch == replay(asked, store.revision().value()));
      RC_ASSERT(DecodeBatch(EncodeBatch(batch)) == batch);
    }
  }
}

}  // namespace
}  // namespace bulrushmount
