// Tests of `core/contracts/config_table_reader.h`.

#include "core/contracts/config_table_reader.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "unit_tests/core/contracts/config_fleet.h"
#include "unit_tests/core/contracts/contract_texts.h"

namespace bulrushmount {
namespace {

// Guards against a configuration that mixes two revisions. The revision row is
// read, two contracts change, and their rows are read, one before and one after
// its change, as the table returns one row at a time.
RC_GTEST_PROP(ConfigTableReaderProperty, NeverMixesConfigurations, ()) {
  HistoryTable table;
  SeededRandomSource random(*rc::gen::arbitrary<std::uint64_t>());
  ContractWriter writer(ContractWriterSettings{}, table, random,
                        [](TimePoint, const ConfigChange&) {});
  const auto write = [&] {
    const auto workspace = *rc::gen::element<std::string>("a", "b", "c", "d");
    writer.Handle(TimePoint{},
                  WriteRequest(workspace, 1, table.VersionOf(workspace)),
                  [](TimePoint, const AnswerOperator&) {});
  };
  for (int i = *rc::gen::inRange(1, 6); i > 0; --i) {
    write();
    table.fake().DeliverAll(TimePoint{});
  }

  // Further writers are at an arbitrary point between their reads and commit.
  for (int i = *rc::gen::inRange(0, 8); i > 0; --i) {
    write();
    if (*rc::gen::arbitrary<bool>())
      table.fake().DeliverNext(TimePoint{});
  }

  ConfigTableReader reader(table);
  const Revision since(
      *rc::gen::inRange<std::uint64_t>(0, table.revision().value() + 1));
  std::optional<ConfigReadResult> result;
  reader.Read(since, [&](TimePoint, ConfigReadResult given) {
    result = std::move(given);
  });
  while (!result.has_value()) {
    if (*rc::gen::inRange(0, 3) == 0)
      write();
    table.fake().DeliverNext(TimePoint{});
  }
  RC_PRE(result->is_ok);
  if (!result->batch.has_value())
    return;
  ConfigBatch expected = table.Replay(result->batch->to);
  expected.since = since;
  std::erase_if(expected.changes, [since](const ConfigChange& change) {
    return change.revision.value() <= since.value();
  });
  RC_ASSERT(*result->batch == expected);
}

// Guards against a node that returns to an older configuration after an
// operator of the platform has restored a backup of the table.
TEST(ConfigTableReaderTest, IgnoresATableWithAnOlderRevision) {
  HistoryTable table;
  ConfigTableReader reader(table);
  std::optional<ConfigReadResult> result;
  reader.Read(Revision(5), [&](TimePoint, ConfigReadResult given) {
    result = std::move(given);
  });
  table.fake().DeliverAll(TimePoint{});
  ASSERT_TRUE(result.has_value());
  EXPECT_FALSE(result->is_ok);
}

}  // namespace
}  // namespace bulrushmount
