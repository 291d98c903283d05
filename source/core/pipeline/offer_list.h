// The targets that would have taken a call, but slower than it hoped for.

#ifndef BULRUSHMOUNT_CORE_PIPELINE_OFFER_LIST_H_
#define BULRUSHMOUNT_CORE_PIPELINE_OFFER_LIST_H_

#include <algorithm>
#include <optional>
#include <vector>

#include "core/common/ids.h"

namespace bulrushmount {

// Each owner that refused for slowness has said how slow a start there would
// be. When no other is left to ask, the least slow of them gets the call.
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

  // Takes out the least slow one; empty if there is none.
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
