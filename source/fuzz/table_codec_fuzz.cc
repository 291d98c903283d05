// Fuzzes the decoders of table requests and replies in JSON.

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
          BOOST_LEAF_AUTO(decoded_again, DecodeTableRequest(path, json));
          Require(EncodeTableRequest(decoded_again) == json,
                  "a request is unchanged by encoding and decoding it");
          return {};
        },
        [] {});
  }
  boost::leaf::try_handle_all(
      [&text]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(reply, DecodeTableReply(text));
        BOOST_LEAF_AUTO(decoded_again,
                        DecodeTableReply(EncodeTableReply(reply)));
        Require(decoded_again.rows == reply.rows,
                "a reply is unchanged by encoding and decoding it");
        return {};
      },
      [] {});
  return 0;
}
