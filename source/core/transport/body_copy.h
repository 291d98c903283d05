// Copies a small answer body while it is relayed, so that retries of a request
// with an idempotency key can be given the same answer.

#ifndef BULRUSHMOUNT_CORE_TRANSPORT_BODY_COPY_H_
#define BULRUSHMOUNT_CORE_TRANSPORT_BODY_COPY_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "core/transport/body_stream.h"

namespace bulrushmount {

class CopyingSource : public BodySource,
                      public std::enable_shared_from_this<CopyingSource> {
 public:
  // Discards the copy once the body exceeds `limit` bytes.
  CopyingSource(std::shared_ptr<BodySource> source, std::size_t limit)
      : m_source(std::move(source)), m_limit(limit), m_copy(std::string()) {}

  void Read(ReadCallback callback) override;
  void Abort() override { m_source->Abort(); }

  // The bytes read so far; nullopt if they exceeded the limit.
  std::optional<std::string> TakeCopy() {
    return std::exchange(m_copy, std::nullopt);
  }

 private:
  void AppendToCopy(const BodyRead& read);

  std::shared_ptr<BodySource> m_source;
  std::size_t m_limit;
  std::optional<std::string> m_copy;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TRANSPORT_BODY_COPY_H_
