// Embedding one part: the idempotency claims in a program of one's own, which
// brings its table, its clock and its random source. Two claim books stand for
// two processes that get the same booking; one of them runs it, and the other
// replays the answer. Exits with 1 if that is not so.

#include <chrono>
#include <cstdlib>
#include <deque>
#include <iostream>
#include <optional>
#include <utility>

#include "core/claims/claim_book.h"
#include "core/common/random.h"
#include "core/store/in_memory_table.h"
#include "core/store/table_service.h"

namespace bulrushmount {
namespace {

// A table that replies when it is told to: Submit must never call back before
// it returns.
class QueuedTable : public TableService {
 public:
  void Submit(TableRequest request, Callback callback) override {
    m_waiting.push_back({std::move(request), std::move(callback)});
  }

  void ReplyToAll(TimePoint now) {
    while (!m_waiting.empty()) {
      const Waiting next = std::move(m_waiting.front());
      m_waiting.pop_front();
      next.callback(now, m_table.Apply(next.request));
    }
  }

 private:
  struct Waiting {
    TableRequest request;
    Callback callback;
  };

  InMemoryTable m_table;
  std::deque<Waiting> m_waiting;
};

struct Claimed {
  ClaimId claim;
  std::optional<ClaimResult> result;
};

// Asks for the claim and waits for the answer. A real program returns to its
// event loop in between, and calls OnTimer at NextWakeup.
Claimed Acquire(ClaimBook& book, QueuedTable& table, TimePoint now) {
  ClaimRequest request;
  request.workspace = WorkspaceName("studio");
  request.key = IdempotencyKey("booking-1");
  request.fingerprint = Fingerprint(42);
  request.deadline = now + std::chrono::seconds(2);
  request.retention = std::chrono::hours(24);
  Claimed claimed;
  claimed.claim = book.Acquire(
      now, request, [&claimed](TimePoint, const ClaimResult& result) {
        claimed.result = result;
      });
  table.ReplyToAll(now);
  return claimed;
}

bool RunsOnce() {
  TimePoint now = Now();
  const WallAnchor wall{now, std::chrono::system_clock::now()};
  SeededRandomSource random(SystemSeed());
  QueuedTable table;
  ClaimBook first(ClaimSettings(), table, random, wall);
  ClaimBook second(ClaimSettings(), table, random, wall);

  const Claimed granted = Acquire(first, table, now);
  const bool may_run = granted.result &&
                       granted.result->status == ClaimStatus::kGranted &&
                       first.CheckBeforeDispatch(now, granted.claim);
  const Claimed meanwhile = Acquire(second, table, now);
  const bool is_refused =
      meanwhile.result && meanwhile.result->status == ClaimStatus::kInProgress;

  // The booking runs here, and its answer is kept for repeats.
  first.Finish(now, granted.claim, StoredAnswer{200, "text/plain", "booth 2"});
  now = first.NextWakeup();
  first.OnTimer(now);
  table.ReplyToAll(now);

  const Claimed repeat = Acquire(second, table, now);
  const bool is_replayed = repeat.result &&
                           repeat.result->status == ClaimStatus::kFinished &&
                           repeat.result->answer.body == "booth 2";
  std::cout << "granted once: " << may_run
            << "\nrefused meanwhile: " << is_refused
            << "\nreplayed after: " << is_replayed << "\n";
  return may_run && is_refused && is_replayed;
}

}  // namespace
}  // namespace bulrushmount

int main() {
  return bulrushmount::RunsOnce() ? EXIT_SUCCESS : EXIT_FAILURE;
}
