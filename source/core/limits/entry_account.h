// One workspace's limits as one entry goes by them: units and an in-flight
// share lent by the workspace's limiter home, and a small allowance without it.

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

  void Reshape(TimePoint now,
               const WorkspaceLimits& limits,
               std::size_t members);
  // What is left of another home's loan stays good for its term, or until the
  // new home has answered.
  void SetHome(TimePoint now, const Peer& home);

  // Had calls of late, or has some in flight.
  bool IsActive(TimePoint now) const;
  // A call was refused for want of credit, or soon will be.
  bool IsStarved() const;
  // Whether to ask the home now. `interval` is for a workspace with credit,
  // `starved_interval` for one without.
  bool IsDue(TimePoint now, Duration interval, Duration starved_interval) const;

  // `next_session` is taken if the last session is over, and raised.
  AllotmentRequest MakeRequest(TimePoint now,
                               Duration interval,
                               RequestNumber number,
                               std::uint64_t& next_session);
  bool HasLoan(TimePoint now) const;
  // Gives up what is lent.
  AllotmentRequest MakeRelease(TimePoint now, RequestNumber number);
  void Apply(TimePoint now, const Allotment& allotment);

 private:
  // A loan of an earlier home. Its rate goes on in m_earned.
  struct FormerLoan {
    double units = 0;
    std::uint32_t in_flight = 0;
    TimePoint valid_until;
  };

  // When a request was sent: the term counts from then. Counted from the
  // answer, a delayed answer would stretch the term beyond the home's count.
  struct SentRequest {
    RequestNumber number;
    TimePoint sent_at;
  };

  bool IsSilent() const;
  double Balance() const { return m_granted - m_used; }
  bool IsRateValid(TimePoint now) const;
  // Between two requests while the home answers.
  Duration WantedInterval(Duration interval, Duration starved_interval) const;
  void TakeRate(TimePoint now, double rate);
  bool TakeLentUnits(TimePoint now, double units);
  std::uint32_t InFlightShare(TimePoint now) const;
  bool TakeUnits(TimePoint now, double units);
  void EndSession();
  void EndLapsedSession(TimePoint now);
  void UpdateDemand(TimePoint now);

  const LimitsSettings& m_settings;
  WorkspaceKey m_key;
  WorkspaceLimits m_limits;
  std::uint32_t m_allowed_in_flight = 0;
  // What this entry may admit while it has no loan; full again once the home
  // has booked what was taken.
  TokenBucket m_allowance;

  Peer m_home;
  // 0 until the session's first request.
  LendingSession m_session;
  double m_granted = 0;
  double m_used = 0;
  // What the lent rate has brought in.
  TokenBucket m_earned;
  double m_rate = 0;
  // The home wants at least this between two requests.
  Duration m_home_interval{};
  AskPace m_pace = AskPace::kNormal;
  Duration m_term{};
  std::uint32_t m_share = 0;
  // TimePoint() until the session's first answer.
  TimePoint m_valid_until;
  FormerLoan m_former;

  SentRequest m_last_request;
  SentRequest m_previous_request;
  RequestNumber m_applied;
  std::uint32_t m_unanswered = 0;
  double m_target = 0;
  bool m_must_ask = true;

  std::uint32_t m_in_flight = 0;
  TimePoint m_last_call;
  // Since the last request.
  double m_offered = 0;
  double m_heaviest = 0;
  bool m_was_refused = false;
  std::uint32_t m_peak_in_flight = 0;
  // Units a second.
  double m_demand = 0;
};

}  // namespace bulrushmount::detail

#endif  // BULRUSHMOUNT_CORE_LIMITS_ENTRY_ACCOUNT_H_
