// A TCP relay between two processes whose link a test can cut, stall or slow.

#ifndef BULRUSHMOUNT_STAND_INS_CUTTABLE_RELAY_H_
#define BULRUSHMOUNT_STAND_INS_CUTTABLE_RELAY_H_

#include <chrono>
#include <memory>

#include "core/common/endpoint.h"

namespace bulrushmount {

enum class LinkState : unsigned char {
  kOpen,
  // Open connections are reset, new ones closed at once.
  kCut,
  // Connections stay and are accepted, but no byte gets through: packets are
  // lost without anyone being told.
  kStalled,
  // The same for what the server sends only.
  kStalledDown,
  // Each piece comes late.
  kSlow,
};

namespace detail {
class RelayLoop;
}  // namespace detail

// Runs on a thread of its own.
class CuttableRelay {
 public:
  // Throws boost::system::system_error if it can't listen.
  CuttableRelay(const Endpoint& listen, const Endpoint& server);
  ~CuttableRelay();

  CuttableRelay(const CuttableRelay&) = delete;
  CuttableRelay& operator=(const CuttableRelay&) = delete;

  // How late pieces come in kSlow.
  static constexpr std::chrono::milliseconds kDelay{120};

  // In force when it returns. Bytes held by a stall flow on when it is over.
  void Set(LinkState state);

 private:
  std::unique_ptr<detail::RelayLoop> m_loop;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_STAND_INS_CUTTABLE_RELAY_H_
