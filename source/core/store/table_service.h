// Interface of the platform's table service, independent of the adapter.
// Decision modules also take one as an argument: node_logic passes them an
// implementation that emits an action for each request.

#ifndef BULRUSHMOUNT_CORE_STORE_TABLE_SERVICE_H_
#define BULRUSHMOUNT_CORE_STORE_TABLE_SERVICE_H_

#include <functional>

#include "core/common/time.h"
#include "core/store/table_types.h"

namespace bulrushmount {

class TableService {
 public:
  // `now` is the time at which the reply is handled.
  using Callback = std::function<void(TimePoint now, TableReply reply)>;

  virtual ~TableService() = default;

  // Calls `callback` exactly once, never before returning; with kUnknown at the
  // latest when the adapter's time-out expires.
  virtual void Submit(TableRequest request, Callback callback) = 0;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_STORE_TABLE_SERVICE_H_
