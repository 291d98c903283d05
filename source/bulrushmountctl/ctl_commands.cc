// Runs the commands. Except for `contract check` and `logs summary`, which read
// local files, each command is one or a few HTTP exchanges with a node's
// operator address.

#include "bulrushmountctl/ctl_commands.h"

#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <ostream>
#include <string_view>
#include <thread>
#include <utility>

#include <fmt/format.h>
#include <boost/json.hpp>

#include "bulrushmountctl/ctl_options.h"
#include "bulrushmountctl/evacuation_change.h"
#include "bulrushmountctl/operator_client.h"
#include "core/contracts/contract_yaml.h"
#include "core/reporting/log_digest.h"

namespace bulrushmount {

namespace {

namespace json = boost::json;

constexpr int kHttpOk = 200;
constexpr int kHttpNotFound = 404;
// Interval at which `--wait` polls /status.
constexpr Duration kWaitPollInterval = std::chrono::milliseconds(200);

std::optional<std::string> ReadFile(const std::string& name) {
  std::ifstream file(name, std::ios::binary);
  if (!file)
    return std::nullopt;
  return std::string(std::istreambuf_iterator<char>(file),
                     std::istreambuf_iterator<char>());
}

std::string TrimEnd(std::string text) {
  const std::size_t last = text.find_last_not_of(" \r\n\t");
  text.erase(last == std::string::npos ? 0 : last + 1);
  return text;
}

CtlExitCode ExitCodeFromStatus(int status) {
  if (status >= 200 && status < 300)
    return CtlExitCode::kDone;
  if (status == 400)
    return CtlExitCode::kUsage;
  return status == 504 ? CtlExitCode::kUnknown : CtlExitCode::kRefused;
}

// Returns null if `body` is not a JSON object or has no member `key`.
const json::value* FindMember(const json::value& body, std::string_view key) {
  return body.is_object() ? body.as_object().if_contains(key) : nullptr;
}

// Returns 0 if `value` is null or not an unsigned 64-bit number.
std::uint64_t NumberOrZero(const json::value* value) {
  if (value == nullptr || !value->is_number())
    return 0;
  json::error_code error;
  const auto number = value->to_number<std::uint64_t>(error);
  return error ? 0 : number;
}

// Returns a JSON null if `text` is not valid JSON.
json::value ParseJson(const std::string& text) {
  json::error_code error;
  json::value value = json::parse(text, error);
  return error ? json::value() : value;
}

// Reads the list of zone names in member `key` of a /status body.
std::vector<AvailabilityZone> ZonesOf(const json::value& status,
                                      std::string_view key) {
  std::vector<AvailabilityZone> zones;
  const json::value* const list = FindMember(status, key);
  if (list == nullptr || !list->is_array())
    return zones;
  for (const json::value& zone : list->as_array()) {
    if (zone.is_string())
      zones.emplace_back(std::string(zone.as_string()));
  }
  return zones;
}

// Whether the answering node and every member that is neither dead nor left
// report at least the configuration `revision`.
bool IsInForce(const json::value& status, std::uint64_t revision) {
  const json::value* const members = FindMember(status, "members");
  if (members == nullptr || !members->is_array() ||
      NumberOrZero(FindMember(status, "revision")) < revision)
    return false;
  for (const json::value& member : members->as_array()) {
    const json::value* const state = FindMember(member, "state");
    const bool has_left =
        state != nullptr && state->is_string() &&
        (state->as_string() == "left" || state->as_string() == "dead");
    if (!has_left && NumberOrZero(FindMember(member, "revision")) < revision)
      return false;
  }
  return true;
}

// Runs one parsed command and prints its result.
class CtlCommandRunner {
 public:
  CtlCommandRunner(const CtlOptions& options,
                   std::string token,
                   std::ostream& out,
                   std::ostream& error)
      : m_options(options),
        m_client(options.node, std::move(token), options.timeout),
        m_out(out),
        m_error(error) {}

  CtlExitCode Run() {
    switch (m_options.command) {
      case CtlCommand::kContractWrite:
        return Write();
      case CtlCommand::kContractWithdraw:
        return Change({"DELETE", "/contracts/" + m_options.argument, "",
                       m_options.if_version});
      case CtlCommand::kContractShow:
        return Show();
      case CtlCommand::kContractList:
        return Print({"GET", "/contracts", "", kNoRow});
      case CtlCommand::kContractCheck:
        return Check();
      case CtlCommand::kStatus:
        return Print({"GET", "/status", "", kNoRow});
      case CtlCommand::kReportBurn:
        return Print(
            {"GET", "/report/burn?format=" + m_options.format, "", kNoRow});
      case CtlCommand::kWorkspaces:
        return Print(
            {"GET", "/workspaces?format=" + m_options.format, "", kNoRow});
      case CtlCommand::kLogsSummary:
        return SummarizeLogs();
      case CtlCommand::kEvacuationList:
        return ListEvacuations();
      case CtlCommand::kEvacuationBegin:
        return ChangeZone(EvacuationAction::kBegin);
      case CtlCommand::kEvacuationEnd:
        return ChangeZone(EvacuationAction::kEnd);
    }
    return CtlExitCode::kUsage;
  }

 private:
  // Returns the text of the contract file and the parsed contract. Prints
  // every fault and returns nothing if the file is invalid.
  std::optional<std::pair<std::string, Contract>> ReadContract() {
    const std::optional<std::string> text = ReadFile(m_options.argument);
    if (!text.has_value()) {
      m_error << "cannot read " << m_options.argument << "\n";
      return std::nullopt;
    }
    ContractOrFaults parsed = TryParseContract(*text);
    for (const YamlFault& fault : parsed.faults.faults) {
      m_error << fmt::format("{}:{}:{}: {}\n", m_options.argument,
                             fault.position.line, fault.position.column,
                             fault.message);
    }
    if (!parsed.contract.has_value())
      return std::nullopt;
    return std::pair(*text, std::move(*parsed.contract));
  }

  CtlExitCode Check() {
    const auto contract = ReadContract();
    if (!contract.has_value())
      return CtlExitCode::kUsage;
    m_out << fmt::format("{}: no faults, workspace {}\n", m_options.argument,
                         contract->second.workspace);
    return CtlExitCode::kDone;
  }

  CtlExitCode Write() {
    const auto contract = ReadContract();
    if (!contract.has_value())
      return CtlExitCode::kUsage;
    return Change({"PUT", "/contracts/" + contract->second.workspace.value(),
                   contract->first, m_options.if_version});
  }

  CtlExitCode Show() {
    const std::optional<OperatorReply> reply =
        Exchange({"GET", "/contracts/" + m_options.argument, "", kNoRow});
    if (!reply.has_value())
      return CtlExitCode::kUnknown;
    if (reply->status == 200)
      m_out << fmt::format("# version: {}\n", reply->version);
    return Report(*reply);
  }

  CtlExitCode ListEvacuations() {
    const std::optional<OperatorReply> reply =
        Exchange({"GET", "/status", "", kNoRow});
    if (!reply.has_value())
      return CtlExitCode::kUnknown;
    if (reply->status != kHttpOk)
      return Report(*reply);
    for (const AvailabilityZone& zone :
         ZonesOf(ParseJson(reply->body), "evacuated_zones"))
      m_out << zone.value() << "\n";
    return CtlExitCode::kDone;
  }

  // Reads the evacuation contract, changes it and writes it back on condition
  // that its version is unchanged. If two operators change it concurrently,
  // the node refuses one of them and returns the current version.
  CtlExitCode ChangeZone(EvacuationAction action) {
    const std::string path = std::string("/contracts/") + kEvacuationWorkspace;
    const auto status = Exchange({"GET", "/status", "", kNoRow});
    const auto current = Exchange({"GET", path, "", kNoRow});
    if (!status.has_value() || !current.has_value())
      return CtlExitCode::kUnknown;
    const bool contract_exists = current->status == kHttpOk;
    if (!contract_exists && current->status != kHttpNotFound)
      return Report(*current);
    const auto changed =
        ChangeEvacuation(action, AvailabilityZone(m_options.argument),
                         contract_exists ? current->body : "",
                         ZonesOf(ParseJson(status->body), "known_zones"));
    if (const auto* const fault = std::get_if<EvacuationError>(&changed)) {
      m_error << fault->message << "\n";
      return CtlExitCode::kRefused;
    }
    const auto& yaml = std::get<std::string>(changed);
    const RowVersion version = contract_exists ? current->version : kNoRow;
    return Change({yaml.empty() ? "DELETE" : "PUT", path, yaml, version});
  }

  CtlExitCode Print(const OperatorRequest& request) {
    const std::optional<OperatorReply> reply = Exchange(request);
    return reply.has_value() ? Report(*reply) : CtlExitCode::kUnknown;
  }

  CtlExitCode Change(const OperatorRequest& request) {
    const auto sent = m_client.Send(request);
    if (const auto* const failure = std::get_if<OperatorError>(&sent)) {
      m_error << (failure->is_sent
                      ? "unknown whether the change was written (read back "
                        "with contract show): "
                      : "node unreachable, nothing was written: ")
              << failure->message << "\n";
      return CtlExitCode::kUnknown;
    }
    const auto& reply = std::get<OperatorReply>(sent);
    const CtlExitCode exit = Report(reply);
    if (exit != CtlExitCode::kDone || !m_options.wait_until_in_force)
      return exit;
    return Wait(NumberOrZero(FindMember(ParseJson(reply.body), "revision")));
  }

  // Polls the node until every live member has `revision` in force.
  CtlExitCode Wait(std::uint64_t revision) {
    const TimePoint limit = Now() + m_options.wait_limit;
    while (revision > 0) {
      const auto sent = m_client.Send({"GET", "/status", "", kNoRow});
      const auto* const reply = std::get_if<OperatorReply>(&sent);
      if (reply != nullptr && IsInForce(ParseJson(reply->body), revision))
        return CtlExitCode::kDone;
      if (Now() + kWaitPollInterval >= limit)
        break;
      std::this_thread::sleep_for(kWaitPollInterval);
    }
    m_error << fmt::format(
        "accepted, but not seen in force on every live member within {}\n",
        FormatDuration(m_options.wait_limit));
    return CtlExitCode::kUnknown;
  }

  CtlExitCode SummarizeLogs() {
    if (m_options.argument == "-")
      return SummarizeLogs(std::cin);
    std::ifstream file(m_options.argument, std::ios::binary);
    if (!file) {
      m_error << "cannot read " << m_options.argument << "\n";
      return CtlExitCode::kUsage;
    }
    return SummarizeLogs(file);
  }

  CtlExitCode SummarizeLogs(std::istream& lines) {
    LogDigest digest;
    std::string line;
    while (std::getline(lines, line))
      digest.AddLine(line);
    digest.Finish();
    m_out << digest.Text();
    return CtlExitCode::kDone;
  }

  std::optional<OperatorReply> Exchange(const OperatorRequest& request) {
    auto sent = m_client.Send(request);
    if (const auto* const failure = std::get_if<OperatorError>(&sent)) {
      m_error << "node unreachable: " << failure->message << "\n";
      return std::nullopt;
    }
    return std::get<OperatorReply>(std::move(sent));
  }

  // Prints the body of a successful reply, or the error of a refusal.
  CtlExitCode Report(const OperatorReply& reply) {
    const CtlExitCode exit = ExitCodeFromStatus(reply.status);
    if (exit == CtlExitCode::kDone)
      m_out << TrimEnd(reply.body) << "\n";
    else
      PrintError(reply);
    return exit;
  }

  void PrintError(const OperatorReply& reply) {
    const json::value body = ParseJson(reply.body);
    const json::value* const text = FindMember(body, "error");
    m_error << reply.status << ": "
            << (text != nullptr && text->is_string()
                    ? std::string(text->as_string())
                    : TrimEnd(reply.body))
            << "\n";
    if (reply.version != kNoRow)
      m_error << fmt::format("current version: {}\n", reply.version);
    const json::value* const faults = FindMember(body, "faults");
    if (faults == nullptr || !faults->is_array())
      return;
    for (const json::value& fault : faults->as_array()) {
      const json::value* const message = FindMember(fault, "message");
      m_error << fmt::format("line {}, column {}: {}\n",
                             NumberOrZero(FindMember(fault, "line")),
                             NumberOrZero(FindMember(fault, "column")),
                             message != nullptr && message->is_string()
                                 ? std::string(message->as_string())
                                 : "");
    }
  }

  const CtlOptions& m_options;
  const OperatorClient m_client;
  std::ostream& m_out;
  std::ostream& m_error;
};

}  // namespace

CtlExitCode RunCtl(const std::vector<std::string>& arguments,
                   std::ostream& out,
                   std::ostream& error) {
  const auto parsed = ParseCtlOptions(arguments);
  if (const auto* const text = std::get_if<CtlInfoText>(&parsed)) {
    out << text->text;
    return CtlExitCode::kDone;
  }
  if (const auto* const fault = std::get_if<CtlUsageError>(&parsed)) {
    error << fault->message << "\n";
    return CtlExitCode::kUsage;
  }
  const auto& options = std::get<CtlOptions>(parsed);
  std::string token;
  if (!options.token_file.empty()) {
    std::optional<std::string> text = ReadFile(options.token_file);
    if (!text.has_value()) {
      error << "cannot read " << options.token_file << "\n";
      return CtlExitCode::kUsage;
    }
    token = TrimEnd(std::move(*text));
  }
  return CtlCommandRunner(options, std::move(token), out, error).Run();
}

}  // namespace bulrushmount
