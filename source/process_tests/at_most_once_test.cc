// Tests that a request that is not repeatable runs at most once. Callers send
// each idempotency key repeatedly through several entry nodes while the table
// service, nodes and targets fail; no key may have two runs in the ledgers.

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "process_tests/fleet_fixture.h"

namespace bulrushmount {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kThreads = 16;
constexpr std::size_t kBookingsPerStep = 80;
constexpr std::size_t kAttemptsPerCaller = 4;
constexpr auto kCallerTimeout = milliseconds(1500);

class AtMostOnceTest : public FleetTest {
 public:
  using FleetTest::at;
  using FleetTest::SetPlatformFaults;
  using FleetTest::StartNode;
  using FleetTest::StartTargetOf;

 protected:
  static std::string KeyOf(std::size_t pair) {
    return fmt::format("key-{}", pair);
  }

  // Two callers share each key. Each retries it through the next entry node
  // until it is answered or its attempts are used up.
  CallAnswer SendBooking(std::size_t n) {
    CallRequest request;
    request.method = "POST";
    request.key = KeyOf(n / 2);
    request.path = fmt::format("/book?n={}", n / 2);
    request.body = "booth 1";
    CallAnswer answer;
    for (std::size_t attempt = 0; attempt < kAttemptsPerCaller; ++attempt) {
      answer = Call((n + attempt) % size(), request, kCallerTimeout);
      if (answer.is_answered()) {
        return answer;
      }
    }
    return answer;
  }

  // This check must fail if a node takes any claim that it finds in the table
  // for its own.
  void ExpectAtMostOneRunPerKey(const std::vector<CallAnswer>& answers) {
    EndFleet();
    std::map<std::string, std::size_t> runs;
    for (const LedgerLine& line : Ledgers()) {
      if (line.event == "started" && !line.key.empty()) {
        ++runs[line.key];
      }
    }
    for (const auto& [key, count] : runs) {
      EXPECT_EQ(count, 1U) << key;
    }
    for (const CallAnswer& answer : answers) {
      m_answered += answer.is_answered() ? 1 : 0;
    }
    m_keys_run = runs.size();
    fmt::print("bookings {} keys_run {} last_answers {}\n", answers.size(),
               m_keys_run, Summary(answers));
  }

  std::size_t m_answered = 0;
  std::size_t m_keys_run = 0;
};

struct FaultCase {
  const char* name;
  void (*begin)(AtMostOnceTest& test);
  void (*end)(AtMostOnceTest& test);
};

class FaultTest : public AtMostOnceTest,
                  public testing::WithParamInterface<FaultCase> {};

// Guards against a booking that is made and charged twice. One key arrives at
// two entry nodes at once, and again whenever the caller gets no answer, while
// a component on its path fails. The booking runs twice if a claim is granted
// twice, taken over or wrongly assumed to be written, or if a request is
// dispatched again although the first dispatch may have run.
TEST_P(FaultTest, EachKeyRunsAtMostOnce) {
  StartFleet();
  BackgroundCalls callers(kThreads,
                          [this](std::size_t n) { return SendBooking(n); });
  for (int step = 0; step < 3; ++step) {
    EXPECT_TRUE(callers.WaitForMore(kBookingsPerStep));
    GetParam().begin(*this);
    EXPECT_TRUE(callers.WaitForMore(kBookingsPerStep / 4));
    GetParam().end(*this);
  }
  EXPECT_TRUE(callers.WaitForMore(kBookingsPerStep));
  ExpectAtMostOneRunPerKey(callers.Stop());
  EXPECT_GT(m_answered, 0U);
  EXPECT_GT(m_keys_run, 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    FaultTest,
    testing::Values(
        FaultCase{"Race", [](AtMostOnceTest&) {}, [](AtMostOnceTest&) {}},
        FaultCase{"StoreLosesAnswers",
                  [](AtMostOnceTest& test) {
                    test.SetPlatformFaults(R"({"lose_answers":12})");
                  },
                  [](AtMostOnceTest&) {}},
        FaultCase{"StoreLosesAnswersOfWrites",
                  [](AtMostOnceTest& test) {
                    test.SetPlatformFaults(R"({"lose_write_answers":20})");
                  },
                  [](AtMostOnceTest&) {}},
        FaultCase{"StoreConflicts",
                  [](AtMostOnceTest& test) {
                    test.SetPlatformFaults(R"({"conflict_next":12})");
                  },
                  [](AtMostOnceTest&) {}},
        FaultCase{"StoreDown",
                  [](AtMostOnceTest& test) {
                    test.SetPlatformFaults(R"({"down":true})");
                  },
                  [](AtMostOnceTest& test) {
                    test.SetPlatformFaults(R"({"down":false})");
                  }},
        FaultCase{"StoreAnswersAfterTheTimeout",
                  [](AtMostOnceTest& test) {
                    test.SetPlatformFaults(R"({"delay_ms":1200})");
                  },
                  [](AtMostOnceTest& test) {
                    test.SetPlatformFaults(R"({"delay_ms":0})");
                  }},
        FaultCase{"NodeKilled",
                  [](AtMostOnceTest& test) { test.at(0).node->Kill(); },
                  [](AtMostOnceTest& test) { test.StartNode(0); }},
        FaultCase{"NodeFrozen",
                  [](AtMostOnceTest& test) { test.at(0).node->Freeze(); },
                  [](AtMostOnceTest& test) { test.at(0).node->Thaw(); }},
        FaultCase{
            "TargetKilled",
            [](AtMostOnceTest& test) { test.at(0).target_process->Kill(); },
            [](AtMostOnceTest& test) { test.StartTargetOf(0); }}),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against a booking that runs although it was refused during an outage
// of the table service, and against one that is refused or waits forever after
// the outage. The causes are a dispatch without a claim, and a claim that a
// refused call leaves in the table.
TEST_F(AtMostOnceTest, StoreDownRefusesAndRunsNothing) {
  StartFleet();
  SetPlatformFaults(R"({"down":true})");
  std::vector<CallAnswer> refused;
  for (std::size_t n = 0; n < 12; ++n) {
    CallRequest request;
    request.method = "POST";
    request.path = "/book";
    request.key = KeyOf(n);
    refused.push_back(Call(n % size(), request));
    EXPECT_TRUE(refused.back().is_not_run()) << ToText(refused.back());
    EXPECT_EQ(refused.back().reason(), "store-unavailable");
    EXPECT_EQ(RunsOfKey(request.key), 0U);
  }
  CallRequest read;
  EXPECT_TRUE(Call(0, read).is_answered());
  SetPlatformFaults(R"({"down":false})");
  for (std::size_t n = 0; n < 12; ++n) {
    CallRequest request;
    request.method = "POST";
    request.path = "/book";
    request.key = KeyOf(n);
    EXPECT_TRUE(WaitUntil([&] {
      return Call(n % size(), request).is_answered();
    })) << KeyOf(n);
    EXPECT_EQ(RunsOfKey(request.key), 1U);
  }
}

// Guards against a retry that runs while the first attempt may still run. An
// entry node is frozen with the call, its caller times out and sends the key to
// another entry node, and then the first node resumes. Both attempts run if the
// claim expires while its holder is paused.
TEST_F(AtMostOnceTest, FrozenClaimHolderResumesAfterRetry) {
  StartFleet();
  constexpr std::size_t keys_per_round = 12;
  std::vector<CallAnswer> answers;
  for (std::size_t round = 0; round < 8; ++round) {
    std::vector<std::future<CallAnswer>> first;
    const auto request_of = [&](std::size_t n) {
      CallRequest request;
      request.method = "POST";
      request.path = "/book";
      request.key = KeyOf(round * keys_per_round + n);
      return request;
    };
    for (std::size_t n = 0; n < keys_per_round; ++n) {
      first.push_back(CallLater(0, request_of(n), kCallerTimeout));
    }
    // Freezes the node at a different point of the calls in each round.
    std::this_thread::sleep_for(milliseconds(2 * round));
    at(0).node->Freeze();
    for (auto& call : first) {
      answers.push_back(call.get());
    }
    for (std::size_t n = 0; n < keys_per_round; ++n) {
      answers.push_back(Call(1, request_of(n)));
    }
    at(0).node->Thaw();
    WaitForFleet();
    for (std::size_t n = 0; n < keys_per_round; ++n) {
      answers.push_back(Call(2, request_of(n)));
    }
  }
  ExpectAtMostOneRunPerKey(answers);
  EXPECT_GT(m_answered, 0U);
}

}  // namespace
}  // namespace bulrushmount
