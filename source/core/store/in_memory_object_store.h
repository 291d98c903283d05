// In-memory objects for the platform stand-in and the tests.

#ifndef BULRUSHMOUNT_CORE_STORE_IN_MEMORY_OBJECT_STORE_H_
#define BULRUSHMOUNT_CORE_STORE_IN_MEMORY_OBJECT_STORE_H_

#include <map>
#include <string>

namespace bulrushmount {

class InMemoryObjects {
 public:
  // Valid until the object is written again; null if it does not exist.
  const std::string* Find(const std::string& key) const;
  void Put(const std::string& key, std::string bytes);
  // Returns false and leaves the object unchanged if it exists.
  bool PutIfAbsent(const std::string& key, const std::string& bytes);

 private:
  std::map<std::string, std::string> m_objects;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_STORE_IN_MEMORY_OBJECT_STORE_H_
