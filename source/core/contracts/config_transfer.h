// Transfers a batch between nodes in datagrams: the uploading and the
// downloading side.

#ifndef BULRUSHMOUNT_CORE_CONTRACTS_CONFIG_TRANSFER_H_
#define BULRUSHMOUNT_CORE_CONTRACTS_CONFIG_TRANSFER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/common/datagram.h"
#include "core/common/time.h"
#include "core/contracts/config_codec.h"
#include "core/contracts/contract_store.h"

namespace bulrushmount {

inline constexpr std::size_t kChunkBytes = 1100;
// A batch with more chunks is read from the table instead.
inline constexpr std::uint32_t kMaxChunks = 512;
// Maximum number of chunks per request, so that the response fits in a socket's
// receive buffer.
inline constexpr std::uint32_t kMaxChunksPerRequest = 32;

// Answers requests from the store, within its own rate limit, so that a whole
// fleet that asks one node at once does not slow down its calls.
class ConfigUploader {
 public:
  // Chunks per second, and chunks in one burst.
  static constexpr double kRate = 200;
  static constexpr double kBurst = 400;

  // `store` and `port` must outlive the object.
  ConfigUploader(const ContractStore& store, DatagramPort& port);

  // Drops requests beyond the rate; the requester retries here or elsewhere.
  void OnRequest(TimePoint now,
                 const Endpoint& from,
                 const BatchRequest& request);

 private:
  void Prepare(Revision since);
  bool TakeCredit(TimePoint now);
  void SendChunk(const Endpoint& to, std::uint32_t index);
  std::uint32_t ChunkCount() const;

  const ContractStore& m_store;
  DatagramPort& m_port;
  // The encoded batch of the last request.
  Revision m_since;
  Revision m_to;
  std::string m_bytes;
  std::uint64_t m_digest = 0;
  // In [0, kBurst].
  double m_credit = kBurst;
  std::optional<TimePoint> m_credit_at;
};

enum class ChunkResult : std::uint8_t {
  // Not part of this transfer, or already received.
  kIgnored,
  kAccepted,
  // All chunks of the last request have arrived, but not the whole batch.
  kWindowComplete,
  kComplete,
  // The batch must be read from the table.
  kTooLarge,
};

// Assembles one batch from the chunks of one peer.
class ConfigDownload {
 public:
  explicit ConfigDownload(Revision since) : m_since(since) {}

  // Requests the first chunks that are missing.
  BatchRequest MakeRequest();
  ChunkResult OnChunk(const BatchChunk& chunk);
  // Call once complete. Empty if the bytes are not a valid batch.
  std::optional<ConfigBatch> Decode() const;

 private:
  bool Begin(const BatchChunk& chunk);

  const Revision m_since;
  // 0 until the first chunk has arrived.
  Revision m_to;
  std::uint64_t m_digest = 0;
  std::vector<std::optional<std::string>> m_chunks;
  std::size_t m_missing = 0;
  // Number of chunks of the last request that have not arrived yet.
  std::size_t m_awaited = kMaxChunksPerRequest;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_CONTRACTS_CONFIG_TRANSFER_H_
