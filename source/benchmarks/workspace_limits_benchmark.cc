// Measures the limits of workspaces over the fleet at one node: the heap for
// mostly idle workspaces, and the processor time of an admission. Bytes on the
// network are covered by RankedLimiterTest.
//   workspace_limits_benchmark

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include <malloc.h>

#include <fmt/format.h>

#include "core/common/random.h"
#include "core/workspace_limits/fleet_limiter.h"
#include "core/workspace_limits/workspace_limits_codec.h"

namespace bulrushmount {
namespace {

using std::chrono_literals::operator""s;
using std::chrono_literals::operator""ms;

constexpr std::size_t kMembers = 87;
constexpr std::size_t kWorkspaces = 2000;
constexpr std::size_t kCalls = 200'000;

class CountedDatagrams : public DatagramPort {
 public:
  void Send(const Endpoint&, DatagramKind, std::string payload) override {
    bytes += payload.size();
  }
  std::size_t bytes = 0;
};

double HeapKilobytes() {
  return static_cast<double>(mallinfo2().uordblks) / 1000;
}

std::vector<NamedRate> MakeRates() {
  std::vector<NamedRate> rates;
  for (std::size_t index = 0; index < kWorkspaces; ++index) {
    rates.push_back(
        {WorkspaceName(fmt::format("workspace-{:05}", index)), {1e6, 1e6}});
  }
  return rates;
}

Peer MakePeer(std::size_t index) {
  return {NodeId(index + 1),
          {fmt::format("10.0.0.{}", index),
           static_cast<std::uint16_t>(7000 + index)}};
}

void Run() {
  TimePoint now{std::chrono::hours(1)};
  SeededRandomSource random(1);
  CountedDatagrams datagrams;
  const std::vector<NamedRate> rates = MakeRates();
  std::vector<FleetMember> members;
  for (std::size_t index = 0; index < kMembers; ++index)
    members.push_back({MakePeer(index)});

  const double before = HeapKilobytes();
  FleetLimiter limiter({5s, 0.1, 20}, MakePeer(0), random, datagrams, now);
  limiter.SetMembers(now, members, {});
  const double empty = HeapKilobytes();
  limiter.SetLimits(now, rates);
  const double idle = HeapKilobytes();
  fmt::print("heap of {} members: {:.0f} KB\n", kMembers, empty - before);
  fmt::print("heap of {} idle workspaces: {:.0f} KB\n", kWorkspaces,
             idle - empty);
  for (; now < TimePoint(std::chrono::hours(1)) + 40s; now += 500ms)
    limiter.OnPeerContact(now);
  std::uint64_t call = 0;
  for (const std::size_t active : {std::size_t{100}, kWorkspaces}) {
    for (std::size_t index = 0; index < active; ++index)
      limiter.Admit(now, CallId(++call), rates[index].workspace);
    now += 100ms;
    limiter.OnTimer(now);
    fmt::print("heap with {} of them active at the entry: {:.0f} KB\n", active,
               HeapKilobytes() - empty);
  }

  // Workspaces whose home is this node are admitted without a message.
  std::vector<Peer> peers;
  peers.reserve(members.size());
  for (const FleetMember& member : members)
    peers.push_back(member.peer);
  std::vector<WorkspaceName> own;
  for (const NamedRate& named : rates) {
    if (RendezvousHome(peers, KeyOf(named.workspace).value())->id == NodeId(1))
      own.push_back(named.workspace);
  }
  const auto start = std::chrono::steady_clock::now();
  for (std::size_t index = 0; index < kCalls; ++index)
    limiter.Admit(now, CallId(++call), own[index % own.size()]);
  const double own_ns =
      ToSeconds(std::chrono::steady_clock::now() - start) * 1e9 / kCalls;
  fmt::print("admission at the home: {:.0f} ns ({} workspaces)\n", own_ns,
             own.size());

  // Requests of entries, as the home of these workspaces.
  const auto requests_start = std::chrono::steady_clock::now();
  for (std::size_t index = 0; index < kCalls; ++index) {
    WorkspaceLimitsDatagram request;
    request.sender = NodeId(2 + index % (kMembers - 1));
    request.requests = {
        {KeyOf(own[index % own.size()]), UnitRequestNumber(index + 1), 1}};
    limiter.OnDatagram(now, MakePeer(1).gossip,
                       EncodeWorkspaceLimits(request).front());
  }
  const double request_ns =
      ToSeconds(std::chrono::steady_clock::now() - requests_start) * 1e9 /
      kCalls;
  fmt::print("request of an entry, with encoding it: {:.0f} ns\n", request_ns);
}

}  // namespace
}  // namespace bulrushmount

int main() {
  bulrushmount::Run();
}
