// Computes digests and pseudo-random bodies with xxHash64.

#include "stand_ins/request_digest.h"

#include <cstring>

#include <xxhash.h>

#include "core/common/hex.h"

namespace bulrushmount {
namespace {

constexpr std::uint64_t kBlockSize = sizeof(std::uint64_t);

}  // namespace

std::uint64_t RequestDigest(std::string_view method,
                            std::string_view path,
                            std::string_view body) {
  std::string text(method);
  text += '\n';
  text += path;
  text += '\n';
  text += body;
  return XXH64(text.data(), text.size(), 0);
}

std::string DigestText(std::uint64_t digest) {
  return ToHex(digest);
}

std::string StreamBytes(std::uint64_t digest,
                        std::uint64_t offset,
                        std::size_t length) {
  const std::uint64_t first_block = offset / kBlockSize;
  const std::size_t skipped = offset % kBlockSize;
  const std::size_t block_count =
      (skipped + length + kBlockSize - 1) / kBlockSize;
  std::string bytes(block_count * kBlockSize, '\0');
  for (std::size_t index = 0; index < block_count; ++index) {
    const std::uint64_t number = first_block + index;
    const std::uint64_t block = XXH64(&number, sizeof(number), digest);
    std::memcpy(bytes.data() + index * kBlockSize, &block, kBlockSize);
  }
  return bytes.substr(skipped, length);
}

}  // namespace bulrushmount
