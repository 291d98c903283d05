// The values that the configuration is made of, wherever it is kept or sent.

#ifndef BULRUSHMOUNT_CORE_CONTRACTS_CONFIG_TYPES_H_
#define BULRUSHMOUNT_CORE_CONTRACTS_CONFIG_TYPES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/common/ids.h"
#include "core/common/strong_type.h"

namespace bulrushmount {

// Drawn at random for each change, so that whoever lost the table's answer can
// find out by reading whether the change took effect.
using ChangeId = StrongType<struct ChangeIdTag, std::uint64_t>;

// One accepted change of one contract. Exactly one change has a revision.
struct ConfigChange {
  WorkspaceName workspace;
  Revision revision;
  ChangeId change_id;
  // A tombstone, kept for ever: it stops an older version from returning.
  bool is_withdrawn = false;
  // As written by the operator; empty in a tombstone. Text rather than a
  // model, so that a node passes on what only a newer release understands.
  std::string yaml;

  friend bool operator==(const ConfigChange&, const ConfigChange&) = default;
};

// What leads from the configuration `since` to the configuration `to`: the
// last change of every contract that changed in between. With `since` 0 it is
// the whole configuration.
struct ConfigBatch {
  Revision since;
  Revision to;
  // In rising order of revision, one a workspace, all in (since, to].
  std::vector<ConfigChange> changes;

  friend bool operator==(const ConfigBatch&, const ConfigBatch&) = default;
};

struct LoggedChange {
  WorkspaceName workspace;
  Revision revision;
  ChangeId change_id;

  friend bool operator==(const LoggedChange&, const LoggedChange&) = default;
};

// The row that orders all changes.
struct RevisionRecord {
  Revision revision;
  // The newest changes in rising order, without a gap, up to `revision`: at
  // most kMaxLoggedChanges, so a node that was away for longer scans.
  std::vector<LoggedChange> recent;

  friend bool operator==(const RevisionRecord&,
                         const RevisionRecord&) = default;
};

inline constexpr std::size_t kMaxLoggedChanges = 64;

// Stands in place of a workspace for the operator's routing document. No
// workspace's name holds a '/'.
inline constexpr char kRouteDocument[] = "operator/document";

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_CONTRACTS_CONFIG_TYPES_H_
