// Tests hostile peers on the stream address, which send illegal or excessive
// frames or invalid fields. No peer may exceed its limits or keep others from
// being served.

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <nghttp2/nghttp2.h>
#include <boost/asio/steady_timer.hpp>

#include "core/transport/peers/node_stream_client.h"
#include "core/transport/peers/node_stream_codec.h"
#include "core/transport/peers/node_stream_server.h"
#include "unit_tests/core/transport/transport_test_support.h"

namespace bulrushmount::testing {
namespace {

constexpr std::size_t kMaxStreams = 4096;

class CountingAcceptor : public WorkAcceptor {
 public:
  void OnWork(std::shared_ptr<WorkStream> stream) override {
    works.push_back(std::move(stream));
  }
  std::vector<std::shared_ptr<WorkStream>> works;
};

std::string Frame(std::uint8_t type,
                  std::uint8_t flags,
                  std::uint32_t stream,
                  const std::string& payload) {
  std::string frame;
  for (const int shift : {16, 8, 0})
    frame += static_cast<char>(payload.size() >> shift);
  frame += static_cast<char>(type);
  frame += static_cast<char>(flags);
  for (const int shift : {24, 16, 8, 0})
    frame += static_cast<char>(stream >> shift);
  return frame + payload;
}

std::string Preface() {
  return std::string(NGHTTP2_CLIENT_MAGIC, NGHTTP2_CLIENT_MAGIC_LEN) +
         Frame(NGHTTP2_SETTINGS, 0, 0, "");
}

// `:method: GET`, `:scheme: http`, `:path: /`, from the static table.
std::string SmallHead() {
  return "\x82\x86\x84";
}

// Generates the bytes of an nghttp2 client that ignores its peer's limits.
class GreedyClient {
 public:
  GreedyClient() {
    nghttp2_option_new(&m_option);
    nghttp2_option_set_peer_max_concurrent_streams(m_option, 1 << 20);
    nghttp2_option_set_max_send_header_block_length(m_option, 1 << 24);
    nghttp2_session_callbacks_new(&m_callbacks);
    nghttp2_session_client_new2(&m_session, m_callbacks, nullptr, m_option);
    nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, nullptr, 0);
  }
  ~GreedyClient() {
    nghttp2_session_del(m_session);
    nghttp2_session_callbacks_del(m_callbacks);
    nghttp2_option_del(m_option);
  }
  GreedyClient(const GreedyClient&) = delete;
  GreedyClient& operator=(const GreedyClient&) = delete;

  void Submit(HeaderList& fields) {
    std::vector<nghttp2_nv> pairs;
    for (HeaderField& field : fields) {
      pairs.push_back({reinterpret_cast<std::uint8_t*>(field.name.data()),
                       reinterpret_cast<std::uint8_t*>(field.value.data()),
                       field.name.size(), field.value.size(),
                       NGHTTP2_NV_FLAG_NONE});
    }
    nghttp2_submit_request(m_session, nullptr, pairs.data(), pairs.size(),
                           nullptr, nullptr);
  }

  std::string Take() {
    std::string bytes;
    const std::uint8_t* data = nullptr;
    ssize_t size = 0;
    while ((size = nghttp2_session_mem_send(m_session, &data)) > 0) {
      bytes.append(reinterpret_cast<const char*>(data),
                   static_cast<std::size_t>(size));
    }
    return bytes;
  }

 private:
  nghttp2_option* m_option = nullptr;
  nghttp2_session_callbacks* m_callbacks = nullptr;
  nghttp2_session* m_session = nullptr;
};

// Includes the fields that are omitted with their default values.
HeaderList ValidFields() {
  WorkRequest request;
  request.work.workspace = WorkspaceName("studio");
  request.work.weight = 2;
  request.work.share = 3;
  request.work.method = "GET";
  request.work.target = "/a";
  request.work.service = ServiceName("desk");
  request.work.time_left = std::chrono::seconds(1);
  return EncodeRequest(request);
}

class HostilePeerTest : public ::testing::Test {
 public:
  HostilePeerTest() {
    EXPECT_TRUE(server.Listen({"127.0.0.1", 0}));
    peer = RawPeer::Connect(context, server.endpoint());
  }

  // Expects that another peer's request is still served.
  void ExpectServing() {
    const std::size_t before = acceptor.works.size();
    auto other = RawPeer::Connect(context, server.endpoint());
    GreedyClient client;
    HeaderList fields = ValidFields();
    client.Submit(fields);
    other->Send(client.Take());
    EXPECT_TRUE(RunUntil(context, [this, before] {
      return acceptor.works.size() == before + 1;
    }));
    other->Close();
  }

  // Whether a RST_STREAM frame for stream 1 has been received.
  bool IsResetSeen() const {
    return peer->received().find(std::string("\0\0\x04\x03\0\0\0\0\x01", 9)) !=
           std::string::npos;
  }

  boost::asio::io_context context;
  CountingAcceptor acceptor;
  NodeStreamServer server{context, acceptor};
  std::shared_ptr<RawPeer> peer;
};

// HPACK encodes each repetition of a long field in one byte. 500 repetitions
// expanded a head of 5 KB to 1.4 MB; on 4,096 streams that would be 5.9 GB.
TEST_F(HostilePeerTest, HeadThatHpackInflatesIsReset) {
  GreedyClient client;
  HeaderList fields = ValidFields();
  for (int count = 0; count < 500; ++count)
    fields.push_back({"x-long", std::string(2900, 'a')});
  client.Submit(fields);
  const std::string bytes = client.Take();
  EXPECT_LT(bytes.size(), 20000U);
  peer->Send(bytes);
  EXPECT_TRUE(RunUntil(
      context, [this] { return IsResetSeen() || !acceptor.works.empty(); }));
  EXPECT_TRUE(acceptor.works.empty());
  ExpectServing();
}

// Trailers count as heads; nghttp2 or the limit on a stream's heads stops them.
TEST_F(HostilePeerTest, EndlessTrailersAreReset) {
  std::string trailer = SmallHead();
  for (int count = 0; count < 100; ++count)
    trailer += std::string("\x00\x01x\x7f\xe9\x06", 6) + std::string(1000, 'a');
  std::string bytes =
      Preface() +
      Frame(NGHTTP2_HEADERS, NGHTTP2_FLAG_END_HEADERS, 1, SmallHead());
  const std::string half(trailer, 0, 3 + 10 * 1006);
  for (int count = 0; count < 20; ++count)
    bytes += Frame(NGHTTP2_HEADERS, NGHTTP2_FLAG_END_HEADERS, 1, half);
  peer->Send(bytes);
  EXPECT_TRUE(
      RunUntil(context, [this] { return IsResetSeen() || peer->is_at_end(); }));
  ExpectServing();
}

TEST_F(HostilePeerTest, StreamsAboveTheLimitAreRefused) {
  GreedyClient client;
  HeaderList fields = ValidFields();
  for (std::size_t count = 0; count < kMaxStreams + 100; ++count)
    client.Submit(fields);
  peer->Send(client.Take());
  EXPECT_TRUE(RunUntil(context, [this] {
    return acceptor.works.size() >= kMaxStreams || peer->is_at_end();
  }));
  EXPECT_TRUE(RunUntil(context, [this] { return peer->sends() == 0; }));
  EXPECT_LE(acceptor.works.size(), kMaxStreams);
  ExpectServing();
}

struct Illegal {
  const char* name;
  std::string bytes;
};

const std::vector<Illegal>& IllegalBytes() {
  const std::string head =
      Frame(NGHTTP2_HEADERS, NGHTTP2_FLAG_END_HEADERS, 1, SmallHead());
  const std::string most = "\x7f\xff\xff\xff";
  static const std::vector<Illegal> cases = {
      {"Garbage", std::string(4096, '\xa5')},
      {"Http1", "GET / HTTP/1.1\r\nHost: desk\r\n\r\n"},
      {"DataOnStreamZero", Preface() + Frame(NGHTTP2_DATA, 0, 0, "abc")},
      {"DataOnIdleStream", Preface() + Frame(NGHTTP2_DATA, 0, 5, "abc")},
      {"EvenStream",
       Preface() +
           Frame(NGHTTP2_HEADERS, NGHTTP2_FLAG_END_HEADERS, 2, SmallHead())},
      {"FrameTooLong",
       Preface() + Frame(NGHTTP2_DATA, 0, 1, std::string(70000, 'a'))},
      {"BrokenHpack",
       Preface() + Frame(NGHTTP2_HEADERS, NGHTTP2_FLAG_END_HEADERS, 1,
                         std::string(64, '\xff'))},
      {"ContinuationOfNothing",
       Preface() + Frame(NGHTTP2_CONTINUATION, 0, 1, SmallHead())},
      {"SettingsOfOddSize", Preface() + Frame(NGHTTP2_SETTINGS, 0, 0, "abc")},
      {"WindowOverflow", Preface() + Frame(NGHTTP2_WINDOW_UPDATE, 0, 0, most) +
                             Frame(NGHTTP2_WINDOW_UPDATE, 0, 0, most)},
      {"WindowOfZero",
       Preface() + Frame(NGHTTP2_WINDOW_UPDATE, 0, 0, std::string(4, '\0'))},
      {"PushFromAClient",
       Preface() + head +
           Frame(NGHTTP2_PUSH_PROMISE, NGHTTP2_FLAG_END_HEADERS, 1,
                 std::string("\0\0\0\x02", 4) + SmallHead())},
  };
  return cases;
}

class IllegalFrameTest : public HostilePeerTest,
                         public ::testing::WithParamInterface<Illegal> {};

TEST_P(IllegalFrameTest, ClosesTheConnectionAndNoOther) {
  peer->Send(GetParam().bytes);
  EXPECT_TRUE(RunUntil(context, [this] { return peer->is_at_end(); }));
  ExpectServing();
}

INSTANTIATE_TEST_SUITE_P(,
                         IllegalFrameTest,
                         ::testing::ValuesIn(IllegalBytes()),
                         [](const auto& param) {
                           return std::string(param.param.name);
                         });

// The window of a stream is 65,535 bytes, and this test does not read from it.
TEST_F(HostilePeerTest, DataBeyondTheWindowIsNotKept) {
  std::string bytes =
      Preface() +
      Frame(NGHTTP2_HEADERS, NGHTTP2_FLAG_END_HEADERS, 1, SmallHead());
  for (int count = 0; count < 8; ++count)
    bytes += Frame(NGHTTP2_DATA, 0, 1, std::string(16384, 'a'));
  peer->Send(bytes);
  EXPECT_TRUE(
      RunUntil(context, [this] { return IsResetSeen() || peer->is_at_end(); }));
  ExpectServing();
}

// --- Invalid fields of a node stream ----------------------------------------

struct InvalidField {
  const char* name;
  const char* value;
};

class InvalidFieldTest : public ::testing::TestWithParam<InvalidField> {};

// A NaN as weight corrupted the order of the admission queue, and a duration
// close to the maximum overflowed when it was added to the current time.
TEST_P(InvalidFieldTest, IsRefused) {
  HeaderList request = ValidFields();
  HeaderList reply =
      EncodeReply({OwnerVerdict::kRefused, Reason::kShed, {}, {}});
  ASSERT_TRUE(DecodeRequest(request));
  ASSERT_TRUE(DecodeReply(reply));
  const auto replace = [](HeaderList& fields) {
    int replaced = 0;
    for (HeaderField& field : fields) {
      if (field.name == GetParam().name) {
        field.value = GetParam().value;
        ++replaced;
      }
    }
    return replaced;
  };
  EXPECT_EQ(replace(request) + replace(reply), 1);
  EXPECT_FALSE(DecodeRequest(request) && DecodeReply(reply));
}

INSTANTIATE_TEST_SUITE_P(
    ,
    InvalidFieldTest,
    ::testing::Values(
        InvalidField{"bulrushmount-weight", "nan"},
        InvalidField{"bulrushmount-weight", "inf"},
        InvalidField{"bulrushmount-weight", "-1"},
        InvalidField{"bulrushmount-weight", "0"},
        InvalidField{"bulrushmount-weight", "1e300"},
        InvalidField{"bulrushmount-share", "nan"},
        InvalidField{"bulrushmount-share", "0"},
        InvalidField{"bulrushmount-time-left-us", "9223372036854775"},
        InvalidField{"bulrushmount-load", "1 1 1 9223372036854775807"},
        InvalidField{"bulrushmount-load", "1 1 1 -5"},
        InvalidField{":path", "/a HTTP/1.1"},
        InvalidField{":path", "/a\r\nX-A: 1"},
        InvalidField{":method", "GET /b HTTP/1.1\r\n"},
        InvalidField{"bulrushmount-workspace", "a\r\nX-A: 1"},
        InvalidField{"bulrushmount-workspace", "a\nX-A: 1"},
        InvalidField{"bulrushmount-request-id", "a\x01"}));

// A line break in a field split the request that the owner wrote to its target:
// HTTP/2 can carry any bytes, and fields were forwarded unchanged.
TEST(FieldNameTest, NamesThatHttp1ParsesDifferentlyAreRefused) {
  for (const char* const name :
       {"bulrUshmount-weight", "x a", "x\r\ny", "x:y", "", ":"}) {
    HeaderList request = ValidFields();
    request.push_back({name, "1"});
    EXPECT_FALSE(DecodeRequest(request)) << name;
  }
}

// --- Broken answers of an owner ---------------------------------------------

struct BrokenStreamAnswer {
  const char* name;
  // Replaces the status, or is added.
  HeaderField field;
  // Whether the head is cut by the end of the connection.
  bool is_cut = false;
};

class BrokenStreamAnswerTest
    : public ::testing::TestWithParam<BrokenStreamAnswer> {
 public:
  class Listener : public AttemptListener {
   public:
    void OnRefused(Reason, const LoadReport&) override { ++others; }
    void OnAnswer(AnswerHead,
                  const LoadReport&,
                  std::shared_ptr<BodySource>) override {
      ++answers;
    }
    void OnFailed(Reason, const LoadReport&) override { ++others; }
    void OnLost(bool is_certainly_not_run, Reason) override {
      ++lost;
      is_not_run = is_certainly_not_run;
    }

    int answers = 0;
    int lost = 0;
    int others = 0;
    bool is_not_run = false;
  };

  // The bytes of an answer in which the case's field is included.
  static std::string Answer() {
    const BrokenStreamAnswer& broken = GetParam();
    HeaderList fields =
        EncodeReply({OwnerVerdict::kAnswer, Reason::kNone, {}, {200, {}, {}}});
    if (broken.field.name == fields[0].name) {
      fields[0] = broken.field;
    } else {
      fields.push_back(broken.field);
    }
    std::string head;
    for (const HeaderField& field : fields)
      head += Literal(field.name, field.value);
    const std::uint8_t flags =
        broken.is_cut ? NGHTTP2_FLAG_NONE
                      : NGHTTP2_FLAG_END_HEADERS | NGHTTP2_FLAG_END_STREAM;
    return Frame(NGHTTP2_SETTINGS, 0, 0, "") +
           Frame(NGHTTP2_HEADERS, flags, 1, head);
  }

  // A field in HPACK's literal form; both texts are short.
  static std::string Literal(const std::string& name,
                             const std::string& value) {
    return std::string(1, '\0') + static_cast<char>(name.size()) + name +
           static_cast<char>(value.size()) + value;
  }

  // Sends a request to an owner that gives the case's answer.
  void Call() {
    RawTarget owner(context, [](RawPeer& peer) {
      if (peer.received().empty())
        return;
      peer.received().clear();
      peer.Send(Answer());
      peer.SetOnBytes({});
      if (GetParam().is_cut)
        peer.ShutdownSend();
    });
    NodeStreamClient client(context.get_executor());
    WorkRequest request;
    request.work.method = "GET";
    request.work.target = "/a";
    const auto stream = client.Open(owner.endpoint(), request, &listener);
    EXPECT_TRUE(RunUntil(context, [this] {
      return listener.answers + listener.lost + listener.others > 0;
    }));
  }

  boost::asio::io_context context;
  Listener listener;
};

// Guards against a malformed or truncated head of an owner that an entry takes
// for an answer.
TEST_P(BrokenStreamAnswerTest, IsReportedAsLost) {
  Call();
  EXPECT_EQ(listener.lost, 1);
  EXPECT_EQ(listener.answers + listener.others, 0);
  EXPECT_FALSE(listener.is_not_run);
}

INSTANTIATE_TEST_SUITE_P(
    Heads,
    BrokenStreamAnswerTest,
    ::testing::Values(BrokenStreamAnswer{"Status000", {":status", "000"}},
                      BrokenStreamAnswer{"Status600", {":status", "600"}},
                      BrokenStreamAnswer{"BlankInName", {"x note", "a"}},
                      BrokenStreamAnswer{"ControlInName", {"x\x01note", "a"}},
                      BrokenStreamAnswer{"LineBreakInValue",
                                         {"x-note", "a\r\n b"}},
                      BrokenStreamAnswer{"CutHead", {"x-note", "a"}, true}),
    [](const auto& info) { return info.param.name; });

// Shows that the cases above are rejected only for their faults.
class SoundStreamAnswerTest : public BrokenStreamAnswerTest {};

TEST_P(SoundStreamAnswerTest, IsAnAnswer) {
  Call();
  EXPECT_EQ(listener.answers, 1);
}

INSTANTIATE_TEST_SUITE_P(Heads,
                         SoundStreamAnswerTest,
                         ::testing::Values(BrokenStreamAnswer{"Sound",
                                                              {"x-note", "a"}}),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace bulrushmount::testing
