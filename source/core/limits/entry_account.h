// The credit that one entry holds for one workspace: units, a rate and an
// in-flight share lent by the limiter home of the workspace, and a small local
// allowance for the time without a loan.

#ifndef BULRUSHMOUNT_CORE_LIMITS_ENTRY_ACCOUNT_H_
#define BULRUSHMOUNT_CORE_LIMITS_ENTRY_ACCOUNT_H_

#include <cstddef>
#include <cstdint>

#include "core/common/outcome.h"
#include "core/common/time.h"
#include "core/contracts/contract.h"
#include "core/limits/allotment.h"
#include "core/limits/limits_settings.h"
#include "core/limits/token_bucket.h"

namespace bulrushmount::detail {

class EntryAccount {
 public:
  // `settings` must outlive the object.
  EntryAccount(const LimitsSettings& settings,
               WorkspaceKey key,
               const WorkspaceLimits& limits,
               std::size_t members,
               TimePoint now);

  WorkspaceKey key() const { return m_key; }
  const Peer& home() const { return m_home; }
  std::uint32_t in_flight() const { return m_in_flight; }

  Reason TryAdmit(TimePoint now, double units);
  void OnCallEnded();

  void Reconfigure(TimePoint now,
                   const WorkspaceLimits& limits,
                   std::size_t members);
  // The rest of a loan from the previous home stays valid until its term ends
  // or the new home answers.
  void SetHome(TimePoint now, const Peer& home);

  // Returns whether calls arrived within the idle time or are in flight.
  bool IsActive(TimePoint now) const;
  // Returns whether a call was refused for lack of credit or the credit is
  // running low.
  bool IsStarved() const;
  // Returns whether to send a request to the home now. `interval` applies to a
  // workspace with credit, `starved_interval` to one without.
  bool IsDue(TimePoint now, Duration interval, Duration starved_interval) const;

  // Starts session `next_session` and increments it if there is no current
  // session.
  AllotmentRequest MakeRequest(TimePoint now,
                               Duration interval,
                               RequestNumber number,
                               std::uint64_t& next_session);
  bool HasLoan(TimePoint now) const;
  // Returns everything that is lent and ends the session.
  AllotmentRequest MakeRelease(TimePoint now, RequestNumber number);
  void Apply(TimePoint now, const Allotment& allotment);

 private:
  // The rest of a loan from the previous home. Its rate stays in m_rate_bucket.
  struct FormerLoan {
    double units = 0;
    std::uint32_t in_flight = 0;
    TimePoint valid_until;
  };

  // A request and when it was sent. The term of a loan counts from this time:
  // if it counted from the answer, a delayed answer would extend the term
  // beyond the time until which the home counts the loan.
  struct SentRequest {
    RequestNumber number;
    TimePoint sent_at;
  };

  bool IsHomeSilent() const;
  double Balance() const { return m_granted_units - m_used_units; }
  bool IsRateValid(TimePoint now) const;
  // Time between two requests while the home answers.
  Duration WantedInterval(Duration interval, Duration starved_interval) const;
  void SetRate(TimePoint now, double rate);
  bool TakeLentUnits(TimePoint now, double units);
  std::uint32_t InFlightShare(TimePoint now) const;
  bool TakeUnits(TimePoint now, double units);
  void EndSession();
  void EndExpiredSession(TimePoint now);
  void UpdateDemand(TimePoint now);

  const LimitsSettings& m_settings;
  WorkspaceKey m_key;
  WorkspaceLimits m_limits;
  std::uint32_t m_allowed_in_flight = 0;
  // What this entry may admit without a loan. Refilled when the home has
  // deducted the units admitted from it.
  TokenBucket m_allowance;

  Peer m_home;
  // 0 if there is no session.
  LendingSession m_session;
  double m_granted_units = 0;
  double m_used_units = 0;
  // Accumulates the units of the lent rate.
  TokenBucket m_rate_bucket;
  double m_rate = 0;
  // Minimum time between two requests, as set by the home.
  Duration m_home_interval{};
  RequestPace m_pace = RequestPace::kNormal;
  Duration m_term{};
  std::uint32_t m_in_flight_share = 0;
  // TimePoint() until the first answer of the session.
  TimePoint m_valid_until;
  FormerLoan m_former_loan;

  SentRequest m_last_request;
  SentRequest m_previous_request;
  RequestNumber m_applied;
  std::uint32_t m_unanswered = 0;
  double m_target_units = 0;
  bool m_is_request_due = true;

  std::uint32_t m_in_flight = 0;
  TimePoint m_last_call;
  // Units of the calls that arrived since the last request, admitted or
  // refused.
  double m_offered_units = 0;
  double m_max_call_units = 0;
  bool m_was_refused = false;
  std::uint32_t m_peak_in_flight = 0;
  // Smoothed, in units per second.
  double m_demand = 0;
};

}  // namespace bulrushmount::detail

#endif  // BULRUSHMOUNT_CORE_LIMITS_ENTRY_ACCOUNT_H_
