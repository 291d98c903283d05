// Tests of `core/admission/service_times.h`, and of what an owner makes of
// times that it does not know yet.
//
// The load: all nodes and targets of a fleet are started anew, and their
// callers are there at once. Owners that take requests of 340 ms for such of 10
// ms let nothing wait, and believe for twenty answers that there is time for
// more than there is.

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

struct LearningCase {
  const char* name;
  Duration assumed;
  std::vector<Duration> answers;
  Duration least;
  Duration most;
};

class ServiceTimesTest : public testing::TestWithParam<LearningCase> {};

TEST_P(ServiceTimesTest, FewAnswersTellTheTime) {
  ServiceTimes times(GetParam().assumed);
  EXPECT_FALSE(times.is_known());
  for (const Duration answer : GetParam().answers) {
    times.OnFirstByte(kView, 1, answer);
    times.OnSlotFreed(kView, 1, answer);
  }
  EXPECT_TRUE(times.is_known());
  EXPECT_GE(times.FirstByte(kView, 1), GetParam().least);
  EXPECT_LE(times.FirstByte(kView, 1), GetParam().most);
  EXPECT_GE(times.SlotTime(kView, 1), GetParam().least);
  EXPECT_LE(times.slot_time_per_unit(), GetParam().most);
}

INSTANTIATE_TEST_SUITE_P(
    Answers,
    ServiceTimesTest,
    testing::Values(
        LearningCase{"One", 10ms, {340ms}, 339ms, 341ms},
        LearningCase{"Three", 10ms, {300ms, 340ms, 380ms}, 330ms, 350ms},
        LearningCase{"FasterThanAssumed", 1s, {15ms, 17ms}, 15ms, 17ms},
        // A single long one does not stand for all.
        LearningCase{"OneLong",
                     10ms,
                     {20ms, 20ms, 20ms, 20ms, 20ms, 20ms, 20ms, 20ms, 2h},
                     20ms,
                     40ms}),
    [](const auto& info) { return std::string(info.param.name); });

// One target of nine slots, 340 ms a request; callers that ask nobody else
// come thirteen at a time each 600 ms, from the first moment on.
int RefusedAfterAStart() {
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

// Symptom: in the first second after a power loss of all, callers who have two
// seconds left are refused as if the service was overloaded. Sequence: all
// slots of a target are taken for 340 ms; the next callers would wait a third
// of that. Cause: until it has seen answers the owner reckons with 10 ms a
// request, and lets nobody wait for longer than a few of them.
TEST(StartedAnewTest, NobodyIsTurnedAwayWhoCanBeServed) {
  EXPECT_EQ(RefusedAfterAStart(), 0);
}

}  // namespace
}  // namespace bulrushmount
