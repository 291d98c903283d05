// Stores small payloads of other modules that gossip carries to every member.

#ifndef BULRUSHMOUNT_CORE_MEMBERSHIP_BROADCAST_STORE_H_
#define BULRUSHMOUNT_CORE_MEMBERSHIP_BROADCAST_STORE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/common/strong_type.h"
#include "core/common/time.h"

namespace bulrushmount {

// Identifies the module that an item belongs to. The values are sent on the
// wire.
using BroadcastKind = StrongType<struct BroadcastKindTag, std::uint32_t>;

// Hash of an item's kind, key and payload.
using BroadcastHash = StrongType<struct BroadcastHashTag, std::uint64_t>;

struct BroadcastItem {
  BroadcastKind kind;
  std::string key;
  // Together with the key at most kMaxBroadcastBytes.
  std::string payload;
  // Remaining lifetime; an expired item is no longer sent.
  Duration lifetime{};
};

inline constexpr std::size_t kMaxBroadcastBytes = 256;

class BroadcastStore {
 public:
  // Beyond this number the item that expires first is evicted, so that a flood
  // of items cannot exhaust the memory.
  static constexpr std::size_t kMaxItems = 512;

  // False if the item is already known, too large or expired.
  bool Add(TimePoint now, const BroadcastItem& item, BroadcastHash& hash);

  // Null if unknown. The item's `lifetime` is the one it had when it was added;
  // see `Remaining` for the current one.
  const BroadcastItem* Find(BroadcastHash hash) const;
  Duration Remaining(TimePoint now, BroadcastHash hash) const;

  void Expire(TimePoint now);

  std::vector<BroadcastHash> Hashes() const;
  // Equal for two stores that hold the same items.
  std::uint32_t Digest() const;

 private:
  struct Entry {
    BroadcastItem item;
    TimePoint expiry;
  };

  void EvictFirstToExpire();

  std::map<BroadcastHash, Entry> m_entries;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_MEMBERSHIP_BROADCAST_STORE_H_
