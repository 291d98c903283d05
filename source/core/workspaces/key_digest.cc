// Implements `key_digest.h`.

#include "core/workspaces/key_digest.h"

#include <cstdlib>
#include <cstring>

#include <sodium.h>

#include "core/common/logging.h"

namespace bulrushmount {

namespace {

static_assert(KeyDigest::kBytes >= crypto_generichash_BYTES_MIN);

using Secret = std::array<std::uint8_t, crypto_generichash_KEYBYTES>;

Secret DrawSecret() {
  // Fails only if the system has no source of random numbers. A predictable
  // secret would allow callers to construct keys with equal hashes.
  if (sodium_init() < 0) {
    LogLine(LogLevel::kError, "keys.no_random_source")
        .Add("library", "libsodium");
    std::abort();
  }
  Secret secret;
  randombytes_buf(secret.data(), secret.size());
  return secret;
}

}  // namespace

KeyDigest KeyDigest::Of(std::string_view key) {
  static const Secret secret = DrawSecret();
  KeyDigest digest;
  crypto_generichash(digest.m_bytes.data(), digest.m_bytes.size(),
                     reinterpret_cast<const unsigned char*>(key.data()),
                     key.size(), secret.data(), secret.size());
  return digest;
}

bool operator==(const KeyDigest& left, const KeyDigest& right) {
  return sodium_memcmp(left.m_bytes.data(), right.m_bytes.data(),
                       KeyDigest::kBytes) == 0;
}

}  // namespace bulrushmount

std::size_t std::hash<bulrushmount::KeyDigest>::operator()(
    const bulrushmount::KeyDigest& digest) const noexcept {
  std::size_t hash = 0;
  static_assert(sizeof(hash) <= bulrushmount::KeyDigest::kBytes);
  std::memcpy(&hash, digest.m_bytes.data(), sizeof(hash));
  return hash;
}
