// Words that were not taken are told, each once, and never too many.

#include "core/target_state/refused_reports.h"

#include <chrono>

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace bulrushmount {
namespace {

using std::chrono_literals::operator""s;

const InstanceId kSpeaker("i-1");

TEST(RefusedReportsTest, EachFaultOfASpeakerIsToldOnce) {
  RefusedReports words;
  const TimePoint now{1s};
  EXPECT_TRUE(words.ShouldLog(now, kSpeaker, "slots"));
  EXPECT_FALSE(words.ShouldLog(now + 1s, kSpeaker, "slots"));
  EXPECT_TRUE(words.ShouldLog(now + 1s, kSpeaker, "state"));
  EXPECT_TRUE(words.ShouldLog(now + 1s, InstanceId("i-2"), "slots"));
}

// Symptom: the log or the memory fills. Sequence: another writer reports ever
// new targets, each wrongly. Cause: each of them is told and remembered.
TEST(RefusedReportsTest, EverNewSpeakersAreBounded) {
  RefusedReports words;
  std::size_t told = 0;
  for (int speaker = 0; speaker < 10'000; ++speaker) {
    const InstanceId id(fmt::format("i-{}", speaker));
    told += words.ShouldLog(TimePoint{1s}, id, "slots") ? 1 : 0;
  }
  EXPECT_EQ(told, RefusedReports::kMaxReported);
}

TEST(RefusedReportsTest, WhatStillGoesWrongIsToldAgainLater) {
  RefusedReports words;
  const TimePoint now{1s};
  EXPECT_TRUE(words.ShouldLog(now, kSpeaker, "slots"));
  const TimePoint later = now + RefusedReports::kForgetAfter + 1s;
  EXPECT_TRUE(words.ShouldLog(later, kSpeaker, "slots"));
  EXPECT_FALSE(words.ShouldLog(later, kSpeaker, "slots"));
}

}  // namespace
}  // namespace bulrushmount
