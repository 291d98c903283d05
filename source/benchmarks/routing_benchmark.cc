// Measures how many decisions per second the pickers and the admission make, by
// the number of targets of a service and of workspaces in the queue.

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>

#include <benchmark/benchmark.h>

#include "core/admission/adaptive_limit.h"
#include "core/admission/admission.h"
#include "core/common/random.h"
#include "core/routing/least_reported_picker.h"
#include "core/routing/power_of_choices_picker.h"
#include "core/routing/random_picker.h"

namespace bulrushmount {
namespace {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""us;

// Adds targets, a third at each distance, that all have reported their load.
void Fill(TargetPicker& picker, std::uint64_t targets) {
  for (std::uint64_t node = 1; node <= targets; ++node) {
    picker.Update({.node = NodeId(node),
                   .distance = static_cast<ZoneDistance>(node % 3),
                   .slots = 12});
    Dispatch dispatch{.node = NodeId(node)};
    picker.OnSent(dispatch);
    const LoadReport load{.in_flight = static_cast<std::uint32_t>(node % 12),
                          .queued = 0,
                          .limit = 12,
                          .service_time = 10ms};
    picker.OnAnswerBegun({}, dispatch, load, AnswerQuality::kGood);
    picker.OnEnded({}, dispatch, load);
  }
}

// Measures one pick and the events of its attempt.
template <typename Picker, typename... Arguments>
void PickAndReport(benchmark::State& state, const Arguments&... arguments) {
  Picker picker(arguments...);
  Fill(picker, static_cast<std::uint64_t>(state.range(0)));
  SeededRandomSource random(1);
  TimePoint now;
  const LoadReport load{
      .in_flight = 6, .queued = 0, .limit = 12, .service_time = 10ms};
  for (auto _ : state) {
    now += 10us;
    Dispatch dispatch{.node = *picker.Pick(now, {}, random), .sent_at = now};
    picker.OnSent(dispatch);
    picker.OnAnswerBegun(now, dispatch, load, AnswerQuality::kGood);
    picker.OnEnded(now, dispatch, load);
  }
  state.SetItemsProcessed(state.iterations());
}

void PowerOfChoices(benchmark::State& state) {
  PickAndReport<PowerOfChoicesPicker>(state, PowerOfChoicesSettings{});
}
BENCHMARK(PowerOfChoices)->Arg(10)->Arg(100)->Arg(1100);

void Random(benchmark::State& state) {
  PickAndReport<RandomPicker>(state);
}
BENCHMARK(Random)->Arg(10)->Arg(100)->Arg(1100);

void LeastReported(benchmark::State& state) {
  PickAndReport<LeastReportedPicker>(state);
}
BENCHMARK(LeastReported)->Arg(10)->Arg(100)->Arg(1100);

// Measures the arrival and the end of a work while all slots are in use and
// `range(0)` workspaces have works in the queue.
void AdmissionWithQueue(benchmark::State& state) {
  Admission admission(
      AdmissionSettings{.max_wait = 1000, .overload_fraction = 2},
      std::make_unique<AdaptiveLimit>(AdaptiveLimitSettings{}));
  TimePoint now;
  admission.SetTarget(now, 12, 220);
  std::uint64_t last = 0;
  std::uint64_t ended = 0;
  const auto workspaces = static_cast<std::uint64_t>(state.range(0));
  const auto arrive = [&] {
    ++last;
    return admission.Arrive(
        now, WorkId(last),
        {.workspace =
             WorkspaceName("workspace-" + std::to_string(last % workspaces)),
         .kind = KindName("browse"),
         .time_left = 10'000ms});
  };
  while (admission.load().queued < std::max<std::uint64_t>(workspaces, 6))
    arrive();
  for (auto _ : state) {
    now += 800us;
    benchmark::DoNotOptimize(arrive());
    // Ends the next running work; works start nearly in the order of their ids.
    while (admission.OnEnded(now, WorkId(++ended), WorkEnd::kAnswered)
               .start.empty()) {
    }
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(AdmissionWithQueue)->Arg(1)->Arg(12)->Arg(48);

}  // namespace
}  // namespace bulrushmount

BENCHMARK_MAIN();
