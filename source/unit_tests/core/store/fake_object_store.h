// An in-memory object store for unit tests of any module, with the same faults
// as the fake table.

#ifndef BULRUSHMOUNT_UNIT_TESTS_CORE_STORE_FAKE_OBJECT_STORE_H_
#define BULRUSHMOUNT_UNIT_TESTS_CORE_STORE_FAKE_OBJECT_STORE_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <string>

#include "core/store/in_memory_object_store.h"
#include "core/store/object_store.h"
#include "unit_tests/core/store/fake_table_service.h"

namespace bulrushmount {

// A request takes effect when it is made; its reply is delivered by
// `DeliverNext`.
class FakeObjectStore : public ObjectStore {
 public:
  void Get(const std::string& key, Callback callback) override;
  void Put(const std::string& key,
           std::string bytes,
           Callback callback) override;
  void PutIfAbsent(const std::string& key,
                   std::string bytes,
                   Callback callback) override;

  // Applies to every request from now on.
  void SetFault(TableFault fault) { m_fault = fault; }

  // Delivers the oldest reply; false if there is none.
  bool DeliverNext(TimePoint now);

  InMemoryObjects& objects() { return m_objects; }

 private:
  struct Pending {
    ObjectReply reply;
    Callback callback;
  };

  // Runs `apply` unless the fault prevents the request from taking effect.
  void Submit(const std::function<ObjectReply()>& apply, Callback callback);

  InMemoryObjects m_objects;
  std::deque<Pending> m_pending;
  TableFault m_fault = TableFault::kNone;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_UNIT_TESTS_CORE_STORE_FAKE_OBJECT_STORE_H_
