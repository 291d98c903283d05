// Tests of `core/workspace_limits/workspace_limits_codec.h`.

#include "core/workspace_limits/workspace_limits_codec.h"

#include <gtest/gtest.h>

#include "core/common/datagram.h"
#include "core/workspace_limits/workspace_limits.pb.h"

namespace bulrushmount {
namespace {

using std::chrono_literals::operator""ms;

WorkspaceLimitsDatagram FullDatagram() {
  WorkspaceLimitsDatagram datagram;
  datagram.sender = NodeId(0xfedcba9876543210);
  datagram.destination = NodeId(2);
  datagram.requests = {
      {WorkspaceKey(3), UnitRequestNumber(4), 5, 6, 7, 8, 9ms, true}};
  datagram.responses = {
      {WorkspaceKey(10), UnitRequestNumber(11), 12, 13ms, 14ms, true}};
  datagram.takeovers = {{WorkspaceKey(15), UnitRequestNumber(16)}};
  datagram.takeover_responses = {
      {WorkspaceKey(17), UnitRequestNumber(18), true, 19.5, 0.5, 20}};
  return datagram;
}

TEST(WorkspaceLimitsCodecTest, DecodesWhatItEncodes) {
  const WorkspaceLimitsDatagram datagram = FullDatagram();
  const std::vector<std::string> packed = EncodeWorkspaceLimits(datagram);
  ASSERT_EQ(packed.size(), 1U);
  const auto decoded = DecodeWorkspaceLimits(packed.front());
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->sender, datagram.sender);
  EXPECT_EQ(decoded->destination, datagram.destination);
  EXPECT_EQ(decoded->requests, datagram.requests);
  EXPECT_EQ(decoded->responses, datagram.responses);
  EXPECT_EQ(decoded->takeovers, datagram.takeovers);
  EXPECT_EQ(decoded->takeover_responses, datagram.takeover_responses);
}

// Guards against messages whose bytes cost more than the calls they limit: most
// requests and responses are these.
TEST(WorkspaceLimitsCodecTest, KeepsUsualMessagesSmall) {
  constexpr std::size_t max_size = 30;
  WorkspaceLimitsDatagram request;
  request.sender = NodeId(0xfedcba9876543210);
  request.requests = {
      {WorkspaceKey(0xfedcba9876543210), UnitRequestNumber(1'000'000), 1}};
  EXPECT_LE(EncodeWorkspaceLimits(request).front().size(), max_size);
  WorkspaceLimitsDatagram response;
  response.responses = {{WorkspaceKey(0xfedcba9876543210),
                         UnitRequestNumber(1'000'000), 0, 50ms, 2000ms}};
  EXPECT_LE(EncodeWorkspaceLimits(response).front().size(), max_size);
}

// Guards against datagrams that are lost because they are fragmented.
TEST(WorkspaceLimitsCodecTest, SplitsManyMessages) {
  WorkspaceLimitsDatagram datagram;
  datagram.sender = NodeId(~0ULL);
  datagram.destination = NodeId(~0ULL);
  for (std::uint32_t index = 0; index < 100; ++index) {
    datagram.requests.push_back({WorkspaceKey(~0ULL), UnitRequestNumber(~0ULL),
                                 ~0U, ~0U, ~0U, ~0U, 100'000'000ms, true});
    datagram.takeover_responses.push_back(
        {WorkspaceKey(~0ULL), UnitRequestNumber(~0ULL), true, 1e9, 1, ~0U});
  }
  std::size_t requests = 0;
  std::size_t responses = 0;
  for (const std::string& packed : EncodeWorkspaceLimits(datagram)) {
    EXPECT_LE(packed.size(), kMaxDatagramPayload);
    const auto decoded = DecodeWorkspaceLimits(packed);
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->sender, datagram.sender);
    requests += decoded->requests.size();
    responses += decoded->takeover_responses.size();
  }
  EXPECT_EQ(requests, 100U);
  EXPECT_EQ(responses, 100U);
}

// Guards against a corrupted level that fills a bucket beyond any limit.
TEST(WorkspaceLimitsCodecTest, RefusesLevelsThatAreNoAmounts) {
  for (const float level : {-1.0F, std::numeric_limits<float>::infinity(),
                            std::numeric_limits<float>::quiet_NaN()}) {
    for (const bool is_scale : {false, true}) {
      wire::WorkspaceLimitsMessage message;
      auto& response = *message.add_takeover_responses();
      if (is_scale)
        response.set_scale(level);
      else
        response.set_level(level);
      EXPECT_FALSE(DecodeWorkspaceLimits(message.SerializeAsString()));
    }
  }
  EXPECT_FALSE(DecodeWorkspaceLimits("\xff\xff"));
}

}  // namespace
}  // namespace bulrushmount
