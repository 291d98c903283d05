// What a soak's ledgers say: of the clients, what they were told; of the
// servers, what they ran. Nothing here asks a node.

#ifndef BULRUSHMOUNT_SOAK_VERDICTS_H_
#define BULRUSHMOUNT_SOAK_VERDICTS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/common/time.h"
#include "platform/stand_ins/node_fleet.h"

namespace bulrushmount::soak {

// Paths under this prefix may run once at most; see VersionPrefix for others.
inline constexpr char kOncePrefix[] = "/once/";
inline constexpr char kSafePrefix[] = "/safe/";
// The route that each version of the routes adds, and later ones keep.
std::string VersionPrefix(std::uint64_t version);
// Of a path under such a prefix; 0 for others.
std::uint64_t VersionOf(const std::string& path);

// A server that was told that it may leave.
struct AcknowledgedDrain {
  std::string instance;
  TimePoint at;
};

// All that a run has on record.
struct SoakRecord {
  std::vector<platform::FinishedCall> calls;
  platform::RunLedger runs;
  std::vector<AcknowledgedDrain> drains;
  // When each node's process was started, by node.
  std::map<std::size_t, std::vector<TimePoint>> node_starts;
};

// One line for each promise that was broken, with the request or server.
std::vector<std::string> FindBroken(const SoakRecord& record);

// How long a server serves on after it was told that it may leave.
inline constexpr Duration kDrainTime = std::chrono::seconds(2);

}  // namespace bulrushmount::soak

#endif  // BULRUSHMOUNT_SOAK_VERDICTS_H_
