// Part of `limits_codec.h`.

#include "core/limits/limits_codec.h"

#include <cmath>
#include <cstddef>

#include "core/common/datagram.h"
#include "core/limits/limits.pb.h"

namespace bulrushmount {

namespace {

// Upper bound of the encoded size of one message with its tag and length, in
// bytes. A fixed number of messages per datagram then needs no trial encoding.
constexpr std::size_t kMaxMessageSize = 96;
constexpr std::size_t kSenderSize = 9;
constexpr std::size_t kMessagesPerDatagram =
    (kMaxDatagramPayload - kSenderSize) / kMaxMessageSize;

bool IsValidAmount(double value) {
  return std::isfinite(value) && value >= 0;
}

void Encode(const AllotmentRequest& request, wire::AllotmentRequest& out) {
  out.set_workspace(request.workspace.value());
  out.set_session(request.session.value());
  out.set_number(request.number.value());
  out.set_used_units(request.used_units);
  out.set_target_units(static_cast<float>(request.target_units));
  out.set_demand(static_cast<float>(request.demand));
  out.set_in_flight(request.in_flight);
  out.set_in_flight_target(request.in_flight_target);
  out.set_in_flight_held(request.in_flight_held);
  out.set_applied(request.applied.value());
  out.set_is_release(request.is_release);
  out.set_rate_held(static_cast<float>(request.rate_held));
}

void Encode(const Allotment& allotment, wire::Allotment& out) {
  const auto term =
      std::chrono::floor<std::chrono::milliseconds>(allotment.term);
  const auto interval =
      std::chrono::floor<std::chrono::milliseconds>(allotment.interval);
  out.set_workspace(allotment.workspace.value());
  out.set_session(allotment.session.value());
  out.set_number(allotment.number.value());
  out.set_granted_units(allotment.granted_units);
  out.set_in_flight(allotment.in_flight);
  out.set_term_ms(static_cast<std::uint32_t>(term.count()));
  out.set_rate(static_cast<float>(allotment.rate));
  out.set_interval_ms(static_cast<std::uint32_t>(interval.count()));
  out.set_pace(static_cast<std::uint32_t>(allotment.pace));
}

std::optional<AllotmentRequest> Decode(const wire::AllotmentRequest& in) {
  if (!IsValidAmount(in.used_units()) || !IsValidAmount(in.target_units()) ||
      !IsValidAmount(in.demand()) || !IsValidAmount(in.rate_held()))
    return std::nullopt;
  AllotmentRequest request;
  request.workspace = WorkspaceKey(in.workspace());
  request.session = LendingSession(in.session());
  request.number = RequestNumber(in.number());
  request.used_units = in.used_units();
  request.target_units = in.target_units();
  request.demand = in.demand();
  request.in_flight = in.in_flight();
  request.in_flight_target = in.in_flight_target();
  request.in_flight_held = in.in_flight_held();
  request.applied = RequestNumber(in.applied());
  request.rate_held = in.rate_held();
  request.is_release = in.is_release();
  return request;
}

std::optional<Allotment> Decode(const wire::Allotment& in) {
  if (!IsValidAmount(in.granted_units()) || !IsValidAmount(in.rate()))
    return std::nullopt;
  Allotment allotment;
  allotment.workspace = WorkspaceKey(in.workspace());
  allotment.session = LendingSession(in.session());
  allotment.number = RequestNumber(in.number());
  allotment.granted_units = in.granted_units();
  allotment.in_flight = in.in_flight();
  allotment.rate = in.rate();
  allotment.term = std::chrono::milliseconds(in.term_ms());
  allotment.interval = std::chrono::milliseconds(in.interval_ms());
  if (in.pace() <= static_cast<std::uint32_t>(RequestPace::kConfirm))
    allotment.pace = static_cast<RequestPace>(in.pace());
  return allotment;
}

// Adds messages to the current datagram and starts a new one when it is full.
class DatagramPacker {
 public:
  explicit DatagramPacker(NodeId sender) {
    m_datagram.set_sender(sender.value());
  }

  wire::LimitsDatagram& Next() {
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
    m_datagram.clear_allotments();
    m_count = 0;
  }

  wire::LimitsDatagram m_datagram;
  std::size_t m_count = 0;
  std::vector<std::string> m_packed;
};

}  // namespace

std::vector<std::string> EncodeLimits(const LimitsDatagram& datagram) {
  DatagramPacker datagram_packer(datagram.sender);
  for (const AllotmentRequest& request : datagram.requests)
    Encode(request, *datagram_packer.Next().add_requests());
  for (const Allotment& allotment : datagram.allotments)
    Encode(allotment, *datagram_packer.Next().add_allotments());
  return datagram_packer.Finish();
}

std::optional<LimitsDatagram> DecodeLimits(std::string_view bytes) {
  wire::LimitsDatagram in;
  if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return std::nullopt;
  LimitsDatagram datagram;
  datagram.sender = NodeId(in.sender());
  for (const wire::AllotmentRequest& message : in.requests()) {
    const std::optional<AllotmentRequest> request = Decode(message);
    if (!request)
      return std::nullopt;
    datagram.requests.push_back(*request);
  }
  for (const wire::Allotment& message : in.allotments()) {
    const std::optional<Allotment> allotment = Decode(message);
    if (!allotment)
      return std::nullopt;
    datagram.allotments.push_back(*allotment);
  }
  return datagram;
}

}  // namespace bulrushmount
