// The chain's arms, bars and k against small cases worked by hand.
#include <gtest/gtest.h>

#include <memory>

#include "chain/walk.h"

namespace shunttrail::chain {
namespace {

Bandit* learner() {
  static std::vector<std::unique_ptr<Bandit>> all;  // as long as the tests
  all.push_back(std::make_unique<Bandit>(16));
  return all.back().get();
}

TEST(Bandit, UntriedArmsGoFirstInOrder) {
  Bandit b(4);
  Rng rng(1);
  Context c;
  EXPECT_EQ(b.choose(c, {true, true, true}, rng), Arm::accept);
  b.record(c, Arm::accept, 1);
  EXPECT_EQ(b.choose(c, {true, true, true}, rng), Arm::pass);
  b.record(c, Arm::pass, 1);
  EXPECT_EQ(b.choose(c, {true, true, true}, rng), Arm::down);
  EXPECT_EQ(b.choose(c, {true, true, false}, rng), Arm::accept);
}

TEST(Bandit, LowestCostWinsInItsContextOnly) {
  Bandit b(8);
  Rng rng(1);
  Context c, other;
  other.job_class = 3;
  for (int i = 0; i < 8; ++i) {
    b.record(c, Arm::accept, 5);
    b.record(c, Arm::pass, 2);
    b.record(c, Arm::down, 9);
  }
  for (int i = 0; i < 20; ++i) EXPECT_EQ(b.choose(c, {true, true, true}, rng), Arm::pass);
  EXPECT_EQ(b.choose(c, {true, false, true}, rng), Arm::accept);
  EXPECT_EQ(b.choose(other, {true, true, true}, rng), Arm::accept);
}

TEST(Bandit, RingForgetsTheOldest) {
  Bandit b(4);
  Rng rng(1);
  Context c;
  for (int i = 0; i < 4; ++i) b.record(c, Arm::accept, 100);
  for (int i = 0; i < 4; ++i) b.record(c, Arm::pass, 10);
  for (int i = 0; i < 4; ++i) b.record(c, Arm::accept, 1);
  EXPECT_EQ(b.observations(c, Arm::accept), 4u);
  EXPECT_EQ(b.choose(c, {true, true, false}, rng), Arm::accept);
}

TEST(Bandit, ResamplingExploresBothOfTwoCloseArms) {
  Bandit b(4);
  Rng rng(7);
  Context c;
  for (double x : {1.0, 9.0, 2.0, 8.0}) b.record(c, Arm::accept, x);
  for (double x : {2.0, 8.0, 3.0, 7.0}) b.record(c, Arm::pass, x);
  int accepted = 0;
  for (int i = 0; i < 400; ++i) accepted += b.choose(c, {true, true, false}, rng) == Arm::accept;
  EXPECT_GT(accepted, 80);
  EXPECT_LT(accepted, 320);
}

TEST(IdleWait, FlooredAtBootAndMovedByLambda) {
  IdleWait k(1, 2, 8);
  EXPECT_DOUBLE_EQ(k.seconds(30), 30);
  k.record_rental(40, 30);  // within k + a boot: releasing early cost more
  EXPECT_DOUBLE_EQ(k.seconds(30), 60);
  k.record_rental(100, 30);  // 100 > 60 + 30: it was right to let it go
  EXPECT_DOUBLE_EQ(k.seconds(30), 60);
  k.record_reuse(20, 30);  // idling was cheaper than a boot
  EXPECT_DOUBLE_EQ(k.seconds(30), 60);
  k.record_reuse(45, 30);
  EXPECT_DOUBLE_EQ(k.seconds(30), 30);
  for (int i = 0; i < 20; ++i) k.record_rental(1, 30);
  EXPECT_DOUBLE_EQ(k.seconds(30), 240);  // the cap
}

Candidate seat(int n, bool accept, bool empty) { return {n, learner(), Context{}, accept, empty}; }

TEST(ChainWalk, EndsAtTheFirstAccept) {
  Rng rng(1);
  std::vector<Tier> t(1);
  t[0].candidates = {seat(1, true, false), seat(2, true, false)};
  t[0].end = {TierEnd::rent, 0};
  Outcome o = walk(t, rng);
  EXPECT_EQ(o.kind, Outcome::accepted);
  EXPECT_EQ(o.machine, 1);
  EXPECT_EQ(o.steps.size(), 1u);
}

TEST(ChainWalk, BarredAcceptPassesOnAndRentsAtTheEnd) {
  Rng rng(1);
  std::vector<Tier> t(1);
  t[0].candidates = {seat(1, false, false), seat(2, false, false)};
  t[0].end = {TierEnd::rent, 0};
  Outcome o = walk(t, rng);
  EXPECT_EQ(o.kind, Outcome::rented);
  EXPECT_EQ(o.steps.size(), 2u);
  t[0].end = {TierEnd::join, 9};
  o = walk(t, rng);
  EXPECT_EQ(o.kind, Outcome::joined);
  EXPECT_EQ(o.machine, 9);
}

TEST(ChainWalk, EmptyMachinesCannotPass) {
  Rng rng(1);
  std::vector<Tier> t(1);
  t[0].candidates = {seat(1, true, true)};
  t[0].end = {TierEnd::rent, 0};
  for (int i = 0; i < 4; ++i) t[0].candidates[0].learner->record({}, Arm::accept, 1000);
  EXPECT_EQ(walk(t, rng).kind, Outcome::accepted);
}

TEST(ChainWalk, DownLeadsToTheNextTierAndTheLastHasNone) {
  Rng rng(1);
  std::vector<Tier> t(2);
  t[0].id = 1;
  t[0].candidates = {seat(1, true, true)};
  t[1].id = 2;
  t[1].candidates = {seat(2, true, true)};
  for (int i = 0; i < 4; ++i) {
    t[0].candidates[0].learner->record({}, Arm::accept, 1000);
    t[0].candidates[0].learner->record({}, Arm::down, 1);
  }
  Outcome o = walk(t, rng);
  EXPECT_EQ(o.kind, Outcome::accepted);
  EXPECT_EQ(o.machine, 2);
  ASSERT_EQ(o.steps.size(), 2u);
  EXPECT_EQ(o.steps[0].arm, Arm::down);
}

// Walks through a fleet of hundreds took a quarter of a controller's time, most of it for seats
// that learners cannot tell apart. One of each kind, and the last, lead to the same outcome, by the
// same random numbers.
TEST(ChainWalk, OneCandidateOfAKindStandsForAllThatFollow) {
  Rng gen(11);
  for (int round = 0; round < 400; ++round) {
    Bandit learner(4);
    std::vector<Tier> whole, few;
    for (int id = 0; id < 2; ++id) {
      Tier t;
      t.id = id;
      if (gen() % 3 == 0) t.end = {TierEnd::rent, 0};
      for (int n = 1 + static_cast<int>(gen() % 12); n > 0; --n) {
        Candidate s;
        s.machine = static_cast<int>(t.candidates.size()) + 100 * id;
        s.learner = &learner;
        s.context.waiting = static_cast<std::uint8_t>(gen() % 5);
        s.context.warm = gen() % 2;
        s.may_accept = gen() % 3;
        s.empty = gen() % 4 == 0;
        t.candidates.push_back(s);
        if (gen() % 2)
          learner.record(s.context, static_cast<Arm>(gen() % 3), static_cast<double>(gen() % 100));
      }
      Tier d = t;
      d.candidates.clear();
      CandidateKinds seen;
      for (std::size_t i = 0; i < t.candidates.size(); ++i)
        if (seen.add(t.candidates[i]) || i + 1 == t.candidates.size())
          d.candidates.push_back(t.candidates[i]);
      whole.push_back(std::move(t));
      few.push_back(std::move(d));
    }
    Rng one(round), other(round);
    Outcome a = walk(whole, one), b = walk(few, other);
    EXPECT_EQ(a.kind, b.kind);
    EXPECT_EQ(a.tier, b.tier);
    EXPECT_EQ(a.machine, b.machine);
    EXPECT_EQ(a.steps.size(), b.steps.size());
    EXPECT_EQ(one(), other());
  }
}

TEST(ChainWalk, WithoutARentItFallsBackToTheFirstThatMayAccept) {
  Rng rng(1);
  std::vector<Tier> t(1);
  t[0].candidates = {seat(1, true, false), seat(2, false, false)};
  for (int i = 0; i < 4; ++i) {
    t[0].candidates[0].learner->record({}, Arm::accept, 1000);
    t[0].candidates[0].learner->record({}, Arm::pass, 1);
  }
  Outcome o = walk(t, rng);
  EXPECT_EQ(o.kind, Outcome::accepted);
  EXPECT_EQ(o.machine, 1);
  t[0].candidates[0].may_accept = false;
  EXPECT_EQ(walk(t, rng).kind, Outcome::stalled);
}

}  // namespace
}  // namespace shunttrail::chain
