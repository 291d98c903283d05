// Implements `workspace_table.h`.

#include "core/workspaces/workspace_table.h"

namespace bulrushmount {

void WorkspaceTable::Replace(
    const std::optional<std::vector<Workspace>>& workspaces) {
  m_is_in_use = workspaces.has_value();
  m_workspaces = workspaces.value_or(std::vector<Workspace>());
  m_by_key.clear();
  for (std::size_t index = 0; index < m_workspaces.size(); ++index) {
    for (const KeyDigest& key : m_workspaces[index].keys)
      m_by_key.emplace(key, index);
  }
}

const Workspace* WorkspaceTable::Find(const KeyDigest& key) const {
  const auto found = m_by_key.find(key);
  return found == m_by_key.end() ? nullptr : &m_workspaces[found->second];
}

}  // namespace bulrushmount
