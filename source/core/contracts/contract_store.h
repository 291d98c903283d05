// The configuration in force at a node. Its revision never decreases: a batch
// is applied as a whole or not at all, and only if it continues from the
// configuration in force.

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

  // Called after the whole batch has been applied. `contract` is null if it was
  // withdrawn or if this release cannot parse it.
  virtual void OnContractChanged(TimePoint now,
                                 const WorkspaceName& workspace,
                                 const Contract* contract) = 0;
};

// The kind of a request under its workspace's contract. The pointers are valid
// until the next Apply; a call that outlives it copies what it needs.
struct MatchedKind {
  const WorkspaceTerms* terms = nullptr;
  const KindTerms* kind = nullptr;
};

// Possible reasons: kUnknownWorkspace, kUnknownService, kUnknownKind, and
// kConfigurationUnknown if no configuration is known yet or this release cannot
// parse the contract.
using KindMatchResult = std::variant<MatchedKind, Reason>;

enum class ApplyResult : std::uint8_t {
  kApplied,
  // The batch is not newer than the configuration in force.
  kStale,
  // The batch starts from a configuration newer than the one in force.
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

  // The table has been read and contains no configuration yet.
  void SetKnownEmpty() { m_is_known = true; }

  // Whether a configuration is in force, possibly an empty one.
  bool is_known() const { return m_is_known; }
  Revision revision() const { return m_revision; }

  // Null if there is no contract, or if it is withdrawn or cannot be parsed.
  const Contract* Find(const WorkspaceName& workspace) const;

  // Called for each request; costs two hash look-ups and a linear search of the
  // service's kinds. `target` is the target of the request line: the path,
  // optionally with a query.
  KindMatchResult MatchKind(const WorkspaceName& workspace,
                            const ServiceName& service,
                            std::string_view method,
                            std::string_view target) const;

  // The operator's routing document in force; null if there is none.
  const std::string* RouteDocumentText() const;

  // The changes from `since` to the configuration in force, including
  // tombstones.
  ConfigBatch ChangesSince(Revision since) const;

  // All contracts that can be parsed, in order of workspace.
  std::vector<const Contract*> Contracts() const;

 private:
  struct Entry {
    ConfigChange change;
    // Null in a tombstone and for a text that cannot be parsed.
    std::unique_ptr<const Contract> contract;
    // Points into `contract`.
    std::unordered_map<ServiceName, const ServiceTerms*> services;
  };

  static Entry MakeEntry(const ConfigChange& change);
  void Notify(TimePoint now, const std::vector<WorkspaceName>& workspaces);

  // Invariant: every entry's revision is at most m_revision, and all are
  // distinct.
  std::unordered_map<WorkspaceName, Entry> m_entries;
  // Never decreases.
  Revision m_revision;
  // True whenever m_revision is above 0.
  bool m_is_known = false;
  std::vector<ContractListener*> m_listeners;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_CONTRACTS_CONTRACT_STORE_H_
