// Downloads are being answered when the open connections between the nodes and
// their servers go silent; new connections work. Checks that each request that
// lasts longer than its route's timeout_s has an end half a second later.

#include "rig.h"

namespace {

using namespace rig;

constexpr int kMachines = 3;
constexpr int kSlots = 12;
constexpr int kClientsPerMachine = 6;
constexpr double kTimeoutS = 4;
constexpr auto kTimeout = 4s;
constexpr auto kClientWaits = 8s;
// The rule's bounds.
constexpr auto kLate = 500ms;
constexpr int kMinUnended = 8;
constexpr double kMaxShare = 0.25;
// A body of 180 KB, sent in 0.6 s.
constexpr int kParts = 30;
constexpr std::size_t kPartBytes = 6000;
constexpr auto kPartTime = 20ms;

// Passes bytes between a node and its server. Connections that are open when
// Silence() is called pass nothing more and stay open.
class Relay {
 public:
  Relay(Endpoint listen, const Endpoint& server) : m_server(server) {
    Serve(Listen(listen), [this](std::shared_ptr<Connection> node) {
      ServeConnection(std::move(node));
    });
  }

  void Silence() { ++m_silenced; }

 private:
  void ServeConnection(std::shared_ptr<Connection> node) {
    const int generation = m_silenced;
    const int fd = Connect(m_server);
    if (fd < 0)
      return;
    const auto server = std::make_shared<Connection>(fd);
    std::thread([this, node, server, generation] {
      Pass(node, server, generation);
    }).detach();
    Pass(server, node, generation);
  }

  void Pass(std::shared_ptr<Connection> from,
            std::shared_ptr<Connection> to,
            int generation) {
    char bytes[16384];
    for (;;) {
      pollfd wait{from->fd(), POLLIN, 0};
      const int ready = poll(&wait, 1, 5);
      while (generation != m_silenced)
        std::this_thread::sleep_for(1s);
      if (ready == 0)
        continue;
      const ssize_t size = recv(from->fd(), bytes, sizeof(bytes), 0);
      if (size <= 0) {
        shutdown(to->fd(), SHUT_WR);
        return;
      }
      if (!to->Send({bytes, static_cast<std::size_t>(size)}))
        return;
    }
  }

  Endpoint m_server;
  std::atomic<int> m_silenced = 0;
};

struct Request {
  std::string id;
  Time sent;
  std::optional<Time> head_at;
  // When the client had the whole answer or the end of its connection.
  std::optional<Time> ended_at;
  Ended ended = Ended::kTimeout;
  int status = 0;
  std::size_t bytes = 0;
};

std::mutex g_mutex;
std::vector<Request> g_requests;

bool RunDownload(Server& server, Connection& connection, const Head& head) {
  const std::string id = head.Get("X-Bulrushmount-Attempt-Id");
  Log("server ", server.id(), " runs ", id);
  ++server.running;
  std::this_thread::sleep_for(60ms);
  bool is_open =
      connection.Send("HTTP/1.1 200 OK\r\nX-Bulrushmount-Attempt-Id: " + id +
                      "\r\nX-Bulrushmount-Response-Signature: s." + id +
                      "\r\n" + server.LoadField() + "Content-Length: " +
                      std::to_string(kParts * kPartBytes) + "\r\n\r\n");
  const std::string part(kPartBytes, 'd');
  for (int at = 0; is_open && at < kParts; ++at) {
    std::this_thread::sleep_for(kPartTime);
    is_open = connection.Send(part);
  }
  --server.running;
  return is_open;
}

Request Download(const Endpoint& node) {
  Request request;
  request.id = NextId();
  const int fd = Connect(node);
  if (fd < 0)
    return request;
  Connection connection(fd);
  request.sent = Clock::now();
  const Time until = request.sent + kClientWaits;
  connection.Send(
      "GET /masters/book HTTP/1.1\r\nHost: site.example\r\n"
      "X-Bulrushmount-Attempt-Id: " +
      request.id + "\r\nX-Bulrushmount-Timeout-Ms: " +
      std::to_string(
          std::chrono::duration_cast<std::chrono::milliseconds>(kClientWaits)
              .count()) +
      "\r\n\r\n");
  Head head;
  request.ended = connection.ReadHead(head, until);
  std::string body;
  if (request.ended == Ended::kComplete) {
    request.head_at = Clock::now();
    request.status = std::atoi(head.Word(1).c_str());
    request.ended = connection.ReadBody(head, body, until);
  }
  request.bytes = body.size();
  if (request.ended != Ended::kTimeout)
    request.ended_at = Clock::now();
  return request;
}

void RunClient(const Endpoint& node,
               std::chrono::milliseconds delay,
               Time until) {
  std::this_thread::sleep_for(delay);
  while (Clock::now() < until) {
    const Request request = Download(node);
    const std::lock_guard lock(g_mutex);
    g_requests.push_back(request);
    Log("client ", request.id, " sent at ", Seconds(request.sent - kStart),
        ", head after ",
        request.head_at ? Seconds(*request.head_at - request.sent) : -1.0,
        ", status ", request.status, ", ", request.bytes,
        " bytes, end: ", NameOf(request.ended), " after ",
        Seconds(request.ended_at.value_or(Clock::now()) - request.sent));
  }
}

}  // namespace

int main(int count, char** words) {
  const Options options = ReadOptions(count, words);
  Fleet fleet(options);
  for (int index = 0; index < kMachines; ++index)
    fleet.Add("vault");
  fleet.store().WriteConfig(Config(
      7, {RouteRow("masters", "/masters/", "download", kTimeoutS, "vault", 2)},
      {"vault"}));
  fleet.StartNodes();
  std::vector<std::unique_ptr<Server>> servers;
  std::vector<std::unique_ptr<Relay>> relays;
  for (int index = 0; index < kMachines; ++index) {
    const Machine& machine = fleet.machines()[index];
    const Endpoint own{machine.ip, FreePort(machine.ip)};
    servers.push_back(std::make_unique<Server>(
        machine, "i-" + machine.name, kSlots,
        [&servers, index](Connection& connection, const Head& head) {
          return RunDownload(*servers[index], connection, head);
        }));
    relays.push_back(std::make_unique<Relay>(machine.server, own));
    if (!servers[index]->Start(own, machine.server))
      Finish(kCouldNotRun, "a server could not listen");
  }
  if (!fleet.WaitReady(15s))
    Finish(kCouldNotRun, "the nodes were not ready in time");
  std::this_thread::sleep_for(2s);

  const Time until = Clock::now() + 20s;
  std::vector<std::thread> clients;
  for (const Machine& machine : fleet.machines()) {
    for (int client = 0; client < kClientsPerMachine; ++client)
      clients.emplace_back(RunClient, machine.outbound,
                           std::chrono::milliseconds(37 * clients.size()),
                           until);
  }
  std::this_thread::sleep_for(8s);
  const Time silent_at = Clock::now();
  if (options.has_trouble) {
    Log("all open connections between nodes and servers go silent");
    for (const auto& relay : relays)
      relay->Silence();
  }
  for (std::thread& client : clients)
    client.join();

  int long_requests = 0;
  int unended = 0;
  int begun = 0;
  int served_after = 0;
  for (const Request& request : g_requests) {
    served_after += request.sent > silent_at && request.status == 200 &&
                    request.ended == Ended::kComplete;
    const bool is_long =
        !request.ended_at || *request.ended_at - request.sent > kTimeout;
    if (!is_long)
      continue;
    ++long_requests;
    if (!request.ended_at ||
        *request.ended_at - request.sent > kTimeout + kLate) {
      ++unended;
      begun += request.head_at ? 1 : 0;
      Log("BROKEN ", request.id, " has no end ", Seconds(kTimeout + kLate),
          " s after it was sent");
    }
  }
  const bool all_run = fleet.AllRun();
  std::ostringstream summary;
  summary << "requests " << g_requests.size() << ", longer than timeout_s "
          << long_requests << ", of these without an end 0.5 s later "
          << unended << " (their answer had begun: " << begun
          << "), served that were sent later than the silence " << served_after
          << (all_run ? "" : ", a node has ended by itself");
  if (g_requests.empty() || served_after == 0)
    Finish(kCouldNotRun, summary.str());
  const bool is_broken =
      unended >= kMinUnended && unended > kMaxShare * long_requests;
  Finish(is_broken || !all_run ? kBroken : kHeld, summary.str());
}
