// Writes ledger entries as JSON lines.

#include "stand_ins/ledger.h"

#include <fcntl.h>
#include <unistd.h>

#include <stdexcept>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "core/common/time.h"

namespace bulrushmount {
namespace {

constexpr int kOpenFlags = O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC;

std::string ToLine(const LedgerEntry& entry, std::uint64_t incarnation) {
  const std::int64_t now_ns = Now().time_since_epoch().count();
  return boost::json::serialize(boost::json::object{
             {"event", boost::json::string_view(entry.event)},
             {"number", entry.number},
             {"incarnation", incarnation},
             {"at_ns", now_ns},
             {"request_id", entry.request_id},
             {"method", entry.method},
             {"path", entry.path},
             {"idempotency_key", entry.idempotency_key},
             {"body_hash", entry.body_hash},
             {"is_written", entry.is_written}}) +
         "\n";
}

}  // namespace

Ledger::Ledger(std::uint64_t incarnation, const std::string& file)
    : m_incarnation(incarnation) {
  if (file.empty()) {
    return;
  }
  m_file = ::open(file.c_str(), kOpenFlags, 0644);
  if (m_file < 0) {
    throw std::runtime_error("cannot open the ledger file " + file);
  }
}

Ledger::~Ledger() {
  if (m_file >= 0) {
    ::close(m_file);
  }
}

void Ledger::Append(const LedgerEntry& entry) {
  const std::string line = ToLine(entry, m_incarnation);
  m_lines += line;
  if (m_file < 0) {
    return;
  }
  const ssize_t written = ::write(m_file, line.data(), line.size());
  if (written != static_cast<ssize_t>(line.size())) {
    throw std::runtime_error("cannot write to the ledger file");
  }
}

}  // namespace bulrushmount
