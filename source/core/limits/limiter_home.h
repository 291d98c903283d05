// The limiter home: holds the single account of each workspace whose home this
// node is, and lends units, rate and in-flight shares from it to the entries
// with demand. Needs the same member list at all nodes; while lists differ, the
// grace time and the terms bound what is lent twice.

#ifndef BULRUSHMOUNT_CORE_LIMITS_LIMITER_HOME_H_
#define BULRUSHMOUNT_CORE_LIMITS_LIMITER_HOME_H_

#include <cstddef>
#include <functional>
#include <optional>
#include <unordered_map>

#include "core/common/ids.h"
#include "core/contracts/contract.h"
#include "core/limits/allotment.h"
#include "core/limits/limits_settings.h"

namespace bulrushmount {

namespace detail {

// What one entry has borrowed of the limits of one workspace.
struct Loan {
  LendingSession session;
  RequestNumber number;
  // Cumulative over the session; used_units <= granted_units.
  double granted_units = 0;
  double used_units = 0;
  double demand = 0;
  // The rate last lent, and the largest rate that the entry may still use.
  double rate_lent = 0;
  double rate_counted = 0;
  std::uint32_t in_flight = 0;
  std::uint32_t in_flight_target = 0;
  // The in-flight share last lent, and the largest one that the entry may still
  // use.
  std::uint32_t in_flight_lent = 0;
  std::uint32_t in_flight_counted = 0;
  RequestNumber lent_by;
  TimePoint lent_at;
  // From this time on the entry certainly uses nothing of this loan.
  TimePoint counted_until;
};

// The limits of a workspace and what is lent of them. Units at the home plus
// lent and unused units are at most LendingCapacity().
struct LimitAccount {
  WorkspaceLimits limits;
  // Units at the home. Negative after entries have admitted calls from their
  // local allowances.
  double level = 0;
  TimePoint refilled_at;
  // Allotments of an earlier home may be in use until this time.
  TimePoint grace_until;
  // When the home began to lend for this workspace.
  TimePoint lending_started_at;
  TimePoint swept_at;
  std::unordered_map<NodeId, Loan> loans;
  // Sums over `loans`.
  double outstanding = 0;
  double demand = 0;
  // Number of loans whose entry has not reported a demand yet.
  std::size_t unknown_demands = 0;
  double rate_counted = 0;
  std::uint64_t in_flight_counted = 0;
  std::uint64_t in_flight_target = 0;
};

}  // namespace detail

class LimiterHome {
 public:
  LimiterHome(const LimitsSettings& settings, TimePoint now);

  void SetLimits(TimePoint now, WorkspaceKey workspace, WorkspaceLimits limits);
  void RemoveWorkspace(WorkspaceKey workspace);
  std::optional<WorkspaceLimits> LimitsOf(WorkspaceKey workspace) const;

  // Drops the accounts for which `is_home` returns false. With `has_departure`,
  // workspaces may have moved to this node while loans of their old home are
  // still in use.
  void OnMembersChanged(TimePoint now,
                        std::size_t members,
                        bool has_departure,
                        const std::function<bool(WorkspaceKey)>& is_home);

  // Handles a request of `entry` for a workspace whose home this node is.
  // Returns nothing for an unknown workspace, a release, or a request that is
  // not newer than the latest one.
  std::optional<Allotment> OnRequest(TimePoint now,
                                     NodeId entry,
                                     const AllotmentRequest& request);

  // Drops accounts that are full again and have no loans.
  void OnTimer(TimePoint now);

  // Number of accounts. While it is 0, OnTimer need not be called.
  std::size_t AccountCount() const { return m_accounts.size(); }

 private:
  detail::LimitAccount& AccountOf(TimePoint now,
                                  WorkspaceKey workspace,
                                  const WorkspaceLimits& limits);
  void Refill(TimePoint now, detail::LimitAccount& account) const;
  void RemoveExpiredLoans(TimePoint now, detail::LimitAccount& account) const;
  double InitialLevel(TimePoint now, const WorkspaceLimits& limits) const;
  Duration IntervalFor(TimePoint now,
                       const detail::LimitAccount& account,
                       const detail::Loan& loan) const;
  bool IsRampingUp(TimePoint now, const detail::LimitAccount& account) const;
  double HeadroomFor(TimePoint now,
                     const detail::LimitAccount& account,
                     const detail::Loan& loan) const;
  RequestPace PaceFor(TimePoint now,
                      const detail::LimitAccount& account,
                      const detail::Loan& loan) const;
  void RecordUse(detail::LimitAccount& account,
                 detail::Loan& loan,
                 const AllotmentRequest& request) const;
  double AdvanceUnits(TimePoint now,
                      const detail::LimitAccount& account,
                      double level) const;
  void LendUnits(TimePoint now,
                 detail::LimitAccount& account,
                 detail::Loan& loan,
                 const AllotmentRequest& request) const;
  void LendRate(TimePoint now,
                detail::LimitAccount& account,
                detail::Loan& loan,
                const AllotmentRequest& request) const;
  void LendInFlight(TimePoint now,
                    detail::LimitAccount& account,
                    detail::Loan& loan,
                    const AllotmentRequest& request) const;

  LimitsSettings m_settings;
  std::size_t m_members = 1;
  // The last time that workspaces may have moved to this node.
  TimePoint m_home_since;
  std::unordered_map<WorkspaceKey, WorkspaceLimits> m_limits;
  std::unordered_map<WorkspaceKey, detail::LimitAccount> m_accounts;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_LIMITS_LIMITER_HOME_H_
