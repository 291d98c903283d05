// Part of `node_driver.h`.

#include "core/transport/node_driver.h"

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

#include <fmt/format.h>

#include "core/common/logging.h"

namespace bulrushmount {

namespace {

constexpr auto kFlushCheckInterval = std::chrono::milliseconds(5);
constexpr auto kMaxStallCheckInterval = std::chrono::seconds(1);
constexpr int kStallChecksPerTimeout = 4;

// A timer that fires this late means that the process was paused.
constexpr auto kMinPause = std::chrono::milliseconds(100);
// Reading an answer that waits in a socket and passing it on takes fewer
// iterations of the event loop.
constexpr int kRoundsAfterPause = 16;

}  // namespace

NodeDriver::NodeDriver(boost::asio::io_context& context,
                       const DriverSettings& settings,
                       NodeLogicInterface& logic,
                       TableService& table,
                       RandomSource& random)
    : m_context(context),
      m_settings(settings),
      m_logic(logic),
      m_table(table),
      m_client(context.get_executor()),
      m_target(context.get_executor(), *settings.target_dialect),
      m_works(m_target, *this, *settings.target_dialect),
      m_controls(m_works),
      m_calls(context.get_executor(),
              settings.id,
              m_logic,
              m_client,
              m_works,
              *this,
              *settings.caller_dialect),
      m_streams(context, m_controls),
      m_callers(context,
                m_calls,
                random,
                settings.callers,
                *settings.caller_dialect),
      m_gossip(context, *this),
      m_operators(context, settings.operator_token, *this),
      m_targets(context, *this),
      m_prober(context.get_executor(),
               settings.health_path,
               *this,
               *settings.target_dialect),
      m_wakeup_timer(context),
      m_stall_timer(context),
      m_exit_timer(context),
      m_leave_timer(context) {
  AddPages();
  m_client.CountTo(logic.traffic());
  m_streams.CountTo(logic.traffic());
}

NodeDriver::~NodeDriver() = default;

bool NodeDriver::Start() {
  const bool is_open =
      m_streams.Listen(m_settings.stream) && m_gossip.Open(m_settings.gossip) &&
      (!m_settings.has_target_server || m_targets.Listen(m_settings.target)) &&
      m_operators.Listen(m_settings.operators) &&
      m_callers.Listen(m_settings.caller);
  if (!is_open) {
    return false;
  }
  LogLine(LogLevel::kInfo, "node.started")
      .Add("node", m_settings.id)
      .Add("caller", ToString(caller_endpoint()))
      .Add("stream", ToString(stream_endpoint()))
      .Add("gossip", ToString(gossip_endpoint()));
  ArmTimer();
  WatchStalls();
  return true;
}

void NodeDriver::AddPages() {
  m_operators.AddPage("/ready", OperatorServer::Access::kOpen, [this] {
    ControlReply reply;
    const bool is_ready = IsReady();
    reply.status = is_ready ? 200 : 503;
    reply.body = is_ready ? "ready\n" : "not ready\n";
    return reply;
  });
  m_operators.AddPage("/status", OperatorServer::Access::kToken,
                      [this] { return StatusPage(); });
}

ControlReply NodeDriver::StatusPage() {
  ControlReply reply;
  reply.content_type = "application/json";
  reply.body = fmt::format(
      "{{\"node\":\"{}\",\"ready\":{},\"shutting_down\":{},\"calls\":{},"
      "\"works\":{}}}\n",
      m_settings.id, m_logic.IsReady(), m_is_shutting_down, m_calls.size(),
      m_works.size());
  return reply;
}

void NodeDriver::Emit(NodeEvent event) {
  m_events.push_back(std::move(event));
  if (m_is_handling) {
    return;
  }
  m_is_handling = true;
  while (!m_events.empty() && !m_has_ended) {
    NodeEvent next = std::move(m_events.front());
    m_events.pop_front();
    Handle(std::move(next));
  }
  m_is_handling = false;
  ArmTimer();
}

template <typename Action>
void NodeDriver::CarryOut(const Action& action) {
  if constexpr (requires { m_calls.Do(action); }) {
    m_calls.Do(action);
  } else if constexpr (requires { m_works.Do(action); }) {
    m_works.Do(action);
  } else if constexpr (requires { m_operators.Do(action); }) {
    m_operators.Do(action);
  } else {
    Do(action);
  }
}

void NodeDriver::Handle(NodeEvent event) {
  if (const auto* const announced = std::get_if<TargetAnnounced>(&event)) {
    m_target.SetEndpoint(announced->endpoint);
  }
  const std::vector<NodeAction> actions =
      m_logic.Handle(Now(), std::move(event));
  for (const NodeAction& action : actions) {
    std::visit([this](const auto& one) { CarryOut(one); }, action);
  }
}

void NodeDriver::Do(const UseTarget& action) {
  m_target.SetEndpoint(action.endpoint);
}

void NodeDriver::Do(const SetCallerBounds& action) {
  m_callers.SetBounds(action.bounds);
}

void NodeDriver::Do(const SendProbe& action) {
  m_prober.Send(action);
}

void NodeDriver::Do(const SendDatagram& action) {
  m_gossip.Send(action.to, action.bytes);
}

void NodeDriver::Do(const SubmitTableRequest& action) {
  m_table.Submit(action.body,
                 [this, id = action.request](TimePoint, TableReply reply) {
                   Emit(TableReplied{id, std::move(reply)});
                 });
}

void NodeDriver::Do(const ExitProcess&) {
  ExitWhenFlushed();
}

void NodeDriver::ArmTimer() {
  const TimePoint wakeup = m_logic.NextWakeup();
  if (wakeup == m_armed_wakeup || m_is_wakeup_deferred || m_has_ended) {
    return;
  }
  m_armed_wakeup = wakeup;
  if (wakeup == TimePoint::max()) {
    m_wakeup_timer.cancel();
    return;
  }
  m_wakeup_timer.expires_at(wakeup);
  m_wakeup_timer.async_wait(
      [this, wakeup](const boost::system::error_code& error) {
        if (!error)
          OnWakeup(wakeup);
      });
}

// After a pause of the process, the deadlines of requests have passed whose
// answers have arrived meanwhile. These are read first, so that they are
// delivered.
void NodeDriver::OnWakeup(TimePoint planned) {
  m_is_wakeup_deferred = Now() - planned >= kMinPause;
  FireTimer(m_is_wakeup_deferred ? kRoundsAfterPause : 0);
}

void NodeDriver::FireTimer(int rounds) {
  if (rounds > 0) {
    m_wakeup_timer.expires_after(Duration::zero());
    m_wakeup_timer.async_wait(
        [this, rounds](const boost::system::error_code& error) {
          if (!error)
            FireTimer(rounds - 1);
        });
    return;
  }
  m_is_wakeup_deferred = false;
  m_armed_wakeup = TimePoint::max();
  Emit(TimerFired{});
}

void NodeDriver::WatchStalls() {
  const Duration pause =
      std::min<Duration>(m_settings.min_progress_time / kStallChecksPerTimeout,
                         kMaxStallCheckInterval);
  m_stall_timer.expires_after(pause);
  m_stall_timer.async_wait([this](const boost::system::error_code& error) {
    if (error) {
      return;
    }
    m_calls.FindStalled(Now(), m_settings.min_progress_time);
    WatchStalls();
  });
}

void NodeDriver::Shutdown() {
  if (m_has_ended) {
    return;
  }
  if (m_is_shutting_down) {
    LogLine(LogLevel::kWarning, "node.shutdown_forced")
        .Add("calls_cut", m_calls.size())
        .Add("works_cut", m_works.size());
    Exit(false);
    return;
  }
  m_is_shutting_down = true;
  m_forced_exit_at = Now() + m_settings.longest_leave;
  LogLine(LogLevel::kInfo, "node.shutting_down")
      .Add("calls", m_calls.size())
      .Add("works", m_works.size());
  m_callers.CloseAfterAnswers();
  StopAcceptingAfter(m_settings.leave_time);
  Emit(ShutdownRequested{});
}

void NodeDriver::StopAcceptingAfter(Duration time) {
  if (time <= Duration::zero()) {
    StopAccepting();
    return;
  }
  m_leave_timer.expires_after(time);
  m_leave_timer.async_wait([this](const boost::system::error_code& error) {
    if (!error && !m_has_ended)
      StopAccepting();
  });
}

void NodeDriver::StopAccepting() {
  m_callers.Drain();
  m_streams.Drain();
}

void NodeDriver::ExitWhenFlushed() {
  const bool is_flushed = m_calls.size() == 0 && m_works.size() == 0 &&
                          m_callers.IsIdle() && m_streams.IsIdle();
  // Without the time limit, one call whose target never answers would keep the
  // process running until it is killed, which cuts all other connections
  // without a log entry.
  if (is_flushed || Now() >= m_forced_exit_at) {
    Exit(is_flushed);
    return;
  }
  m_exit_timer.expires_after(kFlushCheckInterval);
  m_exit_timer.async_wait([this](const boost::system::error_code& error) {
    if (!error && !m_has_ended) {
      ExitWhenFlushed();
    }
  });
}

void NodeDriver::Exit(bool is_clean) {
  if (std::exchange(m_has_ended, true)) {
    return;
  }
  LogLine(LogLevel::kInfo, "node.ended")
      .Add("clean", is_clean)
      .Add("calls", m_calls.size())
      .Add("works", m_works.size());
  m_wakeup_timer.cancel();
  m_stall_timer.cancel();
  m_exit_timer.cancel();
  m_leave_timer.cancel();
  m_callers.Close();
  m_streams.Close();
  m_client.Close();
  m_gossip.Close();
  m_operators.Close();
  m_targets.Close();
  if (m_on_exit) {
    m_on_exit(is_clean);
  }
}

}  // namespace bulrushmount
