// Delegated tasks: the stored form, what it keeps from starting where, quotas, and two schedulers
// over one state service (docs/delegation.md).
#include "jobs/delegation.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

#include "emulators.h"
#include "peer/peer.h"
#include "scheduler/offer_fit.h"
#include "schema/schema.h"

namespace shunttrail::test {
namespace {

using jobs::Resources;
using scheduler::RoomOffer;

const std::string kId = "run-100001";

wire::JobRecord delegated_record() {
  wire::JobRecord record = make_job(1, 6, 1);
  record.spec.types = {{"t4", "t8"}};
  record.submitted_at = 5;
  record.delegation = wire::Delegation{1, false, {{1, 2}, {5, 5}}};
  record.tag = "node-0.1.a7";
  return record;
}

// ---- the stored form

TEST(DelegationRecord, IsTheRecordedOneAndComesBack) {
  const wire::JobRecord record = delegated_record();
  const std::string text = wire::encode_record(record);
  // A type that no cloud lists keeps builds off it that know no delegations.
  EXPECT_EQ(nlohmann::json::parse(text)["stock_types"], nlohmann::json({"-delegated-"}));
  EXPECT_EQ(nlohmann::json::parse(text)["delegation"].dump(),
            R"({"tasks":[1,2,5,5],"to":1,"types":["t4","t8"]})");
  EXPECT_EQ(nlohmann::json::parse(text)["w"], "node-0.1.a7");
  wire::JobRecord again = wire::decode_job_record({"st/j/" + kId, text, 9});
  EXPECT_EQ(again.delegation, record.delegation);
  EXPECT_EQ(again.spec.types, record.spec.types);
  EXPECT_EQ(again.tag, record.tag);
  EXPECT_EQ(wire::encode_record(again), text);
  again.delegation->zone = "b";
  const wire::JobRecord in_zone =
      wire::decode_job_record({"st/j/" + kId, wire::encode_record(again), 9});
  EXPECT_EQ(in_zone.delegation->zone, "b");
  again.delegation->zone.reset();
  again.delegation->is_closed = true;
  again.spec.types.reset();
  const std::string closed = wire::encode_record(again);
  EXPECT_EQ(nlohmann::json::parse(closed)["delegation"].dump(),
            R"({"closed":1,"tasks":[1,2,5,5],"to":1})");
  EXPECT_EQ(wire::encode_record(wire::decode_job_record({"st/j/" + kId, closed, 9})), closed);
}

// What cannot be read is counted; the job stays known, and nobody starts its tasks.
TEST(DelegationRecord, WhatCannotBeReadKeepsTheJobKnownAndItsTasksWaiting) {
  const config::Settings settings = make_settings();
  for (const char* bad :
       {R"(7)", R"([])", R"("x")", R"({})", R"({"to":1})", R"({"to":-1,"tasks":[]})",
        R"({"to":5000,"tasks":[]})", R"({"to":1,"tasks":[3]})", R"({"to":1,"tasks":[3,2]})",
        R"({"to":1,"tasks":[0,6]})", R"({"to":1,"tasks":[0,1],"types":7})"}) {
    SCOPED_TRACE(bad);
    nlohmann::json value = nlohmann::json::parse(wire::encode_record(delegated_record()));
    value["delegation"] = nlohmann::json::parse(bad);
    state::StateCache cache(settings);
    std::vector<state::Change> changes;
    cache.apply({state::job_key(kId), value.dump(), 3}, changes);
    cache.advance(3);
    EXPECT_EQ(cache.malformed(), 1u);
    const state::JobEntry* job = cache.job(kId);
    ASSERT_TRUE(job);
    for (int shard : {0, 1})
      EXPECT_EQ(jobs::withheld_tasks(cache, *job, shard, 0), std::vector<bool>(6, true));
  }
}

// ---- what may start where

class Delegated : public ::testing::Test {
 protected:
  config::Settings settings_ = make_settings();
  state::StateCache cache_{settings_};
  std::uint64_t revision_ = 10;

  void set(const wire::JobRecord& record) {
    std::vector<state::Change> changes;
    cache_.apply({state::job_key(kId), wire::encode_record(record), ++revision_}, changes);
  }
  void page(int shard, const std::vector<std::uint32_t>& tasks, wire::Intervals done = {}) {
    wire::JobPlacements placements{kId, 0, 1, 0, 1, {}, {}};
    for (const std::uint32_t task : tasks) placements.placements.push_back({"m-1", task, 77});
    if (!done.empty()) placements.done.emplace_back(0, std::move(done));
    const std::string value = wire::encode_record(wire::PlacementPageRecord{"t", {placements}},
                                                  [](int) { return std::string("red"); });
    std::vector<state::Change> changes;
    cache_.apply({state::placement_page_key(shard, 0), value, ++revision_}, changes);
  }
  void drop_job() {
    std::vector<state::Change> changes;
    cache_.apply({state::job_key(kId), std::nullopt, ++revision_}, changes);
  }
  void read_all() { cache_.advance(revision_); }
  std::vector<bool> withheld(int shard) const {
    return jobs::withheld_tasks(cache_, *cache_.job(kId), shard, 0);
  }
  std::int64_t used() const { return jobs::delegated_use(cache_, settings_, 0)[0].cpus / 1000000; }
};

TEST_F(Delegated, OpenTasksStartThereAndNowhereElse) {
  set(delegated_record());
  read_all();
  EXPECT_EQ(withheld(0), (std::vector<bool>{false, true, true, false, false, true}));
  EXPECT_EQ(withheld(1), (std::vector<bool>{true, false, false, true, true, false}));
  EXPECT_EQ(used(), 3);
  page(1, {1}, {{2, 2}});
  EXPECT_EQ(used(), 2);  // one of them is done
}

TEST_F(Delegated, ClosedTasksComeBackOnceWhatCameBeforeHasBeenRead) {
  wire::JobRecord record = delegated_record();
  record.delegation->is_closed = true;
  set(record);
  // A start that was committed before may not have been read yet.
  EXPECT_EQ(withheld(0), (std::vector<bool>{false, true, true, false, false, true}));
  EXPECT_EQ(withheld(1), std::vector<bool>(6, true));
  EXPECT_EQ(used(), 3);
  page(1, {5});
  read_all();
  EXPECT_EQ(withheld(0), (std::vector<bool>{false, false, false, false, false, true}));
  EXPECT_EQ(used(), 1);
  page(1, {});
  EXPECT_EQ(withheld(0), std::vector<bool>(6, false));
  EXPECT_EQ(used(), 0);
}

TEST_F(Delegated, AGangComesBackAsAWhole) {
  wire::JobRecord record = delegated_record();
  record.spec.gang = true;
  record.delegation = wire::Delegation{1, true, {{0, 5}}};
  set(record);
  page(1, {5});
  read_all();
  EXPECT_EQ(withheld(0), std::vector<bool>(6, true));
  page(1, {});
  EXPECT_EQ(withheld(0), std::vector<bool>(6, false));
}

TEST_F(Delegated, AnEndedJobHoldsItsTeamsLimitUntilItsTasksAreProvenGone) {
  set(delegated_record());
  read_all();
  drop_job();
  EXPECT_EQ(used(), 3);  // a start may have been committed just before, and is not read yet
  page(1, {1, 5});
  read_all();
  EXPECT_EQ(used(), 2);
  page(1, {1});
  EXPECT_EQ(used(), 1);
  page(1, {});
  EXPECT_EQ(used(), 0);
}

TEST_F(Delegated, OnlyWhereEveryNodeKnowsIt) {
  std::vector<state::Change> changes;
  const auto member = [&](int node, const schema::Build& build) {
    cache_.apply({state::node_key(settings_.nodes[static_cast<std::size_t>(node)]),
                  schema::encode_member(1, build), ++revision_},
                 changes);
  };
  EXPECT_FALSE(jobs::delegation_enabled(cache_));
  cache_.apply({schema::kActiveKey, schema::encode(schema::VersionRecord{2, 2, 2, "t"}), 5},
               changes);
  EXPECT_TRUE(jobs::delegation_enabled(cache_));
  member(0, schema::current_build(true));
  EXPECT_TRUE(jobs::delegation_enabled(cache_));
  member(1, {});  // one that knows no levels cannot be kept out
  EXPECT_FALSE(jobs::delegation_enabled(cache_));
  member(1, schema::current_build(false));
  EXPECT_TRUE(jobs::delegation_enabled(cache_));
}

// A version that has no delegations is settled only once none is stored.
TEST_F(Delegated, ADowngradeWaitsForTheLastOne) {
  std::vector<state::Change> changes;
  set(delegated_record());
  read_all();
  cache_.apply({schema::kActiveKey, schema::encode(schema::VersionRecord{1, 1, 2, "t"}), 50},
               changes);
  cache_.advance(60);
  EXPECT_FALSE(cache_.all_converted());
  revision_ = 60;
  wire::JobRecord record = delegated_record();
  record.delegation.reset();
  set(record);
  EXPECT_TRUE(cache_.all_converted());
}

TEST(DelegationBuild, IsRaisedOnlyWhereTheOperatorsHaveSaidSo) {
  EXPECT_EQ(schema::current_build(false), (schema::Build{0, 2, 1}));
  EXPECT_EQ(schema::current_build(true), (schema::Build{0, 2, 2}));
  EXPECT_EQ(schema::version_of(schema::Feature::delegation), 2);
  EXPECT_TRUE(schema::can_downgrade(2));
}

// ---- offers

TEST(RoomOffers, GoToWhereMostOfTheTasksFit) {
  const config::Settings settings = make_settings();
  const scheduler::MachineCatalogue catalogue = make_catalogue(settings);
  const auto offer = [](int shard, int zone, double cpus) {
    return RoomOffer{shard, 0, zone, true, Resources::of(cpus, 0, 8)};
  };
  const auto job = [&](const wire::JobSpec& spec) {
    wire::JobRecord record;
    record.spec = spec;
    return jobs::Job(record, 0, 0, 2, 0, 0);
  };
  scheduler::Offers offers(settings, catalogue,
                           {offer(1, 0, 2), offer(2, 0, 1), offer(2, 1, 1), offer(2, 1, 1)});
  wire::JobSpec spec = make_job(1, 4, 1).spec;
  EXPECT_EQ(offers.best_fit(job(spec), 4).shard, 2);
  EXPECT_EQ(offers.best_fit(job(spec), 4).tasks, 3u);
  EXPECT_EQ(offers.best_fit(job(spec), 1).tasks, 1u);
  spec.same_zone = true;
  EXPECT_EQ(offers.best_fit(job(spec), 4).tasks, 2u);
  spec.same_zone = false;
  spec.anti_affinity = true;  // two of four in one zone at the most
  EXPECT_EQ(offers.best_fit(job(spec), 4).tasks, 2u);
  EXPECT_TRUE(offers.best_fit(job(spec), 4).zone);
  spec.gang = true;
  EXPECT_EQ(offers.best_fit(job(spec), 4).tasks, 3u);
  spec.gang = spec.anti_affinity = false;
  EXPECT_FALSE(offers.best_fit(job(spec), 4).zone);
  spec.zone = "a";
  EXPECT_EQ(offers.best_fit(job(spec), 4).shard, 1);
  spec.zone.reset();
  spec.spot = false;
  EXPECT_EQ(offers.best_fit(job(spec), 4).shard, -1);
  spec.spot = true;
  spec.types = {{"t8"}};
  EXPECT_EQ(offers.best_fit(job(spec), 4).shard, -1);
  spec.types.reset();
  offers.take(job(spec), {2, 2});
  EXPECT_EQ(offers.best_fit(job(spec), 4).shard, 1);
}

TEST(RoomOffers, RoundTripAndMalformedBytesAreRefused) {
  peer::RoomOffers offers;
  offers.node = 1;
  offers.offers = {{0, "t4", "a", true, 2000000, 0, 8000000}, {1, "t8", "b", false, 1, 2, 3}};
  const std::string bytes = peer::encode(offers);
  const auto again = peer::decode_room_offers(bytes, 2);
  ASSERT_TRUE(again);
  EXPECT_EQ(again->node, 1);
  EXPECT_EQ(again->offers, offers.offers);
  EXPECT_FALSE(peer::decode_room_offers(bytes, 1));  // no such shard
  for (std::size_t size = 0; size < bytes.size(); ++size)
    EXPECT_FALSE(peer::decode_room_offers(bytes.substr(0, size), 2)) << size;
  std::mt19937 rng(3);
  for (int i = 0; i < 2000; ++i) {
    std::string other = bytes;
    other[rng() % other.size()] = static_cast<char>(rng());
    const auto decoded = peer::decode_room_offers(other, 2);
    if (!decoded) continue;
    EXPECT_LE(decoded->offers.size(), peer::kMaxRoomOffers);
    for (const auto& offer : decoded->offers) EXPECT_LT(offer.shard, 2);
  }
}

// ---- two schedulers over one state service

// Shard 0 has the red team and a full machine, shard 1 the blue team and a machine with room beside
// its one task.
class TwoShards : public ::testing::Test {
 protected:
  config::Settings settings_ = make_settings();
  config::Tuning tuning_;
  scheduler::MachineCatalogue catalogue_ = make_catalogue(settings_);
  Store store_;
  state::StateCache cache_{settings_};
  std::vector<std::unique_ptr<scheduler::ShardScheduler>> shards_;
  std::vector<Worker> workers_;
  std::mt19937 rng_{5};
  double now_ = 0;

  void SetUp() override {
    settings_.teams[0].cpus_max = 6;
    settings_.teams.push_back({"blue", 4, 10, 0, 0});
    settings_.team_shard = {0, 1};
    store_.commit(
        {{}, {{schema::kActiveKey, schema::encode(schema::VersionRecord{2, 2, 2, "t"}), 0}}});
    for (int shard = 0; shard < 2; ++shard) {
      const std::string name = "m-" + std::to_string(shard);
      store_.commit({{},
                     {{state::leader_key(shard),
                       wire::encode_record(wire::LeaderRecord{"node-0", "x"}), 0}}});
      read();
      store_.commit(inventory_transaction(cache_, {{name, "t4", "a", false, shard, 0, 0}}, 1));
      read();
      shards_.push_back(open(shard));
      Worker worker;
      worker.name = name;
      workers_.push_back(worker);
    }
    report_all();
    wire::JobRecord blue = make_job(9, 1, 1);
    blue.spec.team = "blue";
    submit(blue);
    pass(2);
  }

  std::unique_ptr<scheduler::ShardScheduler> open(int shard) {
    auto scheduler = std::make_unique<scheduler::ShardScheduler>(
        settings_, tuning_, catalogue_, shard, cache_.leader(shard).mod_revision, now_, 7);
    for (const auto& [id, job] : cache_.jobs()) add(*scheduler, job);
    for (const auto& [name, machine] : cache_.machines())
      if (machine.shard == shard) scheduler->machine_known(machine, now_);
    for (const auto& [number, page] : cache_.placement_pages(shard))
      scheduler->recover_page(number, page, now_);
    scheduler->sync_delegations(cache_, now_);
    return scheduler;
  }
  void add(scheduler::ShardScheduler& scheduler, const state::JobEntry& job) {
    const auto& delegation = job.record.delegation;
    const int shard = scheduler.shard();
    const int team = settings_.team_index(job.record.spec.team);
    if (settings_.team_shard[static_cast<std::size_t>(team)] != shard &&
        !(delegation && delegation->shard == shard))
      return;
    const std::string& id = job.record.spec.id;
    scheduler.job_added(job.record, team, delegation ? cache_.done(id, shard) : cache_.done(id),
                        now_, now_);
  }
  void take_over(int shard) {
    store_.commit(
        {{},
         {{state::leader_key(shard), wire::encode_record(wire::LeaderRecord{"node-1", "y"}), 0}}});
    read();
    shards_[static_cast<std::size_t>(shard)] = open(shard);
  }
  void read() {
    std::vector<state::Change> changes;
    store_.read(cache_, changes);
    for (const auto& scheduler : shards_) {
      if (!scheduler) continue;
      for (const auto& change : changes) {
        if (change.kind == state::Change::job_gone) scheduler->job_gone(change.name, now_);
        if (change.kind == state::Change::job_set) add(*scheduler, *cache_.job(change.name));
      }
      scheduler->sync_delegations(cache_, now_);
    }
  }
  void submit(wire::JobRecord record) {
    record.submitted_at = now_;
    store_.commit({{}, {{state::job_key(record.spec.id), wire::encode_record(record), 0}}});
    read();
  }
  std::optional<wire::Transaction> next(int shard) {
    auto& scheduler = *shards_[static_cast<std::size_t>(shard)];
    if (scheduler.scheduling_due()) scheduler.run_scheduling_pass(now_);
    return scheduler.next_transaction(cache_, state::TransactionLimits{}, "t", now_);
  }
  void commit(int shard) {
    while (auto transaction = next(shard)) finish(shard, *transaction);
  }
  void finish(int shard, const wire::Transaction& transaction) {
    auto& scheduler = *shards_[static_cast<std::size_t>(shard)];
    const bool is_applied = store_.commit(transaction).has_value();
    read();
    if (is_applied)
      scheduler.transaction_applied(now_);
    else
      scheduler.transaction_failed(now_);
  }
  void report_all() {
    for (std::size_t shard = 0; shard < workers_.size(); ++shard) {
      Worker& worker = workers_[shard];
      auto& scheduler = *shards_[shard];
      const wire::Heartbeat heartbeat = worker.heartbeat();
      if (scheduler.take_heartbeat(heartbeat, now_) ==
          scheduler::ShardScheduler::HeartbeatResult::unknown)
        continue;
      worker.execute(scheduler.token(), scheduler.commands_for(worker.name, true, now_),
                     heartbeat.incarnation, now_, now_, rng_);
    }
  }
  // Offers, commits and heartbeats of so many seconds.
  void pass(int seconds) {
    for (int second = 0; second < seconds; ++second) {
      ++now_;
      shards_[0]->set_room_offers(shards_[1]->room_offers(now_));
      for (const auto& scheduler : shards_) {
        scheduler->tick(now_);
        // The cloud has no other machines.
        for (const auto& request : scheduler->scale_out_requests(now_))
          scheduler->rent_refused(request, 0, true, now_);
      }
      for (int shard = 0; shard < 2; ++shard) commit(shard);
      report_all();
      for (int shard = 0; shard < 2; ++shard) commit(shard);
    }
  }
  // Red tasks that run on the worker.
  std::size_t on(int worker) const {
    const auto& tasks = workers_[static_cast<std::size_t>(worker)].tasks;
    return static_cast<std::size_t>(std::count_if(tasks.begin(), tasks.end(), [](const auto& task) {
      return task.id.job != "run-100009" && task.state == wire::TaskState::running;
    }));
  }
  const std::optional<wire::Delegation>& delegation(const std::string& id) const {
    return cache_.job(id)->record.delegation;
  }
  // The red shard's machine is full, and two more tasks run on the other one.
  void run_two_elsewhere() {
    submit(make_job(1, 4, 1));
    pass(3);
    submit(make_job(2, 2, 1));
    pass(30);
    ASSERT_EQ(on(1), 2u);
    ASSERT_TRUE(delegation("run-100002"));
  }
  void end_all(int worker) {
    for (auto& task : workers_[static_cast<std::size_t>(worker)].tasks) {
      if (task.id.job == "run-100009" || task.state != wire::TaskState::running) continue;
      task.state = wire::TaskState::exited;
      task.why = wire::ExitReason::done;
    }
  }
};

TEST_F(TwoShards, WaitingTasksRunWhereRoomIsAndTheirJobEnds) {
  submit(make_job(1, 4, 1));
  pass(3);
  ASSERT_EQ(on(0), 4u);
  submit(make_job(2, 2, 1));
  pass(15);
  EXPECT_EQ(on(1), 0u);  // its own shard may yet have room
  pass(15);
  EXPECT_EQ(on(1), 2u);
  ASSERT_TRUE(delegation("run-100002"));
  EXPECT_EQ(delegation("run-100002")->shard, 1);
  end_all(1);
  pass(8);
  EXPECT_FALSE(cache_.job("run-100002"));
  EXPECT_TRUE(store_.keys.contains(state::job_result_key("run-100002")));
  EXPECT_TRUE(cache_.job("run-100001"));
}

TEST_F(TwoShards, TheTeamsLimitCountsWhatRunsElsewhere) {
  submit(make_job(1, 4, 1));
  pass(3);
  submit(make_job(2, 4, 1));
  pass(40);
  EXPECT_EQ(on(0) + on(1), 6u);
  // The first one's end gives the limit to two more, and no more.
  end_all(0);
  pass(40);
  EXPECT_EQ(on(0) + on(1), 4u);
  EXPECT_FALSE(cache_.job("run-100001"));
}

// The receiving leader has made its start before the delegation was closed, and the state service
// carries it out after that.
TEST_F(TwoShards, AStartThatComesAfterTheClosingFails) {
  submit(make_job(1, 4, 1));
  pass(3);
  submit(make_job(2, 1, 1));
  while (!delegation("run-100002") && now_ < 60) {
    ++now_;
    shards_[0]->set_room_offers(shards_[1]->room_offers(now_));
    shards_[0]->tick(now_);
    for (const auto& request : shards_[0]->scale_out_requests(now_))
      shards_[0]->rent_refused(request, 0, true, now_);
    commit(0);
  }
  ASSERT_TRUE(delegation("run-100002"));
  const auto late = next(1);
  ASSERT_TRUE(late);
  // It does not come for long: the leader of the team's shard takes the task back.
  for (int second = 0; second < 16; ++second) {
    ++now_;
    commit(0);
  }
  ASSERT_TRUE(!delegation("run-100002") || delegation("run-100002")->is_closed);
  EXPECT_FALSE(store_.commit(*late));
}

// Either shard's next leader finds out by what is stored.
TEST_F(TwoShards, ANewLeaderOfEitherShardGoesOn) {
  submit(make_job(1, 4, 1));
  pass(3);
  submit(make_job(2, 4, 1));
  pass(30);
  ASSERT_EQ(on(1), 2u);
  take_over(0);
  pass(5);
  EXPECT_EQ(on(0) + on(1), 6u);  // the limit
  take_over(1);
  pass(5);
  EXPECT_EQ(on(1), 2u);
  end_all(1);
  pass(60);
  EXPECT_EQ(on(0), 4u);
  EXPECT_EQ(on(1), 2u);
  end_all(1);
  pass(20);
  EXPECT_FALSE(cache_.job("run-100002"));
  EXPECT_TRUE(store_.keys.contains(state::job_result_key("run-100002")));
}

TEST_F(TwoShards, ACancelledJobsTasksEndThereToo) {
  run_two_elsewhere();
  store_.commit({{}, {{state::job_key("run-100002"), std::nullopt, 0}}});
  read();
  pass(6);
  EXPECT_EQ(on(1), 0u);
}

// Where the version is lowered, delegations end, and no other begins.
TEST_F(TwoShards, ALowerVersionTakesThemBack) {
  run_two_elsewhere();
  store_.commit(
      {{}, {{schema::kActiveKey, schema::encode(schema::VersionRecord{1, 1, 2, "t"}), 0}}});
  read();
  pass(5);
  ASSERT_TRUE(delegation("run-100002"));
  EXPECT_TRUE(delegation("run-100002")->is_closed);
  EXPECT_FALSE(cache_.all_converted());
  end_all(1);
  pass(20);
  EXPECT_TRUE(cache_.delegated().empty());
  EXPECT_TRUE(cache_.all_converted());
}

}  // namespace
}  // namespace shunttrail::test
