// The messages between an entry and a workspace's limiter home, as typed
// values. All amounts are cumulative or absolute, so a lost, repeated or
// reordered datagram neither makes nor destroys units.

#ifndef BULRUSHMOUNT_CORE_LIMITS_ALLOTMENT_H_
#define BULRUSHMOUNT_CORE_LIMITS_ALLOTMENT_H_

#include <cstdint>

#include "core/common/time.h"
#include "core/limits/rendezvous.h"

namespace bulrushmount {

// One run of lending between one entry and one home. Rises at the entry.
using LendingSession = StrongType<struct LendingSessionTag, std::uint64_t>;

// Orders the requests of one entry; an answer repeats it.
using RequestNumber = StrongType<struct RequestNumberTag, std::uint64_t>;

struct AllotmentRequest {
  WorkspaceKey workspace;
  LendingSession session;
  RequestNumber number;
  // Admitted from granted units on this session since it began, and from the
  // entry's own allowance, which the home then books. What the lent rate
  // admitted is not in it: the home has put that rate aside.
  double used_units = 0;
  // What the entry wants to have left after the answer.
  double target_units = 0;
  // Units a second that callers offer at this entry, admitted or not.
  double demand = 0;
  std::uint32_t in_flight = 0;
  // The in-flight share that the entry would like.
  std::uint32_t in_flight_target = 0;
  // The rate and in-flight share that it may still use, from whatever home.
  double rate_held = 0;
  std::uint32_t in_flight_held = 0;
  // The newest answer that the entry has applied; 0 for none.
  RequestNumber applied;
  // The entry gives up everything it still holds; there is no answer.
  bool is_release = false;
};

// How soon the entry asks again, besides its own reasons.
enum class AskPace : std::uint8_t {
  kNormal = 0,
  // There is so much more than all entries use that one whose loan lasts need
  // not ask before most of its term is over.
  kAmple = 1,
  // The home has lowered the rate and waits to hear that the entry goes by it:
  // until then nobody else can have the difference.
  kConfirm = 2,
};

struct Allotment {
  WorkspaceKey workspace;
  LendingSession session;
  // Of the request that this answers.
  RequestNumber number;
  // Lent on this session since it began.
  double granted_units = 0;
  // Units a second that the entry may admit besides, while the term runs.
  double rate = 0;
  // Calls that the entry may have in flight.
  std::uint32_t in_flight = 0;
  Duration term{};
  // The home has so many borrowers that it wants this between two requests.
  Duration interval{};
  AskPace pace = AskPace::kNormal;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_LIMITS_ALLOTMENT_H_
