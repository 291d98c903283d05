// Part of `target_inquiry.h`.

#include "core/node_logic/target_inquiry.h"

#include <chrono>
#include <utility>

#include "core/node_logic/actions.h"

namespace bulrushmount::detail {

namespace {

// Marks the probes of this object among those of the measuring budget.
constexpr std::uint64_t kOwnProbes = std::uint64_t{1} << 63;

// A target on the same machine answers a probe in milliseconds; one that does
// not is left to its next heartbeat.
constexpr Duration kHealthTimeout = std::chrono::milliseconds(300);

// A health endpoint on the same machine answers in one to six milliseconds. A
// request waits no longer than this for it, and then goes by what is known.
constexpr Duration kSpeedTimeout = std::chrono::milliseconds(20);

}  // namespace

bool TargetInquiry::IsOwn(ProbeId probe) {
  return (probe.value() & kOwnProbes) != 0;
}

void TargetInquiry::AskHealth(TimePoint now, const TargetHeartbeat& target) {
  Send(now, target, kHealthTimeout);
}

bool TargetInquiry::AskSpeed(TimePoint now, const TargetHeartbeat& target) {
  if (!m_speed_probe)
    m_speed_probe = Send(now, target, kSpeedTimeout);
  return IsAskingSpeed();
}

std::vector<WorkId> TargetInquiry::Release() {
  m_speed_probe.reset();
  return std::exchange(m_held, {});
}

// Symptom without a path: the probe would ask for a page that the target does
// not have, and a sound target would look unhealthy until its next heartbeat.
std::optional<ProbeId> TargetInquiry::Send(TimePoint now,
                                           const TargetHeartbeat& target,
                                           Duration patience) {
  const ServiceProfile* const profile = m_routes.FindService(target.service);
  if (!profile)
    return std::nullopt;
  SendProbe probe;
  probe.probe = ProbeId(kOwnProbes | ++m_last_probe);
  probe.endpoint = target.endpoint;
  probe.path = profile->health_path;
  probe.valid_until = now + patience;
  probe.gives_up_at = now + patience;
  const ProbeId id = probe.probe;
  m_actions.Push(std::move(probe));
  return id;
}

}  // namespace bulrushmount::detail
