// Differential test of the quarantine against a reference with one process and
// one map, in which a poison request crashes one target for each copy that was
// in flight at its first crash, and one more. Lost messages may add crashes
// only up to the bound.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "unit_tests/core/quarantine/quarantine_fleet.h"

namespace bulrushmount {
namespace {

constexpr std::size_t kNodes = 5;
constexpr Duration kSpread = std::chrono::milliseconds(300);

enum class Fault : std::uint8_t { kNone, kKill, kFreeze };

struct Step {
  Fault fault = Fault::kNone;
  std::size_t node = 0;
  std::size_t owner = 0;
  bool is_poison = false;
  std::int64_t runtime_ms = 0;
  std::int64_t wait_ms = 0;
};

std::ostream& operator<<(std::ostream& out, const Step& step) {
  return out << "{fault " << static_cast<int>(step.fault) << " node "
             << step.node << " owner " << step.owner
             << (step.is_poison ? " poison" : " innocent") << " runs "
             << step.runtime_ms << " wait " << step.wait_ms << '}';
}

rc::Gen<Step> AnyStep() {
  return rc::gen::build<Step>(
      rc::gen::set(
          &Step::fault,
          rc::gen::weightedElement<Fault>(
              {{12, Fault::kNone}, {1, Fault::kKill}, {1, Fault::kFreeze}})),
      rc::gen::set(&Step::node, rc::gen::inRange<std::size_t>(0, kNodes)),
      rc::gen::set(&Step::owner, rc::gen::inRange<std::size_t>(0, kNodes)),
      rc::gen::set(&Step::is_poison),
      rc::gen::set(&Step::runtime_ms, rc::gen::inRange<std::int64_t>(1, 9000)),
      rc::gen::set(&Step::wait_ms,
                   rc::gen::element<std::int64_t>(0, 1, 50, 700, 4000)));
}

const Fingerprint kPoison{13};
const Fingerprint kHarmless{21};

// The reference. It gets only the times of calls and of the first crash, and
// counts the copies of the poison request that were sent before any node could
// know of that crash.
class ReferenceBound {
 public:
  void OnCall(TimePoint now) {
    if (!m_first_crash || now <= *m_first_crash + 3 * kSpread)
      ++m_unavoidable;
  }
  void OnCrash(TimePoint now) {
    if (!m_first_crash)
      m_first_crash = now;
  }
  std::size_t CrashesAtMost() const { return m_unavoidable + 1; }

 private:
  std::optional<TimePoint> m_first_crash;
  std::size_t m_unavoidable = 0;
};

void Apply(QuarantineFleet& fleet, const Step& step) {
  if (step.fault == Fault::kKill) {
    fleet.Kill(step.node);
    fleet.Advance(std::chrono::seconds(2));
    fleet.PublishMembers();
    fleet.Advance(std::chrono::seconds(1));
    fleet.Restart(step.node);
    fleet.PublishMembers();
  } else if (step.fault == Fault::kFreeze) {
    fleet.network().SetFrozen(step.node, true);
    fleet.Advance(std::chrono::seconds(2));
    fleet.PublishMembers(true);
    fleet.Advance(std::chrono::seconds(2));
    fleet.network().SetFrozen(step.node, false);
    fleet.PublishMembers();
  }
}

void RunSteps(QuarantineFleet& fleet,
              ReferenceBound& reference,
              const std::vector<Step>& steps) {
  fleet.AddPoison(kPoison);
  fleet.SetGossip(kSpread, 0.1);
  fleet.Advance(std::chrono::seconds(7));
  fleet.network().SetFaults(
      {0.2, 0.2, std::chrono::milliseconds(1), std::chrono::milliseconds(80)});
  for (const Step& step : steps) {
    Apply(fleet, step);
    if (step.is_poison)
      reference.OnCall(fleet.now());
    fleet.Call(step.node, step.owner, step.is_poison ? kPoison : kHarmless,
               std::chrono::milliseconds(step.runtime_ms));
    for (std::int64_t waited = 0; waited < step.wait_ms; waited += 50) {
      fleet.Advance(std::chrono::milliseconds(50));
      if (fleet.TargetsCrashed() > 0)
        reference.OnCrash(fleet.now());
    }
  }
  fleet.Advance(std::chrono::seconds(10));
}

// Guards against a suspect that runs twice at once, a poison request that
// crashes more targets than the copies in flight at its first crash and one
// more, and a harmless request that stays refused. The steps are any order of
// calls, deaths and freezes shorter than the term of a permit, with lost,
// repeated and reordered datagrams and late gossip. Such failures arise if two
// homes grant a permit or if older news overrides newer.
RC_GTEST_PROP(QuarantineFleetTest, HoldsItsBounds, ()) {
  const auto seed = *rc::gen::arbitrary<std::uint64_t>();
  const auto steps = *rc::gen::container<std::vector<Step>>(12, AnyStep());
  QuarantineFleet fleet(kNodes, seed);
  ReferenceBound reference;
  RunSteps(fleet, reference, steps);
  RC_ASSERT(fleet.MaxConcurrentPermittedRuns() <= 1U);
  RC_ASSERT(fleet.MaxSuspectsOnTarget() <= 1U);
  RC_ASSERT(fleet.TargetsCrashed() <= reference.CrashesAtMost());

  // After the faults end, one more run clears the harmless request on all
  // nodes, unless it was quarantined because its target was lost, for any
  // reason, while it ran there as a suspect.
  if (fleet.WasLostAsSuspect(kHarmless))
    return;
  fleet.network().SetFaults(NetworkFaults());
  fleet.Advance(std::chrono::seconds(10));
  fleet.Call(0, 1, kHarmless, std::chrono::milliseconds(10));
  fleet.Advance(std::chrono::seconds(3));
  fleet.Call(1, 1, kHarmless, std::chrono::milliseconds(10));
  fleet.Advance(std::chrono::seconds(3));
  for (std::size_t index = 0; index < kNodes; ++index)
    RC_ASSERT(fleet.node(index).Check(fleet.now(), kHarmless) ==
              Verdict::kClear);
}

// Guards against a request that crashes the same target twice. The steps are a
// shrunk failure of the property above: two copies of the poison request nine
// seconds apart on one target, harmless requests between them, and a fifth of
// all datagrams lost. The cause is not known yet.
TEST(QuarantineFleetRegression, APoisonTakesOneTargetDownOnce) {
  const auto step = [](std::size_t node, bool is_poison, std::int64_t runs,
                       std::int64_t wait) {
    return Step{Fault::kNone, node, 0, is_poison, runs, wait};
  };
  const std::vector<Step> steps = {
      step(0, true, 1350, 700),   step(0, false, 1, 50),
      step(0, false, 600, 700),   step(1, false, 1, 4000),
      step(0, false, 3867, 4000), step(1, false, 74, 50),
      step(0, false, 1, 1),       step(0, false, 1, 0),
      step(0, true, 1, 700),      step(0, false, 1, 50),
      step(0, false, 1, 4000),    step(0, false, 1, 1)};
  constexpr std::uint64_t found_seed = 16;
  QuarantineFleet fleet(kNodes, found_seed);
  ReferenceBound reference;
  RunSteps(fleet, reference, steps);
  EXPECT_LE(fleet.MaxSuspectsOnTarget(), 1U);
}

}  // namespace
}  // namespace bulrushmount
