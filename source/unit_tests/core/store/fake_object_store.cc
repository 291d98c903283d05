// Queues replies until a test delivers them.

#include "unit_tests/core/store/fake_object_store.h"

#include <utility>

namespace bulrushmount {

void FakeObjectStore::Get(const std::string& key, Callback callback) {
  const auto apply = [&] {
    const std::string* const bytes = m_objects.Find(key);
    return bytes == nullptr ? ObjectReply{ObjectStatus::kNotFound, {}}
                            : ObjectReply{ObjectStatus::kOk, *bytes};
  };
  Submit(apply, std::move(callback));
}

void FakeObjectStore::Put(const std::string& key,
                          std::string bytes,
                          Callback callback) {
  const auto apply = [&] {
    m_objects.Put(key, std::move(bytes));
    return ObjectReply{ObjectStatus::kOk, {}};
  };
  Submit(apply, std::move(callback));
}

void FakeObjectStore::PutIfAbsent(const std::string& key,
                                  std::string bytes,
                                  Callback callback) {
  const auto apply = [&] {
    const bool is_put = m_objects.PutIfAbsent(key, bytes);
    const ObjectStatus status =
        is_put ? ObjectStatus::kOk : ObjectStatus::kExists;
    return ObjectReply{status, {}};
  };
  Submit(apply, std::move(callback));
}

bool FakeObjectStore::DeliverNext(TimePoint now) {
  if (m_pending.empty()) {
    return false;
  }
  Pending next = std::move(m_pending.front());
  m_pending.pop_front();
  next.callback(now, std::move(next.reply));
  return true;
}

void FakeObjectStore::Submit(const std::function<ObjectReply()>& apply,
                             Callback callback) {
  ObjectReply reply;
  if (m_fault == TableFault::kDown) {
    reply.status = ObjectStatus::kUnavailable;
  } else if (m_fault == TableFault::kNone) {
    reply = apply();
  } else if (m_fault == TableFault::kAnswerLost) {
    apply();
  }
  m_pending.push_back({std::move(reply), std::move(callback)});
}

}  // namespace bulrushmount
