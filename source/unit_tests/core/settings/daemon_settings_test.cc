// Tests of `core/settings/daemon_settings.h` and of the example settings.

#include "core/settings/daemon_settings.h"

#include <fstream>
#include <sstream>

#include <gtest/gtest.h>

namespace bulrushmount {
namespace {

std::string ReadExample() {
  std::ifstream file(BULRUSHMOUNT_EXAMPLES "/node.yaml");
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

constexpr char kMinimal[] = R"(availability_zone: quito-1
region: quito
addresses:
  caller: 127.0.0.1:1
  stream: 127.0.0.1:2
  gossip: 127.0.0.1:2
  target: 127.0.0.1:4
  operator: 127.0.0.1:5
platform:
  table: 127.0.0.1:6
  objects: 127.0.0.1:7
)";

TEST(DaemonSettingsTest, ExampleShowsTheDefaults) {
  const DaemonSettingsOrFaults example = TryParseDaemonSettings(ReadExample());
  ASSERT_TRUE(example.settings.has_value()) << ToString(example.faults);
  const DaemonSettingsOrFaults minimal = TryParseDaemonSettings(kMinimal);
  ASSERT_TRUE(minimal.settings.has_value()) << ToString(minimal.faults);
  const DaemonSettings& shown = *example.settings;
  const DaemonSettings& defaults = *minimal.settings;
  EXPECT_EQ(shown.transport, defaults.transport);
  EXPECT_EQ(shown.platform.timeout, defaults.platform.timeout);
  EXPECT_EQ(shown.log_level, defaults.log_level);
  const NodeSettings& node = shown.node;
  const NodeSettings& other = defaults.node;
  EXPECT_EQ(node.heartbeat_period, other.heartbeat_period);
  EXPECT_EQ(node.suspicion_time, other.suspicion_time);
  EXPECT_EQ(node.fleet_config_polls_per_second,
            other.fleet_config_polls_per_second);
  EXPECT_EQ(node.retry_budget_fraction, other.retry_budget_fraction);
  EXPECT_EQ(node.max_attempts, other.max_attempts);
  EXPECT_EQ(node.measuring_term, other.measuring_term);
  EXPECT_EQ(node.warmup, other.warmup);
  EXPECT_EQ(node.quarantine_time, other.quarantine_time);
  EXPECT_EQ(node.min_progress_time, other.min_progress_time);
  EXPECT_EQ(node.max_answer_time, other.max_answer_time);
}

TEST(DaemonSettingsTest, AdvertisesTheForwarderAddress) {
  std::string text = kMinimal;
  text.insert(text.find("  gossip:"), "  advertised_stream: 127.0.0.9:2\n");
  const DaemonSettings settings = *TryParseDaemonSettings(text).settings;
  EXPECT_EQ(settings.node.stream_endpoint, (Endpoint{"127.0.0.9", 2}));
  EXPECT_EQ(settings.addresses.stream, (Endpoint{"127.0.0.1", 2}));
}

TEST(DaemonSettingsTest, FillsInTheNodeSettings) {
  const DaemonSettings settings = *TryParseDaemonSettings(kMinimal).settings;
  EXPECT_EQ(settings.node.stream_endpoint, (Endpoint{"127.0.0.1", 2}));
  EXPECT_EQ(settings.node.gossip_endpoint, (Endpoint{"127.0.0.1", 2}));
  EXPECT_EQ(settings.node.zone, AvailabilityZone("quito-1"));
  EXPECT_EQ(settings.node.region, Region("quito"));
}

// Without the setting, requests with keys are served however old the routing
// document is.
TEST(DaemonSettingsTest, MaximumAgeOfAnUnconfirmedDocumentIsOptional) {
  EXPECT_EQ(
      TryParseDaemonSettings(kMinimal).settings->node.max_unconfirmed_document,
      std::nullopt);
  const std::string text = kMinimal;
  const DaemonSettingsOrFaults strict = TryParseDaemonSettings(
      text + "workspace_keys:\n  max_unconfirmed: 2.5s\n");
  ASSERT_TRUE(strict.settings.has_value()) << ToString(strict.faults);
  EXPECT_EQ(strict.settings->node.max_unconfirmed_document,
            std::chrono::milliseconds(2500));
  EXPECT_FALSE(
      TryParseDaemonSettings(text + "workspace_keys:\n  max_unconfirmed: 0s\n")
          .settings.has_value());
}

// Guards against limits of workspaces that are not enforced, or not as stated,
// because their section is missing or misread.
TEST(DaemonSettingsTest, WorkspaceLimitsHaveNoToleranceUnlessStated) {
  const std::string text = kMinimal;
  EXPECT_EQ(TryParseDaemonSettings(text).settings->node.workspace_limits,
            WorkspaceLimitsSettings());
  EXPECT_EQ(WorkspaceLimitsSettings().overage, 0);
  const DaemonSettingsOrFaults parsed = TryParseDaemonSettings(
      text +
      "workspace_limits:\n  window: 2.5s\n  overage: 0.1\n  slack: 20\n");
  ASSERT_TRUE(parsed.settings.has_value()) << ToString(parsed.faults);
  EXPECT_EQ(
      parsed.settings->node.workspace_limits,
      (WorkspaceLimitsSettings{std::chrono::milliseconds(2500), 0.1, 20}));
  for (const char* const bad :
       {"window: 0s", "overage: 0.1", "window: 5s\n  slack: -1",
        "window: 5s\n  rate: 3"}) {
    EXPECT_FALSE(
        TryParseDaemonSettings(text + "workspace_limits:\n  " + bad + "\n")
            .settings.has_value())
        << bad;
  }
}

TEST(DaemonSettingsTest, TokenFileAllowsOtherOperatorAddresses) {
  std::string text = kMinimal;
  text.replace(text.find("127.0.0.1:5"), 11, "192.0.2.1:5");
  text += "operator_token_file: token.txt\n";
  const DaemonSettingsOrFaults parsed = TryParseDaemonSettings(text);
  ASSERT_TRUE(parsed.settings.has_value()) << ToString(parsed.faults);
  EXPECT_EQ(parsed.settings->operator_token_file, "token.txt");
}

struct FaultCase {
  std::string name;
  // Replaces the first occurrence of `from` in kMinimal by `to`.
  std::string from;
  std::string to;
  std::string expected;
};

class SettingsFaultTest : public testing::TestWithParam<FaultCase> {};

TEST_P(SettingsFaultTest, ReportsTheFaultAndItsPosition) {
  std::string text = kMinimal;
  text.replace(text.find(GetParam().from), GetParam().from.size(),
               GetParam().to);
  const DaemonSettingsOrFaults parsed = TryParseDaemonSettings(text);
  EXPECT_FALSE(parsed.settings.has_value());
  EXPECT_EQ(ToString(parsed.faults), GetParam().expected + "\n");
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    SettingsFaultTest,
    testing::Values(
        FaultCase{"OperatorNotLoopback", "127.0.0.1:5", "192.0.2.1:5",
                  "line 8, column 13: without operator_token_file it must be "
                  "a loopback address"},
        FaultCase{"OperatorWildcard", "127.0.0.1:5", "0.0.0.0:5",
                  "line 8, column 13: without operator_token_file it must be "
                  "a loopback address"},
        FaultCase{
            "HostName", "127.0.0.1:6", "table:6",
            "line 10, column 10: expected IP:PORT with a numeric IP address"},
        FaultCase{"StreamWildcard", "127.0.0.1:2", "0.0.0.0:2",
                  "line 5, column 11: other nodes cannot reach a wildcard "
                  "address"},
        FaultCase{"Twice", "127.0.0.1:4", "127.0.0.1:1",
                  "line 4, column 3: address 127.0.0.1:1 is used twice"},
        FaultCase{"UnknownKey", "region: quito", "region: quito\ncolour: red",
                  "line 3, column 1: unknown key 'colour'"},
        FaultCase{"RenamedKey", "region: quito",
                  "region: quito\npolicies: {caller_patience: true}",
                  "line 3, column 12: key 'caller_patience' has been renamed "
                  "to 'retry_detector'"},
        FaultCase{"MissingKey", "region: quito\n", "",
                  "line 1, column 1: missing key 'region'"},
        FaultCase{"LogLevel", "region: quito", "region: quito\nlog_level: loud",
                  "line 3, column 12: expected debug, info, warning or error"},
        FaultCase{"Range", "region: quito",
                  "region: quito\ntransport: {max_head_bytes: 10}",
                  "line 3, column 29: expected a whole number from 1024 to "
                  "65536"},
        FaultCase{"Unit", "region: quito",
                  "region: quito\nrouting: {warmup: 10}",
                  "line 3, column 19: expected a duration with its unit, such "
                  "as 50ms, 2s or 24h"},
        FaultCase{"Suspicion", "region: quito",
                  "region: quito\nmembership: {suspicion_time: 100ms}",
                  "line 3, column 30: suspicion_time is below "
                  "heartbeat_period"}),
    [](const auto& info) { return info.param.name; });

TEST(DaemonSettingsTest, ListsAllFaultsAtOnce) {
  const DaemonSettingsOrFaults parsed =
      TryParseDaemonSettings("addresses: {caller: x}\nlog_level: loud\n");
  // Missing: four addresses, the platform, the zone and the region. Invalid:
  // the caller address and the log level.
  EXPECT_EQ(parsed.faults.faults.size(), 9u);
}

}  // namespace
}  // namespace bulrushmount
