// Tests which requests the caller server rejects, and its answers to callers.

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "core/transport/callers/caller_server.h"
#include "unit_tests/core/transport/transport_test_support.h"

namespace bulrushmount::testing {
namespace {

// Records the calls without answering them.
class RecordingAcceptor : public CallAcceptor {
 public:
  void OnCall(std::shared_ptr<CallerExchange> exchange) override {
    calls.push_back(std::move(exchange));
  }
  void OnCallerDisconnected(const CallerExchange&) override { ++disconnects; }
  bool IsRepeatable(const CallHead&) const override { return is_repeatable; }

  std::vector<std::shared_ptr<CallerExchange>> calls;
  int disconnects = 0;
  bool is_repeatable = true;
};

class CallerServerTest : public ::testing::Test {
 public:
  CallerServerTest() : server(context, acceptor, random) {
    EXPECT_TRUE(server.Listen({"127.0.0.1", 0}));
    caller = RawPeer::Connect(context, server.endpoint());
  }

  ~CallerServerTest() override {
    for (const auto& call : acceptor.calls) {
      call->Break();
    }
  }

  bool RunUntilCalls(std::size_t count) {
    return RunUntil(context,
                    [this, count] { return acceptor.calls.size() >= count; });
  }

  boost::asio::io_context context;
  SeededRandomSource random{1};
  RecordingAcceptor acceptor;
  CallerServer server;
  std::shared_ptr<RawPeer> caller;
};

struct Malformed {
  const char* name;
  std::string request;
  const char* status = "400";
  const char* reason = "malformed-request";
};

std::string WithFields(const std::string& fields) {
  return "POST / HTTP/1.1\r\nHost: desk\r\n" + fields + "\r\n";
}

const std::vector<Malformed>& MalformedRequests() {
  static const std::vector<Malformed> requests = {
      {"NoRequest", "hello\r\n\r\n"},
      {"NoHost", "GET / HTTP/1.1\r\n\r\n"},
      {"EmptyHost", "GET / HTTP/1.1\r\nHost:\r\n\r\n"},
      {"TwoHosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n"},
      {"OldVersion", "GET / HTTP/1.0\r\nHost: desk\r\n\r\n"},
      {"NewVersion", "GET / HTTP/2.0\r\nHost: desk\r\n\r\n"},
      {"TwoBlanks", "GET  / HTTP/1.1\r\nHost: desk\r\n\r\n"},
      {"BlankInTarget", "GET /a b HTTP/1.1\r\nHost: desk\r\n\r\n"},
      {"TargetOfAProxy", "GET http://x/ HTTP/1.1\r\nHost: desk\r\n\r\n"},
      {"Connect", "CONNECT /x HTTP/1.1\r\nHost: desk\r\n\r\n"},
      {"DifferingLengths",
       WithFields("Content-Length: 3\r\nContent-Length: 4\r\n") + "abcd"},
      {"LengthList", WithFields("Content-Length: 3, 4\r\n") + "abcd"},
      {"RepeatedLength",
       WithFields("Content-Length: 3\r\nContent-Length: 3\r\n") + "abc"},
      {"LengthWithSign", WithFields("Content-Length: +3\r\n") + "abc"},
      {"LengthInHex", WithFields("Content-Length: 0x3\r\n") + "abc"},
      {"LengthTooLong",
       WithFields("Content-Length: 99999999999999999999999\r\n")},
      {"LengthAndChunks",
       WithFields("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n") +
           "0\r\n\r\n"},
      {"ChunksAndLength",
       WithFields("Transfer-Encoding: chunked\r\nContent-Length: 3\r\n") +
           "0\r\n\r\n"},
      {"TwoEncodings", WithFields("Transfer-Encoding: chunked\r\n"
                                  "Transfer-Encoding: identity\r\n") +
                           "0\r\n\r\n"},
      {"OtherEncoding", WithFields("Transfer-Encoding: gzip, chunked\r\n")},
      {"HiddenEncoding", WithFields("Transfer-Encoding: xchunked\r\n")},
      {"EncodingAfterVerticalTab",
       WithFields("Transfer-Encoding: \vchunked\r\n") + "0\r\n\r\n"},
      {"FoldedField", WithFields("X-A: 1\r\n 2\r\n")},
      {"FoldedEncoding", WithFields("Transfer-Encoding:\r\n chunked\r\n")},
      {"BlankBeforeColon", WithFields("Content-Length : 3\r\n") + "abc"},
      {"NoColon", WithFields("Content-Length\r\n")},
      {"EmptyName", WithFields(": 3\r\n")},
      {"BareLineFeeds", "GET / HTTP/1.1\nHost: desk\n\n"},
      {"BareLineFeedInField", WithFields("X-A: 1\nContent-Length: 3\r\n")},
      {"BareLineFeedAtEnd", "GET / HTTP/1.1\r\nHost: desk\r\n\n"},
      {"BareCarriageReturn", WithFields("X-A: 1\rContent-Length: 3\r\n")},
      {"ZeroByte", WithFields(std::string("X-A: 1\0 2\r\n", 11))},
      {"BadChunkSize",
       WithFields("Transfer-Encoding: chunked\r\n") + "zz\r\nabc\r\n"},
      {"ChunkLongerThanItsSize",
       WithFields("Transfer-Encoding: chunked\r\n") + "2\r\nabc\r\n0\r\n\r\n"},
      {"ChunkSizeOverflow", WithFields("Transfer-Encoding: chunked\r\n") +
                                "fffffffffffffffff\r\nabc\r\n"},
      {"DeadlineOfWords", WithFields("Bulrushmount-Deadline-Ms: soon\r\n")},
      {"DeadlineZero", WithFields("Bulrushmount-Deadline-Ms: 0\r\n")},
      {"TwoWorkspaces", WithFields("Bulrushmount-Workspace: a\r\n"
                                   "Bulrushmount-Workspace: b\r\n")},
      {"EmptyKey", WithFields("Idempotency-Key:\r\n")},
      {"TwoKeys", WithFields("Idempotency-Key: a\r\nIdempotency-Key: b\r\n")},
      {"LongField", WithFields("X-A: " + std::string(20000, 'a') + "\r\n"),
       "431", "head-too-large"},
      {"LongTarget",
       "GET /" + std::string(20000, 'a') + " HTTP/1.1\r\nHost: d\r\n\r\n",
       "431", "head-too-large"},
      {"EndlessHead", "GET / HTTP/1.1\r\nX-A: " + std::string(40000, 'a'),
       "431", "head-too-large"},
  };
  return requests;
}

class MalformedTest : public CallerServerTest,
                      public ::testing::WithParamInterface<Malformed> {};

// Guards against request smuggling, where part of one request runs as another
// request: the node and a target disagree about where the request ends.
TEST_P(MalformedTest, IsRefusedNotRunAndTheConnectionCloses) {
  caller->Send(GetParam().request);
  // Would be read as the next request if the connection stayed open.
  caller->Send(Get("/smuggled"));
  ASSERT_TRUE(RunUntil(context, [this] { return caller->is_at_end(); }));
  const std::string& got = caller->received();
  EXPECT_TRUE(got.starts_with(std::string("HTTP/1.1 ") + GetParam().status))
      << got;
  EXPECT_NE(got.find("Bulrushmount-Outcome: not-run\r\n"), std::string::npos);
  EXPECT_NE(got.find(std::string("Bulrushmount-Reason: ") + GetParam().reason),
            std::string::npos);
  EXPECT_EQ(got.find("HTTP/1.1", 1), std::string::npos);
  EXPECT_TRUE(acceptor.calls.empty());
}

INSTANTIATE_TEST_SUITE_P(Requests,
                         MalformedTest,
                         ::testing::ValuesIn(MalformedRequests()),
                         [](const auto& info) { return info.param.name; });

TEST_F(CallerServerTest, HeadMayComeByteByByte) {
  for (const char c : Get("/slow")) {
    caller->Send(std::string(1, c));
    context.restart();
    context.poll();
  }
  ASSERT_TRUE(RunUntilCalls(1));
  EXPECT_EQ(acceptor.calls[0]->head().target, "/slow");
}

TEST_F(CallerServerTest, FingerprintIsOfWorkspaceMethodTargetAndBody) {
  const std::vector<std::string> bodies = {"abc", "abc", "abd", ""};
  std::vector<Fingerprint> prints;
  for (const std::string& body : bodies) {
    const auto peer = RawPeer::Connect(context, server.endpoint());
    peer->Send(WithFields("Bulrushmount-Workspace: a\r\nContent-Length: " +
                          std::to_string(body.size()) + "\r\n") +
               body);
    ASSERT_TRUE(RunUntilCalls(prints.size() + 1));
    prints.push_back(acceptor.calls.back()->head().fingerprint);
  }
  EXPECT_EQ(prints[0], prints[1]);
  EXPECT_NE(prints[0], prints[2]);
  EXPECT_NE(prints[0], prints[3]);
}

struct BodySize {
  std::size_t size;
  bool is_buffered;
};

TEST_F(CallerServerTest, SmallBodiesAreBufferedAndCanBeSentAgain) {
  for (const BodySize& one :
       {BodySize{0, true}, BodySize{kMinBufferedBodyBytes - 1, true},
        BodySize{8 * kMinBufferedBodyBytes, false}}) {
    const std::size_t before = acceptor.calls.size();
    const auto peer = RawPeer::Connect(context, server.endpoint());
    peer->Send(
        WithFields("Content-Length: " + std::to_string(one.size) + "\r\n") +
        std::string(one.size, 'b'));
    ASSERT_TRUE(RunUntilCalls(before + 1));
    CallerExchange& call = *acceptor.calls.back();
    EXPECT_EQ(call.head().is_body_buffered, one.is_buffered) << one.size;
    for (int attempt = 0; attempt < 2; ++attempt) {
      const auto source = call.OpenBody();
      if (attempt == 1 && !one.is_buffered) {
        EXPECT_EQ(source, nullptr);
        continue;
      }
      ASSERT_NE(source, nullptr);
      std::size_t got = 0;
      bool is_at_end = false;
      std::function<void(BodyRead)> take = [&](const BodyRead& read) {
        got += read.data.size();
        is_at_end = read.status != BodyStatus::kChunk;
        if (!is_at_end) {
          source->Read(take);
        }
      };
      source->Read(take);
      ASSERT_TRUE(RunUntil(context, [&] { return is_at_end; }));
      EXPECT_EQ(got, one.size);
    }
  }
}

TEST_F(CallerServerTest, RefusalHasOutcomeReasonAndRetryAfter) {
  caller->Send(Get("/a"));
  ASSERT_TRUE(RunUntilCalls(1));
  acceptor.calls[0]->Answer(
      MakeOutcomeHead(Outcome::kNotRun, Reason::kWorkspaceRateLimit,
                      acceptor.calls[0]->head().request_id),
      MakeOutcomeBody(Outcome::kNotRun, Reason::kWorkspaceRateLimit));
  ASSERT_TRUE(RunUntil(context, [this] {
    return caller->received().ends_with("not-run: workspace-rate-limit\n");
  }));
  for (const char* const field :
       {"HTTP/1.1 429 ", "Bulrushmount-Outcome: not-run\r\n",
        "Bulrushmount-Reason: workspace-rate-limit\r\n", "Retry-After: 1\r\n",
        "Bulrushmount-Request-Id: "}) {
    EXPECT_NE(caller->received().find(field), std::string::npos) << field;
  }
  // The connection stays usable.
  caller->Send(Get("/b"));
  ASSERT_TRUE(RunUntilCalls(2));
}

TEST_F(CallerServerTest, AnswerBeforeTheWholeRequestClosesTheConnection) {
  caller->Send(WithFields("Content-Length: 1000000\r\n") +
               std::string(2 * kMinBufferedBodyBytes, 'b'));
  ASSERT_TRUE(RunUntilCalls(1));
  acceptor.calls[0]->Answer(AnswerHead{200, {}, {}}, "early");
  ASSERT_TRUE(RunUntil(context, [this] { return caller->is_at_end(); }));
  EXPECT_NE(caller->received().find("Connection: close\r\n"),
            std::string::npos);
  EXPECT_TRUE(caller->received().ends_with("early"));
}

struct BodyCase {
  const char* name;
  const char* fields;
  // What is sent of the body before and after the second attempt begins.
  std::string begin;
  std::string rest;
  std::size_t size;
};

// Guards against a request whose body has a hole at its second attempt: the
// first one, which was refused, gets a part of it from the connection.
TEST_F(CallerServerTest, OnlyTheNewestAttemptReadsTheRestOfTheBody) {
  const std::string part(2 * kMinBufferedBodyBytes, 'b');
  const BodyCase cases[] = {
      {"Length", "Content-Length: 65536\r\n", part, part, 65536},
      {"Chunks", "Transfer-Encoding: chunked\r\n", "8000\r\n" + part + "\r\n",
       "8000\r\n" + part + "\r\n0\r\n\r\n", 65536}};
  for (const BodyCase& one : cases) {
    SCOPED_TRACE(one.name);
    const std::size_t call = acceptor.calls.size();
    caller = RawPeer::Connect(context, server.endpoint());
    caller->Send(WithFields(one.fields) + one.begin);
    ASSERT_TRUE(RunUntilCalls(call + 1));
    CallerExchange& exchange = *acceptor.calls[call];
    std::string body;
    bool is_ended = false;
    const auto first = exchange.OpenBody();
    first->Read([](const BodyRead& read) {
      EXPECT_EQ(read.status, BodyStatus::kChunk);
    });
    const auto second = exchange.OpenBody();
    ASSERT_TRUE(second);
    BodySource::ReadCallback take = [&](const BodyRead& read) {
      ASSERT_NE(read.status, BodyStatus::kError);
      body += read.data;
      is_ended = read.status == BodyStatus::kEnd;
      if (!is_ended)
        second->Read(take);
    };
    second->Read(take);
    // The sink of the first attempt accepts its prefix only now.
    std::optional<BodyStatus> late;
    first->Read([&late](const BodyRead& read) { late = read.status; });
    caller->Send(one.rest);
    ASSERT_TRUE(RunUntil(context, [&is_ended] { return is_ended; }));
    EXPECT_EQ(body.size(), one.size);
    EXPECT_EQ(late, BodyStatus::kError);
  }
}

// Guards against the end of the process: a read of an earlier attempt is still
// waiting when the upload is complete, and gets the next request.
TEST_F(CallerServerTest, EarlierAttemptTakesNothingOfTheNextRequest) {
  const std::string part(2 * kMinBufferedBodyBytes, 'b');
  caller->Send(WithFields("Content-Length: 65536\r\n") + part);
  ASSERT_TRUE(RunUntilCalls(1));
  CallerExchange& exchange = *acceptor.calls[0];
  const std::shared_ptr<BodySource> attempts[] = {exchange.OpenBody(),
                                                  exchange.OpenBody()};
  bool is_ended = false;
  std::function<void(BodySource&)> read_all = [&](BodySource& source) {
    source.Read([&](const BodyRead& read) {
      is_ended = is_ended || read.status == BodyStatus::kEnd;
      if (read.status == BodyStatus::kChunk)
        read_all(source);
    });
  };
  for (const auto& attempt : attempts)
    read_all(*attempt);
  caller->Send(part);
  ASSERT_TRUE(RunUntil(context, [&is_ended] { return is_ended; }));
  exchange.Answer(AnswerHead{200, {}, {}}, "done");
  caller->Send(Get("/next"));
  EXPECT_TRUE(RunUntilCalls(2));
}

TEST_F(CallerServerTest, ContinueIsSentWhenExpected) {
  caller->Send(WithFields("Content-Length: 2\r\nExpect: 100-continue\r\n"));
  ASSERT_TRUE(RunUntil(context, [this] {
    return caller->received() == "HTTP/1.1 100 Continue\r\n\r\n";
  }));
  caller->Send("ok");
  ASSERT_TRUE(RunUntilCalls(1));
}

TEST_F(CallerServerTest, DisconnectIsNoticedWhileTheCallerWaits) {
  caller->Send(Get("/a"));
  ASSERT_TRUE(RunUntilCalls(1));
  caller->Close();
  EXPECT_TRUE(RunUntil(context, [this] { return acceptor.disconnects == 1; }));
  // Must have no effect.
  acceptor.calls[0]->Answer(AnswerHead{200, {}, {}}, "late");
}

// Guards against a call with a complete answer being counted as unknown, and
// retries with its idempotency key being answered so: the caller closes after
// the last byte of the declared length, before the body source reports its end,
// and every close was treated as a disconnect.
TEST_F(CallerServerTest, CallerThatClosesAfterTheLastByteHasItsAnswer) {
  caller->Send("GET / HTTP/1.1\r\nHost: desk\r\n\r\n");
  ASSERT_TRUE(RunUntilCalls(1));
  AnswerHead head;
  head.status = 200;
  head.shape = {BodyFraming::kLength, 5};
  const auto sink = acceptor.calls[0]->BeginAnswer(head);
  ASSERT_TRUE(sink);
  sink->Write("hello", [](bool) {});
  caller->Read();
  ASSERT_TRUE(RunUntil(
      context, [this] { return caller->received().ends_with("hello"); }));
  caller->Close();
  // When a later caller's request has arrived, the close has been seen, too.
  const auto other = RawPeer::Connect(context, server.endpoint());
  other->Send("GET / HTTP/1.1\r\nHost: desk\r\n\r\n");
  ASSERT_TRUE(RunUntilCalls(2));
  EXPECT_EQ(acceptor.disconnects, 0);
  std::optional<bool> is_whole;
  sink->Finish([&is_whole](bool is_written) { is_whole = is_written; });
  ASSERT_TRUE(RunUntil(context, [&is_whole] { return is_whole.has_value(); }));
  EXPECT_TRUE(*is_whole);
  EXPECT_EQ(acceptor.disconnects, 0);
}

// The same close before the last byte: the caller's answer is incomplete.
TEST_F(CallerServerTest, CallerThatClosesBeforeTheLastByteIsDisconnected) {
  caller->Send("GET / HTTP/1.1\r\nHost: desk\r\n\r\n");
  ASSERT_TRUE(RunUntilCalls(1));
  AnswerHead head;
  head.status = 200;
  head.shape = {BodyFraming::kLength, 5};
  const auto sink = acceptor.calls[0]->BeginAnswer(head);
  ASSERT_TRUE(sink);
  sink->Write("hell", [](bool) {});
  caller->Read();
  ASSERT_TRUE(RunUntil(
      context, [this] { return caller->received().ends_with("hell"); }));
  caller->Close();
  EXPECT_TRUE(RunUntil(context, [this] { return acceptor.disconnects == 1; }));
}

}  // namespace
}  // namespace bulrushmount::testing
