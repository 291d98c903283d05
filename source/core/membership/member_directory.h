// Introduces newcomers by way of the platform's table: each node keeps the row
// `member/<id in hex>` with its address. The rows decide nothing: who is alive
// is gossip's to say, which goes on while the table is down.

#ifndef BULRUSHMOUNT_CORE_MEMBERSHIP_MEMBER_DIRECTORY_H_
#define BULRUSHMOUNT_CORE_MEMBERSHIP_MEMBER_DIRECTORY_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/common/endpoint.h"
#include "core/common/ids.h"
#include "core/common/random.h"
#include "core/common/time.h"
#include "core/membership/member_table.h"
#include "core/store/table_service.h"

namespace bulrushmount {

struct MemberDirectorySettings {
  // Of the whole fleet together, however large.
  double fleet_scans_per_second = 0.2;
  double fleet_renewals_per_second = 2.0;
  // Longest time between two scans or renewals of a small fleet's node.
  Duration min_interval = std::chrono::seconds(10);
  // The same for a node that knows no other.
  Duration lone_interval = std::chrono::seconds(10);
  // The back-off while the table does not answer, jittered.
  Duration min_backoff = std::chrono::milliseconds(200);
  Duration max_backoff = std::chrono::seconds(15);
  // A row of an unknown or dead node goes when its renewal counter stood still
  // for this many of the fleet's renewal intervals.
  int prune_after_renewals = 3;
  std::size_t max_prunes_per_scan = 4;
};

class MemberDirectory {
 public:
  // The arguments must outlive this; replies that come later are ignored.
  MemberDirectory(const MemberDirectorySettings& settings,
                  NodeId self,
                  Endpoint gossip_endpoint,
                  RandomSource& random,
                  TableService& service,
                  TimePoint now);
  ~MemberDirectory();

  // `table` gives the fleet's size and who is alive.
  void OnTimer(TimePoint now, const MemberTable& table);
  TimePoint NextWakeup() const;

  // Deletes the own row, trying again until it is done.
  void Leave(TimePoint now);
  bool has_left() const;

  // Addresses found by scans since the last call, for Membership::Introduce:
  // a few at random of nodes that `table` does not hold as live.
  std::vector<Endpoint> TakeFound(const MemberTable& table);

  // The first scan was answered: an empty result means a lone first node.
  bool has_scanned() const;

 private:
  struct State;
  // Shared with outstanding callbacks only, which hold it weakly.
  std::shared_ptr<State> m_state;
};

// The row's key.
std::string MemberRowKey(NodeId id);

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_MEMBERSHIP_MEMBER_DIRECTORY_H_
