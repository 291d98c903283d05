// Digest that ties an answer to its request: targets include it in their
// answers and callers verify it.

#ifndef BULRUSHMOUNT_STAND_INS_REQUEST_DIGEST_H_
#define BULRUSHMOUNT_STAND_INS_REQUEST_DIGEST_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace bulrushmount {

// xxHash64 of method, path with query, and body.
std::uint64_t RequestDigest(std::string_view method,
                            std::string_view path,
                            std::string_view body);

// 16 lower-case hexadecimal digits.
std::string DigestText(std::uint64_t digest);

// Bytes [offset, offset + length) of the pseudo-random stream of `digest`. The
// body of an answer to /size/N is its first N bytes.
std::string StreamBytes(std::uint64_t digest,
                        std::uint64_t offset,
                        std::size_t length);

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_STAND_INS_REQUEST_DIGEST_H_
