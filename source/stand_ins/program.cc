// Common main function, option parsing and shutdown of the test programs.

#include "stand_ins/program.h"

#include <csignal>
#include <exception>
#include <iostream>
#include <stdexcept>

#include <boost/asio/signal_set.hpp>

namespace bulrushmount {

namespace {

constexpr int kExitError = 2;

}  // namespace

int RunProgram(cxxopts::Options options,
               int argc,
               char** argv,
               const std::function<int(const cxxopts::ParseResult&)>& run) {
  try {
    options.add_options()("help", "Print this help");
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    return run(parsed);
  } catch (const std::exception& error) {
    std::cerr << options.program() << ": " << error.what() << "\n";
    return kExitError;
  }
}

Endpoint RequireEndpoint(const std::string& text) {
  const auto endpoint = ParseEndpoint(text);
  if (!endpoint) {
    throw std::invalid_argument("expected IP:PORT, found " + text);
  }
  return *endpoint;
}

void RunUntilTerminated(boost::asio::io_context& io) {
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&io](const auto&, int) { io.stop(); });
  io.run();
}

}  // namespace bulrushmount
