// Runs soak tests and reports the violated guarantees: for one seed, or for
// each line of a file of seeds that failed before.

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>

#include <unistd.h>

#include <fmt/format.h>
#include <cxxopts.hpp>

#include "core/common/logging.h"
#include "soak/soak_run.h"
#include "stand_ins/program.h"

namespace bulrushmount::soak {
namespace {

// A run may have thousands of violations; the first ones show the cause.
constexpr std::size_t kMaxShownViolations = 20;

std::string MakeFolder(std::uint64_t seed) {
  const auto folder = std::filesystem::temp_directory_path() /
                      fmt::format("bulrushmount_soak_{}_{}", seed, ::getpid());
  std::filesystem::create_directories(folder);
  return folder.string();
}

// Returns true if no guarantee was violated; otherwise keeps the logs.
bool RunSeed(SoakOptions options) {
  const bool are_logs_kept = !options.folder.empty();
  if (are_logs_kept)
    std::filesystem::create_directories(options.folder);
  else
    options.folder = MakeFolder(options.seed);
  SoakResult result;
  {
    SoakRun run(options);
    result = run.Run();
  }
  std::cout << result.statistics << " broken=" << result.violations.size()
            << "\n";
  const std::size_t shown =
      std::min(result.violations.size(), kMaxShownViolations);
  for (std::size_t at = 0; at < shown; ++at)
    std::cout << "broken: " << result.violations[at] << "\n";
  if (result.violations.empty() && !are_logs_kept)
    std::filesystem::remove_all(options.folder);
  else
    std::cout << "logs: " << options.folder << "\n";
  std::cout.flush();
  return result.violations.empty();
}

// Runs each line of the form "SEED SECONDS NODES [notices] [keys] | cause";
// lines that begin with # are comments. Without "notices", servers state
// nothing in their answers; without "keys", there are no workspaces.
int RunSeedFile(const std::string& file, SoakOptions options) {
  std::ifstream lines(file);
  std::string line;
  bool has_passed = lines.good();
  while (std::getline(lines, line)) {
    if (line.empty() || line.front() == '#')
      continue;
    std::istringstream words(line);
    std::int64_t seconds = 0;
    if (!(words >> options.seed >> seconds >> options.nodes)) {
      std::cerr << "invalid line, expected SEED SECONDS NODES: " << line
                << "\n";
      return 2;
    }
    options.length = std::chrono::seconds(seconds);
    options.has_notices = false;
    options.has_workspaces = false;
    for (std::string word; words >> word && word != "|";) {
      options.has_notices |= word == "notices";
      options.has_workspaces |= word == "keys";
    }
    has_passed = RunSeed(options) && has_passed;
  }
  return has_passed ? 0 : 1;
}

int Run(const cxxopts::ParseResult& parsed) {
  SetLogLevel(LogLevel::kError);
  SoakOptions options;
  options.seed = parsed["seed"].as<std::uint64_t>();
  options.length = FromSeconds(60 * parsed["minutes"].as<double>());
  options.nodes = parsed["nodes"].as<std::size_t>();
  options.is_without_faults = parsed["calm"].as<bool>();
  options.has_notices = !parsed["without-notices"].as<bool>();
  options.has_workspaces = parsed["keys"].as<bool>();
  options.calls_per_node = parsed["calls"].as<std::size_t>();
  options.program = parsed["program"].as<std::string>();
  options.settings_template = BULRUSHMOUNT_NODE_TEMPLATE;
  if (parsed.count("logs") > 0)
    options.folder = parsed["logs"].as<std::string>();
  if (parsed.count("regressions") > 0)
    return RunSeedFile(parsed["regressions"].as<std::string>(), options);
  if (parsed["print-schedule"].as<bool>()) {
    for (const Fault& fault : GenerateSchedule(
             options.seed, options.length, options.nodes, options.has_notices))
      std::cout << ToText(fault) << "\n";
    return 0;
  }
  return RunSeed(options) ? 0 : 1;
}

}  // namespace
}  // namespace bulrushmount::soak

int main(int argc, char** argv) {
  cxxopts::Options options(
      "fault_soak",
      "Injects faults into a fleet of real nodes and checks their guarantees");
  options.add_options()("seed", "Seed of the fault schedule and the traffic",
                        cxxopts::value<std::uint64_t>()->default_value("1"))(
      "minutes", "Duration of the traffic in minutes",
      cxxopts::value<double>()->default_value("1"))(
      "nodes", "Number of nodes, each with one server",
      cxxopts::value<std::size_t>()->default_value("5"))(
      "calls", "Calls in flight at each node",
      cxxopts::value<std::size_t>()->default_value("3"))(
      "calm", "Send traffic without faults")(
      "without-notices", "Servers name no request rates in their answers")(
      "keys", "Clients send keys of workspaces")(
      "print-schedule", "Print the fault schedule without running it")(
      "program", "Path of the node program",
      cxxopts::value<std::string>()->default_value(BULRUSHMOUNT_NODE))(
      "logs", "Folder in which the logs are kept",
      cxxopts::value<std::string>())("regressions", "File of seeds to run",
                                     cxxopts::value<std::string>());
  return bulrushmount::RunProgram(std::move(options), argc, argv,
                                  bulrushmount::soak::Run);
}
