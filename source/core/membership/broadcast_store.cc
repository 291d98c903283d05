// Part of `broadcast_store.h`.

#include "core/membership/broadcast_store.h"

#include <algorithm>
#include <limits>

#include <xxhash.h>

namespace bulrushmount {

namespace {

// The largest lifetime that the wire format's 32-bit milliseconds can hold.
constexpr Duration kMaxLifetime =
    std::chrono::milliseconds(std::numeric_limits<std::uint32_t>::max());

BroadcastHash HashOf(const BroadcastItem& item) {
  const std::uint64_t key_hash =
      XXH64(item.key.data(), item.key.size(), item.kind.value());
  return BroadcastHash(
      XXH64(item.payload.data(), item.payload.size(), key_hash));
}

}  // namespace

bool BroadcastStore::Add(TimePoint now,
                         const BroadcastItem& item,
                         BroadcastHash& hash) {
  const bool is_too_large =
      item.key.size() + item.payload.size() > kMaxBroadcastBytes;
  if (is_too_large || item.lifetime <= Duration::zero()) {
    return false;
  }
  hash = HashOf(item);
  if (m_entries.contains(hash)) {
    return false;
  }
  if (m_entries.size() >= kMaxItems) {
    EvictFirstToExpire();
  }
  const TimePoint expiry = now + std::min(item.lifetime, kMaxLifetime);
  m_entries.emplace(hash, Entry{item, expiry});
  return true;
}

const BroadcastItem* BroadcastStore::Find(BroadcastHash hash) const {
  const auto found = m_entries.find(hash);
  return found == m_entries.end() ? nullptr : &found->second.item;
}

Duration BroadcastStore::Remaining(TimePoint now, BroadcastHash hash) const {
  const auto found = m_entries.find(hash);
  if (found == m_entries.end()) {
    return Duration::zero();
  }
  return std::max(found->second.expiry - now, Duration::zero());
}

void BroadcastStore::Expire(TimePoint now) {
  std::erase_if(m_entries, [now](const auto& entry) {
    return entry.second.expiry <= now;
  });
}

std::vector<BroadcastHash> BroadcastStore::Hashes() const {
  std::vector<BroadcastHash> hashes;
  for (const auto& [hash, entry] : m_entries) {
    hashes.push_back(hash);
  }
  return hashes;
}

std::uint32_t BroadcastStore::Digest() const {
  std::uint64_t digest = 0;
  for (const BroadcastHash hash : Hashes()) {
    digest ^= hash.value();
  }
  return static_cast<std::uint32_t>(digest);
}

void BroadcastStore::EvictFirstToExpire() {
  const auto first =
      std::min_element(m_entries.begin(), m_entries.end(),
                       [](const auto& left, const auto& right) {
                         return left.second.expiry < right.second.expiry;
                       });
  m_entries.erase(first);
}

}  // namespace bulrushmount
