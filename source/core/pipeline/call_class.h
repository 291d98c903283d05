// Groups calls of one service and kind, which are expected to get similar
// results.

#ifndef BULRUSHMOUNT_CORE_PIPELINE_CALL_CLASS_H_
#define BULRUSHMOUNT_CORE_PIPELINE_CALL_CLASS_H_

#include "core/common/ids.h"

namespace bulrushmount {

struct CallClass {
  ServiceName service;
  KindName kind;

  // Compares the underlying values because clang-tidy mistakes a comparison of
  // strong types for a null pointer comparison.
  friend bool operator<(const CallClass& left, const CallClass& right) {
    const int order = left.service.value().compare(right.service.value());
    return order != 0 ? order < 0
                      : left.kind.value().compare(right.kind.value()) < 0;
  }
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_PIPELINE_CALL_CLASS_H_
