// The targets that refused a call only because its start there would be too
// slow.

#ifndef BULRUSHMOUNT_CORE_PIPELINE_OFFER_LIST_H_
#define BULRUSHMOUNT_CORE_PIPELINE_OFFER_LIST_H_

#include <algorithm>
#include <optional>
#include <vector>

#include "core/common/ids.h"

namespace bulrushmount {

// An owner that refused a call because its target is slow, and the slowdown
// that it reported. When no other owner is left to try, the call goes to the
// offer with the smallest slowdown.
struct Offer {
  NodeId node;
  double slowdown = 1.0;
};

class OfferList {
 public:
  void Add(NodeId node, double slowdown) {
    m_offers.push_back({node, slowdown});
  }

  bool empty() const { return m_offers.empty(); }

  // Removes and returns the offer with the smallest slowdown; empty if there is
  // none.
  std::optional<Offer> TakeBest() {
    const auto best =
        std::min_element(m_offers.begin(), m_offers.end(),
                         [](const Offer& left, const Offer& right) {
                           return left.slowdown < right.slowdown;
                         });
    if (best == m_offers.end())
      return std::nullopt;
    const Offer taken = *best;
    m_offers.erase(best);
    return taken;
  }

 private:
  std::vector<Offer> m_offers;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_PIPELINE_OFFER_LIST_H_
