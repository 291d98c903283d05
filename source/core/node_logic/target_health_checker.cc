// Implements `target_health_checker.h`.

#include "core/node_logic/target_health_checker.h"

#include <chrono>
#include <utility>

#include "core/node_logic/actions.h"

namespace bulrushmount::detail {

namespace {

// Distinguishes the probes of this object from those of the measuring budget.
constexpr std::uint64_t kOwnProbeFlag = std::uint64_t{1} << 63;

// A target on the same machine answers a probe within milliseconds; one that
// does not is probed again at its next heartbeat.
constexpr Duration kHealthTimeout = std::chrono::milliseconds(300);

// A health endpoint on the same machine answers within 1 to 6 ms. A request
// waits at most this long, then the last known speed is used.
constexpr Duration kSpeedTimeout = std::chrono::milliseconds(20);

// A process that has ended refuses a connection at once. The failure of a
// request is reported at most this much later.
constexpr Duration kProcessTimeout = std::chrono::milliseconds(20);

}  // namespace

bool TargetHealthChecker::IsOwn(ProbeId probe) {
  return (probe.value() & kOwnProbeFlag) != 0;
}

void TargetHealthChecker::CheckHealth(TimePoint now,
                                      const TargetHeartbeat& target) {
  Send(now, target, kHealthTimeout);
}

bool TargetHealthChecker::CheckSpeed(TimePoint now,
                                     const TargetHeartbeat& target) {
  if (!m_speed_probe)
    m_speed_probe = Send(now, target, kSpeedTimeout);
  return IsCheckingSpeed();
}

bool TargetHealthChecker::CheckProcess(TimePoint now,
                                       const TargetHeartbeat& target) {
  if (m_process_probe)
    return true;
  m_process_probe = Send(now, target, kProcessTimeout);
  m_process_checked_at = now;
  return m_process_probe.has_value();
}

TimePoint TargetHealthChecker::EndProcessCheck() {
  m_process_probe.reset();
  return m_process_checked_at;
}

std::vector<WorkId> TargetHealthChecker::Release() {
  m_speed_probe.reset();
  return std::exchange(m_held, {});
}

// Without a configured path the probe would request a page that the target does
// not have, and a healthy target would count as unhealthy until its next
// heartbeat.
std::optional<ProbeId> TargetHealthChecker::Send(TimePoint now,
                                                 const TargetHeartbeat& target,
                                                 Duration timeout) {
  const ServiceProfile* const profile = m_routes.FindService(target.service);
  if (!profile)
    return std::nullopt;
  SendProbe probe;
  probe.probe = ProbeId(kOwnProbeFlag | ++m_last_probe);
  probe.endpoint = target.endpoint;
  probe.path = profile->health_path;
  probe.valid_until = now + timeout;
  probe.gives_up_at = now + timeout;
  const ProbeId id = probe.probe;
  m_actions.Push(std::move(probe));
  return id;
}

}  // namespace bulrushmount::detail
