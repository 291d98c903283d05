// Tests how the reader of an HTTP/1.1 message handles overlapping reads.

#include "core/transport/http1_reader.h"

#include <memory>
#include <optional>
#include <string>

#include <gtest/gtest.h>

#include "unit_tests/core/transport/transport_test_support.h"

namespace bulrushmount::testing {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr char kHead[] = "POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\n";

struct OverlapCase {
  const char* name;
  bool is_first_aborted;
};

class Http1ReaderTest : public ::testing::TestWithParam<OverlapCase> {};

// Guards against the end of the process: a second read of a message is in
// progress when the first one reads its end, and gets the bytes that follow.
TEST_P(Http1ReaderTest, SecondReadInProgressFails) {
  asio::io_context context;
  tcp::acceptor listener(context,
                         tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  const auto peer = RawPeer::Connect(
      context, {"127.0.0.1", listener.local_endpoint().port()});
  const auto socket = std::make_shared<tcp::socket>(listener.accept());
  const auto buffer = std::make_shared<boost::beast::flat_buffer>(65536);
  const auto reader = std::make_shared<Http1Reader<true>>(socket, buffer);
  boost::system::error_code error;
  reader->parser().put(asio::buffer(kHead, sizeof(kHead) - 1), error);
  ASSERT_FALSE(error);

  std::optional<BodyRead> first;
  std::optional<BodyRead> second;
  reader->Read([&first](BodyRead read) { first = std::move(read); });
  if (GetParam().is_first_aborted) {
    reader->Abort();
  }
  reader->Read([&second](BodyRead read) { second = std::move(read); });
  ASSERT_TRUE(second);
  EXPECT_EQ(second->status, BodyStatus::kError);
  peer->Send("bodynext");
  ASSERT_TRUE(RunUntil(context, [&reader] { return reader->is_done(); }));
  EXPECT_EQ(first.has_value(), !GetParam().is_first_aborted);
  if (first) {
    EXPECT_EQ(first->data, "body");
  }
  peer->Close();
  context.restart();
  context.poll();
}

INSTANTIATE_TEST_SUITE_P(Cases,
                         Http1ReaderTest,
                         ::testing::Values(OverlapCase{"Reading", false},
                                           OverlapCase{"Aborted", true}),
                         [](const auto& info) {
                           return std::string(info.param.name);
                         });

}  // namespace
}  // namespace bulrushmount::testing
