// Objects in memory: what the platform stand-in and the tests keep them in.

#ifndef BULRUSHMOUNT_CORE_STORE_IN_MEMORY_OBJECT_STORE_H_
#define BULRUSHMOUNT_CORE_STORE_IN_MEMORY_OBJECT_STORE_H_

#include <map>
#include <string>

namespace bulrushmount {

class InMemoryObjects {
 public:
  // Valid until the object is put again; null if there is none.
  const std::string* Find(const std::string& key) const;
  void Put(const std::string& key, std::string bytes);
  // False if the object exists; it is left as it is.
  bool PutIfAbsent(const std::string& key, const std::string& bytes);

 private:
  std::map<std::string, std::string> m_objects;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_STORE_IN_MEMORY_OBJECT_STORE_H_
