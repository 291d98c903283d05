// Starts, kills, freezes and watches real processes.

#ifndef BULRUSHMOUNT_STAND_INS_CHILD_PROCESS_H_
#define BULRUSHMOUNT_STAND_INS_CHILD_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "core/common/time.h"

namespace bulrushmount {

// Only ends a test that hangs: no verdict may depend on how long a wait takes.
inline constexpr Duration kGenerousLimit = std::chrono::seconds(60);

// Polls until `is_done`; false once `limit` has passed.
bool WaitUntil(const std::function<bool()>& is_done,
               Duration limit = kGenerousLimit);

struct ExitStatus {
  // Empty if a signal ended it.
  std::optional<int> code;
  std::optional<int> signal;
};

// One child process. Its standard error goes to a file, its standard output
// to the file of that name with ".out" after it.
class ChildProcess {
 public:
  // Throws std::runtime_error if it can't be started.
  ChildProcess(const std::string& program,
               const std::vector<std::string>& arguments,
               std::string stderr_file);
  // Kills it, if it still runs, and reaps it.
  ~ChildProcess();

  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  pid_t pid() const { return m_pid; }
  bool IsRunning();
  // SIGKILL; returns when the process is gone.
  void Kill();
  // SIGSTOP; returns when the process has stopped.
  void Freeze();
  // SIGCONT.
  void Thaw();
  // SIGTERM; does not wait.
  void Terminate();
  // SIGHUP.
  void Reload();
  // Empty if it still runs after `limit`.
  std::optional<ExitStatus> WaitForExit(Duration limit = kGenerousLimit);
  std::string StderrText() const;
  std::string StdoutText() const;

 private:
  void Signal(int number);
  void Reap(int options);

  pid_t m_pid = -1;
  std::string m_stderr_file;
  std::optional<ExitStatus> m_exit;
};

std::string ReadFile(const std::string& path);

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_STAND_INS_CHILD_PROCESS_H_
