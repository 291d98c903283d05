// Interface of the platform's object store, independent of the adapter. It
// holds data too large for a table row.

#ifndef BULRUSHMOUNT_CORE_STORE_OBJECT_STORE_H_
#define BULRUSHMOUNT_CORE_STORE_OBJECT_STORE_H_

#include <cstdint>
#include <functional>
#include <string>

#include "core/common/time.h"

namespace bulrushmount {

enum class ObjectStatus : std::uint8_t {
  kOk,
  // Get: there is no such object.
  kNotFound,
  // PutIfAbsent: the object exists and was left unchanged.
  kExists,
  // A put may or may not have taken effect.
  kUnknown,
  // The request certainly had no effect.
  kUnavailable,
};

struct ObjectReply {
  ObjectStatus status = ObjectStatus::kUnknown;
  // Content of the object, only for a get with kOk.
  std::string bytes;
};

class ObjectStore {
 public:
  // `now` is the time at which the reply is handled.
  using Callback = std::function<void(TimePoint now, ObjectReply reply)>;

  virtual ~ObjectStore() = default;

  // Each call invokes `callback` exactly once, never before returning. Keys and
  // objects may contain any bytes.
  virtual void Get(const std::string& key, Callback callback) = 0;
  virtual void Put(const std::string& key,
                   std::string bytes,
                   Callback callback) = 0;
  virtual void PutIfAbsent(const std::string& key,
                           std::string bytes,
                           Callback callback) = 0;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_STORE_OBJECT_STORE_H_
