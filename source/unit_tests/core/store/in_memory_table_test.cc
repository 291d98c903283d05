// Compares InMemoryTable with a naive model over random command sequences.

#include "core/store/in_memory_table.h"

#include <algorithm>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace bulrushmount {
namespace {

// One unsorted list of rows; every query examines all of them.
class NaiveTable {
 public:
  std::vector<Row> Matching(const std::string& prefix) const {
    std::vector<Row> rows;
    for (const Row& row : m_rows) {
      if (row.key.substr(0, prefix.size()) == prefix) {
        rows.push_back(row);
      }
    }
    std::sort(rows.begin(), rows.end(), [](const Row& left, const Row& right) {
      return left.key < right.key;
    });
    return rows;
  }

  RowVersion VersionOf(const std::string& key) const {
    for (const Row& row : m_rows) {
      if (row.key == key) {
        return row.version;
      }
    }
    return kNoRow;
  }

  bool Holds(const std::vector<RowCondition>& conditions) const {
    return std::all_of(conditions.begin(), conditions.end(),
                       [this](const RowCondition& condition) {
                         return VersionOf(condition.key) == condition.version;
                       });
  }

  void Delete(const std::string& key) {
    std::erase_if(m_rows, [&](const Row& row) { return row.key == key; });
  }

  void Put(const Row& row) {
    Delete(row.key);
    m_rows.push_back(row);
  }

 private:
  std::vector<Row> m_rows;
};

std::string AnyKey() {
  return *rc::gen::element<std::string>("", "a", "ab", "b", "b\xff", "c");
}

// The current version, a version that never existed, or kNoRow.
RowVersion AnyVersion(const NaiveTable& naive, const std::string& key) {
  const RowVersion current = naive.VersionOf(key);
  return *rc::gen::element(current, current, kNoRow, RowVersion{1000000});
}

TableTransact AnyTransact(const NaiveTable& naive) {
  TableTransact transact;
  const int condition_count = *rc::gen::inRange(0, 3);
  for (int index = 0; index < condition_count; ++index) {
    const std::string key = AnyKey();
    transact.conditions.push_back({key, AnyVersion(naive, key)});
  }
  const int put_count = *rc::gen::inRange(0, 3);
  for (int index = 0; index < put_count; ++index) {
    transact.puts.push_back({AnyKey(), *rc::gen::arbitrary<std::string>()});
  }
  if (*rc::gen::inRange(0, 4) == 0) {
    transact.deletes.push_back(AnyKey());
  }
  return transact;
}

void ApplyToNaive(const TableTransact& transact,
                  const TableReply& reply,
                  NaiveTable& naive) {
  for (std::size_t index = 0; index < transact.puts.size(); ++index) {
    const RowPut& put = transact.puts[index];
    naive.Put({put.key, put.value, reply.rows[index].version});
  }
  for (const std::string& key : transact.deletes) {
    naive.Delete(key);
  }
}

RC_GTEST_PROP(InMemoryTableTest, AgreesWithNaiveTable, ()) {
  InMemoryTable table;
  NaiveTable naive;
  RowVersion highest = kNoRow;
  const int step_count = *rc::gen::inRange(1, 40);
  for (int step = 0; step < step_count; ++step) {
    const TableTransact transact = AnyTransact(naive);
    const TableReply reply = table.Apply(transact);
    if (!naive.Holds(transact.conditions)) {
      RC_ASSERT(reply.status == TableStatus::kConditionFailed);
    } else {
      RC_ASSERT(reply.status == TableStatus::kOk);
      RC_ASSERT(reply.rows.size() == transact.puts.size());
      for (const Row& row : reply.rows) {
        RC_ASSERT(row.version.value() > highest.value());
        highest = row.version;
      }
      ApplyToNaive(transact, reply, naive);
    }
    const std::string prefix = AnyKey();
    RC_ASSERT(table.Apply(TableScan{prefix}).rows == naive.Matching(prefix));
  }
}

TEST(InMemoryTableTest, FailedConditionsReturnTheCurrentRows) {
  InMemoryTable table;
  table.Apply(TableTransact{{}, {{"a", "1"}, {"b", "2"}}, {}});
  const Row current = table.Apply(TableGet{"a"}).rows.at(0);
  const RowVersion version_of_b = table.Apply(TableGet{"b"}).rows.at(0).version;
  const TableReply reply = table.Apply(
      TableTransact{{{"a", kNoRow}, {"b", version_of_b}, {"c", RowVersion{7}}},
                    {{"d", "4"}},
                    {}});
  EXPECT_EQ(reply.status, TableStatus::kConditionFailed);
  EXPECT_EQ(reply.rows, std::vector<Row>{current});
  EXPECT_TRUE(table.Apply(TableGet{"d"}).rows.empty());
}

}  // namespace
}  // namespace bulrushmount
