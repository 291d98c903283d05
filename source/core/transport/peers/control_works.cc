// Part of `control_works.h`.

#include "core/transport/peers/control_works.h"

#include <algorithm>
#include <utility>

namespace bulrushmount {

namespace {

constexpr int kOk = 200;

// Hands out a text chunk by chunk.
class TextSource : public BodySource {
 public:
  explicit TextSource(std::string text) : m_text(std::move(text)) {}

  void Read(ReadCallback callback) override {
    const std::size_t length = std::min(kMaxChunk, m_text.size() - m_read);
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

void ControlWorks::Add(const std::string& control, Answerer answerer) {
  m_answerers.insert_or_assign(control, std::move(answerer));
}

void ControlWorks::OnWork(std::shared_ptr<WorkStream> stream) {
  const std::string& control = stream->request().control;
  if (control.empty()) {
    m_works.OnWork(std::move(stream));
    return;
  }
  const auto found = m_answerers.find(control);
  if (found == m_answerers.end()) {
    stream->Refuse(Reason::kUnknownService, LoadReport());
    return;
  }
  std::string body = found->second();
  AnswerHead head;
  head.status = kOk;
  head.shape = {BodyFraming::kLength, body.size()};
  std::shared_ptr<BodySink> sink =
      stream->Answer(std::move(head), LoadReport());
  // The pump lives until it is done, and the stream with it.
  BodyPump::Start(std::make_shared<TextSource>(std::move(body)),
                  std::move(sink), [stream](PumpResult result) {
                    if (result != PumpResult::kWhole) {
                      stream->Reset();
                    }
                  });
}

}  // namespace bulrushmount
