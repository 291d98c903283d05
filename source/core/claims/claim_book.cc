// Part of `claim_book.h`: forwards to the state that is shared with the
// callbacks of the table.

#include "core/claims/claim_book.h"

#include <utility>

#include "core/claims/claim_book_state.h"

namespace bulrushmount {

ClaimBook::ClaimBook(ClaimSettings settings,
                     TableService& table,
                     RandomSource& random,
                     WallAnchor wall)
    : m_state(std::make_shared<detail::ClaimBookState>(settings,
                                                       table,
                                                       random,
                                                       wall)) {}

ClaimBook::~ClaimBook() = default;

ClaimId ClaimBook::Acquire(TimePoint now,
                           ClaimRequest request,
                           Callback callback) {
  return m_state->Acquire(now, std::move(request), std::move(callback));
}

bool ClaimBook::CheckBeforeDispatch(TimePoint now, ClaimId claim) const {
  return m_state->CheckBeforeDispatch(now, claim);
}

void ClaimBook::Release(TimePoint now, ClaimId claim) {
  m_state->Release(now, claim);
}

void ClaimBook::Finish(TimePoint now, ClaimId claim, StoredAnswer answer) {
  m_state->Finish(now, claim, std::move(answer));
}

void ClaimBook::MarkUnknown(TimePoint now, ClaimId claim) {
  m_state->MarkUnknown(now, claim);
}

void ClaimBook::OnTimer(TimePoint now) {
  m_state->OnTimer(now);
}

TimePoint ClaimBook::NextWakeup() const {
  return m_state->NextWakeup();
}

void ClaimBook::SetWallAnchor(WallAnchor wall) {
  m_state->SetWallAnchor(wall);
}

ClaimStats ClaimBook::stats() const {
  return m_state->stats();
}

std::size_t ClaimBook::size() const {
  return m_state->size();
}

bool ClaimBook::is_store_failing() const {
  return m_state->is_store_failing();
}

}  // namespace bulrushmount
