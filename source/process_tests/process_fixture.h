// Starts, kills, freezes and watches real processes for the process tests.

#ifndef BULRUSHMOUNT_PROCESS_TESTS_PROCESS_FIXTURE_H_
#define BULRUSHMOUNT_PROCESS_TESTS_PROCESS_FIXTURE_H_

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
  // 0 if no whole answer came.
  unsigned status = 0;
  std::string body;
  std::vector<HttpHeader> headers;

  // Empty if there is none; names in any case.
  std::string Header(const std::string& name) const;
};

// One blocking request on a connection of its own.
HttpAnswer HttpCall(const Endpoint& server,
                    const std::string& method,
                    const std::string& path,
                    const std::string& body = {},
                    const std::vector<HttpHeader>& headers = {},
                    Duration limit = kTestHangTimeout);

// A folder for the test's files, addresses of its own, and the stand-ins.
class ProcessTest : public testing::Test {
 protected:
  ProcessTest();
  // Removes the folder unless the test failed.
  ~ProcessTest() override;

  // An endpoint in 127.0.0.0/8 on an address that no other call and no other
  // running test process gets.
  Endpoint FreeEndpoint();
  std::string FilePath(const std::string& name) const;
  std::unique_ptr<ChildProcess> Start(
      const std::string& program,
      const std::vector<std::string>& arguments);
  // Each returns once the program answers, and fails the test if it never
  // does.
  std::unique_ptr<ChildProcess> StartPlatform(const Endpoint& listen);
  std::unique_ptr<ChildProcess> StartTarget(
      const Endpoint& listen,
      const std::vector<std::string>& further_arguments = {});

 private:
  std::string m_folder;
  int m_started = 0;
  int m_addresses = 0;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_PROCESS_TESTS_PROCESS_FIXTURE_H_
