// Part of `quarantine_codec.h`.

#include "core/quarantine/quarantine_codec.h"

#include "core/quarantine/quarantine.pb.h"

namespace bulrushmount {

namespace {

void Encode(const SuspicionNews& news, wire::SuspicionNews& out) {
  out.set_fingerprint(news.fingerprint.value());
  out.set_generation(news.suspicion.generation.value());
  out.set_state(static_cast<std::uint32_t>(news.suspicion.state));
  const auto age = std::chrono::floor<std::chrono::milliseconds>(news.age);
  out.set_age_ms(static_cast<std::uint32_t>(age.count()));
}

// Returns nothing for a state that this release does not know.
std::optional<SuspicionNews> Decode(const wire::SuspicionNews& in) {
  const std::uint32_t state = in.state();
  if (state < static_cast<std::uint32_t>(SuspicionState::kSuspect) ||
      state > static_cast<std::uint32_t>(SuspicionState::kQuarantined))
    return std::nullopt;
  return SuspicionNews{
      Fingerprint(in.fingerprint()),
      {Generation(in.generation()), static_cast<SuspicionState>(state)},
      std::chrono::milliseconds(in.age_ms())};
}

PermitAsk Decode(const wire::PermitAsk& in) {
  PermitAsk ask;
  ask.fingerprint = Fingerprint(in.fingerprint());
  ask.permit = PermitNumber(in.permit());
  ask.ask = PermitAskNumber(in.ask());
  ask.is_renewal = in.is_renewal();
  ask.is_return = in.is_return();
  return ask;
}

PermitReply Decode(const wire::PermitReply& in) {
  PermitReply reply;
  reply.fingerprint = Fingerprint(in.fingerprint());
  reply.permit = PermitNumber(in.permit());
  reply.ask = PermitAskNumber(in.ask());
  reply.is_granted = in.is_granted();
  return reply;
}

}  // namespace

std::string EncodeQuarantine(const QuarantineDatagram& datagram) {
  wire::QuarantineDatagram out;
  out.set_sender(datagram.sender.value());
  if (datagram.ask) {
    wire::PermitAsk& ask = *out.mutable_ask();
    ask.set_fingerprint(datagram.ask->fingerprint.value());
    ask.set_permit(datagram.ask->permit.value());
    ask.set_ask(datagram.ask->ask.value());
    ask.set_is_renewal(datagram.ask->is_renewal);
    ask.set_is_return(datagram.ask->is_return);
  }
  if (datagram.reply) {
    wire::PermitReply& reply = *out.mutable_reply();
    reply.set_fingerprint(datagram.reply->fingerprint.value());
    reply.set_permit(datagram.reply->permit.value());
    reply.set_ask(datagram.reply->ask.value());
    reply.set_is_granted(datagram.reply->is_granted);
  }
  if (datagram.news)
    Encode(*datagram.news, *out.mutable_news());
  out.set_wants_known(datagram.wants_known);
  for (const SuspicionNews& news : datagram.known)
    Encode(news, *out.add_known());
  return out.SerializeAsString();
}

std::string EncodeNews(const SuspicionNews& news) {
  wire::SuspicionNews out;
  Encode(news, out);
  return out.SerializeAsString();
}

std::optional<QuarantineDatagram> DecodeQuarantine(std::string_view bytes) {
  wire::QuarantineDatagram in;
  if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return std::nullopt;
  QuarantineDatagram datagram;
  datagram.sender = NodeId(in.sender());
  if (in.has_ask())
    datagram.ask = Decode(in.ask());
  if (in.has_reply())
    datagram.reply = Decode(in.reply());
  if (in.has_news())
    datagram.news = Decode(in.news());
  datagram.wants_known = in.wants_known();
  for (const wire::SuspicionNews& message : in.known()) {
    const std::optional<SuspicionNews> news = Decode(message);
    if (news)
      datagram.known.push_back(*news);
  }
  return datagram;
}

std::optional<SuspicionNews> DecodeNews(std::string_view bytes) {
  wire::SuspicionNews in;
  if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return std::nullopt;
  return Decode(in);
}

}  // namespace bulrushmount
