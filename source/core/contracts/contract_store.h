// The configuration that a node has in force. It only goes forward: a batch is
// applied whole or not at all, and only if it leads on from what is in force.

#ifndef BULRUSHMOUNT_CORE_CONTRACTS_CONTRACT_STORE_H_
#define BULRUSHMOUNT_CORE_CONTRACTS_CONTRACT_STORE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "core/common/ids.h"
#include "core/common/outcome.h"
#include "core/common/time.h"
#include "core/contracts/config_types.h"
#include "core/contracts/contract.h"

namespace bulrushmount {

class ContractListener {
 public:
  virtual ~ContractListener() = default;

  // Called when the whole batch is in force. `contract` is null when it is
  // withdrawn, or when this release cannot read it.
  virtual void OnContractChanged(TimePoint now,
                                 const WorkspaceName& workspace,
                                 const Contract* contract) = 0;
};

// What a request is under its workspace's contract. The pointers hold until the
// next Apply; a call that lives longer copies what it needs.
struct MatchedKind {
  const WorkspaceTerms* terms = nullptr;
  const KindTerms* kind = nullptr;
};

// Reasons: kUnknownWorkspace, kUnknownService, kUnknownKind, and
// kConfigurationUnknown when no configuration is known yet or this release
// cannot read the contract.
using KindMatchResult = std::variant<MatchedKind, Reason>;

enum class ApplyResult : std::uint8_t {
  kApplied,
  // Nothing newer than what is in force.
  kStale,
  // It starts from a configuration that is not in force here yet.
  kGap,
};

class ContractStore {
 public:
  ContractStore() = default;

  ContractStore(const ContractStore&) = delete;
  ContractStore& operator=(const ContractStore&) = delete;

  // `listener` must outlive the store.
  void AddListener(ContractListener* listener);

  ApplyResult Apply(TimePoint now, const ConfigBatch& batch);

  // The table has been read and holds no configuration yet.
  void SetKnownEmpty() { m_is_known = true; }

  // Whether a configuration is in force, be it an empty one.
  bool is_known() const { return m_is_known; }
  Revision revision() const { return m_revision; }

  // Null if there is none, if it is withdrawn or cannot be read.
  const Contract* Find(const WorkspaceName& workspace) const;

  // For each request: two hash look-ups and a walk of the service's kinds.
  // `target` is the path, and whatever follows in the request line's target.
  KindMatchResult MatchKind(const WorkspaceName& workspace,
                            const ServiceName& service,
                            std::string_view method,
                            std::string_view target) const;

  // The operator's routing document in force; null if there is none.
  const std::string* RouteDocumentText() const;

  // What leads from `since` to the configuration in force, tombstones
  // included.
  ConfigBatch ChangesSince(Revision since) const;

  // All contracts that can be read, in order of workspace.
  std::vector<const Contract*> Contracts() const;

 private:
  struct Entry {
    ConfigChange change;
    // Null in a tombstone and for a text that cannot be read.
    std::unique_ptr<const Contract> contract;
    // Points into `contract`.
    std::unordered_map<ServiceName, const ServiceTerms*> services;
  };

  static Entry MakeEntry(const ConfigChange& change);
  void Notify(TimePoint now, const std::vector<WorkspaceName>& workspaces);

  // Every entry's revision is at most m_revision, and no two are the same.
  std::unordered_map<WorkspaceName, Entry> m_entries;
  // Never falls.
  Revision m_revision;
  // True whenever m_revision is above 0.
  bool m_is_known = false;
  std::vector<ContractListener*> m_listeners;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_CONTRACTS_CONTRACT_STORE_H_
