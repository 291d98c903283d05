// The interface through which the driver's components report events to the
// decision logic.

#ifndef BULRUSHMOUNT_CORE_TRANSPORT_EVENT_SINK_H_
#define BULRUSHMOUNT_CORE_TRANSPORT_EVENT_SINK_H_

#include "core/node_logic/events.h"

namespace bulrushmount {

class EventSink {
 public:
  virtual ~EventSink() = default;

  // Carries out the event's actions before it returns. If it is called while an
  // action is being carried out, the event is queued and processed afterwards.
  virtual void Emit(NodeEvent event) = 0;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TRANSPORT_EVENT_SINK_H_
