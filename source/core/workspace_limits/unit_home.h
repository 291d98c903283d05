// Grants units of the workspaces whose home is this node, and reserve units of
// those whose deputy it is. A bucket exists only for workspaces in use.

#ifndef BULRUSHMOUNT_CORE_WORKSPACE_LIMITS_UNIT_HOME_H_
#define BULRUSHMOUNT_CORE_WORKSPACE_LIMITS_UNIT_HOME_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/common/endpoint.h"
#include "core/common/ids.h"
#include "core/common/time.h"
#include "core/limits/token_bucket.h"
#include "core/workspace_limits/fleet_view.h"
#include "core/workspace_limits/unit_messages.h"
#include "core/workspace_limits/workspace_limits_settings.h"
#include "core/workspace_limits/workspace_rates.h"

namespace bulrushmount {

// Use of a workspace's limit, as its home sees it.
struct WorkspaceUse {
  WorkspaceName workspace;
  WorkspaceRate limit;
  // Share of the limit that the members reachable from the home may admit.
  double scale = 1;
  // Units granted in the last window and not returned, and requests refused in
  // it. One waiting request may be refused and counted several times, since a
  // caller may repeat it.
  std::uint64_t granted = 0;
  std::uint64_t refused = 0;
  // Units that can be granted now.
  double level = 0;
};

namespace detail {

// Where the response to a request is sent.
struct Requester {
  NodeId node;
  // The sender of the datagram: the requester, or a member that forwards.
  Endpoint from;
  bool is_forwarded = false;
};

class UnitHomeOutlet {
 public:
  virtual ~UnitHomeOutlet() = default;

  virtual void Respond(const Requester& to, const UnitResponse& response) = 0;
  virtual void Respond(const Requester& to,
                       const TakeoverResponse& response) = 0;
  virtual void AskTakeover(const Peer& deputy,
                           const TakeoverRequest& request) = 0;
};

class UnitHome {
 public:
  // The references must outlive the object.
  UnitHome(const WorkspaceLimitsSettings& settings,
           const WorkspaceRates& rates,
           FleetView& view,
           UnitHomeOutlet& outlet);

  void OnRequest(TimePoint now,
                 const Requester& requester,
                 const UnitRequest& request);
  void OnTakeoverRequest(TimePoint now,
                         const Requester& requester,
                         const TakeoverRequest& request);
  void OnTakeoverResponse(TimePoint now, const TakeoverResponse& response);

  // This node may have lost its homes to other members without noticing.
  void OnAuthorityLost(TimePoint now);
  void OnMembersChanged(TimePoint now);
  void OnRatesChanged(TimePoint now);

  void OnTimer(TimePoint now);
  TimePoint NextWakeup() const;

  // Workspaces in use whose home is this node.
  std::vector<WorkspaceUse> Uses(TimePoint now) const;
  std::size_t size() const { return m_buckets.size(); }

 private:
  struct Answered {
    UnitRequestNumber number;
    UnitResponse response;
  };

  // Counts per second of the last window, in a ring.
  struct UseCounter {
    static constexpr std::size_t kSlots = 5;
    void Add(TimePoint now, Duration window, double granted, double refused);
    std::array<double, kSlots> granted{};
    std::array<double, kSlots> refused{};
    // Number of the newest slot.
    std::int64_t newest = 0;
  };

  struct WaitingRequest {
    Requester requester;
    UnitRequest request;
    TimePoint at;
  };

  struct Bucket {
    Bucket(TokenBucket units, TimePoint now) : units(units), used_at(now) {}

    TokenBucket units;
    // The rate and capacity that `units` has, before scaling.
    WorkspaceRate rate;
    double scale = 1;
    TimePoint used_at;
    std::unordered_map<NodeId, Answered> answered;
    // Units that were refused and could not have been served since.
    double backlog = 0;
    // Refused requests, which decrease at a part of the rate: while it is high,
    // entries wait longer before they ask again.
    double pressure = 0;
    TimePoint backlog_at;
    UseCounter use;
    // Another member is the home, and may grant units.
    bool is_stale = false;
    // The bucket is being taken over: requests wait. Invariant: `takeover_at`
    // is the time of the next takeover request, valid only meanwhile.
    bool is_taking_over = false;
    // This node granted units from the bucket before it lost its authority, so
    // its level is an upper bound.
    bool has_own_level = false;
    int tries = 0;
    // When the deputy last answered, or the takeover began.
    TimePoint answered_at;
    TimePoint takeover_at;
    UnitRequestNumber takeover_number;
    std::vector<WaitingRequest> waiting;
  };

  // The bucket of a workspace that this node has handed over. The response may
  // be lost, so the same level is reported again.
  struct HandedOver {
    NodeId home;
    double level = 0;
    TimePoint at;
  };

  struct Reserve {
    TokenBucket units;
    TimePoint used_at;
    std::unordered_map<NodeId, Answered> answered;
  };

  void OnHomeRequest(TimePoint now,
                     const Requester& requester,
                     const UnitRequest& request,
                     const WorkspaceRate& rate,
                     const HomeAndDeputy& place);
  void OnReserveRequest(TimePoint now,
                        const Requester& requester,
                        const UnitRequest& request,
                        const WorkspaceRate& rate);
  Bucket& FindOrCreate(TimePoint now,
                       WorkspaceKey workspace,
                       const WorkspaceRate& rate,
                       const HomeAndDeputy& place);
  void Grant(TimePoint now,
             Bucket& bucket,
             const Requester& requester,
             const UnitRequest& request);
  void Rescale(TimePoint now, Bucket& bucket, const WorkspaceRate& rate);
  void RescaleAll(TimePoint now);
  void ContinueTakeover(TimePoint now, WorkspaceKey workspace, Bucket& bucket);
  void EndTakeover(TimePoint now, Bucket& bucket, double level);
  // Level of an unused bucket that started empty at `since`.
  double UnusedLevel(TimePoint now, TimePoint since, const WorkspaceRate& rate);
  void EraseBuckets(
      const std::function<bool(WorkspaceKey, Bucket&)>& is_erased);
  void DropUnused(TimePoint now);

  const WorkspaceLimitsSettings& m_settings;
  const WorkspaceRates& m_rates;
  FleetView& m_view;
  UnitHomeOutlet& m_outlet;
  std::unordered_map<WorkspaceKey, Bucket> m_buckets;
  std::unordered_map<WorkspaceKey, Reserve> m_reserves;
  std::unordered_map<WorkspaceKey, HandedOver> m_handed_over;
  // Buckets that are being taken over.
  std::size_t m_takeovers = 0;
  std::uint64_t m_next_takeover = 1;
  TimePoint m_next_takeover_step = TimePoint::max();
  TimePoint m_next_sweep = TimePoint::max();
};

}  // namespace detail

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_WORKSPACE_LIMITS_UNIT_HOME_H_
