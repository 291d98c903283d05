// Tests truncated and malformed answers of a target, relayed through one or two
// real nodes. No caller may get one as a complete answer.

#include <cstddef>
#include <memory>
#include <string>
#include <tuple>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "unit_tests/core/transport/transport_test_support.h"

namespace bulrushmount::testing {
namespace {

enum class Path { kLocal, kTwoNodes };
enum class Framing { kLength, kChunked };
enum class Origin { kCaller, kTarget };

// More than the socket buffers between a caller and a target hold.
constexpr std::size_t kLongBodyBytes = std::size_t{64} << 20;
constexpr std::size_t kPieceBytes = 65536;
// An event loop without events for this long is blocked by a peer that does not
// read.
constexpr auto kIdleTime = std::chrono::milliseconds(50);

constexpr char kBegunAnswer[] = "HTTP/1.1 200 OK\r\nX-Note: a\r\n\r\nbegun";
constexpr char kEndOfChunks[] = "0\r\n\r\n";
constexpr char kParentAnswer[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nparent";

// Accepts answers that end with their connection.
class OpenEndedDialect : public NativeTargetDialect {
 public:
  bool MayEndWithConnection() const override { return true; }
};

// Nodes and a target on which the test writes answers itself.
class TargetAnswerTest : public ::testing::Test {
 public:
  explicit TargetAnswerTest(Path path) : m_path(path) {
    owner.Announce(target.endpoint());
    first().SendTo(owner);
  }

  // The node that the caller is connected to.
  TestNode& first() { return m_path == Path::kLocal ? owner : entry; }
  TestNode& other() { return m_path == Path::kLocal ? entry : owner; }

  static DriverSettings Settings(std::uint64_t id) {
    static const OpenEndedDialect dialect;
    DriverSettings settings = LoopbackSettings(id);
    settings.target_dialect = &dialect;
    return settings;
  }

  void ConnectCaller() {
    caller = RawPeer::Connect(context, first().driver.caller_endpoint());
  }

  // Waits until the target has the head of a request on a new connection.
  void AwaitRequest() {
    const std::size_t before = target.connections();
    ASSERT_TRUE(
        RunUntil(context, [&] { return target.connections() > before; }));
    peer = &target.peer(before);
    ASSERT_TRUE(RunUntil(context, [this] {
      return peer->received().find("\r\n\r\n") != std::string::npos;
    }));
  }

  boost::asio::io_context context;
  RawTarget target{context, [](RawPeer&) {}};
  TestNode owner{context, Settings(2)};
  TestNode entry{context, Settings(1)};
  std::shared_ptr<RawPeer> caller;
  // The connection of the newest request.
  RawPeer* peer = nullptr;

 private:
  const Path m_path;
};

// --- Answers that end during the upload -------------------------------------

class EarlyAnswerTest
    : public TargetAnswerTest,
      public ::testing::WithParamInterface<std::tuple<Path, Framing, Origin>> {
 public:
  EarlyAnswerTest() : TargetAnswerTest(std::get<Path>(GetParam())) {
    if (std::get<Origin>(GetParam()) == Origin::kTarget)
      StartParent();
  }

  // Starts a request at the target beside the first node. The upload is a call
  // that it makes while it runs that request.
  void StartParent() {
    first().Announce(parent_target.endpoint());
    other().SendTo(first());
    parent_caller = RawPeer::Connect(context, other().driver.caller_endpoint());
    parent_caller->Send(Get("/parent"));
    EXPECT_TRUE(
        RunUntil(context, [this] { return parent_target.connections() > 0; }));
    if (&first() == &owner) {
      owner.Announce(target.endpoint());
    }
  }

  void ExpectParentAnswered() {
    if (!parent_caller)
      return;
    parent_target.peer(0).Send(kParentAnswer);
    EXPECT_TRUE(RunUntil(context, [this] {
      return parent_caller->received().ends_with("parent");
    }));
  }

  bool IsChunked() const {
    return std::get<Framing>(GetParam()) == Framing::kChunked;
  }

  // Begins an upload of which the target reads only the beginning.
  void BeginUpload() {
    ConnectCaller();
    caller->Send("POST /a HTTP/1.1\r\nHost: desk\r\n" +
                 (IsChunked()
                      ? std::string("Transfer-Encoding: chunked")
                      : "Content-Length: " + std::to_string(kLongBodyBytes)) +
                 "\r\n\r\n");
    SendPiece();
    ASSERT_NO_FATAL_FAILURE(AwaitRequest());
    peer->Pause();
  }

  // Continues the upload until all buffers on its way are full.
  void FillBuffers() {
    const std::size_t pieces = kLongBodyBytes / kPieceBytes;
    for (std::size_t piece = 1; piece < pieces && caller->sends() == 0; ++piece)
      SendPieceUntilIdle();
    ASSERT_GT(caller->sends(), 0U);
  }

  void AnswerDuringUpload() {
    ASSERT_NO_FATAL_FAILURE(BeginUpload());
    peer->Send(kBegunAnswer);
    ASSERT_TRUE(RunUntil(context, [this] {
      return caller->received().find("begun") != std::string::npos;
    }));
    ASSERT_NO_FATAL_FAILURE(FillBuffers());
  }

  void SendPiece() {
    const std::string piece(kPieceBytes, 'x');
    caller->Send(IsChunked() ? fmt::format("{:x}\r\n{}\r\n", kPieceBytes, piece)
                             : piece);
  }

  void SendPieceUntilIdle() {
    SendPiece();
    while (caller->sends() > 0 && context.run_one_for(kIdleTime) > 0) {
    }
  }

  std::string AnswerAtItsEnd() {
    EXPECT_TRUE(RunUntil(context, [this] {
      return caller->is_at_end() || caller->received().ends_with(kEndOfChunks);
    }));
    return caller->received();
  }

  RawTarget parent_target{context, [](RawPeer&) {}};
  std::shared_ptr<RawPeer> parent_caller;
};

// Guards against a part of an answer that is relayed as complete: the failed
// write of the upload takes the connection's error, and the next read reports
// an ordinary end.
TEST_P(EarlyAnswerTest, ResetDuringTheUploadIsNoEndOfTheAnswer) {
  ASSERT_NO_FATAL_FAILURE(AnswerDuringUpload());
  peer->Reset();
  const std::string answer = AnswerAtItsEnd();
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << answer;
  EXPECT_FALSE(answer.ends_with(kEndOfChunks)) << answer;
  ExpectParentAnswered();
}

// Guards against the same if the answer and the reset arrive together.
TEST_P(EarlyAnswerTest, ResetWithTheAnswerIsNoEndOfTheAnswer) {
  ASSERT_NO_FATAL_FAILURE(BeginUpload());
  ASSERT_NO_FATAL_FAILURE(FillBuffers());
  peer->Send(kBegunAnswer);
  peer->Reset();
  const std::string answer = AnswerAtItsEnd();
  EXPECT_FALSE(answer.ends_with(kEndOfChunks)) << answer;
  ExpectParentAnswered();
}

// Guards against a complete answer that is cut because its target does not read
// the rest of the upload.
TEST_P(EarlyAnswerTest, CloseDuringTheUploadIsTheEndOfTheAnswer) {
  ASSERT_NO_FATAL_FAILURE(AnswerDuringUpload());
  peer->ShutdownSend();
  const std::string answer = AnswerAtItsEnd();
  EXPECT_TRUE(answer.ends_with(kEndOfChunks)) << answer;
  ExpectParentAnswered();
}

// Guards against the same if the target resets the connection after its end.
TEST_P(EarlyAnswerTest, ResetAfterTheCloseIsTheEndOfTheAnswer) {
  ASSERT_NO_FATAL_FAILURE(AnswerDuringUpload());
  peer->ShutdownSend();
  peer->Reset();
  const std::string answer = AnswerAtItsEnd();
  EXPECT_TRUE(answer.ends_with(kEndOfChunks)) << answer;
  ExpectParentAnswered();
}

INSTANTIATE_TEST_SUITE_P(
    Uploads,
    EarlyAnswerTest,
    ::testing::Combine(::testing::Values(Path::kLocal, Path::kTwoNodes),
                       ::testing::Values(Framing::kLength, Framing::kChunked),
                       ::testing::Values(Origin::kCaller, Origin::kTarget)),
    [](const auto& info) {
      return std::string(std::get<Path>(info.param) == Path::kLocal
                             ? "Local"
                             : "TwoNodes") +
             (std::get<Framing>(info.param) == Framing::kLength ? "Length"
                                                                : "Chunked") +
             (std::get<Origin>(info.param) == Origin::kCaller ? "" : "Nested");
    });

// --- Malformed and truncated heads ------------------------------------------

enum class Upload { kNone, kLength, kChunked };

struct BrokenHead {
  const char* name;
  std::string bytes;
  // Whether the target closes the connection after these bytes.
  bool ends_with_close = false;
};

// A head and a body which has the form of an answer itself.
std::string WithAnswerInside(const std::string& head) {
  const std::string inside =
      "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nforged";
  return head + "Content-Length: " + std::to_string(inside.size()) +
         "\r\n\r\n" + inside;
}

std::string WithField(const std::string& line) {
  return "HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 6\r\n\r\nforged";
}

class BrokenHeadTest : public TargetAnswerTest,
                       public ::testing::WithParamInterface<
                           std::tuple<Path, Upload, BrokenHead>> {
 public:
  BrokenHeadTest() : TargetAnswerTest(std::get<Path>(GetParam())) {}

  static std::string Request() {
    const std::string post = "POST /a HTTP/1.1\r\nHost: desk\r\n";
    switch (std::get<Upload>(GetParam())) {
      case Upload::kNone:
        return Get("/a");
      case Upload::kLength:
        return post + "Content-Length: 5\r\n\r\nhello";
      case Upload::kChunked:
        return post +
               "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
    }
    return {};
  }
};

// Guards against a malformed or truncated head that is relayed as an answer,
// and against a call that waits although no answer can follow.
TEST_P(BrokenHeadTest, IsNotRelayedAndItsConnectionIsClosed) {
  const BrokenHead& head = std::get<BrokenHead>(GetParam());
  ConnectCaller();
  caller->Send(Request());
  ASSERT_NO_FATAL_FAILURE(AwaitRequest());
  peer->Send(head.bytes);
  if (head.ends_with_close)
    peer->ShutdownSend();
  ASSERT_TRUE(RunUntil(context, [this] {
    return caller->received().find("\r\n\r\n") != std::string::npos;
  }));
  const std::string& answer = caller->received();
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 502 ")) << answer;
  EXPECT_NE(answer.find("Bulrushmount-Outcome: unknown\r\n"), std::string::npos)
      << answer;
  EXPECT_TRUE(RunUntil(context, [this] { return peer->is_at_end(); }));
}

std::string NameOf(
    const ::testing::TestParamInfo<BrokenHeadTest::ParamType>& info) {
  const Upload upload = std::get<Upload>(info.param);
  return std::string(std::get<Path>(info.param) == Path::kLocal ? "Local"
                                                                : "TwoNodes") +
         (upload == Upload::kNone     ? ""
          : upload == Upload::kLength ? "Length"
                                      : "Chunked") +
         std::get<BrokenHead>(info.param).name;
}

const BrokenHead kInvalidStatuses[] = {
    {"Status000", "HTTP/1.1 000 Trouble\r\nContent-Length: 6\r\n\r\nforged"},
    {"Status000WithoutLength", "HTTP/1.1 000 Trouble\r\n\r\nforged", true},
    {"Status000WithAnswerInside", WithAnswerInside("HTTP/1.1 000 Trouble\r\n")},
    {"Status099WithAnswerInside", WithAnswerInside("HTTP/1.1 099 Trouble\r\n")},
    {"Status600", "HTTP/1.1 600 Trouble\r\nContent-Length: 6\r\n\r\nforged"},
    {"Status999", "HTTP/1.1 999 Trouble\r\nContent-Length: 6\r\n\r\nforged"},
    {"Status000AfterInterimAnswer",
     "HTTP/1.1 103 Early Hints\r\n\r\n" +
         WithAnswerInside("HTTP/1.1 000 Trouble\r\n")}};

INSTANTIATE_TEST_SUITE_P(
    InvalidStatuses,
    BrokenHeadTest,
    ::testing::Combine(
        ::testing::Values(Path::kLocal, Path::kTwoNodes),
        ::testing::Values(Upload::kNone, Upload::kLength, Upload::kChunked),
        ::testing::ValuesIn(kInvalidStatuses)),
    NameOf);

const BrokenHead kFoldedLines[] = {
    {"FoldedLine", WithField("X-Note: a\r\n b")},
    {"FoldedLineAtATab", WithField("X-Note: a\r\n\tb")},
    {"BlankLineAfterAField", WithField("X-Note: a\r\n ")},
    {"FoldedLength",
     "HTTP/1.1 200 OK\r\nX-Note: a\r\n Content-Length: 60\r\n\r\nforged", true},
    {"FoldedEncoding",
     "HTTP/1.1 200 OK\r\nX-Note: a\r\n Transfer-Encoding: chunked\r\n\r\n"
     "6\r\nforged\r\n0\r\n\r\n",
     true},
    {"FoldedLineInInterimAnswer",
     "HTTP/1.1 103 Early Hints\r\nX-Note: a\r\n b\r\n\r\n" +
         WithField("X-Note: a")}};

INSTANTIATE_TEST_SUITE_P(FoldedLines,
                         BrokenHeadTest,
                         ::testing::Combine(::testing::Values(Path::kLocal,
                                                              Path::kTwoNodes),
                                            ::testing::Values(Upload::kNone,
                                                              Upload::kLength,
                                                              Upload::kChunked),
                                            ::testing::ValuesIn(kFoldedLines)),
                         NameOf);

const BrokenHead kInvalidNames[] = {
    {"BlankInName", WithField("X Note: a")},
    {"TabInName", WithField("X\tNote: a")},
    {"BlankBeforeColon", WithField("X-Note : a")},
    {"BlankBeforeFirstName", WithField(" X-Note: a")},
    {"ControlInName", WithField("X\x01Note: a")},
    {"NulInName", WithField(std::string("X\0Note: a", 9))},
    {"DeleteInName", WithField("X\x7fNote: a")},
    {"EmptyName", WithField(": a")},
    {"BlankInNameOfLength",
     "HTTP/1.1 200 OK\r\nContent-Length : 60\r\n\r\nforged", true},
    {"BlankInNameOfEncoding",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n"
     "6\r\nforged\r\n0\r\n\r\n",
     true}};

INSTANTIATE_TEST_SUITE_P(InvalidNames,
                         BrokenHeadTest,
                         ::testing::Combine(::testing::Values(Path::kLocal,
                                                              Path::kTwoNodes),
                                            ::testing::Values(Upload::kNone,
                                                              Upload::kLength,
                                                              Upload::kChunked),
                                            ::testing::ValuesIn(kInvalidNames)),
                         NameOf);

const BrokenHead kCutHeads[] = {
    {"CutInVersion", "HTTP/1", true},
    {"CutInStatus", "HTTP/1.1 20", true},
    {"CutAfterStatusLine", "HTTP/1.1 200 OK\r\n", true},
    {"CutInName", "HTTP/1.1 200 OK\r\nContent-Le", true},
    {"CutInLength", "HTTP/1.1 200 OK\r\nContent-Length: 6", true},
    {"CutAfterLength", "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n", true},
    {"CutInLastLineEnd", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r", true},
    {"CutAfterInterimAnswer", "HTTP/1.1 103 Early Hints\r\n\r\n", true},
    {"CutInHeadAfterInterimAnswer",
     "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n", true}};

INSTANTIATE_TEST_SUITE_P(CutHeads,
                         BrokenHeadTest,
                         ::testing::Combine(::testing::Values(Path::kLocal,
                                                              Path::kTwoNodes),
                                            ::testing::Values(Upload::kNone,
                                                              Upload::kLength,
                                                              Upload::kChunked),
                                            ::testing::ValuesIn(kCutHeads)),
                         NameOf);

}  // namespace
}  // namespace bulrushmount::testing
