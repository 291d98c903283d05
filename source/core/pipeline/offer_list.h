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
  // The owner is in the availability zone of this node.
  bool is_in_zone = false;
};

class OfferList {
 public:
  void Add(const Offer& offer) { m_offers.push_back(offer); }

  bool empty() const { return m_offers.empty(); }

  // Removes and returns the offer with the smallest slowdown, where one of the
  // own zone may be slower by `zone_advantage`; empty if there is none.
  std::optional<Offer> TakeBest(double zone_advantage) {
    const auto cost = [zone_advantage](const Offer& offer) {
      return offer.slowdown - (offer.is_in_zone ? zone_advantage : 0.0);
    };
    const auto best =
        std::min_element(m_offers.begin(), m_offers.end(),
                         [&cost](const Offer& left, const Offer& right) {
                           return cost(left) < cost(right);
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
