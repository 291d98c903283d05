// The messages between an entry, the node at which calls arrive, and the
// limiter home of a workspace. All amounts are cumulative or absolute, so a
// lost, repeated or reordered datagram neither creates nor destroys units.

#ifndef BULRUSHMOUNT_CORE_LIMITS_ALLOTMENT_H_
#define BULRUSHMOUNT_CORE_LIMITS_ALLOTMENT_H_

#include <cstdint>

#include "core/common/time.h"
#include "core/limits/rendezvous.h"

namespace bulrushmount {

// Identifies one uninterrupted series of loans from one home to one entry. The
// entry increases it for each new session.
using LendingSession = StrongType<struct LendingSessionTag, std::uint64_t>;

// Increases with each request of an entry; the answer repeats it.
using RequestNumber = StrongType<struct RequestNumberTag, std::uint64_t>;

struct AllotmentRequest {
  WorkspaceKey workspace;
  LendingSession session;
  RequestNumber number;
  // Units admitted since the session began, from granted units and from the
  // local allowance of the entry, which the home then deducts from the account.
  // Units admitted from the lent rate are not included: the home has already
  // reserved that rate.
  double used_units = 0;
  // Unused units that the entry wants to hold after the answer.
  double target_units = 0;
  // Units per second of the calls that arrive at this entry, admitted or
  // refused.
  double demand = 0;
  std::uint32_t in_flight = 0;
  // The in-flight share that the entry requests.
  std::uint32_t in_flight_target = 0;
  // The rate and in-flight share that the entry may still use, lent by the
  // current or an earlier home.
  double rate_held = 0;
  std::uint32_t in_flight_held = 0;
  // The latest answer that the entry has applied; 0 for none.
  RequestNumber applied;
  // The entry returns everything that it still holds; the home does not answer.
  bool is_release = false;
};

// How soon the entry sends its next request, unless the entry has its own
// reason to send it earlier.
enum class RequestPace : std::uint8_t {
  kNormal = 0,
  // The limits far exceed the demand of all entries, so an entry with enough
  // credit need not send a request until most of its term is over.
  kRelaxed = 1,
  // The home has lowered the rate and waits for the entry to confirm that it
  // uses the lower one. Until then the difference cannot be lent to another
  // entry.
  kConfirm = 2,
};

struct Allotment {
  WorkspaceKey workspace;
  LendingSession session;
  // Number of the request that this answers.
  RequestNumber number;
  // Units lent since the session began.
  double granted_units = 0;
  // Units per second that the entry may admit in addition while the term runs.
  double rate = 0;
  // Maximum number of calls in flight at the entry.
  std::uint32_t in_flight = 0;
  Duration term{};
  // Minimum time between two requests, from the number of borrowers at the
  // home.
  Duration interval{};
  RequestPace pace = RequestPace::kNormal;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_LIMITS_ALLOTMENT_H_
