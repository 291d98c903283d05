// Decides which workspace a request belongs to, by the digest of its key.

#ifndef BULRUSHMOUNT_CORE_WORKSPACES_WORKSPACE_TABLE_H_
#define BULRUSHMOUNT_CORE_WORKSPACES_WORKSPACE_TABLE_H_

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/routes/route_config.h"
#include "core/workspaces/key_digest.h"

namespace bulrushmount {

class WorkspaceTable {
 public:
  // Sets the workspaces of the document in effect; empty: no keys are required.
  // No key may occur in two workspaces.
  void Replace(const std::optional<std::vector<Workspace>>& workspaces);

  // Whether requests on routes that are not public must carry a key.
  bool is_in_use() const { return m_is_in_use; }

  // Returns the workspace of the key; null if there is none. Takes constant
  // time on average, independent of the number of keys. Valid until the next
  // Replace.
  const Workspace* Find(const KeyDigest& key) const;

 private:
  bool m_is_in_use = false;
  // Empty if m_is_in_use is false.
  std::vector<Workspace> m_workspaces;
  // Indices into m_workspaces.
  std::unordered_map<KeyDigest, std::size_t> m_by_key;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_WORKSPACES_WORKSPACE_TABLE_H_
