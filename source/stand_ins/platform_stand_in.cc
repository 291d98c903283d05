// platform_stand_in: serves the platform's table and object store from memory,
// for tests.

#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <cxxopts.hpp>

#include "core/common/logging.h"
#include "stand_ins/platform_service.h"
#include "stand_ins/program.h"

namespace bulrushmount {
namespace {

cxxopts::Options MakeOptions() {
  cxxopts::Options options("platform_stand_in",
                           "The platform's table and object store, in memory");
  options.add_options()("listen", "Address IP:PORT to listen on",
                        cxxopts::value<std::string>());
  return options;
}

int Run(const cxxopts::ParseResult& parsed) {
  const Endpoint listen = RequireEndpoint(parsed["listen"].as<std::string>());
  boost::asio::io_context io;
  const PlatformService service(io, listen);
  // Logged after the signal handlers are installed, because a test may send
  // SIGTERM as soon as it reads this line.
  boost::asio::post(io, [&listen] {
    LogLine(LogLevel::kInfo, "platform.listening")
        .Add("endpoint", ToString(listen));
  });
  RunUntilTerminated(io);
  return 0;
}

}  // namespace
}  // namespace bulrushmount

int main(int argc, char** argv) {
  return bulrushmount::RunProgram(bulrushmount::MakeOptions(), argc, argv,
                                  bulrushmount::Run);
}
