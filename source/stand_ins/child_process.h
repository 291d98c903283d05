// Starts, signals and observes child processes in tests.

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

// Limit that ends a hanging test. No test may pass or fail by how long a wait
// takes.
inline constexpr Duration kTestHangTimeout = std::chrono::seconds(60);

// Polls until `is_done` returns true; returns false once `limit` has passed.
bool WaitUntil(const std::function<bool()>& is_done,
               Duration limit = kTestHangTimeout);

struct ExitStatus {
  // Empty if a signal ended the process.
  std::optional<int> code;
  // Empty if the process exited by itself.
  std::optional<int> signal;
};

// One child process. Its standard error is appended to `stderr_file`, its
// standard output to the file of that name with the suffix ".out".
class ChildProcess {
 public:
  // Throws std::runtime_error if the fork fails. If the program cannot be
  // executed, the child exits with status 127.
  ChildProcess(const std::string& program,
               const std::vector<std::string>& arguments,
               std::string stderr_file);
  // Kills the process if it still runs, and reaps it.
  ~ChildProcess();

  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  pid_t pid() const { return m_pid; }
  bool IsRunning();
  // Sends SIGKILL and returns when the process has ended.
  void Kill();
  // Sends SIGSTOP and returns when the process has stopped.
  void Freeze();
  // Sends SIGCONT.
  void Thaw();
  // Sends SIGTERM and does not wait.
  void Terminate();
  // Sends SIGHUP.
  void Reload();
  // Returns nothing if the process still runs after `limit`.
  std::optional<ExitStatus> WaitForExit(Duration limit = kTestHangTimeout);
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
