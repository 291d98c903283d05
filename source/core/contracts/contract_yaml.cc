// Part of `contract_yaml.h`.

#include "core/contracts/contract_yaml.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

#include <fmt/format.h>
#include <yaml-cpp/emitter.h>

namespace bulrushmount {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;

constexpr DurationRange kDeadlineRange{milliseconds(1), hours(1)};
constexpr DurationRange kRetentionRange{std::chrono::seconds(1),
                                        hours(24 * 30)};
constexpr NumberRange kFractionRange{0, 1, true, true};
constexpr NumberRange kPositiveRange{0, 1e9, true, false};
constexpr std::uint32_t kMaxInFlight = 1'000'000;
// The cost of matching a request is linear in the kinds of a service.
constexpr std::size_t kMaxKinds = 64;
constexpr std::size_t kMaxServices = 256;
constexpr std::size_t kMaxPathPrefix = 256;
constexpr std::size_t kMaxMethodLength = 16;

bool IsValidMethod(std::string_view method) {
  const auto is_upper = [](char c) { return c >= 'A' && c <= 'Z'; };
  return method == "*" ||
         (!method.empty() && method.size() <= kMaxMethodLength &&
          std::ranges::all_of(method, is_upper));
}

bool IsValidPath(std::string_view path) {
  const auto is_visible = [](char c) { return c > ' ' && c <= '~'; };
  return path.starts_with('/') && path.size() <= kMaxPathPrefix &&
         std::ranges::all_of(path, is_visible) &&
         path.find_first_of("?#") == std::string_view::npos;
}

std::string ReadMethod(const YamlNode* node, YamlFaults& faults) {
  const std::optional<std::string> method = ReadText(node, faults);
  if (method.has_value() && !IsValidMethod(*method))
    faults.Add(node->position, "expected an upper-case method or \"*\"");
  return method.value_or("");
}

std::string ReadPath(const YamlNode* node, YamlFaults& faults) {
  const std::optional<std::string> path = ReadText(node, faults);
  if (path.has_value() && !IsValidPath(*path))
    faults.Add(node->position,
               "expected a path prefix that starts with '/', without query");
  return path.value_or("");
}

KeyPolicy ReadKeyPolicy(const YamlNode* node, YamlFaults& faults) {
  const std::optional<std::string> policy = ReadText(node, faults);
  if (!policy.has_value() || *policy == "required")
    return KeyPolicy::kRequired;
  if (*policy != "optional")
    faults.Add(node->position, "expected required or optional");
  return KeyPolicy::kOptional;
}

LatencyObjective ReadObjective(const YamlNode* node, YamlFaults& faults) {
  LatencyObjective objective;
  if (node == nullptr)
    return objective;
  YamlMapReader map(*node, faults);
  objective.fraction =
      ReadNumber(map.Required("fraction"), kFractionRange, faults)
          .value_or(objective.fraction);
  objective.within =
      ReadDuration(map.Required("within"), kDeadlineRange, faults)
          .value_or(objective.within);
  map.Finish();
  return objective;
}

KindTerms ReadKind(const YamlNode& node, YamlFaults& faults) {
  KindTerms kind;
  YamlMapReader map(node, faults);
  kind.name = KindName(ReadName(map.Required("name"), faults).value_or(""));
  kind.method = ReadMethod(map.Required("method"), faults);
  kind.path_prefix = ReadPath(map.Required("path"), faults);
  kind.is_repeatable =
      ReadBool(map.Required("repeatable"), faults).value_or(false);
  const YamlNode* const key = map.Optional("key");
  kind.key_policy = ReadKeyPolicy(key, faults);
  if (key != nullptr && kind.is_repeatable)
    faults.Add(key->position,
               "'key' is only for kinds that are not repeatable");
  kind.weight = ReadNumber(map.Optional("weight"), kPositiveRange, faults)
                    .value_or(kind.weight);
  kind.deadline = ReadDuration(map.Required("deadline"), kDeadlineRange, faults)
                      .value_or(kind.deadline);
  kind.objective = ReadObjective(map.Required("objective"), faults);
  map.Finish();
  return kind;
}

// Reports a kind that an earlier kind of the service hides: no request could
// ever match it, which is certainly a mistake.
void CheckHiddenKind(const std::vector<KindTerms>& earlier,
                     const KindTerms& kind,
                     YamlPosition position,
                     YamlFaults& faults) {
  for (const KindTerms& other : earlier) {
    const bool hides_method =
        other.method == "*" || other.method == kind.method;
    if (hides_method && !other.path_prefix.empty() &&
        kind.path_prefix.starts_with(other.path_prefix)) {
      faults.Add(position, fmt::format("kind '{}' is hidden by kind '{}'",
                                       kind.name, other.name));
      return;
    }
  }
}

ServiceTerms ReadService(const YamlNode& node, YamlFaults& faults) {
  ServiceTerms service;
  YamlMapReader map(node, faults);
  service.name =
      ServiceName(ReadName(map.Required("name"), faults).value_or(""));
  const YamlNode* const kinds = map.Required("kinds");
  std::unordered_set<KindName> names;
  for (const YamlNode& item : ReadSequence(kinds, faults)) {
    KindTerms kind = ReadKind(item, faults);
    if (!kind.name.value().empty() && !names.insert(kind.name).second)
      faults.Add(item.position, fmt::format("duplicate kind '{}'", kind.name));
    else
      CheckHiddenKind(service.kinds, kind, item.position, faults);
    service.kinds.push_back(std::move(kind));
  }
  if (service.kinds.size() > kMaxKinds)
    faults.Add(kinds->position, fmt::format("more than {} kinds", kMaxKinds));
  map.Finish();
  return service;
}

std::vector<ServiceTerms> ReadServices(const YamlNode* node,
                                       YamlFaults& faults) {
  std::vector<ServiceTerms> services;
  std::unordered_set<ServiceName> names;
  for (const YamlNode& item : ReadSequence(node, faults)) {
    ServiceTerms service = ReadService(item, faults);
    if (!service.name.value().empty() && !names.insert(service.name).second)
      faults.Add(item.position,
                 fmt::format("duplicate service '{}'", service.name));
    services.push_back(std::move(service));
  }
  if (services.size() > kMaxServices)
    faults.Add(node->position,
               fmt::format("more than {} services", kMaxServices));
  return services;
}

WorkspaceLimits ReadLimits(const YamlNode* node, YamlFaults& faults) {
  WorkspaceLimits limits;
  if (node == nullptr)
    return limits;
  YamlMapReader map(*node, faults);
  limits.units_per_second =
      ReadNumber(map.Required("units_per_second"), kPositiveRange, faults)
          .value_or(0);
  limits.burst_units =
      ReadNumber(map.Required("burst_units"), kPositiveRange, faults)
          .value_or(0);
  limits.in_flight =
      ReadCount(map.Required("in_flight"), 1, kMaxInFlight, faults).value_or(0);
  map.Finish();
  return limits;
}

// Reports a kind that could never be admitted because its weight exceeds the
// burst.
void CheckWeights(const WorkspaceTerms& terms,
                  YamlPosition position,
                  YamlFaults& faults) {
  if (terms.limits.burst_units <= 0)
    return;
  for (const ServiceTerms& service : terms.services) {
    for (const KindTerms& kind : service.kinds) {
      if (kind.weight > terms.limits.burst_units)
        faults.Add(position,
                   fmt::format("burst_units is below the weight of kind '{}'",
                               kind.name));
    }
  }
}

WorkspaceTerms ReadWorkspaceTerms(YamlMapReader& map, YamlFaults& faults) {
  WorkspaceTerms terms;
  terms.services = ReadServices(map.Required("services"), faults);
  const YamlNode* const limits = map.Required("limits");
  terms.limits = ReadLimits(limits, faults);
  if (limits != nullptr)
    CheckWeights(terms, limits->position, faults);
  terms.share =
      ReadNumber(map.Optional("share"), kPositiveRange, faults).value_or(1.0);
  terms.key_retention =
      ReadDuration(map.Required("key_retention"), kRetentionRange, faults)
          .value_or(Duration(0));
  return terms;
}

ServiceMeasuringBudget ReadBudget(const YamlNode& node, YamlFaults& faults) {
  ServiceMeasuringBudget budget;
  YamlMapReader map(node, faults);
  budget.service =
      ServiceName(ReadName(map.Required("service"), faults).value_or(""));
  // 0 is allowed and means no probes at all.
  budget.probes_per_second =
      ReadNumber(map.Required("probes_per_second"), {0, 1e6}, faults)
          .value_or(0);
  budget.probes_in_flight =
      ReadCount(map.Required("probes_in_flight"), 0, kMaxInFlight, faults)
          .value_or(0);
  map.Finish();
  return budget;
}

MeasuringTerms ReadMeasuringTerms(YamlMapReader& map, YamlFaults& faults) {
  MeasuringTerms terms;
  std::unordered_set<ServiceName> names;
  for (const YamlNode& item : ReadSequence(map.Required("budgets"), faults)) {
    ServiceMeasuringBudget budget = ReadBudget(item, faults);
    if (!budget.service.value().empty() && !names.insert(budget.service).second)
      faults.Add(item.position,
                 fmt::format("duplicate service '{}'", budget.service));
    terms.budgets.push_back(std::move(budget));
  }
  return terms;
}

EvacuationTerms ReadEvacuationTerms(YamlMapReader& map, YamlFaults& faults) {
  EvacuationTerms terms;
  for (const YamlNode& item : ReadSequence(map.Required("zones"), faults)) {
    const AvailabilityZone zone(ReadName(&item, faults).value_or(""));
    if (std::find(terms.zones.begin(), terms.zones.end(), zone) !=
        terms.zones.end())
      faults.Add(item.position, fmt::format("duplicate zone '{}'", zone));
    terms.zones.push_back(zone);
  }
  return terms;
}

Contract ReadContract(const YamlNode& root, YamlFaults& faults) {
  Contract contract;
  YamlMapReader map(root, faults);
  map.Renamed("customer", "workspace");
  contract.workspace =
      WorkspaceName(ReadName(map.Required("workspace"), faults).value_or(""));
  if (contract.workspace.value() == kMeasurementWorkspace)
    contract.terms = ReadMeasuringTerms(map, faults);
  else if (contract.workspace.value() == kEvacuationWorkspace)
    contract.terms = ReadEvacuationTerms(map, faults);
  else
    contract.terms = ReadWorkspaceTerms(map, faults);
  map.Finish();
  return contract;
}

// The shortest text that parses to the same number.
std::string FormatNumber(double number) {
  return fmt::format("{}", number);
}

void EmitKind(YAML::Emitter& out, const KindTerms& kind) {
  out << YAML::BeginMap;
  out << YAML::Key << "name" << YAML::Value << kind.name.value();
  out << YAML::Key << "method" << YAML::Value << kind.method;
  out << YAML::Key << "path" << YAML::Value << kind.path_prefix;
  out << YAML::Key << "repeatable" << YAML::Value << kind.is_repeatable;
  if (!kind.is_repeatable) {
    out << YAML::Key << "key" << YAML::Value
        << (kind.key_policy == KeyPolicy::kRequired ? "required" : "optional");
  }
  out << YAML::Key << "weight" << YAML::Value << FormatNumber(kind.weight);
  out << YAML::Key << "deadline" << YAML::Value
      << FormatDuration(kind.deadline);
  out << YAML::Key << "objective" << YAML::Value << YAML::Flow
      << YAML::BeginMap;
  out << YAML::Key << "fraction" << YAML::Value
      << FormatNumber(kind.objective.fraction);
  out << YAML::Key << "within" << YAML::Value
      << FormatDuration(kind.objective.within);
  out << YAML::EndMap << YAML::EndMap;
}

void EmitService(YAML::Emitter& out, const ServiceTerms& service) {
  out << YAML::BeginMap;
  out << YAML::Key << "name" << YAML::Value << service.name.value();
  out << YAML::Key << "kinds" << YAML::Value << YAML::BeginSeq;
  for (const KindTerms& kind : service.kinds)
    EmitKind(out, kind);
  out << YAML::EndSeq << YAML::EndMap;
}

void EmitTerms(YAML::Emitter& out, const WorkspaceTerms& terms) {
  out << YAML::Key << "services" << YAML::Value << YAML::BeginSeq;
  for (const ServiceTerms& service : terms.services)
    EmitService(out, service);
  out << YAML::EndSeq;
  out << YAML::Key << "limits" << YAML::Value << YAML::BeginMap;
  out << YAML::Key << "units_per_second" << YAML::Value
      << FormatNumber(terms.limits.units_per_second);
  out << YAML::Key << "burst_units" << YAML::Value
      << FormatNumber(terms.limits.burst_units);
  out << YAML::Key << "in_flight" << YAML::Value << terms.limits.in_flight;
  out << YAML::EndMap;
  out << YAML::Key << "share" << YAML::Value << FormatNumber(terms.share);
  out << YAML::Key << "key_retention" << YAML::Value
      << FormatDuration(terms.key_retention);
}

void EmitTerms(YAML::Emitter& out, const MeasuringTerms& terms) {
  out << YAML::Key << "budgets" << YAML::Value << YAML::BeginSeq;
  for (const ServiceMeasuringBudget& budget : terms.budgets) {
    out << YAML::BeginMap;
    out << YAML::Key << "service" << YAML::Value << budget.service.value();
    out << YAML::Key << "probes_per_second" << YAML::Value
        << FormatNumber(budget.probes_per_second);
    out << YAML::Key << "probes_in_flight" << YAML::Value
        << budget.probes_in_flight;
    out << YAML::EndMap;
  }
  out << YAML::EndSeq;
}

void EmitTerms(YAML::Emitter& out, const EvacuationTerms& terms) {
  out << YAML::Key << "zones" << YAML::Value << YAML::BeginSeq;
  for (const AvailabilityZone& zone : terms.zones)
    out << zone.value();
  out << YAML::EndSeq;
}

}  // namespace

ContractOrFaults TryParseContract(std::string_view yaml) {
  ContractOrFaults result;
  const std::optional<YamlNode> root = ParseYaml(yaml, result.faults);
  if (root.has_value())
    result.contract = ReadContract(*root, result.faults);
  if (!result.faults.empty())
    result.contract.reset();
  result.faults.Sort();
  return result;
}

boost::leaf::result<Contract> ParseContract(std::string_view yaml) {
  ContractOrFaults result = TryParseContract(yaml);
  if (!result.contract.has_value())
    return boost::leaf::new_error(std::move(result.faults));
  return std::move(*result.contract);
}

std::string ToYaml(const Contract& contract) {
  YAML::Emitter out;
  out << YAML::BeginMap;
  out << YAML::Key << "workspace" << YAML::Value << contract.workspace.value();
  std::visit([&out](const auto& terms) { EmitTerms(out, terms); },
             contract.terms);
  out << YAML::EndMap;
  return std::string(out.c_str()) + "\n";
}

}  // namespace bulrushmount
