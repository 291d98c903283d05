// Part of `owner_works.h`.

#include "core/transport/targets/owner_works.h"

#include <utility>

namespace bulrushmount {

namespace {

// Reports the end of the source as soon as it is read: the target's slot is
// free from then on, regardless of how long the entry takes to read the rest.
class ObservedSource : public BodySource {
 public:
  ObservedSource(std::shared_ptr<BodySource> source,
                 std::function<void()> on_end)
      : m_source(std::move(source)), m_on_end(std::move(on_end)) {}

  void Read(ReadCallback callback) override {
    m_source->Read(
        [callback = std::move(callback), on_end = m_on_end](BodyRead read) {
          const bool is_end = read.status == BodyStatus::kEnd;
          callback(std::move(read));
          if (is_end) {
            on_end();
          }
        });
  }

  void Abort() override { m_source->Abort(); }

 private:
  std::shared_ptr<BodySource> m_source;
  std::function<void()> m_on_end;
};

}  // namespace

class OwnerWorks::Work : public WorkListener,
                         public TargetListener,
                         public std::enable_shared_from_this<Work> {
 public:
  Work(OwnerWorks& owner, WorkId id, std::shared_ptr<WorkStream> stream)
      : m_owner(owner), m_id(id), m_stream(std::move(stream)) {
    m_stream->SetListener(this);
  }
  ~Work() override { End(); }

  Work(const Work&) = delete;
  Work& operator=(const Work&) = delete;

  WorkStream& stream() { return *m_stream; }
  bool is_answer_begun() const { return m_pump != nullptr; }

  void SendToTarget(const HandToTarget& action) {
    const WorkRequest& request = m_stream->request();
    RequestHead head{request.work.method, request.work.target, request.headers,
                     request.shape};
    m_owner.m_dialect.AddRequestFields(request.work, action.instance,
                                       action.time_left, head);
    m_exchange = m_owner.m_target.Send(std::move(head), request.work.request_id,
                                       m_stream->request_body(), this);
  }

  void Relay(const LoadReport& load) {
    if (!m_answer_body || m_pump) {
      return;
    }
    auto source = std::make_shared<ObservedSource>(
        std::move(m_answer_body), [this, weak = weak_from_this()] {
          if (const auto self = weak.lock()) {
            OnTargetEnded();
          }
        });
    m_pump = std::make_shared<BodyPump>(
        std::move(source), m_stream->Answer(std::move(m_answer), load),
        [this, weak = weak_from_this()](PumpResult result) {
          if (const auto self = weak.lock()) {
            OnRelayed(result);
          }
        });
    m_pump->Run();
  }

  // Detaches from both sides. Closes the connection to the target unless the
  // exchange has ended.
  void End() {
    m_stream->SetListener(nullptr);
    if (m_exchange) {
      m_exchange->Cancel();
    }
    if (m_pump) {
      m_pump->Stop();
    }
  }

  // --- The entry ---

  void OnCancelled() override {
    const auto self = shared_from_this();
    if (!m_is_target_ended) {
      m_owner.m_events.Emit(WorkCancelled{m_id});
    }
    // Ends in any case, since no entry waits for the answer.
    if (const auto work = m_owner.Take(m_id)) {
      work->End();
    }
  }

  // --- The target ---

  void OnConnectFailed() override {
    const auto self = shared_from_this();
    m_owner.m_events.Emit(TargetConnectFailed{m_id});
  }

  void OnAnswer(AnswerHead head,
                const TargetVerdict& verdict,
                std::shared_ptr<BodySource> body) override {
    const auto self = shared_from_this();
    const int status = head.status;
    m_answer = std::move(head);
    m_answer_body = std::move(body);
    m_owner.m_events.Emit(TargetAnswerBegun{
        m_id, status, verdict.is_shed, verdict.is_wrong_target,
        verdict.load_sample, verdict.notice, verdict.is_rate_limit_stated});
  }

  void OnFailed() override {
    const auto self = shared_from_this();
    m_owner.m_events.Emit(TargetExchangeFailed{m_id, false});
  }

  // The entry cancels the attempt, and the end of its body may be reported
  // before the cancellation.
  void OnRequestInterrupted() override { OnCancelled(); }

 private:
  void OnTargetEnded() {
    m_is_target_ended = true;
    m_owner.m_events.Emit(TargetAnswerEnded{m_id});
  }

  void OnRelayed(PumpResult result) {
    const auto self = shared_from_this();
    if (result == PumpResult::kComplete) {
      m_owner.Take(m_id);
      return;
    }
    if (result == PumpResult::kSinkFailed) {
      OnCancelled();
      return;
    }
    // Independent of what the logic decides: the entry must not take the answer
    // for complete.
    m_stream->Reset();
    m_owner.m_events.Emit(TargetExchangeFailed{m_id, true});
  }

  OwnerWorks& m_owner;
  WorkId m_id;
  std::shared_ptr<WorkStream> m_stream;
  std::shared_ptr<TargetExchange> m_exchange;
  // Set from the target's answer until relaying starts.
  AnswerHead m_answer;
  std::shared_ptr<BodySource> m_answer_body;
  std::shared_ptr<BodyPump> m_pump;
  // The complete answer has been read from the target.
  bool m_is_target_ended = false;
};

OwnerWorks::OwnerWorks(TargetClient& target,
                       EventSink& events,
                       const TargetDialect& dialect)
    : m_target(target), m_events(events), m_dialect(dialect) {}

OwnerWorks::~OwnerWorks() = default;

std::shared_ptr<OwnerWorks::Work> OwnerWorks::Find(WorkId id) {
  const auto found = m_works.find(id);
  return found == m_works.end() ? nullptr : found->second;
}

std::shared_ptr<OwnerWorks::Work> OwnerWorks::Take(WorkId id) {
  const auto found = m_works.find(id);
  if (found == m_works.end()) {
    return nullptr;
  }
  std::shared_ptr<Work> work = std::move(found->second);
  m_works.erase(found);
  return work;
}

void OwnerWorks::OnWork(std::shared_ptr<WorkStream> stream) {
  const WorkId id(++m_last_id);
  WorkHead head = stream->request().work;
  m_works.emplace(id, std::make_shared<Work>(*this, id, std::move(stream)));
  m_events.Emit(WorkArrived{id, std::move(head)});
}

void OwnerWorks::Do(const HandToTarget& action) {
  if (const auto work = Find(action.work)) {
    work->SendToTarget(action);
  }
}

void OwnerWorks::Do(const RefuseWork& action) {
  if (const auto work = Take(action.work)) {
    work->End();
    work->stream().Refuse(action.reason, action.load);
  }
}

void OwnerWorks::Do(const RelayWork& action) {
  if (const auto work = Find(action.work)) {
    work->Relay(action.load);
  }
}

void OwnerWorks::Do(const FailWork& action) {
  const auto work = Take(action.work);
  if (!work) {
    return;
  }
  work->End();
  if (work->is_answer_begun()) {
    work->stream().Reset();
  } else {
    work->stream().Fail(action.reason, action.load);
  }
}

void OwnerWorks::Do(const CancelWork& action) {
  if (const auto work = Take(action.work)) {
    work->End();
    work->stream().Reset();
  }
}

}  // namespace bulrushmount
