// The units of one workspace at one entry: credit granted by the home, calls
// that wait for more, and the request for it.

#ifndef BULRUSHMOUNT_CORE_WORKSPACE_LIMITS_UNIT_ACCOUNT_H_
#define BULRUSHMOUNT_CORE_WORKSPACE_LIMITS_UNIT_ACCOUNT_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>

#include "core/common/decaying_sum.h"
#include "core/common/ids.h"
#include "core/common/random.h"
#include "core/common/time.h"
#include "core/workspace_limits/unit_messages.h"
#include "core/workspace_limits/workspace_limits_settings.h"

namespace bulrushmount {

// A unit that a call has taken from granted credit.
struct UnitLease {
  // When the entry asked for the unit.
  TimePoint requested_at;
  TimePoint expires_at;
};

enum class UnitVerdict : std::uint8_t { kAdmitted, kHeld, kRefused };

// What a refusal was decided on.
enum class UnitSource : std::uint8_t {
  kNone,
  // The home has no units.
  kHome,
  // The home had none shortly before, and was not asked again.
  kHomeBefore,
  // The home is silent, and its deputy has no units in reserve.
  kDeputy,
  // Neither answered in time.
  kUnanswered,
};

// The name of the source in logs.
constexpr std::string_view ToToken(UnitSource source) {
  switch (source) {
    case UnitSource::kNone:
      return "none";
    case UnitSource::kHome:
      return "home";
    case UnitSource::kHomeBefore:
      return "home-before";
    case UnitSource::kDeputy:
      return "deputy";
    case UnitSource::kUnanswered:
      return "unanswered";
  }
  return "none";
}

struct UnitDecision {
  UnitVerdict verdict = UnitVerdict::kAdmitted;
  // Empty if the unit cannot be given back, or none was needed.
  std::optional<UnitLease> lease{};
  // Valid with kRefused.
  Duration retry_after{};
  UnitSource source = UnitSource::kNone;
};

// Counters of one workspace at one entry.
struct UnitCounters {
  std::uint64_t admitted = 0;
  std::uint64_t refused = 0;
  // Calls that waited for a response of the home.
  std::uint64_t held = 0;
  // Admitted without the home: from the deputy's reserve or locally.
  std::uint64_t fallback = 0;

  friend bool operator==(const UnitCounters&, const UnitCounters&) = default;
};

namespace detail {

class UnitAccountOutlet {
 public:
  virtual ~UnitAccountOutlet() = default;

  virtual UnitRequestNumber TakeNumber() = 0;
  virtual void SendToHome(const UnitRequest& request) = 0;
  // Sends through other members, in case only the direct link is interrupted.
  virtual void SendToHomeByRelays(const UnitRequest& request) = 0;
  virtual void SendToDeputy(const UnitRequest& request) = 0;
  // The decision on a call that was held.
  virtual void Decide(CallId call, const UnitDecision& decision) = 0;
  // This entry's part of the rate, for the time in which it reaches no home.
  virtual double LocalUnitsPerSecond(WorkspaceKey workspace) = 0;
};

class UnitAccount {
 public:
  // The references must outlive the object.
  UnitAccount(WorkspaceKey workspace,
              const WorkspaceLimitsSettings& settings,
              RandomSource& random,
              UnitAccountOutlet& outlet,
              const UnitCounters& counters,
              TimePoint now);

  // The outlet may be called for a held call before this returns.
  UnitDecision Admit(TimePoint now, CallId call);
  // A held call has ended.
  void Withdraw(CallId call);
  // A call that took the unit has not run.
  void GiveBack(TimePoint now, const UnitLease& lease);
  // A call was forwarded a second time.
  void TakeOwed(TimePoint now);

  void OnResponse(TimePoint now, const UnitResponse& response);
  // The home or its deputy is another member now.
  void OnHomeChanged(TimePoint now);

  void OnTimer(TimePoint now);
  TimePoint NextWakeup() const;

  bool IsUnused(TimePoint now) const;
  WorkspaceKey workspace() const { return m_workspace; }
  const UnitCounters& counters() const { return m_counters; }

 private:
  struct Credit {
    UnitLease lease;
    std::uint32_t units = 0;
    bool is_fallback = false;
  };

  struct WaitingCall {
    CallId call;
    TimePoint give_up_at;
  };

  // One request and its repeats, up to the response or kMaxUnitWait.
  struct Exchange {
    UnitRequest request;
    TimePoint sent_at;
    TimePoint next_step_at;
    int steps = 0;
    bool is_home_heard = false;
    bool is_deputy_asked = false;
    bool is_deputy_heard = false;
  };

  void StartExchange(TimePoint now);
  void ContinueExchange(TimePoint now);
  void AskDeputy();
  // No response arrived in time.
  void EndUnanswered(TimePoint now);
  void OnExchangeResponse(TimePoint now,
                          Exchange& exchange,
                          const UnitResponse& response);
  void DropExpired(TimePoint now);
  std::optional<UnitDecision> TakeCredit(TimePoint now);
  void OnHomeSilent(TimePoint since);
  bool TakeLocal(TimePoint now);
  void ServeWaiting(TimePoint now);
  void RefuseWaiting(TimePoint now, UnitSource source);
  UnitDecision Refuse(UnitSource source);
  bool MayUseLocalUnits(TimePoint now) const;
  void ReportUnused(std::uint32_t units, TimePoint requested_at);

  WorkspaceKey m_workspace;
  const WorkspaceLimitsSettings& m_settings;
  RandomSource& m_random;
  UnitAccountOutlet& m_outlet;

  // In order of expiry.
  std::deque<Credit> m_credits;
  // In order of `give_up_at`.
  std::deque<WaitingCall> m_waiting;
  std::optional<Exchange> m_exchange;
  // The exchange before, whose responses may still arrive.
  std::optional<Exchange> m_last_exchange;

  // Used without a grant and not reported yet.
  std::uint32_t m_owed = 0;
  // Not used, expired and not reported yet; `m_returned_since` is the time of
  // the earliest of their requests.
  std::uint32_t m_returned = 0;
  TimePoint m_returned_since;

  // Calls are refused without a message until then.
  TimePoint m_blocked_until;
  Duration m_retry_after{};

  // Since when requests to the home are unanswered.
  std::optional<TimePoint> m_silent_since;
  // Local units that became available since the home is silent, and those of
  // them that were taken or have expired.
  double m_local_units = 0;
  double m_local_used = 0;
  TimePoint m_local_at;

  // For the estimate of the rate of calls.
  DecayingSum m_recent_calls;
  TimePoint m_last_call;
  UnitCounters m_counters;
};

}  // namespace detail

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_WORKSPACE_LIMITS_UNIT_ACCOUNT_H_
