// Proof that no input on any of a node's ports keeps it from serving: each case
// gets a clear error or a closed connection, and then a call is answered.

#include <functional>
#include <string>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include "process_tests/fleet_fixture.h"
#include "process_tests/raw_caller.h"
#include "stand_ins/request_digest.h"

namespace bulrushmount {
namespace {

constexpr std::size_t kMegabyte = 1'000'000;

// What the sender must see.
enum class Reaction : unsigned char {
  // A status of 4xx or 5xx, or a closed connection.
  kRefused,
  // Exactly this: a 4xx that says "not-run".
  kNotRun,
  // Nothing yet: the sender hangs up.
  kNone,
};

struct HostileCase {
  const char* name;
  Endpoint Instance::*port;
  std::function<std::string()> bytes;
  Reaction reaction;
};

std::string Garbage(std::size_t size) {
  return StreamBytes(99, 0, size);
}

std::string Head(const std::string& line, const std::string& fields) {
  return fmt::format(
      "{} HTTP/1.1\r\nHost: {}\r\nBulrushmount-Workspace: {}\r\n{}\r\n", line,
      kTestService, kTestWorkspace, fields);
}

class HostileInputTest : public FleetTest,
                         public testing::WithParamInterface<HostileCase> {
 protected:
  void ExpectServing() {
    EXPECT_TRUE(at(0).node->IsRunning()) << at(0).node->StdoutText();
    for (std::size_t n = 0; n < 5; ++n) {
      const CallAnswer answer = Call(0, {});
      EXPECT_TRUE(answer.is_answered()) << ToText(answer);
    }
  }
};

// Symptom: a node vanishes or hangs.
// Sequence: bytes that no proper sender sends arrive at one of its ports.
// Cause: a parser that trusts its input. The named mutation: what is refused as
// malformed is told as unknown.
TEST_P(HostileInputTest, IsRefusedAndTheNodeGoesOn) {
  FleetOptions options;
  options.instances = 2;
  StartFleet(options);
  for (int repeat = 0; repeat < 3; ++repeat) {
    RawCaller sender(at(0).*GetParam().port);
    sender.Send(GetParam().bytes());
    if (GetParam().reaction == Reaction::kNone) {
      continue;
    }
    EXPECT_TRUE(WaitUntil([&] {
      sender.ReadUntil(sender.bytes().size() + 1,
                       std::chrono::milliseconds(50));
      return sender.is_closed() || sender.status() >= 400 ||
             (GetParam().reaction == Reaction::kRefused &&
              !sender.bytes().empty() && sender.status() == 0);
    })) << sender.bytes();
    if (GetParam().reaction == Reaction::kNotRun) {
      EXPECT_GE(sender.status(), 400U) << sender.bytes();
      EXPECT_LT(sender.status(), 500U) << sender.bytes();
      EXPECT_NE(sender.bytes().find("Bulrushmount-Outcome: not-run"),
                std::string::npos)
          << sender.bytes();
    }
  }
  ExpectServing();
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    HostileInputTest,
    testing::Values(
        HostileCase{"GarbageToCallerPort", &Instance::caller,
                    [] { return Garbage(100'000); }, Reaction::kRefused},
        HostileCase{"GarbageToStreamPort", &Instance::stream,
                    [] { return Garbage(100'000); }, Reaction::kRefused},
        HostileCase{"GarbageToTargetPort", &Instance::announce,
                    [] { return Garbage(100'000); }, Reaction::kRefused},
        HostileCase{"GarbageToOperatorPort", &Instance::operators,
                    [] { return Garbage(100'000); }, Reaction::kRefused},
        HostileCase{"HeadTooLarge", &Instance::caller,
                    [] {
                      return Head("GET /read",
                                  "X: " + std::string(kMegabyte, 'x') + "\r\n");
                    },
                    Reaction::kNotRun},
        HostileCase{"TwoContentLengths", &Instance::caller,
                    [] {
                      return Head("POST /read",
                                  "Content-Length: 3\r\n"
                                  "Content-Length: 5\r\n") +
                             "abcde";
                    },
                    Reaction::kNotRun},
        HostileCase{"ContentLengthWithChunked", &Instance::caller,
                    [] {
                      return Head("POST /read",
                                  "Content-Length: 3\r\n"
                                  "Transfer-Encoding: chunked\r\n") +
                             "0\r\n\r\n";
                    },
                    Reaction::kNotRun},
        HostileCase{"ChunkedBroken", &Instance::caller,
                    [] {
                      return Head("POST /read",
                                  "Transfer-Encoding: chunked\r\n") +
                             "zz\r\nabc";
                    },
                    Reaction::kRefused},
        HostileCase{"NegativeContentLength", &Instance::caller,
                    [] { return Head("POST /read", "Content-Length: -1\r\n"); },
                    Reaction::kNotRun},
        HostileCase{"TruncatedBody", &Instance::caller,
                    [] {
                      return Head("POST /read", "Content-Length: 500000\r\n") +
                             Garbage(200'000);
                    },
                    Reaction::kNone},
        HostileCase{"TruncatedHead", &Instance::caller,
                    [] { return std::string("GET /read HTTP/1.1\r\nHo"); },
                    Reaction::kNone},
        HostileCase{"UnknownWorkspace", &Instance::caller,
                    [] {
                      return std::string(
                          "GET /read HTTP/1.1\r\nHost: session-desk\r\n"
                          "Bulrushmount-Workspace: nobody\r\n\r\n");
                    },
                    Reaction::kNotRun},
        HostileCase{"BadDeadline", &Instance::caller,
                    [] {
                      return Head("GET /read",
                                  "Bulrushmount-Deadline-Ms: -5\r\n");
                    },
                    Reaction::kNotRun},
        HostileCase{"HugeYaml", &Instance::operators,
                    [] {
                      return "PUT /contracts/studio HTTP/1.1\r\nHost: a\r\n"
                             "Content-Length: 20000000\r\n\r\n" +
                             std::string(20 * kMegabyte, '[');
                    },
                    Reaction::kRefused},
        HostileCase{"DeepYaml", &Instance::operators,
                    [] {
                      return "PUT /contracts/studio HTTP/1.1\r\nHost: a\r\n"
                             "Content-Length: 60000\r\n\r\n" +
                             std::string(60'000, '[');
                    },
                    Reaction::kRefused},
        HostileCase{"BadAnnouncement", &Instance::announce,
                    [] {
                      return std::string(
                          "PUT /target HTTP/1.1\r\nHost: a\r\n"
                          "Content-Length: 13\r\n\r\n{\"slots\":-1}\n");
                    },
                    Reaction::kRefused}),
    [](const auto& info) { return std::string(info.param.name); });

class HostileDatagramTest : public FleetTest {};

TEST_F(HostileDatagramTest, GarbageDatagramsAreDropped) {
  FleetOptions options;
  options.instances = 2;
  StartFleet(options);
  boost::asio::io_context io;
  boost::asio::ip::udp::socket socket(io, boost::asio::ip::udp::v4());
  const Endpoint& gossip = at(0).gossip;
  const boost::asio::ip::udp::endpoint to(
      boost::asio::ip::make_address(gossip.ip), gossip.port);
  for (std::size_t size = 0; size < 1400; ++size) {
    // Each kind of datagram with a broken rest, too.
    std::string bytes = StreamBytes(size, 0, size);
    if (!bytes.empty()) {
      bytes[0] = static_cast<char>(size % 16);
    }
    boost::system::error_code ignored;
    socket.send_to(boost::asio::buffer(bytes), to, 0, ignored);
  }
  WaitForFleet();
  for (std::size_t n = 0; n < 10; ++n) {
    const CallAnswer answer = Call(n % size(), {});
    EXPECT_TRUE(answer.is_answered()) << ToText(answer);
  }
}

}  // namespace
}  // namespace bulrushmount
