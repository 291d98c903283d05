// Enforces the limits of the workspaces of a routing document over all entries
// of the fleet together. One object does the part of one node: it admits calls
// as an entry, with units granted by the home of each workspace, and grants
// units of the workspaces whose home this node is.
//
// `WorkspaceLimiter` in core/limits does the same for contracts, with a wider
// bound: it lends rates for seconds and never holds a call.

#ifndef BULRUSHMOUNT_CORE_WORKSPACE_LIMITS_FLEET_LIMITER_H_
#define BULRUSHMOUNT_CORE_WORKSPACE_LIMITS_FLEET_LIMITER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/common/datagram.h"
#include "core/common/ids.h"
#include "core/common/random.h"
#include "core/common/time.h"
#include "core/limits/rendezvous.h"
#include "core/workspace_limits/fleet_view.h"
#include "core/workspace_limits/unit_account.h"
#include "core/workspace_limits/unit_home.h"
#include "core/workspace_limits/unit_messages.h"
#include "core/workspace_limits/workspace_limits_codec.h"
#include "core/workspace_limits/workspace_limits_settings.h"
#include "core/workspace_limits/workspace_rates.h"

namespace bulrushmount {

// Receives the decisions on calls that were held.
class UnitListener {
 public:
  virtual ~UnitListener() = default;

  virtual void OnUnitDecision(TimePoint now,
                              CallId call,
                              const UnitDecision& decision) = 0;
};

// Counters of one workspace at this entry.
struct WorkspaceCounters {
  WorkspaceName workspace;
  UnitCounters counters;
};

class FleetLimiter : private detail::UnitHomeOutlet,
                     private detail::UnitAccountOutlet {
 public:
  // The references must outlive the object.
  FleetLimiter(const WorkspaceLimitsSettings& settings,
               const Peer& self,
               RandomSource& random,
               DatagramPort& datagrams,
               TimePoint now);

  FleetLimiter(const FleetLimiter&) = delete;
  FleetLimiter& operator=(const FleetLimiter&) = delete;

  void SetListener(UnitListener* listener) { m_listener = listener; }

  // Decides on a call. If it is held, the listener gets the decision within
  // kMaxUnitWait, possibly before this returns.
  UnitDecision Admit(TimePoint now,
                     CallId call,
                     const WorkspaceName& workspace);
  // A held call has ended.
  void Withdraw(CallId call, const WorkspaceName& workspace);
  // A call has ended and was not forwarded to a target.
  void GiveBack(TimePoint now,
                const WorkspaceName& workspace,
                const UnitLease& lease);
  // A call is forwarded a second time. It is not held or refused for that.
  void TakeOwed(TimePoint now, const WorkspaceName& workspace);

  // The limits of the active document, initially and whenever it changes.
  void SetLimits(TimePoint now, std::vector<NamedRate> rates);

  // All live members, and those declared dead (not those that left).
  void SetMembers(TimePoint now,
                  const std::vector<FleetMember>& live,
                  const std::vector<Peer>& dead);

  // Other members are known to exist: until one is known, or for 30 s, this
  // node admits nothing, since it does not know its part of the limits.
  void ExpectPeers() { m_view.ExpectPeers(); }

  // Another member sent a datagram of any kind.
  void OnPeerContact(TimePoint now);

  // Handles a datagram of DatagramKind::kWorkspaceLimits, without the kind
  // byte. Drops it if it cannot be parsed.
  void OnDatagram(TimePoint now, const Endpoint& from, std::string_view bytes);

  // May be called at any time.
  void OnTimer(TimePoint now);
  TimePoint NextWakeup() const;

  // Use of the limits of workspaces whose home is this node.
  std::vector<WorkspaceUse> Uses(TimePoint now) const {
    return m_home.Uses(now);
  }
  // Workspaces with calls at this entry since its start or since they have a
  // limit.
  std::vector<WorkspaceCounters> Counters() const;
  // The workspaces with the highest limits.
  std::vector<WorkspaceName> Largest(std::size_t count) const {
    return m_rates.Largest(count);
  }

 private:
  using Account = detail::UnitAccount;

  struct Entry {
    WorkspaceName workspace;
    Account account;
    NodeId home;
    NodeId deputy;
  };

  struct Relay {
    NodeId relay;
    TimePoint until;
  };

  // UnitHomeOutlet:
  void Respond(const detail::Requester& to,
               const UnitResponse& response) override;
  void Respond(const detail::Requester& to,
               const TakeoverResponse& response) override;
  void AskTakeover(const Peer& deputy, const TakeoverRequest& request) override;

  // UnitAccountOutlet:
  UnitRequestNumber TakeNumber() override;
  void SendToHome(const UnitRequest& request) override;
  void SendToHomeByRelays(const UnitRequest& request) override;
  void SendToDeputy(const UnitRequest& request) override;
  void Decide(CallId call, const UnitDecision& decision) override;
  double LocalUnitsPerSecond(WorkspaceKey workspace) override;

  Entry& FindOrCreate(TimePoint now,
                      const WorkspaceName& workspace,
                      WorkspaceKey key);
  void Begin(TimePoint now);
  // Delivers local messages and decisions, then sends the collected datagrams.
  void Finish(TimePoint now);
  void Forward(const WorkspaceLimitsDatagram& datagram);
  void SendThrough(const Peer& relay,
                   const Peer& home,
                   const UnitRequest& request);
  void UpdateBusy(Entry& entry);
  void DropUnused(TimePoint now);

  WorkspaceLimitsSettings m_settings;
  RandomSource& m_random;
  DatagramPort& m_datagrams;
  UnitListener* m_listener = nullptr;
  detail::WorkspaceRates m_rates;
  detail::FleetView m_view;
  detail::UnitHome m_home;

  // Workspaces with recent calls; only these cause messages.
  std::unordered_map<WorkspaceKey, std::unique_ptr<Entry>> m_entries;
  // Invariant: each entry with a wakeup is in m_wakeups with that time, and
  // m_wakeup_of holds it.
  std::set<std::pair<TimePoint, WorkspaceKey>> m_wakeups;
  std::unordered_map<WorkspaceKey, TimePoint> m_wakeup_of;
  TimePoint m_next_sweep = TimePoint::max();
  // Counters of entries that were dropped.
  std::unordered_map<WorkspaceKey, UnitCounters> m_dropped;
  std::uint64_t m_next_number = 1;

  // Members that forward datagrams to a home that cannot be reached directly.
  std::unordered_map<NodeId, Relay> m_relays;
  std::optional<NodeId> m_last_relay;

  // Collected during one event. Keyed by the endpoint to send to and the final
  // receiver, which is 0 for the endpoint itself.
  std::map<std::pair<Endpoint, NodeId>, WorkspaceLimitsDatagram> m_outbox;
  std::vector<UnitRequest> m_local_requests;
  std::vector<UnitResponse> m_local_responses;
  std::vector<std::pair<CallId, UnitDecision>> m_decisions;
  // Time of the current event, for the outlets.
  TimePoint m_event_time;
  bool m_is_finishing = false;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_WORKSPACE_LIMITS_FLEET_LIMITER_H_
