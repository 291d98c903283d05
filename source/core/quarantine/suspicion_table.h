// The suspect, cleared and quarantined fingerprints that one node knows of.
// Records are merged by an order on their contents, so all nodes converge to
// the same state whatever the order in which news arrives.

#ifndef BULRUSHMOUNT_CORE_QUARANTINE_SUSPICION_TABLE_H_
#define BULRUSHMOUNT_CORE_QUARANTINE_SUSPICION_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/common/ids.h"
#include "core/common/time.h"
#include "core/quarantine/quarantine_settings.h"

namespace bulrushmount {

enum class Verdict : std::uint8_t { kClear, kSuspect, kQuarantined };

// The values are sent in datagrams. Within one generation the higher value
// overrides the lower one.
enum class SuspicionState : std::uint8_t {
  kSuspect = 1,
  kCleared = 2,
  kQuarantined = 3,
};

// Increases each time a cleared fingerprint becomes suspect again, so that old
// news of a suspicion cannot undo a clearance.
using Generation = StrongType<struct GenerationTag, std::uint32_t>;

struct Suspicion {
  Generation generation;
  SuspicionState state = SuspicionState::kSuspect;

  friend bool operator==(const Suspicion&, const Suspicion&) = default;
};

// Returns whether `received` overrides `known`.
inline bool Overrides(const Suspicion& received, const Suspicion& known) {
  if (received.generation != known.generation)
    return received.generation > known.generation;
  return received.state > known.state;
}

struct SuspicionNews {
  Fingerprint fingerprint;
  Suspicion suspicion;
  // Time since the state was set. Without it every node would restart the
  // lifetime of a record that it receives, and the record would never expire.
  Duration age{};
};

class SuspicionTable {
 public:
  explicit SuspicionTable(const QuarantineSettings& settings);

  Verdict VerdictOf(TimePoint now, Fingerprint fingerprint);

  // Returns the record of the fingerprint, if there is one.
  std::optional<SuspicionNews> Find(TimePoint now, Fingerprint fingerprint);

  // Records that an event on this node puts the fingerprint into `state`.
  void SetState(TimePoint now, Fingerprint fingerprint, SuspicionState state);

  // Merges a record received from another node. Returns whether it changed the
  // table.
  bool Merge(TimePoint now, const SuspicionNews& received);

  // Returns up to `max` records, quarantined ones first, then suspects, then
  // cleared ones; the newest first within each.
  std::vector<SuspicionNews> Newest(TimePoint now, std::size_t max) const;

  std::size_t size() const { return m_records.size(); }

 private:
  struct Record {
    Suspicion suspicion;
    TimePoint changed_at;
    std::list<Fingerprint>::iterator position;
  };

  Duration LifetimeOf(SuspicionState state) const;
  // Returns whether the quarantine time has passed; the fingerprint is then
  // suspect.
  bool IsQuarantineOver(TimePoint now, const Record& record) const;
  Record* FindRecord(TimePoint now, Fingerprint fingerprint);
  void StoreRecord(TimePoint changed_at,
                   Fingerprint fingerprint,
                   const Suspicion& suspicion);
  void Erase(Fingerprint fingerprint);
  void EvictOne();
  std::list<Fingerprint>& ListOf(SuspicionState state);

  QuarantineSettings m_settings;
  std::unordered_map<Fingerprint, Record> m_records;
  // Fingerprints by state, ordered from the longest known. A full table evicts
  // cleared ones first, then suspects, then quarantined ones.
  std::list<Fingerprint> m_cleared;
  std::list<Fingerprint> m_suspects;
  std::list<Fingerprint> m_quarantined;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_QUARANTINE_SUSPICION_TABLE_H_
