// Sends the announcements as JSON over one connection to the node.

#include "stand_ins/announcer.h"

#include <utility>

#include <boost/beast/http/field.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "core/common/logging.h"

namespace bulrushmount {
namespace {

constexpr auto kHeartbeatInterval = std::chrono::seconds(1);

// Binds the connection to the target's IP address, because the node takes the
// source address of an announcement as the address of the target.
HttpClientSettings ClientSettings(const Endpoint& node,
                                  const std::string& target_ip) {
  HttpClientSettings settings;
  settings.server = node;
  settings.local_ip = target_ip;
  settings.max_connections = 1;
  return settings;
}

}  // namespace

Announcer::Announcer(boost::asio::io_context& io,
                     const Endpoint& node,
                     Announcement announcement)
    : m_announcement(std::move(announcement)),
      m_client(io, ClientSettings(node, m_announcement.ip)),
      m_timer(io) {}

void Announcer::Start() {
  m_is_withdrawn = false;
  Announce();
}

void Announcer::Announce() {
  m_client.Send(
      MakeRequest(boost::beast::http::verb::put), [](const HttpReply& reply) {
        if (reply.delivery == HttpDelivery::kAnswered && reply.status < 300) {
          return;
        }
        LogLine(LogLevel::kWarning, "announce.failed")
            .Add("status", reply.status)
            .Add("body", reply.body);
      });
  m_timer.expires_after(kHeartbeatInterval);
  m_timer.async_wait([this](const boost::system::error_code& error) {
    if (!error && !m_is_withdrawn) {
      Announce();
    }
  });
}

void Announcer::Withdraw(std::function<void()> done) {
  m_is_withdrawn = true;
  m_timer.cancel();
  m_client.Send(MakeRequest(boost::beast::http::verb::delete_),
                [done = std::move(done)](const HttpReply& reply) {
                  LogLine(LogLevel::kInfo, "announce.withdrawn")
                      .Add("status", reply.status);
                  done();
                });
}

HttpRequest Announcer::MakeRequest(boost::beast::http::verb method) const {
  HttpRequest request;
  request.version(11);
  request.method(method);
  request.target("/target");
  request.set(boost::beast::http::field::content_type, "application/json");
  boost::json::object body{{"service", m_announcement.service},
                           {"port", m_announcement.port},
                           {"slots", m_announcement.slots},
                           {"connections", m_announcement.connections},
                           {"incarnation", m_announcement.incarnation}};
  if (!m_announcement.availability_zone.empty()) {
    body["zone"] = m_announcement.availability_zone;
  }
  request.body() = boost::json::serialize(body);
  return request;
}

}  // namespace bulrushmount
