// Real daemons keep their memory flat, however large a body and however slow
// its reader. scripts/benchmark-path --memory runs the same with 1 GB.

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <cstdlib>
#include <fstream>
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

// The slow side reads this much and then pauses: 64 MB take a second or more,
// and all that the fast side sends in a pause would have to be kept somewhere.
constexpr std::size_t kBlock = 65536;
constexpr auto kPause = std::chrono::microseconds(500);
// Long enough for 1 GB at that pace.
constexpr char kDeadline[] = "300s";

constexpr auto kSamplePeriod = milliseconds(100);

std::uint64_t BodySize() {
  const char* const megabytes = std::getenv("BULRUSHMOUNT_FLAT_MEMORY_MB");
  if (megabytes == nullptr)
    return kDefaultMegabytes * kMegabyte;
  return std::strtoull(megabytes, nullptr, 10) * kMegabyte;
}

std::int64_t ResidentKb(pid_t pid) {
  std::ifstream status(fmt::format("/proc/{}/status", pid));
  std::string word;
  std::int64_t kilobytes = 0;
  while (status >> word) {
    if (word == "VmRSS:")
      status >> kilobytes;
  }
  return kilobytes;
}

// Samples the resident memory of a process on a thread of its own.
class MemoryWatch {
 public:
  explicit MemoryWatch(pid_t pid)
      : m_pid(pid),
        m_first_kb(ResidentKb(pid)),
        m_thread([this] { Watch(); }) {}
  ~MemoryWatch() { Stop(); }

  MemoryWatch(const MemoryWatch&) = delete;
  MemoryWatch& operator=(const MemoryWatch&) = delete;

  // The most above the first sample.
  std::int64_t Stop() {
    m_is_over = true;
    if (m_thread.joinable())
      m_thread.join();
    return m_most_kb - m_first_kb;
  }

  std::int64_t first_kb() const { return m_first_kb; }

 private:
  void Watch() {
    do {
      m_most_kb = std::max(m_most_kb, ResidentKb(m_pid));
      std::this_thread::sleep_for(kSamplePeriod);
    } while (!m_is_over);
    m_most_kb = std::max(m_most_kb, ResidentKb(m_pid));
  }

  pid_t m_pid;
  std::int64_t m_first_kb;
  std::int64_t m_most_kb = 0;
  std::atomic<bool> m_is_over = false;
  std::thread m_thread;
};

// Reads `size` bytes in blocks with pauses; the bytes that came.
std::uint64_t ReadSlowly(tcp::socket& socket, std::uint64_t size) {
  std::vector<char> block(kBlock);
  std::uint64_t got = 0;
  boost::system::error_code error;
  while (got < size && !error) {
    const std::size_t wanted = std::min<std::uint64_t>(kBlock, size - got);
    got += asio::read(socket, asio::buffer(block.data(), wanted), error);
    std::this_thread::sleep_for(kPause);
  }
  return got;
}

// A socket whose kernel buffers are small, so that the bytes that are held up
// have to be in the processes, if they are anywhere.
tcp::socket ConnectTo(asio::io_context& context, const Endpoint& server) {
  tcp::socket socket(context, tcp::v4());
  socket.set_option(asio::socket_base::receive_buffer_size(kBlock));
  socket.connect({asio::ip::make_address(server.ip), server.port});
  return socket;
}

// A target that takes each body slowly and then answers with its length.
class SlowTarget {
 public:
  // On the address that announcements of this process come from.
  SlowTarget()
      : m_acceptor(m_context, {asio::ip::address_v4::loopback(), 0}),
        m_thread([this] { Serve(); }) {}

  ~SlowTarget() {
    m_is_over = true;
    boost::system::error_code ignored;
    {
      tcp::socket wake(m_context);
      wake.connect(m_acceptor.local_endpoint(), ignored);
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
    while (!m_is_over) {
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
    const std::uint64_t early = head.size() - head_size;
    m_received = early + ReadSlowly(socket, BodySize() - early);
    asio::write(socket,
                asio::buffer(std::string(
                    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")),
                error);
  }

  asio::io_context m_context;
  tcp::acceptor m_acceptor;
  std::atomic<bool> m_is_over = false;
  std::atomic<std::uint64_t> m_received = 0;
  std::thread m_thread;
};

// Instance 0 is the entry and has no target; the other one owns the only one.
class FlatMemoryTest : public FleetTest {
 protected:
  // Begins what `line` says through the entry; Host and workspace are set.
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

  // In the place of the target that the owner had.
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

  static void ExpectFlat(const std::string& name, MemoryWatch& watch) {
    const std::int64_t growth = watch.Stop();
    fmt::print("{0}_rss_before_kb={1}\n{0}_rss_growth_kb={2}\n", name,
               watch.first_kb(), growth);
    EXPECT_LT(growth, kAllowedGrowthKb) << name;
  }

 private:
  asio::io_context m_context;
};

// Symptom: a node's memory grows with a download until the machine ends it.
// Events: the target sends as fast as it can, the caller reads slowly.
// Cause: a stage between them reads on although the next has not taken its
// bytes.
TEST_F(FlatMemoryTest, DownloadToASlowReader) {
  StartEntryAndOwner();
  MemoryWatch entry_watch(at(0).node->pid());
  MemoryWatch owner_watch(at(1).node->pid());

  tcp::socket caller = SendHead(fmt::format("GET /size/{}", BodySize()), "");
  asio::streambuf head;
  const std::size_t head_size = asio::read_until(caller, head, "\r\n\r\n");
  const std::uint64_t early = head.size() - head_size;
  EXPECT_EQ(early + ReadSlowly(caller, BodySize() - early), BodySize());

  ExpectFlat("download_entry", entry_watch);
  ExpectFlat("download_owner", owner_watch);
}

// Symptom: as above, with an upload.
// Events: the caller sends as fast as it can, the target reads slowly.
// Cause: as above, towards the target.
TEST_F(FlatMemoryTest, UploadToASlowTarget) {
  StartEntryAndOwner();
  SlowTarget target;
  AnnounceToOwner(target.endpoint());
  MemoryWatch entry_watch(at(0).node->pid());
  MemoryWatch owner_watch(at(1).node->pid());

  tcp::socket caller = SendHead(
      "PUT /upload", fmt::format("Content-Length: {}\r\n", BodySize()));
  const std::string block(kBlock, 'u');
  for (std::uint64_t sent = 0; sent < BodySize(); sent += kBlock)
    asio::write(caller, asio::buffer(block));
  asio::streambuf answer;
  asio::read_until(caller, answer, "\r\n\r\n");
  const std::string text(asio::buffers_begin(answer.data()),
                         asio::buffers_end(answer.data()));
  EXPECT_TRUE(text.starts_with("HTTP/1.1 200")) << text;
  EXPECT_EQ(target.received(), BodySize());

  ExpectFlat("upload_entry", entry_watch);
  ExpectFlat("upload_owner", owner_watch);
}

}  // namespace
}  // namespace bulrushmount
