// Replays a load of several senders at one owner in virtual time and counts how
// their requests end.

#ifndef BULRUSHMOUNT_UNIT_TESTS_CORE_ADMISSION_OWNER_LOAD_H_
#define BULRUSHMOUNT_UNIT_TESTS_CORE_ADMISSION_OWNER_LOAD_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/admission/admission.h"
#include "core/common/random.h"

namespace bulrushmount::testing {

struct SentKind {
  const char* name;
  Duration takes;
  Duration objective;
  Duration deadline;
};

// Requests of one kind of one workspace, as a Poisson process.
struct Sender {
  std::string workspace;
  SentKind kind;
  // Groups per second, while they are sent.
  double per_second = 0;
  Rank rank = 0;
  double share = 1.0;
  bool is_nested = false;
  // Requests that are sent together; their caller needs all of the answers.
  std::size_t together = 1;
  Duration begins{};
  Duration ends = std::chrono::hours(1);
};

// How the requests of a sender ended.
struct SenderTally {
  int sent = 0;
  int in_time = 0;
  // Answered after the objective and before the deadline.
  int late = 0;
  // Refused within an eighth of the objective, and later.
  int refused_on_arrival = 0;
  int refused_late = 0;
  // Groups of which a request was refused or answered after its deadline.
  int failed_groups = 0;
  int groups = 0;

  int answered() const { return in_time + late; }
  double served() const {
    return sent == 0 ? 1.0 : static_cast<double>(answered()) / sent;
  }
  SenderTally& operator+=(const SenderTally& other);
};

// When callers that were refused try again. They honour a Retry-After up to a
// third of their remaining time; empty: they do not retry.
using RetryAfter = std::function<std::optional<Duration>(const LoadReport& load,
                                                         Duration left,
                                                         RandomSource& random)>;

struct OwnerLoad {
  std::uint32_t slots = 6;
  std::vector<Sender> senders;
  // Service times vary by the factor exp(spread * normal deviate).
  double spread = 0.2;
  // Probability of each half second that other processes slow the target down,
  // and by which factor.
  double disturbed_share = 0;
  double slowdown = 7;
  AdmissionSettings settings{};
  std::uint64_t seed = 5;
  RetryAfter retry_after{};
};

class OwnerLoadReplay {
 public:
  explicit OwnerLoadReplay(OwnerLoad load);

  // Sends for `length` and continues until all requests have ended. Returns the
  // tallies in the order of the senders.
  const std::vector<SenderTally>& Run(Duration length);

 private:
  struct Sent {
    std::size_t sender = 0;
    std::size_t group = 0;
    // Of the first attempt and of the latest.
    TimePoint first_at;
    TimePoint at;
  };

  void SendDue();
  void SendGroup(std::size_t sender);
  void SendAttempt(const Sent& sent);
  void RetryDue();
  void EndDue();
  void Disturb();
  void Note(const AdmissionOutput& output);
  // Whether the refused request will be sent again.
  bool Retry(const Sent& sent);
  LoadReport Report() const;
  void FailGroup(const Sent& sent);
  Duration Gap(double per_second);
  double NormalDeviate();

  OwnerLoad m_load;
  SeededRandomSource m_random;
  SeededRandomSource m_times;
  SeededRandomSource m_retry_times;
  Admission m_admission;
  TimePoint m_begun{std::chrono::seconds(1)};
  TimePoint m_now = m_begun;
  TimePoint m_next_draw = m_begun;
  double m_slowdown = 1.0;
  std::vector<TimePoint> m_next_sent;
  std::uint64_t m_last_work = 0;
  std::size_t m_last_group = 0;
  std::map<WorkId, Sent> m_sent;
  std::multimap<TimePoint, Sent> m_retries;
  std::set<std::size_t> m_failed_groups;
  std::set<std::pair<TimePoint, WorkId>> m_ends;
  std::vector<SenderTally> m_tallies;
};

// The sum of the tallies whose sender satisfies `predicate`.
template <typename Predicate>
SenderTally SumOf(const OwnerLoad& load,
                  const std::vector<SenderTally>& tallies,
                  const Predicate& predicate) {
  SenderTally sum;
  for (std::size_t index = 0; index < tallies.size(); ++index) {
    if (predicate(load.senders[index]))
      sum += tallies[index];
  }
  return sum;
}

}  // namespace bulrushmount::testing

#endif  // BULRUSHMOUNT_UNIT_TESTS_CORE_ADMISSION_OWNER_LOAD_H_
