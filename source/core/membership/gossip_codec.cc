// Part of `gossip_codec.h`.

#include "core/membership/gossip_codec.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <utility>

#include "core/common/datagram.h"

namespace bulrushmount::detail {

namespace {

// Tag and length of a nested message, all of which are shorter than 16 KiB.
constexpr std::size_t kNestedOverhead = 3;
// Room for fields such as `wants_record` and `has_more`, which may be set after
// the message was filled.
constexpr std::size_t kReserved = 16;
constexpr std::size_t kMaxNameBytes = 128;

// Leaves room for increments: a forged or corrupt incarnation near the end of
// the range would wrap to 0 at the next refutation, and the member would stay
// dead for ever.
constexpr std::uint64_t kMaxIncarnation = std::uint64_t{1} << 62;

bool IsIncarnation(std::uint64_t incarnation) {
  return incarnation > 0 && incarnation < kMaxIncarnation;
}

bool IsPort(std::uint32_t port) {
  return port > 0 && port <= std::numeric_limits<std::uint16_t>::max();
}

bool IsState(std::uint32_t state) {
  return state <= static_cast<std::uint32_t>(MemberState::kDead);
}

bool IsName(const gossip::Gossip& message, std::uint32_t index) {
  return index > 0 && index <= static_cast<std::uint32_t>(message.names_size());
}

bool IsAddress(const std::string& ip, std::uint32_t port) {
  return IsPort(port) &&
         ParseEndpoint(ToString(Endpoint{ip, static_cast<std::uint16_t>(port)}))
             .has_value();
}

bool IsValid(const gossip::Gossip& message, const gossip::Record& record) {
  const std::string& gossip_ip =
      record.gossip_ip().empty() ? record.ip() : record.gossip_ip();
  return record.id() != 0 && IsIncarnation(record.incarnation()) &&
         IsState(record.state()) &&
         IsAddress(record.ip(), record.stream_port()) &&
         IsAddress(gossip_ip, record.gossip_port()) &&
         IsName(message, record.zone()) && IsName(message, record.region()) &&
         (!record.has_target() || IsName(message, record.target().service()));
}

bool IsValid(const gossip::StateChange& change) {
  return change.id() != 0 && IsIncarnation(change.incarnation()) &&
         IsState(change.state());
}

bool IsValid(const gossip::Broadcast& broadcast) {
  return broadcast.key().size() + broadcast.payload().size() <=
         kMaxBroadcastBytes;
}

bool IsValid(const gossip::Gossip& message) {
  return message.version() != 0 && message.sender() != 0 &&
         IsIncarnation(message.sender_incarnation()) &&
         std::all_of(message.names().begin(), message.names().end(),
                     [](const std::string& name) {
                       return name.size() <= kMaxNameBytes;
                     }) &&
         std::all_of(message.records().begin(), message.records().end(),
                     [&](const gossip::Record& record) {
                       return IsValid(message, record);
                     }) &&
         std::all_of(message.state_changes().begin(),
                     message.state_changes().end(),
                     [](const gossip::StateChange& change) {
                       return IsValid(change);
                     }) &&
         std::all_of(message.broadcasts().begin(), message.broadcasts().end(),
                     [](const gossip::Broadcast& broadcast) {
                       return IsValid(broadcast);
                     });
}

}  // namespace

GossipWriter::GossipWriter(gossip::Gossip message)
    : m_message(std::move(message)),
      m_size(m_message.ByteSizeLong() + kReserved) {}

bool GossipWriter::Fits(std::size_t bytes) const {
  return m_size + bytes <= kMaxDatagramPayload;
}

std::uint32_t GossipWriter::IndexOf(const std::string& name) {
  const auto [found, is_new] = m_names.try_emplace(
      name, static_cast<std::uint32_t>(m_message.names_size() + 1));
  if (is_new) {
    m_message.add_names(name);
    m_size += name.size() + kNestedOverhead;
  }
  return found->second;
}

void GossipWriter::DropNames(int count) {
  while (m_message.names_size() > count) {
    const std::string& name = *m_message.names().rbegin();
    m_size -= name.size() + kNestedOverhead;
    m_names.erase(name);
    m_message.mutable_names()->RemoveLast();
  }
}

bool GossipWriter::Add(const Member& member) {
  const int names_before = m_message.names_size();
  gossip::Record& record = *m_message.add_records();
  record.set_id(member.id.value());
  record.set_ip(member.stream_endpoint.ip);
  record.set_stream_port(member.stream_endpoint.port);
  record.set_gossip_port(member.gossip_endpoint.port);
  if (member.gossip_endpoint.ip != member.stream_endpoint.ip) {
    record.set_gossip_ip(member.gossip_endpoint.ip);
  }
  record.set_zone(IndexOf(member.zone.value()));
  record.set_region(IndexOf(member.region.value()));
  record.set_incarnation(member.incarnation.value());
  record.set_state(static_cast<std::uint32_t>(member.state));
  record.set_revision(member.revision.value());
  if (member.target) {
    gossip::Target& target = *record.mutable_target();
    target.set_service(IndexOf(member.target->service.value()));
    target.set_incarnation(member.target->incarnation.value());
    target.set_slots(member.target->slots);
    target.set_is_serving(member.target->is_serving);
    target.set_is_warming(member.target->is_warming);
    target.set_process(member.target->process.value());
  }
  const std::size_t bytes = record.ByteSizeLong() + kNestedOverhead;
  if (!Fits(bytes)) {
    m_message.mutable_records()->RemoveLast();
    DropNames(names_before);
    return false;
  }
  m_size += bytes;
  return true;
}

bool GossipWriter::Add(const StateChange& change) {
  gossip::StateChange& out = *m_message.add_state_changes();
  out.set_id(change.id.value());
  out.set_incarnation(change.incarnation.value());
  out.set_state(static_cast<std::uint32_t>(change.state));
  const std::size_t bytes = out.ByteSizeLong() + kNestedOverhead;
  if (!Fits(bytes)) {
    m_message.mutable_state_changes()->RemoveLast();
    return false;
  }
  m_size += bytes;
  return true;
}

bool GossipWriter::Add(const BroadcastItem& item, Duration remaining) {
  gossip::Broadcast& out = *m_message.add_broadcasts();
  out.set_kind(item.kind.value());
  out.set_key(item.key);
  out.set_payload(item.payload);
  out.set_remaining_ms(static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(remaining)
          .count()));
  const std::size_t bytes = out.ByteSizeLong() + kNestedOverhead;
  if (!Fits(bytes)) {
    m_message.mutable_broadcasts()->RemoveLast();
    return false;
  }
  m_size += bytes;
  return true;
}

std::string GossipWriter::Take() {
  return m_message.SerializeAsString();
}

std::optional<gossip::Gossip> ParseGossip(std::string_view payload) {
  gossip::Gossip message;
  if (!message.ParseFromArray(payload.data(),
                              static_cast<int>(payload.size())) ||
      !IsValid(message)) {
    return std::nullopt;
  }
  return message;
}

Member ToMember(const gossip::Gossip& message, const gossip::Record& record) {
  const auto name = [&](std::uint32_t index) -> const std::string& {
    return message.names(static_cast<int>(index) - 1);
  };
  Member member;
  member.id = NodeId(record.id());
  member.stream_endpoint = {record.ip(),
                            static_cast<std::uint16_t>(record.stream_port())};
  member.gossip_endpoint = {
      record.gossip_ip().empty() ? record.ip() : record.gossip_ip(),
      static_cast<std::uint16_t>(record.gossip_port())};
  member.zone = AvailabilityZone(name(record.zone()));
  member.region = Region(name(record.region()));
  member.incarnation = Incarnation(record.incarnation());
  member.state = static_cast<MemberState>(record.state());
  member.revision = Revision(record.revision());
  if (record.has_target()) {
    const gossip::Target& target = record.target();
    member.target = TargetSummary{ServiceName(name(target.service())),
                                  Incarnation(target.incarnation()),
                                  target.slots(),
                                  target.is_serving(),
                                  target.is_warming(),
                                  TargetProcess(target.process())};
  }
  return member;
}

StateChange ToStateChange(const gossip::StateChange& change) {
  return {NodeId(change.id()), Incarnation(change.incarnation()),
          static_cast<MemberState>(change.state())};
}

BroadcastItem ToBroadcastItem(const gossip::Broadcast& broadcast) {
  return {BroadcastKind(broadcast.kind()), broadcast.key(), broadcast.payload(),
          std::chrono::milliseconds(broadcast.remaining_ms())};
}

}  // namespace bulrushmount::detail
