// Maps command words and options to `CtlOptions`.

#include "bulrushmountctl/ctl_options.h"

#include <array>
#include <string_view>
#include <utility>

#include <fmt/format.h>
#include <cxxopts.hpp>

#include "core/settings/yaml_reader.h"

namespace bulrushmount {

namespace {

using ParseResult = std::variant<CtlOptions, CtlInfoText, CtlUsageError>;

enum class Argument : std::uint8_t { kNone, kFile, kName };

// Syntax of one command: its one or two words and its argument.
struct CommandSyntax {
  std::string_view first;
  // Empty for a command of one word.
  std::string_view second;
  CtlCommand command;
  Argument argument;
};

constexpr std::array<CommandSyntax, 12> kCommands{{
    {"contract", "write", CtlCommand::kContractWrite, Argument::kFile},
    {"contract", "show", CtlCommand::kContractShow, Argument::kName},
    {"contract", "list", CtlCommand::kContractList, Argument::kNone},
    {"contract", "withdraw", CtlCommand::kContractWithdraw, Argument::kName},
    {"contract", "check", CtlCommand::kContractCheck, Argument::kFile},
    {"status", "", CtlCommand::kStatus, Argument::kNone},
    {"report", "burn", CtlCommand::kReportBurn, Argument::kNone},
    {"workspaces", "", CtlCommand::kWorkspaces, Argument::kNone},
    {"logs", "summary", CtlCommand::kLogsSummary, Argument::kFile},
    {"evacuation", "list", CtlCommand::kEvacuationList, Argument::kNone},
    {"evacuation", "begin", CtlCommand::kEvacuationBegin, Argument::kName},
    {"evacuation", "end", CtlCommand::kEvacuationEnd, Argument::kName},
}};

constexpr char kCommandsHelp[] = R"(
Commands:
  contract write FILE.yaml [--if-version N] [--wait]
  contract show NAME
  contract list
  contract withdraw NAME --if-version N [--wait]
  contract check FILE.yaml          (needs no node)
  evacuation list
  evacuation begin ZONE [--wait]    (stops new calls to the zone's targets)
  evacuation end ZONE [--wait]
  status
  report burn [--format text|json|svg]
  workspaces [--format text|json]   (use of the limits over the fleet)
  logs summary FILE                 (needs no node; - is standard input)

Exit codes: 0 done, 1 refused, 2 invalid usage or faults in the file,
3 node unreachable or outcome unknown
)";

cxxopts::Options MakeOptions() {
  cxxopts::Options options("bulrushmountctl",
                           "Writes and reads contracts through any node.");
  options.add_options()  //
      ("node", "Operator address of a node, IP:PORT",
       cxxopts::value<std::string>())  //
      ("token-file", "File with the operator token",
       cxxopts::value<std::string>())  //
      ("if-version", "Change the contract only at this version",
       cxxopts::value<std::uint64_t>())                                    //
      ("wait", "Return once the change is in force on every live member")  //
      ("wait-limit", "Time limit of --wait, such as 30s",
       cxxopts::value<std::string>())  //
      ("timeout", "Time limit of one reply, such as 10s",
       cxxopts::value<std::string>())  //
      ("format", "Report format: text, json or svg",
       cxxopts::value<std::string>())   //
      ("h,help", "Print this help")     //
      ("version", "Print the version")  //
      ("words", "Command", cxxopts::value<std::vector<std::string>>());
  options.parse_positional({"words"});
  options.positional_help("COMMAND");
  return options;
}

std::vector<std::string> PositionalArguments(
    const cxxopts::ParseResult& parsed) {
  if (parsed.count("words") == 0)
    return {};
  return parsed["words"].as<std::vector<std::string>>();
}

const CommandSyntax* FindCommand(const std::vector<std::string>& words) {
  for (const CommandSyntax& syntax : kCommands) {
    const std::size_t length = syntax.second.empty() ? 1 : 2;
    if (words.size() >= length && words[0] == syntax.first &&
        (length == 1 || words[1] == syntax.second))
      return &syntax;
  }
  return nullptr;
}

// Returns the error message, empty on success.
std::string ReadCommand(const std::vector<std::string>& words,
                        CtlOptions& options) {
  const CommandSyntax* const syntax = FindCommand(words);
  if (syntax == nullptr)
    return "unknown command; see --help";
  options.command = syntax->command;
  const std::size_t word_count = syntax->second.empty() ? 1 : 2;
  const std::size_t expected =
      word_count + (syntax->argument == Argument::kNone ? 0 : 1);
  if (words.size() != expected)
    return syntax->argument == Argument::kNone
               ? "too many arguments; see --help"
               : "expected one FILE, NAME or ZONE; see --help";
  if (syntax->argument == Argument::kNone)
    return "";
  options.argument = words.back();
  if (syntax->argument == Argument::kName && !IsValidName(options.argument))
    return "NAME must be 1 to 64 letters, digits, '.', '_' or '-'";
  return "";
}

std::string ReadNode(const cxxopts::ParseResult& parsed, CtlOptions& options) {
  if (options.command == CtlCommand::kContractCheck ||
      options.command == CtlCommand::kLogsSummary)
    return "";
  if (parsed.count("node") == 0)
    return "--node IP:PORT is required";
  const std::optional<Endpoint> node =
      ParseEndpoint(parsed["node"].as<std::string>());
  if (!node.has_value())
    return "--node must be IP:PORT with a numeric address";
  options.node = *node;
  return "";
}

std::string ReadDuration(const cxxopts::ParseResult& parsed,
                         const std::string& name,
                         Duration& time) {
  if (parsed.count(name) == 0)
    return "";
  const std::optional<Duration> read =
      ParseDuration(parsed[name].as<std::string>());
  if (!read.has_value() || *read <= Duration(0))
    return fmt::format("--{} must be a positive duration such as 10s", name);
  time = *read;
  return "";
}

std::string ReadCommandOptions(const cxxopts::ParseResult& parsed,
                               CtlOptions& options) {
  if (parsed.count("token-file") > 0)
    options.token_file = parsed["token-file"].as<std::string>();
  if (parsed.count("if-version") > 0)
    options.if_version = RowVersion(parsed["if-version"].as<std::uint64_t>());
  if (parsed.count("format") > 0)
    options.format = parsed["format"].as<std::string>();
  options.wait_until_in_force = parsed.count("wait") > 0;
  if (options.format != "text" && options.format != "json" &&
      options.format != "svg")
    return "--format must be text, json or svg";
  if (options.command == CtlCommand::kContractWithdraw &&
      options.if_version == kNoRow)
    return "--if-version N is required to withdraw a contract";
  std::string fault = ReadDuration(parsed, "wait-limit", options.wait_limit);
  if (fault.empty())
    fault = ReadDuration(parsed, "timeout", options.timeout);
  return fault;
}

ParseResult Read(const cxxopts::ParseResult& parsed) {
  CtlOptions options;
  std::string fault = ReadCommand(PositionalArguments(parsed), options);
  if (fault.empty())
    fault = ReadNode(parsed, options);
  if (fault.empty())
    fault = ReadCommandOptions(parsed, options);
  if (!fault.empty())
    return CtlUsageError{fault};
  return options;
}

}  // namespace

ParseResult ParseCtlOptions(const std::vector<std::string>& arguments) {
  std::vector<const char*> argv{"bulrushmountctl"};
  argv.reserve(arguments.size() + 1);
  for (const std::string& argument : arguments)
    argv.push_back(argument.c_str());
  cxxopts::Options options = MakeOptions();
  try {
    const cxxopts::ParseResult parsed =
        options.parse(static_cast<int>(argv.size()), argv.data());
    if (parsed.count("help") > 0)
      return CtlInfoText{options.help() + kCommandsHelp};
    if (parsed.count("version") > 0)
      return CtlInfoText{"bulrushmountctl " BULRUSHMOUNT_VERSION "\n"};
    return Read(parsed);
  } catch (const cxxopts::exceptions::exception& error) {
    return CtlUsageError{error.what()};
  }
}

}  // namespace bulrushmount
