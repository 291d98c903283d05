// Part of `in_memory_object_store.h`.

#include "core/store/in_memory_object_store.h"

#include <utility>

namespace bulrushmount {

const std::string* InMemoryObjects::Find(const std::string& key) const {
  const auto found = m_objects.find(key);
  return found == m_objects.end() ? nullptr : &found->second;
}

void InMemoryObjects::Put(const std::string& key, std::string bytes) {
  m_objects[key] = std::move(bytes);
}

bool InMemoryObjects::PutIfAbsent(const std::string& key,
                                  const std::string& bytes) {
  return m_objects.try_emplace(key, bytes).second;
}

}  // namespace bulrushmount
