// Parses request kinds and draws the arrival times.

#include "stand_ins/load_plan.h"

#include <fstream>
#include <sstream>
#include <stdexcept>

#include <fmt/format.h>

namespace bulrushmount {

std::optional<LoadKind> ParseLoadKind(std::string_view text) {
  std::istringstream words{std::string(text)};
  LoadKind kind;
  words >> kind.name >> kind.method >> kind.path >> kind.weight;
  if (!words || kind.weight <= 0.0 || !kind.path.starts_with('/')) {
    return std::nullopt;
  }
  std::string word;
  while (words >> word) {
    if (word == "key") {
      kind.has_key = true;
    } else if (word != "body" || !(words >> kind.body_size)) {
      return std::nullopt;
    }
  }
  return kind;
}

std::vector<LoadKind> ReadMixFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    throw std::runtime_error("cannot read " + path);
  }
  std::vector<LoadKind> kinds;
  std::string line;
  for (int number = 1; std::getline(file, line); ++number) {
    if (line.empty() || line[0] == '#') {
      continue;
    }
    const auto kind = ParseLoadKind(line);
    if (!kind) {
      throw std::runtime_error(
          fmt::format("{}:{}: invalid request kind", path, number));
    }
    kinds.push_back(*kind);
  }
  return kinds;
}

ArrivalSchedule::ArrivalSchedule(const LoadOptions& options)
    : m_rate(options.rate),
      m_duration(options.duration),
      m_burst_interval(options.burst_interval),
      m_burst_size(options.burst_size),
      m_random(options.seed),
      m_next_burst(options.burst_interval),
      m_burst_left(options.burst_size) {
  DrawNextPoisson();
}

std::optional<Duration> ArrivalSchedule::Next() {
  const bool has_bursts =
      m_burst_size > 0 && m_burst_interval > Duration::zero();
  const bool is_burst = has_bursts && m_next_burst <= m_next_poisson;
  const Duration next = is_burst ? m_next_burst : m_next_poisson;
  if (next >= m_duration) {
    return std::nullopt;
  }
  if (!is_burst) {
    DrawNextPoisson();
  } else if (--m_burst_left == 0) {
    m_burst_left = m_burst_size;
    m_next_burst += m_burst_interval;
  }
  return next;
}

void ArrivalSchedule::DrawNextPoisson() {
  if (m_rate <= 0.0) {
    m_next_poisson = Duration::max();
    return;
  }
  std::exponential_distribution<double> gap(m_rate);
  m_next_poisson += FromSeconds(gap(m_random));
}

}  // namespace bulrushmount
