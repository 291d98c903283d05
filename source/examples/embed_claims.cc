// Example: embeds the idempotency claims in another program, which supplies the
// table, the clock and the random source. Two claim books act as two processes
// that receive the same booking: one executes it, the other is refused
// meanwhile and replays the stored answer later. Exits with 1 if this fails.

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

// A table that queues requests and replies to them in ReplyToAll, because
// Submit must not call back before it returns.
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

// A requested claim and its result, empty while there is none.
struct ClaimAttempt {
  ClaimId claim;
  std::optional<ClaimResult> result;
};

// Requests the claim and delivers the table's replies. A real program returns
// to its event loop in between and calls OnTimer at the time given by
// NextWakeup.
ClaimAttempt Acquire(ClaimBook& book, QueuedTable& table, TimePoint now) {
  ClaimRequest request;
  request.workspace = WorkspaceName("studio");
  request.key = IdempotencyKey("booking-1");
  request.fingerprint = Fingerprint(42);
  request.deadline = now + std::chrono::seconds(2);
  request.retention = std::chrono::hours(24);
  ClaimAttempt attempt;
  attempt.claim = book.Acquire(
      now, request, [&attempt](TimePoint, const ClaimResult& result) {
        attempt.result = result;
      });
  table.ReplyToAll(now);
  return attempt;
}

bool ExecutesExactlyOnce() {
  TimePoint now = Now();
  const WallAnchor wall{now, std::chrono::system_clock::now()};
  SeededRandomSource random(SystemSeed());
  QueuedTable table;
  ClaimBook first(ClaimSettings(), table, random, wall);
  ClaimBook second(ClaimSettings(), table, random, wall);

  const ClaimAttempt granted = Acquire(first, table, now);
  const bool may_execute = granted.result &&
                           granted.result->status == ClaimStatus::kGranted &&
                           first.CheckBeforeDispatch(now, granted.claim);
  const ClaimAttempt concurrent = Acquire(second, table, now);
  const bool is_refused = concurrent.result &&
                          concurrent.result->status == ClaimStatus::kInProgress;

  // The booking would be executed here. Its answer is stored for repeated
  // requests.
  first.Finish(now, granted.claim, StoredAnswer{200, "text/plain", "booth 2"});
  now = first.NextWakeup();
  first.OnTimer(now);
  table.ReplyToAll(now);

  const ClaimAttempt repeated = Acquire(second, table, now);
  const bool is_replayed = repeated.result &&
                           repeated.result->status == ClaimStatus::kFinished &&
                           repeated.result->answer.body == "booth 2";
  std::cout << "granted once: " << may_execute
            << "\nrefused meanwhile: " << is_refused
            << "\nreplayed after: " << is_replayed << "\n";
  return may_execute && is_refused && is_replayed;
}

}  // namespace
}  // namespace bulrushmount

int main() {
  return bulrushmount::ExecutesExactlyOnce() ? EXIT_SUCCESS : EXIT_FAILURE;
}
