// Owns the pickers of all services: maps each node's target to its service, and
// forwards every event to that service's picker.

#ifndef BULRUSHMOUNT_CORE_ROUTING_ROUTER_H_
#define BULRUSHMOUNT_CORE_ROUTING_ROUTER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

#include "core/common/ids.h"
#include "core/routing/target_picker.h"

namespace bulrushmount {

class Router {
 public:
  using PickerFactory = std::function<std::unique_ptr<TargetPicker>()>;

  // `make_picker` creates the picker of a service when its first target is
  // added.
  explicit Router(PickerFactory make_picker);

  // Adds or updates the target of a node. A node has one target, so an update
  // with another service moves it there.
  void Update(const ServiceName& service, const Candidate& candidate);
  // The node's target accepts no more work, or the node has left.
  void Remove(NodeId node);

  // Number of targets of the service: a call that has tried all of them has no
  // other target left.
  std::size_t TargetsOf(const ServiceName& service) const;

  // Empty if the service has no target that is not excluded.
  std::optional<NodeId> Pick(TimePoint now,
                             const ServiceName& service,
                             const PickRequest& request,
                             RandomSource& random);

  // As in `TargetPicker`.
  void OnSent(const Dispatch& dispatch);
  void OnAnswerBegun(TimePoint now,
                     Dispatch& dispatch,
                     const LoadReport& load,
                     AnswerQuality quality);
  void OnEnded(TimePoint now, const Dispatch& dispatch, const LoadReport& load);
  void OnRefused(TimePoint now,
                 const Dispatch& dispatch,
                 Reason reason,
                 const LoadReport& load);
  void OnLost(TimePoint now, const Dispatch& dispatch);
  void OnSilent(TimePoint now, const Dispatch& dispatch);
  void OnCancelled(TimePoint now, const Dispatch& dispatch);
  void OnPaused(TimePoint now);

 private:
  struct Service {
    std::unique_ptr<TargetPicker> picker;
    std::size_t targets = 0;
  };

  TargetPicker* PickerOf(NodeId node);

  PickerFactory m_make_picker;
  // Holds a service exactly while it has targets. References to its keys are
  // stable, so `m_service_of` may point at the names.
  std::unordered_map<ServiceName, Service> m_services;
  std::unordered_map<NodeId, const ServiceName*> m_service_of;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_ROUTING_ROUTER_H_
