// Tests the packed form of the heads between nodes, its exchange with nodes of
// earlier releases, and the bytes that heads take on a warm connection.

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <nghttp2/nghttp2.h>
#include <rapidcheck/gtest.h>

#include "core/common/random.h"
#include "core/transport/peers/header_packing.h"
#include "core/transport/peers/node_stream_client.h"
#include "core/transport/peers/node_stream_codec.h"
#include "core/transport/peers/node_stream_server.h"
#include "unit_tests/core/transport/transport_test_support.h"

namespace bulrushmount::testing {
namespace {

// A frame's head, which precedes each head block.
constexpr std::size_t kFrameBytes = 9;
constexpr int kHeads = 200;
constexpr std::uint64_t kSeed = 7;

// The compressed size of the heads of one direction of a connection.
class HeadEncoder {
 public:
  HeadEncoder() { nghttp2_hd_deflate_new(&m_deflater, 4096); }
  ~HeadEncoder() { nghttp2_hd_deflate_del(m_deflater); }
  HeadEncoder(const HeadEncoder&) = delete;
  HeadEncoder& operator=(const HeadEncoder&) = delete;

  std::size_t Packed(HeadKind kind, const HeaderList& fields) {
    const HeaderList packed = PackHead(kind, fields);
    return SizeOf(ToNameValues(packed, m_indexing));
  }

  // As earlier releases send it, with every field in the table.
  std::size_t Plain(const HeaderList& fields) {
    HeaderIndexing unused;
    std::vector<nghttp2_nv> pairs = ToNameValues(fields, unused);
    for (nghttp2_nv& pair : pairs) {
      pair.flags = NGHTTP2_NV_FLAG_NONE;
    }
    return SizeOf(pairs);
  }

 private:
  std::size_t SizeOf(const std::vector<nghttp2_nv>& pairs) {
    std::vector<std::uint8_t> block(65536);
    const ssize_t size = nghttp2_hd_deflate_hd(
        m_deflater, block.data(), block.size(), pairs.data(), pairs.size());
    EXPECT_GT(size, 0);
    return kFrameBytes + static_cast<std::size_t>(size);
  }

  nghttp2_hd_deflater* m_deflater = nullptr;
  HeaderIndexing m_indexing;
};

// Requests of one entry to one owner: three kinds, workspaces sized by rank.
WorkRequest MakeRequest(SeededRandomSource& random) {
  WorkRequest request;
  WorkHead& work = request.work;
  const std::size_t kind = random.Index(3);
  const auto workspace =
      static_cast<int>(86.0 * random.Fraction() * random.Fraction());
  work.request_id = RequestId(fmt::format("{:016x}", random.NextBits()));
  work.entry = NodeId(0x9f3c55aa71e20b13);
  work.workspace = WorkspaceName(fmt::format("workspace-{:02}", workspace));
  work.service = ServiceName("balances");
  work.kind = KindName(fmt::format("balance-check-{}", kind));
  work.method = kind == 0 ? "POST" : "GET";
  work.target = fmt::format("/balances/accounts/{}", random.Index(1'000'000));
  work.fingerprint = Fingerprint(random.NextBits());
  work.time_left = std::chrono::microseconds(random.Index(1'200'000));
  work.objective_left = std::chrono::microseconds(random.Index(500'000));
  work.max_slowdown = kind == 1 ? 1.5 : 0;
  work.max_hold = std::chrono::microseconds(kind == 1 ? 2800 : 0);
  work.is_repeatable = kind != 0;
  work.is_last_attempt = random.Index(2) == 0;
  work.priority = static_cast<std::uint32_t>(kind);
  if (kind == 0) {
    request.shape = {BodyFraming::kLength, random.Index(700)};
  }
  request.headers = {{"accept", "application/json"},
                     {"user-agent", "card-authorisation/3.1"},
                     {"x-caller-service", "debits"}};
  return request;
}

OwnerReply MakeReply(SeededRandomSource& random) {
  OwnerReply reply;
  reply.load.in_flight = static_cast<std::uint32_t>(random.Index(7));
  reply.load.queued = static_cast<std::uint32_t>(random.Index(24));
  reply.load.limit = 6;
  reply.load.service_time =
      std::chrono::microseconds(160'000 + random.Index(90'000));
  reply.load.slowdown = 1.0 + random.Fraction() / 4;
  reply.load.process = TargetProcess(0x4be1980d1f6a7735);
  if (random.Index(4) == 0) {
    reply.verdict = OwnerVerdict::kRefused;
    reply.reason = Reason::kOverloaded;
    return reply;
  }
  reply.verdict = OwnerVerdict::kAnswer;
  reply.answer.status = 200;
  reply.answer.shape = {BodyFraming::kLength, 300 + random.Index(500)};
  reply.answer.headers = {
      {"content-type", "application/json"},
      {"x-load", fmt::format("{},0,6,100", random.Index(6))}};
  return reply;
}

// The fields in the form that releases without packed heads send: also with
// default values.
HeaderList EarlierForm(const WorkRequest& request) {
  HeaderList fields = EncodeRequest(request);
  const auto add = [&fields](const char* name, const char* value) {
    const std::string full = std::string("bulrushmount-") + name;
    for (const HeaderField& field : fields) {
      if (field.name == full)
        return;
    }
    fields.push_back({full, value});
  };
  add("workspace", "");
  add("kind", "");
  add("weight", "1");
  add("share", "1");
  add("repeatable", "0");
  add("suspect", "0");
  add("last-attempt", "0");
  add("body", "none");
  return fields;
}

HeaderList EarlierForm(const OwnerReply& reply) {
  HeaderList fields = EncodeReply(reply);
  if (reply.verdict == OwnerVerdict::kAnswer &&
      reply.answer.shape.framing == BodyFraming::kNone) {
    fields.push_back({"bulrushmount-body", "none"});
  }
  return fields;
}

// Guards against heads that cost more than the requests they carry: constants
// that random values displace from the table, and numbers sent as text.
TEST(HeadBytesTest, HeadsOfAWarmConnectionAreShort) {
  HeadEncoder requests;
  HeadEncoder replies;
  HeadEncoder earlier_requests;
  HeadEncoder earlier_replies;
  SeededRandomSource random(kSeed);
  std::size_t request_bytes = 0;
  std::size_t reply_bytes = 0;
  std::size_t earlier_request_bytes = 0;
  std::size_t earlier_reply_bytes = 0;
  for (int head = -kHeads; head < kHeads; ++head) {
    const WorkRequest request = MakeRequest(random);
    const OwnerReply reply = MakeReply(random);
    const std::size_t request_size =
        requests.Packed(HeadKind::kRequest, EncodeRequest(request));
    const std::size_t reply_size =
        replies.Packed(HeadKind::kReply, EncodeReply(reply));
    const std::size_t earlier_request_size =
        earlier_requests.Plain(EarlierForm(request));
    const std::size_t earlier_reply_size =
        earlier_replies.Plain(EarlierForm(reply));
    if (head >= 0) {
      request_bytes += request_size;
      reply_bytes += reply_size;
      earlier_request_bytes += earlier_request_size;
      earlier_reply_bytes += earlier_reply_size;
    }
  }
  RecordProperty("request", static_cast<int>(request_bytes / kHeads));
  RecordProperty("reply", static_cast<int>(reply_bytes / kHeads));
  RecordProperty("earlier_request",
                 static_cast<int>(earlier_request_bytes / kHeads));
  RecordProperty("earlier_reply",
                 static_cast<int>(earlier_reply_bytes / kHeads));
  EXPECT_LT(request_bytes, 75U * kHeads);
  EXPECT_LT(reply_bytes, 27U * kHeads);
}

// --- The two forms -----------------------------------------------------------

bool IsSame(const WorkRequest& left, const WorkRequest& right) {
  return EncodeRequest(left) == EncodeRequest(right);
}

RC_GTEST_PROP(HeaderPacking, BothFormsOfARequestAreDecodedAlike, ()) {
  SeededRandomSource random(*rc::gen::arbitrary<std::uint64_t>());
  WorkRequest request = MakeRequest(random);
  WorkHead& work = request.work;
  work.request_id = RequestId(
      *rc::gen::element<std::string>("", "0", "00", "0a1B", "00ff00ff00ff00ff",
                                     "123e4567-e89b-12d3-a456-426614174000",
                                     "123E4567-e89b-12d3-a456-426614174000",
                                     "123e4567ae89b-12d3-a456-426614174000",
                                     "order 17", std::string(3000, 'f')));
  work.time_left = std::chrono::microseconds(*rc::gen::inRange<std::int64_t>(
      -365LL * 86'400'000'000, 365LL * 86'400'000'000));
  work.max_slowdown = *rc::gen::inRange(0, 1000) / 7.0;
  work.fingerprint = Fingerprint(*rc::gen::arbitrary<std::uint64_t>());
  work.is_suspect = *rc::gen::arbitrary<bool>();
  request.shape = *rc::gen::element(
      BodyShape{}, BodyShape{BodyFraming::kChunked, 0},
      BodyShape{BodyFraming::kLength, 0}, BodyShape{BodyFraming::kLength, 77});
  const HeaderList plain = EncodeRequest(request);
  const HeaderList packed = PackHead(HeadKind::kRequest, plain);
  const auto from_plain = DecodeRequest(plain);
  const auto from_packed = DecodeRequest(packed);
  const auto from_earlier = DecodeRequest(EarlierForm(request));
  RC_ASSERT(from_plain && from_packed && from_earlier);
  RC_ASSERT(IsSame(*from_plain, request));
  RC_ASSERT(IsSame(*from_packed, request));
  RC_ASSERT(IsSame(*from_earlier, request));
  RC_ASSERT(IsPackedField(HeadKind::kRequest, packed.front()));
}

RC_GTEST_PROP(HeaderPacking, BothFormsOfAReplyAreDecodedAlike, ()) {
  SeededRandomSource random(*rc::gen::arbitrary<std::uint64_t>());
  OwnerReply reply = MakeReply(random);
  if (*rc::gen::arbitrary<bool>()) {
    reply.load.process = TargetProcess();
  }
  if (*rc::gen::arbitrary<bool>()) {
    reply.load.notice = {.rate_limit = 1.7, .is_leaving = true};
  }
  const HeaderList plain = EncodeReply(reply);
  const HeaderList packed = PackHead(HeadKind::kReply, plain);
  const auto from_packed = DecodeReply(packed);
  const auto from_earlier = DecodeReply(EarlierForm(reply));
  RC_ASSERT(from_packed && from_earlier);
  RC_ASSERT(EncodeReply(*from_packed) == plain);
  RC_ASSERT(EncodeReply(*from_earlier) == plain);
  RC_ASSERT(IsPackedField(HeadKind::kReply, packed.front()));
}

// A peer must not gain anything by a packed field that no node writes.
RC_GTEST_PROP(HeaderPacking,
              AnyPackedBytesAreDecodedOrRejected,
              (const std::string& bytes)) {
  HeaderList request = EncodeRequest({});
  request.push_back({":status", bytes});
  if (const auto unpacked = UnpackHead(HeadKind::kRequest, request)) {
    RC_ASSERT(unpacked->size() <= request.size() + 8);
  }
  HeaderList reply = EncodeReply({});
  reply.push_back({":path", bytes});
  UnpackHead(HeadKind::kReply, reply);
}

struct MalformedPacked {
  const char* name;
  std::string bytes;
};

class MalformedPackedTest : public ::testing::TestWithParam<MalformedPacked> {};

// Guards against reads beyond the end of the field, and against heads that
// unpack to a size without bound.
TEST_P(MalformedPackedTest, IsRejected) {
  SeededRandomSource random(kSeed);
  HeaderList fields = EncodeRequest(MakeRequest(random));
  ASSERT_TRUE(DecodeRequest(fields));
  fields.push_back({":status", GetParam().bytes});
  EXPECT_FALSE(DecodeRequest(fields));
}

INSTANTIATE_TEST_SUITE_P(
    ,
    MalformedPackedTest,
    ::testing::Values(MalformedPacked{"CodeZero", std::string(1, '\0')},
                      MalformedPacked{"UnknownCode", "\x63"},
                      MalformedPacked{"RepeatedCode", "\x03\x02\x03\x02"},
                      MalformedPacked{"DescendingCodes", "\x04\x02\x03\x02"},
                      MalformedPacked{"EndsInAVarint", "\x03\xff"},
                      MalformedPacked{"VarintTooLong",
                                      "\x03" + std::string(11, '\xff')},
                      MalformedPacked{"EndsInAFixedNumber",
                                      "\x02"
                                      "1234567"},
                      MalformedPacked{"EndsInAnIdentifier",
                                      "\x01\x30"
                                      "a"},
                      MalformedPacked{"ShortUuid",
                                      "\x01\x05"
                                      "a"},
                      MalformedPacked{"EndsInALoad", "\x08\x01\x01\x01\x01"},
                      MalformedPacked{"LineBreak",
                                      "\x01\x06"
                                      "a\n"}),
    [](const auto& info) { return std::string(info.param.name); });

// --- Exchange with earlier releases ------------------------------------------

class RecordingListener : public AttemptListener {
 public:
  void OnRefused(Reason, const LoadReport&) override { ++replies; }
  void OnAnswer(AnswerHead,
                const LoadReport& load,
                std::shared_ptr<BodySource>) override {
    last_load = load;
    ++replies;
  }
  void OnFailed(Reason, const LoadReport&) override { ++replies; }
  void OnLost(bool, Reason) override { ++lost; }

  int replies = 0;
  int lost = 0;
  LoadReport last_load;
};

class AnsweringAcceptor : public WorkAcceptor {
 public:
  void OnWork(std::shared_ptr<WorkStream> stream) override {
    LoadReport load;
    load.in_flight = 4;
    load.process = TargetProcess(5);
    requests.push_back(stream->request());
    stream->Answer({200, {}, {}}, load)->Finish([](bool) {});
    streams.push_back(std::move(stream));
  }
  std::vector<WorkRequest> requests;
  std::vector<std::shared_ptr<WorkStream>> streams;
};

// Decodes the heads that a client sends, as a peer of an earlier release or of
// this one.
class RawServer {
 public:
  explicit RawServer(bool reads_packed) {
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_header_callback(
        callbacks,
        [](nghttp2_session*, const nghttp2_frame*, const std::uint8_t* name,
           std::size_t name_size, const std::uint8_t*, std::size_t,
           std::uint8_t, void* self) {
          static_cast<RawServer*>(self)->names.emplace_back(
              reinterpret_cast<const char*>(name), name_size);
          return 0;
        });
    nghttp2_option* option = nullptr;
    nghttp2_option_new(&option);
    nghttp2_option_set_no_http_messaging(option, 1);
    nghttp2_session_server_new2(&m_session, callbacks, this, option);
    nghttp2_option_del(option);
    nghttp2_session_callbacks_del(callbacks);
    const nghttp2_settings_entry setting{kPackedHeadsSetting, 1};
    nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, &setting,
                            reads_packed ? 1 : 0);
  }
  ~RawServer() { nghttp2_session_del(m_session); }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  void OnBytes(RawPeer& peer) {
    const std::string received = std::exchange(peer.received(), {});
    nghttp2_session_mem_recv(
        m_session, reinterpret_cast<const std::uint8_t*>(received.data()),
        received.size());
    const std::uint8_t* data = nullptr;
    ssize_t size = 0;
    while ((size = nghttp2_session_mem_send(m_session, &data)) > 0) {
      peer.Send(std::string(reinterpret_cast<const char*>(data),
                            static_cast<std::size_t>(size)));
    }
  }

  bool HasName(const char* name) const {
    return std::ranges::find(names, name) != names.end();
  }

  std::vector<std::string> names;

 private:
  nghttp2_session* m_session = nullptr;
};

class PackedFormTest : public ::testing::TestWithParam<bool> {};

// Guards against heads that an owner of an earlier release cannot read: it
// would take the request for one with defaults, or refuse it.
TEST_P(PackedFormTest, IsSentOnlyToPeersThatAnnouncedIt) {
  boost::asio::io_context context;
  RawServer server(GetParam());
  RawTarget target(context, [&server](RawPeer& peer) { server.OnBytes(peer); });
  NodeStreamClient client(context.get_executor());
  RecordingListener listener;
  SeededRandomSource random(kSeed);
  const auto first =
      client.Open(target.endpoint(), MakeRequest(random), &listener);
  ASSERT_TRUE(RunUntil(context, [&] { return server.HasName(":method"); }));
  // The client has sent its first head before it could read any setting.
  EXPECT_TRUE(server.HasName("bulrushmount-fingerprint"));
  RunUntil(
      context, [] { return false; }, std::chrono::milliseconds(100));
  server.names.clear();
  const auto second =
      client.Open(target.endpoint(), MakeRequest(random), &listener);
  ASSERT_TRUE(RunUntil(context, [&] { return server.HasName(":method"); }));
  EXPECT_EQ(server.HasName(":status"), GetParam());
  EXPECT_EQ(server.HasName("bulrushmount-fingerprint"), !GetParam());
}

INSTANTIATE_TEST_SUITE_P(,
                         PackedFormTest,
                         ::testing::Bool(),
                         [](const auto& info) {
                           return info.param ? "Announced" : "Earlier";
                         });

TEST(PackedSessionTest, RequestsAndRepliesArriveUnchanged) {
  boost::asio::io_context context;
  AnsweringAcceptor acceptor;
  NodeStreamServer server(context, acceptor);
  ASSERT_TRUE(server.Listen({"127.0.0.1", 0}));
  NodeStreamClient client(context.get_executor());
  SeededRandomSource random(kSeed);
  for (int count = 1; count <= 5; ++count) {
    RecordingListener listener;
    WorkRequest request = MakeRequest(random);
    request.shape = {};
    const auto stream = client.Open(server.endpoint(), request, &listener);
    ASSERT_TRUE(RunUntil(context, [&] { return listener.replies == 1; }));
    EXPECT_TRUE(IsSame(acceptor.requests.back(), request));
    EXPECT_EQ(listener.last_load.in_flight, 4U);
    EXPECT_EQ(listener.last_load.process, TargetProcess(5));
  }
}

}  // namespace
}  // namespace bulrushmount::testing
