// Part of `member_lifecycle.h`.

#include "core/membership/member_lifecycle.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace bulrushmount {

namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

struct PeerContacted {};
struct Isolated {};
struct LeaveRequested {};
struct DepartureSpread {};

// MSM finds the initial state by the name `initial_state` and the table by
// `transition_table`. The states' order is that of MemberPhase.
struct LifecycleFront : msm::front::state_machine_def<LifecycleFront> {
  struct Joining : msm::front::state<> {};
  struct Member : msm::front::state<> {};
  struct Leaving : msm::front::state<> {};
  struct Left : msm::front::state<> {};

  using initial_state = Joining;  // NOLINT(readability-identifier-naming)

  // NOLINTNEXTLINE(readability-identifier-naming)
  using transition_table =
      boost::mpl::vector<Row<Joining, PeerContacted, Member, none, none>,
                         Row<Joining, LeaveRequested, Leaving, none, none>,
                         Row<Member, Isolated, Joining, none, none>,
                         Row<Member, LeaveRequested, Leaving, none, none>,
                         Row<Leaving, DepartureSpread, Left, none, none>>;

  // Events without a transition in the current state are ignored.
  template <typename Fsm, typename Event>
  void no_transition(const Event& /*event*/, Fsm& /*fsm*/, int /*state*/) {}
};

}  // namespace

class MemberLifecycle::Machine
    : public msm::back::state_machine<LifecycleFront> {};

MemberLifecycle::MemberLifecycle() : m_machine(std::make_unique<Machine>()) {
  m_machine->start();
}

MemberLifecycle::~MemberLifecycle() = default;

MemberPhase MemberLifecycle::phase() const {
  // MSM numbers the states in the order in which the table's rows start.
  switch (m_machine->current_state()[0]) {
    case 0:
      return MemberPhase::kJoining;
    case 1:
      return MemberPhase::kMember;
    case 2:
      return MemberPhase::kLeaving;
    default:
      return MemberPhase::kLeft;
  }
}

void MemberLifecycle::OnPeerContact() {
  m_machine->process_event(PeerContacted());
}

void MemberLifecycle::OnIsolated() {
  m_machine->process_event(Isolated());
}

void MemberLifecycle::OnLeaveRequested() {
  m_machine->process_event(LeaveRequested());
}

void MemberLifecycle::OnDepartureSpread() {
  m_machine->process_event(DepartureSpread());
}

}  // namespace bulrushmount
