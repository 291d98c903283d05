// Part of `control_request_handler.h`.

#include "core/transport/peers/control_request_handler.h"

#include <algorithm>
#include <utility>

namespace bulrushmount {

namespace {

constexpr int kOk = 200;

// A body source that returns a text in chunks.
class TextSource : public BodySource {
 public:
  explicit TextSource(std::string text) : m_text(std::move(text)) {}

  void Read(ReadCallback callback) override {
    const std::size_t length = std::min(kMaxChunkBytes, m_text.size() - m_read);
    if (length == 0) {
      callback({BodyStatus::kEnd, {}});
      return;
    }
    std::string chunk = m_text.substr(m_read, length);
    m_read += length;
    callback({BodyStatus::kChunk, std::move(chunk)});
  }

  void Abort() override { m_read = m_text.size(); }

 private:
  std::string m_text;
  std::size_t m_read = 0;
};

}  // namespace

WorkRequest MakeControlRequest(const std::string& control) {
  WorkRequest request;
  request.work.method = "GET";
  request.work.target = "/bulrushmount/" + control;
  request.control = control;
  return request;
}

void ControlRequestHandler::Add(const std::string& control,
                                BodyProvider provider) {
  m_providers.insert_or_assign(control, std::move(provider));
}

void ControlRequestHandler::OnWork(std::shared_ptr<WorkStream> stream) {
  const std::string& control = stream->request().control;
  if (control.empty()) {
    m_works.OnWork(std::move(stream));
    return;
  }
  const auto found = m_providers.find(control);
  if (found == m_providers.end()) {
    stream->Refuse(Reason::kUnknownService, LoadReport());
    return;
  }
  std::string body = found->second();
  AnswerHead head;
  head.status = kOk;
  head.shape = {BodyFraming::kLength, body.size()};
  std::shared_ptr<BodySink> sink =
      stream->Answer(std::move(head), LoadReport());
  // The pump keeps itself and the stream alive until it is done.
  BodyPump::Start(std::make_shared<TextSource>(std::move(body)),
                  std::move(sink), [stream](PumpResult result) {
                    if (result != PumpResult::kComplete) {
                      stream->Reset();
                    }
                  });
}

}  // namespace bulrushmount
