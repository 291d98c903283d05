// Interface for the time since the configuration in force was confirmed as the
// newest.

#ifndef BULRUSHMOUNT_CORE_CONTRACTS_CONFIRMATION_SOURCE_H_
#define BULRUSHMOUNT_CORE_CONTRACTS_CONFIRMATION_SOURCE_H_

#include <optional>

#include "core/common/time.h"

namespace bulrushmount {

class ConfirmationSource {
 public:
  virtual ~ConfirmationSource() = default;

  // Empty if the configuration was never confirmed.
  virtual std::optional<Duration> AgeOfConfirmation(TimePoint now) const = 0;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_CONTRACTS_CONFIRMATION_SOURCE_H_
