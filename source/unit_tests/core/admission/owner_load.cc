// Implements `owner_load.h`.

#include "unit_tests/core/admission/owner_load.h"

#include <chrono>
#include <cmath>
#include <memory>
#include <utility>

#include "core/admission/start_estimate.h"

namespace bulrushmount::testing {

namespace {

using std::chrono_literals::operator""ms;

constexpr Duration kStep = 1ms;
constexpr Duration kDisturbancePeriod = 500ms;
constexpr double kHeldFraction = 1.0 / 8;
constexpr double kHonouredFraction = 1.0 / 3;

}  // namespace

SenderTally& SenderTally::operator+=(const SenderTally& other) {
  sent += other.sent;
  in_time += other.in_time;
  late += other.late;
  refused_on_arrival += other.refused_on_arrival;
  refused_late += other.refused_late;
  failed_groups += other.failed_groups;
  groups += other.groups;
  return *this;
}

OwnerLoadReplay::OwnerLoadReplay(OwnerLoad load)
    : m_load(std::move(load)),
      m_random(m_load.seed),
      m_times(m_load.seed + 1),
      m_retry_times(m_load.seed + 2),
      m_admission(m_load.settings, std::make_unique<FixedLimit>()),
      m_tallies(m_load.senders.size()) {
  m_admission.SetTarget(m_now, m_load.slots, 220);
  for (const Sender& sender : m_load.senders)
    m_next_sent.push_back(m_now + sender.begins + Gap(sender.per_second));
}

const std::vector<SenderTally>& OwnerLoadReplay::Run(Duration length) {
  const TimePoint end = m_now + length;
  while (m_now < end || !m_sent.empty() || !m_retries.empty()) {
    Disturb();
    EndDue();
    RetryDue();
    if (m_now < end)
      SendDue();
    if (m_admission.NextWakeup() && *m_admission.NextWakeup() <= m_now)
      Note(m_admission.OnTimer(m_now));
    m_now += kStep;
  }
  return m_tallies;
}

void OwnerLoadReplay::Disturb() {
  if (m_load.disturbed_share == 0 || m_now < m_next_draw)
    return;
  m_next_draw = m_now + kDisturbancePeriod;
  const bool is_disturbed = m_random.Fraction() < m_load.disturbed_share;
  m_slowdown = is_disturbed ? m_load.slowdown : 1.0;
  Note(m_admission.SetSlowdown(m_now, m_slowdown));
}

void OwnerLoadReplay::SendDue() {
  for (std::size_t index = 0; index < m_load.senders.size(); ++index) {
    const Sender& sender = m_load.senders[index];
    while (m_next_sent[index] <= m_now) {
      if (m_now < m_begun + sender.ends)
        SendGroup(index);
      m_next_sent[index] += Gap(sender.per_second);
    }
  }
}

void OwnerLoadReplay::SendGroup(std::size_t index) {
  const Sender& sender = m_load.senders[index];
  ++m_last_group;
  ++m_tallies[index].groups;
  for (std::size_t count = 0; count < sender.together; ++count) {
    ++m_tallies[index].sent;
    SendAttempt({index, m_last_group, m_now, m_now});
  }
}

void OwnerLoadReplay::SendAttempt(const Sent& sent) {
  const Sender& sender = m_load.senders[sent.sender];
  const Duration elapsed = m_now - sent.first_at;
  AdmissionRequest request;
  request.workspace = WorkspaceName(sender.workspace);
  request.kind = KindName(sender.kind.name);
  request.rank = sender.rank;
  request.share = sender.share;
  request.time_left = sender.kind.deadline - elapsed;
  request.objective_left = sender.kind.objective - elapsed;
  request.is_last_attempt = true;
  request.is_nested = sender.is_nested;
  const WorkId work(++m_last_work);
  m_sent[work] = sent;
  Note(m_admission.Arrive(m_now, work, request));
}

void OwnerLoadReplay::RetryDue() {
  while (!m_retries.empty() && m_retries.begin()->first <= m_now) {
    Sent sent = m_retries.begin()->second;
    m_retries.erase(m_retries.begin());
    sent.at = m_now;
    SendAttempt(sent);
  }
}

bool OwnerLoadReplay::Retry(const Sent& sent) {
  const SentKind& kind = m_load.senders[sent.sender].kind;
  const Duration left = kind.deadline - (m_now - sent.first_at);
  if (!m_load.retry_after || left <= Duration::zero())
    return false;
  const auto after = m_load.retry_after(Report(), left, m_retry_times);
  if (!after || ToSeconds(*after) > kHonouredFraction * ToSeconds(left))
    return false;
  m_retries.emplace(m_now + *after, sent);
  return true;
}

LoadReport OwnerLoadReplay::Report() const {
  LoadReport report = m_admission.load();
  report.slowdown = EstimateSlowdown({.in_flight = report.in_flight,
                                      .queued = report.queued,
                                      .limit = report.limit,
                                      .slots = m_load.slots,
                                      .reported_slowdown = m_slowdown,
                                      .is_reported = true});
  return report;
}

void OwnerLoadReplay::Note(const AdmissionOutput& output) {
  for (const AdmissionRefusal& refusal : output.refuse) {
    const Sent sent = m_sent.at(refusal.work);
    m_sent.erase(refusal.work);
    if (Retry(sent))
      continue;
    const SentKind& kind = m_load.senders[sent.sender].kind;
    const bool is_held =
        ToSeconds(m_now - sent.at) > kHeldFraction * ToSeconds(kind.objective);
    SenderTally& tally = m_tallies[sent.sender];
    ++(is_held ? tally.refused_late : tally.refused_on_arrival);
    FailGroup(sent);
  }
  for (const WorkId work : output.start) {
    const SentKind& kind = m_load.senders[m_sent.at(work).sender].kind;
    const double factor = std::exp(m_load.spread * NormalDeviate());
    m_ends.emplace(
        m_now + FromSeconds(ToSeconds(kind.takes) * factor * m_slowdown), work);
  }
}

void OwnerLoadReplay::EndDue() {
  while (!m_ends.empty() && m_ends.begin()->first <= m_now) {
    const WorkId work = m_ends.begin()->second;
    m_ends.erase(m_ends.begin());
    const Sent sent = m_sent.at(work);
    m_sent.erase(work);
    const SentKind& kind = m_load.senders[sent.sender].kind;
    const Duration took = m_now - sent.first_at;
    SenderTally& tally = m_tallies[sent.sender];
    if (took <= kind.objective)
      ++tally.in_time;
    else if (took <= kind.deadline)
      ++tally.late;
    else
      FailGroup(sent);
    Note(m_admission.OnEnded(m_now, work, WorkEnd::kAnswered));
  }
}

void OwnerLoadReplay::FailGroup(const Sent& sent) {
  if (m_failed_groups.insert(sent.group).second)
    ++m_tallies[sent.sender].failed_groups;
}

Duration OwnerLoadReplay::Gap(double per_second) {
  return FromSeconds(-std::log1p(-m_random.Fraction()) / per_second);
}

// Approximates a normal deviate by the sum of twelve uniform ones.
double OwnerLoadReplay::NormalDeviate() {
  double sum = -6;
  for (int draw = 0; draw < 12; ++draw)
    sum += m_times.Fraction();
  return sum;
}

}  // namespace bulrushmount::testing
