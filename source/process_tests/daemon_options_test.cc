// Tests the command-line options, messages and exit codes of `bulrushmountd`.

#include <fstream>
#include <string>
#include <vector>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "process_tests/process_fixture.h"

namespace bulrushmount {
namespace {

using testing::HasSubstr;
using testing::IsEmpty;

constexpr char kValidSettings[] = R"(availability_zone: quito-1
region: quito
addresses:
  caller: 127.0.0.1:8080
  stream: 127.0.0.1:7000
  gossip: 127.0.0.1:7001
  target: 127.0.0.1:8081
  operator: 127.0.0.1:8082
platform:
  table: 127.0.0.1:9000
  objects: 127.0.0.1:9001
)";

struct OptionCase {
  const char* name;
  // The content of the settings file, whose path replaces the argument FILE.
  std::string settings;
  std::vector<std::string> arguments;
  int code;
  const char* out;
  const char* error;
};

void PrintTo(const OptionCase& test, std::ostream* stream) {
  *stream << test.name;
}

class DaemonOptionsTest : public ProcessTest,
                          public testing::WithParamInterface<OptionCase> {};

TEST_P(DaemonOptionsTest, ExitCodeAndOutput) {
  const OptionCase& test = GetParam();
  const std::string file = FilePath("node.yaml");
  std::ofstream(file) << test.settings;
  std::vector<std::string> arguments = test.arguments;
  for (std::string& argument : arguments) {
    if (argument == "FILE") {
      argument = file;
    }
  }
  const auto process = Start(BULRUSHMOUNT_DAEMON, arguments);
  const auto exit = process->WaitForExit();
  ASSERT_TRUE(exit);
  EXPECT_EQ(exit->code, test.code);
  EXPECT_THAT(process->StdoutText(), HasSubstr(test.out));
  EXPECT_THAT(process->StderrText(), HasSubstr(test.error));
  if (test.code == 0) {
    EXPECT_THAT(process->StderrText(), IsEmpty());
  }
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    DaemonOptionsTest,
    testing::Values(
        OptionCase{"Help", "", {"--help"}, 0, "--settings FILE", ""},
        OptionCase{"Version", "", {"--version"}, 0, "bulrushmountd 0.", ""},
        OptionCase{"NoSettings", "", {}, 2, "", "--settings FILE is needed"},
        OptionCase{"UnknownOption", "", {"--frob"}, 2, "", "frob"},
        OptionCase{"NoFile",
                   "",
                   {"--settings", "no-such-file.yaml"},
                   2,
                   "",
                   "no-such-file.yaml: cannot be read"},
        OptionCase{"Sound",
                   kValidSettings,
                   {"--settings", "FILE", "--check-settings"},
                   0,
                   "",
                   ""},
        OptionCase{"UnknownKey",
                   std::string(kValidSettings) + "colour: red\n",
                   {"--settings", "FILE", "--check-settings"},
                   2,
                   "",
                   "node.yaml:12:1: "},
        // Without --check-settings, invalid settings are refused before the
        // daemon starts to listen.
        OptionCase{"FaultAtStart",
                   std::string(kValidSettings) + "log_level: loud\n",
                   {"--settings", "FILE"},
                   2,
                   "",
                   "expected debug, info, warning or error"}),
    [](const testing::TestParamInfo<OptionCase>& info) {
      return std::string(info.param.name);
    });

// All errors of a settings file are reported at once, so that an operator can
// correct them together.
TEST_F(DaemonOptionsTest, ListsEveryError) {
  const std::string file = FilePath("node.yaml");
  std::ofstream(file) << kValidSettings << "log_level: loud\ncolour: red\n";
  const auto process =
      Start(BULRUSHMOUNT_DAEMON, {"--settings", file, "--check-settings"});
  const auto exit = process->WaitForExit();
  ASSERT_TRUE(exit);
  EXPECT_EQ(exit->code, 2);
  EXPECT_THAT(process->StderrText(), HasSubstr("node.yaml:12:"));
  EXPECT_THAT(process->StderrText(), HasSubstr("node.yaml:13:"));
}

// An address that is in use gives exit code 1, not 2, since the settings are
// valid.
TEST_F(DaemonOptionsTest, AddressInUse) {
  const Endpoint platform = FreeEndpoint();
  const auto platform_process = StartPlatform(platform);
  const std::string file = FilePath("node.yaml");
  std::string settings = kValidSettings;
  const std::string stream = "127.0.0.1:7000";
  settings.replace(settings.find(stream), stream.size(), ToString(platform));
  std::ofstream(file) << settings;
  const auto process = Start(BULRUSHMOUNT_DAEMON, {"--settings", file});
  const auto exit = process->WaitForExit();
  ASSERT_TRUE(exit);
  EXPECT_EQ(exit->code, 1);
  EXPECT_THAT(process->StdoutText(), HasSubstr("listen.failed"));
}

}  // namespace
}  // namespace bulrushmount
