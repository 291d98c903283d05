// Fuzzes a caller connection as a whole: the check of the request head, the
// parser, bodies and pipelined requests. Each call is answered at once.

#include "fuzz/fuzz_input.h"

#include <chrono>
#include <memory>

#include <sys/socket.h>
#include <unistd.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "core/common/logging.h"
#include "core/transport/callers/caller_connection.h"

namespace bulrushmount {
namespace {

// Checks the head of each call and answers it at once.
class AnsweringAcceptor : public CallAcceptor {
 public:
  void OnCall(std::shared_ptr<CallerExchange> exchange) override {
    const CallHead& head = exchange->head();
    Require(!head.method.empty() && head.target.starts_with('/'),
            "a call has a method and a target that starts with /");
    for (const HeaderField& field : exchange->headers()) {
      Require(field.name.find_first_of(" \t\r\n:") == std::string::npos &&
                  field.value.find_first_of("\r\n") == std::string::npos,
              "a header field contains no separator of fields");
    }
    AnswerHead answer;
    answer.status = 200;
    exchange->Answer(std::move(answer), "hello");
  }
  void OnCallerDisconnected(const CallerExchange&) override {}
  bool IsRepeatable(const CallHead&) const override { return true; }
};

}  // namespace
}  // namespace bulrushmount

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace bulrushmount;
  using boost::asio::ip::tcp;
  SetLogLevel(LogLevel::kError);
  int pair[2] = {-1, -1};
  if (::socketpair(AF_UNIX, SOCK_STREAM, 0, pair) != 0)
    return 0;
  // In bytes. Larger input would exceed the buffer of the socket and block.
  const std::size_t sent = std::min<std::size_t>(size, 65536);
  Require(
      ::send(pair[0], data, sent, MSG_NOSIGNAL) == static_cast<ssize_t>(sent),
      "the socket accepts all bytes of the input");
  ::shutdown(pair[0], SHUT_WR);
  SeededRandomSource random(1);
  AnsweringAcceptor acceptor;
  boost::asio::io_context context(1);
  tcp::socket socket(context);
  socket.assign(tcp::v4(), pair[1]);
  CallerLimits limits;
  std::weak_ptr<detail::CallerConnection> weak;
  {
    auto connection = std::make_shared<detail::CallerConnection>(
        std::move(socket), acceptor, random,
        std::make_shared<CallerLimits>(limits), DefaultCallerDialect(),
        std::make_shared<ReadAheadBudget>(limits.max_read_ahead));
    connection->Start();
    weak = connection;
  }
  context.run_for(std::chrono::seconds(20));
  Require(weak.expired(),
          "a connection is destroyed after its caller has closed it");
  ::close(pair[0]);
  return 0;
}
