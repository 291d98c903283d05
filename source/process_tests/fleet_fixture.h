// A small fleet of real processes under test: a platform stand-in, and nodes
// with one target each. Targets record every run in a ledger file, and tests
// compare the answers that callers got with these ledgers.

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

// Returns a contract with four kinds of requests: `read` (any GET, repeatable),
// `upload` (any PUT, repeatable), `book` (POST /book, not repeatable, key
// required) and `once` (any other POST, not repeatable, key optional).
std::string TestContract(const std::string& deadline = "2s");

struct FleetOptions {
  std::size_t instances = 3;
  std::vector<std::string> target_arguments{"--service-time-ms", "2"};
  std::string contract = TestContract();
  std::string suspicion_time = "2s";
  std::string measuring_term = "10s";
  std::string min_progress_time = "30s";
  std::string max_answer_time = "1h";
  bool is_warmed_up = true;
  // The path of the warm-up calls; the contract must have a kind for it.
  std::string warm_up_path = "/warm-up";
  std::string log_level = "info";
};

// One event that a target recorded in its ledger.
struct LedgerLine {
  std::string event;
  std::string request_id;
  std::string path;
  std::string key;
  std::uint64_t incarnation = 0;
  std::int64_t at_ns = 0;
};

// The endpoints and processes of one instance: a node and its target.
struct Instance {
  Endpoint caller;
  Endpoint stream;
  Endpoint gossip;
  Endpoint announce;
  Endpoint operators;
  Endpoint target;
  // The path of the target's ledger, which all its restarts append to.
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
  // Chosen by the fixture; identifies the call in the ledgers.
  std::string request_id;
  Duration elapsed{};

  std::string outcome() const { return http.Header("Bulrushmount-Outcome"); }
  std::string reason() const { return http.Header("Bulrushmount-Reason"); }
  bool is_not_run() const { return outcome() == "not-run"; }
  bool is_answered() const { return outcome() == "answered"; }
};

// Describes the answer in the message of a failed expectation.
std::string ToText(const CallAnswer& answer);

// Returns the number of answers with each outcome and reason, for example
// "answered:7 not-run/draining:1 ".
std::string Summary(const std::vector<CallAnswer>& answers);

// Starts a fleet, sends calls through its nodes, and reads its ledgers.
class FleetTest : public ProcessTest {
 protected:
  // Returns when every node is ready, sees every target as serving, has the
  // contract in force and, unless the options say otherwise, is warmed up.
  void StartFleet(FleetOptions options = {});
  // Starts one more instance and returns its index.
  std::size_t AddInstance();
  void StartNode(std::size_t index);
  void StartTargetOf(std::size_t index);

  Instance& at(std::size_t index) { return *m_instances.at(index); }
  std::size_t size() const { return m_instances.size(); }

  // Waits until all running nodes are ready, hold the newest revision written
  // by this test, and see as serving exactly those targets that run together
  // with their node.
  void WaitForFleet();
  // Sends calls through every node until 30 in a row are answered. By then the
  // workspace limiter has lent each entry node enough credit for the test's
  // calls; without it the first calls of a workspace are refused.
  void WarmUp();
  // Drains the node's target until it has withdrawn, and then kills it. The
  // node goes on as an entry node without a target.
  void RemoveTarget(std::size_t index);
  boost::json::value Status(std::size_t index);
  std::int64_t Revision(std::size_t index);

  // Writes a contract through a node and records the new revision for
  // WaitForFleet.
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
  // Return the number of runs that all ledgers together record as started.
  std::size_t RunsOf(const std::string& request_id) const;
  std::size_t RunsOfKey(const std::string& key) const;
  // Waits until a ledger records a request for `path` as started, and returns
  // the index of that instance.
  std::size_t WaitForRun(const std::string& path);

  // Kills all nodes, and then each target once it has no requests in flight.
  // After that the ledgers do not change any more.
  void EndFleet();

  void SetPlatformFaults(const std::string& json);
  void KillPlatform() { m_platform_process->Kill(); }
  void RestartPlatform() { m_platform_process = StartPlatform(m_platform); }
  const Endpoint& platform() const { return m_platform; }

 private:
  std::string SettingsOf(const Instance& instance) const;
  bool HasConverged(std::size_t index);

  FleetOptions m_options;
  Endpoint m_platform;
  std::unique_ptr<ChildProcess> m_platform_process;
  std::vector<std::unique_ptr<Instance>> m_instances;
  std::int64_t m_revision = 0;
  std::atomic<std::uint64_t> m_calls = 0;
};

// Runs several threads, each of which makes one call after the other until
// Stop is called.
class BackgroundCalls {
 public:
  // Makes the `n`th call; is called from several threads at once.
  using CallFunction = std::function<CallAnswer(std::size_t n)>;

  BackgroundCalls(std::size_t threads, const CallFunction& call);
  ~BackgroundCalls() { Stop(); }

  BackgroundCalls(const BackgroundCalls&) = delete;
  BackgroundCalls& operator=(const BackgroundCalls&) = delete;

  // Waits until `calls` more calls have ended; returns false on timeout.
  bool WaitForMore(std::size_t calls);
  // Waits for the calls in progress and returns the answers of all calls.
  const std::vector<CallAnswer>& Stop();

 private:
  void Run(const CallFunction& call);

  std::atomic<bool> m_is_stopping = false;
  std::atomic<std::size_t> m_started_calls = 0;
  std::atomic<std::size_t> m_ended_calls = 0;
  std::mutex m_mutex;
  std::vector<CallAnswer> m_answers;
  std::vector<std::thread> m_threads;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_PROCESS_TESTS_FLEET_FIXTURE_H_
