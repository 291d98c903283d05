// Random histories of several nodes, their callers and a faulty table. The
// verdict is read from the ledger of runs, and from a naive version.

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

#include "unit_tests/core/claims/claim_world.h"

namespace bulrushmount {
namespace {

constexpr std::size_t kNodes = 3;
constexpr std::size_t kKeys = 2;

enum class Op : std::uint8_t {
  kSend,
  kSettle,
  kDeliver,
  kGoOn,
  kLand,
  kPass,
  kCrash,
  kFreeze,
  kResume,
};

// In the order of `Op`.
constexpr std::array kOpNames = {"send", "settle", "deliver", "go-on", "land",
                                 "pass", "crash",  "freeze",  "resume"};

// Names the command where RapidCheck prints a history that fails.
void showValue(Op op, std::ostream& out) {  // NOLINT(*-naming): found by ADL
  out << kOpNames.at(static_cast<std::size_t>(op));
}

// One command with two arguments, each taken modulo what is there.
using Step = std::tuple<Op, std::uint8_t, std::uint8_t>;

rc::Gen<Op> AnyOp(bool with_crashes) {
  const std::size_t crashes = with_crashes ? 1 : 0;
  return rc::gen::weightedElement<Op>({{6, Op::kSend},
                                       {8, Op::kSettle},
                                       {8, Op::kDeliver},
                                       {5, Op::kGoOn},
                                       {2, Op::kLand},
                                       {3, Op::kPass},
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

// Half of the requests fare well.
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

// Carries on one of the granted calls that have not ended.
void GoOnWithAny(ClaimWorld& world, std::size_t nth, Ending ending) {
  std::vector<std::size_t> granted;
  for (std::size_t sent = 0; sent < world.sends().size(); ++sent) {
    const bool is_granted = world.sends()[sent].result &&
                            world.StatusOf(sent) == ClaimStatus::kGranted;
    if (is_granted && !world.sends()[sent].is_ended)
      granted.push_back(sent);
  }
  if (!granted.empty())
    world.GoOn(granted.at(nth % granted.size()), ending);
}

void Do(ClaimWorld& world, const Step& step) {
  const auto [op, first, second] = step;
  switch (op) {
    case Op::kSend:
      world.Send(first % kNodes, KeyOf(second));
      return;
    case Op::kSettle:
      world.Settle(first, FateOf(second));
      return;
    case Op::kDeliver:
      world.Deliver(first);
      return;
    case Op::kGoOn:
      GoOnWithAny(world, first, static_cast<Ending>(second % 3));
      return;
    case Op::kLand:
      world.Land(first);
      return;
    case Op::kPass:
      world.Pass(TimeOf(first));
      return;
    case Op::kCrash:
      world.Crash(first % kNodes);
      return;
    case Op::kFreeze:
      world.SetFrozen(first % kNodes, true);
      return;
    case Op::kResume:
      world.SetFrozen(first % kNodes, false);
      return;
  }
}

void CheckVerdict(const ClaimWorld& world) {
  for (const auto& [key, runs] : world.runs())
    RC_ASSERT(runs.size() <= 1U);
  for (const Sent& call : world.sends()) {
    RC_ASSERT(call.callbacks <= 1);
    if (!call.result || call.result->status != ClaimStatus::kFinished)
      continue;
    const auto runs = world.runs().find(call.key);
    RC_ASSERT(runs != world.runs().end());
    RC_ASSERT(call.result->answer == AnswerOfRun(runs->second.front()));
  }
}

void Heal(ClaimWorld& world) {
  for (std::size_t node = 0; node < kNodes; ++node)
    world.SetFrozen(node, false);
  do {
    world.DrainAll();
    world.EndAllGranted(Ending::kRelease);
    world.Land(0);
  } while (world.PassToNextWakeup() || world.waiting() > 0);
}

// Symptom: a workspace is charged twice. Sequence: any mix of repeats at
// several nodes, lost answers, writes that land late, crashes, freezes and
// outages. Cause: a claim was granted while another could still be dispatched.
RC_GTEST_PROP(ClaimHistory, RunsAtMostOnce, ()) {
  ClaimWorld world(kNodes);
  for (const Step& step : *AnyHistory(true))
    Do(world, step);
  CheckVerdict(world);
  Heal(world);
  CheckVerdict(world);
}

// Symptom: a caller is left hanging. Sequence: any, without a crash of its
// node. Cause: a step without a timer behind it.
void CheckNoneHangs(const ClaimWorld& world) {
  for (const Sent& call : world.sends()) {
    const bool reached_its_node = call.claim != ClaimId();
    RC_ASSERT(call.callbacks == (reached_its_node ? 1 : 0));
  }
}

// Symptom: a booking that never ran is refused for a day. Sequence: a claim's
// insert or release lost its answer, and nobody put it right. Cause: a claim
// was left behind in the table while its node lived.
RC_GTEST_PROP(ClaimHistory, LeavesNoClaimBehindWithoutCrashes, ()) {
  ClaimWorld world(kNodes);
  for (const Step& step : *AnyHistory(false))
    Do(world, step);
  Heal(world);
  CheckVerdict(world);
  CheckNoneHangs(world);
  // A node that remembers failures tries again within this time.
  world.Pass(ClaimSettings().trial_interval);
  for (std::uint8_t key = 0; key < kKeys; ++key) {
    const bool has_run = world.runs().contains(KeyOf(key));
    const std::size_t sent = world.Send(key % kNodes, KeyOf(key));
    world.DrainAll();
    RC_ASSERT((world.StatusOf(sent) == ClaimStatus::kGranted) == !has_run);
    RC_ASSERT(world.StatusOf(sent) != ClaimStatus::kInProgress);
    RC_ASSERT(world.StatusOf(sent) != ClaimStatus::kStoreUnavailable);
  }
}

// One process, one map, no faults.
class NaiveClaims {
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

// Sends at any node, each granted call ended at once or never, lost answers.
RC_GTEST_PROP(ClaimHistory, AgreesWithTheNaiveVersion, ()) {
  ClaimWorld world(kNodes);
  NaiveClaims naive;
  const auto history = *rc::gen::container<
      std::vector<std::tuple<std::uint8_t, std::uint8_t, std::uint8_t, bool>>>(
      rc::gen::arbitrary<
          std::tuple<std::uint8_t, std::uint8_t, std::uint8_t, bool>>());
  for (const auto& [node, key, mode, is_answer_lost] : history) {
    const std::uint64_t fingerprint = mode % 8 == 0 ? 2 : 1;
    const auto ending = static_cast<Ending>(mode / 8 % 4);
    const std::size_t sent = world.Send(node % kNodes, KeyOf(key), fingerprint);
    if (is_answer_lost)
      world.Settle(0, Fate::kAnswerLost);
    world.DrainAll();
    const ClaimResult expected = naive.Send(KeyOf(key), fingerprint);
    RC_ASSERT(world.StatusOf(sent) == expected.status);
    RC_ASSERT(world.sends().at(sent).result->answer == expected.answer);
    if (expected.status != ClaimStatus::kGranted)
      continue;
    world.GoOn(sent, ending);
    naive.End(KeyOf(key), ending, AnswerOfRun(sent));
    world.Pass(std::chrono::milliseconds(50));
    world.DrainAll();
  }
}

}  // namespace
}  // namespace bulrushmount
