// Requests and replies of the table, as JSON.

#include "fuzz/fuzz_input.h"

#include <boost/leaf.hpp>

#include "core/store/table_codec.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace bulrushmount;
  const std::string text = ToString(data, size);
  for (const std::string_view path :
       {kTableGetPath, kTableScanPath, kTableTransactPath}) {
    boost::leaf::try_handle_all(
        [path, &text]() -> boost::leaf::result<void> {
          BOOST_LEAF_AUTO(request, DecodeTableRequest(path, text));
          const std::string json = EncodeTableRequest(request);
          BOOST_LEAF_AUTO(again, DecodeTableRequest(path, json));
          Require(EncodeTableRequest(again) == json,
                  "a request reads back as written");
          return {};
        },
        [] {});
  }
  boost::leaf::try_handle_all(
      [&text]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(reply, DecodeTableReply(text));
        BOOST_LEAF_AUTO(again, DecodeTableReply(EncodeTableReply(reply)));
        Require(again.rows == reply.rows, "a reply reads back as written");
        return {};
      },
      [] {});
  return 0;
}
