// Part of `config_codec.h`.

#include "core/contracts/config_codec.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "core/contracts/config.pb.h"

namespace bulrushmount {

namespace {

// Longer than any process runs, and far below an overflow of Duration.
constexpr std::uint64_t kMaxAgeMs = 1'000'000'000'000;

template <typename Message>
std::optional<Message> Parse(std::string_view bytes) {
  Message message;
  if (bytes.size() > std::numeric_limits<int>::max() ||
      !message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return std::nullopt;
  return message;
}

proto::ConfigChange ToProto(const ConfigChange& change) {
  proto::ConfigChange message;
  message.set_workspace(change.workspace.value());
  message.set_revision(change.revision.value());
  message.set_change_id(change.change_id.value());
  message.set_is_withdrawn(change.is_withdrawn);
  message.set_yaml(change.yaml);
  return message;
}

ConfigChange FromProto(const proto::ConfigChange& message) {
  return ConfigChange{
      WorkspaceName(message.workspace()), Revision(message.revision()),
      ChangeId(message.change_id()), message.is_withdrawn(), message.yaml()};
}

proto::BatchRequest ToProto(const BatchRequest& request) {
  proto::BatchRequest message;
  message.set_since(request.since.value());
  message.set_to(request.to.value());
  message.set_digest(request.digest);
  message.mutable_missing()->Assign(request.missing.begin(),
                                    request.missing.end());
  return message;
}

BatchRequest FromProto(const proto::BatchRequest& message) {
  return BatchRequest{Revision(message.since()), Revision(message.to()),
                      message.digest(),
                      std::vector<std::uint32_t>(message.missing().begin(),
                                                 message.missing().end())};
}

proto::BatchChunk ToProto(const BatchChunk& chunk) {
  proto::BatchChunk message;
  message.set_since(chunk.since.value());
  message.set_to(chunk.to.value());
  message.set_digest(chunk.digest);
  message.set_index(chunk.index);
  message.set_count(chunk.count);
  message.set_data(chunk.data);
  message.set_is_too_large(chunk.is_too_large);
  return message;
}

BatchChunk FromProto(const proto::BatchChunk& message) {
  return BatchChunk{Revision(message.since()), Revision(message.to()),
                    message.digest(),          message.index(),
                    message.count(),           message.data(),
                    message.is_too_large()};
}

proto::Evacuations ToProto(const EvacuationReport& report) {
  proto::Evacuations message;
  message.set_epoch(report.epoch.value());
  for (const ZoneEvacuation& zone : report.zones) {
    proto::ZoneEvacuation* const added = message.add_zones();
    added->set_zone(zone.zone.value());
    added->set_is_evacuated(zone.is_evacuated);
    added->set_epoch(zone.position.epoch.value());
    added->set_version(zone.position.version.value());
  }
  return message;
}

EvacuationReport FromProto(const proto::Evacuations& message) {
  EvacuationReport report{TableEpoch(message.epoch()), {}};
  for (const proto::ZoneEvacuation& zone : message.zones()) {
    report.zones.push_back(
        {AvailabilityZone(zone.zone()),
         zone.is_evacuated(),
         {TableEpoch(zone.epoch()), RowVersion(zone.version())}});
  }
  return report;
}

proto::RevisionPulse ToProto(const RevisionPulse& pulse) {
  proto::RevisionPulse message;
  message.set_revision(pulse.revision.value());
  if (pulse.confirmed_age.has_value()) {
    const auto age =
        std::chrono::ceil<std::chrono::milliseconds>(*pulse.confirmed_age);
    message.set_confirmed_age_ms(static_cast<std::uint64_t>(age.count()));
  }
  message.set_is_answer(pulse.is_answer);
  message.set_token(pulse.token);
  message.set_answered_token(pulse.answered_token);
  if (pulse.evacuations)
    *message.mutable_evacuations() = ToProto(*pulse.evacuations);
  return message;
}

RevisionPulse FromProto(const proto::RevisionPulse& message) {
  RevisionPulse pulse{Revision(message.revision()), std::nullopt};
  if (message.has_confirmed_age_ms()) {
    pulse.confirmed_age = std::chrono::milliseconds(
        std::min(message.confirmed_age_ms(), kMaxAgeMs));
  }
  pulse.is_answer = message.is_answer();
  pulse.token = message.token();
  pulse.answered_token = message.answered_token();
  if (message.has_evacuations())
    pulse.evacuations = FromProto(message.evacuations());
  return pulse;
}

bool IsWellFormed(const ConfigBatch& batch) {
  Revision last = batch.since;
  for (const ConfigChange& change : batch.changes) {
    if (change.revision.value() <= last.value())
      return false;
    last = change.revision;
  }
  return last.value() <= batch.to.value();
}

}  // namespace

std::string ContractRowKey(const WorkspaceName& workspace) {
  return kContractRowPrefix + workspace.value();
}

std::string EncodeChange(const ConfigChange& change) {
  return ToProto(change).SerializeAsString();
}

std::string EncodeRevisionRecord(const RevisionRecord& record) {
  proto::RevisionRecord message;
  message.set_revision(record.revision.value());
  for (const LoggedChange& change : record.recent) {
    proto::LoggedChange* const logged = message.add_recent();
    logged->set_workspace(change.workspace.value());
    logged->set_revision(change.revision.value());
    logged->set_change_id(change.change_id.value());
  }
  return message.SerializeAsString();
}

std::string EncodeBatch(const ConfigBatch& batch) {
  proto::ConfigBatch message;
  message.set_since(batch.since.value());
  message.set_to(batch.to.value());
  for (const ConfigChange& change : batch.changes)
    *message.add_changes() = ToProto(change);
  return message.SerializeAsString();
}

std::optional<ConfigChange> DecodeChange(std::string_view bytes) {
  const auto message = Parse<proto::ConfigChange>(bytes);
  if (!message.has_value() || message->revision() == 0)
    return std::nullopt;
  return FromProto(*message);
}

std::optional<RevisionRecord> DecodeRevisionRecord(std::string_view bytes) {
  const auto message = Parse<proto::RevisionRecord>(bytes);
  if (!message.has_value())
    return std::nullopt;
  RevisionRecord record{Revision(message->revision()), {}};
  for (const proto::LoggedChange& logged : message->recent()) {
    record.recent.push_back(LoggedChange{WorkspaceName(logged.workspace()),
                                         Revision(logged.revision()),
                                         ChangeId(logged.change_id())});
  }
  return record;
}

std::optional<ConfigBatch> DecodeBatch(std::string_view bytes) {
  const auto message = Parse<proto::ConfigBatch>(bytes);
  if (!message.has_value())
    return std::nullopt;
  ConfigBatch batch{Revision(message->since()), Revision(message->to()), {}};
  for (const proto::ConfigChange& change : message->changes())
    batch.changes.push_back(FromProto(change));
  if (!IsWellFormed(batch))
    return std::nullopt;
  return batch;
}

std::string EncodeDatagram(const ConfigDatagram& datagram) {
  proto::ConfigDatagram message;
  if (const auto* const request = std::get_if<BatchRequest>(&datagram))
    *message.mutable_request() = ToProto(*request);
  else if (const auto* const chunk = std::get_if<BatchChunk>(&datagram))
    *message.mutable_chunk() = ToProto(*chunk);
  else if (const auto* const pulse = std::get_if<RevisionPulse>(&datagram))
    *message.mutable_pulse() = ToProto(*pulse);
  return message.SerializeAsString();
}

std::optional<ConfigDatagram> DecodeDatagram(std::string_view bytes) {
  const auto message = Parse<proto::ConfigDatagram>(bytes);
  if (!message.has_value())
    return std::nullopt;
  if (message->has_request())
    return FromProto(message->request());
  if (message->has_chunk())
    return FromProto(message->chunk());
  if (message->has_pulse())
    return FromProto(message->pulse());
  return std::nullopt;
}

}  // namespace bulrushmount
