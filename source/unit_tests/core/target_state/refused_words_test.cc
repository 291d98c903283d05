// Words that were not taken are told, each once, and never too many.

#include "core/target_state/refused_words.h"

#include <chrono>

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace bulrushmount {
namespace {

using std::chrono_literals::operator""s;

const InstanceId kSpeaker("i-1");

TEST(RefusedWordsTest, EachFaultOfASpeakerIsToldOnce) {
  RefusedWords words;
  const TimePoint now{1s};
  EXPECT_TRUE(words.IsWorthALine(now, kSpeaker, "slots"));
  EXPECT_FALSE(words.IsWorthALine(now + 1s, kSpeaker, "slots"));
  EXPECT_TRUE(words.IsWorthALine(now + 1s, kSpeaker, "state"));
  EXPECT_TRUE(words.IsWorthALine(now + 1s, InstanceId("i-2"), "slots"));
}

// Symptom: the log or the memory fills. Sequence: another writer reports ever
// new targets, each wrongly. Cause: each of them is told and remembered.
TEST(RefusedWordsTest, EverNewSpeakersAreBounded) {
  RefusedWords words;
  std::size_t told = 0;
  for (int speaker = 0; speaker < 10'000; ++speaker) {
    const InstanceId id(fmt::format("i-{}", speaker));
    told += words.IsWorthALine(TimePoint{1s}, id, "slots") ? 1 : 0;
  }
  EXPECT_EQ(told, RefusedWords::kMostTold);
}

TEST(RefusedWordsTest, WhatStillGoesWrongIsToldAgainLater) {
  RefusedWords words;
  const TimePoint now{1s};
  EXPECT_TRUE(words.IsWorthALine(now, kSpeaker, "slots"));
  const TimePoint later = now + RefusedWords::kForgetAfter + 1s;
  EXPECT_TRUE(words.IsWorthALine(later, kSpeaker, "slots"));
  EXPECT_FALSE(words.IsWorthALine(later, kSpeaker, "slots"));
}

}  // namespace
}  // namespace bulrushmount
