// Tests of delegated tasks: their stored form, the tasks withheld in each shard, quotas, offers,
// and two schedulers that share one state service (docs/delegation.md).
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

TEST(DelegationRecord, EncodesAsRecordedAndRoundTrips) {
  const wire::JobRecord record = delegated_record();
  const std::string text = wire::encode_record(record);
  // The record lists a machine type that no cloud offers, so that builds without support for
  // delegations do not start the job's tasks.
  EXPECT_EQ(nlohmann::json::parse(text)["stock_types"], nlohmann::json({"-delegated-"}));
  EXPECT_EQ(nlohmann::json::parse(text)["delegation"].dump(),
            R"({"tasks":[1,2,5,5],"to":1,"types":["t4","t8"]})");
  EXPECT_EQ(nlohmann::json::parse(text)["w"], "node-0.1.a7");
  wire::JobRecord decoded = wire::decode_job_record({"st/j/" + kId, text, 9});
  EXPECT_EQ(decoded.delegation, record.delegation);
  EXPECT_EQ(decoded.spec.types, record.spec.types);
  EXPECT_EQ(decoded.tag, record.tag);
  EXPECT_EQ(wire::encode_record(decoded), text);
  decoded.delegation->zone = "b";
  const wire::JobRecord in_zone =
      wire::decode_job_record({"st/j/" + kId, wire::encode_record(decoded), 9});
  EXPECT_EQ(in_zone.delegation->zone, "b");
  decoded.delegation->zone.reset();
  decoded.delegation->is_closed = true;
  decoded.spec.types.reset();
  const std::string closed = wire::encode_record(decoded);
  EXPECT_EQ(nlohmann::json::parse(closed)["delegation"].dump(),
            R"({"closed":1,"tasks":[1,2,5,5],"to":1})");
  EXPECT_EQ(wire::encode_record(wire::decode_job_record({"st/j/" + kId, closed, 9})), closed);
}

// A malformed delegation is counted. Its job stays known, and no shard starts its tasks.
TEST(DelegationRecord, AMalformedDelegationKeepsTheJobKnownAndWithholdsItsTasks) {
  const config::Settings settings = make_settings();
  for (const char* malformed :
       {R"(7)", R"([])", R"("x")", R"({})", R"({"to":1})", R"({"to":-1,"tasks":[]})",
        R"({"to":5000,"tasks":[]})", R"({"to":1,"tasks":[3]})", R"({"to":1,"tasks":[3,2]})",
        R"({"to":1,"tasks":[0,6]})", R"({"to":1,"tasks":[0,1],"types":7})"}) {
    SCOPED_TRACE(malformed);
    nlohmann::json value = nlohmann::json::parse(wire::encode_record(delegated_record()));
    value["delegation"] = nlohmann::json::parse(malformed);
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

// ---- tasks withheld in each shard

class DelegatedTasks : public ::testing::Test {
 protected:
  config::Settings settings_ = make_settings();
  state::StateCache cache_{settings_};
  std::uint64_t revision_ = 10;

  void store_job(const wire::JobRecord& record) {
    std::vector<state::Change> changes;
    cache_.apply({state::job_key(kId), wire::encode_record(record), ++revision_}, changes);
  }
  void store_placements(int shard, const std::vector<std::uint32_t>& tasks,
                        wire::Intervals done = {}) {
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
  std::int64_t used_vcpus() const {
    return jobs::delegated_use(cache_, settings_, 0)[0].cpus / 1000000;
  }
};

TEST_F(DelegatedTasks, OpenTasksStartOnlyInTheReceivingShard) {
  store_job(delegated_record());
  read_all();
  EXPECT_EQ(withheld(0), (std::vector<bool>{false, true, true, false, false, true}));
  EXPECT_EQ(withheld(1), (std::vector<bool>{true, false, false, true, true, false}));
  EXPECT_EQ(used_vcpus(), 3);
  store_placements(1, {1}, {{2, 2}});
  EXPECT_EQ(used_vcpus(), 2);  // one of the three tasks is done
}

TEST_F(DelegatedTasks, ClosedTasksReturnOnceEarlierStartsHaveBeenRead) {
  wire::JobRecord record = delegated_record();
  record.delegation->is_closed = true;
  store_job(record);
  // A start that was committed before the delegation closed may not have been read yet.
  EXPECT_EQ(withheld(0), (std::vector<bool>{false, true, true, false, false, true}));
  EXPECT_EQ(withheld(1), std::vector<bool>(6, true));
  EXPECT_EQ(used_vcpus(), 3);
  store_placements(1, {5});
  read_all();
  EXPECT_EQ(withheld(0), (std::vector<bool>{false, false, false, false, false, true}));
  EXPECT_EQ(used_vcpus(), 1);
  store_placements(1, {});
  EXPECT_EQ(withheld(0), std::vector<bool>(6, false));
  EXPECT_EQ(used_vcpus(), 0);
}

TEST_F(DelegatedTasks, AClosedGangReturnsAsAWhole) {
  wire::JobRecord record = delegated_record();
  record.spec.gang = true;
  record.delegation = wire::Delegation{1, true, {{0, 5}}};
  store_job(record);
  store_placements(1, {5});
  read_all();
  EXPECT_EQ(withheld(0), std::vector<bool>(6, true));
  store_placements(1, {});
  EXPECT_EQ(withheld(0), std::vector<bool>(6, false));
}

TEST_F(DelegatedTasks, AnEndedJobCountsInItsTeamsLimitUntilItsTasksHaveEnded) {
  store_job(delegated_record());
  read_all();
  drop_job();
  // A start may have been committed just before the job ended, and is not read yet.
  EXPECT_EQ(used_vcpus(), 3);
  store_placements(1, {1, 5});
  read_all();
  EXPECT_EQ(used_vcpus(), 2);
  store_placements(1, {1});
  EXPECT_EQ(used_vcpus(), 1);
  store_placements(1, {});
  EXPECT_EQ(used_vcpus(), 0);
}

TEST_F(DelegatedTasks, EnabledOnlyIfEveryNodeSupportsIt) {
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
  member(1, {});  // a build that announces no levels cannot be refused
  EXPECT_FALSE(jobs::delegation_enabled(cache_));
  member(1, schema::current_build(false));
  EXPECT_TRUE(jobs::delegation_enabled(cache_));
}

// The state is not fully converted to a version without delegations while one is stored.
TEST_F(DelegatedTasks, ADowngradeWaitsForTheLastDelegationToEnd) {
  std::vector<state::Change> changes;
  store_job(delegated_record());
  read_all();
  cache_.apply({schema::kActiveKey, schema::encode(schema::VersionRecord{1, 1, 2, "t"}), 50},
               changes);
  cache_.advance(60);
  EXPECT_FALSE(cache_.all_converted());
  revision_ = 60;
  wire::JobRecord record = delegated_record();
  record.delegation.reset();
  store_job(record);
  EXPECT_TRUE(cache_.all_converted());
}

TEST(DelegationBuild, LevelIsRaisedOnlyIfConfigured) {
  EXPECT_EQ(schema::current_build(false), (schema::Build{0, 2, 1}));
  EXPECT_EQ(schema::current_build(true), (schema::Build{0, 2, 2}));
  EXPECT_EQ(schema::version_of(schema::Feature::delegation), 2);
  EXPECT_TRUE(schema::can_downgrade(2));
}

// ---- offers

TEST(CapacityOffers, BestFitIsTheShardWhereMostTasksFit) {
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
  spec.anti_affinity = true;  // at most two of the four tasks per zone
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

TEST(CapacityOffers, RoundTripAndMalformedBytesAreRejected) {
  peer::CapacityOffers offers;
  offers.node = 1;
  offers.offers = {{0, "t4", "a", true, 2000000, 0, 8000000}, {1, "t8", "b", false, 1, 2, 3}};
  const std::string bytes = peer::encode(offers);
  const auto decoded = peer::decode_capacity_offers(bytes, 2);
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->node, 1);
  EXPECT_EQ(decoded->offers, offers.offers);
  // With one shard, shard 1 of the second offer does not exist.
  EXPECT_FALSE(peer::decode_capacity_offers(bytes, 1));
  for (std::size_t size = 0; size < bytes.size(); ++size)
    EXPECT_FALSE(peer::decode_capacity_offers(bytes.substr(0, size), 2)) << size;
  std::mt19937 rng(3);
  for (int i = 0; i < 2000; ++i) {
    std::string corrupted = bytes;
    corrupted[rng() % corrupted.size()] = static_cast<char>(rng());
    const auto parsed = peer::decode_capacity_offers(corrupted, 2);
    if (!parsed) continue;
    EXPECT_LE(parsed->offers.size(), peer::kMaxCapacityOffers);
    for (const auto& offer : parsed->offers) EXPECT_LT(offer.shard, 2);
  }
}

// ---- two schedulers that share one state service

// Shard 0 has the red team and a machine that the first red job fills. Shard 1 has the blue team
// and a machine with free capacity next to its one task.
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
  state::TransactionLimits limits_;
  std::string tag_ = "t";

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
      shards_.push_back(make_scheduler(shard));
      Worker worker;
      worker.name = name;
      workers_.push_back(worker);
    }
    send_heartbeats();
    wire::JobRecord blue = make_job(9, 1, 1);
    blue.spec.team = "blue";
    submit(blue);
    run_seconds(2);
  }

  std::unique_ptr<scheduler::ShardScheduler> make_scheduler(int shard) {
    auto scheduler = std::make_unique<scheduler::ShardScheduler>(
        settings_, tuning_, catalogue_, shard, cache_.leader(shard).mod_revision, now_, 7);
    for (const auto& [id, job] : cache_.jobs()) add_job(*scheduler, job);
    for (const auto& [name, machine] : cache_.machines())
      if (machine.shard == shard) scheduler->machine_known(machine, now_);
    for (const auto& [number, page] : cache_.placement_pages(shard))
      scheduler->recover_page(number, page, now_);
    scheduler->sync_delegations(cache_, now_);
    return scheduler;
  }
  void add_job(scheduler::ShardScheduler& scheduler, const state::JobEntry& job) {
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
    shards_[static_cast<std::size_t>(shard)] = make_scheduler(shard);
  }
  void read() {
    std::vector<state::Change> changes;
    store_.read(cache_, changes);
    for (const auto& scheduler : shards_) {
      if (!scheduler) continue;
      for (const auto& change : changes) {
        if (change.kind == state::Change::job_deleted) scheduler->job_ended(change.name, now_);
        if (change.kind == state::Change::job_set) add_job(*scheduler, *cache_.job(change.name));
      }
      scheduler->sync_delegations(cache_, now_);
    }
  }
  void submit(wire::JobRecord record) {
    record.submitted_at = now_;
    store_.commit({{}, {{state::job_key(record.spec.id), wire::encode_record(record), 0}}});
    read();
  }
  std::optional<wire::Transaction> next_transaction(int shard) {
    auto& scheduler = *shards_[static_cast<std::size_t>(shard)];
    if (scheduler.scheduling_due()) scheduler.run_scheduling_pass(now_);
    return scheduler.next_transaction(cache_, limits_, tag_, now_);
  }
  void commit(int shard) {
    while (auto transaction = next_transaction(shard)) finish(shard, *transaction);
  }
  void finish(int shard, const wire::Transaction& transaction) {
    EXPECT_LE(wire::encode_transaction(transaction).size(), state::kMaxTransactionBytes);
    auto& scheduler = *shards_[static_cast<std::size_t>(shard)];
    const bool is_applied = store_.commit(transaction).has_value();
    read();
    if (is_applied)
      scheduler.transaction_applied(now_);
    else
      scheduler.transaction_failed(now_);
  }
  void send_heartbeats() {
    for (std::size_t shard = 0; shard < workers_.size(); ++shard) {
      Worker& worker = workers_[shard];
      auto& scheduler = *shards_[shard];
      const wire::Heartbeat heartbeat = worker.heartbeat();
      if (scheduler.take_heartbeat(heartbeat, now_) ==
          scheduler::ShardScheduler::HeartbeatResult::unknown)
        continue;
      const auto commands = scheduler.commands_for(worker.name, true, now_);
      worker.execute(scheduler.command_token(worker.name), commands, heartbeat.incarnation, now_,
                     now_, rng_);
    }
  }
  // Runs the given number of seconds: exchanges offers, commits and sends heartbeats.
  void run_seconds(int seconds) {
    for (int second = 0; second < seconds; ++second) {
      ++now_;
      shards_[0]->set_room_offers(shards_[1]->room_offers(now_));
      for (const auto& scheduler : shards_) {
        scheduler->tick(now_);
        // The cloud refuses every rental.
        for (const auto& request : scheduler->scale_out_requests(now_))
          scheduler->rent_refused(request, 0, true, now_);
      }
      for (int shard = 0; shard < 2; ++shard) commit(shard);
      send_heartbeats();
      for (int shard = 0; shard < 2; ++shard) commit(shard);
    }
  }
  // The blue shard offers free capacity, and starts nothing.
  void run_red_shard_for_a_second() {
    ++now_;
    shards_[0]->set_room_offers(shards_[1]->room_offers(now_));
    shards_[0]->tick(now_);
    for (const auto& request : shards_[0]->scale_out_requests(now_))
      shards_[0]->rent_refused(request, 0, true, now_);
    commit(0);
  }
  // Returns the number of red tasks that run on the worker.
  std::size_t running_red_tasks(int worker) const {
    const auto& tasks = workers_[static_cast<std::size_t>(worker)].tasks;
    return static_cast<std::size_t>(std::count_if(tasks.begin(), tasks.end(), [](const auto& task) {
      return task.id.job != "run-100009" && task.state == wire::TaskState::running;
    }));
  }
  const std::optional<wire::Delegation>& delegation(const std::string& id) const {
    return cache_.job(id)->record.delegation;
  }
  // Fills the red shard's machine and waits until two more tasks run on the blue shard's machine.
  void run_two_tasks_on_other_shard() {
    submit(make_job(1, 4, 1));
    run_seconds(3);
    submit(make_job(2, 2, 1));
    run_seconds(30);
    ASSERT_EQ(running_red_tasks(1), 2u);
    ASSERT_TRUE(delegation("run-100002"));
  }
  void complete_red_tasks(int worker) {
    for (auto& task : workers_[static_cast<std::size_t>(worker)].tasks) {
      if (task.id.job == "run-100009" || task.state != wire::TaskState::running) continue;
      task.state = wire::TaskState::exited;
      task.why = wire::ExitReason::done;
    }
  }
};

TEST_F(TwoShards, WaitingTasksRunInAShardWithFreeCapacityAndTheirJobEnds) {
  submit(make_job(1, 4, 1));
  run_seconds(3);
  ASSERT_EQ(running_red_tasks(0), 4u);
  submit(make_job(2, 2, 1));
  run_seconds(15);
  EXPECT_EQ(running_red_tasks(1), 0u);  // its own shard may still get free capacity
  run_seconds(15);
  EXPECT_EQ(running_red_tasks(1), 2u);
  ASSERT_TRUE(delegation("run-100002"));
  EXPECT_EQ(delegation("run-100002")->shard, 1);
  complete_red_tasks(1);
  run_seconds(8);
  EXPECT_FALSE(cache_.job("run-100002"));
  EXPECT_TRUE(store_.keys.contains(state::job_result_key("run-100002")));
  EXPECT_TRUE(cache_.job("run-100001"));
}

TEST_F(TwoShards, TheTeamsLimitIncludesDelegatedTasks) {
  submit(make_job(1, 4, 1));
  run_seconds(3);
  submit(make_job(2, 4, 1));
  run_seconds(40);
  EXPECT_EQ(running_red_tasks(0) + running_red_tasks(1), 6u);
  // The end of the first job frees the limit for two more tasks, not for more.
  complete_red_tasks(0);
  run_seconds(40);
  EXPECT_EQ(running_red_tasks(0) + running_red_tasks(1), 4u);
  EXPECT_FALSE(cache_.job("run-100001"));
}

// The receiving leader prepares a start before the delegation closes, and the state service
// receives it afterwards.
TEST_F(TwoShards, AStartCommittedAfterTheDelegationClosedFails) {
  submit(make_job(1, 4, 1));
  run_seconds(3);
  submit(make_job(2, 1, 1));
  while (!delegation("run-100002") && now_ < 60) run_red_shard_for_a_second();
  ASSERT_TRUE(delegation("run-100002"));
  const auto late_start = next_transaction(1);
  ASSERT_TRUE(late_start);
  // The start does not arrive for a long time: the leader of the team's shard takes the task back.
  for (int second = 0; second < 16; ++second) {
    ++now_;
    commit(0);
  }
  ASSERT_TRUE(!delegation("run-100002") || delegation("run-100002")->is_closed);
  EXPECT_FALSE(store_.commit(*late_start));
}

// Guards against tasks that no shard may start: the record of a delegation was at the limit, and
// the mark that closes it would have made it longer.
TEST_F(TwoShards, ADelegationAtTheLimitCanBeClosed) {
  submit(make_job(1, 4, 1));
  run_seconds(3);
  wire::JobRecord job = make_job(2, 1, 1);
  job.spec.job_class = std::string(200, 'c');
  submit(job);
  const std::string key = state::job_key(job.spec.id);
  limits_.value_bytes = store_.keys.at(key).value.size();
  for (int second = 0; second < 30; ++second) run_red_shard_for_a_second();
  ASSERT_FALSE(delegation(job.spec.id));
  // The limit rises until the record of the open delegation just fits.
  for (int second = 0; second < 200 && !delegation(job.spec.id); ++second) {
    ++limits_.value_bytes;
    run_red_shard_for_a_second();
  }
  ASSERT_TRUE(delegation(job.spec.id));
  EXPECT_FALSE(delegation(job.spec.id)->is_closed);
  tag_ = "node-2.1048577.k99999";
  for (int second = 0; second < 20; ++second) run_red_shard_for_a_second();
  EXPECT_FALSE(delegation(job.spec.id) && !delegation(job.spec.id)->is_closed);
  EXPECT_LE(store_.keys.at(key).value.size(), limits_.value_bytes);
}

// Guards against delegations of several jobs with long records, whose transaction was longer than
// the state service accepts.
TEST_F(TwoShards, DelegationsOfLongRecordsShareNoTransaction) {
  submit(make_job(1, 4, 1));
  run_seconds(3);
  for (const int number : {2, 3}) {
    wire::JobRecord job = make_job(number, 1, 1);
    job.spec.types = std::vector<std::string>(900, std::string(40, 't'));
    job.spec.types->push_back("t4");
    submit(job);
  }
  limits_.value_bytes = 60000;
  run_seconds(40);
  EXPECT_EQ(running_red_tasks(1), 2u);
}

// The next leader of either shard recovers delegations from the stored state.
TEST_F(TwoShards, DelegationsContinueAfterEitherShardsLeaderChanges) {
  submit(make_job(1, 4, 1));
  run_seconds(3);
  submit(make_job(2, 4, 1));
  run_seconds(30);
  ASSERT_EQ(running_red_tasks(1), 2u);
  take_over(0);
  run_seconds(5);
  EXPECT_EQ(running_red_tasks(0) + running_red_tasks(1), 6u);  // the team's limit
  take_over(1);
  run_seconds(5);
  EXPECT_EQ(running_red_tasks(1), 2u);
  complete_red_tasks(1);
  run_seconds(60);
  EXPECT_EQ(running_red_tasks(0), 4u);
  EXPECT_EQ(running_red_tasks(1), 2u);
  complete_red_tasks(1);
  run_seconds(20);
  EXPECT_FALSE(cache_.job("run-100002"));
  EXPECT_TRUE(store_.keys.contains(state::job_result_key("run-100002")));
}

TEST_F(TwoShards, ACancelledJobsDelegatedTasksEnd) {
  run_two_tasks_on_other_shard();
  store_.commit({{}, {{state::job_key("run-100002"), std::nullopt, 0}}});
  read();
  run_seconds(6);
  EXPECT_EQ(running_red_tasks(1), 0u);
}

// After the schema version is lowered, open delegations end and no new ones begin.
TEST_F(TwoShards, ALowerSchemaVersionEndsDelegations) {
  run_two_tasks_on_other_shard();
  store_.commit(
      {{}, {{schema::kActiveKey, schema::encode(schema::VersionRecord{1, 1, 2, "t"}), 0}}});
  read();
  run_seconds(5);
  ASSERT_TRUE(delegation("run-100002"));
  EXPECT_TRUE(delegation("run-100002")->is_closed);
  EXPECT_FALSE(cache_.all_converted());
  complete_red_tasks(1);
  run_seconds(20);
  EXPECT_TRUE(cache_.delegated().empty());
  EXPECT_TRUE(cache_.all_converted());
}

}  // namespace
}  // namespace shunttrail::test
