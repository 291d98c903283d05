// Part of `process_fixture.h`.

#include "process_tests/process_fixture.h"

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <utility>

#include <fmt/format.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace bulrushmount {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::uint64_t kMaxAnswerBytes = std::uint64_t{1} << 30;

// Sends one request on its own io_context, so that the call can time out.
class BlockingCall {
 public:
  BlockingCall() : m_stream(m_io) { m_parser.body_limit(kMaxAnswerBytes); }

  HttpAnswer Run(const Endpoint& server,
                 const http::request<http::string_body>& request,
                 Duration limit) {
    m_stream.expires_after(limit);
    m_stream.async_connect({asio::ip::make_address(server.ip), server.port},
                           [&](error_code error) {
                             if (!error) {
                               Write(request);
                             }
                           });
    m_io.run();
    return std::move(m_answer);
  }

 private:
  void Write(const http::request<http::string_body>& request) {
    http::async_write(m_stream, request, [this](error_code error, std::size_t) {
      if (!error) {
        Read();
      }
    });
  }

  void Read() {
    http::async_read(m_stream, m_buffer, m_parser,
                     [this](error_code error, std::size_t) {
                       if (!error) {
                         StoreAnswer();
                       }
                     });
  }

  void StoreAnswer() {
    auto& message = m_parser.get();
    m_answer.status = message.result_int();
    m_answer.body = std::move(message.body());
    for (const auto& field : message) {
      m_answer.headers.push_back(
          {std::string(field.name_string()), std::string(field.value())});
    }
  }

  asio::io_context m_io;
  boost::beast::tcp_stream m_stream;
  boost::beast::flat_buffer m_buffer;
  http::response_parser<http::string_body> m_parser;
  HttpAnswer m_answer;
};

}  // namespace

std::string HttpAnswer::Header(const std::string& name) const {
  for (const HttpHeader& header : headers) {
    if (boost::beast::iequals(header.name, name)) {
      return header.value;
    }
  }
  return {};
}

HttpAnswer HttpCall(const Endpoint& server,
                    const std::string& method,
                    const std::string& path,
                    const std::string& body,
                    const std::vector<HttpHeader>& headers,
                    Duration limit) {
  http::request<http::string_body> request;
  request.version(11);
  request.method_string(method);
  request.target(path);
  request.set(http::field::host, ToString(server));
  request.set(http::field::connection, "close");
  for (const HttpHeader& header : headers) {
    request.set(header.name, header.value);
  }
  request.body() = body;
  request.prepare_payload();
  return BlockingCall().Run(server, request, limit);
}

std::int64_t ResidentKb(pid_t pid) {
  std::ifstream status(fmt::format("/proc/{}/status", pid));
  std::string word;
  std::int64_t kilobytes = 0;
  while (status >> word) {
    if (word == "VmRSS:")
      status >> kilobytes;
  }
  return kilobytes;
}

ProcessTest::ProcessTest() {
  const std::filesystem::path parent = std::filesystem::temp_directory_path();
  std::string pattern = (parent / "bulrushmount_XXXXXX").string();
  if (::mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error(
        "cannot create a temporary folder for the test: mkdtemp failed");
  }
  m_folder = pattern;
}

ProcessTest::~ProcessTest() {
  if (HasFailure()) {
    fmt::print(stderr, "Files of the failed test: {}\n", m_folder);
    return;
  }
  std::error_code ignored;
  std::filesystem::remove_all(m_folder, ignored);
}

// The address is derived from the process id, so that tests that run in
// parallel do not collide; the kernel chooses a free port on it.
Endpoint ProcessTest::FreeEndpoint() {
  const auto pid = static_cast<unsigned>(::getpid());
  ++m_addresses;
  const std::string ip = fmt::format("127.{}.{}.{}", 1 + (pid / 250) % 250,
                                     1 + pid % 250, 1 + m_addresses % 250);
  asio::io_context io;
  const asio::ip::tcp::acceptor acceptor(io, {asio::ip::make_address(ip), 0});
  return {ip, acceptor.local_endpoint().port()};
}

std::string ProcessTest::FilePath(const std::string& name) const {
  return m_folder + "/" + name;
}

std::unique_ptr<ChildProcess> ProcessTest::Start(
    const std::string& program,
    const std::vector<std::string>& arguments) {
  ++m_started;
  const std::string name = std::filesystem::path(program).filename().string();
  return std::make_unique<ChildProcess>(
      program, arguments, FilePath(fmt::format("{}_{}.log", name, m_started)));
}

std::unique_ptr<ChildProcess> ProcessTest::StartPlatform(
    const Endpoint& listen) {
  auto process =
      Start(BULRUSHMOUNT_PLATFORM_STAND_IN, {"--listen", ToString(listen)});
  EXPECT_TRUE(WaitUntil([&] {
    return HttpCall(listen, "GET", "/control/counters").status == 200;
  })) << process->StderrText();
  return process;
}

std::unique_ptr<ChildProcess> ProcessTest::StartTarget(
    const Endpoint& listen,
    const std::vector<std::string>& extra_arguments) {
  std::vector<std::string> arguments{"--listen", ToString(listen)};
  arguments.insert(arguments.end(), extra_arguments.begin(),
                   extra_arguments.end());
  auto process = Start(BULRUSHMOUNT_TARGET_STAND_IN, arguments);
  EXPECT_TRUE(WaitUntil([&] {
    return HttpCall(listen, "GET", "/ledger").status == 200;
  })) << process->StderrText();
  return process;
}

}  // namespace bulrushmount
