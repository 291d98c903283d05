// Tests of `core/common/log_buffer.h`: lines are written whole, and writing
// never blocks.

#include "core/common/log_buffer.h"

#include <array>
#include <string>

#include <fcntl.h>
#include <unistd.h>

#include <gtest/gtest.h>

namespace bulrushmount::detail {
namespace {

class LogBufferTest : public testing::Test {
 protected:
  LogBufferTest() {
    EXPECT_EQ(::pipe(m_pipe.data()), 0);
    ::fcntl(m_pipe[0], F_SETFL, O_NONBLOCK);
  }
  ~LogBufferTest() override {
    ::close(m_pipe[0]);
    ::close(m_pipe[1]);
  }

  std::string ReadSome() const {
    std::string text(1 << 20, '\0');
    const ssize_t size = ::read(m_pipe[0], text.data(), text.size());
    text.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
    return text;
  }

  std::array<int, 2> m_pipe{};
};

TEST_F(LogBufferTest, WithoutBufferingEachLineGoesOutAtOnce) {
  LogBuffer buffer(m_pipe[1]);
  buffer.Add("one\n");
  EXPECT_EQ(ReadSome(), "one\n");
}

TEST_F(LogBufferTest, BufferedLinesWaitForAFlush) {
  LogBuffer buffer(m_pipe[1]);
  buffer.SetBuffered(true);
  buffer.Add("one\n");
  buffer.Add("two\n");
  buffer.Flush();
  EXPECT_EQ(ReadSome(), "one\ntwo\n");
}

// Guards against a healthy node that stops responding because it blocks on a
// log line: the reader of its standard output stops, and the pipe fills up. A
// blocking write would hang this test.
TEST_F(LogBufferTest, StoppedReaderLosesLinesWithoutBlocking) {
  LogBuffer buffer(m_pipe[1]);
  buffer.SetBuffered(true);
  const std::string line(199, 'x');
  for (int count = 0; count < 10'000; ++count)
    buffer.Add(line + "\n");
  EXPECT_GT(buffer.dropped_lines(), 0U);
  std::string text;
  for (int reads = 0; reads < 100; ++reads) {
    text += ReadSome();
    buffer.Flush();
    if (text.size() % 200 == 0 && reads > 20)
      break;
  }
  // The lines that were written are complete.
  for (std::size_t at = 0; at + 200 <= text.size(); at += 200)
    ASSERT_EQ(text.substr(at, 200), line + "\n");
}

}  // namespace
}  // namespace bulrushmount::detail
