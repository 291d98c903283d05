// Tests of `core/admission/service_times.h`, and of an owner that has no
// service times yet.
//
// Load: all nodes and targets of a fleet restart while the callers' load is
// unchanged. Owners that estimate 10 ms for requests of 340 ms let no request
// wait, and for about twenty answers overestimate what can be in time.

#include "core/admission/service_times.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <set>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "core/admission/admission.h"
#include "core/admission/knee_limit.h"

namespace bulrushmount {
namespace {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""h;

const KindName kView("view");

struct ConvergenceCase {
  const char* name;
  Duration assumed;
  std::vector<Duration> answers;
  Duration least;
  Duration most;
};

class ServiceTimesTest : public testing::TestWithParam<ConvergenceCase> {};

TEST_P(ServiceTimesTest, ConvergesAfterFewAnswers) {
  ServiceTimes times(GetParam().assumed);
  EXPECT_FALSE(times.has_samples());
  for (const Duration answer : GetParam().answers) {
    times.OnFirstByte(kView, 1, answer);
    times.OnSlotFreed(kView, 1, answer);
  }
  EXPECT_TRUE(times.has_samples());
  EXPECT_GE(times.FirstByte(kView, 1), GetParam().least);
  EXPECT_LE(times.FirstByte(kView, 1), GetParam().most);
  EXPECT_GE(times.SlotTime(kView, 1), GetParam().least);
  EXPECT_LE(times.slot_time_per_unit(), GetParam().most);
}

INSTANTIATE_TEST_SUITE_P(
    Answers,
    ServiceTimesTest,
    testing::Values(
        ConvergenceCase{"One", 10ms, {340ms}, 339ms, 341ms},
        ConvergenceCase{"Three", 10ms, {300ms, 340ms, 380ms}, 330ms, 350ms},
        ConvergenceCase{"FasterThanAssumed", 1s, {15ms, 17ms}, 15ms, 17ms},
        // A single long request must not dominate the mean.
        ConvergenceCase{"OneLong",
                        10ms,
                        {20ms, 20ms, 20ms, 20ms, 20ms, 20ms, 20ms, 20ms, 2h},
                        20ms,
                        40ms}),
    [](const auto& info) { return std::string(info.param.name); });

// Simulates one target of nine slots with 340 ms a request. From the start,
// every 600 ms thirteen callers arrive that can use no other target. Returns
// the number of refused requests.
int RefusedAfterRestart() {
  Admission admission({}, std::make_unique<FixedLimit>());
  TimePoint now(1h);
  const TimePoint start = now;
  admission.SetTarget(now, 9, 220);
  int refused = 0;
  std::set<std::pair<TimePoint, WorkId>> ends;
  const auto note = [&](const AdmissionOutput& output) {
    refused += static_cast<int>(output.refuse.size());
    for (const WorkId work : output.start)
      ends.emplace(now + 340ms, work);
  };
  std::uint64_t last_work = 0;
  TimePoint next_callers = now;
  for (; now < start + 3s; now += 1ms) {
    for (int caller = 0; now >= next_callers && caller < 13; ++caller) {
      AdmissionRequest request;
      request.kind = kView;
      request.time_left = 2s;
      request.is_last_attempt = true;
      note(admission.Arrive(now, WorkId(++last_work), request));
    }
    if (now >= next_callers)
      next_callers += 600ms;
    while (!ends.empty() && ends.begin()->first <= now) {
      const WorkId work = ends.begin()->second;
      ends.erase(ends.begin());
      note(admission.OnEnded(now, work, WorkEnd::kAnswered));
    }
    if (admission.NextWakeup() && *admission.NextWakeup() <= now)
      note(admission.OnTimer(now));
  }
  return refused;
}

// Guards against refusing callers with two seconds left as overloaded in the
// first second after a power loss. All slots are busy for 340 ms, and the next
// callers would wait a third of that; but before its first answers the owner
// assumes 10 ms a request and allows waits of only a few of these.
TEST(RestartedOwnerTest, RefusesNoRequestThatCanBeServed) {
  EXPECT_EQ(RefusedAfterRestart(), 0);
}

}  // namespace
}  // namespace bulrushmount
