// Tests of the table and object adapters against an in-process platform
// stand-in.

#include "core/store/http_table_service.h"

#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>

#include <gtest/gtest.h>

#include "core/store/http_object_store.h"
#include "stand_ins/platform_service.h"

namespace bulrushmount {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Only ends a test that hangs; no result depends on it.
constexpr auto kTestTimeout = seconds(30);

class HttpTableServiceTest : public testing::Test {
 protected:
  HttpTableServiceTest() {
    StartPlatform({"127.0.0.1", 0});
    m_settings.server = m_platform->endpoint();
    m_settings.timeout = kTestTimeout;
  }

  void StartPlatform(const Endpoint& listen) {
    m_platform = std::make_unique<PlatformService>(m_io, listen);
  }

  void Connect() {
    m_service = std::make_unique<HttpTableService>(m_io, m_settings);
  }

  void ConnectWithin(Duration timeout) {
    m_settings.timeout = timeout;
    Connect();
  }

  // Runs until `is_done` returns true; false after kTestTimeout.
  template <typename Predicate>
  bool RunUntil(Predicate is_done) {
    const TimePoint deadline = Now() + kTestTimeout;
    m_io.restart();
    while (!is_done() && Now() < deadline) {
      m_io.run_one_until(deadline);
    }
    return is_done();
  }

  TableReply Call(TableRequest request) {
    std::optional<TableReply> reply;
    int calls = 0;
    m_service->Submit(std::move(request), [&](TimePoint, TableReply received) {
      reply = std::move(received);
      ++calls;
    });
    EXPECT_FALSE(reply.has_value()) << "called back before Submit returned";
    EXPECT_TRUE(RunUntil([&] { return reply.has_value(); }));
    EXPECT_EQ(calls, 1);
    return reply.value_or(TableReply{});
  }

  bool IsInTable(const std::string& key) {
    return !m_platform->table().Apply(TableGet{key}).rows.empty();
  }

  boost::asio::io_context m_io;
  std::unique_ptr<PlatformService> m_platform;
  HttpClientSettings m_settings;
  std::unique_ptr<HttpTableService> m_service;
};

TableTransact Put(const std::string& key, const std::string& value) {
  return {{}, {{key, value}}, {}};
}

std::string AllBytes() {
  std::string bytes;
  for (int byte = 0; byte < 256; ++byte) {
    bytes += static_cast<char>(byte);
  }
  return bytes;
}

TEST_F(HttpTableServiceTest, RoundTripsAnyBytes) {
  Connect();
  const std::string key = "claims/" + AllBytes();
  const TableReply put = Call(Put(key, AllBytes()));
  ASSERT_EQ(put.status, TableStatus::kOk);
  ASSERT_EQ(put.rows.size(), 1U);
  const Row expected{key, AllBytes(), put.rows[0].version};
  EXPECT_EQ(Call(TableGet{key}).rows, std::vector<Row>{expected});
  EXPECT_EQ(Call(TableScan{"claims/"}).rows, std::vector<Row>{expected});
}

TEST_F(HttpTableServiceTest, ConditionsAndDeletes) {
  Connect();
  const RowVersion version = Call(Put("a", "1")).rows.at(0).version;
  const TableReply lost =
      Call(TableTransact{{{"a", kNoRow}}, {{"a", "2"}}, {}});
  EXPECT_EQ(lost.status, TableStatus::kConditionFailed);
  EXPECT_EQ(lost.rows, (std::vector<Row>{{"a", "1", version}}));
  const TableReply deleted = Call(TableTransact{{{"a", version}}, {}, {"a"}});
  EXPECT_EQ(deleted.status, TableStatus::kOk);
  EXPECT_FALSE(IsInTable("a"));
}

TEST_F(HttpTableServiceTest, ManyRequestsShareFewConnections) {
  m_settings.max_connections = 2;
  Connect();
  int answered = 0;
  for (int index = 0; index < 50; ++index) {
    m_service->Submit(Put("k" + std::to_string(index), "v"),
                      [&](TimePoint, const TableReply& reply) {
                        answered += reply.status == TableStatus::kOk ? 1 : 0;
                      });
  }
  EXPECT_TRUE(RunUntil([&] { return answered == 50; }));
  EXPECT_LE(m_platform->server().connection_count(), 2U);
}

// Guards against refusing a booking as "not run" although its claim was
// written: the table commits, and the connection closes before the response,
// which must not count as a request without effect.
TEST_F(HttpTableServiceTest, AnswerLostAfterCommitIsUnknown) {
  Connect();
  m_platform->faults().lose_answers = 1;
  EXPECT_EQ(Call(Put("a", "1")).status, TableStatus::kUnknown);
  EXPECT_TRUE(IsInTable("a"));
  EXPECT_EQ(Call(Put("b", "1")).status, TableStatus::kOk);
}

// Guards against a caller that hangs while the table is slow: the table commits
// at once and responds long after the time-out, so the adapter needs its own.
TEST_F(HttpTableServiceTest, DelayPastTheTimeoutIsUnknown) {
  ConnectWithin(milliseconds(50));
  m_platform->faults().delay = seconds(60);
  EXPECT_EQ(Call(Put("a", "1")).status, TableStatus::kUnknown);
  EXPECT_TRUE(IsInTable("a"));
}

// Guards against delivering the response to one request to another. A request
// times out, and its response arrives while the next request waits, so the
// connection of a timed-out request must not be reused.
TEST_F(HttpTableServiceTest, LateAnswerNeverReachesTheNextRequest) {
  m_settings.max_connections = 1;
  m_platform->table().Apply(Put("a", "1"));
  m_platform->table().Apply(Put("b", "2"));
  ConnectWithin(milliseconds(100));
  m_platform->faults().delay = milliseconds(150);
  EXPECT_EQ(Call(TableGet{"a"}).status, TableStatus::kUnknown);
  m_platform->faults().delay = Duration::zero();
  TableReply reply = Call(TableGet{"b"});
  const TimePoint deadline = Now() + kTestTimeout;
  while (reply.status != TableStatus::kOk && Now() < deadline) {
    reply = Call(TableGet{"b"});
  }
  ASSERT_EQ(reply.rows.size(), 1U);
  EXPECT_EQ(reply.rows[0].key, "b");
}

// Guards against treating every claim as unknown while nothing listens at the
// table's address: a refused connection carried no byte, so the request
// certainly had no effect.
TEST_F(HttpTableServiceTest, RefusedConnectionIsUnavailable) {
  m_platform.reset();
  Connect();
  EXPECT_EQ(Call(Put("a", "1")).status, TableStatus::kUnavailable);
}

TEST_F(HttpTableServiceTest, ReplyThatNothingWasDoneIsUnavailable) {
  Connect();
  m_platform->faults().is_down = true;
  EXPECT_EQ(Call(Put("a", "1")).status, TableStatus::kUnavailable);
  EXPECT_FALSE(IsInTable("a"));
}

// Guards against reporting requests as unknown that never left the node. One
// connection waits for a silent table, and a second request waits for the
// connection until its time-out; waiting for a connection is not waiting for a
// response.
TEST_F(HttpTableServiceTest, TimeoutWhileWaitingForAConnectionIsUnavailable) {
  m_settings.max_connections = 1;
  m_platform->faults().is_silent = true;
  ConnectWithin(milliseconds(100));
  std::optional<TableStatus> first;
  m_service->Submit(Put("a", "1"), [&](TimePoint, const TableReply& reply) {
    first = reply.status;
  });
  std::optional<TableStatus> second;
  m_service->Submit(Put("b", "1"), [&](TimePoint, const TableReply& reply) {
    second = reply.status;
  });
  ASSERT_TRUE(RunUntil([&] { return m_platform->counters().writes == 1; }));
  // Both time-outs expire while the node is idle, so neither request can pass
  // its connection on to the other.
  std::this_thread::sleep_until(Now() + 2 * m_settings.timeout);
  EXPECT_TRUE(RunUntil([&] { return first && second; }));
  EXPECT_EQ(first, TableStatus::kUnknown);
  EXPECT_EQ(second, TableStatus::kUnavailable);
}

// Guards against an unknown result of the first write of each connection after
// a restart of the table. A request finishes, the table restarts, and the next
// request takes the idle connection that the old table closed; the close can be
// detected before the request is written.
TEST_F(HttpTableServiceTest, RestartOfTheTableCausesNoUnknown) {
  Connect();
  ASSERT_EQ(Call(Put("a", "1")).status, TableStatus::kOk);
  const Endpoint endpoint = m_platform->endpoint();
  m_platform.reset();
  m_io.restart();
  m_io.poll();
  StartPlatform(endpoint);
  EXPECT_EQ(Call(Put("b", "1")).status, TableStatus::kOk);
}

TEST_F(HttpTableServiceTest, PutIfAbsentKeepsAnExistingObject) {
  HttpObjectStore store(m_io, m_settings);
  std::optional<ObjectReply> reply;
  const auto keep = [&](TimePoint, ObjectReply received) {
    reply = std::move(received);
  };
  const auto next = [&] {
    EXPECT_TRUE(RunUntil([&] { return reply.has_value(); }));
    return *std::exchange(reply, std::nullopt);
  };
  store.Get("a/b", keep);
  EXPECT_EQ(next().status, ObjectStatus::kNotFound);
  store.PutIfAbsent("a/b", AllBytes(), keep);
  EXPECT_EQ(next().status, ObjectStatus::kOk);
  store.PutIfAbsent("a/b", "other", keep);
  EXPECT_EQ(next().status, ObjectStatus::kExists);
  store.Get("a/b", keep);
  EXPECT_EQ(next().bytes, AllBytes());
  store.Put("a/b", "new", keep);
  EXPECT_EQ(next().status, ObjectStatus::kOk);
  store.Get("a/b", keep);
  EXPECT_EQ(next().bytes, "new");
}

}  // namespace
}  // namespace bulrushmount
