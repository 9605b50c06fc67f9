// Tests of the chain's bandit, of its walk and of the idle wait k, on small cases whose results are
// worked out by hand.
#include <gtest/gtest.h>

#include <memory>

#include "chain/walk.h"

namespace shunttrail::chain {
namespace {

Bandit* new_learner() {
  static std::vector<std::unique_ptr<Bandit>> learners;  // owned for the duration of the tests
  learners.push_back(std::make_unique<Bandit>(16));
  return learners.back().get();
}

TEST(Bandit, UntriedArmsGoFirstInOrder) {
  Bandit bandit(4);
  Rng rng(1);
  Context context;
  EXPECT_EQ(bandit.choose(context, {true, true, true}, rng), Arm::accept);
  bandit.record(context, Arm::accept, 1);
  EXPECT_EQ(bandit.choose(context, {true, true, true}, rng), Arm::pass);
  bandit.record(context, Arm::pass, 1);
  EXPECT_EQ(bandit.choose(context, {true, true, true}, rng), Arm::down);
  EXPECT_EQ(bandit.choose(context, {true, true, false}, rng), Arm::accept);
}

TEST(Bandit, LowestCostWinsInItsContextOnly) {
  Bandit bandit(8);
  Rng rng(1);
  Context context, other_context;
  other_context.job_class = 3;
  for (int i = 0; i < 8; ++i) {
    bandit.record(context, Arm::accept, 5);
    bandit.record(context, Arm::pass, 2);
    bandit.record(context, Arm::down, 9);
  }
  for (int i = 0; i < 20; ++i)
    EXPECT_EQ(bandit.choose(context, {true, true, true}, rng), Arm::pass);
  EXPECT_EQ(bandit.choose(context, {true, false, true}, rng), Arm::accept);
  EXPECT_EQ(bandit.choose(other_context, {true, true, true}, rng), Arm::accept);
}

TEST(Bandit, RingOverwritesTheOldestCosts) {
  Bandit bandit(4);
  Rng rng(1);
  Context context;
  for (int i = 0; i < 4; ++i) bandit.record(context, Arm::accept, 100);
  for (int i = 0; i < 4; ++i) bandit.record(context, Arm::pass, 10);
  for (int i = 0; i < 4; ++i) bandit.record(context, Arm::accept, 1);
  EXPECT_EQ(bandit.observations(context, Arm::accept), 4u);
  EXPECT_EQ(bandit.choose(context, {true, true, false}, rng), Arm::accept);
}

TEST(Bandit, ResamplingExploresBothOfTwoCloseArms) {
  Bandit bandit(4);
  Rng rng(7);
  Context context;
  for (double cost : {1.0, 9.0, 2.0, 8.0}) bandit.record(context, Arm::accept, cost);
  for (double cost : {2.0, 8.0, 3.0, 7.0}) bandit.record(context, Arm::pass, cost);
  int accepted = 0;
  for (int i = 0; i < 400; ++i)
    accepted += bandit.choose(context, {true, true, false}, rng) == Arm::accept;
  EXPECT_GT(accepted, 80);
  EXPECT_LT(accepted, 320);
}

TEST(IdleWait, StaysBetweenBootTimeAndCapAndMovesByLambda) {
  IdleWait wait(1, 2, 8);
  EXPECT_DOUBLE_EQ(wait.seconds(30), 30);
  wait.record_rental(40, 30);  // 40 < k + a boot time: keeping the machine would have cost less
  EXPECT_DOUBLE_EQ(wait.seconds(30), 60);
  wait.record_rental(100, 30);  // 100 > 60 + 30: returning the machine was right
  EXPECT_DOUBLE_EQ(wait.seconds(30), 60);
  wait.record_reuse(20, 30);  // 20 < 30: idling cost less than a boot
  EXPECT_DOUBLE_EQ(wait.seconds(30), 60);
  wait.record_reuse(45, 30);
  EXPECT_DOUBLE_EQ(wait.seconds(30), 30);
  for (int i = 0; i < 20; ++i) wait.record_rental(1, 30);
  EXPECT_DOUBLE_EQ(wait.seconds(30), 240);  // the cap of eight boot times
}

Candidate make_candidate(int machine, bool may_accept, bool empty) {
  return {machine, new_learner(), Context{}, may_accept, empty};
}

TEST(ChainWalk, EndsAtTheFirstAccept) {
  Rng rng(1);
  std::vector<Tier> tiers(1);
  tiers[0].candidates = {make_candidate(1, true, false), make_candidate(2, true, false)};
  tiers[0].end = {TierEnd::rent, 0};
  Outcome outcome = walk(tiers, rng);
  EXPECT_EQ(outcome.kind, Outcome::accepted);
  EXPECT_EQ(outcome.machine, 1);
  EXPECT_EQ(outcome.steps.size(), 1u);
}

TEST(ChainWalk, WithoutAnAcceptTheTiersEndRentsOrJoins) {
  Rng rng(1);
  std::vector<Tier> tiers(1);
  tiers[0].candidates = {make_candidate(1, false, false), make_candidate(2, false, false)};
  tiers[0].end = {TierEnd::rent, 0};
  Outcome outcome = walk(tiers, rng);
  EXPECT_EQ(outcome.kind, Outcome::rented);
  EXPECT_EQ(outcome.steps.size(), 2u);
  tiers[0].end = {TierEnd::join, 9};
  outcome = walk(tiers, rng);
  EXPECT_EQ(outcome.kind, Outcome::joined);
  EXPECT_EQ(outcome.machine, 9);
}

TEST(ChainWalk, EmptyMachinesCannotPass) {
  Rng rng(1);
  std::vector<Tier> tiers(1);
  tiers[0].candidates = {make_candidate(1, true, true)};
  tiers[0].end = {TierEnd::rent, 0};
  for (int i = 0; i < 4; ++i) tiers[0].candidates[0].learner->record({}, Arm::accept, 1000);
  EXPECT_EQ(walk(tiers, rng).kind, Outcome::accepted);
}

TEST(ChainWalk, DownLeadsToTheNextTierAndTheLastHasNone) {
  Rng rng(1);
  std::vector<Tier> tiers(2);
  tiers[0].id = 1;
  tiers[0].candidates = {make_candidate(1, true, true)};
  tiers[1].id = 2;
  tiers[1].candidates = {make_candidate(2, true, true)};
  for (int i = 0; i < 4; ++i) {
    tiers[0].candidates[0].learner->record({}, Arm::accept, 1000);
    tiers[0].candidates[0].learner->record({}, Arm::down, 1);
  }
  Outcome outcome = walk(tiers, rng);
  EXPECT_EQ(outcome.kind, Outcome::accepted);
  EXPECT_EQ(outcome.machine, 2);
  ASSERT_EQ(outcome.steps.size(), 2u);
  EXPECT_EQ(outcome.steps[0].arm, Arm::down);
}

// Guards against the cost of walks in large clusters: with hundreds of machines, walks took a
// quarter of a controller's time, most of it for candidates that learners cannot distinguish. The
// first candidate of each kind and the last candidate of the tier must lead to the same outcome as
// all candidates, with the same random draws.
TEST(ChainWalk, FirstOfEachKindAndTheLastLeadToTheSameOutcomeAsAllCandidates) {
  Rng rng(11);
  for (int round = 0; round < 400; ++round) {
    Bandit learner(4);
    std::vector<Tier> all_tiers, reduced_tiers;
    for (int id = 0; id < 2; ++id) {
      Tier tier;
      tier.id = id;
      if (rng() % 3 == 0) tier.end = {TierEnd::rent, 0};
      for (int count = 1 + static_cast<int>(rng() % 12); count > 0; --count) {
        Candidate candidate;
        candidate.machine = static_cast<int>(tier.candidates.size()) + 100 * id;
        candidate.learner = &learner;
        candidate.context.waiting = static_cast<std::uint8_t>(rng() % 5);
        candidate.context.warm = rng() % 2;
        candidate.may_accept = rng() % 3;
        candidate.empty = rng() % 4 == 0;
        tier.candidates.push_back(candidate);
        if (rng() % 2)
          learner.record(candidate.context, static_cast<Arm>(rng() % 3),
                         static_cast<double>(rng() % 100));
      }
      Tier reduced = tier;
      reduced.candidates.clear();
      CandidateKinds seen_kinds;
      for (std::size_t i = 0; i < tier.candidates.size(); ++i)
        if (seen_kinds.add(tier.candidates[i]) || i + 1 == tier.candidates.size())
          reduced.candidates.push_back(tier.candidates[i]);
      all_tiers.push_back(std::move(tier));
      reduced_tiers.push_back(std::move(reduced));
    }
    Rng all_rng(round), reduced_rng(round);
    Outcome expected = walk(all_tiers, all_rng), actual = walk(reduced_tiers, reduced_rng);
    EXPECT_EQ(expected.kind, actual.kind);
    EXPECT_EQ(expected.tier, actual.tier);
    EXPECT_EQ(expected.machine, actual.machine);
    EXPECT_EQ(expected.steps.size(), actual.steps.size());
    EXPECT_EQ(all_rng(), reduced_rng());
  }
}

TEST(ChainWalk, WithoutARentTheFirstThatMayAcceptTakesTheTask) {
  Rng rng(1);
  std::vector<Tier> tiers(1);
  tiers[0].candidates = {make_candidate(1, true, false), make_candidate(2, false, false)};
  for (int i = 0; i < 4; ++i) {
    tiers[0].candidates[0].learner->record({}, Arm::accept, 1000);
    tiers[0].candidates[0].learner->record({}, Arm::pass, 1);
  }
  Outcome outcome = walk(tiers, rng);
  EXPECT_EQ(outcome.kind, Outcome::accepted);
  EXPECT_EQ(outcome.machine, 1);
  tiers[0].candidates[0].may_accept = false;
  EXPECT_EQ(walk(tiers, rng).kind, Outcome::stalled);
}

}  // namespace
}  // namespace shunttrail::chain
