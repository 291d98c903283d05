// Part of `config_transfer.h`.

#include "core/contracts/config_transfer.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace bulrushmount {

namespace {

std::uint64_t DigestOf(const std::string& bytes) {
  return XXH64(bytes.data(), bytes.size(), 0);
}

}  // namespace

ConfigUploader::ConfigUploader(const ContractStore& store, DatagramPort& port)
    : m_store(store), m_port(port) {}

void ConfigUploader::OnRequest(TimePoint now,
                               const Endpoint& from,
                               const BatchRequest& request) {
  if (request.since.value() >= m_store.revision().value())
    return;
  Prepare(request.since);
  const bool continues_transfer =
      request.to == m_to && request.digest == m_digest;
  std::vector<std::uint32_t> requested;
  if (continues_transfer)
    requested = request.missing;
  if (requested.empty()) {
    for (std::uint32_t index = 0; index < ChunkCount(); ++index)
      requested.push_back(index);
  }
  if (requested.size() > kMaxChunksPerRequest)
    requested.resize(kMaxChunksPerRequest);
  for (const std::uint32_t index : requested) {
    if (index >= ChunkCount() || !TakeCredit(now))
      return;
    SendChunk(from, index);
    if (ChunkCount() > kMaxChunks)
      return;
  }
}

void ConfigUploader::Prepare(Revision since) {
  if (!m_bytes.empty() && m_since == since && m_to == m_store.revision())
    return;
  m_since = since;
  m_to = m_store.revision();
  m_bytes = EncodeBatch(m_store.ChangesSince(since));
  m_digest = DigestOf(m_bytes);
}

bool ConfigUploader::TakeCredit(TimePoint now) {
  if (m_credit_at.has_value())
    m_credit =
        std::min(kBurst, m_credit + ToSeconds(now - *m_credit_at) * kRate);
  m_credit_at = now;
  if (m_credit < 1)
    return false;
  m_credit -= 1;
  return true;
}

void ConfigUploader::SendChunk(const Endpoint& to, std::uint32_t index) {
  BatchChunk chunk{m_since, m_to, m_digest, index, ChunkCount(), "", false};
  if (chunk.count > kMaxChunks)
    chunk.is_too_large = true;
  else
    chunk.data = m_bytes.substr(index * kChunkBytes, kChunkBytes);
  m_port.Send(to, DatagramKind::kConfig, EncodeDatagram(chunk));
}

std::uint32_t ConfigUploader::ChunkCount() const {
  return static_cast<std::uint32_t>((m_bytes.size() + kChunkBytes - 1) /
                                    kChunkBytes);
}

BatchRequest ConfigDownload::MakeRequest() {
  BatchRequest request{m_since, m_to, m_digest, {}};
  for (std::uint32_t index = 0; index < m_chunks.size(); ++index) {
    if (!m_chunks[index].has_value() &&
        request.missing.size() < kMaxChunksPerRequest)
      request.missing.push_back(index);
  }
  m_awaited = m_chunks.empty() ? kMaxChunksPerRequest : request.missing.size();
  return request;
}

ChunkResult ConfigDownload::OnChunk(const BatchChunk& chunk) {
  if (chunk.since != m_since)
    return ChunkResult::kIgnored;
  if (chunk.is_too_large)
    return ChunkResult::kTooLarge;
  const bool is_same = chunk.to == m_to && chunk.digest == m_digest &&
                       chunk.count == m_chunks.size();
  // If the peer has moved on to a newer revision, the transfer restarts with
  // it. A late chunk of an older revision is dropped.
  if (!is_same && !Begin(chunk))
    return ChunkResult::kIgnored;
  if (chunk.index >= m_chunks.size() || m_chunks[chunk.index].has_value())
    return ChunkResult::kIgnored;
  m_chunks[chunk.index] = chunk.data;
  --m_missing;
  m_awaited -= m_awaited > 0 ? 1 : 0;
  if (m_missing == 0)
    return ChunkResult::kComplete;
  return m_awaited == 0 ? ChunkResult::kWindowComplete : ChunkResult::kAccepted;
}

bool ConfigDownload::Begin(const BatchChunk& chunk) {
  if (chunk.to.value() <= m_to.value() || chunk.count == 0 ||
      chunk.count > kMaxChunks)
    return false;
  m_to = chunk.to;
  m_digest = chunk.digest;
  m_chunks.assign(chunk.count, std::nullopt);
  m_missing = chunk.count;
  m_awaited = std::min<std::size_t>(chunk.count, kMaxChunksPerRequest);
  return true;
}

std::optional<ConfigBatch> ConfigDownload::Decode() const {
  std::string bytes;
  for (const std::optional<std::string>& chunk : m_chunks)
    bytes += chunk.value_or("");
  if (DigestOf(bytes) != m_digest)
    return std::nullopt;
  std::optional<ConfigBatch> batch = DecodeBatch(bytes);
  if (!batch.has_value() || batch->since != m_since || batch->to != m_to)
    return std::nullopt;
  return batch;
}

}  // namespace bulrushmount
