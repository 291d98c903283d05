// Part of `target_lifecycle_machine.h`, with Boost.MSM.

// The default limit of Boost.MPL vectors is 20 elements.
#define BOOST_MPL_CFG_NO_PREPROCESSED_HEADERS
#define BOOST_MPL_LIMIT_VECTOR_SIZE 30

#include "core/target_state/target_lifecycle_machine.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace bulrushmount::detail {

namespace {

namespace front = boost::msm::front;
using boost::mpl::vector;

// Events.
struct Announced {};
struct Answered {};
struct ColdStartOver {};
struct Suspected {};
struct Withdrawn {};
struct GoneAway {};

// Stores its value in the machine when it is entered.
template <TargetState kState>
struct State : front::state<> {
  template <typename Event, typename Machine>
  void on_entry(const Event&, Machine& machine) {
    machine.current = kState;
  }
};

using Gone = State<TargetState::kGone>;
using AnnouncedState = State<TargetState::kAnnounced>;
using Warming = State<TargetState::kWarming>;
using Serving = State<TargetState::kServing>;
using Suspect = State<TargetState::kSuspect>;
using Draining = State<TargetState::kDraining>;

struct MachineDefinition : front::state_machine_def<MachineDefinition> {
  using initial_state = Gone;

  TargetState current = TargetState::kGone;

  template <typename From, typename Event, typename To>
  using Row = front::Row<From, Event, To, front::none, front::none>;

  // clang-format off
  // Boost.MSM requires this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  struct transition_table : vector<
      Row<Gone,           Announced,     AnnouncedState>,
      Row<AnnouncedState, Announced,     AnnouncedState>,
      Row<AnnouncedState, Answered,      Warming>,
      Row<AnnouncedState, Suspected,     Suspect>,
      Row<AnnouncedState, Withdrawn,     Draining>,
      Row<AnnouncedState, GoneAway,      Gone>,
      Row<Warming,        Announced,     AnnouncedState>,
      Row<Warming,        ColdStartOver, Serving>,
      Row<Warming,        Suspected,     Suspect>,
      Row<Warming,        Withdrawn,     Draining>,
      Row<Warming,        GoneAway,      Gone>,
      Row<Serving,        Announced,     AnnouncedState>,
      Row<Serving,        Suspected,     Suspect>,
      Row<Serving,        Withdrawn,     Draining>,
      Row<Serving,        GoneAway,      Gone>,
      Row<Suspect,        Announced,     AnnouncedState>,
      Row<Suspect,        Answered,      Warming>,
      Row<Suspect,        Withdrawn,     Draining>,
      Row<Suspect,        GoneAway,      Gone>,
      Row<Draining,       Announced,     AnnouncedState>,
      Row<Draining,       GoneAway,      Gone>> {};
  // clang-format on

  template <typename Machine, typename Event>
  void no_transition(const Event&, Machine&, int) {}
};

using Machine = boost::msm::back::state_machine<MachineDefinition>;

}  // namespace

struct TargetLifecycleMachine::Impl {
  Machine machine;
};

TargetLifecycleMachine::TargetLifecycleMachine()
    : m_impl(std::make_unique<Impl>()) {
  m_impl->machine.start();
}

TargetLifecycleMachine::~TargetLifecycleMachine() = default;

void TargetLifecycleMachine::Handle(TargetLifecycleEvent event) {
  Machine& machine = m_impl->machine;
  switch (event) {
    case TargetLifecycleEvent::kAnnounced:
      machine.process_event(Announced{});
      return;
    case TargetLifecycleEvent::kAnswered:
      machine.process_event(Answered{});
      return;
    case TargetLifecycleEvent::kColdStartOver:
      machine.process_event(ColdStartOver{});
      return;
    case TargetLifecycleEvent::kSuspected:
      machine.process_event(Suspected{});
      return;
    case TargetLifecycleEvent::kWithdrawn:
      machine.process_event(Withdrawn{});
      return;
    case TargetLifecycleEvent::kGone:
      machine.process_event(GoneAway{});
      return;
  }
}

TargetState TargetLifecycleMachine::state() const {
  return m_impl->machine.current;
}

}  // namespace bulrushmount::detail
