// The plan of the load generator: the kinds of requests and the schedule on
// which they are sent.

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

// One kind of request and its share of the load.
struct LoadKind {
  std::string name;
  std::string method;
  std::string path;
  // Share of this kind, relative to the weights of the other kinds.
  double weight = 1.0;
  // Whether each request has an `Idempotency-Key` of its own.
  bool has_key = false;
  std::size_t body_size = 0;
};

// Parses "name method path weight [key] [body N]", where N is the body size in
// bytes. Returns nothing if `text` has another form.
std::optional<LoadKind> ParseLoadKind(std::string_view text);

// Reads one kind per line, without empty lines and lines that start with #.
// Throws std::runtime_error that names the first invalid line.
std::vector<LoadKind> ReadMixFile(const std::string& path);

struct LoadOptions {
  std::vector<Endpoint> entries;
  std::string workspace;
  std::string service;
  // Requests per second, bursts not counted.
  double rate = 100.0;
  Duration duration = std::chrono::seconds(10);
  std::vector<LoadKind> kinds;
  std::uint64_t seed = 1;
  // Sends `burst_size` requests at once, every `burst_interval`.
  Duration burst_interval{};
  std::uint32_t burst_size = 0;
  // A request without an answer after this time counts as having no outcome.
  Duration timeout = std::chrono::seconds(30);
  std::size_t max_connections = 2000;
  // Sent as `Bulrushmount-Deadline-Ms`.
  std::optional<std::uint64_t> deadline_ms;
  // Whether the entries are targets in place of nodes.
  bool is_direct = false;
};

// Produces send times relative to the start, in order: Poisson arrivals merged
// with periodic bursts.
class ArrivalSchedule {
 public:
  explicit ArrivalSchedule(const LoadOptions& options);

  // Returns nothing once the duration has passed.
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
