// A server leaves and its node acknowledges that. The node's process is killed
// and started again, and two heartbeats that the server sent before it left
// arrive late. Checks that no request reaches the server later than drain_s
// after the acknowledgement, by machines in touch.

#include "rig.h"

namespace {

using namespace rig;

constexpr int kMachines = 3;
constexpr int kSlots = 9;
constexpr int kClientsPerMachine = 3;
// The site's bounds.
constexpr auto kDrain = 2s;
constexpr auto kStableWindow = 3s;
// How long the server serves after the acknowledgement.
constexpr auto kServesOn = 8s;

std::mutex g_mutex;
std::vector<std::pair<Time, std::string>> g_arrivals;
int g_served = 0;

bool RunRead(Server& server, Connection& connection, const Head& head) {
  const std::string id = head.Get("X-Bulrushmount-Attempt-Id");
  if (server.is_leaving) {
    Log("leaving server ", server.id(), " runs ", id);
    const std::lock_guard lock(g_mutex);
    g_arrivals.emplace_back(Clock::now(), id);
  }
  ++server.running;
  std::this_thread::sleep_for(60ms);
  --server.running;
  const std::string page = "page " + id + "\n";
  return connection.Send("HTTP/1.1 200 OK\r\nX-Bulrushmount-Attempt-Id: " + id +
                         "\r\nX-Bulrushmount-Response-Signature: s." + id +
                         "\r\n" + server.LoadField() + "Content-Length: " +
                         std::to_string(page.size()) + "\r\n\r\n" + page);
}

void RunClient(const Machine& machine, Time until) {
  std::unique_ptr<Connection> connection;
  while (Clock::now() < until) {
    std::this_thread::sleep_for(30ms);
    if (!connection) {
      const int fd = Connect(machine.outbound);
      if (fd < 0)
        continue;
      connection = std::make_unique<Connection>(fd);
    }
    const std::string id = NextId();
    connection->Send(
        "GET /catalogue/page HTTP/1.1\r\nHost: site.example\r\n"
        "X-Bulrushmount-Attempt-Id: " +
        id + "\r\nX-Bulrushmount-Timeout-Ms: 4000\r\n\r\n");
    const Answer answer = ReadAnswer(*connection, Clock::now() + 4s);
    {
      const std::lock_guard lock(g_mutex);
      g_served += answer.status == 200;
    }
    Log("client on ", machine.name, " ", id, ": ", answer.status, " ",
        NameOf(answer.ended));
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
  for (int index = 0; index < kMachines; ++index)
    fleet.Add("hall");
  fleet.store().WriteConfig(Config(
      7, {RouteRow("pages", "/catalogue/", "safe", 2, "hall", 2)}, {"hall"}));
  fleet.StartNodes();
  std::vector<std::unique_ptr<Server>> servers;
  for (int index = 0; index < kMachines; ++index) {
    const Machine& machine = fleet.machines()[index];
    servers.push_back(std::make_unique<Server>(
        machine, "i-" + machine.name, kSlots,
        [&servers, index](Connection& connection, const Head& head) {
          return RunRead(*servers[index], connection, head);
        }));
  }
  for (int index = 0; index < kMachines; ++index) {
    const Endpoint at = fleet.machines()[index].server;
    if (!servers[index]->Start(at, at))
      Finish(kCouldNotRun, "a server could not listen");
  }
  if (!fleet.WaitReady(15s))
    Finish(kCouldNotRun, "the nodes were not ready in time");
  std::this_thread::sleep_for(2s);

  // Ends before the server would exit.
  const Time until = Clock::now() + 13s;
  std::vector<std::thread> clients;
  for (const Machine& machine : fleet.machines()) {
    for (int client = 0; client < kClientsPerMachine; ++client)
      clients.emplace_back(RunClient, machine, until);
  }
  std::this_thread::sleep_for(4s);

  Server& leaving = *servers[0];
  Machine& machine = fleet.machines()[0];
  leaving.HoldHeartbeats();
  std::this_thread::sleep_for(1200ms);
  const std::vector<std::string> late = leaving.TakeHeld();
  leaving.is_leaving = true;
  const int status = leaving.Call("DELETE", "");
  const Time acknowledged = Clock::now();
  Log("leaving of ", leaving.id(), " answered ", status);
  if (status != 200 || late.size() < 2)
    Finish(kCouldNotRun, "the leaving was not acknowledged");
  Time started = acknowledged;
  if (options.has_trouble) {
    std::this_thread::sleep_for(100ms);
    kill(machine.pid, SIGKILL);
    waitpid(machine.pid, nullptr, 0);
    Log("node of ", machine.name, " killed");
    std::this_thread::sleep_for(200ms);
    StartProcess(machine, options.program, options.folder);
    started = Clock::now();
    Log("node of ", machine.name, " started again");
    std::this_thread::sleep_until(acknowledged + 1500ms);
    for (const std::string& heartbeat : late) {
      Log("late heartbeat answered ", leaving.Call("PUT", heartbeat));
      std::this_thread::sleep_for(200ms);
    }
  }
  std::this_thread::sleep_until(acknowledged + kServesOn);
  for (std::thread& client : clients)
    client.join();

  const Time counted = std::max(acknowledged + kDrain, started + kStableWindow);
  int reached = 0;
  for (const auto& [at, id] : g_arrivals) {
    if (at <= counted)
      continue;
    ++reached;
    Log("BROKEN ", id, " reached the leaving server ",
        Seconds(at - acknowledged), " s after the acknowledgement");
  }
  const bool all_run = fleet.AllRun();
  std::ostringstream summary;
  summary << "served " << g_served << ", requests at the leaving server "
          << g_arrivals.size()
          << ", of these later than drain_s and by machines"
          << " in touch " << reached
          << (all_run ? "" : ", a node has ended by itself");
  if (g_served == 0)
    Finish(kCouldNotRun, summary.str());
  Finish(reached > 0 || !all_run ? kBroken : kHeld, summary.str());
}
