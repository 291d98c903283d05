// Common command line handling and shutdown of the programs in this folder.

#ifndef BULRUSHMOUNT_STAND_INS_PROGRAM_H_
#define BULRUSHMOUNT_STAND_INS_PROGRAM_H_

#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <cxxopts.hpp>

#include "core/common/endpoint.h"

namespace bulrushmount {

// Parses the command line and calls `run`, whose result is the exit status.
// With `--help` it prints the help and returns 0. An exception, also one caused
// by invalid options, is printed and gives the exit status 2.
int RunProgram(cxxopts::Options options,
               int argc,
               char** argv,
               const std::function<int(const cxxopts::ParseResult&)>& run);

// Throws std::invalid_argument if `text` is not IP:PORT.
Endpoint RequireEndpoint(const std::string& text);

// Runs the event loop until SIGTERM or SIGINT.
void RunUntilTerminated(boost::asio::io_context& io);

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_STAND_INS_PROGRAM_H_
