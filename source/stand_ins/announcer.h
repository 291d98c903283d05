// Announces a target to the node next to it, and withdraws it when it leaves.

#ifndef BULRUSHMOUNT_STAND_INS_ANNOUNCER_H_
#define BULRUSHMOUNT_STAND_INS_ANNOUNCER_H_

#include <cstdint>
#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/store/http_client.h"

namespace bulrushmount {

struct Announcement {
  std::string service;
  // Address on which the target listens.
  std::string ip;
  std::uint16_t port = 0;
  // Requests that the target runs at once.
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  std::uint64_t incarnation = 0;
  // Omitted from the message if empty.
  std::string availability_zone;
};

// Keeps one announcement alive at one node.
class Announcer {
 public:
  Announcer(boost::asio::io_context& io,
            const Endpoint& node,
            Announcement announcement);

  // Sends PUT /target now and then once a second as heartbeat.
  void Start();
  // Ends the heartbeat and sends DELETE /target. Calls `done` when that request
  // is answered or has failed.
  void Withdraw(std::function<void()> done);

 private:
  void Announce();
  HttpRequest MakeRequest(boost::beast::http::verb method) const;

  Announcement m_announcement;
  HttpClient m_client;
  boost::asio::steady_timer m_timer;
  bool m_is_withdrawn = false;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_STAND_INS_ANNOUNCER_H_
