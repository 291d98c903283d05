// Decides, at the owner of a target, which requests run on it and when. The
// owner sees every request that the target runs, so its counts are exact.

#ifndef BULRUSHMOUNT_CORE_ADMISSION_ADMISSION_H_
#define BULRUSHMOUNT_CORE_ADMISSION_ADMISSION_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/admission/concurrency_limit.h"
#include "core/admission/ranked_queue.h"
#include "core/admission/service_times.h"
#include "core/admission/start_gate.h"
#include "core/admission/usual_speed.h"
#include "core/common/ids.h"
#include "core/common/outcome.h"
#include "core/common/time.h"
#include "core/node_logic/call_types.h"

namespace bulrushmount {

struct AdmissionRequest {
  WorkspaceName workspace;
  KindName kind;
  double weight = 1.0;
  // Of the workspace's contract; weighs workspaces against each other.
  double share = 1.0;
  Rank rank = 0;
  // Until the first byte of the answer must come.
  Duration time_left{};
  // Until the answer is worth little; empty if it never is.
  std::optional<Duration> objective_left{};
  // Refused if it has not started by then, since it can be in time elsewhere;
  // 0: it may wait as long as others.
  Duration max_hold{};
  // The entry will not send it elsewhere if it is refused here.
  bool is_last_attempt = false;
  // At most one suspect of crashing its target runs at a time.
  bool is_suspect = false;
};

struct AdmissionRefusal {
  WorkId work;
  Reason reason = Reason::kNone;

  friend bool operator==(const AdmissionRefusal&,
                         const AdmissionRefusal&) = default;
};

// What is to be done now. Refused works are forgotten, and were not handed to
// the target; started ones hold a slot until `OnEnded` or `OnCancelled`.
struct AdmissionOutput {
  std::vector<WorkId> start;
  std::vector<AdmissionRefusal> refuse;
};

// What became of a started work.
enum class WorkEnd : std::uint8_t {
  kAnswered,
  // The target shed it, or could not be connected to: it says nothing of the
  // target's speed.
  kNotRun,
  // The exchange broke off.
  kFailed,
};

struct AdmissionSettings {
  // Longest queue, as a multiple of the limit.
  double queue_per_slot = 8.0;
  // Longest wait in the queue, as multiples of the mean time of a request.
  // Short, since another target may be free; a last attempt waits out a burst.
  double max_wait = 2.0;
  double max_wait_of_last_attempt = 20.0;
  // A last attempt may always wait for this part of its time: a caller that is
  // refused comes back after a second or never, so to refuse one after
  // milliseconds of seconds wins nothing. Small, since under a lasting overload
  // all of them would wait for so long.
  double least_wait_of_time_left = 0.02;
  // The same until the target's first answer. After a restart of all, owners
  // know nothing of the times, and would turn callers away within milliseconds
  // who have seconds left.
  double least_wait_before_first_answer = 0.25;
  // A burst passes; once works have waited for this fraction of the recent
  // time, the load is too high, and long waits would be for nothing.
  double overload_fraction = 0.75;
  // Time constant of "recent".
  Duration overload_memory = std::chrono::milliseconds(400);
  // A rank counts as present for this long after its last arrival: a few times
  // what the longest requests take.
  Duration rank_memory = std::chrono::seconds(2);
  // Until the first answer, the time taken for a request of weight 1.
  Duration initial_service_time = std::chrono::milliseconds(10);
  // From this multiple of its usual slowdown on a target counts as disturbed,
  // and nothing is started on it: how long a request takes is settled
  // when it starts, and one that starts then holds its slot for as long as
  // several others would.
  double hold_from_slowdown = 2.0;
  // Between the target's answer and the caller: two nodes of a busy fleet, and
  // the way between them.
  Duration way_back = std::chrono::milliseconds(8);
  // What would be in time in the mean, but likely is not, goes behind what
  // likely is.
  bool expects_spread = true;
  // What is told for one to two times this long is the usual.
  Duration usual_window = std::chrono::milliseconds(1500);
};

// Each work that arrives is refused, or started once, or cancelled; never two
// of them, but that a started work may be cancelled. A work that arrives is
// started or refused in the same output, or waits in a bounded queue.
class Admission {
 public:
  // Takes nothing until `SetTarget`. `gate` must outlive the object; null
  // leaves it to the slots when a work starts.
  Admission(const AdmissionSettings& settings,
            std::unique_ptr<ConcurrencyLimit> limit,
            StartGate* gate = nullptr);

  Admission(const Admission&) = delete;
  Admission& operator=(const Admission&) = delete;

  // The target announced itself, for the first time or with other figures.
  // Opens the admission again after `Drain`.
  AdmissionOutput SetTarget(TimePoint now,
                            std::uint32_t slots,
                            std::uint32_t connections);

  // The target's own word on its speed, as a multiple of its usual time.
  AdmissionOutput SetSlowdown(TimePoint now, double slowdown);
  // Whether the target is in its cold start. Its slowdown is then no
  // interference that passes in a moment.
  void SetCold(bool is_cold);
  // Works wait for the target to be undisturbed.
  bool is_holding() const { return m_is_holding; }

  // Refuses what waits and what comes; what runs goes on.
  AdmissionOutput Drain(TimePoint now, Reason reason = Reason::kDraining);

  AdmissionOutput Arrive(TimePoint now,
                         WorkId work,
                         const AdmissionRequest& request);

  // The first byte of the target's answer. Call it before `OnEnded`. A server
  // error, being fast or slow for reasons of its own, says nothing of the
  // target's speed.
  void OnAnswerBegun(TimePoint now, WorkId work, bool is_server_error);
  AdmissionOutput OnEnded(TimePoint now, WorkId work, WorkEnd end);
  // Of a waiting or of a started work; unknown ones are ignored.
  AdmissionOutput OnCancelled(TimePoint now, WorkId work);

  // To be called at `NextWakeup`; refuses what has become hopeless.
  AdmissionOutput OnTimer(TimePoint now);
  std::optional<TimePoint> NextWakeup() const;

  // Works that a new one of this rank would wait behind.
  std::size_t QueuedUpTo(Rank rank) const { return m_queue.CountUpTo(rank); }
  // Exact. The limit is 0 while the target takes no new work.
  LoadReport load() const;
  // As announced; 0 before that.
  std::uint32_t slots() const { return m_slots; }

 private:
  struct Running {
    KindName kind;
    double weight = 1.0;
    TimePoint started_at;
    std::uint32_t in_flight_at_start = 0;
    double slowdown_at_start = 1.0;
    bool is_suspect = false;
    bool is_answer_begun = false;
    bool is_server_error = false;
  };

  struct RankHistory {
    // Fraction of the recent time during which works of this rank or of more
    // urgent ones waited, as of m_noted_at. What is less urgent makes no rank
    // overloaded: it waits because it may.
    double waiting_fraction = 0;
    TimePoint last_arrival;
  };

  // Whether waits are for nothing. A rank before which less urgent works give
  // way gets the slots that those free, so its load is not too high yet.
  bool IsOverloaded(Rank rank) const;
  std::uint32_t Limit() const;
  std::size_t MaxQueue() const;
  Duration MaxWaitOf(const AdmissionRequest& request) const;
  void NoteQueue(TimePoint now);

  // Brings queue and slots in order after any event.
  AdmissionOutput Settle(TimePoint now);
  Prospect ProspectOf(TimePoint now, const QueuedWork& work) const;
  void RefuseUnservable(TimePoint now, AdmissionOutput& output);
  void StartWhatFits(TimePoint now, AdmissionOutput& output);
  void RefuseOverflow(AdmissionOutput& output);
  void PlanWakeup(TimePoint now);

  bool IsDisturbed() const;
  // The target's slowdown when nothing interferes.
  double UsualSlowdown() const;
  void Start(TimePoint now, const QueuedWork& work);
  void Release(const Running& running);

  // Slots that are expected to come free, a second.
  double ReleaseRate(TimePoint now) const;
  // Until the work behind `ahead` others may start; 0 if it may now.
  Duration ExpectedWait(TimePoint now,
                        double release_rate,
                        std::size_t ahead) const;
  // The same by the slots alone.
  Duration WaitForSlot(double release_rate, std::size_t ahead) const;
  TimePoint LatestStart(const QueuedWork& work) const;
  // Whether it cannot start although a slot is free.
  bool IsBlocked(const QueuedWork& work) const;
  // Empty while the work may wait or start.
  std::optional<Reason> WhyUnservable(TimePoint now,
                                      const QueuedWork& work,
                                      Duration wait) const;

  AdmissionSettings m_settings;
  std::unique_ptr<ConcurrencyLimit> m_limit;
  OpenStartGate m_open_gate;
  StartGate& m_gate;
  ServiceTimes m_service_times;
  RankedQueue m_queue;
  std::unordered_map<WorkId, Running> m_running;
  // Of m_running; at most 1.
  std::uint32_t m_suspects_running = 0;
  std::uint32_t m_slots = 0;
  std::uint32_t m_connections = 0;
  bool m_is_open = false;
  // What arrives while it is not open is refused with this.
  Reason m_closed_reason = Reason::kDraining;
  std::map<Rank, RankHistory> m_rank_histories;
  TimePoint m_noted_at;
  std::optional<TimePoint> m_next_wakeup;
  double m_slowdown = 1.0;
  UsualSpeed m_usual;
  bool m_is_cold = false;
  // The least slowdown reported during the cold start; empty outside of one.
  std::optional<double> m_cold_slowdown;
  bool m_is_holding = false;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_ADMISSION_ADMISSION_H_
