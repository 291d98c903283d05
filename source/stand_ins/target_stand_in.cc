// target_stand_in: a target for tests that announces itself to a node and
// records the requests that it executes.

#include <chrono>
#include <csignal>
#include <functional>
#include <memory>
#include <optional>
#include <stdexcept>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cxxopts.hpp>

#include "core/common/logging.h"
#include "stand_ins/announcer.h"
#include "stand_ins/program.h"
#include "stand_ins/target_service.h"

namespace bulrushmount {
namespace {

cxxopts::Options MakeOptions() {
  cxxopts::Options options("target_stand_in", "A target for tests");
  auto add = options.add_options();
  add("listen", "Address IP:PORT to listen on", cxxopts::value<std::string>());
  add("announce",
      "Address IP:PORT on which the node takes announcements; empty: none",
      cxxopts::value<std::string>()->default_value(""));
  add("service", "Service name",
      cxxopts::value<std::string>()->default_value("session-desk"));
  add("slots", "Number of concurrent requests",
      cxxopts::value<std::uint32_t>()->default_value("12"));
  add("connections", "Connections announced",
      cxxopts::value<std::uint32_t>()->default_value("220"));
  add("service-time-ms", "Mean service time in milliseconds",
      cxxopts::value<double>()->default_value("5"));
  add("shape",
      "Distribution of service times: constant, exponential or log-normal",
      cxxopts::value<std::string>()->default_value("exponential"));
  add("zone", "Availability zone announced",
      cxxopts::value<std::string>()->default_value(""));
  add("ledger", "File to append the ledger to",
      cxxopts::value<std::string>()->default_value(""));
  add("incarnation", "Incarnation number; 0: taken from the clock",
      cxxopts::value<std::uint64_t>()->default_value("0"));
  add("seed", "Random seed of service times and shedding",
      cxxopts::value<std::uint64_t>()->default_value("1"));
  add("linger-ms", "Time without requests after which a withdrawn target exits",
      cxxopts::value<std::uint32_t>()->default_value("500"));
  return options;
}

ServiceTimeShape RequireShape(const std::string& text) {
  if (text == "constant") {
    return ServiceTimeShape::kConstant;
  }
  if (text == "exponential") {
    return ServiceTimeShape::kExponential;
  }
  if (text == "log-normal") {
    return ServiceTimeShape::kLogNormal;
  }
  throw std::invalid_argument(
      "--shape must be constant, exponential or log-normal, found " + text);
}

// Gives a later process at the same address a higher incarnation.
std::uint64_t IncarnationFromClock() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

TargetOptions ReadTargetOptions(const cxxopts::ParseResult& parsed) {
  TargetOptions options;
  options.listen = RequireEndpoint(parsed["listen"].as<std::string>());
  options.slots = parsed["slots"].as<std::uint32_t>();
  options.service_time =
      FromMilliseconds(parsed["service-time-ms"].as<double>());
  options.shape = RequireShape(parsed["shape"].as<std::string>());
  options.incarnation = parsed["incarnation"].as<std::uint64_t>();
  if (options.incarnation == 0) {
    options.incarnation = IncarnationFromClock();
  }
  options.seed = parsed["seed"].as<std::uint64_t>();
  options.ledger_file = parsed["ledger"].as<std::string>();
  return options;
}

Announcement ReadAnnouncement(const cxxopts::ParseResult& parsed,
                              const TargetOptions& options) {
  return {parsed["service"].as<std::string>(),
          options.listen.ip,
          options.listen.port,
          options.slots,
          parsed["connections"].as<std::uint32_t>(),
          options.incarnation,
          parsed["zone"].as<std::string>()};
}

// Runs the service and its announcer from start to the end of the drain.
class TargetProcess {
 public:
  TargetProcess(boost::asio::io_context& io, const cxxopts::ParseResult& parsed)
      : m_options(ReadTargetOptions(parsed)),
        m_service(io, m_options),
        m_linger(
            std::chrono::milliseconds(parsed["linger-ms"].as<std::uint32_t>())),
        m_timer(io),
        m_signals(io, SIGTERM, SIGINT) {
    const std::string node = parsed["announce"].as<std::string>();
    if (!node.empty()) {
      m_announcer.emplace(io, RequireEndpoint(node),
                          ReadAnnouncement(parsed, m_options));
      m_announcer->Start();
    }
    m_signals.async_wait([this](const auto& error, int) {
      if (!error) {
        Leave();
      }
    });
    WatchControl();
  }

 private:
  static constexpr auto kPollInterval = std::chrono::milliseconds(20);

  // Withdraws or announces the target when /control changes `is_draining`. The
  // process continues to run.
  void WatchControl() {
    if (m_is_leaving) {
      return;
    }
    const bool is_draining = m_service.control().is_draining;
    if (m_announcer && is_draining != m_was_draining) {
      m_was_draining = is_draining;
      if (is_draining) {
        m_announcer->Withdraw([] {});
      } else {
        m_announcer->Start();
      }
    }
    Poll([this] { WatchControl(); });
  }

  void Leave() {
    m_is_leaving = true;
    LogLine(LogLevel::kInfo, "target.leaving")
        .Add("in_flight", m_service.in_flight());
    if (!m_announcer) {
      ExitWhenIdle();
      return;
    }
    m_announcer->Withdraw([this] { ExitWhenIdle(); });
  }

  // Requests that the node sent before it received the withdrawal may still
  // arrive; closing at once would leave their outcome unknown. Once the server
  // is drained, the io_context has no work left and the process exits.
  void ExitWhenIdle() {
    const bool is_idle = m_service.in_flight() == 0 &&
                         Now() - m_service.last_activity() > m_linger;
    if (is_idle) {
      m_service.server().Drain();
      m_timer.cancel();
      return;
    }
    Poll([this] { ExitWhenIdle(); });
  }

  void Poll(std::function<void()> action) {
    m_timer.expires_after(kPollInterval);
    m_timer.async_wait(
        [action = std::move(action)](const boost::system::error_code& error) {
          if (!error) {
            action();
          }
        });
  }

  TargetOptions m_options;
  TargetService m_service;
  std::optional<Announcer> m_announcer;
  Duration m_linger;
  boost::asio::steady_timer m_timer;
  boost::asio::signal_set m_signals;
  bool m_was_draining = false;
  // Set by SIGTERM or SIGINT. Ends WatchControl, whose timer would otherwise
  // keep the process running for ever.
  bool m_is_leaving = false;
};

int Run(const cxxopts::ParseResult& parsed) {
  boost::asio::io_context io;
  const TargetProcess process(io, parsed);
  io.run();
  return 0;
}

}  // namespace
}  // namespace bulrushmount

int main(int argc, char** argv) {
  return bulrushmount::RunProgram(bulrushmount::MakeOptions(), argc, argv,
                                  bulrushmount::Run);
}
