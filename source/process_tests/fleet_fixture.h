// A small fleet of real processes under test: a platform stand-in, nodes with a
// target beside each, a contract in force, and the ledgers that verdicts are
// read from.

#ifndef BULRUSHMOUNT_PROCESS_TESTS_FLEET_FIXTURE_H_
#define BULRUSHMOUNT_PROCESS_TESTS_FLEET_FIXTURE_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <boost/json/value.hpp>

#include "process_tests/process_fixture.h"

namespace bulrushmount {

inline constexpr char kTestWorkspace[] = "studio";
inline constexpr char kTestService[] = "session-desk";

// GET anything (`read`, repeatable) and POST /book (`book`, needs a key), POST
// /once (`once`, not repeatable, key optional) and PUT anything (`upload`).
std::string TestContract(const std::string& deadline = "2s");

struct FleetOptions {
  std::size_t instances = 3;
  std::vector<std::string> target_arguments{"--service-time-ms", "2"};
  std::string contract = TestContract();
  std::string suspicion_time = "2s";
  std::string measuring_term = "10s";
  std::string min_progress_time = "30s";
  bool is_warmed_up = true;
  // Of a kind that the contract has.
  std::string warm_up_path = "/warm-up";
  std::string log_level = "info";
};

// One line of a target's ledger.
struct LedgerLine {
  std::string event;
  std::string request_id;
  std::string path;
  std::string key;
  std::uint64_t incarnation = 0;
  std::int64_t at_ns = 0;
};

struct Instance {
  Endpoint caller;
  Endpoint stream;
  Endpoint gossip;
  Endpoint announce;
  Endpoint operators;
  Endpoint target;
  // Of its target, over all its restarts.
  std::string ledger;
  std::unique_ptr<ChildProcess> node;
  std::unique_ptr<ChildProcess> target_process;
};

struct CallRequest {
  std::string method = "GET";
  std::string path = "/read";
  std::string body;
  std::string key;
  std::string workspace = kTestWorkspace;
  std::optional<std::uint64_t> deadline_ms;
};

struct CallAnswer {
  HttpAnswer http;
  // Chosen by the fixture, and what the ledgers name the call by.
  std::string request_id;
  Duration took{};

  std::string outcome() const { return http.Header("Bulrushmount-Outcome"); }
  std::string reason() const { return http.Header("Bulrushmount-Reason"); }
  bool is_not_run() const { return outcome() == "not-run"; }
  bool is_answered() const { return outcome() == "answered"; }
};

// For a failed expectation.
std::string ToText(const CallAnswer& answer);

// How many answers had each outcome and reason, as in
// "answered:7 not-run/draining:1".
std::string Summary(const std::vector<CallAnswer>& answers);

class FleetTest : public ProcessTest {
 protected:
  // Returns when every node is ready, knows every target, has the contract and
  // is warmed up.
  void StartFleet(FleetOptions options = {});
  // A further instance, started; returns its index.
  std::size_t AddInstance();
  void StartNode(std::size_t index);
  void StartTargetOf(std::size_t index);

  Instance& at(std::size_t index) { return *m_instances.at(index); }
  std::size_t size() const { return m_instances.size(); }

  // That all nodes that run are ready, hold the newest revision written here,
  // and see exactly the targets that run beside a node as serving.
  void WaitForFleet();
  // Calls every entry until the workspace's limiter has lent each of them what
  // this test's calls need: else the first calls of a workspace are refused.
  void WarmUp();
  // The target beside the node withdraws, and is then ended: the node is an
  // entry only.
  void RemoveTarget(std::size_t index);
  boost::json::value Status(std::size_t index);
  std::int64_t Revision(std::size_t index);

  // Writes a contract through a node and remembers the revision.
  HttpAnswer WriteContract(std::size_t index,
                           const std::string& workspace,
                           const std::string& yaml,
                           const std::string& if_match = {});

  CallAnswer Call(std::size_t entry,
                  const CallRequest& request,
                  Duration limit = kTestHangTimeout);
  std::future<CallAnswer> CallLater(std::size_t entry,
                                    CallRequest request,
                                    Duration limit = kTestHangTimeout);

  std::vector<LedgerLine> Ledger(std::size_t index) const;
  std::vector<LedgerLine> Ledgers() const;
  // Started runs in all ledgers.
  std::size_t RunsOf(const std::string& request_id) const;
  std::size_t RunsOfKey(const std::string& key) const;
  // Waits until the ledgers have started one request of `path`, and returns
  // the instance that runs it.
  std::size_t WaitForRun(const std::string& path);

  // Kills all nodes, then all targets once they have nothing left to run: the
  // ledgers are final after it.
  void EndFleet();

  void SetPlatformFaults(const std::string& json);
  void KillPlatform() { m_platform_process->Kill(); }
  void RestartPlatform() { m_platform_process = StartPlatform(m_platform); }
  const Endpoint& platform() const { return m_platform; }

 private:
  std::string SettingsOf(const Instance& instance) const;
  bool IsSettled(std::size_t index);

  FleetOptions m_options;
  Endpoint m_platform;
  std::unique_ptr<ChildProcess> m_platform_process;
  std::vector<std::unique_ptr<Instance>> m_instances;
  std::int64_t m_revision = 0;
  std::atomic<std::uint64_t> m_calls = 0;
};

// Calls one after the other on each of several threads, until told to stop.
class BackgroundCalls {
 public:
  // Makes the `n`th call; runs on several threads at once.
  using CallFunction = std::function<CallAnswer(std::size_t n)>;

  BackgroundCalls(std::size_t threads, const CallFunction& call);
  ~BackgroundCalls() { Stop(); }

  BackgroundCalls(const BackgroundCalls&) = delete;
  BackgroundCalls& operator=(const BackgroundCalls&) = delete;

  // So many more calls than now have ended.
  bool WaitForMore(std::size_t calls);
  // Waits for the calls in progress, and returns all answers.
  const std::vector<CallAnswer>& Stop();

 private:
  void Run(const CallFunction& call);

  std::atomic<bool> m_is_stopping = false;
  std::atomic<std::size_t> m_begun = 0;
  std::atomic<std::size_t> m_ended = 0;
  std::mutex m_mutex;
  std::vector<CallAnswer> m_answers;
  std::vector<std::thread> m_threads;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_PROCESS_TESTS_FLEET_FIXTURE_H_
