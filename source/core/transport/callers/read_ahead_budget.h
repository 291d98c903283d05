// Limits how many requests a node runs ahead of their turn, over all
// connections.
//
// Load pattern: every caller pipelines many requests behind one whose answer
// does not come. The answer of each request that runs ahead is buffered until
// the earlier ones are complete, so without a limit over all connections the
// answers would exhaust the node's memory.

#ifndef BULRUSHMOUNT_CORE_TRANSPORT_CALLERS_READ_AHEAD_BUDGET_H_
#define BULRUSHMOUNT_CORE_TRANSPORT_CALLERS_READ_AHEAD_BUDGET_H_

#include <cstddef>
#include <memory>
#include <utility>

namespace bulrushmount {

class ReadAheadBudget : public std::enable_shared_from_this<ReadAheadBudget> {
 public:
  // One unit of the budget, returned on destruction. May be empty.
  class Slot {
   public:
    Slot() = default;
    ~Slot() { Release(); }

    Slot(Slot&& other) noexcept : m_budget(std::move(other.m_budget)) {}
    Slot& operator=(Slot&& other) noexcept {
      Release();
      m_budget = std::move(other.m_budget);
      return *this;
    }

    void Release() {
      if (const auto budget = std::exchange(m_budget, nullptr))
        --budget->m_slots_in_use;
    }

    explicit operator bool() const { return m_budget != nullptr; }

   private:
    friend class ReadAheadBudget;
    explicit Slot(std::shared_ptr<ReadAheadBudget> budget)
        : m_budget(std::move(budget)) {}

    std::shared_ptr<ReadAheadBudget> m_budget;
  };

  explicit ReadAheadBudget(std::size_t limit) : m_limit(limit) {}

  bool has_room() const { return m_slots_in_use < m_limit; }

  // Returns an empty slot if the budget is used up.
  Slot Take() {
    if (!has_room())
      return Slot();
    ++m_slots_in_use;
    return Slot(shared_from_this());
  }

 private:
  std::size_t m_limit;
  // At most m_limit.
  std::size_t m_slots_in_use = 0;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TRANSPORT_CALLERS_READ_AHEAD_BUDGET_H_
