// Plays soaks and says what was broken: one seed, or each line of a file of
// seeds that failed before.

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

// The first ones say what went wrong; a run may have thousands.
constexpr std::size_t kMostShown = 20;

std::string MakeFolder(std::uint64_t seed) {
  const auto folder = std::filesystem::temp_directory_path() /
                      fmt::format("bulrushmount_soak_{}_{}", seed, ::getpid());
  std::filesystem::create_directories(folder);
  return folder.string();
}

// True if nothing was broken; the logs stay if something was.
bool PlayOne(SoakOptions options) {
  const bool are_logs_kept = !options.folder.empty();
  if (are_logs_kept)
    std::filesystem::create_directories(options.folder);
  else
    options.folder = MakeFolder(options.seed);
  SoakResult result;
  {
    SoakRun run(options);
    result = run.Play();
  }
  std::cout << result.figures << " broken=" << result.broken.size() << "\n";
  const std::size_t shown = std::min(result.broken.size(), kMostShown);
  for (std::size_t at = 0; at < shown; ++at)
    std::cout << "broken: " << result.broken[at] << "\n";
  if (result.broken.empty() && !are_logs_kept)
    std::filesystem::remove_all(options.folder);
  else
    std::cout << "logs: " << options.folder << "\n";
  std::cout.flush();
  return result.broken.empty();
}

// Lines of "SEED SECONDS NODES | cause"; others beginning with # are comments.
int PlayFile(const std::string& file, SoakOptions options) {
  std::ifstream lines(file);
  std::string line;
  bool is_whole = lines.good();
  while (std::getline(lines, line)) {
    if (line.empty() || line.front() == '#')
      continue;
    std::istringstream words(line);
    std::int64_t seconds = 0;
    if (!(words >> options.seed >> seconds >> options.nodes)) {
      std::cerr << "not SEED SECONDS NODES: " << line << "\n";
      return 2;
    }
    options.length = std::chrono::seconds(seconds);
    is_whole = PlayOne(options) && is_whole;
  }
  return is_whole ? 0 : 1;
}

int Run(const cxxopts::ParseResult& parsed) {
  SetLogLevel(LogLevel::kError);
  SoakOptions options;
  options.seed = parsed["seed"].as<std::uint64_t>();
  options.length = FromSeconds(60 * parsed["minutes"].as<double>());
  options.nodes = parsed["nodes"].as<std::size_t>();
  options.is_calm = parsed["calm"].as<bool>();
  options.calls_each = parsed["calls"].as<std::size_t>();
  options.program = parsed["program"].as<std::string>();
  options.settings_template = BULRUSHMOUNT_NODE_TEMPLATE;
  if (parsed.count("logs") > 0)
    options.folder = parsed["logs"].as<std::string>();
  if (parsed.count("regressions") > 0)
    return PlayFile(parsed["regressions"].as<std::string>(), options);
  if (parsed["print-schedule"].as<bool>()) {
    for (const Fault& fault :
         DrawSchedule(options.seed, options.length, options.nodes))
      std::cout << ToText(fault) << "\n";
    return 0;
  }
  return PlayOne(options) ? 0 : 1;
}

}  // namespace
}  // namespace bulrushmount::soak

int main(int argc, char** argv) {
  cxxopts::Options options("fault_soak",
                           "Plays faults on a fleet of real nodes");
  options.add_options()("seed", "Of schedule and traffic",
                        cxxopts::value<std::uint64_t>()->default_value("1"))(
      "minutes", "Of traffic", cxxopts::value<double>()->default_value("1"))(
      "nodes", "Each with its server",
      cxxopts::value<std::size_t>()->default_value("5"))(
      "calls", "Under way at each node",
      cxxopts::value<std::size_t>()->default_value("3"))("calm", "No faults")(
      "print-schedule", "Only say what would be caused")(
      "program", "Of the node",
      cxxopts::value<std::string>()->default_value(BULRUSHMOUNT_NODE))(
      "logs", "A folder that keeps the logs", cxxopts::value<std::string>())(
      "regressions", "A file of seeds to play", cxxopts::value<std::string>());
  return bulrushmount::RunProgram(std::move(options), argc, argv,
                                  bulrushmount::soak::Run);
}
