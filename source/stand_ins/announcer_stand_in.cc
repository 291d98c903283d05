// announcer_stand_in: announces a target to each of many nodes without running
// any target, so that a test of an idle fleet needs one process in place of one
// for each target.

#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <cxxopts.hpp>

#include "stand_ins/announcer.h"
#include "stand_ins/program.h"

namespace bulrushmount {
namespace {

cxxopts::Options MakeOptions() {
  cxxopts::Options options("announcer_stand_in",
                           "Announces a target to each of many nodes");
  auto add = options.add_options();
  add("nodes", "Addresses IP:PORT,... on which the nodes take announcements",
      cxxopts::value<std::vector<std::string>>());
  add("service", "Service name",
      cxxopts::value<std::string>()->default_value("session-desk"));
  add("services",
      "Number of services, named NAME-0, NAME-1, ..., over the nodes",
      cxxopts::value<std::uint32_t>()->default_value("1"));
  add("port", "Port announced for each target; nothing listens on it",
      cxxopts::value<std::uint16_t>()->default_value("9"));
  add("slots", "Concurrent requests announced",
      cxxopts::value<std::uint32_t>()->default_value("12"));
  add("connections", "Connections announced",
      cxxopts::value<std::uint32_t>()->default_value("220"));
  return options;
}

Announcement MakeAnnouncement(const cxxopts::ParseResult& parsed,
                              std::size_t index) {
  const auto services = parsed["services"].as<std::uint32_t>();
  Announcement announcement;
  announcement.service = parsed["service"].as<std::string>();
  if (services > 1) {
    announcement.service += "-" + std::to_string(index % services);
  }
  announcement.port = parsed["port"].as<std::uint16_t>();
  announcement.slots = parsed["slots"].as<std::uint32_t>();
  announcement.connections = parsed["connections"].as<std::uint32_t>();
  announcement.incarnation = 1;
  return announcement;
}

int Run(const cxxopts::ParseResult& parsed) {
  boost::asio::io_context io;
  std::vector<std::unique_ptr<Announcer>> announcers;
  for (const auto& text : parsed["nodes"].as<std::vector<std::string>>()) {
    announcers.push_back(std::make_unique<Announcer>(
        io, RequireEndpoint(text),
        MakeAnnouncement(parsed, announcers.size())));
    announcers.back()->Start();
  }
  RunUntilTerminated(io);
  return 0;
}

}  // namespace
}  // namespace bulrushmount

int main(int argc, char** argv) {
  return bulrushmount::RunProgram(bulrushmount::MakeOptions(), argc, argv,
                                  bulrushmount::Run);
}
