// Part of `local_node_stream.h`.

#include "core/transport/peers/local_node_stream.h"

#include <functional>
#include <string>
#include <utility>

#include <boost/asio/post.hpp>

namespace bulrushmount {

namespace {

namespace asio = boost::asio;

// Holds one chunk. A write completes when the reader requests the next chunk,
// so back-pressure reaches the writer.
class MemoryPipe : public BodySource, public BodySink {
 public:
  explicit MemoryPipe(asio::any_io_executor executor)
      : m_executor(std::move(executor)) {}

  void Read(ReadCallback callback) override {
    m_read = std::move(callback);
    if (m_is_chunk_with_reader) {
      m_is_chunk_with_reader = false;
      Post(std::exchange(m_written, nullptr), true);
    }
    Deliver();
  }

  void Write(std::string chunk, WriteCallback callback) override {
    if (m_is_broken) {
      Post(std::move(callback), false);
      return;
    }
    m_chunk = std::move(chunk);
    m_written = std::move(callback);
    PostDeliver();
  }

  void Finish(WriteCallback callback) override {
    m_is_ended = !m_is_broken;
    Post(std::move(callback), !m_is_broken);
    PostDeliver();
  }

  void Abort() override {
    if (m_is_ended || m_is_broken) {
      return;
    }
    m_is_broken = true;
    Post(std::exchange(m_written, nullptr), false);
    PostDeliver();
  }

 private:
  void PostDeliver() {
    asio::post(m_executor, [self = m_self.lock()] {
      if (self) {
        self->Deliver();
      }
    });
  }

  void Deliver() {
    if (!m_read) {
      return;
    }
    if (m_is_broken) {
      std::exchange(m_read, nullptr)({BodyStatus::kError, {}});
    } else if (!m_chunk.empty()) {
      m_is_chunk_with_reader = true;
      std::exchange(m_read,
                    nullptr)({BodyStatus::kChunk, std::exchange(m_chunk, {})});
    } else if (m_is_ended) {
      std::exchange(m_read, nullptr)({BodyStatus::kEnd, {}});
    }
  }

  void Post(WriteCallback callback, bool is_written) {
    if (callback) {
      asio::post(m_executor, [callback = std::move(callback), is_written] {
        callback(is_written);
      });
    }
  }

  friend std::shared_ptr<MemoryPipe> MakePipe(const asio::any_io_executor&);

  asio::any_io_executor m_executor;
  std::weak_ptr<MemoryPipe> m_self;
  std::string m_chunk;
  // The reader has the chunk, but its write has not been reported complete.
  bool m_is_chunk_with_reader = false;
  bool m_is_ended = false;
  bool m_is_broken = false;
  ReadCallback m_read;
  WriteCallback m_written;
};

std::shared_ptr<MemoryPipe> MakePipe(const asio::any_io_executor& executor) {
  auto pipe = std::make_shared<MemoryPipe>(executor);
  pipe->m_self = pipe;
  return pipe;
}

// The state that both ends share. Each end is notified of the other's actions
// in a later iteration of the event loop, as it would be over a socket.
struct LocalLink : public std::enable_shared_from_this<LocalLink> {
  LocalLink(asio::any_io_executor loop, WorkRequest head)
      : executor(std::move(loop)),
        request(std::move(head)),
        request_pipe(MakePipe(executor)),
        answer_pipe(MakePipe(executor)) {}

  void NotifyEntry(std::function<void(AttemptListener&)> notify) {
    asio::post(executor,
               [self = shared_from_this(), notify = std::move(notify)] {
                 AttemptListener* const listener =
                     std::exchange(self->attempt_listener, nullptr);
                 if (listener)
                   notify(*listener);
               });
  }

  void NotifyOwner() {
    asio::post(executor, [self = shared_from_this()] {
      WorkListener* const listener =
          std::exchange(self->work_listener, nullptr);
      if (listener)
        listener->OnCancelled();
    });
  }

  asio::any_io_executor executor;
  WorkRequest request;
  std::shared_ptr<MemoryPipe> request_pipe;
  std::shared_ptr<MemoryPipe> answer_pipe;
  // Null once notified or cancelled.
  AttemptListener* attempt_listener = nullptr;
  WorkListener* work_listener = nullptr;
  // The entry has cancelled the attempt.
  bool is_cancelled = false;
};

class LocalAttempt : public AttemptStream {
 public:
  explicit LocalAttempt(std::shared_ptr<LocalLink> link)
      : m_link(std::move(link)) {}
  ~LocalAttempt() override { Cancel(); }

  LocalAttempt(const LocalAttempt&) = delete;
  LocalAttempt& operator=(const LocalAttempt&) = delete;

  std::shared_ptr<BodySink> request_body() override {
    return m_link->request_pipe;
  }

  void Cancel() override {
    if (m_link->is_cancelled) {
      return;
    }
    m_link->is_cancelled = true;
    m_link->attempt_listener = nullptr;
    m_link->request_pipe->Abort();
    m_link->answer_pipe->Abort();
    m_link->NotifyOwner();
  }

 private:
  std::shared_ptr<LocalLink> m_link;
};

class LocalWork : public WorkStream {
 public:
  explicit LocalWork(std::shared_ptr<LocalLink> link)
      : m_link(std::move(link)) {}

  const WorkRequest& request() const override { return m_link->request; }

  std::shared_ptr<BodySource> request_body() override {
    return m_link->request_pipe;
  }

  void SetListener(WorkListener* listener) override {
    m_link->work_listener = listener;
  }

  void Refuse(Reason reason, const LoadReport& load) override {
    m_link->NotifyEntry([reason, load](AttemptListener& listener) {
      listener.OnRefused(reason, load);
    });
  }

  void Fail(Reason reason, const LoadReport& load) override {
    m_link->NotifyEntry([reason, load](AttemptListener& listener) {
      listener.OnFailed(reason, load);
    });
  }

  std::shared_ptr<BodySink> Answer(AnswerHead head,
                                   const LoadReport& load) override {
    m_link->NotifyEntry([link = m_link, head = std::move(head),
                         load](AttemptListener& listener) {
      listener.OnAnswer(head, load, link->answer_pipe);
    });
    return m_link->answer_pipe;
  }

  void Reset() override {
    m_link->answer_pipe->Abort();
    m_link->NotifyEntry([](AttemptListener& listener) {
      listener.OnLost(false, Reason::kNodeLost);
    });
  }

 private:
  std::shared_ptr<LocalLink> m_link;
};

}  // namespace

std::shared_ptr<AttemptStream> OpenLocalStream(
    const asio::any_io_executor& executor,
    const WorkRequest& request,
    WorkAcceptor& acceptor,
    AttemptListener* listener) {
  auto link = std::make_shared<LocalLink>(executor, request);
  link->attempt_listener = listener;
  asio::post(executor, [link, &acceptor] {
    if (!link->is_cancelled) {
      acceptor.OnWork(std::make_shared<LocalWork>(link));
    }
  });
  return std::make_shared<LocalAttempt>(link);
}

}  // namespace bulrushmount
