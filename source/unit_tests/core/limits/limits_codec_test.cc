// Tests of `core/limits/limits_codec.h` and `core/limits/rendezvous.h`.

#include "core/limits/limits_codec.h"

#include <limits>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "core/common/datagram.h"

namespace bulrushmount {
namespace {

constexpr std::uint32_t kMaxUint32 = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t kMessages = 100;
constexpr std::uint64_t kKeys = 11000;

AllotmentRequest LargestRequest(std::uint64_t number) {
  AllotmentRequest request;
  request.workspace = WorkspaceKey(number);
  request.session = LendingSession(~std::uint64_t{0});
  request.number = RequestNumber(~std::uint64_t{0});
  request.used_units = 1.25;
  request.target_units = 2.5;
  request.demand = 0.5;
  request.in_flight = kMaxUint32;
  request.in_flight_target = kMaxUint32;
  request.in_flight_held = kMaxUint32;
  request.rate_held = 8;
  request.applied = RequestNumber(~std::uint64_t{0});
  request.is_release = true;
  return request;
}

TEST(LimitsCodecTest, PacksAnyNumberOfMessagesWithinTheSizeOfADatagram) {
  LimitsDatagram datagram;
  datagram.sender = NodeId(~std::uint64_t{0});

  for (std::uint64_t number = 1; number <= kMessages; ++number) {
    datagram.requests.push_back(LargestRequest(number));
    Allotment allotment;
    allotment.workspace = WorkspaceKey(number);
    allotment.rate = 0.25;
    allotment.term = std::chrono::seconds(62);
    allotment.pace = RequestPace::kConfirm;
    datagram.allotments.push_back(allotment);
  }
  std::uint64_t requests = 0;
  std::uint64_t allotments = 0;
  for (const std::string& bytes : EncodeLimits(datagram)) {
    EXPECT_LE(bytes.size(), kMaxDatagramPayload);
    const auto decoded = DecodeLimits(bytes);
    ASSERT_TRUE(decoded.has_value());
    EXPECT_EQ(decoded->sender, datagram.sender);
    for (const AllotmentRequest& request : decoded->requests) {
      EXPECT_EQ(request.workspace, WorkspaceKey(++requests));
      EXPECT_EQ(request.used_units, 1.25);
      EXPECT_TRUE(request.is_release);
    }
    for (const Allotment& allotment : decoded->allotments) {
      EXPECT_EQ(allotment.workspace, WorkspaceKey(++allotments));
      EXPECT_EQ(allotment.rate, 0.25);
      EXPECT_EQ(allotment.term, std::chrono::seconds(62));
      EXPECT_EQ(allotment.pace, RequestPace::kConfirm);
    }
  }
  EXPECT_EQ(requests, kMessages);
  EXPECT_EQ(allotments, kMessages);
}

TEST(LimitsCodecTest, DropsInvalidAmounts) {
  for (const double amount : {-1.0, std::numeric_limits<double>::infinity(),
                              std::numeric_limits<double>::quiet_NaN()}) {
    LimitsDatagram datagram;
    datagram.requests = {LargestRequest(1)};
    datagram.requests.front().used_units = amount;
    EXPECT_FALSE(DecodeLimits(EncodeLimits(datagram).front()).has_value());
  }
}

RC_GTEST_PROP(LimitsCodecTest,
              SurvivesArbitraryBytes,
              (const std::string& bytes)) {
  DecodeLimits(bytes);
}

std::vector<Peer> PeersUpTo(std::uint64_t count) {
  std::vector<Peer> peers;
  for (std::uint64_t id = 1; id <= count; ++id)
    peers.push_back({NodeId(id), Endpoint()});
  return peers;
}

TEST(RendezvousTest, ADepartureMovesOnlyTheKeysOfTheDeparted) {
  const std::vector<Peer> before = PeersUpTo(11);
  std::vector<Peer> after = before;
  after.erase(after.begin() + 4);
  EXPECT_TRUE(HasDeparture(before, after));
  EXPECT_FALSE(HasDeparture(after, before));
  std::vector<int> homes(12, 0);

  for (std::uint64_t key = 0; key < kKeys; ++key) {
    const NodeId home = RendezvousHome(before, key)->id;
    ++homes[home.value()];
    if (home != NodeId(5)) {
      EXPECT_EQ(RendezvousHome(after, key)->id, home);
    }
  }
  for (std::uint64_t id = 1; id <= 11; ++id)
    EXPECT_NEAR(homes[id], 1000, 200);
}

TEST(RendezvousTest, NoMembersHaveNoHome) {
  EXPECT_EQ(RendezvousHome({}, 1), nullptr);
}

}  // namespace
}  // namespace bulrushmount
