// Part of `suspicion_table.h`.

#include "core/quarantine/suspicion_table.h"

namespace bulrushmount {

namespace {

Generation Next(Generation generation) {
  return Generation(generation.value() + 1);
}

}  // namespace

SuspicionTable::SuspicionTable(const QuarantineSettings& settings)
    : m_settings(settings) {}

Verdict SuspicionTable::VerdictOf(TimePoint now, Fingerprint fingerprint) {
  const Record* record = FindRecord(now, fingerprint);
  if (record == nullptr)
    return Verdict::kClear;
  switch (record->suspicion.state) {
    case SuspicionState::kSuspect:
      return Verdict::kSuspect;
    case SuspicionState::kCleared:
      return Verdict::kClear;
    case SuspicionState::kQuarantined:
      return IsQuarantineOver(now, *record) ? Verdict::kSuspect
                                            : Verdict::kQuarantined;
  }
  return Verdict::kClear;
}

std::optional<SuspicionNews> SuspicionTable::Find(TimePoint now,
                                                  Fingerprint fingerprint) {
  const Record* record = FindRecord(now, fingerprint);
  if (record == nullptr)
    return std::nullopt;
  return SuspicionNews{fingerprint, record->suspicion,
                       now - record->changed_at};
}

void SuspicionTable::SetState(TimePoint now,
                              Fingerprint fingerprint,
                              SuspicionState state) {
  const Record* record = FindRecord(now, fingerprint);
  if (record == nullptr) {
    StoreRecord(now, fingerprint, {Generation(1), state});
    return;
  }
  const Suspicion known = record->suspicion;
  if (known.state == SuspicionState::kQuarantined) {
    const bool is_new =
        state != SuspicionState::kSuspect && IsQuarantineOver(now, *record);
    if (is_new)
      StoreRecord(now, fingerprint, {Next(known.generation), state});
    return;
  }
  const bool is_suspect_again = known.state == SuspicionState::kCleared &&
                                state == SuspicionState::kSuspect;
  const Generation generation =
      is_suspect_again ? Next(known.generation) : known.generation;
  StoreRecord(now, fingerprint, {generation, state});
}

bool SuspicionTable::Merge(TimePoint now, const SuspicionNews& received) {
  const Record* record = FindRecord(now, received.fingerprint);
  if (record != nullptr && !Overrides(received.suspicion, record->suspicion))
    return false;
  if (received.age >= LifetimeOf(received.suspicion.state))
    return false;
  StoreRecord(now - received.age, received.fingerprint, received.suspicion);
  return true;
}

std::vector<SuspicionNews> SuspicionTable::Newest(TimePoint now,
                                                  std::size_t max) const {
  std::vector<SuspicionNews> newest;
  for (const auto* list : {&m_quarantined, &m_suspects, &m_cleared}) {
    for (auto item = list->rbegin(); item != list->rend(); ++item) {
      if (newest.size() == max)
        return newest;
      const Record& record = m_records.at(*item);
      newest.push_back({*item, record.suspicion, now - record.changed_at});
    }
  }
  return newest;
}

Duration SuspicionTable::LifetimeOf(SuspicionState state) const {
  switch (state) {
    case SuspicionState::kSuspect:
      return m_settings.suspicion_time;
    case SuspicionState::kCleared:
      return m_settings.clearance_time;
    case SuspicionState::kQuarantined:
      return 2 * m_settings.quarantine_time;
  }
  return Duration(0);
}

bool SuspicionTable::IsQuarantineOver(TimePoint now,
                                      const Record& record) const {
  return now - record.changed_at >= m_settings.quarantine_time;
}

SuspicionTable::Record* SuspicionTable::FindRecord(TimePoint now,
                                                   Fingerprint fingerprint) {
  const auto found = m_records.find(fingerprint);
  if (found == m_records.end())
    return nullptr;
  Record& record = found->second;
  if (now - record.changed_at >= LifetimeOf(record.suspicion.state)) {
    Erase(fingerprint);
    return nullptr;
  }
  return &record;
}

void SuspicionTable::StoreRecord(TimePoint changed_at,
                                 Fingerprint fingerprint,
                                 const Suspicion& suspicion) {
  Erase(fingerprint);
  if (m_records.size() >= m_settings.max_records)
    EvictOne();
  std::list<Fingerprint>& list = ListOf(suspicion.state);
  list.push_back(fingerprint);
  m_records[fingerprint] = {suspicion, changed_at, std::prev(list.end())};
}

void SuspicionTable::Erase(Fingerprint fingerprint) {
  const auto found = m_records.find(fingerprint);
  if (found == m_records.end())
    return;
  ListOf(found->second.suspicion.state).erase(found->second.position);
  m_records.erase(found);
}

void SuspicionTable::EvictOne() {
  for (std::list<Fingerprint>* list :
       {&m_cleared, &m_suspects, &m_quarantined}) {
    if (list->empty())
      continue;
    const Fingerprint oldest = list->front();
    Erase(oldest);
    return;
  }
}

std::list<Fingerprint>& SuspicionTable::ListOf(SuspicionState state) {
  switch (state) {
    case SuspicionState::kSuspect:
      return m_suspects;
    case SuspicionState::kCleared:
      return m_cleared;
    case SuspicionState::kQuarantined:
      break;
  }
  return m_quarantined;
}

}  // namespace bulrushmount
