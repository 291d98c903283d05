// Part of `router.h`.

#include "core/routing/router.h"

#include <utility>

namespace bulrushmount {

Router::Router(PickerFactory make_picker)
    : m_make_picker(std::move(make_picker)) {}

void Router::Update(const ServiceName& service, const Candidate& candidate) {
  const auto found = m_service_of.find(candidate.node);
  if (found != m_service_of.end() && *found->second != service)
    Remove(candidate.node);
  const auto place = m_services.try_emplace(service).first;
  Service& entry = place->second;
  if (!entry.picker)
    entry.picker = m_make_picker();
  if (m_service_of.try_emplace(candidate.node, &place->first).second)
    ++entry.targets;
  entry.picker->Update(candidate);
}

void Router::Remove(NodeId node) {
  const auto found = m_service_of.find(node);
  if (found == m_service_of.end())
    return;
  const auto service = m_services.find(*found->second);
  m_service_of.erase(found);
  service->second.picker->Remove(node);
  if (--service->second.targets == 0)
    m_services.erase(service);
}

std::size_t Router::TargetsOf(const ServiceName& service) const {
  const auto found = m_services.find(service);
  return found == m_services.end() ? 0 : found->second.targets;
}

std::optional<NodeId> Router::Pick(TimePoint now,
                                   const ServiceName& service,
                                   const PickRequest& request,
                                   RandomSource& random) {
  const auto found = m_services.find(service);
  if (found == m_services.end())
    return std::nullopt;
  return found->second.picker->Pick(now, request, random);
}

void Router::OnSent(const Dispatch& dispatch) {
  if (TargetPicker* picker = PickerOf(dispatch.node))
    picker->OnSent(dispatch);
}

void Router::OnAnswerBegun(TimePoint now,
                           Dispatch& dispatch,
                           const LoadReport& load,
                           AnswerQuality quality) {
  if (TargetPicker* picker = PickerOf(dispatch.node))
    picker->OnAnswerBegun(now, dispatch, load, quality);
}

void Router::OnEnded(TimePoint now,
                     const Dispatch& dispatch,
                     const LoadReport& load) {
  if (TargetPicker* picker = PickerOf(dispatch.node))
    picker->OnEnded(now, dispatch, load);
}

void Router::OnRefused(TimePoint now,
                       const Dispatch& dispatch,
                       Reason reason,
                       const LoadReport& load) {
  if (TargetPicker* picker = PickerOf(dispatch.node))
    picker->OnRefused(now, dispatch, reason, load);
}

void Router::OnLost(TimePoint now, const Dispatch& dispatch) {
  if (TargetPicker* picker = PickerOf(dispatch.node))
    picker->OnLost(now, dispatch);
}

void Router::OnSilent(TimePoint now, const Dispatch& dispatch) {
  if (TargetPicker* picker = PickerOf(dispatch.node))
    picker->OnSilent(now, dispatch);
}

void Router::OnCancelled(TimePoint now, const Dispatch& dispatch) {
  if (TargetPicker* picker = PickerOf(dispatch.node))
    picker->OnCancelled(now, dispatch);
}

void Router::OnPaused(TimePoint now) {
  for (auto& [name, service] : m_services)
    service.picker->OnPaused(now);
}

TargetPicker* Router::PickerOf(NodeId node) {
  const auto found = m_service_of.find(node);
  if (found == m_service_of.end())
    return nullptr;
  return m_services.find(*found->second)->second.picker.get();
}

}  // namespace bulrushmount
