// Tests of `core/common/logging.h`.

#include "core/common/logging.h"

#include <gtest/gtest.h>

namespace bulrushmount {
namespace {

struct QuoteCase {
  std::string value;
  std::string expected;
};

class QuoteLogValueTest : public testing::TestWithParam<QuoteCase> {};

// Guards against forged events in the log: a caller puts a line break into a
// header whose value is logged.
TEST_P(QuoteLogValueTest, KeepsOneEventOnOneLine) {
  EXPECT_EQ(QuoteLogValue(GetParam().value), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    QuoteLogValueTest,
    testing::Values(QuoteCase{"plain", "plain"},
                    QuoteCase{"", "\"\""},
                    QuoteCase{"two words", "\"two words\""},
                    QuoteCase{"a\nevent=forged", "\"a\\x0aevent=forged\""},
                    QuoteCase{"say \"hi\"", "\"say \\\"hi\\\"\""}));

}  // namespace
}  // namespace bulrushmount
