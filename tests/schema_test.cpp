// Schema versions: the stored records, what prevents a raise, and random rollouts in which builds
// of several versions run side by side, die, return with an older build, and commit late.
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

// ---- stored formats, at every version

const std::string kRecord = R"({"highest":1,"level":1,"lowest":0,"w":"railhead-0.9.l1"})";
const std::string kOrders = R"({"gone":["railhead-2"],"most":1,"w":"railhead-0.9.l2"})";
const std::string kMember = R"({"boot":9,"levels":[0,1,1]})";
const std::string kInventoryPageOf0 =
    R"({"m":{"m-000007":["g8","b",0,0,0],"m-000231":["g8","a",1,2,431],"m-000232":["g8","a",1,2,431]},"w":"railhead-1.9.2"})";
const std::string kInventoryPageOf1 =
    R"({"m":{"m-000007":["g8","b",0,0,0],"m-000231":["g8","a",1,2,431],"m-000232":["g8","a",1,2,431]},"t":[1733000000,[35,null,0]],"w":"railhead-1.9.2"})";

TEST(Schema, StoredFormatsMatchTheRecordedValues) {
  VersionRecord record = schema::decode_record(event(kRecord));
  EXPECT_EQ(record, (VersionRecord{1, 0, 1, "railhead-0.9.l1"}));
  EXPECT_EQ(schema::encode(record), kRecord);
  auto orders = schema::decode_orders(event(kOrders));
  EXPECT_EQ(orders, (schema::Orders{1, {"railhead-2"}, "railhead-0.9.l2"}));
  EXPECT_EQ(schema::encode(orders), kOrders);
  EXPECT_EQ(schema::decode_member(event(kMember)), (Build{0, 1, 1}));
  EXPECT_EQ(schema::encode_member(9, {0, 1, 1}), kMember);
  for (const auto& text : {kInventoryPageOf0, kInventoryPageOf1}) {
    auto page = wire::decode_inventory_page(event(text));
    EXPECT_EQ(page.form, text == kInventoryPageOf1);
    EXPECT_EQ(page.machines[0].rented_at, page.form ? 1733000035 : 0);
    EXPECT_EQ(page.machines[1].rented_at, 0);
    EXPECT_EQ(wire::encode_record(page), text);
  }
}

// Builds of version 0 that return during a rollout ignore the new field, and drop it when they
// write.
TEST(Schema, ABuildOfVersion0ReadsANewPageAsItsOwnFormat) {
  std::string as_read_by_version_0 = kInventoryPageOf1;
  const std::string added_field = R"("t":[1733000000,[35,null,0]],)";
  as_read_by_version_0.erase(as_read_by_version_0.find(added_field), added_field.size());
  EXPECT_EQ(as_read_by_version_0, kInventoryPageOf0);
  // Such a build registers without versions; it reads only whether node keys exist.
  EXPECT_EQ(schema::decode_member(event(R"({"boot":9})")), Build{});
  EXPECT_EQ(schema::decode_member(event(R"({"boot":9,"levels":[1]})")), Build{});
  EXPECT_EQ(schema::decode_member(event(R"({"boot":9,"levels":[2,1,1]})")), Build{});
}

TEST(Schema, ARecordThatCannotBeReadStopsTheNodeAndSaysWhy) {
  config::Settings settings = make_settings();
  const std::vector<std::pair<std::string, std::string>> bad = {
      {R"({"highest":1,"level":1,"lowest":0,"w":"x","more":1})", "more is not a known field"},
      {R"({"highest":1,"level":1,"w":"x"})", "lowest is missing"},
      {R"({"highest":1,"level":2,"lowest":0,"w":"x"})", "level is 2, outside 0 to 1"},
      {R"({"highest":1,"level":"1","lowest":0,"w":"x"})", "level is not a count"},
      {R"([])", "not an object"},
  };
  for (const auto& [text, why] : bad) {
    state::StateCache cache(settings);
    std::vector<state::Change> changes;
    cache.apply({schema::kActiveKey, text, 5}, changes);
    EXPECT_EQ(schema::serving_refusal(cache.schema(), schema::current_build()),
              "the level record cannot be read: " + why);
    ASSERT_EQ(changes.size(), 1u);
    auto status =
        schema::rollout_status(cache.schema(), settings.nodes, schema::current_build(), true);
    EXPECT_EQ(status.step.kind, Step::none);
    EXPECT_EQ(status.blocked_by.at(0).by, "record");
    cache.apply({schema::kActiveKey, std::nullopt, 6}, changes);
    EXPECT_EQ(schema::serving_refusal(cache.schema(), schema::current_build()), "");
  }
  StoredView view;
  view.record = {1, 0, 1, "x"};
  EXPECT_EQ(schema::serving_refusal(view, {0, 0, 0}),
            "stored data has level 0 to 1, this build reads only level 0");
  EXPECT_EQ(schema::serving_refusal(view, {1, 2, 2}),
            "stored data has level 0 to 1, this build reads only level 1 to 2");
  EXPECT_EQ(schema::serving_refusal(view, {0, 1, 1}), "");
}

// ---- what prevents a raise

struct ThreeNodes {
  std::vector<std::string> names = {"a", "b", "c"};
  StoredView view;
  ThreeNodes() {
    view.members.resize(3);
    for (std::size_t n = 0; n < 3; ++n) view.members[n] = {10 + n, {0, 1, 1}};
  }
  schema::RolloutStatus status(bool converted = true, Build own = {0, 1, 1}) const {
    return schema::rollout_status(view, names, own, converted);
  }
  std::string blockers() const {
    std::string all;
    for (const auto& blocker : status().blocked_by) all += blocker.by + " " + blocker.reason + "; ";
    return all;
  }
};

TEST(Schema, AnUpgradeNeedsEveryNodeAndItsPreconditionsNameThemAll) {
  ThreeNodes nodes;
  auto step = nodes.status().step;
  ASSERT_EQ(step.kind, Step::raise);
  EXPECT_EQ(step.record, (VersionRecord{1, 0, 1, ""}));
  std::vector<std::pair<std::string, std::uint64_t>> preconditions = {
      {"st/n/a", 10}, {"st/n/b", 11}, {"st/n/c", 12}, {"st/l/active", 0}, {"st/l/orders", 0}};
  EXPECT_EQ(step.preconditions, preconditions);
  nodes.view.members[1].build = {};
  EXPECT_EQ(nodes.blockers(), "b cannot read level 1; ");
  nodes.view.members[1].build = {0, 1, 0};
  EXPECT_EQ(nodes.blockers(), "b does not write level 1 yet; ");
  nodes.view.members[1].mod_revision = 0;
  EXPECT_EQ(nodes.blockers(), "b is not registered; ");
  EXPECT_EQ(nodes.status().step.kind, Step::none);
  EXPECT_TRUE(nodes.status().step.preconditions.empty());
  // An excluded node is not waited for; if it registers in between, the precondition fails.
  nodes.view.orders.excluded_nodes = {"b"};
  step = nodes.status().step;
  ASSERT_EQ(step.kind, Step::raise);
  EXPECT_EQ(step.preconditions[1], (std::pair<std::string, std::uint64_t>{"st/n/b", 0}));
  // A node that is excluded but alive, with a build that lacks the version, still counts.
  nodes.view.members[1] = {15, {}};
  EXPECT_EQ(nodes.blockers(), "b cannot read level 1; ");
  nodes.view.members[1].build = {0, 1, 1};
  nodes.view.orders.max_version = 0;
  EXPECT_EQ(nodes.blockers(), "orders hold level 0; ");
  nodes.view.orders_unreadable = true;
  EXPECT_EQ(nodes.blockers(), "orders cannot be read; ");
}

TEST(Schema, VersionsAreRaisedAndLoweredOneAtATime) {
  ThreeNodes nodes;
  nodes.view.record = {1, 0, 1, "x"};
  nodes.view.mod_revision = 40;
  for (auto& m : nodes.view.members) m.build = {0, 2, 2};
  EXPECT_EQ(nodes.status(false, {0, 2, 2}).blocked_by.at(0).by, "conversion");
  auto step = nodes.status(true, {0, 2, 2}).step;
  ASSERT_EQ(step.kind, Step::settle);
  EXPECT_EQ(step.record, (VersionRecord{1, 1, 1, ""}));
  nodes.view.record = step.record;
  step = nodes.status(true, {0, 2, 2}).step;
  ASSERT_EQ(step.kind, Step::raise);
  EXPECT_EQ(step.record, (VersionRecord{2, 1, 2, ""}));
  nodes.view.orders.max_version = 0;
  step = nodes.status(true, {0, 2, 2}).step;
  ASSERT_EQ(step.kind, Step::lower);
  EXPECT_EQ(step.record, (VersionRecord{0, 0, 1, ""}));
  // A node whose build no longer reads the older format prevents the lowering.
  nodes.view.members[2].build = {1, 2, 2};
  auto status = nodes.status(true, {0, 2, 2});
  EXPECT_EQ(status.step.kind, Step::none);
  EXPECT_EQ(status.blocked_by.at(0), (schema::Blocker{"c", "cannot read level 0"}));
  // A build cannot lower a version that it does not know.
  nodes.view.record = {3, 3, 3, "x"};
  EXPECT_EQ(nodes.status(true, {0, 3, 3}).blocked_by.at(0).by, "orders");
}

TEST(Schema, OrdersAreValidatedAndIdempotent) {
  ThreeNodes nodes;
  auto refused = [&](const std::string& body) {
    try {
      return schema::order_refusal(nodes.view, nodes.names, schema::decode_order(body));
    } catch (const wire::Malformed& error) {
      return std::string(error.what());
    }
  };
  EXPECT_EQ(refused(R"({"hold":0})"), "");
  EXPECT_EQ(refused(R"({"hold":null})"), "");
  EXPECT_EQ(refused(R"({"hold":-1})"), "hold is not a count");
  EXPECT_EQ(refused(R"({"hold":1,"gone":"a"})"), "give one of hold, gone, here");
  EXPECT_EQ(refused(R"({"level":1})"), "level is not a known field");
  EXPECT_EQ(refused(R"({"gone":"d"})"), "gone: d is not a node of this cluster");
  EXPECT_EQ(refused(R"({"gone":"a"})"), "gone: a is alive");
  nodes.view.members[0].mod_revision = 0;
  EXPECT_EQ(refused(R"({"gone":"a"})"), "");
  nodes.view.record = {2, 2, 2, "x"};
  EXPECT_EQ(refused(R"({"hold":1})"), "");
  nodes.view.record = {3, 3, 3, "x"};
  EXPECT_EQ(refused(R"({"hold":1})"), "hold: level 3 is active and cannot be lowered");
  for (const auto& body :
       {R"({"hold":1})", R"({"hold":null})", R"({"gone":"a"})", R"({"here":"a"})"}) {
    schema::Order order = schema::decode_order(body);
    EXPECT_EQ(schema::encode(order), body);
    auto once = schema::apply_order(nodes.view.orders, order);
    EXPECT_EQ(schema::apply_order(once, order), once);
  }
}

// ---- conversion

// The size limits have fallen since the page was written, so the conversion splits it. Every
// machine is recorded exactly once at all times. The page is also converted back.
TEST(Schema, ConversionSplitsOverlongPagesAndIsReversible) {
  config::Settings settings = make_settings();
  Store store;
  state::StateCache cache(settings);
  std::vector<state::Change> changes;
  std::vector<wire::MachineRecord> fleet;
  for (int i = 0; i < 64; ++i)
    fleet.push_back({"m-" + std::to_string(320000 + i), "a-type-with-a-name", "zone-with-a-name",
                     true, 0, 123456, 1733000000.0 + i});
  store.commit(inventory_transaction(cache, fleet));
  auto level = [&](const VersionRecord& record) {
    store.commit({{}, {{schema::kActiveKey, schema::encode(record), 0}}});
    store.read(cache, changes);
  };
  auto convert = [&] {
    int rounds = 0;
    for (; !cache.inventory_to_convert().empty() && rounds < 20; ++rounds) {
      EXPECT_LT(cache.converted(), 1);
      shard::InventoryPage page(
          cache, state::page_of_inventory_part(*cache.inventory_to_convert().begin()));
      page.convert();
      page.fill_rental_times([](const std::string&) { return 1733000500.0; });
      wire::Transaction txn = page.changes(900, "t");
      ASSERT_TRUE(store.commit(txn));
      // A repeated or late copy fails by its preconditions.
      EXPECT_FALSE(store.commit(txn));
      store.read(cache, changes);
      EXPECT_EQ(cache.machines().size(), fleet.size());
    }
    EXPECT_LT(rounds, 20);
    for (const auto& [key, entry] : store.keys)
      if (key.starts_with("st/m/")) {
        EXPECT_LE(entry.value.size(), 900u);
      }
    EXPECT_TRUE(cache.all_converted());
  };
  level({1, 0, 1, "t"});
  EXPECT_FALSE(cache.all_converted());
  convert();
  // Pages written by builds of version 0 had no rental times.
  EXPECT_EQ(cache.machine("m-320007")->rented_at, 1733000500);
  level({0, 0, 1, "t"});
  convert();
  EXPECT_EQ(cache.machine("m-320007")->rented_at, 0);
}

// If a watch is too old, all keys are read again: the cache then holds the version and the orders
// as stored, and drops those that were deleted in the meantime.
TEST(Schema, AFullReadReplacesTheKnownVersionAndOrders) {
  config::Settings settings = make_settings();
  state::StateCache cache(settings);
  std::vector<state::Change> changes;
  cache.apply({schema::kOrdersKey, kOrders, 3}, changes);
  cache.apply({schema::kActiveKey, kRecord, 5}, changes);
  cache.apply({state::node_key("node-1"), kMember, 6}, changes);
  cache.advance(6);
  EXPECT_EQ(cache.schema().record.active, 1);
  EXPECT_EQ(cache.schema().members[1].build, (Build{0, 1, 1}));
  cache.replace(
      40, {{schema::kActiveKey, std::string(R"({"highest":3,"level":3,"lowest":3,"w":"x"})"), 30}},
      changes);
  EXPECT_EQ(cache.schema().record.active, 3);
  EXPECT_EQ(cache.schema().mod_revision, 30u);
  EXPECT_EQ(cache.schema().orders, schema::Orders{});
  EXPECT_EQ(cache.schema().orders_revision, 0u);
  EXPECT_EQ(cache.node_revision(1), 0u);
  EXPECT_NE(schema::serving_refusal(cache.schema(), schema::current_build()), "");
}

// ---- rollouts

constexpr int kNodes = 3;
const Build kBuilds[] = {{0, 0, 0}, {0, 1, 1}, {0, 2, 1}, {0, 2, 2}, {1, 2, 2}};

// Processes of several builds over one state service. Each start creates a new process. It reads at
// random times and decides by what it has read; its commits may be applied late or never.
class Rollout {
 public:
  Rollout() : s_(make_settings(kNodes)), nodes_(kNodes) {
    for (int n = 0; n < kNodes; ++n) {
      start(n, 1, false);
      enroll(n, 1);
    }
  }

  // Applies one random action to one random node.
  void act(std::mt19937& rng) {
    const int n = static_cast<int>(rng() % kNodes), draw = static_cast<int>(rng() % 1000);
    Node& me = nodes_[static_cast<std::size_t>(n)];
    const unsigned action = rng() % 100;
    if (action < 6) {
      me.up = false;  // its key is deleted when its lease ends
    } else if (action < 10) {
      if (!me.up) store_.commit({{}, {{state::node_key(s_.nodes[n]), std::nullopt, 0}}});
    } else if (action < 22) {
      // Starts again with any build, older ones included, and reads the current state.
      if (!me.up) start(n, draw % 5, draw % 10 == 0);
    } else if (action < 40) {
      read(me);
    } else if (action < 55) {
      enroll(n, draw);
    } else if (action < 75) {
      step(n, draw);
    } else if (action < 83) {
      write(n, draw);
    } else if (action < 90) {
      convert(n, draw);
    } else if (action < 93) {
      order(n, draw);
    } else {
      deliver(draw);
    }
  }
  int raises() const { return raises_; }
  // Delivers all delayed commits and gives every node the newest build: the newest version must
  // become active.
  void finish() {
    while (!delayed_.empty()) deliver(0);
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
    std::unique_ptr<state::StateCache> cache;
    Build build;
    bool legacy = true;  // knows no versions: it registers and writes without version preconditions
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
    std::vector<state::Change> changes;
    store_.read(*me.cache, changes);
  }
  bool serves(const Node& me) const {
    return me.up && (me.legacy || schema::serving_refusal(me.cache->schema(), me.build).empty());
  }

  // The commit is applied now, lost, or delayed.
  void commit(const wire::Transaction& txn, const Node& by, int draw) {
    if (draw % 4 == 0) return;
    if (draw % 4 == 3)
      delayed_.push_back({txn, by.build, by.legacy});
    else
      apply({txn, by.build, by.legacy});
  }
  void deliver(int draw) {
    if (delayed_.empty()) return;
    std::size_t i = static_cast<std::size_t>(draw) % delayed_.size();
    auto commit_sent = delayed_[i];
    delayed_.erase(delayed_.begin() + static_cast<long>(i));
    apply(commit_sent);
  }
  struct Sent {
    wire::Transaction txn;
    Build build;
    bool legacy;
  };
  void apply(const Sent& commit_sent) {
    const VersionRecord before = record();
    auto members = store_.keys;
    if (!store_.commit(commit_sent.txn)) return;
    const VersionRecord after = record();
    for (const auto& op : commit_sent.txn.ops) {
      // A build that knows versions never writes beside state that it cannot read, or in another
      // format than the active version's.
      if (!commit_sent.legacy) RC_ASSERT(commit_sent.build.reads(before.lowest, before.highest));
      if (!op.value) continue;
      if (op.key.starts_with("st/m/")) {
        if (commit_sent.legacy)
          legacy_wrote_ = true;
        else
          RC_ASSERT(wire::decode_inventory_page(event(*op.value)).form == (before.active > 0));
      }
    }
    if (after.active > before.active) check_raise(after, members);
    if (after.settled() && !before.settled()) check_pages();
    if (after.active != before.active) legacy_wrote_ = false;
  }
  // At the time of a raise, every node was registered with a build that supports the version, or
  // was excluded and absent.
  void check_raise(const VersionRecord& to, const std::map<std::string, Store::Entry>& keys) {
    ++raises_;
    auto orders_entry = keys.find(schema::kOrdersKey);
    schema::Orders orders;
    if (orders_entry != keys.end())
      orders = schema::decode_orders(event(orders_entry->second.value));
    if (orders.max_version) RC_ASSERT(to.active <= *orders.max_version);
    for (const auto& name : s_.nodes) {
      auto key = keys.find(state::node_key(name));
      if (key == keys.end()) {
        RC_ASSERT(orders.excluded_nodes.contains(name));
        continue;
      }
      Build build = schema::decode_member(event(key->second.value));
      RC_ASSERT(build.reads(to.lowest, to.highest));
      RC_ASSERT(build.writes >= to.active);
    }
  }
  // All pages have the active version's format, unless a build without versions has written since.
  void check_pages() const {
    if (legacy_wrote_) return;
    for (const auto& [key, entry] : store_.keys)
      if (key.starts_with("st/m/"))
        RC_ASSERT(wire::decode_inventory_page(event(entry.value)).form == (record().active > 0));
  }

  void enroll(int n, int draw) {
    Node& me = nodes_[static_cast<std::size_t>(n)];
    if (!serves(me)) return;
    wire::Transaction txn{{}, {{state::node_key(s_.nodes[n]), R"({"boot":1})", 0}}};
    if (!me.legacy) {
      auto enrolled = schema::enroll(me.cache->schema(), s_.nodes[n], 1, me.build, 0);
      RC_ASSERT(enrolled.has_value());
      txn = *enrolled;
    }
    commit(txn, me, draw);
  }
  void step(int n, int draw) {
    Node& me = nodes_[static_cast<std::size_t>(n)];
    if (!me.up || me.legacy) return;
    const auto& cache = *me.cache;
    auto out = schema::rollout_status(cache.schema(), s_.nodes, me.build, cache.all_converted());
    if (out.step.kind != Step::none) commit(schema::commit_of(out.step, "t"), me, draw);
  }
  void write(int n, int draw) {
    Node& me = nodes_[static_cast<std::size_t>(n)];
    if (!serves(me)) return;
    const std::string name = "m-" + std::to_string(100000 + 16 * (draw % 6));
    wire::MachineRecord machine{name, "t4", "a", true, 0, 0, 1733000000.0 + draw};
    if (me.legacy) {
      const int page = state::inventory_page(name);
      const std::string key = state::inventory_key(page);
      wire::InventoryPageRecord page_record{"t", me.cache->inventory(page), 0};
      std::erase_if(page_record.machines, [&](const auto& other) { return other.name == name; });
      page_record.machines.push_back(machine);
      return commit(
          {{{key, me.cache->mod_revision(key)}}, {{key, wire::encode_record(page_record), 0}}}, me,
          draw);
    }
    shard::InventoryPage page(*me.cache, state::inventory_page(name));
    page.set(machine);
    commit(page.changes(4096, "t"), me, draw);
  }
  void convert(int n, int draw) {
    Node& me = nodes_[static_cast<std::size_t>(n)];
    if (!serves(me) || me.legacy) return;
    for (int p : me.cache->inventory_to_convert()) {
      shard::InventoryPage page(*me.cache, state::page_of_inventory_part(p));
      page.convert();
      wire::Transaction txn = page.changes(4096, "t");
      if (!txn.ops.empty()) commit(txn, me, draw);
      return;
    }
  }
  void order(int n, int draw) {
    Node& me = nodes_[static_cast<std::size_t>(n)];
    if (!serves(me) || me.legacy) return;
    schema::Order order;
    order.kind = static_cast<schema::Order::Kind>(draw % 4);
    order.version = draw % 3;
    order.node = s_.nodes[static_cast<std::size_t>(draw / 4 % kNodes)];
    const auto& view = me.cache->schema();
    if (!schema::order_refusal(view, s_.nodes, order).empty()) return;
    commit(schema::commit_of(view, schema::apply_order(view.orders, order), "t"), me, draw);
  }

  config::Settings s_;
  Store store_;
  std::vector<Node> nodes_;
  std::vector<Sent> delayed_;
  bool legacy_wrote_ = false;
  int raises_ = 0;
};

RC_GTEST_PROP(Schema, AVersionIsActivatedExactlyWhenAllNodesSupportIt, (unsigned seed)) {
  std::mt19937 rng(seed);
  int raises = 0;
  for (int i = 0; i < 20; ++i) {
    Rollout rollout;
    for (int step = 0; step < 120; ++step) rollout.act(rng);
    raises += rollout.raises();
    rollout.finish();
  }
  RC_ASSERT(raises > 5);
}

}  // namespace
}  // namespace shunttrail::test
