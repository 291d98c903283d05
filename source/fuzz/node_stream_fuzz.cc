// Heads of node streams: one field a line, its name and value parted by a tab.

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
    const auto again = DecodeRequest(written);
    Require(again && EncodeRequest(*again) == written,
            "a request reads back as written");
    // What the owner does with it first.
    const TimePoint deadline = Now() + again->work.time_left;
    Require(again->work.weight / again->work.share >= 0 &&
                deadline != TimePoint::max(),
            "a work is sound");
  }
  if (const auto reply = DecodeReply(fields)) {
    const HeaderList written = EncodeReply(*reply);
    const auto again = DecodeReply(written);
    Require(again && EncodeReply(*again) == written,
            "a reply reads back as written");
  }
  return 0;
}
