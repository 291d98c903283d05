// Decides which requests run on a target and when. It runs on the target's
// owner node, which handles every request of the target, so its counts are
// exact.

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
#include "core/admission/slowdown_baseline.h"
#include "core/admission/start_gate.h"
#include "core/admission/workspace_shares.h"
#include "core/common/decaying_sum.h"
#include "core/common/ids.h"
#include "core/common/outcome.h"
#include "core/common/time.h"
#include "core/node_logic/call_types.h"

namespace bulrushmount {

struct AdmissionRequest {
  WorkspaceName workspace;
  KindName kind;
  double weight = 1.0;
  // Share of the workspace's contract, which weights it against other
  // workspaces.
  double share = 1.0;
  Rank rank = 0;
  // Time until the first byte of the answer must arrive.
  Duration time_left{};
  // Time until the answer has little value to the caller; empty if there is no
  // objective.
  std::optional<Duration> objective_left{};
  // The request is refused if it has not started by then, since it can still be
  // in time on another target; 0 if it may wait as long as others.
  Duration max_hold{};
  // The entry will not try another target if this one refuses it.
  bool is_last_attempt = false;
  // The request may have crashed a target; at most one such request runs on a
  // target at a time.
  bool is_suspect = false;
  // A call that a target makes while it serves another request.
  bool is_nested = false;
};

struct AdmissionRefusal {
  WorkId work;
  Reason reason = Reason::kNone;

  friend bool operator==(const AdmissionRefusal&,
                         const AdmissionRefusal&) = default;
};

// Actions for the caller to take now. Refused works are removed and were not
// handed to the target; started ones hold a slot until `OnEnded` or
// `OnCancelled`.
struct AdmissionOutput {
  std::vector<WorkId> start;
  std::vector<AdmissionRefusal> refuse;
};

// Outcome of a started work.
enum class WorkEnd : std::uint8_t {
  kAnswered,
  // The target shed it or the connection failed, so it is no sample of the
  // target's speed.
  kNotRun,
  // The connection was lost during the exchange.
  kFailed,
};

struct AdmissionSettings {
  // Maximum queue length, as a multiple of the limit.
  double queue_per_slot = 8.0;
  // Maximum wait in the queue, as multiples of the mean slot time. Short, since
  // another target may be free; a last attempt waits longer, so that it
  // outlasts a burst.
  double max_wait = 2.0;
  double max_wait_of_last_attempt = 20.0;
  // Fraction of its time left for which a last attempt may always wait. A
  // refused caller retries after a second or never, so refusing it after
  // milliseconds of the seconds it has saves nothing. The fraction is small
  // because under a lasting overload every last attempt waits this long.
  double min_wait_of_time_left = 0.02;
  // The same before the target's first answer. After all nodes restart, owners
  // have no service times, and would refuse callers within milliseconds that
  // have seconds left.
  double min_wait_before_first_answer = 0.25;
  // Fraction of recent time with waiting works above which the load counts as a
  // lasting overload. Long waits help in a burst, but not then.
  double overload_fraction = 0.75;
  // Time constant of that fraction.
  Duration overload_time_constant = std::chrono::milliseconds(400);
  // Time for which a class of works counts as present after its last arrival: a
  // few times what the longest requests take.
  Duration presence_time = std::chrono::seconds(2);
  // Assumed service time of a request of weight 1 before the first answer.
  Duration initial_service_time = std::chrono::milliseconds(10);
  // Multiple of its baseline slowdown from which a target counts as disturbed,
  // and no work is started on it. A request's service time is determined when
  // it starts, so a request that starts on a disturbed target holds its slot
  // for as long as several others would.
  double hold_from_slowdown = 2.0;
  // Delay between the target's answer and its arrival at the caller, over two
  // nodes of a busy fleet and the network between them.
  Duration response_delay = std::chrono::milliseconds(8);
  // Whether works that would be in time by the mean service time, but probably
  // are not because of its spread, go after those that probably are.
  bool uses_likely_times = true;
  // Part of the longest wait in time up to which a workspace that exceeds its
  // fair share is accepted under a lasting overload; the rest is left to
  // workspaces with low demand. With 0.4, slots are idle more often.
  double excess_wait_fraction = 0.6;
  // Whether requests of workspaces that have an objective are accepted or
  // refused on arrival: under a lasting overload a last attempt may wait as
  // long as it is in time, and a work that has waited for an eighth of its
  // objective is not refused for lack of capacity. The latter also applies to
  // nested calls.
  bool decides_on_arrival = true;
  // Window of SlowdownBaseline.
  Duration baseline_window = std::chrono::milliseconds(1500);
};

// Each work that arrives is either refused, started once or cancelled, except
// that a started work may still be cancelled. A work is started or refused in
// the output of its arrival, or waits in a bounded queue.
class Admission {
 public:
  // Refuses all works until `SetTarget`. `gate` must outlive the object; if it
  // is null, only the slots limit starts.
  Admission(const AdmissionSettings& settings,
            std::unique_ptr<ConcurrencyLimit> limit,
            StartGate* gate = nullptr);

  Admission(const Admission&) = delete;
  Admission& operator=(const Admission&) = delete;

  // The target announced itself, for the first time or with new figures.
  // Reopens the admission after `Drain`.
  AdmissionOutput SetTarget(TimePoint now,
                            std::uint32_t slots,
                            std::uint32_t connections);

  // Sets the slowdown that the target reports, as a multiple of its normal
  // service time.
  AdmissionOutput SetSlowdown(TimePoint now, double slowdown);
  // Sets whether the target is in its cold start. Its slowdown is then not
  // treated as short interference.
  void SetCold(bool is_cold);
  // Whether works are held back because the target is disturbed.
  bool is_holding() const { return m_is_holding; }

  // Refuses waiting and new works; running ones continue.
  AdmissionOutput Drain(TimePoint now, Reason reason = Reason::kDraining);

  AdmissionOutput Arrive(TimePoint now,
                         WorkId work,
                         const AdmissionRequest& request);

  // Handles the first byte of the target's answer. Call it before `OnEnded`. A
  // server error is no sample of the target's speed, since it can be faster or
  // slower than an answer for unrelated reasons.
  void OnAnswerBegun(TimePoint now, WorkId work, bool is_server_error);
  AdmissionOutput OnEnded(TimePoint now, WorkId work, WorkEnd end);
  // Cancels a waiting or a started work; ignores unknown ones.
  AdmissionOutput OnCancelled(TimePoint now, WorkId work);

  // This process did not run for `length` until `now`. Answers that arrived
  // meanwhile are handled late, so the works in progress are no samples of the
  // target's speed.
  void OnPaused(TimePoint now, Duration length);

  // Refuses works that can no longer be served. Call it at `NextWakeup`.
  AdmissionOutput OnTimer(TimePoint now);
  std::optional<TimePoint> NextWakeup() const;

  // Number of works ahead of a new one of this class.
  std::size_t QueuedUpTo(const WorkClass& work_class) const {
    return m_queue.CountUpTo(work_class);
  }
  // The counts are exact. The limit is 0 while the target accepts no new works.
  LoadReport load() const;
  // As announced; 0 before the first announcement.
  std::uint32_t slots() const { return m_slots; }

 private:
  // A few times the duration of a nested call.
  static constexpr Duration kNestedDemandTime = std::chrono::milliseconds(150);

  struct Running {
    KindName kind;
    double weight = 1.0;
    TimePoint started_at;
    std::uint32_t in_flight_at_start = 0;
    double slowdown_at_start = 1.0;
    bool is_suspect = false;
    bool is_answer_begun = false;
    bool is_server_error = false;
    // The process was paused while the work ran.
    bool is_time_unknown = false;
  };

  struct ClassHistory {
    // Fraction of recent time, as of m_histories_updated_at, during which works
    // of this class or of more urgent ones waited. Less urgent works do not
    // make a class overloaded, since they are allowed to wait.
    double waiting_fraction = 0;
    TimePoint last_arrival;
  };

  // Whether nested calls ask for less than most of the slots' time, so that a
  // lasting overload is not theirs.
  bool DoNestedCallsFit() const;
  // Whether the class has a lasting overload, in which longer waits do not
  // help. A class is not overloaded while less urgent works are present, since
  // it gets the slots that these free.
  bool IsOverloaded(const WorkClass& work_class) const;
  // The same, whether or not less urgent works are present.
  bool IsBacklogged(const WorkClass& work_class) const;
  std::uint32_t Limit() const;
  std::size_t MaxQueue() const;
  Duration MaxWaitOf(TimePoint now, const AdmissionRequest& request) const;
  // Longest wait of a request under a lasting overload; empty if it is none, or
  // if the request is not decided on arrival.
  std::optional<Duration> OverloadWaitOf(TimePoint now,
                                         const AdmissionRequest& request) const;
  bool DecidesOnArrival(const AdmissionRequest& request) const;
  // The request's rank; the most urgent one if its workspace is underserved,
  // and the least urgent one present if its workspace exceeds its fair share.
  Rank RankOf(TimePoint now, const AdmissionRequest& request) const;
  // Whether the workspace stays within its fair share with this request.
  bool IsWithinShare(TimePoint now, const AdmissionRequest& request) const;
  // Longest wait after which an average answer is in time.
  Duration InTimeWaitOf(const AdmissionRequest& request) const;
  // Whether the work may no longer be refused for lack of capacity.
  bool IsDecided(TimePoint now, const QueuedWork& work) const;
  void UpdateHistories(TimePoint now);

  // Updates the queue and starts or refuses works after any event.
  AdmissionOutput Reschedule(TimePoint now);
  // Time from a start to the arrival of the answer at the caller, without
  // interference.
  Duration TimeOf(Duration undisturbed) const;
  // The same for a work, such that it is likely enough.
  Duration LikelyTimeOf(const QueuedWork& work) const;
  Timeliness TimelinessOf(TimePoint now, const QueuedWork& work) const;
  // Whether some waiting work would be late if the earliest objective went
  // first, so that the order between workspaces matters.
  bool IsContended(TimePoint now) const;
  void RefuseUnservable(TimePoint now, AdmissionOutput& output);
  void StartEligible(TimePoint now, AdmissionOutput& output);
  void RefuseOverflow(TimePoint now, AdmissionOutput& output);
  // The work to refuse because the queue is too long; empty if it is not.
  std::optional<WorkId> FindOverflow(TimePoint now) const;
  void ScheduleWakeup(TimePoint now);

  bool IsDisturbed() const;
  // The target's slowdown without interference.
  double BaselineSlowdown() const;
  void Start(TimePoint now, const QueuedWork& work);
  void Release(const Running& running);

  // Expected number of slots that become free a second.
  double ReleaseRate(TimePoint now) const;
  // Time until the work with `ahead` others before it may start; 0 if it may
  // now.
  Duration ExpectedWait(TimePoint now,
                        double release_rate,
                        std::size_t ahead) const;
  // The same considering only the slots, not the gate.
  Duration WaitForSlot(double release_rate, std::size_t ahead) const;
  TimePoint LatestStart(TimePoint now, const QueuedWork& work) const;
  // Whether the work cannot start although a slot is free.
  bool IsBlocked(const QueuedWork& work) const;
  // Why the work must be refused; empty if it may wait or start.
  std::optional<Reason> RefusalReason(TimePoint now,
                                      const QueuedWork& work,
                                      Duration wait) const;

  AdmissionSettings m_settings;
  std::unique_ptr<ConcurrencyLimit> m_limit;
  OpenStartGate m_open_gate;
  StartGate& m_gate;
  ServiceTimes m_service_times;
  WorkspaceShares m_shares;
  RankedQueue m_queue;
  std::unordered_map<WorkId, Running> m_running;
  // Number of suspects in m_running; at most 1.
  std::uint32_t m_suspects_running = 0;
  std::uint32_t m_slots = 0;
  std::uint32_t m_connections = 0;
  bool m_is_open = false;
  // Reason for refusing works that arrive while the admission is closed.
  Reason m_closed_reason = Reason::kDraining;
  // Slot time that nested calls recently asked for, in seconds.
  DecayingSum m_nested_demand{kNestedDemandTime};
  std::map<WorkClass, ClassHistory> m_histories;
  TimePoint m_histories_updated_at;
  std::optional<TimePoint> m_next_wakeup;
  double m_slowdown = 1.0;
  SlowdownBaseline m_slowdown_baseline;
  bool m_is_cold = false;
  // Lowest slowdown reported during the cold start; empty outside of one.
  std::optional<double> m_cold_slowdown;
  bool m_is_holding = false;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_ADMISSION_ADMISSION_H_
