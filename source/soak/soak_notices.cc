// Part of `soak_run.h`: what servers state in their answers.

#include "soak/soak_run.h"

namespace bulrushmount::soak {

using platform::ServerStandIn;

namespace {

// Factor by which a named rate is raised or lowered halfway.
constexpr double kRateChange = 2;

}  // namespace

void SoakRun::LimitServers(const Fault& fault) {
  for (std::size_t index = 0; index < m_options.nodes; ++index) {
    if (index == fault.node || fault.affects_all_nodes)
      LimitServer(index, fault);
  }
}

void SoakRun::LimitServer(std::size_t index, const Fault& fault) {
  if (m_nodes[index].is_server_leaving_or_down)
    return;
  StatedNotice notice;
  notice.instance = m_fleet->InstanceOf(index);
  notice.rate_limit = fault.rate;
  StateNotice(index, notice);
  const bool is_raised = index % 2 == 0;
  notice.rate_limit =
      is_raised ? fault.rate * kRateChange : fault.rate / kRateChange;
  ScheduleAfter(fault.duration, [this, index, notice, fault] {
    StateNotice(index, notice);
    StatedNotice withdrawn = notice;
    withdrawn.rate_limit.reset();
    ScheduleAfter(fault.duration,
                  [this, index, withdrawn] { StateNotice(index, withdrawn); });
  });
}

// The heartbeats of the server continue to report "ready" until it is gone.
void SoakRun::LeaveByAnswers(const Fault& fault) {
  NodeState& state = m_nodes[fault.node];
  if (state.is_server_leaving_or_down ||
      state.link_faults[platform::Link::kServer] > 0)
    return;
  state.is_server_leaving_or_down = true;
  StatedNotice notice;
  notice.instance = m_fleet->InstanceOf(fault.node);
  notice.is_leaving = true;
  StateNotice(fault.node, notice);
  ScheduleAfter(kDrainTime + 2 * fault.duration,
                [this, index = fault.node] { m_fleet->KillServer(index); });
  ScheduleAfter(kDrainTime + 3 * fault.duration, [this, index = fault.node] {
    m_nodes[index].is_server_leaving_or_down = false;
    m_fleet->StartServer(index);
  });
}

void SoakRun::StateNotice(std::size_t index, const StatedNotice& notice) {
  m_fleet->WithServer(index, [&](ServerStandIn& server) {
    if (server.options().instance != notice.instance)
      return;
    server.SetRateLimit(notice.rate_limit);
    if (notice.is_leaving)
      server.SetLeavingInAnswers();
    StatedNotice stated = notice;
    stated.at = Now();
    m_record.notices.push_back(stated);
  });
}

}  // namespace bulrushmount::soak
