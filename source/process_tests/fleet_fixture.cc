// Part of `fleet_fixture.h`.

#include "process_tests/fleet_fixture.h"

#include <algorithm>
#include <fstream>
#include <map>
#include <utility>

#include <fmt/format.h>
#include <boost/json/parse.hpp>

namespace bulrushmount {
namespace {

namespace json = boost::json;

constexpr unsigned kUnavailable = 503;

constexpr char kContract[] = R"(workspace: studio
services:
  - name: session-desk
    kinds:
      - {{name: read, method: GET, path: /, repeatable: true, deadline: {0},
         objective: {{fraction: 0.99, within: 50ms}}}}
      - {{name: upload, method: PUT, path: /, repeatable: true, deadline: {0},
         objective: {{fraction: 0.99, within: 50ms}}}}
      - {{name: book, method: POST, path: /book, repeatable: false,
         key: required, deadline: {0},
         objective: {{fraction: 0.99, within: 50ms}}}}
      - {{name: once, method: POST, path: /, repeatable: false, key: optional,
         deadline: {0}, objective: {{fraction: 0.99, within: 50ms}}}}
limits: {{units_per_second: 100000, burst_units: 100000, in_flight: 10000}}
share: 1
key_retention: 24h
)";

constexpr char kSettings[] = R"(availability_zone: quito-1
region: quito
log_level: {log_level}
addresses:
  caller: {caller}
  stream: {stream}
  gossip: {gossip}
  target: {target}
  operator: {operators}
platform: {{table: {platform}, objects: {platform}, timeout: 1s}}
transport: {{min_progress_time: {progress}, max_answer_time: {answer}}}
membership: {{heartbeat_period: 200ms, suspicion_time: {suspicion}}}
routing: {{warmup: 0s, measuring_term: {term}}}
)";

LedgerLine ParseLedgerLine(const std::string& text) {
  const json::value value = json::parse(text);
  const json::object& object = value.as_object();
  const auto string_at = [&object](const char* key) {
    return std::string(object.at(key).as_string());
  };
  return {string_at("event"),
          string_at("request_id"),
          string_at("path"),
          string_at("idempotency_key"),
          object.at("incarnation").to_number<std::uint64_t>(),
          object.at("at_ns").to_number<std::int64_t>()};
}

// Skips an incomplete last line: a target that is killed while it appends
// leaves no partial line, but the file may be read during a write.
std::vector<LedgerLine> ReadLedger(const std::string& path) {
  std::vector<LedgerLine> lines;
  const std::string text = ReadFile(path);
  std::size_t begin = 0;
  for (std::size_t end = text.find('\n'); end != std::string::npos;
       end = text.find('\n', begin)) {
    lines.push_back(ParseLedgerLine(text.substr(begin, end - begin)));
    begin = end + 1;
  }
  return lines;
}

}  // namespace

std::string TestContract(const std::string& deadline) {
  return fmt::format(kContract, deadline);
}

std::string ToText(const CallAnswer& answer) {
  return fmt::format("call {} status {} outcome '{}' reason '{}' after {} ms",
                     answer.request_id, answer.http.status, answer.outcome(),
                     answer.reason(), ToMilliseconds(answer.elapsed));
}

std::string Summary(const std::vector<CallAnswer>& answers) {
  std::map<std::string, std::size_t> counts;
  for (const CallAnswer& answer : answers) {
    const std::string reason = answer.reason();
    std::string name = answer.outcome().empty() ? "none" : answer.outcome();
    name += reason.empty() ? "" : "/" + reason;
    ++counts[name];
  }
  std::string text;
  for (const auto& [name, count] : counts) {
    text += fmt::format("{}:{} ", name, count);
  }
  return text;
}

void FleetTest::StartFleet(FleetOptions options) {
  m_options = std::move(options);
  m_platform = FreeEndpoint();
  m_platform_process = StartPlatform(m_platform);
  for (std::size_t i = 0; i < m_options.instances; ++i) {
    AddInstance();
  }
  // 503 means that nothing was written, for example because the platform has
  // not answered in time.
  unsigned status = kUnavailable;
  ASSERT_TRUE(WaitUntil([&] {
    status = WriteContract(0, kTestWorkspace, m_options.contract).status;
    return status != kUnavailable;
  })) << at(0).node->StdoutText();
  ASSERT_EQ(status, 200U) << at(0).node->StdoutText();
  WaitForFleet();
  if (m_options.is_warmed_up) {
    WarmUp();
  }
}

std::size_t FleetTest::AddInstance() {
  auto instance = std::make_unique<Instance>();
  for (Endpoint* const endpoint :
       {&instance->caller, &instance->stream, &instance->gossip,
        &instance->announce, &instance->operators, &instance->target}) {
    *endpoint = FreeEndpoint();
  }
  const std::size_t index = m_instances.size();
  instance->ledger = FilePath(fmt::format("ledger_{}", index));
  m_instances.push_back(std::move(instance));
  StartNode(index);
  StartTargetOf(index);
  return index;
}

void FleetTest::StartNode(std::size_t index) {
  Instance& instance = at(index);
  const std::string file = FilePath(fmt::format("node_{}.yaml", index));
  std::ofstream(file) << SettingsOf(instance);
  instance.node = Start(BULRUSHMOUNT_DAEMON, {"--settings", file});
  ASSERT_TRUE(WaitUntil([&] {
    return HttpCall(instance.operators, "GET", "/status").status == 200 ||
           !instance.node->IsRunning();
  }));
  ASSERT_TRUE(instance.node->IsRunning()) << instance.node->StdoutText();
}

void FleetTest::StartTargetOf(std::size_t index) {
  Instance& instance = at(index);
  std::vector<std::string> arguments{"--announce", ToString(instance.announce),
                                     "--ledger",   instance.ledger,
                                     "--service",  kTestService};
  arguments.insert(arguments.end(), m_options.target_arguments.begin(),
                   m_options.target_arguments.end());
  instance.target_process = StartTarget(instance.target, arguments);
}

std::string FleetTest::SettingsOf(const Instance& instance) const {
  return fmt::format(kSettings, fmt::arg("caller", ToString(instance.caller)),
                     fmt::arg("stream", ToString(instance.stream)),
                     fmt::arg("gossip", ToString(instance.gossip)),
                     fmt::arg("target", ToString(instance.announce)),
                     fmt::arg("operators", ToString(instance.operators)),
                     fmt::arg("platform", ToString(m_platform)),
                     fmt::arg("progress", m_options.min_progress_time),
                     fmt::arg("answer", m_options.max_answer_time),
                     fmt::arg("log_level", m_options.log_level),
                     fmt::arg("suspicion", m_options.suspicion_time),
                     fmt::arg("term", m_options.measuring_term));
}

json::value FleetTest::Status(std::size_t index) {
  const HttpAnswer answer = HttpCall(at(index).operators, "GET", "/status");
  return answer.status == 200 ? json::parse(answer.body) : json::value();
}

std::int64_t FleetTest::Revision(std::size_t index) {
  const json::value status = Status(index);
  return status.is_object() ? status.at("revision").to_number<std::int64_t>()
                            : -1;
}

bool FleetTest::HasConverged(std::size_t index) {
  const json::value status = Status(index);
  if (!status.is_object() || !status.at("ready").as_bool() ||
      status.at("revision").to_number<std::int64_t>() < m_revision) {
    return false;
  }
  const json::array& members = status.at("members").as_array();
  for (const auto& instance : m_instances) {
    const bool should_serve =
        instance->node->IsRunning() && instance->target_process->IsRunning();
    const bool serves =
        std::any_of(members.begin(), members.end(), [&](const auto& member) {
          const json::object& object = member.as_object();
          const json::value* const serving = object.if_contains("serving");
          return object.at("stream").as_string() ==
                     ToString(instance->stream) &&
                 object.at("state").as_string() == "alive" &&
                 serving != nullptr && serving->as_bool();
        });
    if (serves != should_serve) {
      return false;
    }
  }
  return true;
}

void FleetTest::WaitForFleet() {
  for (std::size_t i = 0; i < size(); ++i) {
    if (at(i).node->IsRunning()) {
      ASSERT_TRUE(WaitUntil([&] { return HasConverged(i); }))
          << "node " << i << ": "
          << HttpCall(at(i).operators, "GET", "/status").body;
    }
  }
}

void FleetTest::WarmUp() {
  constexpr std::size_t answered_in_a_row = 30;
  std::vector<std::future<void>> entries;
  for (std::size_t i = 0; i < size(); ++i) {
    entries.push_back(std::async(std::launch::async, [this, i] {
      std::size_t answered = 0;
      CallAnswer answer;
      CallRequest request;
      request.path = m_options.warm_up_path;
      EXPECT_TRUE(WaitUntil([&] {
        answer = Call(i, request);
        answered = answer.is_answered() ? answered + 1 : 0;
        return answered == answered_in_a_row;
      })) << ToText(answer);
    }));
  }
}

void FleetTest::RemoveTarget(std::size_t index) {
  Instance& instance = at(index);
  ASSERT_EQ(
      HttpCall(instance.target, "PUT", "/control", R"({"drain":true})").status,
      204U);
  ASSERT_TRUE(WaitUntil([&] {
    return instance.target_process->StdoutText().find("announce.withdrawn") !=
           std::string::npos;
  }));
  instance.target_process->Kill();
  WaitForFleet();
}

HttpAnswer FleetTest::WriteContract(std::size_t index,
                                    const std::string& workspace,
                                    const std::string& yaml,
                                    const std::string& if_match) {
  std::vector<HttpHeader> headers;
  if (!if_match.empty()) {
    headers.push_back({"If-Match", if_match});
  }
  HttpAnswer answer = HttpCall(at(index).operators, "PUT",
                               "/contracts/" + workspace, yaml, headers);
  if (answer.status == 200) {
    const json::value body = json::parse(answer.body);
    m_revision =
        std::max(m_revision, body.at("revision").to_number<std::int64_t>());
  }
  return answer;
}

CallAnswer FleetTest::Call(std::size_t entry,
                           const CallRequest& request,
                           Duration limit) {
  CallAnswer answer;
  answer.request_id = fmt::format("call-{}", ++m_calls);
  std::vector<HttpHeader> headers{
      {"Host", kTestService},
      {"Bulrushmount-Workspace", request.workspace},
      {"Bulrushmount-Request-Id", answer.request_id}};
  if (!request.key.empty()) {
    headers.push_back({"Idempotency-Key", request.key});
  }
  if (request.deadline_ms) {
    headers.push_back(
        {"Bulrushmount-Deadline-Ms", fmt::format("{}", *request.deadline_ms)});
  }
  const TimePoint begin = Now();
  answer.http = HttpCall(at(entry).caller, request.method, request.path,
                         request.body, headers, limit);
  answer.elapsed = Now() - begin;
  return answer;
}

std::future<CallAnswer> FleetTest::CallLater(std::size_t entry,
                                             CallRequest request,
                                             Duration limit) {
  return std::async(std::launch::async,
                    [this, entry, request = std::move(request), limit] {
                      return Call(entry, request, limit);
                    });
}

std::vector<LedgerLine> FleetTest::Ledger(std::size_t index) const {
  return ReadLedger(m_instances.at(index)->ledger);
}

std::vector<LedgerLine> FleetTest::Ledgers() const {
  std::vector<LedgerLine> lines;
  for (const auto& instance : m_instances) {
    const std::vector<LedgerLine> more = ReadLedger(instance->ledger);
    lines.insert(lines.end(), more.begin(), more.end());
  }
  return lines;
}

std::size_t FleetTest::RunsOf(const std::string& request_id) const {
  const std::vector<LedgerLine> lines = Ledgers();
  return std::count_if(lines.begin(), lines.end(), [&](const auto& line) {
    return line.event == "started" && line.request_id == request_id;
  });
}

std::size_t FleetTest::RunsOfKey(const std::string& key) const {
  const std::vector<LedgerLine> lines = Ledgers();
  return std::count_if(lines.begin(), lines.end(), [&](const auto& line) {
    return line.event == "started" && line.key == key;
  });
}

std::size_t FleetTest::WaitForRun(const std::string& path) {
  std::size_t found = size();
  EXPECT_TRUE(WaitUntil([&] {
    for (std::size_t i = 0; i < size() && found == size(); ++i) {
      const std::vector<LedgerLine> lines = Ledger(i);
      if (std::any_of(lines.begin(), lines.end(), [&](const auto& line) {
            return line.event == "started" && line.path == path;
          })) {
        found = i;
      }
    }
    return found < size();
  })) << "no target has started a request for "
      << path;
  return found;
}

void FleetTest::EndFleet() {
  for (const auto& instance : m_instances) {
    if (instance->node->IsRunning()) {
      instance->node->Kill();
    }
  }
  for (const auto& instance : m_instances) {
    instance->target_process->Thaw();
    // Two idle reports in a row: by the second one, the target has read the
    // requests that were in its socket buffers.
    int idle = 0;
    EXPECT_TRUE(WaitUntil([&] {
      const std::string load = HttpCall(instance->target, "GET", "/load").body;
      idle = load.find("\"in_flight\":0,") != std::string::npos ? idle + 1 : 0;
      return idle == 2 || !instance->target_process->IsRunning();
    }));
    if (instance->target_process->IsRunning()) {
      instance->target_process->Kill();
    }
  }
}

void FleetTest::SetPlatformFaults(const std::string& json) {
  ASSERT_EQ(HttpCall(m_platform, "PUT", "/control/faults", json).status, 204U);
}

BackgroundCalls::BackgroundCalls(std::size_t threads,
                                 const CallFunction& call) {
  for (std::size_t i = 0; i < threads; ++i) {
    m_threads.emplace_back([this, call] { Run(call); });
  }
}

void BackgroundCalls::Run(const CallFunction& call) {
  while (!m_is_stopping) {
    CallAnswer answer = call(m_started_calls++);
    const std::lock_guard lock(m_mutex);
    m_answers.push_back(std::move(answer));
    ++m_ended_calls;
  }
}

bool BackgroundCalls::WaitForMore(std::size_t calls) {
  const std::size_t goal = m_ended_calls + calls;
  return WaitUntil([&] { return m_ended_calls >= goal; });
}

const std::vector<CallAnswer>& BackgroundCalls::Stop() {
  m_is_stopping = true;
  for (std::thread& thread : m_threads) {
    thread.join();
  }
  m_threads.clear();
  return m_answers;
}

}  // namespace bulrushmount
