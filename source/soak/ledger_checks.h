// Checks the ledgers of a soak run: the outcomes that clients got are compared
// with the runs that servers recorded. The checks use no data from nodes.

#ifndef BULRUSHMOUNT_SOAK_LEDGER_CHECKS_H_
#define BULRUSHMOUNT_SOAK_LEDGER_CHECKS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/common/time.h"
#include "platform/stand_ins/node_fleet.h"

namespace bulrushmount::soak {

// A request with a path under kOncePrefix may run at most once; one under
// kSafePrefix may run several times.
inline constexpr char kOncePrefix[] = "/once/";
inline constexpr char kSafePrefix[] = "/safe/";
// Returns the path prefix of the route that this version of the routes adds and
// later versions keep.
std::string VersionPrefix(std::uint64_t version);
// Returns the version of a path under such a prefix, or 0 for other paths.
std::uint64_t VersionOf(const std::string& path);

// A server whose drain a node has acknowledged.
struct AcknowledgedDrain {
  std::string instance;
  TimePoint at;
};

// What a server stated in its answers from `at` on.
struct StatedNotice {
  std::string instance;
  TimePoint at;
  // Requests per second; empty without a limit.
  std::optional<double> rate_limit;
  bool is_leaving = false;
};

// The keys of the soak's workspaces. Each workspace has one key in all versions
// of the document, and one in kVersionsOfAKey versions from a given one on.
inline constexpr std::array<const char*, 4> kWorkspaces = {"amber", "birch",
                                                           "cedar", "delta"};
inline constexpr std::uint64_t kVersionsOfAKey = 2;
// The only one with a limit over the fleet.
inline constexpr char kLimitedWorkspace[] = "delta";
std::string PermanentKey(const std::string& workspace);
std::string KeyFrom(const std::string& workspace, std::uint64_t version);
// In no version of the document.
inline constexpr char kNeverValidKey[] = "no-key-of-a-workspace";

// Everything that is recorded in a run.
struct SoakRecord {
  std::vector<platform::FinishedCall> calls;
  platform::RunLedger runs;
  std::vector<AcknowledgedDrain> drains;
  // The start times of the processes of each node, by node index.
  std::map<std::size_t, std::vector<TimePoint>> node_starts;
  // In order of time.
  std::vector<StatedNotice> notices;
  // Restarts, freezes and cuts of nodes and their ends, by node index. They
  // excuse a node from the notices that it has relayed before.
  std::map<std::size_t, std::vector<TimePoint>> disturbances;
  // The times at which the versions of the document were written; only of those
  // that withdraw keys.
  std::map<std::uint64_t, TimePoint> commits;
  // Requests need keys, and servers receive the workspaces of the keys.
  bool has_workspaces = false;
};

// Returns one line for each violated guarantee, with the request and, for a
// drain, the server.
std::vector<std::string> FindViolations(const SoakRecord& record);

// The time for which a server continues to serve after its drain is
// acknowledged.
inline constexpr Duration kDrainTime = std::chrono::seconds(2);

}  // namespace bulrushmount::soak

#endif  // BULRUSHMOUNT_SOAK_LEDGER_CHECKS_H_
