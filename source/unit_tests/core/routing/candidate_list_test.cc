// Tests of `core/routing/candidate_list.h` against a map.

#include "core/routing/candidate_list.h"

#include <unordered_map>
#include <unordered_set>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace bulrushmount {
namespace {

struct Target {
  Candidate candidate;
  int value = 0;
};

using NaiveList = std::unordered_map<NodeId, Target>;

NodeId GenerateNode() {
  return NodeId(*rc::gen::inRange<std::uint64_t>(1, 30));
}

ZoneDistance GenerateDistance() {
  return static_cast<ZoneDistance>(*rc::gen::inRange(0, 3));
}

void CheckDraw(CandidateList<Target>& list,
               const NaiveList& naive,
               RandomSource& random) {
  const ZoneDistance distance = GenerateDistance();
  const auto count = *rc::gen::inRange<std::size_t>(0, 9);
  const auto excluded =
      *rc::gen::container<std::vector<NodeId>>(rc::gen::exec(GenerateNode));
  std::unordered_set<NodeId> drawn;
  list.Draw(distance, count, excluded, random, [&](const Target& target) {
    const NodeId node = target.candidate.node;
    RC_ASSERT(drawn.insert(node).second);
    RC_ASSERT(naive.contains(node));
    RC_ASSERT(naive.at(node).candidate.distance == distance);
    RC_ASSERT(!Contains(excluded, node));
  });
  std::size_t eligible = 0;
  for (const auto& [node, target] : naive) {
    eligible +=
        target.candidate.distance == distance && !Contains(excluded, node);
  }
  RC_ASSERT(drawn.size() == std::min(count, eligible));
}

void CheckSame(CandidateList<Target>& list, const NaiveList& naive) {
  RC_ASSERT(list.size() == naive.size());
  std::unordered_set<NodeId> seen;
  for (std::size_t index = 0; index < list.size(); ++index)
    seen.insert(list.At(index).candidate.node);
  RC_ASSERT(seen.size() == naive.size());
  for (const auto& [node, target] : naive) {
    const Target* found = list.Find(node);
    RC_ASSERT(found != nullptr);
    RC_ASSERT(found->value == target.value);
    RC_ASSERT(found->candidate.distance == target.candidate.distance);
  }
}

RC_GTEST_PROP(CandidateListTest, MatchesAMap, ()) {
  CandidateList<Target> list;
  NaiveList naive;
  SeededRandomSource random(*rc::gen::arbitrary<std::uint64_t>());
  const int steps = *rc::gen::inRange(1, 100);
  for (int step = 0; step < steps; ++step) {
    const NodeId node = GenerateNode();
    const int choice = *rc::gen::inRange(0, 10);
    if (choice < 6) {
      const Candidate candidate{.node = node, .distance = GenerateDistance()};
      list.Update(candidate);
      naive[node].candidate = candidate;
    } else if (choice < 8) {
      list.Remove(node);
      naive.erase(node);
    } else if (Target* target = list.Find(node)) {
      target->value = step;
      naive.at(node).value = step;
    }
    CheckSame(list, naive);
    CheckDraw(list, naive, random);
  }
}

}  // namespace
}  // namespace bulrushmount
