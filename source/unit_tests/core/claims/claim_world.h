// Several nodes with their claims over one table, for tests: each step between
// a request's submission, its effect and its answer is the test's to choose.

#ifndef BULRUSHMOUNT_UNIT_TESTS_CORE_CLAIMS_CLAIM_WORLD_H_
#define BULRUSHMOUNT_UNIT_TESTS_CORE_CLAIMS_CLAIM_WORLD_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/claims/claim_book.h"
#include "core/store/in_memory_table.h"

namespace bulrushmount {

enum class Fate : std::uint8_t {
  kAnswered,
  // Applied; the answer is lost.
  kAnswerLost,
  // Never applied; no answer.
  kRequestLost,
  // Timed out; applied at a later step, if ever.
  kLandsLate,
  kDown,
};
inline constexpr std::size_t kFateCount = 5;

// How a granted call goes on.
enum class Ending : std::uint8_t { kFinish, kUnknown, kRelease, kNeverEnds };

// One send of a caller, and what became of it.
struct Sent {
  std::size_t node = 0;
  std::string key;
  ClaimId claim;
  std::optional<ClaimResult> result;
  int callbacks = 0;
  bool is_ended = false;
};

class ClaimWorld {
 public:
  explicit ClaimWorld(std::size_t nodes, ClaimSettings settings = {});
  ~ClaimWorld();

  // The index of the send.
  std::size_t Send(std::size_t node,
                   const std::string& key,
                   std::uint64_t fingerprint = 1);
  // Carries the call on, if it is granted and its node runs: asks before the
  // dispatch, and runs it (kRelease: refused by the target, not run).
  void GoOn(std::size_t sent, Ending ending);
  void EndAllGranted(Ending ending);

  // The nth request that waits for its effect.
  void Settle(std::size_t nth, Fate fate);
  // The nth reply on its way to a node that runs.
  void Deliver(std::size_t nth);
  // A transaction of fate kLandsLate takes effect.
  void Land(std::size_t nth);
  // All requests are applied and answered until none is left.
  void DrainAll();
  void Pass(Duration time);
  // To the first wakeup that a node asks for; false if none does and nothing
  // is to land.
  bool PassToNextWakeup();

  void Crash(std::size_t node);
  void SetFrozen(std::size_t node, bool is_frozen);

  ClaimStatus StatusOf(std::size_t sent) const;
  ClaimBook& book(std::size_t node) { return *m_nodes.at(node).book; }
  InMemoryTable& table() { return m_table; }
  TimePoint now() const { return m_now; }
  const std::deque<Sent>& sends() const { return m_sends; }
  std::size_t waiting() const { return m_waiting.size(); }
  // The ledger of the targets: which sends ran, by key.
  const std::map<std::string, std::vector<std::size_t>>& runs() const {
    return m_runs;
  }

 private:
  class Port;

  struct Node {
    std::unique_ptr<Port> port;
    std::unique_ptr<SeededRandomSource> random;
    std::unique_ptr<ClaimBook> book;
    // Rises at a crash: replies to an earlier life reach nobody.
    int life = 0;
    bool is_frozen = false;
  };

  struct Request {
    std::size_t node = 0;
    int life = 0;
    TableRequest body;
    TableService::Callback callback;
  };

  struct Delivery {
    Request request;
    TableReply reply;
  };

  void Start(std::size_t node);
  bool IsDeliverable(const Delivery& delivery) const;

  ClaimSettings m_settings;
  TimePoint m_now{std::chrono::hours(1)};
  InMemoryTable m_table;
  std::vector<Node> m_nodes;
  std::uint64_t m_seed = 0;
  std::deque<Request> m_waiting;
  std::deque<Delivery> m_deliveries;
  std::deque<TableRequest> m_late;
  std::deque<Sent> m_sends;
  std::map<std::string, std::vector<std::size_t>> m_runs;
};

// What a target answers to a send that runs.
StoredAnswer AnswerOfRun(std::size_t sent);

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_UNIT_TESTS_CORE_CLAIMS_CLAIM_WORLD_H_
