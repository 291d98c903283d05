// Fuzzes the answer head of a target and the part of it that is relayed to the
// caller.

#include "fuzz/fuzz_input.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include "core/transport/http1_head.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace bulrushmount;
  namespace http = boost::beast::http;
  http::response_parser<http::buffer_body> parser;
  parser.header_limit(65536);
  parser.body_limit(boost::none);
  boost::system::error_code error;
  parser.put(boost::asio::buffer(data, size), error);
  if (error || !parser.is_header_done())
    return 0;
  AnswerHead head;
  head.status = static_cast<int>(parser.get().result_int());
  head.headers = EndToEndFields(parser.get());
  const std::string text = ToText(head);
  // A line break inside a field would make the caller read it as two fields.
  std::size_t lines = 0;
  for (std::size_t at = text.find("\r\n"); at != std::string::npos;
       at = text.find("\r\n", at + 2))
    ++lines;
  Require(lines <= head.headers.size() + 4, "no relayed field is split in two");
  return 0;
}
