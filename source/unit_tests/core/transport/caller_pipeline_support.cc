// Part of `caller_pipeline_support.h`.

#include "unit_tests/core/transport/caller_pipeline_support.h"

#include <cstddef>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace bulrushmount::testing {

std::vector<ParsedAnswer> ParseAnswers(std::string_view bytes) {
  namespace http = boost::beast::http;
  std::vector<ParsedAnswer> answers;
  while (!bytes.empty()) {
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    parser.eager(true);
    boost::system::error_code error;
    const std::size_t used =
        parser.put(boost::asio::buffer(bytes.data(), bytes.size()), error);
    if (!parser.is_done())
      break;
    const auto& message = parser.get();
    answers.push_back({static_cast<int>(message.result_int()),
                       std::string(message["X-Target"]), message.body(),
                       !message.keep_alive()});
    bytes.remove_prefix(used);
  }
  return answers;
}

}  // namespace bulrushmount::testing
