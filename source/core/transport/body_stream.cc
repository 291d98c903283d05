// Part of `body_stream.h`.

#include "core/transport/body_stream.h"

#include <utility>

namespace bulrushmount {

std::shared_ptr<BodyPump> BodyPump::Start(std::shared_ptr<BodySource> source,
                                          std::shared_ptr<BodySink> sink,
                                          DoneCallback done) {
  auto pump = std::make_shared<BodyPump>(std::move(source), std::move(sink),
                                         std::move(done));
  pump->Run();
  return pump;
}

BodyPump::BodyPump(std::shared_ptr<BodySource> source,
                   std::shared_ptr<BodySink> sink,
                   DoneCallback done)
    : m_source(std::move(source)),
      m_sink(std::move(sink)),
      m_done(std::move(done)) {}

void BodyPump::Stop() {
  m_done = nullptr;
}

void BodyPump::ReadNext() {
  m_source->Read([self = shared_from_this()](BodyRead read) {
    self->OnRead(std::move(read));
  });
}

void BodyPump::OnRead(BodyRead read) {
  if (!m_done) {
    return;
  }
  if (read.status == BodyStatus::kError) {
    End(PumpResult::kSourceFailed);
    return;
  }
  if (read.status == BodyStatus::kEnd) {
    m_sink->Finish([self = shared_from_this()](bool is_written) {
      self->End(is_written ? PumpResult::kComplete : PumpResult::kSinkFailed);
    });
    return;
  }
  const std::size_t size = read.data.size();
  m_sink->Write(std::move(read.data),
                [self = shared_from_this(), size](bool is_written) {
                  if (!is_written) {
                    self->End(PumpResult::kSinkFailed);
                    return;
                  }
                  self->m_bytes_relayed += size;
                  if (self->m_done) {
                    self->ReadNext();
                  }
                });
}

void BodyPump::End(PumpResult result) {
  DoneCallback done = std::exchange(m_done, nullptr);
  if (done) {
    done(result);
  }
}

void StringSource::Read(ReadCallback callback) {
  if (m_body.empty()) {
    callback({BodyStatus::kEnd, {}});
    return;
  }
  callback({BodyStatus::kChunk, std::exchange(m_body, {})});
}

}  // namespace bulrushmount
