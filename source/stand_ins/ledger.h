// The record of the requests that a target executed. Process tests compare it
// with the outcomes reported to callers.

#ifndef BULRUSHMOUNT_STAND_INS_LEDGER_H_
#define BULRUSHMOUNT_STAND_INS_LEDGER_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace bulrushmount {

struct LedgerEntry {
  // "started" before a request runs, "finished" after its answer, "shed" if it
  // is rejected, "cancelled" if the connection closes before the request runs
  // or while /silent holds it, or "probe" for /health and /load.
  std::string_view event;
  // Sequence number of the request in this process, from 1; 0 for probes.
  std::uint64_t number = 0;
  std::string request_id;
  std::string method;
  std::string path;
  std::string idempotency_key;
  std::uint64_t body_hash = 0;
  // For "finished": false if the connection is known to have failed before the
  // whole answer was written to it.
  bool is_written = false;
};

// Keeps the entries in memory and optionally appends them to a file.
class Ledger {
 public:
  // Appends to `file` if it is not empty. Throws std::runtime_error if the file
  // cannot be opened.
  Ledger(std::uint64_t incarnation, const std::string& file);
  ~Ledger();

  Ledger(const Ledger&) = delete;
  Ledger& operator=(const Ledger&) = delete;

  // Writes the entry to the file, with one write call, before it returns. A
  // request whose target is killed while it runs is therefore recorded as
  // started.
  void Append(const LedgerEntry& entry);

  // One JSON object per line, in order of time. `at_ns` is the monotonic clock,
  // which all processes of an instance share.
  const std::string& lines() const { return m_lines; }

 private:
  std::uint64_t m_incarnation;
  std::string m_lines;
  // File descriptor, -1 without a file.
  int m_file = -1;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_STAND_INS_LEDGER_H_
