// Fuzzes the decoder of stream heads between nodes. The input has one field per
// line, its name and value separated by a tab.

#include "fuzz/fuzz_input.h"

#include <algorithm>

#include "core/transport/peers/node_stream_codec.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace bulrushmount;
  const std::string text = ToString(data, size);
  HeaderList fields;
  for (std::size_t start = 0; start < text.size();) {
    const std::size_t end = std::min(text.find(10, start), text.size());
    const std::string line = text.substr(start, end - start);
    const std::size_t tab = std::min(line.find(9), line.size());
    fields.push_back(
        {line.substr(0, tab), line.substr(std::min(tab + 1, line.size()))});
    start = end + 1;
  }
  if (const auto request = DecodeRequest(fields)) {
    const HeaderList written = EncodeRequest(*request);
    const auto decoded_again = DecodeRequest(written);
    Require(decoded_again && EncodeRequest(*decoded_again) == written,
            "a request is unchanged by encoding and decoding it");
    // The first computations of the owner that receives the request.
    const TimePoint deadline = Now() + decoded_again->work.time_left;
    Require(decoded_again->work.weight / decoded_again->work.share >= 0 &&
                deadline != TimePoint::max(),
            "the weight, share and time left of a work are in range");
  }
  if (const auto reply = DecodeReply(fields)) {
    const HeaderList written = EncodeReply(*reply);
    const auto decoded_again = DecodeReply(written);
    Require(decoded_again && EncodeReply(*decoded_again) == written,
            "a reply is unchanged by encoding and decoding it");
  }
  return 0;
}
