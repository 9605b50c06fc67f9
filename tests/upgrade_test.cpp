// The stored and exchanged formats of the version in production, recorded from it byte for byte.
// While both versions serve, each must read the other's data, which a changed format would prevent.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "emulators.h"
#include "peer/peer.h"
#include "shard/inventory_page.h"

namespace shunttrail::test {
namespace {

using wire::JobRecord;

const std::string kSubmission =
    R"({"uid":"run-000412","consist":"train","crew":"vision","haul":"batch","precedence":"high",
"cars":16,"vcpus":8.0,"cards":1.0,"mem_gb":64.0,"manifest":"img-07","size_gb":6.2,
"stock_types":["g8"],"yard":"a","same_place":true,"scatter":false,"borrowed_stock":true,
"run_s":240.5,"milepost_s":30.0,"couple_s":4.0,"due_s":900.0})";
const std::string kJob =
    R"({"at":1733000000.25,"borrowed_stock":true,"cards":1.0,"cars":16,"consist":"train","couple_s":4.0,"crew":"vision","due_s":900.0,"haul":"batch","manifest":"img-07","mem_gb":64.0,"milepost_s":30.0,"precedence":"high","run_s":240.5,"same_place":true,"scatter":false,"size_gb":6.2,"stock_types":["g8"],"uid":"run-000412","vcpus":8.0,"yard":"a"})";
const std::string kService =
    R"({"at":1733000000.25,"borrowed_stock":true,"cards":1.0,"cars":16,"consist":"train","couple_s":4.0,"crew":"vision","haul":"service","manifest":"img-07","mem_gb":64.0,"milepost_s":30.0,"precedence":"idle","run_s":240.5,"same_place":true,"scatter":false,"size_gb":6.2,"uid":"run-000412","vcpus":8.0})";
const std::string kDone = R"({"n":16,"s":"done","team":"vision","w":"n.7.12"})";
const std::string kCancelled = R"({"n":16,"s":"cancelled","team":"vision","w":"n.7.12"})";
const std::string kPlacementPage =
    R"({"b":4194305,"j":{"run-000412":{"c":8.0,"d":{"0":[0,3,7,7],"2":[1,1]},"g":1.0,"l":[0,4,1048578,1,5,1048584],"m":64.0,"t":"vision"},"run-7":{"c":1.5,"g":0.0,"l":[0,0,0],"m":1.8,"t":"red"}},"m":["m-000231","m-000007"],"w":"railhead-0.7.31"})";
const std::string kInventoryPage =
    R"({"m":{"m-000007":["g8","b",0,0,0],"m-000231":["g8","a",1,2,431]},"w":"railhead-1.9.2"})";
const std::string kLeader = R"({"node":"railhead-2","w":"railhead-2.8.1"})";
const std::string kPeerHeartbeat =
    "01030000000200000001030000000000000001000000000000000000000000000400af0100000000000003000000"
    "0000000064000000fa00000025000000010000000000000000000000000090010000000000000700000001";

wire::Event event(const std::string& value) { return {"", value, 0}; }

TEST(Upgrade, JobRecordsAreThoseOfTheVersionInProduction) {
  JobRecord record{wire::decode_job(kSubmission), 1733000000.25, 0};
  EXPECT_EQ(wire::encode_record(record), kJob);
  for (const auto& text : {kJob, kService}) {
    JobRecord decoded = wire::decode_job_record(event(text));
    EXPECT_EQ(wire::encode_record(decoded), text);
    EXPECT_TRUE(decoded.spec.dependencies.empty());
    EXPECT_EQ(decoded.ready_at, 0);
  }
  // The new field of the record of a job that may start is one that the other version ignores.
  record.ready_at = 1733000100;
  std::string ready = wire::encode_record(record);
  EXPECT_EQ(wire::decode_job_record(event(ready)).ready_at, 1733000100);
  ready.replace(ready.find("\"ready\":1733000100.0,"), 21, "");
  EXPECT_EQ(ready, kJob);
}

TEST(Upgrade, ResultAndLeaderRecordsAreThoseOfTheVersionInProduction) {
  for (const auto& text : {kDone, kCancelled}) {
    auto result = wire::decode_job_result(text);
    EXPECT_EQ(result.cancelled, text == kCancelled);
    EXPECT_FALSE(result.service);
    EXPECT_EQ(wire::encode_record(result), text);
  }
  EXPECT_EQ(wire::encode_record(wire::decode_leader_record(event(kLeader))), kLeader);
}

TEST(Upgrade, PlacementAndInventoryPagesAreThoseOfTheVersionInProduction) {
  auto names = [](int t) { return std::string(t ? "red" : "vision"); };
  auto page = wire::decode_placement_page(event(kPlacementPage),
                                          [](const std::string& t) { return t == "red"; });
  ASSERT_EQ(page.jobs.size(), 2u);
  EXPECT_EQ(page.jobs[0].placements.size(), 2u);
  EXPECT_EQ(page.jobs[0].placements[1].attempt, (5u << 20) + 9);
  EXPECT_EQ(wire::encode_record(page, names), kPlacementPage);
  auto inventory = wire::decode_inventory_page(event(kInventoryPage));
  ASSERT_EQ(inventory.machines.size(), 2u);
  EXPECT_EQ(wire::encode_record(inventory), kInventoryPage);
}

TEST(Upgrade, HeartbeatsAndRedirectsAreThoseOfTheVersionInProduction) {
  std::string bytes;
  for (std::size_t i = 0; i < kPeerHeartbeat.size(); i += 2)
    bytes += static_cast<char>(std::stoi(kPeerHeartbeat.substr(i, 2), nullptr, 16));
  auto heartbeat = peer::decode(bytes, 3);
  ASSERT_TRUE(heartbeat);
  EXPECT_EQ(heartbeat->node, 2);
  EXPECT_EQ(heartbeat->tokens[2], 431u);
  EXPECT_EQ(heartbeat->loads[0].entitled, 250u);
  // The other version checks a heartbeat's version number and its exact length.
  EXPECT_EQ(peer::encode(*heartbeat), bytes);
  EXPECT_EQ(wire::encode_redirect("railhead-2"), R"({"dispatcher":"railhead-2"})");
}

TEST(Upgrade, KeysAreThoseOfTheVersionInProduction) {
  EXPECT_EQ(state::node_key("railhead-0"), "st/n/railhead-0");
  EXPECT_EQ(state::leader_key(2), "st/o/2");
  EXPECT_EQ(state::job_key("run-000412"), "st/j/run-000412");
  EXPECT_EQ(state::inventory_key(state::inventory_page("m-000231")), "st/m/7");
  EXPECT_EQ(state::inventory_key(state::inventory_page("odd")), "st/m/16777263");
  EXPECT_EQ(state::placement_page_key(1, 47), "st/a/1/47");
  EXPECT_EQ(state::job_result_key("run-000412"), "fin/run-000412");
  // The version in production does not know this kind of key: it records the revision and ignores
  // the value.
  EXPECT_EQ(state::waiting_key("run-000412"), "st/w/run-000412");
}

TEST(Upgrade, SettingsOfTheNextLimitsAreChecked) {
  auto settings = [](const std::string& state) {
    return R"({"host_name":"a","zone":"z","front":"1.2.3.4:1","internal_addr":"1.2.3.4:2",
"siblings":[],"services":{"cloud":"1.2.3.4:3","state":"1.2.3.4:4"},"cluster":{"size":1,
"zones":["z"],"teams":[],"workers":{"report_s":3,"lease_s":20,"cancel_s":45},"state":)" +
           state + R"(,"cloud":{"rps":2,"list_lag_s":3},"quota":{"ram_mb":104,"max_sockets":2000},
"clock_off_ms":100}})";
  };
  auto parse = [&](const std::string& next) {
    return config::parse_settings(
        settings(R"({"rps":80,"write_rps":25,"value_kb":4,"txn_ops":12)" + next + "}"));
  };
  auto parsed = parse("");
  EXPECT_EQ(state::Limits(parsed).transaction_limits().value_bytes, 4096u);
  EXPECT_EQ(state::Limits(parsed).transaction_limits().ops, 12u);
  parsed = parse(R"(,"next":{"write_rps":18.0,"value_kb":2.0,"txn_ops":4})");
  EXPECT_EQ(parsed.state_next.rps, 80);
  EXPECT_EQ(parsed.state_next.write_rps, 18);
  EXPECT_EQ(state::Limits(parsed).transaction_limits().value_bytes, 2048u);
  EXPECT_EQ(state::Limits(parsed).transaction_limits().ops, 4u);
  auto message = [&](const std::string& next) {
    try {
      parse(next);
    } catch (const config::SettingsError& error) {
      return std::string(error.what());
    }
    return std::string();
  };
  EXPECT_EQ(message(R"(,"next":7)"), "cluster.state.next: is not an object");
  EXPECT_EQ(message(R"(,"next":{"txn_ops":1})"),
            "cluster.state.next.txn_ops: is 1, expected 2 to 100000");
  EXPECT_EQ(message(R"(,"next":{"value_kb":"2"})"), "cluster.state.next.value_kb: is not a number");
}

TEST(Limits, RejectionsLowerThemToTheAnnouncedOnesAndFurther) {
  auto settings = make_settings();
  settings.state_next.value_kb = 2;
  settings.state_next.txn_ops = 4;
  state::Limits limits(settings);
  EXPECT_EQ(limits.present().value_bytes,
            4096u);  // inventory pages, as the other version reads them
  limits.too_large(3000, 6);
  EXPECT_EQ(limits.present().value_bytes, 2048u);
  EXPECT_EQ(limits.transaction_limits().ops, 4u);
  // These limits were not announced. The reduction ends at a size that still allows progress.
  for (int i = 0; i < 20; ++i)
    limits.too_large(limits.transaction_limits().value_bytes, limits.transaction_limits().ops);
  EXPECT_EQ(limits.transaction_limits().value_bytes, 1024u);
  EXPECT_EQ(limits.transaction_limits().ops, 2u);
}

// Guards against transactions that shrink to one job after a value was repeatedly rejected.
TEST(Limits, ARejectionThatTheKnownLimitsExplainLowersNone) {
  auto settings = make_settings();
  settings.state_next.value_kb = 2;
  settings.state_next.txn_ops = 4;
  state::Limits limits(settings);
  for (int i = 0; i < 20; ++i) limits.too_large(2060, 4);
  EXPECT_EQ(limits.transaction_limits().value_bytes, 2048u);
  EXPECT_EQ(limits.transaction_limits().ops, 4u);
  for (int i = 0; i < 20; ++i) limits.too_large(2000, 6);
  EXPECT_EQ(limits.transaction_limits().value_bytes, 2048u);
  EXPECT_EQ(limits.transaction_limits().ops, 4u);
  EXPECT_EQ(limits.refusals(), 40u);
}

// Guards against jobs that are refused as too long after the rejection of a transaction with short
// values, and against single operations after that of a long value.
TEST(Limits, ARejectionLowersOnlyLimitsThatMayExplainIt) {
  auto settings = make_settings();
  state::Limits limits(settings);
  const auto before = limits.transaction_limits();
  limits.too_large(100, 2);
  EXPECT_EQ(limits.transaction_limits().value_bytes, before.value_bytes);
  EXPECT_EQ(limits.transaction_limits().ops, before.ops);
  limits.too_large(100, 8);
  EXPECT_EQ(limits.transaction_limits().value_bytes, before.value_bytes);
  EXPECT_EQ(limits.transaction_limits().ops, 6u);
  limits.too_large(2000, 1);
  EXPECT_EQ(limits.transaction_limits().value_bytes, 1500u);
  EXPECT_EQ(limits.transaction_limits().ops, 6u);
}

TEST(Limits, A429LowersTheRateAtOnceAndItRisesAgainSlowly) {
  state::AdaptiveRate rate(25, 18);
  EXPECT_EQ(rate.rate(1), 25);
  rate.refused(1);
  EXPECT_EQ(rate.rate(1), 18);
  rate.refused(1.5);  // a request of the same burst
  EXPECT_EQ(rate.rate(1.5), 18);
  rate.refused(3);
  EXPECT_LT(rate.rate(3), 18);
  EXPECT_EQ(rate.rate(30), 18);
  EXPECT_GT(rate.rate(60), 18);  // the higher rate is tried again
  EXPECT_EQ(rate.rate(200), 25);
  for (int i = 0; i < 200; ++i) rate.refused(200 + 2 * i);
  EXPECT_GT(rate.rate(602), 4);  // the rate never falls to zero
}

// Returns names without numbers that share an inventory page.
std::vector<std::string> names_of_one_page(std::size_t count) {
  std::vector<std::string> names;
  for (int n = 0; names.size() < count; ++n) {
    std::string name = "machine-of-the-fleet-";
    for (int rest = n, i = 0; i < 4; ++i, rest /= 26) name += static_cast<char>('a' + rest % 26);
    if (names.empty() || state::inventory_page(name) == state::inventory_page(names.front()))
      names.push_back(name);
  }
  return names;
}

// Guards against machines that can be neither added nor removed once the limits are lowered, since
// splitting their page takes more operations than a transaction may have. The page is that of 6,000
// machines without numbers, which share 64 pages.
TEST(InventoryPage, AChangeUnderLoweredLimitsFitsOneTransaction) {
  struct Lowering {
    std::size_t first_bytes, bytes, ops;
  };
  for (const Lowering& limits : {Lowering{4096, 2048, 4}, Lowering{32768, 2048, 5}}) {
    SCOPED_TRACE(std::to_string(limits.first_bytes));
    config::Settings settings = make_settings();
    Store store;
    state::StateCache cache(settings);
    std::vector<state::Change> changes;
    const auto names = names_of_one_page(94);
    const int number = state::inventory_page(names.front());
    const auto record = [](const std::string& name, int shard) {
      return wire::MachineRecord{name,  "a-type-with-a-name", "zone-with-a-name", true, shard,
                                 123456};
    };
    for (const auto& name : names) {
      shard::InventoryPage page(cache, number);
      page.set(record(name, 0));
      ASSERT_TRUE(store.commit(page.changes(limits.first_bytes, "tag")));
      store.read(cache, changes);
    }
    for (const auto& name : names) {
      shard::InventoryPage page(cache, number);
      page.set(record(name, 1));
      const wire::Transaction txn = page.changes(limits.bytes, "tag");
      EXPECT_FALSE(txn.ops.empty()) << name;
      EXPECT_LE(txn.ops.size(), limits.ops) << name;
      EXPECT_LE(txn.preconditions.size() + 1, 4 * limits.ops) << name;  // and a leader's key
      ASSERT_TRUE(store.commit(txn));
      store.read(cache, changes);
    }
    EXPECT_EQ(cache.machines().size(), names.size());
  }
}

// An inventory page that is too long for a lowered limit is split. Every machine is recorded
// exactly once at all times, whichever of two nodes' concurrent changes succeed.
RC_GTEST_PROP(InventoryPage, SplitPagesHoldEveryMachineOnce, ()) {
  config::Settings settings = make_settings();
  Store store;
  std::map<std::string, int> expected;
  std::vector<std::unique_ptr<state::StateCache>> nodes;
  for (int i = 0; i < 2; ++i) nodes.push_back(std::make_unique<state::StateCache>(settings));
  auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int, bool>>>(
      rc::gen::tuple(rc::gen::inRange(0, 32), rc::gen::inRange(0, 3), rc::gen::inRange(0, 2),
                     rc::gen::arbitrary<bool>()));
  std::size_t limits[2] = {4096, 4096};
  for (std::size_t i = 0; i < steps.size(); ++i) {
    auto [machine, action, node, reads_first] = steps[i];
    // The limits fall during the test, and the nodes learn of it one after the other.
    if (i > steps.size() / 3) limits[0] = 700;
    if (i > steps.size() * 2 / 3) limits[1] = 700;
    const std::size_t limit = limits[node];
    state::StateCache& cache = *nodes[static_cast<std::size_t>(node)];
    std::vector<state::Change> changes;
    if (reads_first) store.read(cache, changes);
    for (const auto& change : changes)
      if (change.kind == state::Change::machine_deleted && !cache.machine(change.name))
        RC_ASSERT(!expected.contains(change.name));
    const std::string name = "m-" + std::to_string(320000 + machine);
    shard::InventoryPage page(cache, state::inventory_page(name));
    const auto* known = page.find(name);
    if (action < 2 && !known)
      page.set({name, "a-type-with-a-name", "zone-with-a-name", true, action, 123456});
    else if (action < 2) {
      auto moved = *known;
      moved.shard = 1 - moved.shard;
      page.set(moved);
    } else {
      page.drop(name);
    }
    wire::Transaction txn = page.changes(limit, "tag");
    if (txn.ops.empty()) continue;
    for (const auto& op : txn.ops)
      if (op.value) RC_ASSERT(op.value->size() <= limit);
    if (!store.commit(txn)) continue;
    if (action < 2)
      expected[name] = 1;
    else
      expected.erase(name);
    // Every machine is in exactly one part.
    std::map<std::string, int> stored;
    for (const auto& [key, entry] : store.keys)
      for (const auto& record : wire::decode_inventory_page(event(entry.value)).machines)
        ++stored[record.name];
    RC_ASSERT(stored == expected);
  }
  state::StateCache final_cache(settings);
  std::vector<state::Change> changes;
  store.read(final_cache, changes);
  RC_ASSERT(final_cache.machines().size() == expected.size());
}

// Two nodes that know different limits add the same machine at the same time: one to the page
// itself, the other to a new part of it. Only one commit may succeed.
TEST(InventoryPage, TheNextPartIsAPrecondition) {
  config::Settings settings = make_settings();
  Store store;
  state::StateCache cache(settings);
  std::vector<state::Change> changes;
  auto machine = [](int n) {
    return wire::MachineRecord{"m-" + std::to_string(320000 + n), "type", "zone", true, 0, 1};
  };
  const int number = state::inventory_page(machine(0).name);
  shard::InventoryPage first(cache, number);
  for (int i = 0; i < 20; ++i) first.set(machine(i));
  ASSERT_TRUE(store.commit(first.changes(4096, "a")));
  store.read(cache, changes);
  const std::size_t full = store.keys.at(state::inventory_key(number)).value.size();
  shard::InventoryPage large(cache, number), split(cache, number);
  large.set(machine(21));
  split.set(machine(21));
  wire::Transaction first_txn = large.changes(4096, "b"), second_txn = split.changes(full, "c");
  // Only the operation on the new part is kept; the page itself stays unchanged.
  std::erase_if(second_txn.ops,
                [&](const auto& op) { return op.key == state::inventory_key(number); });
  ASSERT_TRUE(store.commit(second_txn));
  EXPECT_FALSE(store.commit(first_txn));
}

// A placement page that was written when values could be larger is not rewritten until its
// placements have ended, and new placements go to other pages. No value exceeds the current limit,
// and no placement or result is lost.
TEST(Limits, OverlongPlacementPagesAreNotRewritten) {
  config::Settings settings = make_settings(1);
  settings.teams[0].cpus_max = 100000;
  config::Tuning tuning;
  scheduler::MachineCatalogue catalogue = make_catalogue(settings);
  Store store;
  state::StateCache cache(settings);
  store.commit(
      {{}, {{state::leader_key(0), wire::encode_record(wire::LeaderRecord{"node-0", "x"}), 0}}});
  std::vector<wire::MachineRecord> machines;
  for (int i = 0; i < 600; ++i)
    machines.push_back({"m-" + std::to_string(100000 + i), "t4", "a", true, 0, 0});
  store.commit(inventory_transaction(cache, machines));
  std::vector<state::Change> changes;
  store.read(cache, changes);
  auto job = make_job(1, 2400, 1);
  store.commit({{}, {{state::job_key(job.spec.id), wire::encode_record(job), 0}}});
  store.read(cache, changes);
  scheduler::ShardScheduler shard_scheduler(settings, tuning, catalogue, 0,
                                            cache.leader(0).mod_revision, 0, 7);
  shard_scheduler.job_added(job, 0, {}, 0, 0);
  for (const auto& machine : machines) shard_scheduler.machine_known(machine, 0);
  double now = 1;
  auto commit = [&](state::TransactionLimits size) {
    now += 10;  // long enough for results to be written
    for (int i = 0; i < 10; ++i) shard_scheduler.run_scheduling_pass(now);
    std::size_t n = 0;
    while (auto txn = shard_scheduler.next_transaction(cache, size, "t", now)) {
      ++n;
      EXPECT_LE(txn->ops.size(), size.ops);
      EXPECT_LE(txn->preconditions.size(), 4 * size.ops);
      for (const auto& op : txn->ops) EXPECT_LE(op.value.value_or("").size(), size.value_bytes);
      EXPECT_TRUE(store.commit(*txn));
      store.read(cache, changes);
      shard_scheduler.transaction_applied(now);
    }
    return n;
  };
  auto send_heartbeats = [&](int from, int to) {
    for (int i = from; i < to; ++i) {
      wire::Heartbeat heartbeat{machines[static_cast<std::size_t>(i)].name,
                                "10.0.0.1:1",
                                "t4",
                                "a",
                                true,
                                1,
                                1,
                                0,
                                std::nullopt,
                                {}};
      shard_scheduler.take_heartbeat(heartbeat, 1);
    }
  };
  auto count_placements = [&] {
    std::set<std::uint32_t> tasks;
    for (const auto& [n, page] : cache.placement_pages(0))
      for (const auto& g : page.jobs)
        for (const auto& p : g.placements) EXPECT_TRUE(tasks.insert(p.task).second);
    return tasks.size();
  };
  send_heartbeats(0, 400);
  commit({4096, 12});
  std::size_t before = count_placements();
  EXPECT_EQ(before, 1600u);
  // Results arrive and are written beside a full placement page, and again after the limits have
  // fallen.
  auto report_done = [&](int from, int to, std::uint64_t seq) {
    std::map<std::string, std::vector<wire::TaskStatus>> statuses_by_machine;
    for (const auto& [n, page] : cache.placement_pages(0))
      for (const auto& g : page.jobs)
        for (const auto& p : g.placements)
          statuses_by_machine[p.machine].push_back(
              {{g.job, p.task}, p.attempt, wire::TaskState::exited, wire::ExitReason::done});
    for (int i = from; i < to; ++i) {
      const auto& machine = machines[static_cast<std::size_t>(i)].name;
      shard_scheduler.take_heartbeat({machine,
                                      "10.0.0.1:1",
                                      "t4",
                                      "a",
                                      true,
                                      1,
                                      seq,
                                      0,
                                      std::nullopt,
                                      {statuses_by_machine[machine].front()}},
                                     5);
    }
  };
  report_done(0, 40, 2);
  send_heartbeats(400, 520);
  commit({4096, 12});
  std::size_t placed = count_placements();
  report_done(40, 80, 2);
  send_heartbeats(520, 600);
  EXPECT_GT(commit({1024, 2, 8}), 1u);
  // Every result that workers may forget is recorded, and every placement is kept.
  EXPECT_GE(count_placements() + 80, 2400u - 80);
  EXPECT_GT(placed, 1500u);
  std::set<std::uint32_t> finished;
  for (const auto& [chunk, list] : cache.done(job.spec.id))
    for (auto [a, b] : list)
      for (auto task = a; task <= b; ++task) finished.insert(chunk * jobs::kTasksPerChunk + task);
  EXPECT_EQ(finished.size(), 80u);
}

// After a takeover, every placement page exceeds the current value limit: none of them is
// rewritten, a new page is added, and recorded results stay recorded.
TEST(Limits, IfAllPlacementPagesAreOverlongANewOneIsAdded) {
  config::Settings settings = make_settings(1);
  settings.teams[0].cpus_max = 100000;
  config::Tuning tuning;
  scheduler::MachineCatalogue catalogue = make_catalogue(settings);
  Store store;
  state::StateCache cache(settings);
  auto job = make_job(1, 1000, 1);
  store.commit({{},
                {{state::leader_key(0), wire::encode_record(wire::LeaderRecord{"node-0", "x"}), 0},
                 {state::job_key(job.spec.id), wire::encode_record(job), 0}}});
  auto names = [&](int team) { return settings.teams[static_cast<std::size_t>(team)].name; };
  std::vector<wire::MachineRecord> machines;
  for (int page = 0; page < 48; ++page) {
    wire::PlacementPageRecord record{"t", {{job.spec.id, 0, 1, 0, 1, {}, {}}}};
    for (std::uint32_t i = 0; i < 6; ++i) {
      std::string name = "m-" + std::string(190, 'x') + std::to_string(machines.size());
      machines.push_back({name, "t4", "a", true, 0, 0});
      record.jobs[0].placements.push_back({name, static_cast<std::uint32_t>(machines.size()), 7});
    }
    if (page == 0) record.jobs[0].done = {{0, {{0, 0}}}};
    store.commit(
        {{}, {{state::placement_page_key(0, page), wire::encode_record(record, names), 0}}});
  }
  std::vector<state::Change> changes;
  store.read(cache, changes);
  scheduler::ShardScheduler shard_scheduler(settings, tuning, catalogue, 0,
                                            cache.leader(0).mod_revision, 0, 7);
  shard_scheduler.job_added(job, 0, cache.done(job.spec.id), 0, 0);
  for (const auto& m : machines) shard_scheduler.machine_known(m, 0);
  for (const auto& [n, page] : cache.placement_pages(0)) shard_scheduler.recover_page(n, page, 0);
  wire::Heartbeat heartbeat{
      machines[0].name,
      "10.0.0.1:1",
      "t4",
      "a",
      true,
      1,
      1,
      cache.leader(0).mod_revision,
      std::nullopt,
      {{{job.spec.id, 1}, 7, wire::TaskState::exited, wire::ExitReason::done}}};
  shard_scheduler.take_heartbeat(heartbeat, 1);
  shard_scheduler.run_scheduling_pass(10);
  auto txn = shard_scheduler.next_transaction(cache, {1024, 2, 8}, "t", 10);
  ASSERT_TRUE(txn);
  ASSERT_EQ(txn->ops.size(), 1u);
  EXPECT_EQ(txn->ops[0].key, state::placement_page_key(0, 48));
  EXPECT_LE(txn->ops[0].value.value_or("").size(), 1024u);
  ASSERT_TRUE(store.commit(*txn));
  store.read(cache, changes);
  shard_scheduler.transaction_applied(10);
  std::set<std::uint32_t> done;
  const auto all = cache.done(job.spec.id);
  for (auto [a, b] : all.at(0))
    for (auto k = a; k <= b; ++k) done.insert(k);
  EXPECT_EQ(done, (std::set<std::uint32_t>{0, 1}));
}

}  // namespace
}  // namespace shunttrail::test
