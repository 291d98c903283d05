// The life of a target: what each sequence of evidence makes of it.

#include "core/target_state/target_life.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace bulrushmount {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// One letter an event; each takes 50 ms.
//   A announced anew   h announcement, same incarnation   m announcement missed
//   w withdrawn        d drained                          x crashed
//   o real answer      e error   s shed   c connect failed   b broken off
//   1, 2, 3 real answer of a named workspace   !, @, # error of the same one
//   + healthy probe    - failed or unhealthy probe
//   t 1 s passes       T 25 s pass
class Script {
 public:
  Script() : m_life(TargetLifeSettings()) {}

  void Run(const std::string& events) {
    for (const char event : events) {
      Pass(milliseconds(50));
      Handle(event);
    }
  }

  const TargetLife& life() const { return m_life; }
  TimePoint now() const { return m_now; }

 private:
  void Pass(Duration duration) {
    const TimePoint end = m_now + duration;
    while (m_life.NextWakeup() <= end) {
      m_now = std::max(m_now, m_life.NextWakeup());
      m_life.OnTimer(m_now);
      ASSERT_GT(m_life.NextWakeup(), m_now) << "wakes up for ever";
    }
    m_now = end;
  }

  void Handle(char event) {
    switch (event) {
      case 'A':
        m_incarnation = Incarnation(m_incarnation.value() + 1);
        [[fallthrough]];
      case 'h':
        m_life.OnAnnounced(m_now, {ServiceName("desk"), 12, m_incarnation});
        return;
      case 'l':
        m_life.OnAnnounced(m_now, {ServiceName("desk"), 12,
                                   Incarnation(m_incarnation.value() - 1)});
        return;
      case 'm':
        return m_life.OnAnnouncementMissed(m_now);
      case 'w':
        return m_life.OnWithdrawn(m_now);
      case 'd':
        return m_life.OnDrained(m_now);
      case 'x':
        return m_life.OnCrashed(m_now);
      case 'o':
        return m_life.OnReal(m_now, RealResult::kAnswered);
      case 'e':
        return m_life.OnReal(m_now, RealResult::kError);
      case '1':
      case '2':
      case '3':
        return m_life.OnReal(m_now, RealResult::kAnswered,
                             WorkspaceName(std::string(1, event)));
      case '!':
        return m_life.OnReal(m_now, RealResult::kError, WorkspaceName("1"));
      case '@':
        return m_life.OnReal(m_now, RealResult::kError, WorkspaceName("2"));
      case '#':
        return m_life.OnReal(m_now, RealResult::kError, WorkspaceName("3"));
      case 's':
        return m_life.OnReal(m_now, RealResult::kShed);
      case 'c':
        return m_life.OnReal(m_now, RealResult::kConnectFailed);
      case 'b':
        return m_life.OnReal(m_now, RealResult::kBrokenOff);
      case '+':
        return m_life.OnProbe(m_now, true);
      case '-':
        return m_life.OnProbe(m_now, false);
      case 't':
        return Pass(seconds(1));
      case 'T':
        return Pass(seconds(25));
      default:
        FAIL() << "no such event: " << event;
    }
  }

  TargetLife m_life;
  TimePoint m_now{std::chrono::hours(1)};
  Incarnation m_incarnation{0};
};

constexpr char kToServing[] = "A+T";

struct LifeCase {
  std::string name;
  // What goes wrong if the life does not end so.
  std::string symptom;
  std::string events;
  TargetState state;
  ProbeNeed need;
};

class LifeTest : public testing::TestWithParam<LifeCase> {};

TEST_P(LifeTest, EndsInState) {
  Script script;
  script.Run(GetParam().events);
  const TargetLife& life = script.life();
  EXPECT_EQ(ToToken(life.state()), ToToken(GetParam().state))
      << GetParam().symptom;
  EXPECT_EQ(life.Need(script.now()), GetParam().need);
  const bool takes_work = GetParam().state == TargetState::kAnnounced ||
                          GetParam().state == TargetState::kWarming ||
                          GetParam().state == TargetState::kServing;
  EXPECT_EQ(life.IsServing(), takes_work);
  EXPECT_EQ(life.RampFactor(script.now()) > 0, takes_work);
  const std::optional<TargetSummary> summary = life.Summary();
  EXPECT_EQ(summary.has_value(), life.state() != TargetState::kGone);
  if (summary) {
    EXPECT_EQ(summary->is_serving, takes_work);
  }
}

const std::string kServingFrom = kToServing;

INSTANTIATE_TEST_SUITE_P(
    Course,
    LifeTest,
    testing::Values(
        LifeCase{"Nothing", "a target from nowhere", "+o-c", TargetState::kGone,
                 ProbeNeed::kNone},
        LifeCase{"Announced", "it waits for probes that no budget allows", "A",
                 TargetState::kAnnounced, ProbeNeed::kWarming},
        LifeCase{"WarmsByProbe", "it stays cold", "A+", TargetState::kWarming,
                 ProbeNeed::kWarming},
        LifeCase{"WarmsByAnswer", "probes spent on a busy target", "Ao",
                 TargetState::kWarming, ProbeNeed::kNone},
        LifeCase{"ServesWithoutAnySign", "no probes, no traffic: cold for ever",
                 "AT", TargetState::kServing, ProbeNeed::kIdle},
        LifeCase{"Busy", "probes spent on a busy target", kServingFrom + "o",
                 TargetState::kServing, ProbeNeed::kNone},
        LifeCase{"Withdrawn", "a leaving target gets work", kServingFrom + "w",
                 TargetState::kDraining, ProbeNeed::kNone},
        LifeCase{"Drained", "it never leaves", kServingFrom + "wd",
                 TargetState::kGone, ProbeNeed::kNone},
        LifeCase{"DrainedWhileServing", "an idle target leaves",
                 kServingFrom + "d", TargetState::kServing, ProbeNeed::kIdle},
        LifeCase{"Restarted", "a restart is taken for the old process",
                 kServingFrom + "wA", TargetState::kAnnounced,
                 ProbeNeed::kWarming},
        LifeCase{"LateHeartbeat", "a late heartbeat calls it back",
                 kServingFrom + "wh", TargetState::kDraining, ProbeNeed::kNone},
        LifeCase{"LateHeartbeatWhenGone", "a late heartbeat calls it back",
                 kServingFrom + "wdh", TargetState::kGone, ProbeNeed::kNone},
        LifeCase{"OldIncarnation", "a late announcement starts it anew",
                 "A" + kServingFrom + "l", TargetState::kServing,
                 ProbeNeed::kIdle}),
    [](const auto& info) { return info.param.name; });

INSTANTIATE_TEST_SUITE_P(
    Failures,
    LifeTest,
    testing::Values(
        LifeCase{"ConnectsRefused", "calls go to a target that is down",
                 kServingFrom + "occc", TargetState::kSuspect,
                 ProbeNeed::kSuspect},
        LifeCase{"FailsFast", "a target that fails fast draws all traffic",
                 kServingFrom + "eeeeeeeeee", TargetState::kSuspect,
                 ProbeNeed::kSuspect},
        LifeCase{"FailsFastInMixedWays", "as above",
                 kServingFrom + "ooeebceebceebe", TargetState::kSuspect,
                 ProbeNeed::kSuspect},
        LifeCase{"DrainsWithoutWarning", "calls go on to one that only sheds",
                 kServingFrom + "osssssssss", TargetState::kSuspect,
                 ProbeNeed::kSuspect},
        LifeCase{"ShedsAndAnswers", "a full target is taken out",
                 kServingFrom + "ssssossssossssosssso", TargetState::kServing,
                 ProbeNeed::kNone},
        LifeCase{"SomeErrors", "errors of a few callers take it out",
                 kServingFrom + "eoeoeeoeoeeoeoeoo", TargetState::kServing,
                 ProbeNeed::kNone},
        LifeCase{"OneWorkspacesErrors",
                 "one workspace's bad requests take it out for the others",
                 kServingFrom + "2!!!!!!!!!!!!!!!!!!!!!!!!!!!!!!",
                 TargetState::kServing, ProbeNeed::kNone},
        LifeCase{"OneWorkspacesErrorsBesideAStrayOne",
                 "as above, with one error of an innocent workspace",
                 kServingFrom + "23!!!!!!!!!!!!@!!!!!!!!!!!!!!!!",
                 TargetState::kServing, ProbeNeed::kNone},
        LifeCase{"OneWorkspacesErrorsAlone",
                 "a target that fails fast draws a lone workspace's traffic",
                 kServingFrom + "!!!!!!!!!!", TargetState::kSuspect,
                 ProbeNeed::kSuspect},
        LifeCase{"OneWorkspacesErrorsLongAfterAnother",
                 "answers of long ago keep a failing target in service",
                 kServingFrom + "2tttttttttt!!!!!!!!!!", TargetState::kSuspect,
                 ProbeNeed::kSuspect},
        LifeCase{"ErrorsOfAllWorkspaces",
                 "a failing target is kept by its workspaces' number",
                 kServingFrom + "123!@#!@#!@#!@#!@#!@#", TargetState::kSuspect,
                 ProbeNeed::kSuspect},
        LifeCase{"ErrorsOfAllWorkspacesOneFrequent",
                 "a failing target is kept by a workspace of few requests",
                 kServingFrom + "12!!!!!!!!!!!!!!!!!!!!@!!",
                 TargetState::kSuspect, ProbeNeed::kSuspect},
        LifeCase{"Crashed", "calls go on to a crashed target",
                 kServingFrom + "ox", TargetState::kSuspect,
                 ProbeNeed::kSuspect},
        LifeCase{"HealthyProbesAgainstFailures",
                 "a lying health endpoint keeps a failing target in service",
                 kServingFrom + "+c+c+c+", TargetState::kSuspect,
                 ProbeNeed::kSuspect},
        LifeCase{"UnhealthyProbesAgainstAnswers",
                 "a lying health endpoint takes out a good target",
                 kServingFrom + "o-----o-----", TargetState::kServing,
                 ProbeNeed::kNone},
        LifeCase{"UnhealthyProbesWhenIdle", "nobody notices an idle one's fall",
                 kServingFrom + "---", TargetState::kSuspect,
                 ProbeNeed::kSuspect},
        LifeCase{"FewUnhealthyProbes", "one bad probe takes it out",
                 kServingFrom + "--+--", TargetState::kServing,
                 ProbeNeed::kIdle},
        LifeCase{"AnswerAgainstUnhealthyProbes",
                 "an answered long request does not count",
                 kServingFrom + "---o", TargetState::kServing,
                 ProbeNeed::kNone},
        LifeCase{"MissedButAnswers", "a lost heartbeat takes out a good target",
                 kServingFrom + "ommmm", TargetState::kServing,
                 ProbeNeed::kNone},
        LifeCase{"Missed", "a silent target keeps its traffic",
                 kServingFrom + "m", TargetState::kSuspect,
                 ProbeNeed::kSuspect},
        LifeCase{"MissedForLong", "a dead target stays listed",
                 kServingFrom + "mmm", TargetState::kGone, ProbeNeed::kNone},
        LifeCase{"MissedForLongAndBack", "it never comes back",
                 kServingFrom + "mmmh", TargetState::kAnnounced,
                 ProbeNeed::kWarming}),
    [](const auto& info) { return info.param.name; });

INSTANTIATE_TEST_SUITE_P(
    Recovery,
    LifeTest,
    testing::Values(
        LifeCase{"NotBySoonProbe",
                 "failing and serving in turn, in step with a "
                 "lying endpoint",
                 kServingFrom + "ccc++", TargetState::kSuspect,
                 ProbeNeed::kSuspect},
        LifeCase{"ByProbeAfterItsTime", "a mended target stays out",
                 kServingFrom + "ccct+", TargetState::kWarming,
                 ProbeNeed::kWarming},
        LifeCase{"WithoutProbes", "no budget: a mended target stays out",
                 kServingFrom + "ccctt", TargetState::kWarming,
                 ProbeNeed::kWarming},
        LifeCase{"ProbeSuspicionByProbe", "a mended target stays out",
                 kServingFrom + "---+", TargetState::kServing,
                 ProbeNeed::kIdle},
        LifeCase{"TrialFails", "each trial costs many calls",
                 kServingFrom + "ccct+eee", TargetState::kSuspect,
                 ProbeNeed::kSuspect},
        LifeCase{"SecondSuspicionIsLonger", "trials go on at the first pace",
                 kServingFrom + "ccct+eeet+", TargetState::kSuspect,
                 ProbeNeed::kSuspect},
        LifeCase{"OneWorkspaceKeepsItOutForSeconds",
                 "one workspace keeps it from the others for long",
                 kServingFrom + "!!!!!!!!!!t+!!!tt+!!!tttt+!!!tttt+",
                 TargetState::kWarming, ProbeNeed::kWarming},
        LifeCase{"TrialSucceeds", "one early error ends a trial",
                 kServingFrom + "ccct+oeeeeee", TargetState::kWarming,
                 ProbeNeed::kNone}),
    [](const auto& info) { return info.param.name; });

}  // namespace

}  // namespace bulrushmount
