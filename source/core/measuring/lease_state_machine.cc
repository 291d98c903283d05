// Part of `lease_state_machine.h`, with Boost.MSM.

#include "core/measuring/lease_state_machine.h"

#include <cstdlib>

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include "core/common/logging.h"

namespace bulrushmount {

namespace {

namespace front = boost::msm::front;
using boost::mpl::vector;

// Events.
struct Requested {};
struct Granted {};
struct Refused {};
struct AnswerLost {};
struct ReleaseRequested {};
struct Lapsed {};

// Stores its value in the machine when it is entered.
template <LeaseState kState>
struct State : front::state<> {
  template <typename Event, typename Machine>
  void on_entry(const Event&, Machine& machine) {
    machine.current = kState;
  }
};

using Absent = State<LeaseState::kAbsent>;
using RequestedState = State<LeaseState::kRequested>;
using Held = State<LeaseState::kHeld>;
using Releasing = State<LeaseState::kReleasing>;
using OutcomeUnknown = State<LeaseState::kOutcomeUnknown>;

struct MachineDefinition : front::state_machine_def<MachineDefinition> {
  using initial_state = Absent;

  LeaseState current = LeaseState::kAbsent;

  template <typename From, typename Event, typename To>
  using Row = front::Row<From, Event, To, front::none, front::none>;

  // clang-format off
  // Boost.MSM requires this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  struct transition_table : vector<
      Row<Absent,         Requested,        RequestedState>,
      Row<RequestedState, Granted,          Held>,
      Row<RequestedState, Refused,          Absent>,
      Row<RequestedState, AnswerLost,       OutcomeUnknown>,
      Row<RequestedState, Lapsed,           Absent>,
      Row<Held,           ReleaseRequested, Releasing>,
      Row<Held,           Lapsed,           Absent>,
      Row<Releasing,      Lapsed,           Absent>,
      Row<OutcomeUnknown, Granted,          Held>,
      Row<OutcomeUnknown, Refused,          Absent>,
      Row<OutcomeUnknown, Lapsed,           Absent>> {};
  // clang-format on

  template <typename Machine, typename Event>
  void no_transition(const Event&, Machine&, int state) {
    LogLine(LogLevel::kError, "measuring.lease_invariant_broken")
        .Add("state", state);
    std::abort();
  }
};

using Machine = boost::msm::back::state_machine<MachineDefinition>;

}  // namespace

struct LeaseStateMachine::Impl {
  Machine machine;
};

LeaseStateMachine::LeaseStateMachine() : m_impl(std::make_unique<Impl>()) {
  m_impl->machine.start();
}

LeaseStateMachine::~LeaseStateMachine() = default;

void LeaseStateMachine::Handle(LeaseEvent event) {
  Machine& machine = m_impl->machine;
  switch (event) {
    case LeaseEvent::kRequested:
      machine.process_event(Requested{});
      return;
    case LeaseEvent::kGranted:
      machine.process_event(Granted{});
      return;
    case LeaseEvent::kRefused:
      machine.process_event(Refused{});
      return;
    case LeaseEvent::kAnswerLost:
      machine.process_event(AnswerLost{});
      return;
    case LeaseEvent::kReleaseRequested:
      machine.process_event(ReleaseRequested{});
      return;
    case LeaseEvent::kLapsed:
      machine.process_event(Lapsed{});
      return;
  }
}

LeaseState LeaseStateMachine::state() const {
  return m_impl->machine.current;
}

}  // namespace bulrushmount
