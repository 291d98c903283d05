// Tests uploads that are relayed through one or two real nodes to a target
// which refuses or answers them before their bodies have arrived.

#include <algorithm>
#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <tuple>

#include <gtest/gtest.h>

#include "unit_tests/core/transport/transport_test_support.h"

namespace bulrushmount::testing {
namespace {

constexpr int kUploads = 60;
// The part of a body that can be sent again. More than the flow-control window
// of a stream, so that its last bytes wait until the owner reads.
constexpr std::size_t kBufferedBytes = 65536;
// Enough for an upload to be sent to a target.
constexpr std::size_t kSentBytes = 80'000;
constexpr std::size_t kMinBodyBytes = 100'000;
constexpr std::size_t kMaxBodyBytes = 300'000;

enum class Path { kLocal, kTwoNodes };
enum class Framing { kLength, kChunked };

struct Refusal {
  const char* name;
  int status;
  // Number of targets in a row that refuse an upload.
  int count;
};

// Reads the statuses with which targets state that they did not run a request.
class RefusingDialect : public NativeTargetDialect {
 public:
  TargetVerdict ReadAnswer(
      const RequestId&,
      int status,
      const boost::beast::http::fields& fields) const override {
    TargetVerdict verdict;
    verdict.is_wrong_target = status == 421;
    verdict.is_shed = !verdict.is_wrong_target && fields.count("X-Not-Run") > 0;
    return verdict;
  }
};

std::string BodyOf(int upload, std::size_t size) {
  std::string body;
  for (int line = 0; body.size() < size; ++line) {
    body += "upload " + std::to_string(upload) + " line " +
            std::to_string(line) + "\n";
  }
  body.resize(size);
  return body;
}

std::string Framed(const std::string& body, Framing framing) {
  if (framing == Framing::kLength) {
    return "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  std::string text = "Transfer-Encoding: chunked\r\n\r\n";
  for (std::size_t at = 0; at < body.size(); at += 8192) {
    const std::string part = body.substr(at, 8192);
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", part.size());
    text += size + part + "\r\n";
  }
  return text + "0\r\n\r\n";
}

// The body of a request that has arrived; false if a part is missing.
bool ReadWholeBody(const std::string& request, std::string& body) {
  const std::size_t end = request.find("\r\n\r\n");
  if (end == std::string::npos) {
    return false;
  }
  const std::string head = request.substr(0, end + 2);
  std::size_t at = end + 4;
  const std::size_t length = head.find("Content-Length: ");
  if (length != std::string::npos) {
    body = request.substr(at);
    return body.size() >= std::stoul(head.substr(length + 16));
  }
  body.clear();
  while (true) {
    const std::size_t line = request.find("\r\n", at);
    if (line == std::string::npos) {
      return false;
    }
    const std::size_t size =
        std::stoul(request.substr(at, line - at), nullptr, 16);
    if (request.size() < line + 2 + size + 2) {
      return false;
    }
    if (size == 0) {
      return true;
    }
    body += request.substr(line + 2, size);
    at = line + 2 + size + 2;
  }
}

class UploadTest
    : public ::testing::TestWithParam<std::tuple<Path, Framing, Refusal>> {
 public:
  UploadTest() {
    owner.Announce(target.endpoint());
    first().SendTo(owner);
    first().logic.retries_refused = true;
  }

  Path path() const { return std::get<Path>(GetParam()); }
  Framing framing() const { return std::get<Framing>(GetParam()); }
  const Refusal& refusal() const { return std::get<Refusal>(GetParam()); }

  // The node that the caller is connected to.
  TestNode& first() { return path() == Path::kLocal ? owner : entry; }
  TestNode& other() { return path() == Path::kLocal ? entry : owner; }

  static DriverSettings Settings(std::uint64_t id) {
    static const RefusingDialect dialect;
    DriverSettings settings = LoopbackSettings(id);
    settings.callers.max_buffered_body = kBufferedBytes;
    settings.target_dialect = &dialect;
    return settings;
  }

  // Prepares an upload on a connection of its own.
  void NewUpload() {
    ++upload;
    body = BodyOf(upload, kMinBodyBytes + random.NextBits() %
                                              (kMaxBodyBytes - kMinBodyBytes));
    refusals_left =
        static_cast<int>(random.NextBits() % (refusal().count + 1U));
    caller = RawPeer::Connect(context, first().driver.caller_endpoint());
    request = "POST /a HTTP/1.1\r\nHost: desk\r\n" + Framed(body, framing());
  }

  bool RunUntilAnswered() {
    return RunUntil(context, [this] {
      return caller->is_at_end() ||
             caller->received().find("\r\n\r\n") != std::string::npos;
    });
  }

  // Sends an upload and waits for its answer.
  void Upload() {
    NewUpload();
    caller->Send(request);
    ASSERT_TRUE(RunUntilAnswered()) << "upload " << upload;
    const std::string& answer = caller->received();
    const bool is_done = answer.starts_with("HTTP/1.1 200 ");
    answered += is_done ? 1 : 0;
    EXPECT_TRUE(is_done || answer.find("Outcome: not-run") != std::string::npos)
        << answer;
    caller->Close();
  }

  void ExpectWholeRuns() const {
    EXPECT_EQ(changed, 0) << "of " << runs << " runs";
    EXPECT_EQ(runs, answered);
    EXPECT_GT(refused, 0);
    EXPECT_GT(runs, 0);
  }

  // Refuses as long as `refusals_left` says, each time once a part of the
  // request has arrived, and runs what arrives whole.
  void OnBytes(RawPeer& peer) {
    if (peer.received().starts_with("GET ")) {
      peer.received().clear();
      parent = &peer;
      return;
    }
    const auto [place, is_new] = requests.try_emplace(&peer);
    Request& arriving = place->second;
    if (is_new) {
      arriving.body = body;
    }
    if (is_new && refusals_left > 0) {
      --refusals_left;
      arriving.refuse_at = 1 + random.NextBits() % kMinBodyBytes;
    }
    if (arriving.refuse_at > 0) {
      // Reads on after the refusal.
      if (peer.received().size() >= arriving.refuse_at) {
        arriving.refuse_at = kMaxBodyBytes * 2;
        peer.Send("HTTP/1.1 " + std::to_string(refusal().status) +
                  " X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
        ++refused;
      }
      return;
    }
    std::string arrived;
    const bool is_whole = ReadWholeBody(peer.received(), arrived);
    // What has arrived must be the beginning of what was sent.
    changed += arriving.body.starts_with(arrived) ? 0 : 1;
    if (answers_early && !is_whole && !arriving.is_answered) {
      arriving.is_answered = true;
      ++early;
      peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
    }
    if (answers_early || !is_whole) {
      return;
    }
    peer.received().clear();
    ++runs;
    changed += arrived == arriving.body ? 0 : 1;
    requests.erase(place);
    peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
  }

  // A request that is arriving at the target.
  struct Request {
    // The body that was sent.
    std::string body;
    // The number of bytes after which it is refused; 0: never.
    std::size_t refuse_at = 0;
    bool is_answered = false;
  };

  SeededRandomSource random{20261204};
  int upload = 0;
  std::string body;
  std::string request;
  int refusals_left = 0;
  int refused = 0;
  int runs = 0;
  // Uploads that were answered with 200.
  int answered = 0;
  // Whether targets answer as soon as they have a part of the body.
  bool answers_early = false;
  int early = 0;
  // Reads of a body that differs from the one that was sent.
  int changed = 0;
  boost::asio::io_context context;
  // The requests in progress by the target's connections.
  std::map<const RawPeer*, Request> requests;
  RawTarget target{context, [this](RawPeer& peer) { OnBytes(peer); }};
  TestNode owner{context, Settings(2)};
  TestNode entry{context, Settings(1)};
  std::shared_ptr<RawPeer> caller;
  // The connection on which a target runs a GET request.
  RawPeer* parent = nullptr;
};

// Guards against a target that runs an upload of which a part is missing: the
// attempt that another target has refused still reads from the caller.
TEST_P(UploadTest, RefusedUploadReachesTheNextTargetWholeOrNotAtAll) {
  for (int i = 0; i < kUploads; ++i)
    ASSERT_NO_FATAL_FAILURE(Upload());
  ExpectWholeRuns();
}

// Guards against the same for an upload that a target makes while it runs a
// request, and against a parent that is lost with it.
TEST_P(UploadTest, RefusedUploadOfATargetIsWholeAndKeepsItsParent) {
  first().Announce(target.endpoint());
  other().SendTo(first());
  for (int i = 0; i < kUploads; ++i) {
    const auto parent_caller =
        RawPeer::Connect(context, other().driver.caller_endpoint());
    parent = nullptr;
    parent_caller->Send(Get("/parent"));
    ASSERT_TRUE(RunUntil(context, [this] { return parent != nullptr; }));
    ASSERT_NO_FATAL_FAILURE(Upload());
    parent->Send("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nparent");
    ASSERT_TRUE(RunUntil(context, [&parent_caller] {
      return parent_caller->received().ends_with("parent");
    }));
    parent_caller->Close();
  }
  ExpectWholeRuns();
}

// Guards against a target that runs an upload whose caller has left in the
// middle, before or after another target has refused it.
TEST_P(UploadTest, InterruptedUploadIsNotRun) {
  for (int i = 0; i < kUploads; ++i) {
    NewUpload();
    const std::size_t before = target.connections();
    const std::size_t sent =
        kSentBytes + random.NextBits() % (body.size() - kSentBytes);
    caller->Send(request.substr(0, sent));
    ASSERT_TRUE(RunUntil(context, [&] {
      return caller->is_at_end() || target.connections() > before;
    }));
    const std::uint64_t turns = random.NextBits() % 64;
    for (std::uint64_t turn = 0; turn < turns; ++turn) {
      context.restart();
      context.poll_one();
    }
    caller->Close();
    ASSERT_TRUE(RunUntil(
        context,
        [&] {
          bool are_closed = true;
          for (std::size_t peer = before; peer < target.connections(); ++peer)
            are_closed = are_closed && target.peer(peer).is_at_end();
          return are_closed;
        }))
        << "upload " << upload;
  }
  EXPECT_EQ(runs, 0);
}

// Guards against an early answer that is lost, or a connection on which the
// target gets other bytes than the rest of the body.
TEST_P(UploadTest, AnswerBeforeTheEndOfTheBodyIsRelayed) {
  answers_early = true;
  for (int i = 0; i < kUploads; ++i) {
    NewUpload();
    caller->Send(request);
    ASSERT_TRUE(RunUntilAnswered()) << "upload " << upload;
    EXPECT_TRUE(caller->received().starts_with("HTTP/1.1 200 ") ||
                caller->received().find("Outcome: not-run") !=
                    std::string::npos)
        << caller->received();
    caller->Close();
  }
  EXPECT_EQ(changed, 0);
  EXPECT_GT(early, 0);
}

constexpr Refusal kRefusals[] = {{"Unavailable", 503, 1},
                                 {"TooManyRequests", 429, 1},
                                 {"Misdirected", 421, 1},
                                 {"BadRequest", 400, 1},
                                 {"TwiceUnavailable", 503, 2}};

INSTANTIATE_TEST_SUITE_P(
    Refusals,
    UploadTest,
    ::testing::Combine(::testing::Values(Path::kLocal, Path::kTwoNodes),
                       ::testing::Values(Framing::kLength, Framing::kChunked),
                       ::testing::ValuesIn(kRefusals)),
    [](const auto& info) {
      return std::string(std::get<Path>(info.param) == Path::kLocal
                             ? "Local"
                             : "TwoNodes") +
             (std::get<Framing>(info.param) == Framing::kLength ? "Length"
                                                                : "Chunked") +
             std::get<Refusal>(info.param).name;
    });

}  // namespace
}  // namespace bulrushmount::testing
