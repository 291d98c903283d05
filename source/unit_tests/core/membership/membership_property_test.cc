// RapidCheck properties of membership under kills, freezes, partitions, packet
// loss and departures, compared with a naive reference model that records what
// the commands did to each node.

#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "core/membership/membership.h"
#include "unit_tests/core/membership/member_network.h"

namespace bulrushmount {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

enum class Command {
  kKill,
  kFreeze,
  kResume,
  kCut,
  kHeal,
  kLoss,
  kJoin,
  kLeave
};

// Naive reference model: the commands set each node's state directly.
class NaiveMembership {
 public:
  std::map<std::size_t, MemberState> states;
};

class Scenario {
 public:
  explicit Scenario(std::uint64_t seed) : m_network(seed) {
    for (int i = 0; i < 6; ++i) {
      Join();
    }
    m_network.Run(seconds(10));
  }

  void Apply(Command command, std::size_t choice, Duration pause) {
    const std::size_t node = choice % m_network.size();
    const bool is_alive = m_naive.states[node] == MemberState::kAlive;
    switch (command) {
      case Command::kKill:
        if (is_alive && CountAlive() > 3) {
          m_network.Kill(node);
          m_naive.states[node] = MemberState::kDead;
        }
        break;
      case Command::kFreeze:
        if (is_alive) {
          m_network.Freeze(node);
        }
        break;
      case Command::kResume:
        Thaw(node);
        break;
      case Command::kCut:
        m_network.SetSide(node, 1);
        break;
      case Command::kHeal:
        HealCuts();
        break;
      case Command::kLoss:
        m_network.SetLoss(static_cast<double>(choice % 4) * 0.1);
        break;
      case Command::kJoin:
        if (m_network.size() < 12) {
          Join();
        }
        break;
      case Command::kLeave:
        if (is_alive && CountAlive() > 3) {
          Thaw(node);
          m_network.at(node).Leave(m_network.now());
          m_naive.states[node] = MemberState::kLeft;
        }
        break;
    }
    for (Duration passed{}; passed < pause; passed += milliseconds(500)) {
      m_network.Run(milliseconds(500));
      CheckIncarnations();
    }
  }

  void HealAll() {
    HealCuts();
    m_network.SetLoss(0);
    for (std::size_t i = 0; i < m_network.size(); ++i) {
      Thaw(i);
    }
  }

  // Whether each live node's table agrees with the naive model.
  bool AgreesWithNaive() {
    for (const auto& [observer, own_state] : m_naive.states) {
      if (own_state != MemberState::kAlive) {
        continue;
      }
      for (const auto& [subject, state] : m_naive.states) {
        const bool is_live = IsLive(m_network.StateAt(observer, subject));
        const bool is_alive =
            m_network.StateAt(observer, subject) == MemberState::kAlive;
        if (state == MemberState::kAlive ? !is_alive : is_live) {
          return false;
        }
      }
    }
    return true;
  }

  MemberNetwork& network() { return m_network; }

 private:
  void Join() {
    std::vector<std::size_t> seeds;
    for (std::size_t i = 0; i < m_network.size(); ++i) {
      seeds.push_back(i);
    }
    const std::size_t node = m_network.size();
    m_network.Add(node % 3 == 0 ? "east" : "west", std::to_string(node % 4),
                  seeds);
    m_naive.states[node] = MemberState::kAlive;
  }

  void Thaw(std::size_t node) {
    if (m_network.IsFrozen(node)) {
      m_network.Resume(node);
    }
  }

  void HealCuts() {
    for (std::size_t i = 0; i < m_network.size(); ++i) {
      m_network.SetSide(i, 0);
    }
  }

  std::size_t CountAlive() const {
    std::size_t count = 0;
    for (const auto& [node, state] : m_naive.states) {
      count += state == MemberState::kAlive ? 1 : 0;
    }
    return count;
  }

  // The incarnation that a node knows of a member neither decreases nor exceeds
  // the member's own.
  void CheckIncarnations() {
    for (std::size_t i = 0; i < m_network.size(); ++i) {
      for (std::size_t j = 0; j < m_network.size(); ++j) {
        const Member* member = m_network.at(i).table().Find(m_network.id(j));
        if (member == nullptr) {
          continue;
        }
        Incarnation& highest = m_highest[{i, j}];
        RC_ASSERT(member->incarnation >= highest);
        RC_ASSERT(member->incarnation <= m_network.at(j).self().incarnation);
        highest = member->incarnation;
      }
    }
  }

  MemberNetwork m_network;
  NaiveMembership m_naive;
  std::map<std::pair<std::size_t, std::size_t>, Incarnation> m_highest;
};

RC_GTEST_PROP(MembershipPropertyTest, ConnectedMembersConverge, ()) {
  Scenario scenario(*rc::gen::arbitrary<std::uint64_t>());
  const int steps = *rc::gen::inRange(0, 15);
  for (int i = 0; i < steps; ++i) {
    const auto command = static_cast<Command>(*rc::gen::inRange(0, 8));
    scenario.Apply(command, *rc::gen::inRange<std::size_t>(0, 100),
                   milliseconds(*rc::gen::inRange(0, 15000)));
  }
  scenario.HealAll();
  // Enough time to detect a dead member and to merge the sides.
  RC_ASSERT(scenario.network().RunUntil(
      [&] { return scenario.AgreesWithNaive(); }, seconds(90)));
  // The state is stable: without faults no member is suspected for long.
  scenario.network().Run(seconds(20));
  RC_ASSERT(scenario.AgreesWithNaive());
}

}  // namespace
}  // namespace bulrushmount
