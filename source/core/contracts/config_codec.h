// Encodes and decodes the configuration: rows of the table and payloads of
// datagrams.

#ifndef BULRUSHMOUNT_CORE_CONTRACTS_CONFIG_CODEC_H_
#define BULRUSHMOUNT_CORE_CONTRACTS_CONFIG_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/common/time.h"
#include "core/contracts/config_types.h"
#include "core/evacuation/evacuation_types.h"

namespace bulrushmount {

// Row keys: `config/revision`, and `contract/` followed by the workspace's
// name.
inline constexpr char kRevisionRowKey[] = "config/revision";
inline constexpr char kContractRowPrefix[] = "contract/";
std::string ContractRowKey(const WorkspaceName& workspace);

std::string EncodeChange(const ConfigChange& change);
std::string EncodeRevisionRecord(const RevisionRecord& record);
std::string EncodeBatch(const ConfigBatch& batch);

// Empty if the bytes are not a valid encoding.
std::optional<ConfigChange> DecodeChange(std::string_view bytes);
std::optional<RevisionRecord> DecodeRevisionRecord(std::string_view bytes);
std::optional<ConfigBatch> DecodeBatch(std::string_view bytes);

// --- Datagrams --------------------------------------------------------------

struct BatchRequest {
  Revision since;
  // 0 at the start of a transfer.
  Revision to;
  std::uint64_t digest = 0;
  std::vector<std::uint32_t> missing;
};

struct BatchChunk {
  Revision since;
  Revision to;
  std::uint64_t digest = 0;
  std::uint32_t index = 0;
  std::uint32_t count = 0;
  std::string data;
  bool is_too_large = false;
};

struct RevisionPulse {
  Revision revision;
  std::optional<Duration> confirmed_age;
  // Empty while the sender does not know the evacuations.
  std::optional<EvacuationReport> evacuations{};
  // Set on the answer to a pulse whose sender lacked something. An answer is
  // not answered, so nodes that know different zones do not exchange pulses
  // endlessly.
  bool is_answer = false;
  // A random number that an answer repeats, so that the sender knows that the
  // answer is not older than this pulse; 0 if it needs none.
  std::uint64_t token = 0;
  // The token of the pulse that this one answers; 0 without one.
  std::uint64_t answered_token = 0;
};

using ConfigDatagram = std::variant<BatchRequest, BatchChunk, RevisionPulse>;

std::string EncodeDatagram(const ConfigDatagram& datagram);
std::optional<ConfigDatagram> DecodeDatagram(std::string_view bytes);

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_CONTRACTS_CONFIG_CODEC_H_
