// Grants permits to run suspect requests. The home of a fingerprint, found by
// rendezvous hashing, lets one entry at a time run the request.

#ifndef BULRUSHMOUNT_CORE_QUARANTINE_PERMIT_HOME_H_
#define BULRUSHMOUNT_CORE_QUARANTINE_PERMIT_HOME_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <unordered_map>

#include "core/common/ids.h"
#include "core/common/time.h"
#include "core/quarantine/quarantine_settings.h"

namespace bulrushmount {

// Number of a permit; local to one entry and increasing there.
using PermitNumber = StrongType<struct PermitNumberTag, std::uint64_t>;

// Orders the PermitAsk messages of one entry over all its permits; the reply
// repeats it.
using PermitAskNumber = StrongType<struct PermitAskNumberTag, std::uint64_t>;

// Message of an entry that requests, renews or returns a permit.
struct PermitAsk {
  Fingerprint fingerprint;
  PermitNumber permit;
  PermitAskNumber ask;
  // The entry already holds the permit, so the run may be in progress.
  bool is_renewal = false;
  bool is_return = false;
};

struct PermitReply {
  Fingerprint fingerprint;
  PermitNumber permit;
  PermitAskNumber ask;
  bool is_granted = false;
};

class PermitHome {
 public:
  explicit PermitHome(const QuarantineSettings& settings);

  // Drops the permits for which `is_home` returns false.
  void OnMembersChanged(const std::function<bool(Fingerprint)>& is_home);

  // Returns whether `entry` may start or continue the run for the term of the
  // permit. `is_settled`: no permit that an earlier home granted for the
  // fingerprint can still be in use.
  bool OnAsk(TimePoint now,
             NodeId entry,
             const PermitAsk& ask,
             bool is_settled);

  std::size_t size() const { return m_holders.size(); }

 private:
  struct Holder {
    NodeId entry;
    PermitNumber permit;
    PermitAskNumber last_ask;
    // The holder may be running the request until this time.
    TimePoint counted_until;
    // A returned permit is kept, so that a delayed request cannot take it
    // again.
    bool is_returned = false;
  };

  bool OnAskOfHolder(TimePoint now, Holder& holder, const PermitAsk& ask);
  bool Grant(TimePoint now, NodeId entry, const PermitAsk& ask);
  void RemoveExpiredPermits(TimePoint now);

  QuarantineSettings m_settings;

  TimePoint m_swept_at;
  std::unordered_map<Fingerprint, Holder> m_holders;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_QUARANTINE_PERMIT_HOME_H_
