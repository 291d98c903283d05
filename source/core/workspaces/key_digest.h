// Digests of the keys by which requests identify their workspace. The decision
// logic keeps and compares only digests, so that no key appears in a log line,
// a status page or a memory dump of its tables.

#ifndef BULRUSHMOUNT_CORE_WORKSPACES_KEY_DIGEST_H_
#define BULRUSHMOUNT_CORE_WORKSPACES_KEY_DIGEST_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

namespace bulrushmount {

// A 128-bit BLAKE2b hash of a key, keyed with a secret that is drawn at random
// once per process. Valid only within the process. Deliberately not formattable
// and not ordered.
class KeyDigest {
 public:
  static constexpr std::size_t kBytes = 16;

  // `key` as received, not empty.
  static KeyDigest Of(std::string_view key);

  // Takes the same time wherever the digests differ.
  friend bool operator==(const KeyDigest& left, const KeyDigest& right);

 private:
  friend struct std::hash<KeyDigest>;

  KeyDigest() = default;

  std::array<std::uint8_t, kBytes> m_bytes{};
};

}  // namespace bulrushmount

// The first bytes of the digest. They reveal nothing about the key without the
// secret of the process.
template <>
struct std::hash<bulrushmount::KeyDigest> {
  std::size_t operator()(const bulrushmount::KeyDigest& digest) const noexcept;
};

#endif  // BULRUSHMOUNT_CORE_WORKSPACES_KEY_DIGEST_H_
