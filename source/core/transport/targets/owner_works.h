// The owner's side of the driver: sends the requests that reach this node to
// its target and relays the answers to the entries.

#ifndef BULRUSHMOUNT_CORE_TRANSPORT_TARGETS_OWNER_WORKS_H_
#define BULRUSHMOUNT_CORE_TRANSPORT_TARGETS_OWNER_WORKS_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_map>

#include "core/common/ids.h"
#include "core/node_logic/actions.h"
#include "core/transport/event_sink.h"
#include "core/transport/peers/node_stream.h"
#include "core/transport/targets/target_client.h"

namespace bulrushmount {

class OwnerWorks : public WorkAcceptor {
 public:
  // All must outlive the object.
  OwnerWorks(TargetClient& target,
             EventSink& events,
             const TargetDialect& dialect = DefaultTargetDialect());
  ~OwnerWorks() override;

  OwnerWorks(const OwnerWorks&) = delete;
  OwnerWorks& operator=(const OwnerWorks&) = delete;

  void OnWork(std::shared_ptr<WorkStream> stream) override;

  // An action for a work that has ended has no effect.
  void Do(const HandToTarget& action);
  void Do(const RefuseWork& action);
  void Do(const RelayWork& action);
  void Do(const FailWork& action);
  void Do(const CancelWork& action);

  std::size_t size() const { return m_works.size(); }

 private:
  class Work;

  std::shared_ptr<Work> Find(WorkId id);
  std::shared_ptr<Work> Take(WorkId id);

  TargetClient& m_target;
  EventSink& m_events;
  const TargetDialect& m_dialect;
  std::uint64_t m_last_id = 0;
  std::unordered_map<WorkId, std::shared_ptr<Work>> m_works;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TRANSPORT_TARGETS_OWNER_WORKS_H_
