// State levels: the records, what holds a level back, and generated rollouts in which builds of
// several levels run side by side, die, come back older, and commit late.
#include "schema/schema.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

#include "emulators.h"
#include "shard/inventory_page.h"

namespace shunttrail::test {
namespace {

using schema::Build;
using schema::Step;
using schema::StoredView;
using schema::VersionRecord;

wire::Event event(const std::string& value) { return {"", value, 0}; }

// ---- stored forms, at every level

const std::string kRecord = R"({"highest":1,"level":1,"lowest":0,"w":"railhead-0.9.l1"})";
const std::string kOrders = R"({"gone":["railhead-2"],"most":1,"w":"railhead-0.9.l2"})";
const std::string kMember = R"({"boot":9,"levels":[0,1,1]})";
const std::string kRosterOf0 =
    R"({"m":{"m-000007":["g8","b",0,0,0],"m-000231":["g8","a",1,2,431],"m-000232":["g8","a",1,2,431]},"w":"railhead-1.9.2"})";
const std::string kRosterOf1 =
    R"({"m":{"m-000007":["g8","b",0,0,0],"m-000231":["g8","a",1,2,431],"m-000232":["g8","a",1,2,431]},"t":[1733000000,[35,null,0]],"w":"railhead-1.9.2"})";

TEST(Schema, StoredFormsAreTheRecordedOnes) {
  VersionRecord r = schema::decode_record(event(kRecord));
  EXPECT_EQ(r, (VersionRecord{1, 0, 1, "railhead-0.9.l1"}));
  EXPECT_EQ(schema::encode(r), kRecord);
  auto o = schema::decode_orders(event(kOrders));
  EXPECT_EQ(o, (schema::Orders{1, {"railhead-2"}, "railhead-0.9.l2"}));
  EXPECT_EQ(schema::encode(o), kOrders);
  EXPECT_EQ(schema::decode_member(event(kMember)), (Build{0, 1, 1}));
  EXPECT_EQ(schema::encode_member(9, {0, 1, 1}), kMember);
  for (const auto& text : {kRosterOf0, kRosterOf1}) {
    auto page = wire::decode_inventory_page(event(text));
    EXPECT_EQ(page.form, text == kRosterOf1);
    EXPECT_EQ(page.machines[0].rented_at, page.form ? 1733000035 : 0);
    EXPECT_EQ(page.machines[1].rented_at, 0);
    EXPECT_EQ(wire::encode_record(page), text);
  }
}

// Builds of level 0 that come back read past what is new, and drop it when they write.
TEST(Schema, ABuildOfVersion0ReadsTheNewPageAsItsOwn) {
  std::string as_read = kRosterOf1;
  const std::string news = R"("t":[1733000000,[35,null,0]],)";
  as_read.erase(as_read.find(news), news.size());
  EXPECT_EQ(as_read, kRosterOf0);
  // It registers without a word about levels; of node keys it reads only that they are there.
  EXPECT_EQ(schema::decode_member(event(R"({"boot":9})")), Build{});
  EXPECT_EQ(schema::decode_member(event(R"({"boot":9,"levels":[1]})")), Build{});
  EXPECT_EQ(schema::decode_member(event(R"({"boot":9,"levels":[2,1,1]})")), Build{});
}

TEST(Schema, ARecordThatCannotBeReadStopsTheNodeAndSaysWhy) {
  config::Settings s = make_settings();
  const std::vector<std::pair<std::string, std::string>> bad = {
      {R"({"highest":1,"level":1,"lowest":0,"w":"x","more":1})", "more is not a known field"},
      {R"({"highest":1,"level":1,"w":"x"})", "lowest is missing"},
      {R"({"highest":1,"level":2,"lowest":0,"w":"x"})", "level is out of its range"},
      {R"({"highest":1,"level":"1","lowest":0,"w":"x"})", "level is not a count"},
      {R"([])", "not an object"},
  };
  for (const auto& [text, why] : bad) {
    state::StateCache w(s);
    std::vector<state::Change> ch;
    w.apply({schema::kActiveKey, text, 5}, ch);
    EXPECT_EQ(schema::refusal(w.schema(), schema::current_build()),
              "the level record cannot be read: " + why);
    ASSERT_EQ(ch.size(), 1u);
    auto out = schema::rollout_status(w.schema(), s.nodes, schema::current_build(), true);
    EXPECT_EQ(out.step.kind, Step::none);
    EXPECT_EQ(out.blocked_by.at(0).by, "record");
    w.apply({schema::kActiveKey, std::nullopt, 6}, ch);
    EXPECT_EQ(schema::refusal(w.schema(), schema::current_build()), "");
  }
  StoredView v;
  v.record = {1, 0, 1, "x"};
  EXPECT_EQ(schema::refusal(v, {0, 0, 0}), "state of level 0 to 1 stands, this build reads 0");
  EXPECT_EQ(schema::refusal(v, {1, 2, 2}), "state of level 0 to 1 stands, this build reads 1 to 2");
  EXPECT_EQ(schema::refusal(v, {0, 1, 1}), "");
}

// ---- what holds a level back

struct Three {
  std::vector<std::string> names = {"a", "b", "c"};
  StoredView v;
  Three() {
    v.members.resize(3);
    for (std::size_t n = 0; n < 3; ++n) v.members[n] = {10 + n, {0, 1, 1}};
  }
  schema::RolloutStatus look(bool converted = true, Build own = {0, 1, 1}) const {
    return schema::rollout_status(v, names, own, converted);
  }
  std::string held() const {
    std::string all;
    for (const auto& o : look().blocked_by) all += o.by + " " + o.reason + "; ";
    return all;
  }
};

TEST(Schema, AnUpgradeNeedsEveryNodeAndItsPreconditionsNameThemAll) {
  Three t;
  auto s = t.look().step;
  ASSERT_EQ(s.kind, Step::raise);
  EXPECT_EQ(s.record, (VersionRecord{1, 0, 1, ""}));
  std::vector<std::pair<std::string, std::uint64_t>> guards = {
      {"st/n/a", 10}, {"st/n/b", 11}, {"st/n/c", 12}, {"st/l/active", 0}, {"st/l/orders", 0}};
  EXPECT_EQ(s.preconditions, guards);
  t.v.members[1].build = {};
  EXPECT_EQ(t.held(), "b cannot read level 1; ");
  t.v.members[1].build = {0, 1, 0};
  EXPECT_EQ(t.held(), "b does not write level 1 yet; ");
  t.v.members[1].mod_revision = 0;
  EXPECT_EQ(t.held(), "b is not there; ");
  EXPECT_EQ(t.look().step.kind, Step::none);
  EXPECT_TRUE(t.look().step.preconditions.empty());
  // Declared gone, it is not waited for; should it come back in between, the guard fails.
  t.v.orders.gone = {"b"};
  s = t.look().step;
  ASSERT_EQ(s.kind, Step::raise);
  EXPECT_EQ(s.preconditions[1], (std::pair<std::string, std::uint64_t>{"st/n/b", 0}));
  // Declared gone but there, with a build that cannot: it counts.
  t.v.members[1] = {15, {}};
  EXPECT_EQ(t.held(), "b cannot read level 1; ");
  t.v.members[1].build = {0, 1, 1};
  t.v.orders.max_version = 0;
  EXPECT_EQ(t.held(), "orders hold level 0; ");
  t.v.orders_unreadable = true;
  EXPECT_EQ(t.held(), "orders cannot be read; ");
}

TEST(Schema, OneVersionAtATimeUpAndDown) {
  Three t;
  t.v.record = {1, 0, 1, "x"};
  t.v.mod_revision = 40;
  for (auto& m : t.v.members) m.build = {0, 2, 2};
  EXPECT_EQ(t.look(false, {0, 2, 2}).blocked_by.at(0).by, "conversion");
  auto s = t.look(true, {0, 2, 2}).step;
  ASSERT_EQ(s.kind, Step::settle);
  EXPECT_EQ(s.record, (VersionRecord{1, 1, 1, ""}));
  t.v.record = s.record;
  s = t.look(true, {0, 2, 2}).step;
  ASSERT_EQ(s.kind, Step::raise);
  EXPECT_EQ(s.record, (VersionRecord{2, 1, 2, ""}));
  t.v.orders.max_version = 0;
  s = t.look(true, {0, 2, 2}).step;
  ASSERT_EQ(s.kind, Step::lower);
  EXPECT_EQ(s.record, (VersionRecord{0, 0, 1, ""}));
  // A node that has dropped the older form could not go on.
  t.v.members[2].build = {1, 2, 2};
  auto held = t.look(true, {0, 2, 2});
  EXPECT_EQ(held.step.kind, Step::none);
  EXPECT_EQ(held.blocked_by.at(0), (schema::Blocker{"c", "cannot read level 0"}));
  // A level that this build does not know cannot be lowered by it.
  t.v.record = {3, 3, 3, "x"};
  EXPECT_EQ(t.look(true, {0, 3, 3}).blocked_by.at(0).by, "orders");
}

TEST(Schema, OrdersAreCheckedAndRepeatingThemIsHarmless) {
  Three t;
  auto refused = [&](const std::string& body) {
    try {
      return schema::refused(t.v, t.names, schema::decode_order(body));
    } catch (const wire::Malformed& e) {
      return std::string(e.what());
    }
  };
  EXPECT_EQ(refused(R"({"hold":0})"), "");
  EXPECT_EQ(refused(R"({"hold":null})"), "");
  EXPECT_EQ(refused(R"({"hold":-1})"), "hold is not a count");
  EXPECT_EQ(refused(R"({"hold":1,"gone":"a"})"), "give one of hold, gone, here");
  EXPECT_EQ(refused(R"({"level":1})"), "level is not a known field");
  EXPECT_EQ(refused(R"({"gone":"d"})"), "gone: d is none of the nodes");
  EXPECT_EQ(refused(R"({"gone":"a"})"), "gone: a is there");
  t.v.members[0].mod_revision = 0;
  EXPECT_EQ(refused(R"({"gone":"a"})"), "");
  t.v.record = {2, 2, 2, "x"};
  EXPECT_EQ(refused(R"({"hold":1})"), "");
  t.v.record = {3, 3, 3, "x"};
  EXPECT_EQ(refused(R"({"hold":1})"), "hold: level 3 is active and cannot be lowered");
  for (const auto& body :
       {R"({"hold":1})", R"({"hold":null})", R"({"gone":"a"})", R"({"here":"a"})"}) {
    schema::Order o = schema::decode_order(body);
    EXPECT_EQ(schema::encode(o), body);
    auto once = schema::with(t.v.orders, o);
    EXPECT_EQ(schema::with(once, o), once);
  }
}

// ---- conversion

// Limits that have fallen since a page was written: it is parted on its way to the new form, and at
// no moment is a machine unrecorded or recorded twice. And the way back.
TEST(Schema, ConversionSplitsWhatHasBecomeTooLongAndGoesBothWays) {
  config::Settings s = make_settings();
  Store store;
  state::StateCache w(s);
  std::vector<state::Change> ch;
  std::vector<wire::MachineRecord> fleet;
  for (int i = 0; i < 64; ++i)
    fleet.push_back({"m-" + std::to_string(320000 + i), "a-type-with-a-name", "zone-with-a-name",
                     true, 0, 123456, 1733000000.0 + i});
  store.commit(inventory_transaction(w, fleet));
  auto level = [&](const VersionRecord& r) {
    store.commit({{}, {{schema::kActiveKey, schema::encode(r), 0}}});
    store.read(w, ch);
  };
  auto convert = [&] {
    int rounds = 0;
    for (; !w.inventory_to_convert().empty() && rounds < 20; ++rounds) {
      EXPECT_LT(w.converted(), 1);
      shard::InventoryPage page(w, state::inventory_base(*w.inventory_to_convert().begin()));
      page.convert();
      page.record_ages([](const std::string&) { return 1733000500.0; });
      wire::Transaction t = page.changes(900, "t");
      ASSERT_TRUE(store.commit(t));
      // The same once more, or late: its preconditions let it be applied once.
      EXPECT_FALSE(store.commit(t));
      store.read(w, ch);
      EXPECT_EQ(w.machines().size(), fleet.size());
    }
    EXPECT_LT(rounds, 20);
    for (const auto& [k, e] : store.keys)
      if (k.starts_with("st/m/")) {
        EXPECT_LE(e.value.size(), 900u);
      }
    EXPECT_TRUE(w.all_converted());
  };
  level({1, 0, 1, "t"});
  EXPECT_FALSE(w.all_converted());
  convert();
  // Pages that builds of level 0 had written did not tell.
  EXPECT_EQ(w.machine("m-320007")->rented_at, 1733000500);
  level({0, 0, 1, "t"});
  convert();
  EXPECT_EQ(w.machine("m-320007")->rented_at, 0);
}

// A watch that is too old has everything read anew: the level and the orders as they are then, what
// was there before and is not any more included.
TEST(Schema, AfterARereadTheVersionIsTheStoredOne) {
  config::Settings s = make_settings();
  state::StateCache w(s);
  std::vector<state::Change> ch;
  w.apply({schema::kOrdersKey, kOrders, 3}, ch);
  w.apply({schema::kActiveKey, kRecord, 5}, ch);
  w.apply({state::node_key("node-1"), kMember, 6}, ch);
  w.advance(6);
  EXPECT_EQ(w.schema().record.active, 1);
  EXPECT_EQ(w.schema().members[1].build, (Build{0, 1, 1}));
  w.replace(40, {{schema::kActiveKey, R"({"highest":3,"level":3,"lowest":3,"w":"x"})", 30}}, ch);
  EXPECT_EQ(w.schema().record.active, 3);
  EXPECT_EQ(w.schema().mod_revision, 30u);
  EXPECT_EQ(w.schema().orders, schema::Orders{});
  EXPECT_EQ(w.schema().orders_revision, 0u);
  EXPECT_EQ(w.node_revision(1), 0u);
  EXPECT_NE(schema::refusal(w.schema(), schema::current_build()), "");
}

// ---- rollouts

constexpr int kNodes = 3;
const Build kBuilds[] = {{0, 0, 0}, {0, 1, 1}, {0, 2, 1}, {0, 2, 2}, {1, 2, 2}};

// Processes of several builds over one state service. A process is made anew at each start, reads
// when it pleases, and decides by what it has read; what it commits may be applied late or never.
class Rollout {
 public:
  Rollout() : s_(make_settings(kNodes)), nodes_(kNodes) {
    for (int n = 0; n < kNodes; ++n) {
      start(n, 1, false);
      enroll(n, 1);
    }
  }

  // One thing happens: to which node, what, and how it goes.
  void act(std::mt19937& rng) {
    const int n = static_cast<int>(rng() % kNodes), arg = static_cast<int>(rng() % 1000);
    Node& me = nodes_[static_cast<std::size_t>(n)];
    const unsigned what = rng() % 100;
    if (what < 6) {
      me.up = false;  // its key goes when its hold does
    } else if (what < 10) {
      if (!me.up) store_.commit({{}, {{state::node_key(s_.nodes[n]), std::nullopt, 0}}});
    } else if (what < 22) {
      // Comes back with any build, an older one too, and reads what is there then.
      if (!me.up) start(n, arg % 5, arg % 10 == 0);
    } else if (what < 40) {
      read(me);
    } else if (what < 55) {
      enroll(n, arg);
    } else if (what < 75) {
      step(n, arg);
    } else if (what < 83) {
      write(n, arg);
    } else if (what < 90) {
      convert(n, arg);
    } else if (what < 93) {
      order(n, arg);
    } else {
      deliver(arg);
    }
  }
  int raises() const { return raises_; }
  // What is still on its way comes, and every node has the newest build: the level gets there.
  void finish() {
    while (!late_.empty()) deliver(0);
    legacy_wrote_ = false;
    for (int n = 0; n < kNodes; ++n) {
      store_.commit({{}, {{state::node_key(s_.nodes[n]), std::nullopt, 0}}});
      start(n, 3, false);
    }
    store_.commit({{}, {{schema::kOrdersKey, std::nullopt, 0}}});
    for (int i = 0; i < 60; ++i)
      for (int n = 0; n < kNodes; ++n) {
        read(nodes_[static_cast<std::size_t>(n)]);
        if (!store_.mod_revision(state::node_key(s_.nodes[n]))) enroll(n, 1);
        step(n, 1);
        convert(n, 1);
      }
    RC_ASSERT(record() == (VersionRecord{2, 2, 2, "t"}));
    check_pages();
  }

 private:
  struct Node {
    std::unique_ptr<state::StateCache> world;
    Build build;
    bool legacy = true;  // knows no levels: it registers and writes unguarded by them
    bool up = false;
  };

  VersionRecord record() const {
    auto it = store_.keys.find(schema::kActiveKey);
    return it == store_.keys.end() ? VersionRecord{}
                                   : schema::decode_record(event(it->second.value));
  }
  void start(int n, int build, bool legacy) {
    Node& me = nodes_[static_cast<std::size_t>(n)];
    me = {std::make_unique<state::StateCache>(s_), kBuilds[legacy ? 0 : build], legacy, true};
    read(me);
  }
  void read(Node& me) {
    if (!me.up) return;
    std::vector<state::Change> ch;
    store_.read(*me.world, ch);
  }
  bool serves(const Node& me) const {
    return me.up && (me.legacy || schema::refusal(me.world->schema(), me.build).empty());
  }

  // Applied now, lost, or applied late.
  void commit(const wire::Transaction& t, const Node& by, int arg) {
    if (arg % 4 == 0) return;
    if (arg % 4 == 3)
      late_.push_back({t, by.build, by.legacy});
    else
      apply({t, by.build, by.legacy});
  }
  void deliver(int arg) {
    if (late_.empty()) return;
    std::size_t i = static_cast<std::size_t>(arg) % late_.size();
    auto sent = late_[i];
    late_.erase(late_.begin() + static_cast<long>(i));
    apply(sent);
  }
  struct Sent {
    wire::Transaction txn;
    Build build;
    bool legacy;
  };
  void apply(const Sent& sent) {
    const VersionRecord before = record();
    auto members = store_.keys;
    if (!store_.commit(sent.txn)) return;
    const VersionRecord after = record();
    for (const auto& op : sent.txn.ops) {
      // Nobody who knows of levels writes beside state that its build cannot read, or in another
      // form than the active level's.
      if (!sent.legacy) RC_ASSERT(sent.build.reads(before.lowest, before.highest));
      if (!op.value) continue;
      if (op.key.starts_with("st/m/")) {
        if (sent.legacy)
          legacy_wrote_ = true;
        else
          RC_ASSERT(wire::decode_inventory_page(event(*op.value)).form == (before.active > 0));
      }
    }
    if (after.active > before.active) raised(after, members);
    if (after.settled() && !before.settled()) check_pages();
    if (after.active != before.active) legacy_wrote_ = false;
  }
  // At the moment of the raise every node had it: registered, with a build that can, or declared
  // gone and not there.
  void raised(const VersionRecord& to, const std::map<std::string, Store::Entry>& keys) {
    ++raises_;
    auto orders = keys.find(schema::kOrdersKey);
    schema::Orders o;
    if (orders != keys.end()) o = schema::decode_orders(event(orders->second.value));
    if (o.max_version) RC_ASSERT(to.active <= *o.max_version);
    for (const auto& name : s_.nodes) {
      auto key = keys.find(state::node_key(name));
      if (key == keys.end()) {
        RC_ASSERT(o.gone.contains(name));
        continue;
      }
      Build b = schema::decode_member(event(key->second.value));
      RC_ASSERT(b.reads(to.lowest, to.highest));
      RC_ASSERT(b.writes >= to.active);
    }
  }
  // Nothing stands in an older form, but for what a build that knows no levels has written since.
  void check_pages() const {
    if (legacy_wrote_) return;
    for (const auto& [k, e] : store_.keys)
      if (k.starts_with("st/m/"))
        RC_ASSERT(wire::decode_inventory_page(event(e.value)).form == (record().active > 0));
  }

  void enroll(int n, int arg) {
    Node& me = nodes_[static_cast<std::size_t>(n)];
    if (!serves(me)) return;
    wire::Transaction t{{}, {{state::node_key(s_.nodes[n]), R"({"boot":1})", 0}}};
    if (!me.legacy) {
      auto enrolled = schema::enroll(me.world->schema(), s_.nodes[n], 1, me.build, 0);
      RC_ASSERT(enrolled.has_value());
      t = *enrolled;
    }
    commit(t, me, arg);
  }
  void step(int n, int arg) {
    Node& me = nodes_[static_cast<std::size_t>(n)];
    if (!me.up || me.legacy) return;
    const auto& w = *me.world;
    auto out = schema::rollout_status(w.schema(), s_.nodes, me.build, w.all_converted());
    if (out.step.kind != Step::none) commit(schema::commit_of(out.step, "t"), me, arg);
  }
  void write(int n, int arg) {
    Node& me = nodes_[static_cast<std::size_t>(n)];
    if (!serves(me)) return;
    const std::string name = "m-" + std::to_string(100000 + 16 * (arg % 6));
    wire::MachineRecord m{name, "t4", "a", true, 0, 0, 1733000000.0 + arg};
    if (me.legacy) {
      const int page = state::inventory_page(name);
      const std::string key = state::inventory_key(page);
      wire::InventoryPageRecord r{"t", me.world->inventory(page), 0};
      std::erase_if(r.machines, [&](const auto& x) { return x.name == name; });
      r.machines.push_back(m);
      return commit({{{key, me.world->mod_revision(key)}}, {{key, wire::encode_record(r), 0}}}, me,
                    arg);
    }
    shard::InventoryPage page(*me.world, state::inventory_page(name));
    page.set(m);
    commit(page.changes(4096, "t"), me, arg);
  }
  void convert(int n, int arg) {
    Node& me = nodes_[static_cast<std::size_t>(n)];
    if (!serves(me) || me.legacy) return;
    for (int p : me.world->inventory_to_convert()) {
      shard::InventoryPage page(*me.world, state::inventory_base(p));
      page.convert();
      wire::Transaction t = page.changes(4096, "t");
      if (!t.ops.empty()) commit(t, me, arg);
      return;
    }
  }
  void order(int n, int arg) {
    Node& me = nodes_[static_cast<std::size_t>(n)];
    if (!serves(me) || me.legacy) return;
    schema::Order o;
    o.kind = static_cast<schema::Order::Kind>(arg % 4);
    o.version = arg % 3;
    o.node = s_.nodes[static_cast<std::size_t>(arg / 4 % kNodes)];
    const auto& v = me.world->schema();
    if (!schema::refused(v, s_.nodes, o).empty()) return;
    commit(schema::commit_of(v, schema::with(v.orders, o), "t"), me, arg);
  }

  config::Settings s_;
  Store store_;
  std::vector<Node> nodes_;
  std::vector<Sent> late_;
  bool legacy_wrote_ = false;
  int raises_ = 0;
};

RC_GTEST_PROP(Schema, RolloutsOfMixedBuildsActivateExactlyWhenAllHaveIt, (unsigned seed)) {
  std::mt19937 rng(seed);
  int raises = 0;
  for (int i = 0; i < 20; ++i) {
    Rollout r;
    for (int k = 0; k < 120; ++k) r.act(rng);
    raises += r.raises();
    r.finish();
  }
  RC_ASSERT(raises > 5);
}

}  // namespace
}  // namespace shunttrail::test
