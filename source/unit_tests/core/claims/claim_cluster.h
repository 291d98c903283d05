// Several nodes with their claims over one simulated table. The test chooses
// when each request to the table takes effect and when its reply arrives.

#ifndef BULRUSHMOUNT_UNIT_TESTS_CORE_CLAIMS_CLAIM_CLUSTER_H_
#define BULRUSHMOUNT_UNIT_TESTS_CORE_CLAIMS_CLAIM_CLUSTER_H_

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
  // Applied; the reply is lost.
  kAnswerLost,
  // Never applied; no reply.
  kRequestLost,
  // Timed out; applied at a later step, if ever.
  kAppliedLate,
  kUnavailable,
};
inline constexpr std::size_t kFateCount = 5;

// How a granted call ends.
enum class Ending : std::uint8_t { kFinish, kUnknown, kRelease, kNeverEnds };

// One call and its result.
struct Sent {
  std::size_t node = 0;
  std::string key;
  ClaimId claim;
  std::optional<ClaimResult> result;
  int callbacks = 0;
  bool is_ended = false;
};

class ClaimCluster {
 public:
  explicit ClaimCluster(std::size_t nodes, ClaimSettings settings = {});
  ~ClaimCluster();

  // Makes a call and returns its index in `sends`.
  std::size_t Send(std::size_t node,
                   const std::string& key,
                   std::uint64_t fingerprint = 1);
  // Ends a call with `ending` if it is granted and its node is not frozen:
  // checks the claim before the dispatch and then runs it. With kRelease the
  // target refuses it and it does not run.
  void EndCall(std::size_t sent, Ending ending);
  void EndAllGranted(Ending ending);

  // Resolves the nth request that has not taken effect yet.
  void Resolve(std::size_t nth, Fate fate);
  // Delivers the nth reply in transit to a node that runs.
  void Deliver(std::size_t nth);
  // Applies the nth transaction of fate kAppliedLate.
  void ApplyLate(std::size_t nth);
  // Applies and answers all requests until none is left.
  void DrainAll();
  void Advance(Duration time);
  // Advances the time to the first wakeup that a node needs. Returns false if
  // there is none and no late transaction is left.
  bool AdvanceToNextWakeup();

  void Crash(std::size_t node);
  void SetFrozen(std::size_t node, bool is_frozen);

  ClaimStatus StatusOf(std::size_t sent) const;
  ClaimBook& book(std::size_t node) { return *m_nodes.at(node).book; }
  InMemoryTable& table() { return m_table; }
  TimePoint now() const { return m_now; }
  const std::deque<Sent>& sends() const { return m_sends; }
  std::size_t waiting() const { return m_waiting.size(); }
  // The calls that ran at the targets, by key.
  const std::map<std::string, std::vector<std::size_t>>& runs() const {
    return m_runs;
  }

 private:
  class Port;

  struct Node {
    std::unique_ptr<Port> port;
    std::unique_ptr<SeededRandomSource> random;
    std::unique_ptr<ClaimBook> book;
    // Increases with each crash; replies to an earlier process are dropped.
    int process = 0;
    bool is_frozen = false;
  };

  struct Request {
    std::size_t node = 0;
    int process = 0;
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

// The answer of the target to a call that runs.
StoredAnswer AnswerOfRun(std::size_t sent);

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_UNIT_TESTS_CORE_CLAIMS_CLAIM_CLUSTER_H_
