// Tests of `core/contracts/contract_writer.h` over the fake table.

#include "core/contracts/contract_writer.h"

#include <algorithm>
#include <deque>

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "core/contracts/config_codec.h"
#include "unit_tests/core/contracts/config_fleet.h"
#include "unit_tests/core/contracts/contract_texts.h"
#include "unit_tests/core/store/fake_table_service.h"

namespace bulrushmount {
namespace {

using std::chrono::milliseconds;
using testing::HasSubstr;

// One writer with its own table and clock.
class WriterFixture {
 public:
  // Runs until the request is answered; without an answer the status is 0.
  AnswerOperator Ask(const OperatorRequested& request) {
    AnswerOperator answer;
    writer.Handle(now, request, [&](TimePoint, AnswerOperator given) {
      answer = std::move(given);
    });
    for (int step = 0; step < 1'000 && answer.status == 0; ++step) {
      if (table.DeliverNext(now))
        continue;
      now = std::max(now, writer.NextWakeup());
      writer.OnTimer(now);
    }
    return answer;
  }

  AnswerOperator Write(const std::string& workspace,
                       double rate,
                       RowVersion if_version = kNoRow) {
    return Ask(WriteRequest(workspace, rate, if_version));
  }
  AnswerOperator Withdraw(const std::string& workspace, RowVersion if_version) {
    return Ask(WithdrawRequest(workspace, if_version));
  }
  AnswerOperator Show(const std::string& workspace) {
    return Ask({OperatorRequestId(1), OperatorVerb::kShow,
                WorkspaceName(workspace), "", kNoRow});
  }

  TimePoint now;
  FakeTableService table;
  SeededRandomSource random{1};
  std::vector<ConfigChange> committed;
  ContractWriter writer{
      ContractWriterSettings{}, table, random,
      [this](TimePoint, const ConfigChange& c) { committed.push_back(c); }};
};

class ContractWriterTest : public testing::Test, protected WriterFixture {};

TEST_F(ContractWriterTest, WritesShowsListsAndWithdraws) {
  const AnswerOperator created = Write("a", 1);
  EXPECT_EQ(created.status, 200);
  EXPECT_EQ(Show("a").body, MakeContractText("a", 1));
  EXPECT_EQ(Show("a").version, created.version);
  const AnswerOperator changed = Write("a", 2, created.version);
  EXPECT_EQ(changed.status, 200);
  EXPECT_THAT(changed.body, HasSubstr("\"revision\":2"));
  const AnswerOperator list =
      Ask({OperatorRequestId(1), OperatorVerb::kList, {}, "", kNoRow});
  EXPECT_THAT(list.body, HasSubstr("\"workspace\":\"a\""));
  EXPECT_EQ(Withdraw("a", changed.version).status, 200);
  EXPECT_EQ(Show("a").status, 404);
  EXPECT_EQ(Withdraw("a", changed.version).status, 404);
  EXPECT_EQ(Write("a", 3).status, 200);
  EXPECT_EQ(committed.size(), 4u);
  EXPECT_EQ(committed.back().revision, Revision(4));
}

TEST_F(ContractWriterTest, ReportsTheCurrentVersionOnAConflict) {
  const RowVersion first = Write("a", 1).version;
  const RowVersion second = Write("a", 2, first).version;
  for (const RowVersion stale : {first, kNoRow, RowVersion(999)}) {
    const AnswerOperator answer = Write("a", 3, stale);
    EXPECT_EQ(answer.status, 412);
    EXPECT_EQ(answer.version, second);
    EXPECT_EQ(Withdraw("a", stale).status, 412);
  }
  EXPECT_EQ(Write("b", 1, first).status, 412);
}

TEST_F(ContractWriterTest, ListsAllFaultsOfTheText) {
  const AnswerOperator answer =
      Ask({OperatorRequestId(7), OperatorVerb::kWrite, WorkspaceName("a"),
           "workspace: a\nfoo: 1\n", kNoRow});
  EXPECT_EQ(answer.status, 400);
  EXPECT_EQ(answer.request, OperatorRequestId(7));
  EXPECT_THAT(answer.body, HasSubstr("unknown key 'foo'"));
  EXPECT_THAT(answer.body, HasSubstr("missing key 'limits'"));
  EXPECT_EQ(table.reads() + table.writes(), 0u);
}

TEST_F(ContractWriterTest, RefusesTheContractOfAnotherWorkspace) {
  const AnswerOperator answer =
      Ask({OperatorRequestId(1), OperatorVerb::kWrite, WorkspaceName("b"),
           MakeContractText("a", 1), kNoRow});
  EXPECT_EQ(answer.status, 400);
}

// Guards against answering "unavailable" although the contract changes, which
// happens if a lost response is treated like a refused connection. The store
// goes down before a read or before the write.
TEST_F(ContractWriterTest, StoreDownMeansNotWritten) {
  for (const std::size_t good_requests : {0u, 1u, 2u}) {
    table.FailNext(TableFault::kNone, good_requests);
    table.FailNext(TableFault::kDown);
    EXPECT_EQ(Write("a", 1).status, 503);
    EXPECT_EQ(Show("a").status, 404);
  }
  table.SetFault(TableFault::kDown);
  EXPECT_EQ(Show("a").status, 503);
}

// Guards against answering 412 to an operator whose own change was committed.
// The table commits, its response is lost, the writer submits again, and the
// condition fails because of the writer's own first submission.
TEST_F(ContractWriterTest, ResolvesALostAnswer) {
  table.FailNext(TableFault::kNone, 2);
  table.FailNext(TableFault::kAnswerLost);
  const AnswerOperator answer = Write("a", 1);
  EXPECT_EQ(answer.status, 200);
  EXPECT_EQ(answer.version, Show("a").version);
  EXPECT_EQ(committed.size(), 1u);
}

TEST_F(ContractWriterTest, ResolvesARequestThatWasLost) {
  table.FailNext(TableFault::kNone, 2);
  table.FailNext(TableFault::kSilent, 3);
  EXPECT_EQ(Write("a", 1).status, 200);
  EXPECT_EQ(committed.size(), 1u);
  EXPECT_EQ(committed.front().revision, Revision(1));
}

// Guards against answering 503 "nothing was written" although the contract is
// in force. The response to the commit is lost, then the store goes down; the
// refused connection of the second attempt does not show the outcome of the
// first.
TEST_F(ContractWriterTest, ReportsUnknownWhenTheStoreGoesDownAfterALostAnswer) {
  table.FailNext(TableFault::kNone, 2);
  table.FailNext(TableFault::kAnswerLost);
  table.SetFault(TableFault::kDown);
  const AnswerOperator answer = Write("a", 1);
  EXPECT_EQ(answer.status, 504);
  EXPECT_THAT(answer.body, HasSubstr("read back with show"));
  EXPECT_GE(now.time_since_epoch(), ContractWriterSettings{}.resolve_limit);
  table.SetFault(TableFault::kNone);
  EXPECT_EQ(Show("a").status, 200);
}

// The response is lost and another operator changes the contract again before
// the writer reads back.
TEST_F(ContractWriterTest, FindsItsChangeUnderALaterOne) {
  table.FailNext(TableFault::kNone, 2);
  table.FailNext(TableFault::kAnswerLost);
  AnswerOperator answer;
  writer.Handle(
      now, WriteRequest("a", 1),
      [&](TimePoint, AnswerOperator given) { answer = std::move(given); });
  table.DeliverAll(now);
  ContractWriter other(ContractWriterSettings{}, table, random,
                       [](TimePoint, const ConfigChange&) {});
  const RowVersion version =
      table.table().Apply(TableGet{"contract/a"}).rows.front().version;
  other.Handle(now, WithdrawRequest("a", version),
               [](TimePoint, const AnswerOperator& given) {
                 EXPECT_EQ(given.status, 200);
               });
  table.DeliverAll(now);
  writer.OnTimer(writer.NextWakeup());
  table.DeliverAll(now);
  EXPECT_EQ(answer.status, 200);
  EXPECT_THAT(answer.body, HasSubstr("changed again since"));
}

// Guards against answering 503 "nothing was written" although the contract
// comes into force later. The response to a transaction in transit is lost,
// reading back finds nothing, the store refuses the next attempt, and the
// transaction arrives. One read does not prove that the transaction has no
// effect.
TEST(ContractWriterLateTest, ReportsUnknownWhileATransactionMayStillArrive) {
  HistoryTable table;
  SeededRandomSource random(1);
  ContractWriter writer(ContractWriterSettings{}, table, random,
                        [](TimePoint, const ConfigChange&) {});
  table.DelayNextTransaction();
  table.RefuseTransactions();
  int status = 0;
  TimePoint now;
  writer.Handle(
      now, WriteRequest("a", 1),
      [&](TimePoint, const AnswerOperator& given) { status = given.status; });
  for (int step = 0; step < 1'000 && status == 0; ++step) {
    table.fake().DeliverAll(now);
    now += milliseconds(50);
    writer.OnTimer(now);
  }
  EXPECT_EQ(status, 504);
  table.ApplyLate();
  EXPECT_EQ(table.revision(), Revision(1));
}

TEST_F(ContractWriterTest, KeepsTheLogBounded) {
  for (std::size_t i = 0; i < kMaxLoggedChanges + 5; ++i)
    ASSERT_EQ(Write("c" + std::to_string(i), 1).status, 200);
  const auto record = DecodeRevisionRecord(
      table.table().Apply(TableGet{kRevisionRowKey}).rows.front().value);
  ASSERT_TRUE(record.has_value());
  EXPECT_EQ(record->recent.size(), kMaxLoggedChanges);
  EXPECT_EQ(record->recent.back().revision, record->revision);
}

// --- Differential -----------------------------------------------------------

// Three writers compete for one table under random faults and interleavings.
// The naive model is the table's own log, one map with one total order. Each
// answer must be consistent with it.
class WritersRace {
 public:
  explicit WritersRace(std::uint64_t seed) : m_random(seed) {
    for (std::size_t i = 0; i < kWriters; ++i) {
      m_writers.push_back(std::make_unique<ContractWriter>(
          ContractWriterSettings{}, m_table, m_random,
          [this](TimePoint, const ConfigChange& change) {
            m_committed.push_back(change);
          }));
    }
  }

  void TakeStep() {
    const int choice = *rc::gen::inRange(0, 12);
    if (choice == 10)
      m_table.DelayNextTransaction();
    else if (choice == 11)
      m_table.ApplyLate();
    else if (choice < 2)
      Submit();
    else if (choice < 7)
      m_table.fake().DeliverNext(m_now);
    else if (choice < 8)
      Advance();
    else
      m_table.fake().FailNext(
          *rc::gen::element(TableFault::kNone, TableFault::kDown,
                            TableFault::kSilent, TableFault::kAnswerLost));
  }

  // Runs until each request is answered.
  void Finish() {
    for (int step = 0; step < 100; ++step) {
      m_table.fake().DeliverAll(m_now);
      Advance();
      m_table.ApplyLate();
    }
  }

  // Every change reported as committed exists, and none reported as not written
  // does.
  void CheckAnswers() {
    const RevisionRecord record = ReadRecord();
    const std::size_t successes = CountAnswers(200);
    RC_ASSERT(CountAnswers(0) == 0U);
    RC_ASSERT(record.recent.size() == record.revision.value());
    RC_ASSERT(record.revision.value() >= successes);
    RC_ASSERT(record.revision.value() <= successes + CountAnswers(504));
    RC_ASSERT(m_committed.size() == successes);
    for (const ConfigChange& change : m_committed) {
      const LoggedChange& logged = record.recent[change.revision.value() - 1];
      RC_ASSERT(logged.change_id == change.change_id);
      RC_ASSERT(logged.workspace == change.workspace);
    }
  }

 private:
  static constexpr std::size_t kWriters = 3;

  void Submit() {
    const auto workspace = *rc::gen::element<std::string>("a", "b");
    const bool is_withdrawal = *rc::gen::inRange(0, 4) == 0;
    const RowVersion version = m_table.VersionOf(workspace);
    const double rate = static_cast<double>(m_answers.size()) + 1;
    AnswerOperator& answer = m_answers.emplace_back();
    OperatorRequested request = is_withdrawal
                                    ? WithdrawRequest(workspace, version)
                                    : WriteRequest(workspace, rate, version);
    request.request = OperatorRequestId(m_answers.size());
    m_writers[m_random.Index(kWriters)]->Handle(
        m_now, request, [&answer](TimePoint, AnswerOperator given) {
          answer = std::move(given);
        });
  }

  void Advance() {
    m_now += milliseconds(100);
    for (const auto& writer : m_writers)
      writer->OnTimer(m_now);
  }

  RevisionRecord ReadRecord() {
    const auto rows =
        m_table.fake().table().Apply(TableGet{kRevisionRowKey}).rows;
    return rows.empty() ? RevisionRecord{}
                        : *DecodeRevisionRecord(rows.front().value);
  }

  // A `status` of 0 counts unanswered requests.
  std::size_t CountAnswers(int status) const {
    return static_cast<std::size_t>(std::count_if(
        m_answers.begin(), m_answers.end(),
        [status](const auto& answer) { return answer.status == status; }));
  }

  TimePoint m_now;
  HistoryTable m_table;
  SeededRandomSource m_random;
  std::vector<ConfigChange> m_committed;
  // A deque, since the writers' callbacks refer to its elements.
  std::deque<AnswerOperator> m_answers;
  std::vector<std::unique_ptr<ContractWriter>> m_writers;
};

RC_GTEST_PROP(ContractWriterProperty, AnswersMatchTheTable, ()) {
  WritersRace race(*rc::gen::arbitrary<std::uint64_t>());
  const int steps = *rc::gen::inRange(10, 120);
  for (int step = 0; step < steps; ++step)
    race.TakeStep();
  race.Finish();
  race.CheckAnswers();
}

}  // namespace
}  // namespace bulrushmount
