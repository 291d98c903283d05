// Tests what the end of a node stream tells the entry about the request, and
// the handling of unresponsive peers.

#include <memory>
#include <string>

#include <gtest/gtest.h>
#include <nghttp2/nghttp2.h>
#include <rapidcheck/gtest.h>

#include "core/transport/peers/node_stream_client.h"
#include "core/transport/peers/node_stream_codec.h"
#include "core/transport/peers/node_stream_server.h"
#include "unit_tests/core/transport/transport_test_support.h"

namespace bulrushmount::testing {
namespace {

// More than nghttp2 accepts at once by default.
constexpr std::size_t kCancellations = 1100;

class RecordingListener : public AttemptListener {
 public:
  void OnRefused(Reason reason, const LoadReport&) override {
    refused = reason;
  }
  void OnAnswer(AnswerHead head,
                const LoadReport&,
                std::shared_ptr<BodySource>) override {
    status = head.status;
  }
  void OnFailed(Reason reason, const LoadReport&) override { failed = reason; }
  void OnLost(bool is_certainly_not_run, Reason) override {
    ++lost;
    is_not_run = is_certainly_not_run;
  }
  void OnSilent() override { is_silent = true; }

  Reason refused = Reason::kNone;
  Reason failed = Reason::kNone;
  int status = 0;
  int lost = 0;
  bool is_not_run = false;
  bool is_silent = false;
};

class RecordingAcceptor : public WorkAcceptor {
 public:
  void OnWork(std::shared_ptr<WorkStream> stream) override {
    works.push_back(std::move(stream));
  }
  std::vector<std::shared_ptr<WorkStream>> works;
};

WorkRequest MakeRequest() {
  WorkRequest request;
  request.work.method = "GET";
  request.work.target = "/a";
  request.work.service = ServiceName("desk");
  request.work.time_left = std::chrono::seconds(1);
  return request;
}

class NodeStreamTest : public ::testing::Test {
 public:
  NodeStreamTest() { EXPECT_TRUE(server.Listen({"127.0.0.1", 0})); }

  std::shared_ptr<AttemptStream> Open(RecordingListener& listener,
                                      const WorkRequest& request) {
    return client.Open(server.endpoint(), request, &listener);
  }

  bool RunUntilWorks(std::size_t count) {
    return RunUntil(context,
                    [this, count] { return acceptor.works.size() == count; });
  }

  bool RunUntilLost(const RecordingListener& listener) {
    return RunUntil(context, [&listener] { return listener.lost > 0; });
  }

  boost::asio::io_context context;
  RecordingAcceptor acceptor;
  NodeStreamServer server{context, acceptor};
  NodeStreamClient client{context.get_executor()};
};

TEST_F(NodeStreamTest, UnreachableOwnerHasCertainlyNotRun) {
  const Endpoint endpoint = server.endpoint();
  server.Close();
  RecordingListener listener;
  const auto stream = client.Open(endpoint, MakeRequest(), &listener);
  EXPECT_EQ(listener.lost, 0);
  ASSERT_TRUE(RunUntilLost(listener));
  EXPECT_TRUE(listener.is_not_run);
}

// Guards against running a request twice: the owner accepts it and its
// connection ends, and the loss was reported as "not run" as if the connection
// had never been established.
TEST_F(NodeStreamTest, OwnerLostAfterTheHeadWasSentMayHaveRun) {
  RecordingListener listener;
  const auto stream = Open(listener, MakeRequest());
  ASSERT_TRUE(RunUntilWorks(1));
  server.Close();
  ASSERT_TRUE(RunUntilLost(listener));
  EXPECT_FALSE(listener.is_not_run);
}

// The same before the owner has read a byte, since the bytes may be in transit.
TEST_F(NodeStreamTest, PeerThatClosesUnreadMayHaveRun) {
  RawTarget peer(context, [](RawPeer& one) { one.Reset(); });
  RecordingListener listener;
  const auto stream = client.Open(peer.endpoint(), MakeRequest(), &listener);
  ASSERT_TRUE(RunUntilLost(listener));
  EXPECT_FALSE(listener.is_not_run);
}

// Guards against calls that hang until their deadlines while an owner is
// suspended: its kernel accepts and acknowledges, so TCP reports no failure.
TEST_F(NodeStreamTest, SilentPeerIsNoticed) {
  RawTarget peer(context, [](RawPeer& one) { one.received().clear(); });
  RecordingListener listener;
  const auto stream = client.Open(peer.endpoint(), MakeRequest(), &listener);
  ASSERT_TRUE(RunUntilLost(listener));
  EXPECT_FALSE(listener.is_not_run);
}

// Guards against targets getting requests seconds after their callers have
// given up: after a network interruption an old connection sends nothing until
// its next TCP retransmission, and entries kept using such a session for new
// requests. A new connection works at once or fails soon.
TEST_F(NodeStreamTest, SilentSessionGetsNoNewRequests) {
  RawTarget peer(context, [](RawPeer& one) { one.received().clear(); });
  RecordingListener first;
  const auto waiting = client.Open(peer.endpoint(), MakeRequest(), &first);
  ASSERT_TRUE(RunUntil(context, [&first] { return first.is_silent; }));
  RecordingListener second;
  const auto later = client.Open(peer.endpoint(), MakeRequest(), &second);
  EXPECT_TRUE(RunUntil(context, [&peer] { return peer.connections() == 2; }));
  EXPECT_EQ(first.lost, 0);
}

// The same after all callers have given up: the session is reset, which
// discards the unsent bytes in its socket, and is not reused.
TEST_F(NodeStreamTest, SilentSessionWithoutStreamsIsReset) {
  RawTarget peer(context, [](RawPeer& one) { one.received().clear(); });
  RecordingListener listener;
  const auto stream = client.Open(peer.endpoint(), MakeRequest(), &listener);
  ASSERT_TRUE(RunUntil(context, [&listener] { return listener.is_silent; }));
  stream->Cancel();
  EXPECT_TRUE(RunUntil(context, [&peer] { return peer.peer(0).is_reset(); }));
}

// The same for requests sent before the silence was detected: a request and its
// cancellation were delayed and arrived together, and the request was passed on
// before the input that arrived with it was processed.
TEST_F(NodeStreamTest, RequestArrivingWithItsCancellationIsDropped) {
  RawTarget delayed_path(context, [](RawPeer&) {});
  RecordingListener listener;
  WorkRequest request = MakeRequest();
  const auto cancelled =
      client.Open(delayed_path.endpoint(), request, &listener);
  // Longer than all that is sent before it, so that the number of bytes shows
  // that both heads have arrived.
  request.work.target = "/" + std::string(400, 'b');
  const auto remaining =
      client.Open(delayed_path.endpoint(), request, &listener);
  const auto delayed_bytes = [&delayed_path] {
    return delayed_path.peer(0).received().size();
  };
  ASSERT_TRUE(RunUntil(context, [&] {
    return delayed_path.connections() == 1 &&
           delayed_bytes() > NGHTTP2_CLIENT_MAGIC_LEN + 350;
  }));
  const std::size_t requests = delayed_bytes();
  cancelled->Cancel();
  ASSERT_TRUE(RunUntil(context, [&] { return delayed_bytes() > requests; }));
  const auto entry = RawPeer::Connect(context, server.endpoint());
  entry->Send(delayed_path.peer(0).received());
  ASSERT_TRUE(RunUntil(context, [this] { return !acceptor.works.empty(); }));
  ASSERT_EQ(acceptor.works.size(), 1U);
  EXPECT_EQ(acceptor.works[0]->request().work.target, request.work.target);
}

// Guards against bodies that cross between availability zones once for each
// owner that refuses the request: a body is sent when the owner reads it.
TEST_F(NodeStreamTest, BodyIsSentOnlyToTheOwnerThatReadsIt) {
  const std::string body(4000, 'b');
  WorkRequest request = MakeRequest();
  request.work.method = "POST";
  request.shape = {.framing = BodyFraming::kLength, .length = body.size()};
  // The settings of the server have arrived once a first request is refused.
  RecordingListener first;
  const auto refused = Open(first, request);
  ASSERT_TRUE(RunUntilWorks(1));
  acceptor.works[0]->Refuse(Reason::kSlowTarget, {});
  ASSERT_TRUE(
      RunUntil(context, [&] { return first.refused != Reason::kNone; }));

  RecordingListener second;
  const auto accepted = Open(second, request);
  bool is_written = false;
  accepted->request_body()->Write(body, [&](bool) { is_written = true; });
  ASSERT_TRUE(RunUntilWorks(2));
  EXPECT_FALSE(is_written);
  std::string received;
  acceptor.works[1]->request_body()->Read(
      [&](BodyRead read) { received = std::move(read.data); });
  ASSERT_TRUE(RunUntil(context, [&] { return is_written; }));
  ASSERT_TRUE(RunUntil(context, [&] { return !received.empty(); }));
  EXPECT_EQ(received, body);
}

TEST_F(NodeStreamTest, DrainingOwnerRefusesNewStreamsAndEndsTheOthers) {
  RecordingListener before;
  const auto first = Open(before, MakeRequest());
  ASSERT_TRUE(RunUntilWorks(1));
  server.Drain();
  // Uses the existing session, because the GOAWAY has not been read.
  RecordingListener after;
  const auto second = Open(after, MakeRequest());
  ASSERT_TRUE(RunUntilLost(after));
  EXPECT_TRUE(after.is_not_run);
  // Uses a new session.
  RecordingListener later;
  const auto third = Open(later, MakeRequest());
  ASSERT_TRUE(RunUntilLost(later));
  EXPECT_TRUE(later.is_not_run);
  EXPECT_EQ(acceptor.works.size(), 1U);
  EXPECT_FALSE(server.IsIdle());
  const auto sink = acceptor.works[0]->Answer(AnswerHead{200, {}, {}}, {});
  sink->Finish([](bool) {});
  EXPECT_TRUE(RunUntil(context, [&] { return before.status == 200; }));
  EXPECT_TRUE(RunUntil(context, [&] { return server.IsIdle(); }));
  EXPECT_EQ(before.lost, 0);
}

TEST_F(NodeStreamTest, InvalidRequestIsRefusedAsNotRun) {
  WorkRequest request = MakeRequest();
  request.work.target.clear();
  RecordingListener listener;
  const auto stream = Open(listener, request);
  ASSERT_TRUE(RunUntilLost(listener));
  EXPECT_TRUE(listener.is_not_run);
  EXPECT_TRUE(acceptor.works.empty());
}

TEST_F(NodeStreamTest, RefusalAndFailureAreDistinguished) {
  RecordingListener refused;
  RecordingListener failed;
  const auto first = Open(refused, MakeRequest());
  const auto second = Open(failed, MakeRequest());
  ASSERT_TRUE(RunUntilWorks(2));
  acceptor.works[0]->Refuse(Reason::kQuarantined, {});
  acceptor.works[1]->Fail(Reason::kTargetLost, {});
  EXPECT_TRUE(RunUntil(context, [&] {
    return refused.refused == Reason::kQuarantined &&
           failed.failed == Reason::kTargetLost;
  }));
}

TEST_F(NodeStreamTest, HighestReasonIsTransmitted) {
  RecordingListener listener;
  const auto stream = Open(listener, MakeRequest());
  ASSERT_TRUE(RunUntilWorks(1));
  acceptor.works[0]->Refuse(kLastReason, {});
  EXPECT_TRUE(
      RunUntil(context, [&] { return listener.refused == kLastReason; }));
}

TEST_F(NodeStreamTest, CancellationIsReportedToTheOwnerOnly) {
  class Cancelled : public WorkListener {
   public:
    void OnCancelled() override { is_cancelled = true; }
    bool is_cancelled = false;
  } owner;
  RecordingListener listener;
  const auto stream = Open(listener, MakeRequest());
  ASSERT_TRUE(RunUntilWorks(1));
  acceptor.works[0]->SetListener(&owner);
  stream->Cancel();
  EXPECT_TRUE(RunUntil(context, [&] { return owner.is_cancelled; }));
  EXPECT_EQ(listener.lost, 0);
}

// Guards against requests that are lost with their session because the callers
// of many other requests have left: the HTTP/2 library limits resets.
TEST_F(NodeStreamTest, ManyCancellationsLeaveTheSessionOpen) {
  RecordingListener kept;
  const auto stream = Open(kept, MakeRequest());
  ASSERT_TRUE(RunUntilWorks(1));
  for (std::size_t count = 1; count <= kCancellations; ++count) {
    RecordingListener listener;
    const auto cancelled = Open(listener, MakeRequest());
    ASSERT_TRUE(RunUntilWorks(1 + count));
    cancelled->Cancel();
  }
  RecordingListener last;
  const auto later = Open(last, MakeRequest());
  ASSERT_TRUE(RunUntilWorks(2 + kCancellations));
  EXPECT_EQ(kept.lost, 0);
  EXPECT_EQ(client.sessions(), 1U);
}

TEST_F(NodeStreamTest, StreamsOfOnePairShareASession) {
  RecordingListener listener;
  std::vector<std::shared_ptr<AttemptStream>> streams;
  streams.reserve(100);
  for (int count = 0; count < 100; ++count) {
    streams.push_back(Open(listener, MakeRequest()));
  }
  ASSERT_TRUE(RunUntilWorks(100));
  EXPECT_EQ(client.sessions(), 1U);
}

// Generates values that are valid in an HTTP/1.1 field.
rc::Gen<std::string> FieldValue() {
  return rc::gen::container<std::string>(
      rc::gen::suchThat(rc::gen::arbitrary<char>(), [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return c == '\t' || (byte >= ' ' && byte != 0x7f);
      }));
}

RC_GTEST_PROP(NodeStreamCodec, RequestRoundTrips, ()) {
  WorkRequest request = MakeRequest();
  WorkHead& work = request.work;
  work.entry = NodeId(*rc::gen::arbitrary<std::uint64_t>());
  work.fingerprint = Fingerprint(*rc::gen::arbitrary<std::uint64_t>());
  work.workspace = WorkspaceName(*FieldValue());
  work.request_id = RequestId(*FieldValue());
  work.time_left =
      std::chrono::microseconds(*rc::gen::inRange<std::int64_t>(-5, 1 << 30));
  // Contracts only allow values above 0.
  work.weight = *rc::gen::inRange(1, 1000) / 7.0;
  work.is_suspect = *rc::gen::arbitrary<bool>();
  work.is_repeatable = *rc::gen::arbitrary<bool>();
  request.shape = *rc::gen::element(
      BodyShape{}, BodyShape{BodyFraming::kChunked, 0},
      BodyShape{BodyFraming::kLength, 0}, BodyShape{BodyFraming::kLength, 77});
  request.headers = {{"accept", *FieldValue()}};
  const auto back = DecodeRequest(EncodeRequest(request));
  RC_ASSERT(back.has_value());
  RC_ASSERT(back->work.entry == work.entry);
  RC_ASSERT(back->work.fingerprint == work.fingerprint);
  RC_ASSERT(back->work.workspace == work.workspace);
  RC_ASSERT(back->work.request_id == work.request_id);
  RC_ASSERT(back->work.time_left == work.time_left);
  RC_ASSERT(back->work.weight == work.weight);
  RC_ASSERT(back->work.is_suspect == work.is_suspect);
  RC_ASSERT(back->work.is_repeatable == work.is_repeatable);
  RC_ASSERT(back->shape == request.shape);
  RC_ASSERT(back->headers == request.headers);
}

struct LoadCase {
  const char* name;
  LoadReport load;
};

// Guards against entries that do not learn what targets state, because a node
// stream loses it.
TEST(NodeStreamCodec, LoadReportsKeepTheTargetsNotice) {
  LoadReport load;
  load.in_flight = 3;
  load.limit = 9;
  load.slowdown = 1.25;
  LoadReport limited = load;
  limited.process = TargetProcess(0xfedcba9876543210);
  limited.notice.rate_limit = 1.7;
  LoadReport leaving = load;
  leaving.process = TargetProcess(1);
  leaving.notice.is_leaving = true;
  LoadReport unlimited = load;
  unlimited.process = TargetProcess(7);
  for (const LoadCase& one :
       {LoadCase{"UnknownProcess", load}, LoadCase{"Limited", limited},
        LoadCase{"Leaving", leaving}, LoadCase{"Unlimited", unlimited}}) {
    const OwnerReply reply{
        OwnerVerdict::kRefused, Reason::kOverloaded, one.load, {}};
    const auto back = DecodeReply(EncodeReply(reply));
    ASSERT_TRUE(back) << one.name;
    EXPECT_EQ(back->load, one.load) << one.name;
  }
}

// Guards against owners that do not learn a limit after a restart.
TEST(NodeStreamCodec, RequestsCarryAKnownRateLimit) {
  WorkRequest request = MakeRequest();
  EXPECT_EQ(DecodeRequest(EncodeRequest(request))->work.target_rate_limit,
            std::nullopt);
  request.work.target_process = TargetProcess(0xfedcba9876543210);
  request.work.target_rate_limit = 0.1;
  const auto back = DecodeRequest(EncodeRequest(request));
  ASSERT_TRUE(back);
  EXPECT_EQ(back->work.target_process, request.work.target_process);
  EXPECT_EQ(back->work.target_rate_limit, request.work.target_rate_limit);
}

struct Undecodable {
  const char* name;
  const char* field;
  const char* value;
};

TEST(NodeStreamCodec, ReplyWithAnInvalidFieldIsRejected) {
  const OwnerReply reply{OwnerVerdict::kAnswer,
                         Reason::kNone,
                         {1, 2, 3, {}},
                         {200, {}, {.framing = BodyFraming::kChunked}}};
  ASSERT_TRUE(DecodeReply(EncodeReply(reply)));
  for (const Undecodable& one :
       {Undecodable{"Status", ":status", "20x"},
        Undecodable{"Interim", ":status", "100"},
        Undecodable{"Zero", ":status", "000"},
        Undecodable{"TooHigh", ":status", "600"},
        Undecodable{"Verdict", "bulrushmount-verdict", "maybe"},
        Undecodable{"Load", "bulrushmount-load", "1 2"},
        Undecodable{"Process", "bulrushmount-load", "1 2 3 4 100 x - 0"},
        Undecodable{"RateLimit", "bulrushmount-load", "1 2 3 4 100 5 -1 0"},
        Undecodable{"Body", "bulrushmount-body", "-1"}}) {
    HeaderList fields = EncodeReply(reply);
    for (HeaderField& field : fields) {
      if (field.name == one.field) {
        field.value = one.value;
      }
    }
    EXPECT_FALSE(DecodeReply(fields)) << one.name;
  }
}

}  // namespace
}  // namespace bulrushmount::testing
