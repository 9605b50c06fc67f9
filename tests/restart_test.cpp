// Processes that end and are started again within a fraction of a second, at every step of a start,
// once and in loops, one node's and all of them: holds, registrations, reads, ownership commits.
// What a former self has sent is applied late, perhaps after its successor has read; its hold and
// node key still stand; now and then two processes of one name run at once.
#include <gtest/gtest.h>

#include <functional>
#include <random>

#include "emulators.h"
#include "shard/leader_election.h"

namespace shunttrail::test {
namespace {

constexpr int kNodes = 3;
constexpr double kStep = 0.05, kHold = 8;

// The state service with holds.
struct Service {
  struct Hold {
    double until;
    std::set<std::string> keys;
  };
  Store store;
  std::map<std::uint64_t, Hold> holds;
  std::uint64_t next = 1;

  std::optional<std::uint64_t> commit(const wire::Transaction& t) {
    for (const auto& op : t.ops)
      if (op.lease && !holds.contains(op.lease)) return std::nullopt;
    auto revision = store.commit(t);
    if (!revision) return revision;
    for (const auto& op : t.ops) {
      for (auto& [id, h] : holds) h.keys.erase(op.key);
      if (op.lease && op.value) holds[op.lease].keys.insert(op.key);
    }
    return revision;
  }
  void tick(double now) {
    for (auto it = holds.begin(); it != holds.end();) {
      if (it->second.until > now) {
        ++it;
        continue;
      }
      wire::Transaction t;
      for (const auto& k : it->second.keys) t.ops.push_back({k, std::nullopt, 0});
      it = holds.erase(it);
      if (!t.ops.empty()) store.commit(t);
    }
  }
};

class Restarts {
 public:
  explicit Restarts(unsigned seed) : rng_(seed), base_(make_settings(kNodes)) {
    for (int n = 0; n < kNodes; ++n) start(n);
    pass(20);
  }

  // One process's life from what it is asked; all that it sends may come late, or unanswered.
  struct Process {
    int node = 0;
    config::Settings settings;
    std::unique_ptr<state::StateCache> world;
    std::unique_ptr<shard::LeaderElection> ownership;
    std::uint64_t id = 0, boot = 0, hold = 0, mine = 0, tags = 0;
    bool asked_hold = false, registering = false;
    double read_at = 0, renew_at = 0, born = 0, displaced_after = 0;
    std::vector<bool> moving;
    std::vector<std::uint64_t> acts, spent;  // by shard
    std::string tags_begin() const { return settings.node + "." + std::to_string(boot) + "."; }
  };

  void start(int node) {
    auto p = std::make_shared<Process>();
    p->node = node;
    p->settings = base_;
    p->settings.self = node;
    p->settings.node = base_.nodes[static_cast<std::size_t>(node)];
    p->world = std::make_unique<state::StateCache>(p->settings);
    p->ownership = std::make_unique<shard::LeaderElection>(p->settings);
    p->id = ++ids_;
    p->born = now_;
    p->read_at = now_ + 0.1;
    p->moving.assign(kNodes, false);
    p->acts.assign(kNodes, 0);
    p->spent.assign(kNodes, 0);
    live_.push_back(p);
  }
  void kill(int node) {
    std::erase_if(live_, [&](const auto& p) { return p->node == node; });
  }
  void restart(int node, double delay) {
    kill(node);
    std::erase_if(starts_, [&](const auto& s) { return s.second == node; });
    starts_.push_back({now_ + delay, node});
  }
  void pass(double seconds) {
    for (const double until = now_ + seconds; now_ < until; now_ += kStep) step();
  }
  double now() const { return now_; }
  std::size_t commits() const { return commits_; }
  void lose(double late, double unanswered) { late_ = late, unanswered_ = unanswered; }
  bool served(int shard) const {
    return std::any_of(live_.begin(), live_.end(), [&](const auto& p) {
      return p->acts[static_cast<std::size_t>(shard)] != 0 &&
             p->acts[static_cast<std::size_t>(shard)] ==
                 service_.store.mod_revision(state::leader_key(shard));
    });
  }
  bool all_served() const {
    for (int k = 0; k < kNodes; ++k)
      if (!served(k)) return false;
    return true;
  }
  // Nothing of former selves is left: a hold a process, and every node key hangs on the hold of the
  // one that runs.
  void expect_clean() const {
    EXPECT_EQ(service_.holds.size(), live_.size());
    for (const auto& p : live_) {
      auto h = service_.holds.find(p->hold);
      ASSERT_NE(h, service_.holds.end());
      EXPECT_TRUE(h->second.keys.contains(state::node_key(p->settings.node)));
    }
  }
  bool chance(double p) { return std::uniform_real_distribution<>(0, 1)(rng_) < p; }
  unsigned draw(unsigned n) { return static_cast<unsigned>(rng_() % n); }

 private:
  using ProcessPtr = std::shared_ptr<Process>;
  struct Sent {
    double at;
    std::function<void()> arrive;
  };
  bool alive(const ProcessPtr& p) const {
    return std::find(live_.begin(), live_.end(), p) != live_.end();
  }
  // To the state service and back; the answer may be lost, and what was sent may arrive long after.
  void send(std::function<void()> arrive) {
    const double delay = chance(late_) ? 0.2 + draw(200) / 10.0 : 0.01;
    sent_.push_back({now_ + delay, std::move(arrive)});
  }
  void commit(const ProcessPtr& p, wire::Transaction t,
              std::function<void(std::optional<std::uint64_t>)> done) {
    ++commits_;
    send([this, p, t = std::move(t), done = std::move(done)] {
      auto revision = service_.commit(t);
      if (!alive(p)) return;
      // No answer: its fate is read before anything is decided.
      done(chance(unanswered_) ? std::nullopt : revision);
    });
  }
  void read(Process& p) {
    std::vector<state::Change> ch;
    service_.store.read(*p.world, ch);
    p.ownership->observe(*p.world, now_);
  }

  void step() {
    service_.tick(now_);
    for (std::size_t i = 0; i < starts_.size();)
      if (starts_[i].first <= now_) {
        const int node = starts_[i].second;
        starts_.erase(starts_.begin() + static_cast<long>(i));
        start(node);
      } else {
        ++i;
      }
    std::vector<Sent> due;
    std::erase_if(sent_, [&](Sent& s) {
      if (s.at > now_) return false;
      due.push_back(std::move(s));
      return true;
    });
    for (auto& s : due) s.arrive();
    for (const auto& p : std::vector<ProcessPtr>(live_)) run(p);
  }

  // As Membership and ShardController do it.
  void run(const ProcessPtr& p) {
    if (now_ < p->read_at) return;
    read(*p);
    p->read_at = now_ + (chance(0.5) ? kStep : 3 * kStep);
    if (!p->hold) {
      if (!p->asked_hold) ask_hold(p);
      return;
    }
    const std::uint64_t stands = p->world->node_revision(p->node);
    if (!p->registering && (!p->mine || stands != p->mine) &&
        (!stands || now_ >= p->displaced_after)) {
      p->displaced_after = now_ + 1;
      enroll(p);
    }
    if (now_ >= p->renew_at) {
      p->renew_at = now_ + kHold / 4;
      send([this, p] {
        auto h = service_.holds.find(p->hold);
        if (h != service_.holds.end())
          h->second.until = now_ + kHold;
        else
          p->hold = 0, p->asked_hold = false;
      });
    }
    for (int k = 0; k < kNodes; ++k) decide(p, k);
  }
  void ask_hold(const ProcessPtr& p) {
    p->asked_hold = true;
    send([this, p] {
      const std::uint64_t id = service_.next++;
      service_.holds[id] = {now_ + kHold, {}};
      if (!alive(p)) return;
      p->hold = id;
      if (!p->boot) p->boot = id;
      p->renew_at = now_ + kHold / 4;
    });
  }
  void enroll(const ProcessPtr& p) {
    auto t = schema::enroll(p->world->schema(), p->settings.node, p->boot, schema::current_build(),
                            p->hold);
    if (!t) return;
    p->registering = true;
    commit(p, *t, [this, p](std::optional<std::uint64_t> revision) {
      p->registering = false;
      if (!revision) return;
      p->mine = *revision;
      p->ownership->registered(*revision, p->tags_begin());
    });
  }
  void decide(const ProcessPtr& p, int shard) {
    const auto k = static_cast<std::size_t>(shard);
    if (p->acts[k] && p->world->leader(shard).mod_revision != p->acts[k]) {
      p->spent[k] = p->acts[k];
      p->acts[k] = 0;
    }
    if (p->moving[k]) return;
    shard::LeadershipMove m = p->ownership->decide(*p->world, shard, now_, p->spent[k]);
    if (m.kind == shard::LeadershipMove::none) return;
    if (m.kind == shard::LeadershipMove::lead) {
      p->acts[k] = m.token;
      // The rule: a token belongs to one process, for good. Its attempts are numbered by it.
      auto [it, fresh] = acted_.try_emplace({shard, m.token}, p->id);
      EXPECT_EQ(it->second, p->id)
          << "two processes act for shard " << shard << " under " << m.token << " at " << now_;
      return;
    }
    if (m.kind == shard::LeadershipMove::hand_over) {
      p->spent[k] = p->acts[k];
      p->acts[k] = 0;
    }
    const int to = m.kind == shard::LeadershipMove::take ? p->node : m.to;
    wire::Transaction t;
    t.preconditions = m.preconditions;
    t.ops.push_back(
        {state::leader_key(shard),
         wire::encode_record(wire::LeaderRecord{base_.nodes[static_cast<std::size_t>(to)],
                                                p->tags_begin() + "a" + std::to_string(++p->tags)}),
         0});
    p->moving[k] = true;
    commit(p, std::move(t), [this, p, k](std::optional<std::uint64_t>) {
      p->moving[k] = false;
      read(*p);
    });
  }

  std::mt19937 rng_;
  config::Settings base_;
  Service service_;
  std::vector<ProcessPtr> live_;
  std::vector<std::pair<double, int>> starts_;
  std::vector<Sent> sent_;
  std::map<std::pair<int, std::uint64_t>, std::uint64_t> acted_;  // shard, token: process
  double now_ = 0, late_ = 0, unanswered_ = 0;
  std::uint64_t ids_ = 0;
  std::size_t commits_ = 0;
};

// The operators' letter: a process that ends may be started again within a fraction of a second.
TEST(Restarts, OnceTwiceAndInLoopsNoTokenIsSharedAndServiceComesBack) {
  for (unsigned seed = 1; seed <= 60; ++seed) {
    SCOPED_TRACE(seed);
    Restarts r(seed);
    ASSERT_TRUE(r.all_served());
    r.lose(0.15, 0.1);
    const bool all = seed % 2, twins = seed % 5 == 0;
    for (int i = 0; i < 20; ++i) {
      const double delay = 0.05 + r.draw(20) * 0.05;
      for (int n = 0; n < kNodes; ++n)
        if (all || n == static_cast<int>(seed % kNodes)) r.restart(n, delay);
      // Killed at any step of the start that follows.
      r.pass(0.05 * (1 + r.draw(40)));
      if (twins && i % 7 == 3) r.start(static_cast<int>(r.draw(kNodes)));
    }
    r.lose(0, 0);
    for (int n = 0; n < kNodes; ++n) r.restart(n, 0.2);
    r.pass(20);
    EXPECT_TRUE(r.all_served());
    r.pass(kHold + 30);  // late ones have come, holds of former selves have ended
    r.expect_clean();
    EXPECT_TRUE(r.all_served());
  }
}

// A quick restart serves within a second of its start, with its former self's key still there; and
// never later than one after six seconds.
TEST(Restarts, AQuickRestartServesAtOnce) {
  std::map<double, double> back;  // seconds from the end until all shards are served
  for (double delay : {0.05, 0.2, 1.0, 6.0}) {
    Restarts r(7);
    const double at = r.now();
    for (int n = 0; n < kNodes; ++n) r.restart(n, delay);
    r.pass(delay);
    while (!r.all_served() && r.now() < at + 30) r.pass(kStep);
    back[delay] = r.now() - at;
  }
  EXPECT_LT(back[0.05], 1.05);
  EXPECT_LT(back[0.2], 1.2);
  EXPECT_LT(back[1.0], 2.0);
  for (double delay : {0.05, 0.2, 1.0}) EXPECT_LE(back[delay], back[6.0]);
}

// What a crash loop of one node costs: commits in proportion to its starts, and the others' shards
// stay where they are.
TEST(Restarts, ACrashLoopOfOneNodeIsBounded) {
  Restarts r(3);
  const std::size_t before = r.commits();
  constexpr int kLoops = 20;
  for (int i = 0; i < kLoops; ++i) {
    r.restart(1, 0.2);
    r.pass(1.3);
    EXPECT_TRUE(r.served(0));
    EXPECT_TRUE(r.served(2));
  }
  // A registration and its shard, each start; nobody else moves anything.
  EXPECT_LE(r.commits() - before, 3u * kLoops);
}

}  // namespace
}  // namespace shunttrail::test
