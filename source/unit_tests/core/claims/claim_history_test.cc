// Random histories of several nodes, their callers and a faulty table. The
// results are checked against the recorded runs and against a reference.

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <ostream>
#include <string>
#include <tuple>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "unit_tests/core/claims/claim_cluster.h"

namespace bulrushmount {
namespace {

constexpr std::size_t kNodes = 3;
constexpr std::size_t kKeys = 2;

enum class Op : std::uint8_t {
  kSend,
  kResolve,
  kDeliver,
  kEndCall,
  kApplyLate,
  kAdvance,
  kCrash,
  kFreeze,
  kResume,
};

// In the order of `Op`.
constexpr std::array kOpNames = {"send",     "resolve",    "deliver",
                                 "end-call", "apply-late", "advance",
                                 "crash",    "freeze",     "resume"};

// Prints the name of the step when RapidCheck reports a failing history.
void showValue(Op op, std::ostream& out) {  // NOLINT(*-naming): found by ADL
  out << kOpNames.at(static_cast<std::size_t>(op));
}

// One step with two arguments; each is taken modulo the number of choices.
using Step = std::tuple<Op, std::uint8_t, std::uint8_t>;

rc::Gen<Op> AnyOp(bool with_crashes) {
  const std::size_t crashes = with_crashes ? 1 : 0;
  return rc::gen::weightedElement<Op>({{6, Op::kSend},
                                       {8, Op::kResolve},
                                       {8, Op::kDeliver},
                                       {5, Op::kEndCall},
                                       {2, Op::kApplyLate},
                                       {3, Op::kAdvance},
                                       {crashes, Op::kCrash},
                                       {1, Op::kFreeze},
                                       {2, Op::kResume}});
}

rc::Gen<std::vector<Step>> AnyHistory(bool with_crashes) {
  const auto step =
      rc::gen::tuple(AnyOp(with_crashes), rc::gen::arbitrary<std::uint8_t>(),
                     rc::gen::arbitrary<std::uint8_t>());
  return rc::gen::scale(3.0, rc::gen::container<std::vector<Step>>(step));
}

// More than half of the requests are applied and answered.
Fate FateOf(std::uint8_t number) {
  const std::size_t fate = number % (2 * kFateCount);
  return fate < kFateCount ? static_cast<Fate>(fate) : Fate::kAnswered;
}

Duration TimeOf(std::uint8_t number) {
  return std::chrono::milliseconds(1) * (number % 2 == 0 ? 60 : 10 * number);
}

std::string KeyOf(std::uint8_t number) {
  return "key-" + std::to_string(number % kKeys);
}

// Ends one of the granted calls that have not ended.
void EndAnyCall(ClaimCluster& cluster, std::size_t nth, Ending ending) {
  std::vector<std::size_t> granted;
  for (std::size_t sent = 0; sent < cluster.sends().size(); ++sent) {
    const bool is_granted = cluster.sends()[sent].result &&
                            cluster.StatusOf(sent) == ClaimStatus::kGranted;
    if (is_granted && !cluster.sends()[sent].is_ended)
      granted.push_back(sent);
  }
  if (!granted.empty())
    cluster.EndCall(granted.at(nth % granted.size()), ending);
}

void RunStep(ClaimCluster& cluster, const Step& step) {
  const auto [op, first, second] = step;
  switch (op) {
    case Op::kSend:
      cluster.Send(first % kNodes, KeyOf(second));
      return;
    case Op::kResolve:
      cluster.Resolve(first, FateOf(second));
      return;
    case Op::kDeliver:
      cluster.Deliver(first);
      return;
    case Op::kEndCall:
      EndAnyCall(cluster, first, static_cast<Ending>(second % 3));
      return;
    case Op::kApplyLate:
      cluster.ApplyLate(first);
      return;
    case Op::kAdvance:
      cluster.Advance(TimeOf(first));
      return;
    case Op::kCrash:
      cluster.Crash(first % kNodes);
      return;
    case Op::kFreeze:
      cluster.SetFrozen(first % kNodes, true);
      return;
    case Op::kResume:
      cluster.SetFrozen(first % kNodes, false);
      return;
  }
}

void CheckInvariants(const ClaimCluster& cluster) {
  for (const auto& [key, runs] : cluster.runs())
    RC_ASSERT(runs.size() <= 1U);
  for (const Sent& call : cluster.sends()) {
    RC_ASSERT(call.callbacks <= 1);
    if (!call.result || call.result->status != ClaimStatus::kFinished)
      continue;
    const auto runs = cluster.runs().find(call.key);
    RC_ASSERT(runs != cluster.runs().end());
    RC_ASSERT(call.result->answer == AnswerOfRun(runs->second.front()));
  }
}

void RecoverFromFaults(ClaimCluster& cluster) {
  for (std::size_t node = 0; node < kNodes; ++node)
    cluster.SetFrozen(node, false);
  do {
    cluster.DrainAll();
    cluster.EndAllGranted(Ending::kRelease);
    cluster.ApplyLate(0);
  } while (cluster.AdvanceToNextWakeup() || cluster.waiting() > 0);
}

// Guards against a request that runs twice because a claim was granted while
// another could still be dispatched. The steps are any mix of repeats at
// several nodes, lost replies, writes that are applied late, crashes, freezes
// and outages.
RC_GTEST_PROP(ClaimHistory, RunsAtMostOnce, ()) {
  ClaimCluster cluster(kNodes);
  for (const Step& step : *AnyHistory(true))
    RunStep(cluster, step);
  CheckInvariants(cluster);
  RecoverFromFaults(cluster);
  CheckInvariants(cluster);
}

// Guards against a caller that never gets a result, which happens if a step has
// no timer, in any history without a crash of its node.
void CheckAllAnswered(const ClaimCluster& cluster) {
  for (const Sent& call : cluster.sends()) {
    const bool reached_its_node = call.claim != ClaimId();
    RC_ASSERT(call.callbacks == (reached_its_node ? 1 : 0));
  }
}

// Guards against refusing a request that never ran for a day: the reply to the
// insert or to the release of a claim was lost, and the claimed row stayed in
// the table although its node was alive.
RC_GTEST_PROP(ClaimHistory, LeavesNoClaimBehindWithoutCrashes, ()) {
  ClaimCluster cluster(kNodes);
  for (const Step& step : *AnyHistory(false))
    RunStep(cluster, step);
  RecoverFromFaults(cluster);
  CheckInvariants(cluster);
  CheckAllAnswered(cluster);
  // A node whose circuit breaker is open sends a trial within this time.
  cluster.Advance(ClaimSettings().trial_interval);
  for (std::uint8_t key = 0; key < kKeys; ++key) {
    const bool has_run = cluster.runs().contains(KeyOf(key));
    const std::size_t sent = cluster.Send(key % kNodes, KeyOf(key));
    cluster.DrainAll();
    RC_ASSERT((cluster.StatusOf(sent) == ClaimStatus::kGranted) == !has_run);
    RC_ASSERT(cluster.StatusOf(sent) != ClaimStatus::kInProgress);
    RC_ASSERT(cluster.StatusOf(sent) != ClaimStatus::kStoreUnavailable);
  }
}

// The reference: one process with one map and no faults.
class ReferenceClaims {
 public:
  ClaimResult Send(const std::string& key, std::uint64_t fingerprint) {
    const auto found = m_entries.find(key);
    if (found == m_entries.end()) {
      m_entries[key] = {fingerprint, {ClaimStatus::kInProgress, {}}};
      return {ClaimStatus::kGranted, {}};
    }
    if (found->second.fingerprint != fingerprint)
      return {ClaimStatus::kKeyReused, {}};
    return found->second.result;
  }

  void End(const std::string& key, Ending ending, StoredAnswer answer) {
    if (ending == Ending::kRelease)
      m_entries.erase(key);
    if (ending == Ending::kFinish)
      m_entries[key].result = {ClaimStatus::kFinished, std::move(answer)};
    if (ending == Ending::kUnknown)
      m_entries[key].result = {ClaimStatus::kEarlierOutcomeUnknown, {}};
  }

 private:
  struct Entry {
    std::uint64_t fingerprint = 0;
    ClaimResult result;
  };

  std::map<std::string, Entry> m_entries;
};

// Calls at any node. Each granted call ends at once or never; replies may be
// lost.
RC_GTEST_PROP(ClaimHistory, AgreesWithTheReference, ()) {
  ClaimCluster cluster(kNodes);
  ReferenceClaims reference;
  const auto history = *rc::gen::container<
      std::vector<std::tuple<std::uint8_t, std::uint8_t, std::uint8_t, bool>>>(
      rc::gen::arbitrary<
          std::tuple<std::uint8_t, std::uint8_t, std::uint8_t, bool>>());
  for (const auto& [node, key, mode, is_answer_lost] : history) {
    const std::uint64_t fingerprint = mode % 8 == 0 ? 2 : 1;
    const auto ending = static_cast<Ending>(mode / 8 % 4);
    const std::size_t sent =
        cluster.Send(node % kNodes, KeyOf(key), fingerprint);
    if (is_answer_lost)
      cluster.Resolve(0, Fate::kAnswerLost);
    cluster.DrainAll();
    const ClaimResult expected = reference.Send(KeyOf(key), fingerprint);
    RC_ASSERT(cluster.StatusOf(sent) == expected.status);
    RC_ASSERT(cluster.sends().at(sent).result->answer == expected.answer);
    if (expected.status != ClaimStatus::kGranted)
      continue;
    cluster.EndCall(sent, ending);
    reference.End(KeyOf(key), ending, AnswerOfRun(sent));
    cluster.Advance(std::chrono::milliseconds(50));
    cluster.DrainAll();
  }
}

}  // namespace
}  // namespace bulrushmount
