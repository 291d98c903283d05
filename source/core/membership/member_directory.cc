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

// More addresses than this per scan would only be tried in vain.
constexpr std::size_t kMaxFound = 8;

// One row, read.
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

// Empty for a row that is none of this release's: it is left alone.
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
  // When a row's renewal counter was first seen at its present value.
  struct Sighting {
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

  // 0.75 to 1.25 times the duration, so that nodes spread out.
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
    return is_alone ? settings.lone_interval
                    : Interval(settings.fleet_scans_per_second);
  }

  // One request at a time: a slow table is not asked the more for it.
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

  // True if the table answered; else the next try is put off.
  bool NoteReply(TimePoint now, const TableReply& reply, TimePoint& next_try) {
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
    if (NoteReply(now, reply, next_renewal)) {
      next_renewal = now + Jittered(RenewalInterval());
    }
  }

  void Scan() { Submit(TableScan{std::string(kPrefix)}, &State::OnScanned); }

  void OnScanned(TimePoint now, const TableReply& reply) {
    if (!NoteReply(now, reply, next_scan)) {
      return;
    }
    has_scanned = true;
    next_scan = now + Jittered(ScanInterval());
    found.clear();
    std::map<NodeId, Sighting> seen;
    for (const Row& row : reply.rows) {
      const std::optional<DirectoryRow> parsed = ParseRow(row);
      if (!parsed || parsed->id == id) {
        continue;
      }
      found.push_back(*parsed);
      const auto before = sightings.find(parsed->id);
      const bool has_stood_still = before != sightings.end() &&
                                   before->second.renewals == parsed->renewals;
      seen[parsed->id] =
          has_stood_still ? before->second : Sighting{parsed->renewals, now};
    }
    sightings = std::move(seen);
    has_news = true;
    may_prune = true;
  }

  // Rows that stood still and whose nodes gossip does not hold as live. The
  // row's version is a condition: a node that came back meanwhile keeps its
  // row.
  void Prune(TimePoint now, const MemberTable& table) {
    may_prune = false;
    const Duration patience = RenewalInterval() * settings.prune_after_renewals;
    TableTransact transact;
    for (const DirectoryRow& row : found) {
      const Member* member = table.Find(row.id);
      const bool is_live = member != nullptr && IsLive(member->state);
      const bool is_old = now - sightings[row.id].since >= patience;
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

  // Without effect it is tried again after the next scan.
  void OnPruned(TimePoint /*now*/, const TableReply& /*reply*/) {}

  void Delete() {
    TableTransact transact;
    transact.deletes.push_back(MemberRowKey(id));
    Submit(std::move(transact), &State::OnDeleted);
  }

  void OnDeleted(TimePoint now, const TableReply& reply) {
    has_left = NoteReply(now, reply, next_delete);
  }

  MemberDirectorySettings settings;
  NodeId id;
  Endpoint endpoint;
  RandomSource& random;
  TableService& service;

  std::uint64_t renewals = 0;
  std::size_t fleet_size = 1;
  bool is_alone = true;
  bool is_waiting = false;
  bool is_leaving = false;
  bool has_left = false;
  bool has_scanned = false;
  // The last scan's rows were not yet handed out, or looked through.
  bool has_news = false;
  bool may_prune = false;
  TimePoint next_renewal;
  TimePoint next_scan;
  TimePoint next_delete;
  Duration backoff{};
  std::vector<DirectoryRow> found;
  std::map<NodeId, Sighting> sightings;
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
  m_state->next_renewal = now;
  m_state->next_scan = now;
  m_state->backoff = settings.min_backoff;
}

MemberDirectory::~MemberDirectory() = default;

void MemberDirectory::OnTimer(TimePoint now, const MemberTable& table) {
  State& state = *m_state;
  state.fleet_size = std::max<std::size_t>(table.Live().size(), 1);
  state.is_alone = table.Live().size() <= 1;
  if (state.is_waiting || state.has_left) {
    return;
  }
  if (state.is_leaving) {
    if (now >= state.next_delete) {
      state.Delete();
    }
    return;
  }
  // The row goes before the scan: of two nodes that start at once, at least
  // one then sees the other.
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
  return std::min(state.next_renewal, state.next_scan);
}

void MemberDirectory::Leave(TimePoint now) {
  m_state->is_leaving = true;
  m_state->next_delete = now;
}

bool MemberDirectory::has_left() const {
  return m_state->has_left;
}

bool MemberDirectory::has_scanned() const {
  return m_state->has_scanned;
}

std::vector<Endpoint> MemberDirectory::TakeFound(const MemberTable& table) {
  if (!std::exchange(m_state->has_news, false)) {
    return {};
  }
  std::vector<Endpoint> endpoints;
  for (const DirectoryRow& row : m_state->found) {
    const Member* member = table.Find(row.id);
    // Gossip itself goes on trying the dead; the departed want no visit.
    if (member == nullptr) {
      endpoints.push_back(row.gossip_endpoint);
    }
  }
  for (std::size_t i = endpoints.size(); i > 1; --i) {
    std::swap(endpoints[i - 1], endpoints[m_state->random.Index(i)]);
  }
  endpoints.resize(std::min(endpoints.size(), kMaxFound));
  return endpoints;
}

}  // namespace bulrushmount
