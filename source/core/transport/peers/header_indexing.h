// Decides which header fields of a connection enter HPACK's dynamic table. A
// value that never repeats (an id, a date) would displace others that do, and
// each of those would then be sent in full again.

#ifndef BULRUSHMOUNT_CORE_TRANSPORT_PEERS_HEADER_INDEXING_H_
#define BULRUSHMOUNT_CORE_TRANSPORT_PEERS_HEADER_INDEXING_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "core/transport/http1_head.h"

namespace bulrushmount {

class HeaderIndexing {
 public:
  // Whether the field is sent with a reference to the table or enters it.
  // Called once for each field, in the order in which they are sent.
  bool ShouldIndex(const HeaderField& field);

 private:
  // The default size of the table; nodes do not change it.
  static constexpr std::uint64_t kTableBytes = 4096;
  // A value that fills more of the table is not worth its space.
  static constexpr std::size_t kMaxEntryBytes = 512;
  // How many values that were sent without entering the table are remembered.
  static constexpr std::size_t kRecentValues = 64;

  bool IsInTable(std::uint64_t hash) const;
  bool IsRecent(std::uint64_t hash) const;
  void Insert(std::uint64_t name, std::uint64_t value, std::size_t size);
  void DropEvicted();

  // Bytes that have entered the table so far. The oldest entry is evicted
  // first, so an entry is present until kTableBytes have entered after it
  // began.
  std::uint64_t m_inserted = 0;
  // By hash of a name or of a name and value: m_inserted before the entry.
  std::unordered_map<std::uint64_t, std::uint64_t> m_entries;
  std::array<std::uint64_t, kRecentValues> m_recent{};
  std::size_t m_next_recent = 0;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TRANSPORT_PEERS_HEADER_INDEXING_H_
