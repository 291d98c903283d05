// Tests that the memory of nodes does not grow with the size of a body, however
// slowly it is read. scripts/benchmark-path --memory runs the same with 1 GB.

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <cstdlib>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include "process_tests/fleet_fixture.h"

namespace bulrushmount {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using std::chrono::milliseconds;

constexpr std::uint64_t kMegabyte = std::uint64_t{1} << 20;
constexpr std::uint64_t kDefaultMegabytes = 64;
constexpr std::int64_t kAllowedGrowthKb = 16384;

// The slow side reads one block and then pauses. 64 MB take a second or
// more, and a node that does not apply backpressure has to buffer all that the
// fast side sends during the pauses.
constexpr std::size_t kBlockBytes = 65536;
constexpr auto kPauseBetweenBlocks = std::chrono::microseconds(500);
// Long enough for 1 GB at the rate of the slow side.
constexpr char kDeadline[] = "300s";

constexpr auto kSamplePeriod = milliseconds(100);

std::uint64_t BodySize() {
  const char* const megabytes = std::getenv("BULRUSHMOUNT_FLAT_MEMORY_MB");
  if (megabytes == nullptr)
    return kDefaultMegabytes * kMegabyte;
  return std::strtoull(megabytes, nullptr, 10) * kMegabyte;
}

// Samples the resident memory of a process on a thread of its own.
class MemoryMonitor {
 public:
  explicit MemoryMonitor(pid_t pid)
      : m_pid(pid),
        m_first_kb(ResidentKb(pid)),
        m_thread([this] { Sample(); }) {}
  ~MemoryMonitor() { Stop(); }

  MemoryMonitor(const MemoryMonitor&) = delete;
  MemoryMonitor& operator=(const MemoryMonitor&) = delete;

  // Ends sampling and returns the growth from the first sample to the largest.
  std::int64_t Stop() {
    m_is_stopping = true;
    if (m_thread.joinable())
      m_thread.join();
    return m_max_kb - m_first_kb;
  }

  std::int64_t first_kb() const { return m_first_kb; }

 private:
  void Sample() {
    do {
      m_max_kb = std::max(m_max_kb, ResidentKb(m_pid));
      std::this_thread::sleep_for(kSamplePeriod);
    } while (!m_is_stopping);
    m_max_kb = std::max(m_max_kb, ResidentKb(m_pid));
  }

  pid_t m_pid;
  std::int64_t m_first_kb;
  std::int64_t m_max_kb = 0;
  std::atomic<bool> m_is_stopping = false;
  std::thread m_thread;
};

// Reads `size` bytes in blocks with pauses; returns the number of bytes read.
std::uint64_t ReadSlowly(tcp::socket& socket, std::uint64_t size) {
  std::vector<char> block(kBlockBytes);
  std::uint64_t received = 0;
  boost::system::error_code error;
  while (received < size && !error) {
    const std::size_t wanted =
        std::min<std::uint64_t>(kBlockBytes, size - received);
    received += asio::read(socket, asio::buffer(block.data(), wanted), error);
    std::this_thread::sleep_for(kPauseBetweenBlocks);
  }
  return received;
}

// Connects with a small kernel receive buffer, so that bytes that are not read
// yet are held in the processes under test and not in the kernel.
tcp::socket ConnectTo(asio::io_context& context, const Endpoint& server) {
  tcp::socket socket(context, tcp::v4());
  socket.set_option(asio::socket_base::receive_buffer_size(kBlockBytes));
  socket.connect({asio::ip::make_address(server.ip), server.port});
  return socket;
}

// A target that reads each request body slowly and then sends an empty answer.
class SlowTarget {
 public:
  // Listens on 127.0.0.1, the source address of this process's announcements.
  SlowTarget()
      : m_acceptor(m_context, {asio::ip::address_v4::loopback(), 0}),
        m_thread([this] { Serve(); }) {}

  ~SlowTarget() {
    m_is_stopping = true;
    boost::system::error_code ignored;
    {
      tcp::socket connection(m_context);
      connection.connect(m_acceptor.local_endpoint(), ignored);
    }
    m_thread.join();
  }

  SlowTarget(const SlowTarget&) = delete;
  SlowTarget& operator=(const SlowTarget&) = delete;

  Endpoint endpoint() const {
    return {"127.0.0.1", m_acceptor.local_endpoint().port()};
  }
  std::uint64_t received() const { return m_received; }

 private:
  void Serve() {
    while (!m_is_stopping) {
      tcp::socket socket = m_acceptor.accept();
      ServeOne(socket);
    }
  }

  void ServeOne(tcp::socket& socket) {
    boost::system::error_code error;
    asio::streambuf head;
    const std::size_t head_size =
        asio::read_until(socket, head, "\r\n\r\n", error);
    if (error)
      return;
    const std::uint64_t body_bytes_read = head.size() - head_size;
    m_received =
        body_bytes_read + ReadSlowly(socket, BodySize() - body_bytes_read);
    asio::write(socket,
                asio::buffer(std::string(
                    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")),
                error);
  }

  asio::io_context m_context;
  tcp::acceptor m_acceptor;
  std::atomic<bool> m_is_stopping = false;
  std::atomic<std::uint64_t> m_received = 0;
  std::thread m_thread;
};

// Instance 0 is the entry node and has no target; instance 1 is the owner node
// of the only target.
class FlatMemoryTest : public FleetTest {
 protected:
  // Sends the head of a request with this request line to the entry node, with
  // Host, workspace and `fields`.
  tcp::socket SendHead(const std::string& line, const std::string& fields) {
    tcp::socket socket = ConnectTo(m_context, at(0).caller);
    asio::write(socket, asio::buffer(fmt::format(
                            "{} HTTP/1.1\r\nHost: {}\r\n"
                            "Bulrushmount-Workspace: {}\r\n{}\r\n",
                            line, kTestService, kTestWorkspace, fields)));
    return socket;
  }

  void StartEntryAndOwner() {
    FleetOptions options;
    options.instances = 2;
    options.contract = TestContract(kDeadline);
    StartFleet(options);
    RemoveTarget(0);
  }

  // Replaces the owner node's target by `target`.
  void AnnounceToOwner(const Endpoint& target) {
    RemoveTarget(1);
    const std::string announcement = fmt::format(
        R"({{"service":"{}","port":{},"slots":12,"connections":220,)"
        R"("incarnation":9000000000000000000}})",
        kTestService, target.port);
    ASSERT_TRUE(WaitUntil([&] {
      return HttpCall(at(1).announce, "PUT", "/target", announcement).status ==
             204;
    }));
    ASSERT_TRUE(WaitUntil([&] {
      return HttpCall(at(0).operators, "GET", "/status")
                 .body.find("\"serving\":true") != std::string::npos;
    }));
  }

  static void ExpectFlat(const std::string& name, MemoryMonitor& monitor) {
    const std::int64_t growth = monitor.Stop();
    fmt::print("{0}_rss_before_kb={1}\n{0}_rss_growth_kb={2}\n", name,
               monitor.first_kb(), growth);
    EXPECT_LT(growth, kAllowedGrowthKb) << name;
  }

 private:
  asio::io_context m_context;
};

// Guards against a node whose memory grows during a download until the kernel
// kills it. The target sends as fast as it can and the caller reads slowly, and
// a stage between them keeps reading although the next stage has not accepted
// its bytes.
TEST_F(FlatMemoryTest, DownloadToASlowReader) {
  StartEntryAndOwner();
  MemoryMonitor entry_monitor(at(0).node->pid());
  MemoryMonitor owner_monitor(at(1).node->pid());

  tcp::socket caller = SendHead(fmt::format("GET /size/{}", BodySize()), "");
  asio::streambuf head;
  const std::size_t head_size = asio::read_until(caller, head, "\r\n\r\n");
  const std::uint64_t body_bytes_read = head.size() - head_size;
  EXPECT_EQ(body_bytes_read + ReadSlowly(caller, BodySize() - body_bytes_read),
            BodySize());

  ExpectFlat("download_entry", entry_monitor);
  ExpectFlat("download_owner", owner_monitor);
}

// Guards against the same growth during an upload: the caller sends as fast as
// it can and the target reads slowly.
TEST_F(FlatMemoryTest, UploadToASlowTarget) {
  StartEntryAndOwner();
  SlowTarget target;
  AnnounceToOwner(target.endpoint());
  MemoryMonitor entry_monitor(at(0).node->pid());
  MemoryMonitor owner_monitor(at(1).node->pid());

  tcp::socket caller = SendHead(
      "PUT /upload", fmt::format("Content-Length: {}\r\n", BodySize()));
  const std::string block(kBlockBytes, 'u');
  for (std::uint64_t sent = 0; sent < BodySize(); sent += kBlockBytes)
    asio::write(caller, asio::buffer(block));
  asio::streambuf answer;
  asio::read_until(caller, answer, "\r\n\r\n");
  const std::string text(asio::buffers_begin(answer.data()),
                         asio::buffers_end(answer.data()));
  EXPECT_TRUE(text.starts_with("HTTP/1.1 200")) << text;
  EXPECT_EQ(target.received(), BodySize());

  ExpectFlat("upload_entry", entry_monitor);
  ExpectFlat("upload_owner", owner_monitor);
}

}  // namespace
}  // namespace bulrushmount
