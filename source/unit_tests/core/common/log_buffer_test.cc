// Log lines on their way out: whole while somebody reads, and never waited for.

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

// Symptom: a node answers nobody any more although it is well. Sequence:
// whoever reads its standard output stops; the pipe fills; the node writes a
// line and waits. Cause: a write that blocks. Here such a write would hang the
// test.
TEST_F(LogBufferTest, AReaderThatStopsCostsLinesAndNothingElse) {
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
  // What did come came in whole lines.
  for (std::size_t at = 0; at + 200 <= text.size(); at += 200)
    ASSERT_EQ(text.substr(at, 200), line + "\n");
}

}  // namespace
}  // namespace bulrushmount::detail
