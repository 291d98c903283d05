// Implements `ChildProcess` with fork, exec and signals.

#include "stand_ins/child_process.h"

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <utility>

namespace bulrushmount {

namespace {

constexpr int kLogFlags = O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC;
constexpr char kStdoutSuffix[] = ".out";
constexpr auto kPollInterval = std::chrono::milliseconds(5);

int OpenLog(const std::string& path) {
  return ::open(path.c_str(), kLogFlags, 0644);
}

// Runs in the child between fork and exec, so it makes only async-signal-safe
// calls. Closes all inherited descriptors: a listening socket held by the child
// would go on accepting connections, and hold them open, after the parent has
// closed it.
[[noreturn]] void ExecProgram(std::vector<char*>& arguments,
                              int stdout_file,
                              int stderr_file) {
  ::dup2(stdout_file, STDOUT_FILENO);
  ::dup2(stderr_file, STDERR_FILENO);
  ::close_range(STDERR_FILENO + 1, ~0U, 0);
  ::execv(arguments[0], arguments.data());
  ::_exit(127);
}

}  // namespace

bool WaitUntil(const std::function<bool()>& is_done, Duration limit) {
  const TimePoint deadline = Now() + limit;
  while (!is_done()) {
    if (Now() > deadline) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

ChildProcess::ChildProcess(const std::string& program,
                           const std::vector<std::string>& arguments,
                           std::string stderr_file)
    : m_stderr_file(std::move(stderr_file)) {
  const int error_log = OpenLog(m_stderr_file);
  const int output_log = OpenLog(m_stderr_file + kStdoutSuffix);
  std::vector<std::string> words{program};
  words.insert(words.end(), arguments.begin(), arguments.end());
  std::vector<char*> pointers;
  pointers.reserve(words.size() + 1);
  for (std::string& word : words) {
    pointers.push_back(word.data());
  }
  pointers.push_back(nullptr);
  m_pid = ::fork();
  if (m_pid == 0) {
    ExecProgram(pointers, output_log, error_log);
  }
  ::close(error_log);
  ::close(output_log);
  if (m_pid < 0) {
    throw std::runtime_error("cannot start " + program);
  }
}

ChildProcess::~ChildProcess() {
  if (IsRunning()) {
    Kill();
  }
}

bool ChildProcess::IsRunning() {
  Reap(WNOHANG);
  return !m_exit.has_value();
}

void ChildProcess::Kill() {
  Signal(SIGKILL);
  Reap(0);
}

void ChildProcess::Freeze() {
  Signal(SIGSTOP);
  siginfo_t info{};
  while (::waitid(P_PID, static_cast<id_t>(m_pid), &info,
                  WSTOPPED | WEXITED | WNOWAIT) < 0 &&
         errno == EINTR) {
  }
}

void ChildProcess::Thaw() {
  Signal(SIGCONT);
}

void ChildProcess::Terminate() {
  Signal(SIGTERM);
}

void ChildProcess::Reload() {
  Signal(SIGHUP);
}

std::optional<ExitStatus> ChildProcess::WaitForExit(Duration limit) {
  WaitUntil([this] { return !IsRunning(); }, limit);
  return m_exit;
}

std::string ChildProcess::StdoutText() const {
  return ReadFile(m_stderr_file + kStdoutSuffix);
}

std::string ChildProcess::StderrText() const {
  return ReadFile(m_stderr_file);
}

// Sends nothing once the process is reaped, because its id may belong to
// another process by then.
void ChildProcess::Signal(int number) {
  if (!m_exit) {
    ::kill(m_pid, number);
  }
}

void ChildProcess::Reap(int options) {
  int status = 0;
  if (m_exit || ::waitpid(m_pid, &status, options) != m_pid) {
    return;
  }
  m_exit.emplace();
  if (WIFEXITED(status)) {
    m_exit->code = WEXITSTATUS(status);
  } else if (WIFSIGNALED(status)) {
    m_exit->signal = WTERMSIG(status);
  }
}

std::string ReadFile(const std::string& path) {
  const std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace bulrushmount
