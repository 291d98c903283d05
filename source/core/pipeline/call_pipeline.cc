// Implements `call_pipeline.h`.

#include "core/pipeline/call_pipeline.h"

#include <algorithm>

namespace bulrushmount {

namespace {

TimePoint CurrentDeadline(const Call& call) {
  return call.answer_begun_at ? call.answer_deadline : call.deadline;
}

}  // namespace

void CallPipeline::AddFilter(std::unique_ptr<CallFilter> filter) {
  m_filters.push_back(std::move(filter));
}

void CallPipeline::Start(TimePoint now, CallId id, CallHead head) {
  auto entry = std::make_unique<Entry>();
  entry->call.id = id;
  entry->call.head = std::move(head);
  entry->call.arrived_at = now;
  entry->call.deadline = TimePoint::max();
  m_calls[id] = std::move(entry);
  RunFilters(now, id);
}

void CallPipeline::Resume(TimePoint now, CallId call, FilterVerdict verdict) {
  const auto found = m_calls.find(call);
  if (found == m_calls.end())
    return;
  Entry& entry = *found->second;
  if (entry.is_in_filter) {
    entry.early_verdict = std::move(verdict);
    return;
  }
  if (ApplyVerdict(now, call, verdict))
    RunFilters(now, call);
}

bool CallPipeline::TakePermit(CallId call) {
  Call* found = Find(call);
  if (!found)
    return false;
  found->holds_permit = true;
  return true;
}

void CallPipeline::OnPermitLost(TimePoint now, CallId call) {
  Call* found = Find(call);
  if (!found)
    return;
  // The permit is already lost and must not be released later.
  found->holds_permit = false;
  m_sink.OnPermitLost(now, *found);
}

void CallPipeline::End(TimePoint now, CallId call, const CallEnd& end) {
  const auto found = m_calls.find(call);
  if (found == m_calls.end())
    return;
  // Removed first, so that no callback below can end the call again.
  const std::unique_ptr<Entry> entry = std::move(found->second);
  m_calls.erase(found);
  m_deadlines.Remove(CurrentDeadline(entry->call), call);

  const std::size_t seen =
      std::min(entry->call.next_filter + 1, m_filters.size());
  for (std::size_t index = seen; index-- > 0;)
    m_filters[index]->OnCallEnded(now, entry->call, end);
  m_sink.OnCallEnded(now, entry->call, end);
}

void CallPipeline::ArmDeadline(Call& call) {
  m_deadlines.Add(CurrentDeadline(call), call.id);
}

void CallPipeline::OnAnswerBegun(TimePoint now, Call& call) {
  m_deadlines.Remove(CurrentDeadline(call), call.id);
  call.answer_begun_at = now;
  m_deadlines.Add(CurrentDeadline(call), call.id);
}

Call* CallPipeline::Find(CallId call) {
  const auto found = m_calls.find(call);
  return found == m_calls.end() ? nullptr : &found->second->call;
}

void CallPipeline::OnTimer(TimePoint now) {
  while (const std::optional<CallId> id = m_deadlines.TakeExpired(now)) {
    if (Call* call = Find(*id))
      m_sink.OnDeadline(now, *call);
  }
}

TimePoint CallPipeline::NextWakeup() const {
  return m_deadlines.Next();
}

void CallPipeline::RunFilters(TimePoint now, CallId id) {
  while (true) {
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
      return;
    Entry& entry = *found->second;
    if (entry.call.next_filter == m_filters.size()) {
      m_sink.OnCallAccepted(now, entry.call);
      return;
    }
    if (!ApplyVerdict(now, id, RunFilter(now, entry)))
      return;
  }
}

FilterVerdict CallPipeline::RunFilter(TimePoint now, Entry& entry) {
  entry.early_verdict.reset();
  entry.is_in_filter = true;
  FilterVerdict verdict =
      m_filters[entry.call.next_filter]->OnCall(now, entry.call);
  entry.is_in_filter = false;
  if (std::holds_alternative<HoldCall>(verdict) && entry.early_verdict)
    return *std::exchange(entry.early_verdict, std::nullopt);
  return verdict;
}

bool CallPipeline::ApplyVerdict(TimePoint now,
                                CallId id,
                                const FilterVerdict& verdict) {
  if (std::holds_alternative<HoldCall>(verdict))
    return false;
  if (const auto* ended = std::get_if<EndCall>(&verdict)) {
    End(now, id, ended->end);
    return false;
  }
  ++Find(id)->next_filter;
  return true;
}

}  // namespace bulrushmount
