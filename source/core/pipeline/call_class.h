// Calls that are expected to fare alike.

#ifndef BULRUSHMOUNT_CORE_PIPELINE_CALL_CLASS_H_
#define BULRUSHMOUNT_CORE_PIPELINE_CALL_CLASS_H_

#include "core/common/ids.h"

namespace bulrushmount {

struct CallClass {
  ServiceName service;
  KindName kind;

  // By the ids' values: clang-tidy takes the comparison of strong types for a
  // null pointer's.
  friend bool operator<(const CallClass& left, const CallClass& right) {
    const int order = left.service.value().compare(right.service.value());
    return order != 0 ? order < 0
                      : left.kind.value().compare(right.kind.value()) < 0;
  }
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_PIPELINE_CALL_CLASS_H_
