// Clients upload long bodies in chunks. One of seven servers rejects part of
// its requests before it has read the body. Checks that each body that a server
// runs is the one that the client sent.

#include <random>

#include "rig.h"

namespace {

using namespace rig;

// The dose of srv_grey with shed: a share of 0.15 of the servers, which fail
// 0.4 of their requests.
constexpr int kServers = 7;
constexpr double kRejectedShare = 0.4;
constexpr int kSlots = 9;
constexpr int kClients = 8;
constexpr auto kLength = 60s;
constexpr auto kWork = 20ms;

struct Sent {
  std::size_t size = 0;
  std::size_t hash = 0;
};

std::mutex g_mutex;
std::map<std::string, Sent> g_sent;
std::map<std::string, int> g_rejected;
int g_changed = 0;
int g_runs = 0;
int g_served = 0;
int g_retried_runs = 0;

std::string BodyOf(const std::string& id, std::size_t size) {
  std::string body;
  body.reserve(size + 32);
  for (int line = 0; body.size() < size; ++line)
    body += id + " line " + std::to_string(line) + "\n";
  body.resize(size);
  return body;
}

void OnRun(const std::string& server,
           const std::string& id,
           const std::string& body) {
  const std::lock_guard lock(g_mutex);
  ++g_runs;
  const bool was_rejected = g_rejected.contains(id);
  g_retried_runs += was_rejected ? 1 : 0;
  const auto sent = g_sent.find(id);
  const bool is_same = sent != g_sent.end() &&
                       sent->second.size == body.size() &&
                       sent->second.hash == std::hash<std::string>()(body);
  if (is_same)
    return;
  ++g_changed;
  std::size_t at = 0;
  const std::string whole =
      sent == g_sent.end() ? "" : BodyOf(id, sent->second.size);
  while (at < std::min(body.size(), whole.size()) && body[at] == whole[at])
    ++at;
  Log("BROKEN server ", server, " ran ", id, " with ", body.size(),
      " bytes; the client sent ", whole.size(), "; equal up to byte ", at,
      was_rejected ? "; rejected before by another server" : "");
}

bool RunUpload(Server& server,
               bool is_grey,
               Connection& connection,
               const Head& head) {
  thread_local std::mt19937 random(std::random_device{}());
  const std::string id = head.Get("X-Bulrushmount-Attempt-Id");
  if (is_grey && std::uniform_real_distribution<>()(random) < kRejectedShare) {
    // The server decides within some milliseconds and reads on meanwhile.
    const Time until =
        Clock::now() + std::chrono::microseconds(random() % 2000);
    while (Clock::now() < until &&
           connection.ReadMore(until) == Ended::kComplete) {
    }
    {
      const std::lock_guard lock(g_mutex);
      ++g_rejected[id];
    }
    Log("server ", server.id(), " rejects ", id);
    connection.Send(
        "HTTP/1.1 503 Service Unavailable\r\nX-Bulrushmount-Not-Executed: 1\r\n"
        "X-Bulrushmount-Attempt-Id: " +
        id + "\r\n" + server.LoadField() +
        "Connection: close\r\nContent-Length: 0\r\n\r\n");
    while (connection.ReadMore(Clock::now() + 1s) == Ended::kComplete) {
    }
    return false;
  }
  std::string body;
  if (connection.ReadBody(head, body, Clock::now() + 10s) != Ended::kComplete)
    return false;
  OnRun(server.id(), id, body);
  ++server.running;
  std::this_thread::sleep_for(kWork);
  --server.running;
  const std::string answer = "done " + id + "\n";
  return connection.Send("HTTP/1.1 200 OK\r\nX-Bulrushmount-Attempt-Id: " + id +
                         "\r\nX-Bulrushmount-Response-Signature: s." + id +
                         "\r\n" + server.LoadField() + "Content-Length: " +
                         std::to_string(answer.size()) + "\r\n\r\n" + answer);
}

void RunClient(const Endpoint& node, Time until) {
  std::mt19937 random(std::random_device{}());
  std::unique_ptr<Connection> connection;
  while (Clock::now() < until) {
    if (!connection)
      connection = std::make_unique<Connection>(Connect(node));
    const std::string id = NextId();
    const std::string body = BodyOf(id, 120'000 + random() % 180'000);
    {
      const std::lock_guard lock(g_mutex);
      g_sent[id] = {body.size(), std::hash<std::string>()(body)};
    }
    std::string bytes =
        "POST /ledger/entry HTTP/1.1\r\nHost: site.example\r\n"
        "X-Bulrushmount-Attempt-Id: " +
        id +
        "\r\nX-Bulrushmount-Timeout-Ms: 5000\r\n"
        "Transfer-Encoding: chunked\r\n\r\n";
    for (std::size_t at = 0; at < body.size(); at += 8192) {
      const std::string part = body.substr(at, 8192);
      char size[16];
      std::snprintf(size, sizeof(size), "%zx\r\n", part.size());
      bytes += size + part + "\r\n";
    }
    bytes += "0\r\n\r\n";
    connection->Send(bytes);
    const Answer answer = ReadAnswer(*connection, Clock::now() + 5s);
    Log("client ", id, " ", body.size(), " bytes: ", answer.status, " ",
        NameOf(answer.ended));
    if (answer.status == 200 && answer.ended == Ended::kComplete) {
      const std::lock_guard lock(g_mutex);
      ++g_served;
    }
    const bool is_kept = answer.ended == Ended::kComplete &&
                         answer.head.Get("Connection") != "close";
    if (!is_kept)
      connection.reset();
  }
}

}  // namespace

int main(int count, char** words) {
  const Options options = ReadOptions(count, words);
  Fleet fleet(options);
  fleet.Add("front");
  for (int server = 0; server < kServers; ++server)
    fleet.Add("ledger");
  fleet.store().WriteConfig(
      Config(7, {RouteRow("entry", "/ledger/", "unsafe", 5, "ledger", 2)},
             {"front", "ledger"}));
  fleet.StartNodes();
  std::vector<std::unique_ptr<Server>> servers;
  for (int index = 1; index <= kServers; ++index) {
    const Machine& machine = fleet.machines()[index];
    // In the zone of the machine where the clients are.
    const bool is_grey = index == 3 && options.has_trouble;
    servers.push_back(std::make_unique<Server>(
        machine, "i-" + machine.name, kSlots,
        [&servers, index, is_grey](Connection& connection, const Head& head) {
          return RunUpload(*servers[index - 1], is_grey, connection, head);
        }));
  }
  for (int index = 1; index <= kServers; ++index) {
    const Endpoint at = fleet.machines()[index].server;
    if (!servers[index - 1]->Start(at, at))
      Finish(kCouldNotRun, "a server could not listen");
  }
  if (!fleet.WaitReady(15s))
    Finish(kCouldNotRun, "the nodes were not ready in time");
  std::this_thread::sleep_for(2s);

  const Time until = Clock::now() + kLength;
  std::vector<std::thread> clients;
  for (int client = 0; client < kClients; ++client) {
    clients.emplace_back(RunClient, fleet.machines()[0].outbound, until);
  }
  for (std::thread& client : clients)
    client.join();
  const bool all_run = fleet.AllRun();
  std::ostringstream summary;
  summary << "uploads " << g_sent.size() << ", served " << g_served << ", runs "
          << g_runs << ", rejected " << g_rejected.size()
          << ", runs after a rejection " << g_retried_runs
          << ", runs with a changed body " << g_changed
          << (all_run ? "" : ", a node has ended by itself");
  if (g_served == 0)
    Finish(kCouldNotRun, summary.str());
  Finish(g_changed > 0 || !all_run ? kBroken : kHeld, summary.str());
}
