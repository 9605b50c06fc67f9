// What the version in production wrote, and what it could read: recorded from it, byte for byte.
// While both versions serve, each has to work on the other's data; a format that changed here
// would end that.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "emulators.h"
#include "peer/peer.h"
#include "shard/inventory_page.h"

namespace shunttrail::test {
namespace {

using wire::JobRecord;

const std::string kBody =
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
const std::string kSheet =
    R"({"b":4194305,"j":{"run-000412":{"c":8.0,"d":{"0":[0,3,7,7],"2":[1,1]},"g":1.0,"l":[0,4,1048578,1,5,1048584],"m":64.0,"t":"vision"},"run-7":{"c":1.5,"g":0.0,"l":[0,0,0],"m":1.8,"t":"red"}},"m":["m-000231","m-000007"],"w":"railhead-0.7.31"})";
const std::string kRoster =
    R"({"m":{"m-000007":["g8","b",0,0,0],"m-000231":["g8","a",1,2,431]},"w":"railhead-1.9.2"})";
const std::string kOwner = R"({"node":"railhead-2","w":"railhead-2.8.1"})";
const std::string kBeat =
    "01030000000200000001030000000000000001000000000000000000000000000400af0100000000000003000000"
    "0000000064000000fa00000025000000010000000000000000000000000090010000000000000700000001";

wire::Event event(const std::string& value) { return {"", value, 0}; }

TEST(Upgrade, JobRecordsAreThoseOfTheVersionInProduction) {
  JobRecord r{wire::decode_job(kBody), 1733000000.25, 0};
  EXPECT_EQ(wire::encode_record(r), kJob);
  for (const auto& text : {kJob, kService}) {
    JobRecord b = wire::decode_job_record(event(text));
    EXPECT_EQ(wire::encode_record(b), text);
    EXPECT_TRUE(b.spec.dependencies.empty());
    EXPECT_EQ(b.ready_at, 0);
  }
  // What is new in the record of a job that may start is a field that the other version ignores.
  r.ready_at = 1733000100;
  std::string ready = wire::encode_record(r);
  EXPECT_EQ(wire::decode_job_record(event(ready)).ready_at, 1733000100);
  ready.replace(ready.find("\"ready\":1733000100.0,"), 21, "");
  EXPECT_EQ(ready, kJob);
}

TEST(Upgrade, ResultAndLeaderRecordsAreThoseOfTheVersionInProduction) {
  for (const auto& text : {kDone, kCancelled}) {
    auto f = wire::decode_job_result(text);
    EXPECT_EQ(f.cancelled, text == kCancelled);
    EXPECT_FALSE(f.service);
    EXPECT_EQ(wire::encode_record(f), text);
  }
  EXPECT_EQ(wire::encode_record(wire::decode_leader_record(event(kOwner))), kOwner);
}

TEST(Upgrade, PlacementAndInventoryPagesAreThoseOfTheVersionInProduction) {
  auto names = [](int t) { return std::string(t ? "red" : "vision"); };
  auto page =
      wire::decode_placement_page(event(kSheet), [](const std::string& t) { return t == "red"; });
  ASSERT_EQ(page.jobs.size(), 2u);
  EXPECT_EQ(page.jobs[0].placements.size(), 2u);
  EXPECT_EQ(page.jobs[0].placements[1].attempt, (5u << 20) + 9);
  EXPECT_EQ(wire::encode_record(page, names), kSheet);
  auto inventory = wire::decode_inventory_page(event(kRoster));
  ASSERT_EQ(inventory.machines.size(), 2u);
  EXPECT_EQ(wire::encode_record(inventory), kRoster);
}

TEST(Upgrade, HeartbeatsAndRedirectsAreThoseOfTheVersionInProduction) {
  std::string bytes;
  for (std::size_t i = 0; i < kBeat.size(); i += 2)
    bytes += static_cast<char>(std::stoi(kBeat.substr(i, 2), nullptr, 16));
  auto b = peer::decode(bytes, 3);
  ASSERT_TRUE(b);
  EXPECT_EQ(b->node, 2);
  EXPECT_EQ(b->tokens[2], 431u);
  EXPECT_EQ(b->loads[0].entitled, 250u);
  // The other version checks a heartbeat's number and its exact length.
  EXPECT_EQ(peer::encode(*b), bytes);
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
  // A letter that the version in production has no word for: it keeps the revision and reads past
  // it.
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
  auto of = [&](const std::string& next) {
    return config::parse_settings(
        settings(R"({"rps":80,"write_rps":25,"value_kb":4,"txn_ops":12)" + next + "}"));
  };
  auto s = of("");
  EXPECT_EQ(state::Limits(s).transaction_limits().value_bytes, 4096u);
  EXPECT_EQ(state::Limits(s).transaction_limits().ops, 12u);
  s = of(R"(,"next":{"write_rps":18.0,"value_kb":2.0,"txn_ops":4})");
  EXPECT_EQ(s.state_next.rps, 80);
  EXPECT_EQ(s.state_next.write_rps, 18);
  EXPECT_EQ(state::Limits(s).transaction_limits().value_bytes, 2048u);
  EXPECT_EQ(state::Limits(s).transaction_limits().ops, 4u);
  auto message = [&](const std::string& next) {
    try {
      of(next);
    } catch (const config::SettingsError& e) {
      return std::string(e.what());
    }
    return std::string();
  };
  EXPECT_EQ(message(R"(,"next":7)"), "cluster.state.next: is not an object");
  EXPECT_EQ(message(R"(,"next":{"txn_ops":1})"),
            "cluster.state.next.txn_ops: is 1, expected 2 to 100000");
  EXPECT_EQ(message(R"(,"next":{"value_kb":"2"})"), "cluster.state.next.value_kb: is not a number");
}

TEST(Limits, FallToWhatIsAnnouncedAndFurtherIfThatIsTooMuch) {
  auto s = make_settings();
  s.state_next.value_kb = 2;
  s.state_next.txn_ops = 4;
  state::Limits l(s);
  EXPECT_EQ(l.present().value_bytes, 4096u);  // inventory pages, as the other version reads them
  l.too_large(3000, 6);
  EXPECT_EQ(l.present().value_bytes, 2048u);
  EXPECT_EQ(l.transaction_limits().ops, 4u);
  // Nobody announced this. It ends at a size that can still be worked with.
  for (int i = 0; i < 20; ++i)
    l.too_large(l.transaction_limits().value_bytes, l.transaction_limits().ops);
  EXPECT_EQ(l.transaction_limits().value_bytes, 1024u);
  EXPECT_EQ(l.transaction_limits().ops, 2u);
}

TEST(Limits, A429LowersTheRateAtOnceAndItRisesAgainSlowly) {
  state::AdaptiveRate p(25, 18);
  EXPECT_EQ(p.rate(1), 25);
  p.refused(1);
  EXPECT_EQ(p.rate(1), 18);
  p.refused(1.5);  // of the same burst
  EXPECT_EQ(p.rate(1.5), 18);
  p.refused(3);
  EXPECT_LT(p.rate(3), 18);
  EXPECT_EQ(p.rate(30), 18);
  EXPECT_GT(p.rate(60), 18);  // perhaps it has passed
  EXPECT_EQ(p.rate(200), 25);
  for (int i = 0; i < 200; ++i) p.refused(200 + 2 * i);
  EXPECT_GT(p.rate(602), 4);  // never to a standstill
}

// A inventory page too long for one new value is parted, and at no moment is a machine unrecorded
// or recorded twice: whatever of several nodes' changes come through.
RC_GTEST_PROP(InventoryPage, SplitPagesHoldEveryMachineOnce, ()) {
  config::Settings s = make_settings();
  Store store;
  std::map<std::string, int> truth;
  std::vector<std::unique_ptr<state::StateCache>> nodes;
  for (int i = 0; i < 2; ++i) nodes.push_back(std::make_unique<state::StateCache>(s));
  auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int, bool>>>(
      rc::gen::tuple(rc::gen::inRange(0, 32), rc::gen::inRange(0, 3), rc::gen::inRange(0, 2),
                     rc::gen::arbitrary<bool>()));
  std::size_t limits[2] = {4096, 4096};
  for (std::size_t i = 0; i < steps.size(); ++i) {
    auto [machine, what, node, read] = steps[i];
    // The limits fall at some moment, and the nodes learn of it one after the other.
    if (i > steps.size() / 3) limits[0] = 700;
    if (i > steps.size() * 2 / 3) limits[1] = 700;
    const std::size_t limit = limits[node];
    state::StateCache& w = *nodes[static_cast<std::size_t>(node)];
    std::vector<state::Change> changes;
    if (read) store.read(w, changes);
    for (const auto& c : changes)
      if (c.kind == state::Change::machine_gone && !w.machine(c.name))
        RC_ASSERT(!truth.contains(c.name));
    const std::string name = "m-" + std::to_string(320000 + machine);
    shard::InventoryPage page(w, state::inventory_page(name));
    const auto* m = page.find(name);
    if (what < 2 && !m)
      page.set({name, "a-type-with-a-name", "zone-with-a-name", true, what, 123456});
    else if (what < 2) {
      auto given = *m;
      given.shard = 1 - given.shard;
      page.set(given);
    } else {
      page.drop(name);
    }
    wire::Transaction t = page.changes(limit, "tag");
    if (t.ops.empty()) continue;
    for (const auto& op : t.ops)
      if (op.value) RC_ASSERT(op.value->size() <= limit);
    if (!store.commit(t)) continue;
    if (what < 2)
      truth[name] = 1;
    else
      truth.erase(name);
    // Every machine that is there stands in exactly one part.
    std::map<std::string, int> held;
    for (const auto& [k, e] : store.keys)
      for (const auto& r : wire::decode_inventory_page(event(e.value)).machines) ++held[r.name];
    RC_ASSERT(held == truth);
  }
  state::StateCache last(s);
  std::vector<state::Change> changes;
  store.read(last, changes);
  RC_ASSERT(last.machines().size() == truth.size());
}

// Two nodes that do not know of the same limits yet enter one machine at the same time: one into
// the page itself, the other into a new part of it. Only one may come through.
TEST(InventoryPage, TheNextPartIsAPrecondition) {
  config::Settings s = make_settings();
  Store store;
  state::StateCache w(s);
  std::vector<state::Change> changes;
  auto machine = [](int n) {
    return wire::MachineRecord{"m-" + std::to_string(320000 + n), "type", "zone", true, 0, 1};
  };
  const int number = state::inventory_page(machine(0).name);
  shard::InventoryPage first(w, number);
  for (int i = 0; i < 20; ++i) first.set(machine(i));
  ASSERT_TRUE(store.commit(first.changes(4096, "a")));
  store.read(w, changes);
  const std::size_t full = store.keys.at(state::inventory_key(number)).value.size();
  shard::InventoryPage large(w, number), parted(w, number);
  large.set(machine(21));
  parted.set(machine(21));
  wire::Transaction one = large.changes(4096, "b"), two = parted.changes(full, "c");
  // What does not fit goes to the new part, and the page itself stays as it is.
  std::erase_if(two.ops, [&](const auto& op) { return op.key == state::inventory_key(number); });
  ASSERT_TRUE(store.commit(two));
  EXPECT_FALSE(store.commit(one));
}

// A placement page written when values could be larger stays as it is until what it holds is over,
// and new starts go elsewhere: no value is longer than what is taken now, nothing that is held is
// lost.
TEST(Limits, PlacementPagesTooLongForANewValueAreLeftAlone) {
  config::Settings s = make_settings(1);
  s.teams[0].cpus_max = 100000;
  config::Tuning tuning;
  scheduler::MachineCatalogue c = make_catalogue(s);
  Store store;
  state::StateCache w(s);
  store.commit(
      {{}, {{state::leader_key(0), wire::encode_record(wire::LeaderRecord{"node-0", "x"}), 0}}});
  std::vector<wire::MachineRecord> machines;
  for (int i = 0; i < 600; ++i)
    machines.push_back({"m-" + std::to_string(100000 + i), "t4", "a", true, 0, 0});
  store.commit(roster_txn(w, machines));
  std::vector<state::Change> ch;
  store.read(w, ch);
  auto job = make_job(1, 2400, 1);
  store.commit({{}, {{state::job_key(job.spec.id), wire::encode_record(job), 0}}});
  store.read(w, ch);
  scheduler::ShardScheduler d(s, tuning, c, 0, w.leader(0).mod_revision, 0, 7);
  d.job_added(job, 0, {}, 0, 0);
  for (const auto& m : machines) d.machine_known(m, 0);
  double now = 1;
  auto commit = [&](state::TransactionLimits size) {
    now += 10;  // results have waited long enough
    for (int i = 0; i < 10; ++i) d.run_scheduling_pass(now);
    std::size_t n = 0;
    while (auto t = d.next_transaction(w, size, "t", now)) {
      ++n;
      EXPECT_LE(t->ops.size(), size.ops);
      EXPECT_LE(t->preconditions.size(), 4 * size.ops);
      for (const auto& op : t->ops) EXPECT_LE(op.value.value_or("").size(), size.value_bytes);
      EXPECT_TRUE(store.commit(*t));
      store.read(w, ch);
      d.transaction_applied(now);
    }
    return n;
  };
  auto heartbeat = [&](int from, int to) {
    for (int i = from; i < to; ++i) {
      wire::Heartbeat r{machines[static_cast<std::size_t>(i)].name,
                        "10.0.0.1:1",
                        "t4",
                        "a",
                        true,
                        1,
                        1,
                        0,
                        std::nullopt,
                        {}};
      d.take_heartbeat(r, 1);
    }
  };
  auto places = [&] {
    std::set<std::uint32_t> tasks;
    for (const auto& [n, page] : w.placement_pages(0))
      for (const auto& g : page.jobs)
        for (const auto& p : g.placements) EXPECT_TRUE(tasks.insert(p.task).second);
    return tasks.size();
  };
  heartbeat(0, 400);
  commit({4096, 12});
  std::size_t before = places();
  EXPECT_EQ(before, 1600u);
  // Results come, are written, and grow: beside a full placement page, and after the limits have
  // fallen.
  auto done = [&](int from, int to, std::uint64_t seq) {
    std::map<std::string, std::vector<wire::TaskStatus>> on;
    for (const auto& [n, page] : w.placement_pages(0))
      for (const auto& g : page.jobs)
        for (const auto& p : g.placements)
          on[p.machine].push_back(
              {{g.job, p.task}, p.attempt, wire::TaskState::exited, wire::ExitReason::done});
    for (int i = from; i < to; ++i) {
      const auto& m = machines[static_cast<std::size_t>(i)].name;
      d.take_heartbeat({m, "10.0.0.1:1", "t4", "a", true, 1, seq, 0, std::nullopt, {on[m].front()}},
                       5);
    }
  };
  done(0, 40, 2);
  heartbeat(400, 520);
  commit({4096, 12});
  std::size_t held = places();
  done(40, 80, 2);
  heartbeat(520, 600);
  EXPECT_GT(commit({1024, 2, 8}), 1u);
  // Every result that a scheduler would let a worker forget is recorded, and every placement left.
  EXPECT_GE(places() + 80, 2400u - 80);
  EXPECT_GT(held, 1500u);
  std::set<std::uint32_t> finished;
  for (const auto& [chunk, list] : w.done(job.spec.id))
    for (auto [a, b] : list)
      for (auto t = a; t <= b; ++t) finished.insert(chunk * jobs::kTasksPerChunk + t);
  EXPECT_EQ(finished.size(), 80u);
}

// A takeover finds every placement page too long for what a value may hold by now: none of them is
// written, a further one is begun, and what is recorded stays recorded.
TEST(Limits, WhereEveryPlacementPageIsTooLongAnotherIsBegun) {
  config::Settings s = make_settings(1);
  s.teams[0].cpus_max = 100000;
  config::Tuning tuning;
  scheduler::MachineCatalogue c = make_catalogue(s);
  Store store;
  state::StateCache w(s);
  auto job = make_job(1, 1000, 1);
  store.commit({{},
                {{state::leader_key(0), wire::encode_record(wire::LeaderRecord{"node-0", "x"}), 0},
                 {state::job_key(job.spec.id), wire::encode_record(job), 0}}});
  auto names = [&](int team) { return s.teams[static_cast<std::size_t>(team)].name; };
  std::vector<wire::MachineRecord> machines;
  for (int page = 0; page < 48; ++page) {
    wire::PlacementPageRecord r{"t", {{job.spec.id, 0, 1, 0, 1, {}, {}}}};
    for (std::uint32_t i = 0; i < 6; ++i) {
      std::string name = "m-" + std::string(190, 'x') + std::to_string(machines.size());
      machines.push_back({name, "t4", "a", true, 0, 0});
      r.jobs[0].placements.push_back({name, static_cast<std::uint32_t>(machines.size()), 7});
    }
    if (page == 0) r.jobs[0].done = {{0, {{0, 0}}}};
    store.commit({{}, {{state::placement_page_key(0, page), wire::encode_record(r, names), 0}}});
  }
  std::vector<state::Change> ch;
  store.read(w, ch);
  scheduler::ShardScheduler d(s, tuning, c, 0, w.leader(0).mod_revision, 0, 7);
  d.job_added(job, 0, w.done(job.spec.id), 0, 0);
  for (const auto& m : machines) d.machine_known(m, 0);
  for (const auto& [n, page] : w.placement_pages(0)) d.recover_page(n, page, 0);
  wire::Heartbeat r{machines[0].name,
                    "10.0.0.1:1",
                    "t4",
                    "a",
                    true,
                    1,
                    1,
                    w.leader(0).mod_revision,
                    std::nullopt,
                    {{{job.spec.id, 1}, 7, wire::TaskState::exited, wire::ExitReason::done}}};
  d.take_heartbeat(r, 1);
  d.run_scheduling_pass(10);
  auto t = d.next_transaction(w, {1024, 2, 8}, "t", 10);
  ASSERT_TRUE(t);
  ASSERT_EQ(t->ops.size(), 1u);
  EXPECT_EQ(t->ops[0].key, state::placement_page_key(0, 48));
  EXPECT_LE(t->ops[0].value.value_or("").size(), 1024u);
  ASSERT_TRUE(store.commit(*t));
  store.read(w, ch);
  d.transaction_applied(10);
  std::set<std::uint32_t> done;
  const auto all = w.done(job.spec.id);
  for (auto [a, b] : all.at(0))
    for (auto k = a; k <= b; ++k) done.insert(k);
  EXPECT_EQ(done, (std::set<std::uint32_t>{0, 1}));
}

}  // namespace
}  // namespace shunttrail::test
