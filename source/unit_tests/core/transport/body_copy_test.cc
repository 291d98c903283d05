// Tests of `core/transport/body_copy.h`.

#include "core/transport/body_copy.h"

#include <gtest/gtest.h>

namespace bulrushmount {
namespace {

struct CopyCase {
  std::string body;
  std::size_t limit = 0;
  std::optional<std::string> expected;
};

class CopyingSourceTest : public testing::TestWithParam<CopyCase> {};

// Guards against a retry of a request getting a truncated answer: an answer
// larger than the limit was cut off there instead of not being kept at all.
TEST_P(CopyingSourceTest, KeepsWholeBodiesOnly) {
  const auto source = std::make_shared<CopyingSource>(
      std::make_shared<StringSource>(GetParam().body), GetParam().limit);
  std::string relayed;
  bool is_at_end = false;
  while (!is_at_end) {
    source->Read([&](const BodyRead& read) {
      relayed += read.data;
      is_at_end = read.status != BodyStatus::kChunk;
    });
  }
  EXPECT_EQ(relayed, GetParam().body);
  EXPECT_EQ(source->TakeCopy(), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(Cases,
                         CopyingSourceTest,
                         testing::Values(CopyCase{"", 4, ""},
                                         CopyCase{"four", 4, "four"},
                                         CopyCase{"fives", 4, std::nullopt}));

}  // namespace
}  // namespace bulrushmount
