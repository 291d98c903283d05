// Body streams with back-pressure, and the pump that relays a source to a sink.
// All bodies pass through here, which bounds the memory of a relay: one chunk
// is in transit at a time, and the source is read again only after the sink has
// accepted the previous chunk.

#ifndef BULRUSHMOUNT_CORE_TRANSPORT_BODY_STREAM_H_
#define BULRUSHMOUNT_CORE_TRANSPORT_BODY_STREAM_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace bulrushmount {

// The largest chunk that a source returns. A relay between two sockets buffers
// at most three chunks: one each in the pump, the sink and the source.
inline constexpr std::size_t kMaxChunkBytes = 65535;

// The most that one read from an HTTP/1.1 connection returns.
inline constexpr std::size_t kMaxReadBytes = 16384;

enum class BodyStatus : std::uint8_t { kChunk, kEnd, kError };

struct BodyRead {
  BodyStatus status = BodyStatus::kError;
  // Non-empty exactly with kChunk.
  std::string data;
};

class BodySource {
 public:
  using ReadCallback = std::function<void(BodyRead read)>;

  virtual ~BodySource() = default;

  // Starts one read; at most one is outstanding. May call back before it
  // returns. The next call acknowledges the last chunk. Must not be called
  // again after kEnd or kError.
  virtual void Read(ReadCallback callback) = 0;

  // Stops reading. A pending callback is dropped or gets kError.
  virtual void Abort() = 0;
};

class BodySink {
 public:
  using WriteCallback = std::function<void(bool is_written)>;

  virtual ~BodySink() = default;

  // Starts one write; at most one is outstanding. Never calls back before it
  // returns.
  virtual void Write(std::string chunk, WriteCallback callback) = 0;

  // Ends the stream as complete. Never calls back before it returns.
  virtual void Finish(WriteCallback callback) = 0;

  // Ends the stream so that the peer detects that it is incomplete.
  virtual void Abort() = 0;
};

enum class PumpResult : std::uint8_t { kComplete, kSourceFailed, kSinkFailed };

// Relays a source to a sink. Aborts neither of them: the code that started the
// pump decides how to handle a failure.
class BodyPump : public std::enable_shared_from_this<BodyPump> {
 public:
  using DoneCallback = std::function<void(PumpResult result)>;

  // Creates and runs a pump. It keeps itself alive until it is done or stopped.
  static std::shared_ptr<BodyPump> Start(std::shared_ptr<BodySource> source,
                                         std::shared_ptr<BodySink> sink,
                                         DoneCallback done);

  BodyPump(std::shared_ptr<BodySource> source,
           std::shared_ptr<BodySink> sink,
           DoneCallback done);

  // To be called once. Separate from the constructor for callers that need the
  // pump's address before `done` can be called.
  void Run() { ReadNext(); }

  // Stops the relay; `done` is not called any more.
  void Stop();

  // Bytes that the sink has accepted.
  std::uint64_t bytes_relayed() const { return m_bytes_relayed; }

 private:
  void ReadNext();
  void OnRead(BodyRead read);
  void End(PumpResult result);

  std::shared_ptr<BodySource> m_source;
  std::shared_ptr<BodySink> m_sink;
  // Empty once done or stopped.
  DoneCallback m_done;
  std::uint64_t m_bytes_relayed = 0;
};

// A source for a body that is entirely in memory.
class StringSource : public BodySource {
 public:
  explicit StringSource(std::string body) : m_body(std::move(body)) {}

  void Read(ReadCallback callback) override;
  void Abort() override {}

 private:
  std::string m_body;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TRANSPORT_BODY_STREAM_H_
