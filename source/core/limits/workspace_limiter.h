// Enforces the limits of workspaces over all entries of the fleet together. One
// object does the part of one node: it admits calls as an entry, with credit
// borrowed from the limiter home of each workspace, and lends credit for the
// workspaces whose home this node is. A call never waits for a message.

#ifndef BULRUSHMOUNT_CORE_LIMITS_WORKSPACE_LIMITER_H_
#define BULRUSHMOUNT_CORE_LIMITS_WORKSPACE_LIMITER_H_

#include <cstddef>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/common/datagram.h"
#include "core/common/ids.h"
#include "core/common/outcome.h"
#include "core/common/time.h"
#include "core/contracts/contract.h"
#include "core/limits/allotment.h"
#include "core/limits/entry_account.h"
#include "core/limits/limiter_home.h"
#include "core/limits/limits_settings.h"
#include "core/limits/rendezvous.h"

namespace bulrushmount {

class WorkspaceLimiter {
 public:
  // `datagrams` must outlive the object.
  WorkspaceLimiter(const LimitsSettings& settings,
                   const Peer& self,
                   DatagramPort& datagrams,
                   TimePoint now);

  WorkspaceLimiter(const WorkspaceLimiter&) = delete;
  WorkspaceLimiter& operator=(const WorkspaceLimiter&) = delete;

  // Returns kNone if the call is admitted; the caller must then call
  // OnCallEnded once. Otherwise returns kWorkspaceRateLimit,
  // kWorkspaceInFlightLimit, or kUnknownWorkspace if no limits are set. Decides
  // immediately, also for the first call of a workspace.
  Reason TryAdmit(TimePoint now, const WorkspaceName& workspace, double units);
  void OnCallEnded(TimePoint now, const WorkspaceName& workspace);

  // Sets the limits of the contract in force, initially and whenever it
  // changes.
  void SetLimits(TimePoint now,
                 const WorkspaceName& workspace,
                 const WorkspaceLimits& limits);
  // Calls in flight continue and still need their OnCallEnded.
  void RemoveWorkspace(TimePoint now, const WorkspaceName& workspace);

  // All live members; this node is added if it is missing.
  void SetMembers(TimePoint now, std::vector<Peer> members);

  // Handles a datagram of DatagramKind::kLimits, without the kind byte. Drops
  // it if it cannot be parsed.
  void OnDatagram(TimePoint now, const Endpoint& from, std::string_view bytes);

  void OnTimer(TimePoint now);

  // TimePoint::max() while nothing needs a timer.
  TimePoint NextWakeup() const { return m_next_wakeup; }

 private:
  using Account = detail::EntryAccount;

  struct Entry {
    explicit Entry(Account account) : account(std::move(account)) {}

    Account account;
    // Whether the entry is in m_active.
    bool is_active = false;
    // The workspace has no contract any more; the entry is kept for its calls
    // in flight.
    bool is_removed = false;
  };

  void Activate(TimePoint now, Entry& entry);
  void DropInactive(TimePoint now);
  Duration Interval() const;
  Duration StarvedInterval() const;
  // Sends the requests of the accounts in `due`, packed into as few datagrams
  // as possible for each home.
  void SendRequests(TimePoint now, const std::vector<Account*>& due);
  void Release(TimePoint now, Account& account);
  void ScheduleWakeup(TimePoint now);
  bool IsHome(WorkspaceKey workspace) const;

  LimitsSettings m_settings;
  Peer m_self;
  DatagramPort& m_datagrams;
  LimiterHome m_home;
  std::vector<Peer> m_members;
  std::unordered_map<WorkspaceName, std::unique_ptr<Entry>> m_entries;
  std::unordered_map<WorkspaceKey, Entry*> m_by_key;
  // Workspaces with recent calls or calls in flight; only these cause messages.
  std::vector<Entry*> m_active;
  // Number of workspaces in m_active that lacked credit at the last timer.
  std::size_t m_starved = 0;
  // Sessions and requests are numbered over all workspaces, from 1.
  std::uint64_t m_next_session = 1;
  std::uint64_t m_next_number = 1;
  TimePoint m_next_wakeup = TimePoint::max();
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_LIMITS_WORKSPACE_LIMITER_H_
