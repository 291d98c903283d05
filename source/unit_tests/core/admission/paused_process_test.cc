// Tests of admission in a process that did not run for some time: answers that
// arrived meanwhile are handled late.

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <gtest/gtest.h>

#include "core/admission/admission.h"

namespace bulrushmount {
namespace {

using std::chrono_literals::operator""h;
using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

constexpr Duration kServiceTime = 30ms;
constexpr Duration kPause = 700ms;
constexpr std::uint32_t kSlots = 2;
constexpr int kAnswers = 20;

struct EndCase {
  const char* name;
  std::function<void(Admission&, TimePoint, WorkId)> end;
};

class PausedProcessTest : public testing::TestWithParam<EndCase> {
 protected:
  PausedProcessTest() {
    m_admission.SetTarget(m_now, kSlots, kSlots);
    for (int answer = 0; answer < kAnswers; ++answer) {
      const WorkId work = Start();
      m_now += kServiceTime;
      m_admission.OnEnded(m_now, work, WorkEnd::kAnswered);
    }
  }

  AdmissionOutput Arrive(WorkId work) {
    AdmissionRequest request;
    request.kind = KindName("view");
    request.time_left = 2s;
    return m_admission.Arrive(m_now, work, request);
  }

  WorkId Start() {
    const WorkId work(++m_last_work);
    EXPECT_EQ(Arrive(work).start.size(), 1U);
    return work;
  }

  void Pause() {
    m_now += kPause;
    m_admission.OnPaused(m_now, kPause);
  }

  Admission m_admission{{}, std::make_unique<FixedLimit>()};
  TimePoint m_now{1h};
  std::uint64_t m_last_work = 0;
};

// Guards against a target that is taken for slow, and hardly used for many
// seconds, because its owner was frozen while requests ran.
TEST_P(PausedProcessTest, TimeOfThePauseIsNoServiceTime) {
  const Duration before = m_admission.load().service_time;
  const WorkId work = Start();
  m_now += kServiceTime / 2;
  Pause();
  GetParam().end(m_admission, m_now, work);
  EXPECT_EQ(m_admission.load().service_time, before);
  EXPECT_EQ(m_admission.load().in_flight, 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Ends,
    PausedProcessTest,
    testing::Values(EndCase{"Answered",
                            [](Admission& admission, TimePoint now, WorkId id) {
                              admission.OnAnswerBegun(now, id, false);
                              admission.OnEnded(now, id, WorkEnd::kAnswered);
                            }},
                    EndCase{"AnsweredInOneEvent",
                            [](Admission& admission, TimePoint now, WorkId id) {
                              admission.OnEnded(now, id, WorkEnd::kAnswered);
                            }},
                    EndCase{"Cancelled",
                            [](Admission& admission, TimePoint now, WorkId id) {
                              admission.OnCancelled(now, id);
                            }}),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against ignoring all samples after a pause, so that a target that is
// really slow would keep its old service time.
TEST_F(PausedProcessTest, WorksStartedAfterThePauseAreSamples) {
  Pause();
  const WorkId work = Start();
  m_now += 4 * kServiceTime;
  m_admission.OnEnded(m_now, work, WorkEnd::kAnswered);
  EXPECT_GT(m_admission.load().service_time, kServiceTime);
}

// Guards against refusing a request that arrives after a pause as overloaded,
// because the running ones seem to hold their slots for the time of the pause.
TEST_F(PausedProcessTest, SlotsAreExpectedToBeFreedAsUsual) {
  Start();
  Start();
  Pause();
  const AdmissionOutput output = Arrive(WorkId(++m_last_work));
  EXPECT_TRUE(output.refuse.empty());
  EXPECT_EQ(m_admission.load().queued, 1U);
}

}  // namespace
}  // namespace bulrushmount
