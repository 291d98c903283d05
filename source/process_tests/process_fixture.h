// The base fixture of the process tests: temporary files, loopback addresses,
// blocking HTTP calls, and the processes of the platform and target stand-ins.

#ifndef BULRUSHMOUNT_PROCESS_TESTS_PROCESS_FIXTURE_H_
#define BULRUSHMOUNT_PROCESS_TESTS_PROCESS_FIXTURE_H_

#include <sys/types.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "core/common/endpoint.h"
#include "core/common/time.h"
#include "stand_ins/child_process.h"

namespace bulrushmount {

struct HttpHeader {
  std::string name;
  std::string value;
};

struct HttpAnswer {
  // 0 if no complete answer arrived.
  unsigned status = 0;
  std::string body;
  std::vector<HttpHeader> headers;

  // Returns the header's value, or an empty string if the header is absent.
  // Names are compared without regard to case.
  std::string Header(const std::string& name) const;
};

// Sends one request on a new connection and blocks until the answer is complete
// or `limit` has passed.
HttpAnswer HttpCall(const Endpoint& server,
                    const std::string& method,
                    const std::string& path,
                    const std::string& body = {},
                    const std::vector<HttpHeader>& headers = {},
                    Duration limit = kTestHangTimeout);

// The resident memory of a process in kilobytes; 0 if it does not run.
std::int64_t ResidentKb(pid_t pid);

// Gives each test a temporary folder and unused endpoints, and starts
// processes.
class ProcessTest : public testing::Test {
 protected:
  ProcessTest();
  // Removes the folder, but keeps it if the test failed.
  ~ProcessTest() override;

  // Returns a free endpoint in 127.0.0.0/8, on an address that neither another
  // call nor another running test process is given.
  Endpoint FreeEndpoint();
  std::string FilePath(const std::string& name) const;
  std::unique_ptr<ChildProcess> Start(
      const std::string& program,
      const std::vector<std::string>& arguments);
  // Both return once the program answers requests, and fail the test if it
  // never does.
  std::unique_ptr<ChildProcess> StartPlatform(const Endpoint& listen);
  std::unique_ptr<ChildProcess> StartTarget(
      const Endpoint& listen,
      const std::vector<std::string>& extra_arguments = {});

 private:
  std::string m_folder;
  int m_started = 0;
  int m_addresses = 0;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_PROCESS_TESTS_PROCESS_FIXTURE_H_
