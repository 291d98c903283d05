// Tests of `core/target_state/target_lifecycle.h`: the state after each
// sequence of events.

#include "core/target_state/target_lifecycle.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace bulrushmount {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// One letter an event; each takes 50 ms.
//   A announced with a new incarnation, h with the same one, l an earlier one
//   m announcement missed   w withdrawn   d drained   x crashed
//   o answered   e error   s shed   c connect failed   b connection lost
//   1, 2, 3 answer to a named workspace   !, @, # error of the same one
//   + healthy probe   - failed or unhealthy probe
//   t 1 s passes   T 25 s pass
class Script {
 public:
  Script() : m_lifecycle(TargetLifecycleSettings()) {}

  void Run(const std::string& events) {
    for (const char event : events) {
      Pass(milliseconds(50));
      Handle(event);
    }
  }

  const TargetLifecycle& lifecycle() const { return m_lifecycle; }
  TimePoint now() const { return m_now; }

 private:
  void Pass(Duration duration) {
    const TimePoint end = m_now + duration;
    while (m_lifecycle.NextWakeup() <= end) {
      m_now = std::max(m_now, m_lifecycle.NextWakeup());
      m_lifecycle.OnTimer(m_now);
      ASSERT_GT(m_lifecycle.NextWakeup(), m_now)
          << "NextWakeup does not advance";
    }
    m_now = end;
  }

  void Handle(char event) {
    switch (event) {
      case 'A':
        m_incarnation = Incarnation(m_incarnation.value() + 1);
        [[fallthrough]];
      case 'h':
        m_lifecycle.OnAnnounced(m_now,
                                {ServiceName("desk"), 12, m_incarnation});
        return;
      case 'l':
        m_lifecycle.OnAnnounced(
            m_now,
            {ServiceName("desk"), 12, Incarnation(m_incarnation.value() - 1)});
        return;
      case 'm':
        return m_lifecycle.OnAnnouncementMissed(m_now);
      case 'w':
        return m_lifecycle.OnWithdrawn(m_now);
      case 'd':
        return m_lifecycle.OnDrained(m_now);
      case 'x':
        return m_lifecycle.OnCrashed(m_now);
      case 'o':
        return m_lifecycle.OnRequestResult(m_now, RequestResult::kAnswered);
      case 'e':
        return m_lifecycle.OnRequestResult(m_now, RequestResult::kError);
      case '1':
      case '2':
      case '3':
        return m_lifecycle.OnRequestResult(
            m_now, RequestResult::kAnswered,
            WorkspaceName(std::string(1, event)));
      case '!':
        return m_lifecycle.OnRequestResult(m_now, RequestResult::kError,
                                           WorkspaceName("1"));
      case '@':
        return m_lifecycle.OnRequestResult(m_now, RequestResult::kError,
                                           WorkspaceName("2"));
      case '#':
        return m_lifecycle.OnRequestResult(m_now, RequestResult::kError,
                                           WorkspaceName("3"));
      case 's':
        return m_lifecycle.OnRequestResult(m_now, RequestResult::kShed);
      case 'c':
        return m_lifecycle.OnRequestResult(m_now,
                                           RequestResult::kConnectFailed);
      case 'b':
        return m_lifecycle.OnRequestResult(m_now,
                                           RequestResult::kConnectionLost);
      case '+':
        return m_lifecycle.OnProbe(m_now, true);
      case '-':
        return m_lifecycle.OnProbe(m_now, false);
      case 't':
        return Pass(seconds(1));
      case 'T':
        return Pass(seconds(25));
      default:
        FAIL() << "no such event: " << event;
    }
  }

  TargetLifecycle m_lifecycle;
  TimePoint m_now{std::chrono::hours(1)};
  Incarnation m_incarnation{0};
};

constexpr char kToServing[] = "A+T";

struct LifecycleCase {
  std::string name;
  // Failure that occurs if the lifecycle does not end in `state`.
  std::string symptom;
  std::string events;
  TargetState state;
  ProbeNeed need;
};

class LifecycleTest : public testing::TestWithParam<LifecycleCase> {};

TEST_P(LifecycleTest, EndsInState) {
  Script script;
  script.Run(GetParam().events);
  const TargetLifecycle& lifecycle = script.lifecycle();
  EXPECT_EQ(ToToken(lifecycle.state()), ToToken(GetParam().state))
      << GetParam().symptom;
  EXPECT_EQ(lifecycle.Need(script.now()), GetParam().need);
  const bool takes_work = GetParam().state == TargetState::kAnnounced ||
                          GetParam().state == TargetState::kWarming ||
                          GetParam().state == TargetState::kServing;
  EXPECT_EQ(lifecycle.IsServing(), takes_work);
  EXPECT_EQ(lifecycle.RampFactor(script.now()) > 0, takes_work);
  const std::optional<TargetSummary> summary = lifecycle.Summary();
  EXPECT_EQ(summary.has_value(), lifecycle.state() != TargetState::kGone);
  if (summary) {
    EXPECT_EQ(summary->is_serving, takes_work);
  }
}

const std::string kServingEvents = kToServing;

INSTANTIATE_TEST_SUITE_P(
    Course,
    LifecycleTest,
    testing::Values(
        LifecycleCase{"Nothing", "a target exists without an announcement",
                      "+o-c", TargetState::kGone, ProbeNeed::kNone},
        LifecycleCase{
            "Announced",
            "it gets no requests until a probe, which the budget may not allow",
            "A", TargetState::kAnnounced, ProbeNeed::kWarming},
        LifecycleCase{"WarmsByProbe", "it stays cold", "A+",
                      TargetState::kWarming, ProbeNeed::kWarming},
        LifecycleCase{"WarmsByAnswer", "probes spent on a busy target", "Ao",
                      TargetState::kWarming, ProbeNeed::kNone},
        LifecycleCase{"ServesWithoutAnyAnswer",
                      "without probes and traffic it stays cold forever", "AT",
                      TargetState::kServing, ProbeNeed::kIdle},
        LifecycleCase{"Busy", "probes spent on a busy target",
                      kServingEvents + "o", TargetState::kServing,
                      ProbeNeed::kNone},
        LifecycleCase{"Withdrawn", "a withdrawn target gets new requests",
                      kServingEvents + "w", TargetState::kDraining,
                      ProbeNeed::kNone},
        LifecycleCase{"Drained", "a drained target stays listed",
                      kServingEvents + "wd", TargetState::kGone,
                      ProbeNeed::kNone},
        LifecycleCase{
            "DrainedWhileServing", "a target that is not draining leaves",
            kServingEvents + "d", TargetState::kServing, ProbeNeed::kIdle},
        LifecycleCase{"Restarted",
                      "a restarted target counts as the old process",
                      kServingEvents + "wA", TargetState::kAnnounced,
                      ProbeNeed::kWarming},
        LifecycleCase{
            "LateHeartbeat", "a late heartbeat reopens a draining target",
            kServingEvents + "wh", TargetState::kDraining, ProbeNeed::kNone},
        LifecycleCase{
            "LateHeartbeatWhenGone", "a late heartbeat revives a gone target",
            kServingEvents + "wdh", TargetState::kGone, ProbeNeed::kNone},
        LifecycleCase{"OldIncarnation",
                      "a late announcement restarts its lifecycle",
                      "A" + kServingEvents + "l", TargetState::kServing,
                      ProbeNeed::kIdle}),
    [](const auto& info) { return info.param.name; });

INSTANTIATE_TEST_SUITE_P(
    Failures,
    LifecycleTest,
    testing::Values(
        LifecycleCase{"ConnectsRefused", "calls go to a target that is down",
                      kServingEvents + "occc", TargetState::kSuspect,
                      ProbeNeed::kSuspect},
        LifecycleCase{"FailsFast",
                      "a target that fails fast attracts all traffic",
                      kServingEvents + "eeeeeeeeee", TargetState::kSuspect,
                      ProbeNeed::kSuspect},
        LifecycleCase{"FailsFastInMixedWays",
                      "as above, with failures of several kinds",
                      kServingEvents + "ooeebceebceebe", TargetState::kSuspect,
                      ProbeNeed::kSuspect},
        LifecycleCase{"DrainsWithoutWarning",
                      "calls are still sent to a target that only sheds",
                      kServingEvents + "osssssssss", TargetState::kSuspect,
                      ProbeNeed::kSuspect},
        LifecycleCase{"ShedsAndAnswers",
                      "a full target is taken out of service",
                      kServingEvents + "ssssossssossssosssso",
                      TargetState::kServing, ProbeNeed::kNone},
        LifecycleCase{"SomeErrors",
                      "errors of a few callers take it out of service",
                      kServingEvents + "eoeoeeoeoeeoeoeoo",
                      TargetState::kServing, ProbeNeed::kNone},
        LifecycleCase{
            "OneWorkspacesErrors",
            "one workspace's bad requests take it out of service for others",
            kServingEvents + "2!!!!!!!!!!!!!!!!!!!!!!!!!!!!!!",
            TargetState::kServing, ProbeNeed::kNone},
        LifecycleCase{"OneWorkspacesErrorsAndOneOfAnother",
                      "as above, with one error of another workspace",
                      kServingEvents + "23!!!!!!!!!!!!@!!!!!!!!!!!!!!!!",
                      TargetState::kServing, ProbeNeed::kNone},
        LifecycleCase{
            "OneWorkspacesErrorsAlone",
            "a target that fails fast attracts the only workspace's traffic",
            kServingEvents + "!!!!!!!!!!", TargetState::kSuspect,
            ProbeNeed::kSuspect},
        LifecycleCase{"OneWorkspacesErrorsLongAfterAnother",
                      "old answers keep a failing target in service",
                      kServingEvents + "2tttttttttt!!!!!!!!!!",
                      TargetState::kSuspect, ProbeNeed::kSuspect},
        LifecycleCase{
            "ErrorsOfAllWorkspaces",
            "a failing target stays in service if several workspaces use it",
            kServingEvents + "123!@#!@#!@#!@#!@#!@#", TargetState::kSuspect,
            ProbeNeed::kSuspect},
        LifecycleCase{
            "ErrorsOfAllWorkspacesOneFrequent",
            "a workspace with few requests keeps a failing target in service",
            kServingEvents + "12!!!!!!!!!!!!!!!!!!!!@!!", TargetState::kSuspect,
            ProbeNeed::kSuspect},
        LifecycleCase{"Crashed", "calls are still sent to a crashed target",
                      kServingEvents + "ox", TargetState::kSuspect,
                      ProbeNeed::kSuspect},
        LifecycleCase{
            "HealthyProbesAgainstFailures",
            "a wrong health endpoint keeps a failing target in service",
            kServingEvents + "+c+c+c+", TargetState::kSuspect,
            ProbeNeed::kSuspect},
        LifecycleCase{
            "UnhealthyProbesAgainstAnswers",
            "a wrong health endpoint takes a good target out of service",
            kServingEvents + "o-----o-----", TargetState::kServing,
            ProbeNeed::kNone},
        LifecycleCase{"UnhealthyProbesWhenIdle",
                      "an idle target that fails stays in service",
                      kServingEvents + "---", TargetState::kSuspect,
                      ProbeNeed::kSuspect},
        LifecycleCase{
            "FewUnhealthyProbes", "a few bad probes take it out of service",
            kServingEvents + "--+--", TargetState::kServing, ProbeNeed::kIdle},
        LifecycleCase{"AnswerAgainstUnhealthyProbes",
                      "an answered long request does not count",
                      kServingEvents + "---o", TargetState::kServing,
                      ProbeNeed::kNone},
        LifecycleCase{"MissedButAnswers",
                      "a lost heartbeat takes a good target out of service",
                      kServingEvents + "ommmm", TargetState::kServing,
                      ProbeNeed::kNone},
        LifecycleCase{"Missed", "a silent target keeps its traffic",
                      kServingEvents + "m", TargetState::kSuspect,
                      ProbeNeed::kSuspect},
        LifecycleCase{"MissedForLong", "a dead target stays listed",
                      kServingEvents + "mmm", TargetState::kGone,
                      ProbeNeed::kNone},
        LifecycleCase{"MissedForLongAndBack", "it never comes back",
                      kServingEvents + "mmmh", TargetState::kAnnounced,
                      ProbeNeed::kWarming}),
    [](const auto& info) { return info.param.name; });

INSTANTIATE_TEST_SUITE_P(
    Recovery,
    LifecycleTest,
    testing::Values(
        LifecycleCase{"NotBySoonProbe",
                      "the target alternates between failing and serving "
                      "if its health endpoint is wrong",
                      kServingEvents + "ccc++", TargetState::kSuspect,
                      ProbeNeed::kSuspect},
        LifecycleCase{"ByProbeAfterItsTime",
                      "a recovered target stays out of service",
                      kServingEvents + "ccct+", TargetState::kWarming,
                      ProbeNeed::kWarming},
        LifecycleCase{
            "WithoutProbes",
            "without a budget a recovered target stays out of service",
            kServingEvents + "ccctt", TargetState::kWarming,
            ProbeNeed::kWarming},
        LifecycleCase{
            "ProbeSuspicionByProbe", "a recovered target stays out of service",
            kServingEvents + "---+", TargetState::kServing, ProbeNeed::kIdle},
        LifecycleCase{"TrialFails", "each trial costs many calls",
                      kServingEvents + "ccct+eee", TargetState::kSuspect,
                      ProbeNeed::kSuspect},
        LifecycleCase{"SecondSuspicionIsLonger",
                      "trials do not become less frequent",
                      kServingEvents + "ccct+eeet+", TargetState::kSuspect,
                      ProbeNeed::kSuspect},
        LifecycleCase{
            "OneWorkspaceKeepsItOutForSeconds",
            "one workspace keeps it out of service for others for long",
            kServingEvents + "!!!!!!!!!!t+!!!tt+!!!tttt+!!!tttt+",
            TargetState::kWarming, ProbeNeed::kWarming},
        LifecycleCase{"TrialSucceeds", "one early error ends a trial",
                      kServingEvents + "ccct+oeeeeee", TargetState::kWarming,
                      ProbeNeed::kNone}),
    [](const auto& info) { return info.param.name; });

}  // namespace

}  // namespace bulrushmount
