// Lets a new node discover members through the platform's table: a few nodes
// keep a row `member/<id in hex>` with their address. The rows only provide
// addresses; gossip alone decides who is alive, and it works while the table is
// down.
//
// The design limits the load of hundreds of nodes that start at once and know
// no member. One scan suffices for each to find a member. If every node kept a
// row as well, the load on the table would grow with the fleet for rows that
// are never read.

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
  // Rates of the whole fleet together, whatever its size.
  double fleet_scans_per_second = 0.2;
  double fleet_renewals_per_second = 2.0;
  // The first scan happens at a random time within this window. When a whole
  // fleet starts for the first time, most nodes then find rows and need not
  // write their own.
  Duration start_window{};
  // A node that finds fewer rows than this writes one.
  std::size_t wanted_rows = 64;
  // How long found addresses have to respond before others are tried.
  Duration contact_timeout = std::chrono::seconds(1);
  // A node that found no row scans again this long after it wrote its own:
  // other nodes may have found none at the same time.
  Duration rescan_delay = std::chrono::milliseconds(100);
  // Shortest interval between two scans or two renewals; it applies while the
  // fleet is small.
  Duration min_interval = std::chrono::seconds(10);
  // Longest interval between two scans of a node that knows no other member.
  Duration isolated_interval = std::chrono::seconds(10);
  // After a restore of the table, nodes that keep rows rewrite them within this
  // time.
  Duration restore_window = std::chrono::seconds(3);
  // Bounds of the jittered back-off while the table does not respond.
  Duration min_backoff = std::chrono::milliseconds(200);
  Duration max_backoff = std::chrono::seconds(15);
  // The row of an unknown or dead node is deleted when its renewal counter has
  // not changed for this many of the fleet's renewal intervals.
  int prune_after_renewals = 3;
  std::size_t max_prunes_per_scan = 4;
};

class MemberDirectory {
 public:
  // `random` and `service` must outlive this object. Replies that arrive after
  // its destruction are ignored.
  MemberDirectory(const MemberDirectorySettings& settings,
                  NodeId self,
                  Endpoint gossip_endpoint,
                  RandomSource& random,
                  TableService& service,
                  TimePoint now);
  ~MemberDirectory();

  // `table` provides the fleet's size and the live members.
  void OnTimer(TimePoint now, const MemberTable& table);
  TimePoint NextWakeup() const;

  // Deletes this node's row, if it may exist, and retries until the table
  // confirms.
  void Leave(TimePoint now);
  bool has_left() const;

  // Another part of this node got a response from the table after a failure: a
  // node that knows no member yet scans without waiting for its back-off.
  void OnTableAvailable(TimePoint now);

  // The table was restored from an older copy: this node's row may be missing,
  // and row versions known from before are meaningless.
  void OnTableRestored(TimePoint now, TableEpoch epoch);

  // Addresses to try next, for Membership::Introduce: a few addresses of nodes
  // that `table` does not know, nodes with the newest rows first. Empty if no
  // attempt is due.
  std::vector<Endpoint> TakeDiscoveredEndpoints(const MemberTable& table);

  // Number of rows of other nodes in the last successful scan; empty before the
  // first.
  std::optional<std::size_t> rows_found() const;

 private:
  struct State;
  // Outstanding callbacks hold weak references to it.
  std::shared_ptr<State> m_state;
};

// Key of the node's row.
std::string MemberRowKey(NodeId id);

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_MEMBERSHIP_MEMBER_DIRECTORY_H_
