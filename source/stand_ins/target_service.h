// The HTTP service of `target_stand_in`: runs requests on a fixed number of
// slots, records each in its ledger and injects the faults that a test requests
// by path, body or /control.

#ifndef BULRUSHMOUNT_STAND_INS_TARGET_SERVICE_H_
#define BULRUSHMOUNT_STAND_INS_TARGET_SERVICE_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>

#include "core/common/time.h"
#include "stand_ins/http_server.h"
#include "stand_ins/ledger.h"

namespace bulrushmount {

enum class ServiceTimeShape : std::uint8_t {
  kConstant,
  kExponential,
  kLogNormal
};

struct TargetOptions {
  Endpoint listen;
  std::uint32_t slots = 12;
  Duration service_time{};
  ServiceTimeShape shape = ServiceTimeShape::kExponential;
  std::uint64_t incarnation = 0;
  std::uint64_t seed = 1;
  // File to append the ledger to; none if empty.
  std::string ledger_file;
};

// Settings that a test changes at run time. PUT /control sets those named in
// its JSON body.
struct TargetControl {
  double slow_factor = 1.0;
  // Requests are answered with 500 at once.
  bool is_failing_fast = false;
  // /health answers 200 even while draining or failing.
  bool is_health_forced_ok = false;
  // /load reports 0 requests in flight.
  bool is_load_forced_zero = false;
  // Fraction of requests that are rejected as shed.
  double shed_fraction = 0.0;
  // The target is withdrawn from its node but continues to serve requests.
  bool is_draining = false;
  // Named in all answers, in requests per second; none if negative.
  double rate_limit = -1;
  // All answers announce that the target is leaving, while it continues to
  // announce itself to its node.
  bool is_leaving_in_answers = false;
};

// Serves the requests of one target.
class TargetService {
 public:
  TargetService(boost::asio::io_context& io, TargetOptions options);

  const TargetControl& control() const { return m_control; }
  Endpoint endpoint() const { return m_server.endpoint(); }
  HttpServer& server() { return m_server; }
  std::uint32_t in_flight() const { return m_running + m_waiting.size(); }
  // Time at which the last request arrived or finished; decides when a drain is
  // complete.
  TimePoint last_activity() const { return m_last_activity; }

 private:
  // One request that waits or runs.
  struct Work {
    std::shared_ptr<ServerExchange> exchange;
    std::string path;
    std::uint64_t number = 0;
    std::uint64_t digest = 0;
    bool is_silent = false;
  };
  using ExchangePointer = std::shared_ptr<ServerExchange>;
  using WorkPointer = std::shared_ptr<Work>;

  void Handle(const ExchangePointer& exchange);
  bool HandleManagementPath(const ExchangePointer& exchange);
  void HandleProbe(const ExchangePointer& exchange);
  void HandleControl(const ExchangePointer& exchange);
  ServerResponse LoadResponse() const;
  bool ShouldShed(std::string_view path);
  void Shed(const WorkPointer& work);

  void StartWaiting();
  void Cancel(const WorkPointer& work);
  void Run(const WorkPointer& work);
  void Answer(const WorkPointer& work);
  void AnswerStream(const WorkPointer& work,
                    std::uint64_t sent,
                    std::uint64_t size);
  void AnswerTrickle(const WorkPointer& work,
                     std::uint64_t pieces_left,
                     Duration pause);
  void Finish(const WorkPointer& work, bool is_written);
  // Adds what the target states in all its answers.
  void AddNotice(ServerResponse& response) const;
  // Builds the answer that contains the request digest.
  ServerResponse DigestResponse(const Work& work, unsigned status) const;

  void Record(std::string_view event, const Work& work, bool is_written);
  Duration DrawServiceTime(const Work& work);
  void RunAfter(Duration delay, std::function<void()> action);

  boost::asio::io_context& m_io;
  TargetOptions m_options;
  TargetControl m_control;
  Ledger m_ledger;
  std::mt19937_64 m_random;
  std::uint64_t m_last_number = 0;
  // Number of running requests, at most `slots`.
  std::uint32_t m_running = 0;
  std::deque<WorkPointer> m_waiting;
  TimePoint m_last_activity = Now();
  HttpServer m_server;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_STAND_INS_TARGET_SERVICE_H_
