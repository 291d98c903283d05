// Part of `member_directory.h`.

#include "core/membership/member_directory.h"

#include <algorithm>
#include <charconv>
#include <functional>
#include <utility>

#include <fmt/format.h>

#include "core/common/hex.h"
#include "core/common/logging.h"

namespace bulrushmount {

namespace {

constexpr std::string_view kPrefix = "member/";
constexpr int kHexBase = 16;

// Number of addresses handed out per attempt. More would be useless load, as
// one responding address is enough.
constexpr std::size_t kMaxAddressesPerAttempt = 8;
// A new node chooses at random among this many of the newest rows, so that new
// nodes do not all contact the same member.
constexpr std::size_t kNewestRows = 64;
// After this many addresses without response, nearly all rows presumably belong
// to nodes that are gone.
constexpr std::size_t kMaxDiscoveryTries = 2 * kMaxAddressesPerAttempt;
// A node that knows more members than this has found the fleet.
constexpr std::size_t kEnoughMembers = 8;
// Initial delay between scans of a node that has found no member; it doubles up
// to the isolated interval of the settings.
constexpr Duration kMinIsolatedWait = std::chrono::seconds(1);

// A parsed row.
struct DirectoryRow {
  NodeId id;
  Endpoint gossip_endpoint;
  std::uint64_t renewals = 0;
  RowVersion version;
};

template <typename Number>
std::optional<Number> ParseNumber(std::string_view text, int base) {
  Number number{};
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number, base);
  if (error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return number;
}

std::string FormatValue(const Endpoint& endpoint, std::uint64_t renewals) {
  return fmt::format("{} {}", ToString(endpoint), renewals);
}

// Empty for a row in an unknown format; such a row is left alone.
std::optional<DirectoryRow> ParseRow(const Row& row) {
  const std::string_view key = row.key;
  const std::string_view value = row.value;
  const std::size_t space = value.find(' ');
  if (!key.starts_with(kPrefix) || space == std::string_view::npos) {
    return std::nullopt;
  }
  const auto id =
      ParseNumber<std::uint64_t>(key.substr(kPrefix.size()), kHexBase);
  const auto endpoint = ParseEndpoint(value.substr(0, space));
  // Later releases may append fields after another space.
  const std::string_view rest = value.substr(space + 1);
  const auto renewals =
      ParseNumber<std::uint64_t>(rest.substr(0, rest.find(' ')), 10);
  if (!id || !endpoint || !renewals) {
    return std::nullopt;
  }
  return DirectoryRow{NodeId(*id), *endpoint, *renewals, row.version};
}

Duration Scaled(Duration duration, double factor) {
  return FromSeconds(ToSeconds(duration) * factor);
}

}  // namespace

std::string MemberRowKey(NodeId id) {
  return fmt::format("{}{}", kPrefix, ToHex(id));
}

struct MemberDirectory::State : std::enable_shared_from_this<State> {
  // The value of a row's renewal counter and when it was first seen.
  struct RenewalObservation {
    std::uint64_t renewals = 0;
    TimePoint since;
  };

  using Handler = void (State::*)(TimePoint, const TableReply&);

  State(const MemberDirectorySettings& its_settings,
        NodeId its_id,
        Endpoint its_endpoint,
        RandomSource& its_random,
        TableService& its_service)
      : settings(its_settings),
        id(its_id),
        endpoint(std::move(its_endpoint)),
        random(its_random),
        service(its_service) {}

  // 0.75 to 1.25 times the duration, so that the nodes' requests spread out.
  Duration Jittered(Duration duration) {
    return Scaled(duration, 0.75 + random.Fraction() / 2);
  }

  Duration Interval(double fleet_rate) const {
    const Duration fair =
        FromSeconds(static_cast<double>(fleet_size) / fleet_rate);
    return std::max(fair, settings.min_interval);
  }

  Duration RenewalInterval() const {
    return Interval(settings.fleet_renewals_per_second);
  }

  Duration ScanInterval() const {
    return Interval(settings.fleet_scans_per_second);
  }

  // Only one request is outstanding at a time, so that a slow table does not
  // get more load.
  void Submit(TableRequest request, Handler handler) {
    is_waiting = true;
    service.Submit(std::move(request),
                   [weak = weak_from_this(), handler](TimePoint now,
                                                      const TableReply& reply) {
                     const std::shared_ptr<State> state = weak.lock();
                     if (state == nullptr) {
                       return;
                     }
                     state->is_waiting = false;
                     ((*state).*handler)(now, reply);
                   });
  }

  // A node without a row has nothing to rewrite. A node enters its first epoch
  // before it has written a row.
  void EnterEpoch(TimePoint now, TableEpoch entered) {
    if (entered <= epoch) {
      return;
    }
    epoch = entered;
    may_prune = false;
    found.clear();
    handed_out = 0;
    if (renewals > 0) {
      next_renewal =
          std::min(next_renewal,
                   now + Scaled(settings.restore_window, random.Fraction()));
    }
  }

  // True if the table responded; otherwise schedules the next attempt.
  bool HandleReplyStatus(TimePoint now,
                         const TableReply& reply,
                         TimePoint& next_try) {
    EnterEpoch(now, reply.epoch);
    const bool has_answered = reply.status == TableStatus::kOk ||
                              reply.status == TableStatus::kConditionFailed;
    if (has_answered) {
      backoff = settings.min_backoff;
      return true;
    }
    next_try = now + Jittered(backoff);
    backoff = std::min(backoff * 2, settings.max_backoff);
    return false;
  }

  void Renew() {
    ++renewals;
    TableTransact transact;
    transact.puts.push_back(
        {MemberRowKey(id), FormatValue(endpoint, renewals)});
    Submit(std::move(transact), &State::OnRenewed);
  }

  void OnRenewed(TimePoint now, const TableReply& reply) {
    if (!HandleReplyStatus(now, reply, next_renewal)) {
      return;
    }
    next_renewal = now + Jittered(RenewalInterval());
    if (std::exchange(must_rescan, false)) {
      next_scan = now + Jittered(settings.rescan_delay);
    }
  }

  void Scan() { Submit(TableScan{std::string(kPrefix)}, &State::OnScanned); }

  void OnScanned(TimePoint now, const TableReply& reply) {
    if (!HandleReplyStatus(now, reply, next_scan)) {
      return;
    }
    next_scan = now + Jittered(ScanInterval());
    found.clear();
    std::map<NodeId, RenewalObservation> seen;
    for (const Row& row : reply.rows) {
      const std::optional<DirectoryRow> parsed = ParseRow(row);
      if (!parsed || parsed->id == id) {
        continue;
      }
      found.push_back(*parsed);
      const auto before = observations.find(parsed->id);
      const bool is_unchanged = before != observations.end() &&
                                before->second.renewals == parsed->renewals;
      seen[parsed->id] = is_unchanged
                             ? before->second
                             : RenewalObservation{parsed->renewals, now};
    }
    observations = std::move(seen);
    rows_found = found.size();
    OrderFound();
    has_addresses_to_try = true;
    next_contact_attempt = now + settings.contact_timeout;
    may_prune = true;
    if (renewals == 0 && found.size() < settings.wanted_rows) {
      must_rescan = found.empty();
      next_renewal = now;
    }
  }

  // Sorts the rows newest first, as their nodes are most likely to be
  // reachable, and shuffles the first kNewestRows.
  void OrderFound() {
    handed_out = 0;
    std::sort(found.begin(), found.end(),
              [](const auto& left, const auto& right) {
                return left.version > right.version;
              });
    for (std::size_t i = std::min(found.size(), kNewestRows); i > 1; --i) {
      std::swap(found[i - 1], found[random.Index(i)]);
    }
  }

  // Requires a minimum number of members: otherwise two nodes that find each
  // other first, among rows of nodes that are gone, would consider themselves
  // the whole fleet.
  bool HasEnoughMembers() const {
    return !is_isolated && fleet_size > std::min(found.size(), kEnoughMembers);
  }

  void ContactMembers(TimePoint now) {
    if (!rows_found || HasEnoughMembers()) {
      next_contact_attempt = TimePoint::max();
      isolated_wait = kMinIsolatedWait;
    } else if (next_contact_attempt == TimePoint::max()) {
      next_contact_attempt = now + settings.contact_timeout;
    } else if (now >= next_contact_attempt) {
      ContactNextAddresses(now);
    }
  }

  // Tries the remaining addresses without reading the table again. After
  // several addresses without response an isolated node writes its own row, so
  // that others can find it, and scans for theirs: when all nodes have new
  // addresses, none of them would otherwise write the first row.
  void ContactNextAddresses(TimePoint now) {
    next_contact_attempt = now + settings.contact_timeout;
    if (is_isolated && renewals == 0 &&
        handed_out >= std::min(found.size(), kMaxDiscoveryTries)) {
      must_rescan = true;
      next_renewal = now;
    }
    if (handed_out < found.size()) {
      has_addresses_to_try = true;
      return;
    }
    if (!is_isolated) {
      next_contact_attempt = now + settings.isolated_interval;
      return;
    }
    next_scan = std::min(next_scan, now + Jittered(isolated_wait));
    next_contact_attempt = next_scan + settings.contact_timeout;
    isolated_wait = std::min(isolated_wait * 2, settings.isolated_interval);
  }

  // Deletes rows whose renewal counter has not changed and whose nodes are not
  // live according to gossip. The row's version is a condition of the
  // transaction: a node that came back in the meantime keeps its row.
  void Prune(TimePoint now, const MemberTable& table) {
    may_prune = false;
    const Duration prune_age =
        RenewalInterval() * settings.prune_after_renewals;
    TableTransact transact;
    for (const DirectoryRow& row : found) {
      const Member* member = table.Find(row.id);
      const bool is_live = member != nullptr && IsLive(member->state);
      const bool is_old = now - observations[row.id].since >= prune_age;
      if (is_live || !is_old ||
          transact.deletes.size() == settings.max_prunes_per_scan) {
        continue;
      }
      transact.conditions.push_back({MemberRowKey(row.id), row.version});
      transact.deletes.push_back(MemberRowKey(row.id));
    }
    if (transact.deletes.empty()) {
      return;
    }
    LogLine(LogLevel::kInfo, "membership.rows_pruned")
        .Add("rows", transact.deletes.size());
    Submit(std::move(transact), &State::OnPruned);
  }

  // A failed deletion is repeated after the next scan.
  void OnPruned(TimePoint /*now*/, const TableReply& /*reply*/) {}

  void Delete() {
    TableTransact transact;
    transact.deletes.push_back(MemberRowKey(id));
    Submit(std::move(transact), &State::OnDeleted);
  }

  void OnDeleted(TimePoint now, const TableReply& reply) {
    has_left = HandleReplyStatus(now, reply, next_delete);
  }

  MemberDirectorySettings settings;
  NodeId id;
  Endpoint endpoint;
  RandomSource& random;
  TableService& service;

  TableEpoch epoch;
  std::uint64_t renewals = 0;
  std::size_t fleet_size = 1;
  bool is_isolated = true;
  bool is_waiting = false;
  bool is_leaving = false;
  bool has_left = false;
  // This node found no row or no responding member, and scans again after it
  // has written its own row.
  bool must_rescan = false;
  // TakeDiscoveredEndpoints() may hand out addresses.
  bool has_addresses_to_try = false;
  // The rows of the last scan have not been checked for pruning yet.
  bool may_prune = false;
  // No row is written before the first scan.
  TimePoint next_renewal = TimePoint::max();
  TimePoint next_scan;
  // When a node that has not found enough members makes its next attempt.
  TimePoint next_contact_attempt = TimePoint::max();
  TimePoint next_delete;
  Duration backoff{};
  Duration isolated_wait = kMinIsolatedWait;
  std::optional<std::size_t> rows_found;
  std::vector<DirectoryRow> found;
  // Number of entries of `found` that have been handed out.
  std::size_t handed_out = 0;
  std::map<NodeId, RenewalObservation> observations;
};

MemberDirectory::MemberDirectory(const MemberDirectorySettings& settings,
                                 NodeId self,
                                 Endpoint gossip_endpoint,
                                 RandomSource& random,
                                 TableService& service,
                                 TimePoint now)
    : m_state(std::make_shared<State>(settings,
                                      self,
                                      std::move(gossip_endpoint),
                                      random,
                                      service)) {
  m_state->next_scan = now + Scaled(settings.start_window, random.Fraction());
  m_state->backoff = settings.min_backoff;
}

MemberDirectory::~MemberDirectory() = default;

void MemberDirectory::OnTimer(TimePoint now, const MemberTable& table) {
  State& state = *m_state;
  state.fleet_size = std::max<std::size_t>(table.Live().size(), 1);
  state.is_isolated = table.Live().size() <= 1;
  if (state.is_waiting || state.has_left) {
    return;
  }
  if (state.is_leaving) {
    if (now >= state.next_delete) {
      state.Delete();
    }
    return;
  }
  state.ContactMembers(now);
  // Writes the row before the next scan: if two nodes found no row at the same
  // time, at least one of them then sees the other's.
  if (now >= state.next_renewal) {
    state.Renew();
  } else if (now >= state.next_scan) {
    state.Scan();
  } else if (state.may_prune) {
    state.Prune(now, table);
  }
}

TimePoint MemberDirectory::NextWakeup() const {
  const State& state = *m_state;
  if (state.is_waiting || state.has_left) {
    return TimePoint::max();
  }
  if (state.is_leaving) {
    return state.next_delete;
  }
  if (state.may_prune) {
    return TimePoint::min();
  }
  return std::min(
      {state.next_renewal, state.next_scan, state.next_contact_attempt});
}

void MemberDirectory::Leave(TimePoint now) {
  m_state->is_leaving = true;
  m_state->has_left = m_state->renewals == 0;
  m_state->next_delete = now;
}

bool MemberDirectory::has_left() const {
  return m_state->has_left;
}

void MemberDirectory::OnTableAvailable(TimePoint now) {
  State& state = *m_state;
  if (state.is_isolated || !state.rows_found) {
    state.next_scan = std::min(state.next_scan, now);
  }
}

void MemberDirectory::OnTableRestored(TimePoint now, TableEpoch epoch) {
  m_state->EnterEpoch(now, epoch);
}

std::optional<std::size_t> MemberDirectory::rows_found() const {
  return m_state->rows_found;
}

std::vector<Endpoint> MemberDirectory::TakeDiscoveredEndpoints(
    const MemberTable& table) {
  if (!std::exchange(m_state->has_addresses_to_try, false)) {
    return {};
  }
  std::vector<Endpoint> endpoints;
  const std::vector<DirectoryRow>& found = m_state->found;
  std::size_t& handed_out = m_state->handed_out;
  for (;
       handed_out < found.size() && endpoints.size() < kMaxAddressesPerAttempt;
       ++handed_out) {
    // Gossip itself keeps pinging dead members, and departed ones need not be
    // contacted.
    if (table.Find(found[handed_out].id) == nullptr) {
      endpoints.push_back(found[handed_out].gossip_endpoint);
    }
  }
  return endpoints;
}

}  // namespace bulrushmount
