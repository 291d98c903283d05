// Calls that are expected to fare alike.

#ifndef BULRUSHMOUNT_CORE_PIPELINE_CALL_CLASS_H_
#define BULRUSHMOUNT_CORE_PIPELINE_CALL_CLASS_H_

#include <compare>

#include "core/common/ids.h"

namespace bulrushmount {

struct CallClass {
  ServiceName service;
  KindName kind;

  friend auto operator<=>(const CallClass&, const CallClass&) = default;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_PIPELINE_CALL_CLASS_H_
