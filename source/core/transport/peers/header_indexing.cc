// Part of `header_indexing.h`.

#include "core/transport/peers/header_indexing.h"

#include <algorithm>
#include <functional>
#include <string_view>

namespace bulrushmount {

namespace {

// RFC 7541, section 4.1.
constexpr std::size_t kEntryOverhead = 32;

// An odd constant that makes the hash of a name and value depend on their
// order.
constexpr std::uint64_t kMix = 0x9e3779b97f4a7c15;

// nghttp2 never puts these into the table.
constexpr std::string_view kNeverIndexed[] = {
    ":path",     "age",      "authorization",     "content-length",
    "etag",      "location", "if-modified-since", "if-none-match",
    "set-cookie"};

std::uint64_t HashOf(std::string_view text) {
  return std::hash<std::string_view>()(text);
}

}  // namespace

bool HeaderIndexing::ShouldIndex(const HeaderField& field) {
  if (std::ranges::find(kNeverIndexed, field.name) != std::end(kNeverIndexed))
    return false;
  const std::size_t size =
      kEntryOverhead + field.name.size() + field.value.size();
  if (size > kMaxEntryBytes)
    return false;
  const std::uint64_t name = HashOf(field.name);
  const std::uint64_t value = name * kMix ^ HashOf(field.value);
  if (IsInTable(value))
    return true;
  // The first value of a name enters the table, since later values then refer
  // to the name; further ones enter it when they repeat.
  if (!IsInTable(name) || IsRecent(value)) {
    Insert(name, value, size);
    return true;
  }
  m_recent[m_next_recent] = value;
  m_next_recent = (m_next_recent + 1) % kRecentValues;
  return false;
}

bool HeaderIndexing::IsInTable(std::uint64_t hash) const {
  const auto found = m_entries.find(hash);
  return found != m_entries.end() && m_inserted - found->second <= kTableBytes;
}

bool HeaderIndexing::IsRecent(std::uint64_t hash) const {
  return std::ranges::find(m_recent, hash) != m_recent.end();
}

void HeaderIndexing::Insert(std::uint64_t name,
                            std::uint64_t value,
                            std::size_t size) {
  const std::uint64_t before = m_inserted;
  m_inserted += size;
  m_entries.insert_or_assign(name, before);
  m_entries.insert_or_assign(value, before);
  DropEvicted();
}

void HeaderIndexing::DropEvicted() {
  std::erase_if(m_entries, [this](const auto& entry) {
    return m_inserted - entry.second > kTableBytes;
  });
}

}  // namespace bulrushmount
