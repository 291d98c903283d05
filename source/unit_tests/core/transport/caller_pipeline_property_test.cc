// Differential test: compares pipelined requests that run concurrently on one
// connection with a connection that runs them sequentially.

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "core/transport/callers/caller_server.h"
#include "unit_tests/core/transport/caller_pipeline_support.h"
#include "unit_tests/core/transport/transport_test_support.h"

namespace bulrushmount::testing {
namespace {

using std::chrono::milliseconds;

// Answer bodies are written in pieces of this size.
constexpr std::size_t kPiece = 7000;

enum class AnswerFault : std::uint8_t { kNone, kBeforeHead, kMidway };

struct ScriptedRequest {
  bool is_repeatable = true;
  bool is_chunked = false;
  std::size_t body = 0;
  bool is_answer_chunked = false;
  std::size_t answer = 0;
  AnswerFault fault = AnswerFault::kNone;
  // Of the requests in progress, the one with the lowest turn proceeds first.
  int turn = 0;
};

std::ostream& operator<<(std::ostream& out, const ScriptedRequest& request) {
  return out << "{" << (request.is_repeatable ? "safe" : "book")
             << (request.is_chunked ? " chunked " : " ") << request.body
             << (request.is_answer_chunked ? " -> chunked " : " -> ")
             << request.answer << " fault " << static_cast<int>(request.fault)
             << " turn " << request.turn << "}";
}

rc::Gen<ScriptedRequest> AnyRequest() {
  return rc::gen::build<ScriptedRequest>(
      rc::gen::set(&ScriptedRequest::is_repeatable,
                   rc::gen::weightedElement<bool>({{4, true}, {1, false}})),
      rc::gen::set(&ScriptedRequest::is_chunked),
      rc::gen::set(&ScriptedRequest::body,
                   rc::gen::weightedElement<std::size_t>(
                       {{6, 0}, {2, 100}, {1, 70'000}})),
      rc::gen::set(&ScriptedRequest::is_answer_chunked),
      rc::gen::set(
          &ScriptedRequest::answer,
          rc::gen::element<std::size_t>(0, 1, 1500, 16384, 16385, 90'000)),
      rc::gen::set(
          &ScriptedRequest::fault,
          rc::gen::weightedElement<AnswerFault>({{10, AnswerFault::kNone},
                                                 {1, AnswerFault::kBeforeHead},
                                                 {1, AnswerFault::kMidway}})),
      rc::gen::set(&ScriptedRequest::turn, rc::gen::inRange(0, 100)));
}

// Sends the requests of a script at once and answers them in order of `turn`.
class PipelineRun {
 public:
  explicit PipelineRun(std::vector<ScriptedRequest> script)
      : m_script(std::move(script)),
        m_server(m_context, m_acceptor, m_random),
        m_is_started(m_script.size(), false) {
    RC_ASSERT(m_server.Listen({"127.0.0.1", 0}));
    m_acceptor.on_call = [this](const std::string& target) {
      if (!target.starts_with(kRepeatable))
        m_is_order_kept &= m_finished + 1 == m_acceptor.targets.size();
    };
    m_caller = RawPeer::Connect(m_context, m_server.endpoint());
    std::string all;
    for (std::size_t index = 0; index < m_script.size(); ++index)
      all += TextOf(index);
    m_caller->Send(all);
  }

  ~PipelineRun() {
    for (const auto& [target, call] : m_acceptor.calls)
      call->Break();
  }

  // Runs until all requests are answered or the connection has ended.
  void Run() {
    const TimePoint end = Now() + kLimit;
    while (answers().size() < m_script.size() && !m_caller->is_at_end()) {
      RC_ASSERT(Now() < end);
      m_context.restart();
      if (m_context.run_one_for(milliseconds(1)) == 0)
        AnswerNext();
    }
  }

  std::vector<ParsedAnswer> answers() const {
    return ParseAnswers(m_caller->received());
  }
  const PipelineAcceptor& acceptor() const { return m_acceptor; }
  // Whether each non-repeatable request was submitted only after all requests
  // submitted before it were answered.
  bool is_order_kept() const { return m_is_order_kept; }

  std::string TargetOf(std::size_t index) const {
    const char* const kind =
        m_script[index].is_repeatable ? "/safe/" : "/book/";
    return kind + std::to_string(index);
  }
  std::string AnswerBodyOf(std::size_t index) const {
    return std::string(m_script[index].answer,
                       static_cast<char>('a' + index % 26));
  }

 private:
  std::string TextOf(std::size_t index) const {
    const ScriptedRequest& request = m_script[index];
    std::string text =
        "POST " + TargetOf(index) + " HTTP/1.1\r\nHost: desk\r\n";
    const std::string body(request.body, 'q');
    if (!request.is_chunked)
      return text + "Content-Length: " + std::to_string(body.size()) +
             "\r\n\r\n" + body;
    text += "Transfer-Encoding: chunked\r\n\r\n";
    if (!body.empty()) {
      char size[32];
      std::snprintf(size, sizeof size, "%zx\r\n", body.size());
      text += size + body + "\r\n";
    }
    return text + "0\r\n\r\n";
  }

  void AnswerNext() {
    std::optional<std::size_t> next;
    for (std::size_t index = 0; index < m_script.size(); ++index) {
      const bool is_open =
          m_acceptor.Has(TargetOf(index)) && !m_is_started[index];
      if (is_open && (!next || m_script[index].turn < m_script[*next].turn))
        next = index;
    }
    if (!next)
      return;
    m_is_started[*next] = true;
    ReadBody(*next);
  }

  // Reads the request body before answering, as a target does.
  void ReadBody(std::size_t index) {
    auto source = m_acceptor.calls.at(TargetOf(index))->OpenBody();
    RC_ASSERT(source != nullptr);
    ReadRest(index, source, 0);
  }

  void ReadRest(std::size_t index,
                const std::shared_ptr<BodySource>& source,
                std::size_t got) {
    source->Read([this, index, source, got](const BodyRead& read) {
      if (read.status == BodyStatus::kChunk)
        ReadRest(index, source, got + read.data.size());
      else if (read.status == BodyStatus::kEnd && got == m_script[index].body)
        Answer(index);
    });
  }

  void Answer(std::size_t index) {
    const ScriptedRequest& request = m_script[index];
    const auto exchange = m_acceptor.calls.at(TargetOf(index));
    if (request.fault == AnswerFault::kBeforeHead) {
      exchange->Break();
      return;
    }
    const BodyShape shape =
        request.is_answer_chunked
            ? BodyShape{BodyFraming::kChunked, 0}
            : BodyShape{BodyFraming::kLength, request.answer};
    if (const auto sink = exchange->BeginAnswer(HeadOf(TargetOf(index), shape)))
      WriteRest(index, sink, 0);
  }

  void WriteRest(std::size_t index,
                 const std::shared_ptr<BodySink>& sink,
                 std::size_t sent) {
    std::string body = AnswerBodyOf(index);
    const bool fails = m_script[index].fault == AnswerFault::kMidway;
    if (fails)
      body.resize(body.size() / 2);
    if (fails && sent >= body.size()) {
      sink->Abort();
      return;
    }
    if (sent >= body.size()) {
      sink->Finish([](bool) {});
      ++m_finished;
      return;
    }
    const std::string piece = body.substr(sent, kPiece);
    sink->Write(piece,
                [this, index, sink, next = sent + piece.size()](bool is_taken) {
                  if (is_taken)
                    WriteRest(index, sink, next);
                });
  }

  std::vector<ScriptedRequest> m_script;
  boost::asio::io_context m_context;
  SeededRandomSource m_random{1};
  PipelineAcceptor m_acceptor;
  CallerServer m_server;
  std::shared_ptr<RawPeer> m_caller;
  std::vector<bool> m_is_started;
  std::size_t m_finished = 0;
  bool m_is_order_kept = true;
};

// On a sequential connection, the k-th answer is the complete answer to the
// k-th request, and the first failure closes the connection. The tested
// connection may also replace a failed answer by an error answer and continue.
RC_GTEST_PROP(CallerPipelineProperty, AnswersMatchASequentialConnection, ()) {
  const auto script = *rc::gen::container<std::vector<ScriptedRequest>>(
      *rc::gen::inRange<std::size_t>(1, 9), AnyRequest());
  PipelineRun play(script);
  play.Run();
  const std::vector<ParsedAnswer> answers = play.answers();
  RC_ASSERT(answers.size() <= script.size());
  for (std::size_t index = 0; index < answers.size(); ++index) {
    if (script[index].fault != AnswerFault::kNone) {
      RC_ASSERT(answers[index].status == 502);
      continue;
    }
    const ParsedAnswer expected{200, play.TargetOf(index),
                                play.AnswerBodyOf(index), false};
    RC_ASSERT(answers[index] == expected);
  }
  // The first request without an answer is the one whose answer failed.
  if (answers.size() < script.size())
    RC_ASSERT(script[answers.size()].fault != AnswerFault::kNone);
}

// A non-repeatable request is submitted only after all earlier requests are
// answered.
RC_GTEST_PROP(CallerPipelineProperty, NonRepeatableRequestsKeepTheirOrder, ()) {
  auto script = *rc::gen::container<std::vector<ScriptedRequest>>(
      *rc::gen::inRange<std::size_t>(2, 9), AnyRequest());
  for (ScriptedRequest& request : script)
    request.fault = AnswerFault::kNone;
  PipelineRun play(script);
  play.Run();
  RC_ASSERT(play.is_order_kept());
  const std::vector<std::string>& targets = play.acceptor().targets;
  RC_ASSERT(targets.size() == script.size());
  for (std::size_t index = 0; index < targets.size(); ++index)
    RC_ASSERT(targets[index] == play.TargetOf(index));
}

}  // namespace
}  // namespace bulrushmount::testing
