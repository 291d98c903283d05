// Tests that malformed input on any port of a node does not stop it from
// serving: each sender gets an error or a closed connection, and later calls
// are answered.

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

// The reaction that the sender must get.
enum class Reaction : unsigned char {
  // An error status (4xx or 5xx) or a closed connection.
  kRefused,
  // A 4xx status with the outcome "not-run".
  kNotRun,
  // No answer, since the sender disconnects before its request is complete.
  kNone,
};

struct HostileCase {
  const char* name;
  Endpoint Instance::*port;
  std::function<std::string()> bytes;
  Reaction reaction;
};

std::string RandomBytes(std::size_t size) {
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

// Guards against a node that crashes or hangs on invalid input because a parser
// trusts it. The test must also fail if a malformed request is reported with
// the outcome "unknown" in place of "not-run".
TEST_P(HostileInputTest, IsRefusedAndTheNodeKeepsServing) {
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
                    [] { return RandomBytes(100'000); }, Reaction::kRefused},
        HostileCase{"GarbageToStreamPort", &Instance::stream,
                    [] { return RandomBytes(100'000); }, Reaction::kRefused},
        HostileCase{"GarbageToTargetPort", &Instance::announce,
                    [] { return RandomBytes(100'000); }, Reaction::kRefused},
        HostileCase{"GarbageToOperatorPort", &Instance::operators,
                    [] { return RandomBytes(100'000); }, Reaction::kRefused},
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
                             RandomBytes(200'000);
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
    // The first byte selects the kind of datagram; the rest is random.
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
