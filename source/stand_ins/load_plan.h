// What the caller load sends: the kinds of requests and when they arrive.

#ifndef BULRUSHMOUNT_STAND_INS_LOAD_PLAN_H_
#define BULRUSHMOUNT_STAND_INS_LOAD_PLAN_H_

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/endpoint.h"
#include "core/common/time.h"

namespace bulrushmount {

struct LoadKind {
  std::string name;
  std::string method;
  std::string path;
  // Relative to the other kinds'.
  double weight = 1.0;
  // Sends an `Idempotency-Key` of its own with each request.
  bool has_key = false;
  std::size_t body_size = 0;
};

// "name method path weight [key] [body N]"; empty if it is not of that form.
std::optional<LoadKind> ParseLoadKind(std::string_view text);

// One kind a line; empty lines and those that start with # do not count.
// Throws std::runtime_error that names the first line that is wrong.
std::vector<LoadKind> ReadMixFile(const std::string& path);

struct LoadOptions {
  std::vector<Endpoint> entries;
  std::string workspace;
  std::string service;
  // Requests a second, bursts not counted.
  double rate = 100.0;
  Duration duration = std::chrono::seconds(10);
  std::vector<LoadKind> kinds;
  std::uint64_t seed = 1;
  // `burst_size` requests at one moment, each `burst_interval`.
  Duration burst_interval{};
  std::uint32_t burst_size = 0;
  // A request without any answer by then counts as having no outcome.
  Duration timeout = std::chrono::seconds(30);
  std::size_t max_connections = 2000;
  // Sent as `Bulrushmount-Deadline-Ms`.
  std::optional<std::uint64_t> deadline_ms;
  // Straight to targets.
  bool is_direct = false;
};

// Moments relative to the start, in order: Poisson arrivals joined by bursts.
class ArrivalSchedule {
 public:
  explicit ArrivalSchedule(const LoadOptions& options);

  // Empty once the duration is over.
  std::optional<Duration> Next();

 private:
  void DrawNextPoisson();

  double m_rate;
  Duration m_duration;
  Duration m_burst_interval;
  std::uint32_t m_burst_size;
  std::mt19937_64 m_random;
  Duration m_next_poisson{};
  Duration m_next_burst{};
  std::uint32_t m_burst_left;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_STAND_INS_LOAD_PLAN_H_
