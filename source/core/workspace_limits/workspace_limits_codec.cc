// Part of `workspace_limits_codec.h`.

#include "core/workspace_limits/workspace_limits_codec.h"

#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <utility>

#include "core/common/datagram.h"
#include "core/workspace_limits/workspace_limits.pb.h"

namespace bulrushmount {

namespace {

// Upper bound of the encoded size of one message with its tag and length, in
// bytes. A fixed number of messages per datagram then needs no trial encoding.
constexpr std::size_t kMaxMessageSize = 56;
constexpr std::size_t kNodeIdsSize = 18;
constexpr std::size_t kMessagesPerDatagram =
    (kMaxDatagramPayload - kNodeIdsSize) / kMaxMessageSize;

std::uint32_t MillisecondsUp(Duration duration) {
  return static_cast<std::uint32_t>(
      std::chrono::ceil<std::chrono::milliseconds>(duration).count());
}

bool IsValidAmount(float value) {
  return std::isfinite(value) && value >= 0;
}

void Encode(const UnitRequest& request, wire::UnitRequestMessage& out) {
  out.set_workspace(request.workspace.value());
  out.set_number(request.number.value());
  out.set_wanted(request.wanted);
  out.set_ahead(request.ahead);
  out.set_owed(request.owed);
  out.set_returned(request.returned);
  out.set_returned_age_ms(MillisecondsUp(request.returned_age));
  out.set_is_for_reserve(request.is_for_reserve);
}

void Encode(const UnitResponse& response, wire::UnitResponseMessage& out) {
  out.set_workspace(response.workspace.value());
  out.set_number(response.number.value());
  out.set_granted(response.granted);
  out.set_next_unit_ms(MillisecondsUp(response.next_unit));
  out.set_retry_after_ms(MillisecondsUp(response.retry_after));
  out.set_is_from_reserve(response.is_from_reserve);
}

void Encode(const TakeoverRequest& request, wire::TakeoverRequestMessage& out) {
  out.set_workspace(request.workspace.value());
  out.set_number(request.number.value());
}

void Encode(const TakeoverResponse& response,
            wire::TakeoverResponseMessage& out) {
  out.set_workspace(response.workspace.value());
  out.set_number(response.number.value());
  out.set_is_handed_over(response.is_handed_over);
  out.set_level(static_cast<float>(response.level));
  out.set_scale(static_cast<float>(response.scale));
  out.set_known_members(response.known_members);
}

UnitRequest Decode(const wire::UnitRequestMessage& in) {
  UnitRequest request;
  request.workspace = WorkspaceKey(in.workspace());
  request.number = UnitRequestNumber(in.number());
  request.wanted = in.wanted();
  request.ahead = in.ahead();
  request.owed = in.owed();
  request.returned = in.returned();
  request.returned_age = std::chrono::milliseconds(in.returned_age_ms());
  request.is_for_reserve = in.is_for_reserve();
  return request;
}

UnitResponse Decode(const wire::UnitResponseMessage& in) {
  UnitResponse response;
  response.workspace = WorkspaceKey(in.workspace());
  response.number = UnitRequestNumber(in.number());
  response.granted = in.granted();
  response.next_unit = std::chrono::milliseconds(in.next_unit_ms());
  response.retry_after = std::chrono::milliseconds(in.retry_after_ms());
  response.is_from_reserve = in.is_from_reserve();
  return response;
}

TakeoverRequest Decode(const wire::TakeoverRequestMessage& in) {
  return {WorkspaceKey(in.workspace()), UnitRequestNumber(in.number())};
}

std::optional<TakeoverResponse> Decode(
    const wire::TakeoverResponseMessage& in) {
  if (!IsValidAmount(in.level()) || !IsValidAmount(in.scale()))
    return std::nullopt;
  TakeoverResponse response;
  response.workspace = WorkspaceKey(in.workspace());
  response.number = UnitRequestNumber(in.number());
  response.is_handed_over = in.is_handed_over();
  response.level = in.level();
  response.scale = in.scale();
  response.known_members = in.known_members();
  return response;
}

// Adds messages to the current datagram and starts a new one when it is full.
class DatagramPacker {
 public:
  DatagramPacker(NodeId sender, NodeId destination) {
    m_datagram.set_sender(sender.value());
    m_datagram.set_destination(destination.value());
  }

  wire::WorkspaceLimitsMessage& Next() {
    if (m_count == kMessagesPerDatagram)
      Flush();
    ++m_count;
    return m_datagram;
  }

  std::vector<std::string> Finish() {
    if (m_count > 0)
      Flush();
    return std::move(m_packed);
  }

 private:
  void Flush() {
    m_packed.push_back(m_datagram.SerializeAsString());
    m_datagram.clear_requests();
    m_datagram.clear_responses();
    m_datagram.clear_takeovers();
    m_datagram.clear_takeover_responses();
    m_count = 0;
  }

  wire::WorkspaceLimitsMessage m_datagram;
  std::size_t m_count = 0;
  std::vector<std::string> m_packed;
};

}  // namespace

std::vector<std::string> EncodeWorkspaceLimits(
    const WorkspaceLimitsDatagram& datagram) {
  DatagramPacker packer(datagram.sender, datagram.destination);
  for (const UnitRequest& request : datagram.requests)
    Encode(request, *packer.Next().add_requests());
  for (const UnitResponse& response : datagram.responses)
    Encode(response, *packer.Next().add_responses());
  for (const TakeoverRequest& request : datagram.takeovers)
    Encode(request, *packer.Next().add_takeovers());
  for (const TakeoverResponse& response : datagram.takeover_responses)
    Encode(response, *packer.Next().add_takeover_responses());
  return packer.Finish();
}

std::optional<WorkspaceLimitsDatagram> DecodeWorkspaceLimits(
    std::string_view bytes) {
  wire::WorkspaceLimitsMessage in;
  if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return std::nullopt;
  WorkspaceLimitsDatagram datagram;
  datagram.sender = NodeId(in.sender());
  datagram.destination = NodeId(in.destination());
  for (const wire::UnitRequestMessage& message : in.requests())
    datagram.requests.push_back(Decode(message));
  for (const wire::UnitResponseMessage& message : in.responses())
    datagram.responses.push_back(Decode(message));
  for (const wire::TakeoverRequestMessage& message : in.takeovers())
    datagram.takeovers.push_back(Decode(message));
  for (const wire::TakeoverResponseMessage& message : in.takeover_responses()) {
    const std::optional<TakeoverResponse> response = Decode(message);
    if (!response)
      return std::nullopt;
    datagram.takeover_responses.push_back(*response);
  }
  return datagram;
}

}  // namespace bulrushmount
