// Part of `body_copy.h`.

#include "core/transport/body_copy.h"

namespace bulrushmount {

void CopyingSource::Read(ReadCallback callback) {
  m_source->Read([self = shared_from_this(),
                  callback = std::move(callback)](BodyRead read) {
    self->AppendToCopy(read);
    callback(std::move(read));
  });
}

void CopyingSource::AppendToCopy(const BodyRead& read) {
  if (!m_copy || read.status != BodyStatus::kChunk)
    return;
  if (m_copy->size() + read.data.size() > m_limit)
    m_copy.reset();
  else
    *m_copy += read.data;
}

}  // namespace bulrushmount
