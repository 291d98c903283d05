// Tells the node beside a target that the target is there, and that it leaves.

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
  // Where the target listens.
  std::string ip;
  std::uint16_t port = 0;
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  std::uint64_t incarnation = 0;
  // Left out of the message if empty.
  std::string availability_zone;
};

class Announcer {
 public:
  Announcer(boost::asio::io_context& io,
            const Endpoint& node,
            Announcement announcement);

  // PUT /target now and once a second: the heartbeat.
  void Start();
  // Ends the heartbeat and sends DELETE /target; `done` is called when that is
  // answered or has failed.
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
