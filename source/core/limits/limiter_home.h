// The home's side of the workspace limits: it keeps the one account of a
// workspace and lends from it to the entries that see demand.

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

// What one entry has borrowed of one workspace's limits.
struct Loan {
  LendingSession session;
  RequestNumber number;
  // used <= granted.
  double granted_units = 0;
  double used_units = 0;
  double demand = 0;
  // The rate last lent, and the largest that the entry may still go by.
  double rate_lent = 0;
  double rate_counted = 0;
  std::uint32_t in_flight = 0;
  std::uint32_t in_flight_target = 0;
  // The share last lent, and the largest that the entry may still go by.
  std::uint32_t in_flight_lent = 0;
  std::uint32_t in_flight_counted = 0;
  RequestNumber lent_by;
  TimePoint lent_at;
  // After this the entry certainly goes by nothing of this loan.
  TimePoint counted_until;
};

// A workspace's limits and what is lent of them. Units at the home and units
// lent and not yet used are together at most LendingCapacity().
struct LimitAccount {
  WorkspaceLimits limits;
  // Negative after entries have used their own allowances.
  double level = 0;
  TimePoint refilled_at;
  // Earlier homes' allotments may be in use until then.
  TimePoint grace_until;
  // The home began to lend.
  TimePoint begun_at;
  TimePoint swept_at;
  std::unordered_map<NodeId, Loan> loans;
  // Sums over `loans`.
  double outstanding = 0;
  double demand = 0;
  // Loans whose entry has told no demand.
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

  // `has_departure`: workspaces may have moved here, with loans of their old
  // home still in use. `is_home` says which accounts stay.
  void OnMembersChanged(TimePoint now,
                        std::size_t members,
                        bool has_departure,
                        const std::function<bool(WorkspaceKey)>& is_home);

  // The request of `entry` for a workspace whose home this node is. Empty for
  // an unknown workspace, a release, and a request older than one seen.
  std::optional<Allotment> OnRequest(TimePoint now,
                                     NodeId entry,
                                     const AllotmentRequest& request);

  // Forgets the accounts that nobody borrows from and that are full again.
  void OnTimer(TimePoint now);

  // Accounts in use; none needs a timer.
  std::size_t AccountCount() const { return m_accounts.size(); }

 private:
  detail::LimitAccount& AccountOf(TimePoint now,
                                  WorkspaceKey workspace,
                                  const WorkspaceLimits& limits);
  void Refill(TimePoint now, detail::LimitAccount& account) const;
  void Sweep(TimePoint now, detail::LimitAccount& account) const;
  double FirstLevel(TimePoint now, const WorkspaceLimits& limits) const;
  Duration IntervalFor(TimePoint now,
                       const detail::LimitAccount& account,
                       const detail::Loan& loan) const;
  bool IsBeginning(TimePoint now, const detail::LimitAccount& account) const;
  double HeadroomFor(TimePoint now,
                     const detail::LimitAccount& account,
                     const detail::Loan& loan) const;
  AskPace PaceFor(TimePoint now,
                  const detail::LimitAccount& account,
                  const detail::Loan& loan) const;
  void BookUse(detail::LimitAccount& account,
               detail::Loan& loan,
               const AllotmentRequest& request) const;
  double UnitsInAdvance(TimePoint now,
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
  // The last time that workspaces may have moved here.
  TimePoint m_home_since;
  std::unordered_map<WorkspaceKey, WorkspaceLimits> m_limits;
  std::unordered_map<WorkspaceKey, detail::LimitAccount> m_accounts;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_LIMITS_LIMITER_HOME_H_
