// Interface of the source that a node reads its configuration from when no peer
// can provide it.

#ifndef BULRUSHMOUNT_CORE_CONTRACTS_CONFIG_READER_H_
#define BULRUSHMOUNT_CORE_CONTRACTS_CONFIG_READER_H_

#include <functional>
#include <optional>

#include "core/common/time.h"
#include "core/contracts/config_types.h"
#include "core/evacuation/evacuation_types.h"

namespace bulrushmount {

struct ConfigReadResult {
  // False if there was no response or an invalid one.
  bool is_ok = false;
  // Empty if there is no newer configuration.
  std::optional<ConfigBatch> batch;
  // The operator has not written a document yet, so the configuration is
  // unknown. This differs from a known configuration without contracts.
  bool is_unwritten = false;
  // Empty if the reader does not read evacuations, or there was no valid
  // response.
  std::optional<EvacuationRead> evacuations{};
};

class ConfigReader {
 public:
  using Callback = std::function<void(TimePoint now, ConfigReadResult result)>;

  virtual ~ConfigReader() = default;

  virtual bool is_reading() const = 0;

  // Reads the changes after `since`. Only one read at a time.
  virtual void Read(Revision since, Callback done) = 0;

  // Whether the reader can wait for changes; otherwise it must be polled.
  virtual bool can_watch() const { return false; }

  // Calls `done` when there is a newer configuration, or at the end of a wait
  // without one. If the result is not ok, a change may have been missed and the
  // caller must read again. Only one watch at a time, and only after a read
  // that was ok.
  virtual void Watch(Revision since, const Callback& done) {}
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_CONTRACTS_CONFIG_READER_H_
