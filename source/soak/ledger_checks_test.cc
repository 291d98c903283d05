// Tests that the soak's checks detect the violation of each guarantee in
// hand-written records.

#include "soak/ledger_checks.h"

#include <gtest/gtest.h>

#include "soak/limit_checks.h"

namespace bulrushmount::soak {
namespace {

using platform::ClientVerdict;
using platform::FinishedCall;

constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));

FinishedCall CallOf(const std::string& id,
                    const std::string& path,
                    ClientVerdict verdict,
                    Duration began = {}) {
  FinishedCall finished;
  finished.call.request_id = id;
  finished.call.path = path;
  finished.outcome.verdict = verdict;
  finished.outcome.took = std::chrono::milliseconds(1);
  finished.began_at = kStart + began;
  return finished;
}

struct LedgerCheckCase {
  const char* name;
  SoakRecord record;
  std::size_t violations;
};

class LedgerCheckTest : public testing::TestWithParam<LedgerCheckCase> {};

TEST_P(LedgerCheckTest, FindsEveryViolation) {
  EXPECT_EQ(FindViolations(GetParam().record).size(), GetParam().violations);
}

SoakRecord WithRuns(std::vector<FinishedCall> calls,
                    const std::vector<std::string>& runs) {
  SoakRecord record;
  record.calls = std::move(calls);
  for (const std::string& id : runs)
    record.runs.push_back({id, "i-1", "booking", "/", kStart});
  return record;
}

SoakRecord LateRun(Duration after) {
  SoakRecord record = WithRuns({}, {"a"});
  record.drains.push_back({"i-1", kStart - after});
  return record;
}

SoakRecord Versions(std::vector<TimePoint> starts) {
  SoakRecord record =
      WithRuns({CallOf("a", "/version/3/a", ClientVerdict::kServed),
                CallOf("b", "/version/3/b", ClientVerdict::kNoRoute,
                       std::chrono::seconds(1))},
               {"a"});
  record.node_starts[0] = std::move(starts);
  return record;
}

constexpr double kRate = 1;
// Requests that the guarantee allows in 4 s at this rate.
constexpr std::size_t kAllowed = 11;

// A server names a rate, or is leaving, at kStart. From then on, node 0 sends
// one request and `later` further ones after `pause`, 10 ms apart.
SoakRecord AfterNotice(bool is_leaving, std::size_t later, Duration pause) {
  SoakRecord record;
  StatedNotice notice{"i-1", kStart, std::nullopt, is_leaving};
  if (!is_leaving)
    notice.rate_limit = kRate;
  record.notices.push_back(notice);
  for (std::size_t number = 0; number <= later; ++number) {
    Duration began{};
    if (number > 0)
      began = pause + std::chrono::milliseconds(10 * number);
    const std::string id = "r" + std::to_string(number);
    record.calls.push_back(CallOf(id, "/safe/", ClientVerdict::kServed, began));
    record.runs.push_back({id, "i-1", "booking", "/", kStart + began});
  }
  return record;
}

SoakRecord Disturbed(SoakRecord record) {
  record.disturbances[0] = {kStart + std::chrono::seconds(1)};
  return record;
}

// A call with this key and one run, which named this workspace to the server.
SoakRecord WithKey(const std::string& key,
                   const std::string& workspace,
                   bool is_key_received = false) {
  SoakRecord record =
      WithRuns({CallOf("a", "/safe/", ClientVerdict::kServed)}, {"a"});
  record.has_workspaces = true;
  record.calls[0].call.key = key;
  record.runs[0].workspace = workspace;
  record.runs[0].has_key = is_key_received;
  return record;
}

// Calls with a key one second apart, with these verdicts.
SoakRecord WithVerdicts(const std::string& key,
                        const std::vector<ClientVerdict>& verdicts) {
  SoakRecord record;
  record.has_workspaces = true;
  for (const ClientVerdict verdict : verdicts) {
    const std::size_t number = record.calls.size();
    const std::string id = "r" + std::to_string(number);
    record.calls.push_back(
        CallOf(id, "/safe/", verdict, std::chrono::seconds(number)));
    record.calls.back().call.key = key;
    if (verdict == ClientVerdict::kServed) {
      record.runs.push_back({id, "i-1", "booking", "/", kStart});
      record.runs.back().workspace = "amber";
    }
  }
  return record;
}

SoakRecord Restarted(SoakRecord record) {
  record.node_starts[0] = {kStart - std::chrono::seconds(1),
                           kStart + std::chrono::milliseconds(1500)};
  return record;
}

// A call with a key of the first version that is accepted this long after the
// commit that withdraws the key.
SoakRecord AcceptedAfterWithdrawal(Duration after) {
  SoakRecord record = WithVerdicts("amber-1", {ClientVerdict::kServed});
  record.commits[1 + kVersionsOfAKey] = kStart - after;
  return record;
}

// One request of the limited workspace at kStart and `count` further ones after
// `pause`.
SoakRecord LimitedRuns(std::size_t count, Duration pause) {
  const std::string key = PermanentKey(kLimitedWorkspace);
  SoakRecord record = WithVerdicts(
      key, std::vector<ClientVerdict>(count + 1, ClientVerdict::kServed));
  for (platform::LedgerRun& run : record.runs) {
    run.workspace = kLimitedWorkspace;
    run.started_at = kStart + pause;
  }
  record.runs.front().started_at = kStart;
  return record;
}

constexpr ClientVerdict kYes = ClientVerdict::kServed;
constexpr ClientVerdict kNo = ClientVerdict::kUnknownKey;

INSTANTIATE_TEST_SUITE_P(
    Keys,
    LedgerCheckTest,
    testing::Values(
        LedgerCheckCase{"RightWorkspace", WithKey("amber-3", "amber"), 0},
        LedgerCheckCase{"OtherWorkspace", WithKey("amber-3", "birch"), 1},
        LedgerCheckCase{"NoWorkspace", WithKey("amber-permanent", ""), 1},
        LedgerCheckCase{"KeyReceived", WithKey("amber-3", "amber", true), 1},
        LedgerCheckCase{"RunWithoutKey", WithKey("", ""), 1},
        LedgerCheckCase{"RunWithNeverValidKey", WithKey(kNeverValidKey, ""), 1},
        LedgerCheckCase{"PermanentKeyRefused",
                        WithVerdicts("amber-permanent", {kYes, kNo}), 1},
        LedgerCheckCase{"KeyAcceptedJustAfterItsWithdrawal",
                        AcceptedAfterWithdrawal(std::chrono::seconds(5)), 0},
        LedgerCheckCase{"KeyAcceptedLongAfterItsWithdrawal",
                        AcceptedAfterWithdrawal(std::chrono::seconds(16)), 1},
        LedgerCheckCase{"KeyAddedAndWithdrawn",
                        WithVerdicts("amber-3", {kNo, kYes, kNo}), 0},
        LedgerCheckCase{"KeyAcceptedAgain",
                        WithVerdicts("amber-3", {kYes, kNo, kYes}), 1},
        LedgerCheckCase{"AsManyAsTheLimitAllows",
                        LimitedRuns(kLimitBound - 1, kLimitWindow / 2), 0},
        LedgerCheckCase{"MoreThanTheLimitAllows",
                        LimitedRuns(kLimitBound, kLimitWindow / 2), 1},
        LedgerCheckCase{"AsManyAsTheLimitAllowsInEachWindow",
                        LimitedRuns(kLimitBound, kLimitWindow), 0},
        LedgerCheckCase{"KeyAcceptedAgainAfterARestart",
                        Restarted(WithVerdicts("amber-3", {kYes, kNo, kYes})),
                        0}),
    [](const auto& info) { return std::string(info.param.name); });

INSTANTIATE_TEST_SUITE_P(
    Records,
    LedgerCheckTest,
    testing::Values(
        LedgerCheckCase{
            "Served",
            WithRuns({CallOf("a", "/once/", ClientVerdict::kServed)}, {"a"}),
            0},
        LedgerCheckCase{
            "SafeTwice",
            WithRuns({CallOf("a", "/safe/", ClientVerdict::kServed)},
                     {"a", "a"}),
            0},
        LedgerCheckCase{
            "BookingTwice",
            WithRuns({CallOf("a", "/once/", ClientVerdict::kUnknown)},
                     {"a", "a"}),
            1},
        LedgerCheckCase{
            "RefusedAndRun",
            WithRuns({CallOf("a", "/safe/", ClientVerdict::kRefused)}, {"a"}),
            1},
        LedgerCheckCase{
            "ServedAndNotRun",
            WithRuns({CallOf("a", "/safe/", ClientVerdict::kServed)}, {}), 1},
        LedgerCheckCase{
            "Nothing",
            WithRuns({CallOf("a", "/safe/", ClientVerdict::kNoAnswer)}, {}), 1},
        LedgerCheckCase{
            "Wrong",
            WithRuns({CallOf("a", "/safe/", ClientVerdict::kWrong)}, {"a"}), 1},
        LedgerCheckCase{"RunWhileDraining", LateRun(kDrainTime / 2), 0},
        LedgerCheckCase{"RunAfterDrain", LateRun(2 * kDrainTime), 1},
        LedgerCheckCase{"RoutesBack",
                        Versions({kStart - std::chrono::hours(1)}), 1},
        LedgerCheckCase{"WithinTheRate",
                        AfterNotice(false, kAllowed, std::chrono::seconds(5)),
                        0},
        LedgerCheckCase{
            "AboveTheRate",
            AfterNotice(false, kAllowed + 1, std::chrono::seconds(5)), 1},
        LedgerCheckCase{
            "AboveTheRateEarly",
            AfterNotice(false, kAllowed + 1, std::chrono::seconds(1)), 0},
        LedgerCheckCase{"AboveTheRateAfterARestart",
                        Disturbed(AfterNotice(false,
                                              kAllowed + 1,
                                              std::chrono::seconds(5))),
                        0},
        LedgerCheckCase{"SentToALeavingServer",
                        AfterNotice(true, 2, std::chrono::seconds(3)), 2},
        LedgerCheckCase{"SentWhileItMayServe",
                        AfterNotice(true, 2, std::chrono::seconds(1)), 0},
        LedgerCheckCase{
            "SentToALeavingServerAfterARestart",
            Disturbed(AfterNotice(true, 2, std::chrono::seconds(3))), 0},
        LedgerCheckCase{"NewProcess",
                        Versions({kStart + std::chrono::milliseconds(500)}),
                        0}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace bulrushmount::soak
