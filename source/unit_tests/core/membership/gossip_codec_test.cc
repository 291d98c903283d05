// Tests of `gossip_codec.h`: encoded records are decoded unchanged and fit in a
// datagram, and malformed messages are dropped.

#include "core/membership/gossip_codec.h"

#include <functional>
#include <string>

#include <gtest/gtest.h>

#include "core/common/datagram.h"

namespace bulrushmount::detail {
namespace {

Member MakeMember(std::uint64_t id) {
  Member member;
  member.id = NodeId(id);
  member.stream_endpoint = {"10.1.2.3", 7000};
  member.gossip_endpoint = {"10.1.2.3", 7001};
  member.zone = AvailabilityZone("quito-1");
  member.region = Region("quito");
  member.incarnation = Incarnation(3);
  member.state = MemberState::kSuspect;
  member.revision = Revision(70);
  member.target = TargetSummary{ServiceName("session-desk"), Incarnation(9), 12,
                                true, true};
  return member;
}

gossip::Gossip MakeHead() {
  gossip::Gossip head;
  head.set_version(kGossipVersion);
  head.set_type(gossip::Gossip::PING);
  head.set_sender(5);
  head.set_sender_incarnation(1);
  return head;
}

TEST(GossipCodecTest, RecordsRoundTripAndShareTheirNames) {
  GossipWriter writer(MakeHead());
  Member other_address = MakeMember(2);
  other_address.gossip_endpoint.ip = "::1";
  ASSERT_TRUE(writer.Add(MakeMember(1)));
  ASSERT_TRUE(writer.Add(other_address));
  const auto parsed = ParseGossip(writer.Take());
  ASSERT_TRUE(parsed);
  EXPECT_EQ(parsed->names_size(), 3);
  EXPECT_EQ(ToMember(*parsed, parsed->records(0)), MakeMember(1));
  EXPECT_EQ(ToMember(*parsed, parsed->records(1)), other_address);
}

TEST(GossipCodecTest, FillsADatagramAndNoMore) {
  GossipWriter writer(MakeHead());
  std::size_t count = 0;
  while (writer.Add(MakeMember(++count))) {
  }
  Member with_new_names = MakeMember(count);
  with_new_names.zone = AvailabilityZone(std::string(60, 'z'));
  EXPECT_FALSE(writer.Add(with_new_names));
  EXPECT_EQ(writer.message().names_size(), 3);
  EXPECT_GT(count, 17U);
  const std::string payload = writer.Take();
  EXPECT_LE(payload.size(), kMaxDatagramPayload);
  EXPECT_TRUE(ParseGossip(payload));
}

TEST(GossipCodecTest, IgnoresFieldsOfLaterReleases) {
  const std::string unknown_field = {'\xf8', '\x07', '\x01'};
  EXPECT_TRUE(ParseGossip(MakeHead().SerializeAsString() + unknown_field));
}

struct FaultCase {
  const char* name;
  std::function<void(gossip::Gossip&)> damage;
};

class MalformedGossipTest : public testing::TestWithParam<FaultCase> {};

TEST_P(MalformedGossipTest, IsDropped) {
  GossipWriter writer(MakeHead());
  writer.Add(MakeMember(1));
  writer.Add(StateChange{NodeId(2), Incarnation(1), MemberState::kDead});
  ASSERT_TRUE(ParseGossip(writer.message().SerializeAsString()));
  GetParam().damage(writer.message());
  EXPECT_FALSE(ParseGossip(writer.message().SerializeAsString()));
}

INSTANTIATE_TEST_SUITE_P(
    Faults,
    MalformedGossipTest,
    testing::Values(
        FaultCase{"sender", [](auto& m) { m.set_sender(0); }},
        FaultCase{"version", [](auto& m) { m.set_version(0); }},
        FaultCase{"state", [](auto& m) { m.mutable_records(0)->set_state(4); }},
        FaultCase{"zone", [](auto& m) { m.mutable_records(0)->set_zone(9); }},
        FaultCase{"no_zone",
                  [](auto& m) { m.mutable_records(0)->set_zone(0); }},
        FaultCase{"ip", [](auto& m) { m.mutable_records(0)->set_ip("x"); }},
        FaultCase{
            "port",
            [](auto& m) { m.mutable_records(0)->set_gossip_port(70000); }},
        FaultCase{"incarnation",
                  [](auto& m) {
                    m.mutable_state_changes(0)->set_incarnation(~0ULL);
                  }},
        FaultCase{"long_name",
                  [](auto& m) { m.add_names(std::string(200, 'n')); }},
        FaultCase{"broadcast",
                  [](auto& m) {
                    m.add_broadcasts()->set_payload(std::string(300, 'b'));
                  }}),
    [](const auto& info) { return info.param.name; });

TEST(GossipCodecTest, DropsBytesThatDoNotParse) {
  EXPECT_FALSE(ParseGossip(""));
  EXPECT_FALSE(ParseGossip("\x0a"));
  EXPECT_FALSE(ParseGossip(std::string(1199, '\xff')));
}

}  // namespace
}  // namespace bulrushmount::detail
