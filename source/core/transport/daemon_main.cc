// Part of `daemon_main.h`.

#include "core/transport/daemon_main.h"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>

#include <cxxopts.hpp>

#include "core/settings/daemon_settings.h"
#include "core/transport/node_daemon.h"

namespace bulrushmount {
namespace {

constexpr char kVersion[] = "bulrushmountd 0.1.0";
constexpr int kExitUsage = 2;

std::optional<std::string> ReadFile(const std::string& name) {
  std::ifstream file(name);
  if (!file)
    return std::nullopt;
  return std::string((std::istreambuf_iterator<char>(file)),
                     std::istreambuf_iterator<char>());
}

// Prints every error in the settings file, one line each.
std::optional<DaemonSettings> LoadSettings(const std::string& name) {
  const std::optional<std::string> text = ReadFile(name);
  if (!text) {
    std::cerr << name << ": cannot be read\n";
    return std::nullopt;
  }
  const DaemonSettingsOrFaults parsed = TryParseDaemonSettings(*text);
  for (const YamlFault& fault : parsed.faults.faults) {
    std::cerr << name << ':' << fault.position.line << ':'
              << fault.position.column << ": " << fault.message << '\n';
  }
  return parsed.settings;
}

int Run(int argc, char** argv, DaemonProtocols& protocols) {
  cxxopts::Options options("bulrushmountd",
                           "Runs one node of bulrushmount next to one target.");
  options.add_options()("settings", "Settings file (YAML)",
                        cxxopts::value<std::string>(), "FILE")(
      "check-settings", "Check the settings file and exit")(
      "version", "Print the version")("help", "Print this help");
  const cxxopts::ParseResult given = options.parse(argc, argv);
  if (given.count("help") > 0) {
    std::cout << options.help();
    return EXIT_SUCCESS;
  }
  if (given.count("version") > 0) {
    std::cout << kVersion << '\n';
    return EXIT_SUCCESS;
  }
  if (given.count("settings") == 0) {
    std::cerr << "--settings FILE is needed; see --help\n";
    return kExitUsage;
  }
  const auto file = given["settings"].as<std::string>();
  const std::optional<DaemonSettings> settings = LoadSettings(file);
  if (!settings)
    return kExitUsage;
  if (given.count("check-settings") > 0)
    return EXIT_SUCCESS;
  return RunNodeDaemon(*settings, file, protocols);
}

}  // namespace

int DaemonMain(int argc, char** argv, DaemonProtocols& protocols) {
  try {
    return Run(argc, argv, protocols);
  } catch (const cxxopts::exceptions::exception& fault) {
    std::cerr << fault.what() << '\n';
    return kExitUsage;
  }
}

}  // namespace bulrushmount
