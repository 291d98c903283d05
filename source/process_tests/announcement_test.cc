// Tests how the target stand-in announces itself to its node and withdraws; an
// HTTP server takes the place of the node.

#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>
#include <boost/asio/io_context.hpp>

#include "process_tests/process_fixture.h"
#include "stand_ins/http_server.h"

namespace bulrushmount {
namespace {

// Serves a node's target address on its own thread and records all requests.
class RecordingNode {
 public:
  explicit RecordingNode(const Endpoint& listen)
      : m_server(m_io,
                 listen,
                 [this](const std::shared_ptr<ServerExchange>& exchange) {
                   Record(exchange->request());
                   exchange->Respond({204, {}, {}});
                 }),
        m_thread([this] { m_io.run(); }) {}

  ~RecordingNode() {
    m_io.stop();
    m_thread.join();
  }

  RecordingNode(const RecordingNode&) = delete;
  RecordingNode& operator=(const RecordingNode&) = delete;

  // Returns each recorded request with this method as "METHOD PATH BODY".
  std::vector<std::string> Received(const std::string& method) {
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> found;
    for (const std::string& line : m_lines) {
      if (line.starts_with(method)) {
        found.push_back(line);
      }
    }
    return found;
  }

 private:
  void Record(const ServerRequest& request) {
    const std::lock_guard lock(m_mutex);
    m_lines.push_back(std::string(request.method_string()) + " " +
                      std::string(request.target()) + " " + request.body());
  }

  std::mutex m_mutex;
  std::vector<std::string> m_lines;
  boost::asio::io_context m_io;
  HttpServer m_server;
  std::thread m_thread;
};

class AnnouncementTest : public ProcessTest {};

TEST_F(AnnouncementTest, HeartbeatThenWithdrawal) {
  const Endpoint node_endpoint = FreeEndpoint();
  RecordingNode node(node_endpoint);
  const Endpoint target = FreeEndpoint();
  const auto process =
      StartTarget(target, {"--announce", ToString(node_endpoint), "--service",
                           "master-vault", "--slots", "9", "--connections",
                           "220", "--incarnation", "5", "--zone", "az-1"});
  ASSERT_TRUE(WaitUntil([&] { return node.Received("PUT").size() >= 2; }));
  const std::string expected =
      R"(/target {"service":"master-vault","port":)" +
      std::to_string(target.port) +
      R"(,"slots":9,"connections":220,"incarnation":5,"zone":"az-1"})";
  EXPECT_EQ(node.Received("PUT").front(), "PUT " + expected);
  process->Terminate();
  EXPECT_EQ(process->WaitForExit().value_or(ExitStatus{}).code, 0);
  EXPECT_EQ(node.Received("DELETE"),
            std::vector<std::string>{"DELETE " + expected});
}

// Guards against a target that is set to drain but stays announced, because it
// withdraws only when its process ends.
TEST_F(AnnouncementTest, DrainWithdrawsAndKeepsServing) {
  const Endpoint node_endpoint = FreeEndpoint();
  RecordingNode node(node_endpoint);
  const Endpoint target = FreeEndpoint();
  const auto process =
      StartTarget(target, {"--announce", ToString(node_endpoint)});
  EXPECT_EQ(HttpCall(target, "PUT", "/control", R"({"drain":true})").status,
            204U);
  EXPECT_TRUE(WaitUntil([&] { return node.Received("DELETE").size() == 1; }));
  EXPECT_EQ(HttpCall(target, "GET", "/health").status, 503U);
  EXPECT_EQ(HttpCall(target, "GET", "/scripts").status, 200U);
}

}  // namespace
}  // namespace bulrushmount
