// caller_load: an open-loop load generator. It sends requests on a
// schedule that does not depend on the answers, and verifies each answer.

#include <cstdint>
#include <fstream>
#include <iostream>
#include <random>
#include <stdexcept>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/serialize.hpp>
#include <cxxopts.hpp>

#include "stand_ins/load_client.h"
#include "stand_ins/load_plan.h"
#include "stand_ins/load_summary.h"
#include "stand_ins/program.h"

namespace bulrushmount {
namespace {

cxxopts::Options MakeOptions() {
  cxxopts::Options options("caller_load",
                           "Open-loop load with verified answers");
  const auto text = [](const char* value) {
    return cxxopts::value<std::string>()->default_value(value);
  };
  const auto number = [](const char* value) {
    return cxxopts::value<std::uint64_t>()->default_value(value);
  };
  auto add = options.add_options();
  add("entries", "Addresses IP:PORT,... that receive the requests",
      cxxopts::value<std::vector<std::string>>());
  add("workspace", "Workspace name", text(""));
  add("service", "Service name", text(""));
  add("rate", "Requests per second, bursts not counted",
      cxxopts::value<double>()->default_value("100"));
  add("duration-s", "Duration in seconds",
      cxxopts::value<double>()->default_value("10"));
  add("kind", "\"name method path weight [key] [body N]\"; may be repeated",
      cxxopts::value<std::vector<std::string>>());
  add("mix", "File with one request kind per line", text(""));
  add("seed", "Random seed of arrivals, kinds and bodies", number("1"));
  add("burst-every-ms", "Interval of bursts; 0: none", number("0"));
  add("burst-size", "Requests per burst", number("0"));
  add("timeout-ms", "Time after which a request counts as without outcome",
      number("30000"));
  add("connections", "Maximum number of concurrent connections",
      number("2000"));
  add("deadline-ms", "Deadline sent with each request; 0: none", number("0"));
  add("ledger", "File that receives one JSON line per request", text(""));
  add("json", "Also print the summary as JSON");
  add("direct", "The entries are targets, not nodes");
  return options;
}

std::vector<LoadKind> ReadKinds(const cxxopts::ParseResult& parsed) {
  std::vector<LoadKind> kinds;
  const std::string mix = parsed["mix"].as<std::string>();
  if (!mix.empty()) {
    kinds = ReadMixFile(mix);
  }
  if (parsed.count("kind") > 0) {
    for (const auto& spec : parsed["kind"].as<std::vector<std::string>>()) {
      const auto kind = ParseLoadKind(spec);
      if (!kind) {
        throw std::invalid_argument(
            "--kind must be NAME METHOD PATH WEIGHT [key] [body N], found " +
            spec);
      }
      kinds.push_back(*kind);
    }
  }
  if (kinds.empty()) {
    throw std::invalid_argument("no request kind given; use --kind or --mix");
  }
  return kinds;
}

std::vector<Endpoint> ReadEntries(const cxxopts::ParseResult& parsed) {
  std::vector<Endpoint> entries;
  for (const auto& word : parsed["entries"].as<std::vector<std::string>>()) {
    entries.push_back(RequireEndpoint(word));
  }
  return entries;
}

LoadOptions ReadLoadOptions(const cxxopts::ParseResult& parsed) {
  const auto number = [&](const char* name) {
    return parsed[name].as<std::uint64_t>();
  };
  LoadOptions options;
  options.entries = ReadEntries(parsed);
  options.workspace = parsed["workspace"].as<std::string>();
  options.service = parsed["service"].as<std::string>();
  options.rate = parsed["rate"].as<double>();
  options.duration = FromSeconds(parsed["duration-s"].as<double>());
  options.kinds = ReadKinds(parsed);
  options.seed = number("seed");
  options.burst_interval = std::chrono::milliseconds(number("burst-every-ms"));
  options.burst_size = static_cast<std::uint32_t>(number("burst-size"));
  options.timeout = std::chrono::milliseconds(number("timeout-ms"));
  options.max_connections = number("connections");
  if (number("deadline-ms") > 0) {
    options.deadline_ms = number("deadline-ms");
  }
  options.is_direct = parsed.count("direct") > 0;
  return options;
}

// Sends requests on schedule, sums up the results and writes the ledger.
class CallerLoad {
 public:
  CallerLoad(boost::asio::io_context& io,
             const LoadOptions& options,
             const std::string& ledger)
      : m_options(options),
        m_schedule(options),
        m_random(options.seed + 1),
        m_start(Now()),
        m_timer(io),
        m_client(io, options, [this](const CallResult& result) {
          Record(result);
        }) {
    if (!ledger.empty()) {
      m_ledger.open(ledger, std::ios::app);
    }
    for (const LoadKind& kind : options.kinds) {
      m_weights.push_back(kind.weight);
    }
    WaitForNext();
  }

  const LoadSummary& summary() const { return m_summary; }

 private:
  void WaitForNext() {
    const auto next = m_schedule.Next();
    if (!next) {
      return;
    }
    m_timer.expires_at(m_start + *next);
    m_timer.async_wait(
        [this, intended = m_start + *next](const boost::system::error_code&) {
          Send(intended);
          WaitForNext();
        });
  }

  void Send(TimePoint intended) {
    std::discrete_distribution<std::size_t> pick(m_weights.begin(),
                                                 m_weights.end());
    m_client.Send({++m_last_number, m_options.kinds[pick(m_random)], intended});
  }

  void Record(const CallResult& result) {
    m_summary.Add(result);
    if (!m_ledger.is_open()) {
      return;
    }
    const std::string_view outcome = ToText(result.outcome);
    m_ledger << boost::json::serialize(boost::json::object{
                    {"number", result.number},
                    {"kind", result.kind},
                    {"idempotency_key", result.idempotency_key},
                    {"outcome", boost::json::string_view(outcome)},
                    {"reason", result.reason},
                    {"status", result.status},
                    {"latency_ms", ToMilliseconds(result.latency)},
                    {"is_digest_mismatch", result.is_digest_mismatch}})
             << "\n";
  }

  const LoadOptions& m_options;
  ArrivalSchedule m_schedule;
  std::mt19937_64 m_random;
  std::vector<double> m_weights;
  TimePoint m_start;
  std::uint64_t m_last_number = 0;
  LoadSummary m_summary;
  std::ofstream m_ledger;
  boost::asio::steady_timer m_timer;
  LoadClient m_client;
};

// Returns the exit status: 1 if a request had no outcome or an answer belonged
// to another request, else 0.
int Run(const cxxopts::ParseResult& parsed) {
  const LoadOptions load_options = ReadLoadOptions(parsed);
  boost::asio::io_context io(1);
  const CallerLoad load(io, load_options, parsed["ledger"].as<std::string>());
  io.run();
  std::cout << load.summary().ToLines();
  if (parsed.count("json") > 0) {
    std::cout << boost::json::serialize(load.summary().ToJson()) << "\n";
  }
  return load.summary().HasPassed() ? 0 : 1;
}

}  // namespace
}  // namespace bulrushmount

int main(int argc, char** argv) {
  return bulrushmount::RunProgram(bulrushmount::MakeOptions(), argc, argv,
                                  bulrushmount::Run);
}
