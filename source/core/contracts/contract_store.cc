// Part of `contract_store.h`.

#include "core/contracts/contract_store.h"

#include <algorithm>
#include <utility>

#include "core/common/logging.h"
#include "core/contracts/contract_yaml.h"

namespace bulrushmount {

namespace {

bool Matches(const KindTerms& kind,
             std::string_view method,
             std::string_view path) {
  return path.starts_with(kind.path_prefix) &&
         (kind.method == method || kind.method == "*");
}

}  // namespace

void ContractStore::AddListener(ContractListener* listener) {
  m_listeners.push_back(listener);
}

ApplyResult ContractStore::Apply(TimePoint now, const ConfigBatch& batch) {
  if (batch.to.value() <= m_revision.value())
    return ApplyResult::kStale;
  // With a gap, a contract that changed in between would keep its old version
  // for ever, since no later batch contains that change.
  if (batch.since.value() > m_revision.value())
    return ApplyResult::kGap;

  std::vector<WorkspaceName> changed;
  for (const ConfigChange& change : batch.changes) {
    // This change is already in force.
    if (change.revision.value() <= m_revision.value())
      continue;
    m_entries[change.workspace] = MakeEntry(change);
    changed.push_back(change.workspace);
  }
  m_revision = batch.to;
  m_is_known = true;
  Notify(now, changed);
  return ApplyResult::kApplied;
}

const Contract* ContractStore::Find(const WorkspaceName& workspace) const {
  const auto entry = m_entries.find(workspace);
  return entry == m_entries.end() ? nullptr : entry->second.contract.get();
}

const std::string* ContractStore::RouteDocumentText() const {
  const auto entry = m_entries.find(WorkspaceName(kRouteDocument));
  return entry == m_entries.end() ? nullptr : &entry->second.change.yaml;
}

KindMatchResult ContractStore::MatchKind(const WorkspaceName& workspace,
                                         const ServiceName& service,
                                         std::string_view method,
                                         std::string_view target) const {
  if (!m_is_known)
    return Reason::kConfigurationUnknown;
  const auto found = m_entries.find(workspace);
  if (found == m_entries.end() || found->second.change.is_withdrawn)
    return Reason::kUnknownWorkspace;
  const Entry& entry = found->second;
  if (entry.contract == nullptr)
    return Reason::kConfigurationUnknown;
  const auto* const terms = std::get_if<WorkspaceTerms>(&entry.contract->terms);
  if (terms == nullptr)
    return Reason::kUnknownWorkspace;
  const auto service_terms = entry.services.find(service);
  if (service_terms == entry.services.end())
    return Reason::kUnknownService;

  const std::string_view path = target.substr(0, target.find('?'));
  for (const KindTerms& kind : service_terms->second->kinds) {
    if (Matches(kind, method, path))
      return MatchedKind{terms, &kind};
  }
  return Reason::kUnknownKind;
}

ConfigBatch ContractStore::ChangesSince(Revision since) const {
  ConfigBatch batch{since, m_revision, {}};
  for (const auto& [workspace, entry] : m_entries) {
    if (entry.change.revision.value() > since.value())
      batch.changes.push_back(entry.change);
  }
  std::sort(batch.changes.begin(), batch.changes.end(),
            [](const ConfigChange& left, const ConfigChange& right) {
              return left.revision.value() < right.revision.value();
            });
  return batch;
}

std::vector<const Contract*> ContractStore::Contracts() const {
  std::vector<const Contract*> contracts;
  for (const auto& [workspace, entry] : m_entries) {
    if (entry.contract != nullptr)
      contracts.push_back(entry.contract.get());
  }
  std::sort(contracts.begin(), contracts.end(),
            [](const Contract* left, const Contract* right) {
              return left->workspace.value() < right->workspace.value();
            });
  return contracts;
}

ContractStore::Entry ContractStore::MakeEntry(const ConfigChange& change) {
  Entry entry{change, nullptr, {}};
  if (change.is_withdrawn || change.workspace.value() == kRouteDocument)
    return entry;
  ContractOrFaults parsed = TryParseContract(change.yaml);
  if (!parsed.contract.has_value() ||
      parsed.contract->workspace != change.workspace) {
    // Written through a node of a newer release. Requests of the workspace are
    // refused instead of being run under wrong terms.
    LogLine(LogLevel::kError, "contract.unreadable")
        .Add("workspace", change.workspace)
        .Add("revision", change.revision)
        .Add("faults", ToString(parsed.faults));
    return entry;
  }
  entry.contract =
      std::make_unique<const Contract>(std::move(*parsed.contract));
  if (const auto* const terms =
          std::get_if<WorkspaceTerms>(&entry.contract->terms)) {
    for (const ServiceTerms& service : terms->services)
      entry.services.emplace(service.name, &service);
  }
  return entry;
}

void ContractStore::Notify(TimePoint now,
                           const std::vector<WorkspaceName>& workspaces) {
  for (const WorkspaceName& workspace : workspaces) {
    for (ContractListener* const listener : m_listeners)
      listener->OnContractChanged(now, workspace, Find(workspace));
  }
}

}  // namespace bulrushmount
