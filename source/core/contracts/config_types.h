// Value types of the configuration, as stored in the table and sent between
// nodes.

#ifndef BULRUSHMOUNT_CORE_CONTRACTS_CONFIG_TYPES_H_
#define BULRUSHMOUNT_CORE_CONTRACTS_CONFIG_TYPES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/common/ids.h"
#include "core/common/strong_type.h"

namespace bulrushmount {

// Random id of each change. A writer that did not receive the table's response
// can read the table and look for the id to find out whether the change took
// effect.
using ChangeId = StrongType<struct ChangeIdTag, std::uint64_t>;

// One accepted change of one contract. Each revision belongs to exactly one
// change.
struct ConfigChange {
  WorkspaceName workspace;
  Revision revision;
  ChangeId change_id;
  // A tombstone, kept for ever so that an older version cannot reappear.
  bool is_withdrawn = false;
  // The text written by the operator; empty in a tombstone. Kept as text and
  // not as a parsed contract, so that a node passes on fields that only a newer
  // release understands.
  std::string yaml;

  friend bool operator==(const ConfigChange&, const ConfigChange&) = default;
};

// The changes from configuration `since` to configuration `to`: the last change
// of every contract that changed in between. With `since` 0 it is the whole
// configuration.
struct ConfigBatch {
  Revision since;
  Revision to;
  // In ascending order of revision, one per workspace, all in (since, to].
  std::vector<ConfigChange> changes;

  friend bool operator==(const ConfigBatch&, const ConfigBatch&) = default;
};

struct LoggedChange {
  WorkspaceName workspace;
  Revision revision;
  ChangeId change_id;

  friend bool operator==(const LoggedChange&, const LoggedChange&) = default;
};

// The row that defines the order of all changes.
struct RevisionRecord {
  Revision revision;
  // The newest changes in ascending order, without a gap, up to `revision`. At
  // most kMaxLoggedChanges, so a node that missed more changes needs a scan.
  std::vector<LoggedChange> recent;

  friend bool operator==(const RevisionRecord&,
                         const RevisionRecord&) = default;
};

inline constexpr std::size_t kMaxLoggedChanges = 64;

// Used instead of a workspace name for the operator's routing document.
// Workspace names cannot contain '/'.
inline constexpr char kRouteDocument[] = "operator/document";

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_CONTRACTS_CONFIG_TYPES_H_
