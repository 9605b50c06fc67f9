// Controller processes that end and are restarted within a fraction of a second: at every step of a
// start (lease request, registration, read, leadership commit), once and repeatedly, on one node
// and on all. Requests of an ended process may be applied late, even after its successor has read
// the state; its lease and node key still exist when the successor starts. Occasionally two
// processes of the same node run at once.
#include <gtest/gtest.h>

#include <functional>
#include <random>

#include "emulators.h"
#include "shard/leader_election.h"

namespace shunttrail::test {
namespace {

constexpr int kNodes = 3;
constexpr double kStepS = 0.05, kLeaseS = 8;

// The state service with leases: a lease that expires deletes the keys attached to it.
struct LeasedStateService {
  struct Lease {
    double expires_at;
    std::set<std::string> keys;
  };
  Store store;
  std::map<std::uint64_t, Lease> leases;
  std::uint64_t next_lease_id = 1;

  std::optional<std::uint64_t> commit(const wire::Transaction& transaction) {
    for (const auto& op : transaction.ops)
      if (op.lease && !leases.contains(op.lease)) return std::nullopt;
    auto revision = store.commit(transaction);
    if (!revision) return revision;
    for (const auto& op : transaction.ops) {
      for (auto& [id, lease] : leases) lease.keys.erase(op.key);
      if (op.lease && op.value) leases[op.lease].keys.insert(op.key);
    }
    return revision;
  }
  void tick(double now) {
    for (auto it = leases.begin(); it != leases.end();) {
      if (it->second.expires_at > now) {
        ++it;
        continue;
      }
      wire::Transaction transaction;
      for (const auto& key : it->second.keys) transaction.ops.push_back({key, std::nullopt, 0});
      it = leases.erase(it);
      if (!transaction.ops.empty()) store.commit(transaction);
    }
  }
};

class RestartSimulation {
 public:
  explicit RestartSimulation(unsigned seed) : rng_(seed), settings_(make_settings(kNodes)) {
    for (int node = 0; node < kNodes; ++node) start(node);
    advance(20);
  }

  // One controller process. Its requests may arrive late, and responses to its commits may be lost.
  struct Process {
    int node = 0;
    config::Settings settings;
    std::unique_ptr<state::StateCache> cache;
    std::unique_ptr<shard::LeaderElection> election;
    std::uint64_t number = 0, process_id = 0, lease_id = 0, registered_revision = 0, tag_count = 0;
    bool is_lease_requested = false, is_registering = false;
    double next_read_at = 0, next_renewal_at = 0, started_at = 0, may_overwrite_at = 0;
    std::vector<bool> is_move_in_flight;
    std::vector<std::uint64_t> acting_tokens, closed_tokens;  // by shard; 0: none
    std::string tag_prefix() const {
      return settings.node + "." + std::to_string(process_id) + ".";
    }
  };

  void start(int node) {
    auto process = std::make_shared<Process>();
    process->node = node;
    process->settings = settings_;
    process->settings.self = node;
    process->settings.node = settings_.nodes[static_cast<std::size_t>(node)];
    process->cache = std::make_unique<state::StateCache>(process->settings);
    process->election = std::make_unique<shard::LeaderElection>(process->settings);
    process->number = ++process_count_;
    process->started_at = now_;
    process->next_read_at = now_ + 0.1;
    process->is_move_in_flight.assign(kNodes, false);
    process->acting_tokens.assign(kNodes, 0);
    process->closed_tokens.assign(kNodes, 0);
    running_.push_back(process);
  }
  void kill(int node) {
    std::erase_if(running_, [&](const auto& process) { return process->node == node; });
  }
  void restart(int node, double delay) {
    kill(node);
    std::erase_if(scheduled_starts_,
                  [&](const auto& scheduled) { return scheduled.second == node; });
    scheduled_starts_.push_back({now_ + delay, node});
  }
  void advance(double seconds) {
    for (const double until = now_ + seconds; now_ < until; now_ += kStepS) step();
  }
  double now() const { return now_; }
  std::size_t commit_count() const { return commit_count_; }
  void set_fault_probabilities(double late, double lost_response) {
    late_probability_ = late, lost_response_probability_ = lost_response;
  }
  bool is_led(int shard) const {
    return std::any_of(running_.begin(), running_.end(), [&](const auto& process) {
      return process->acting_tokens[static_cast<std::size_t>(shard)] != 0 &&
             process->acting_tokens[static_cast<std::size_t>(shard)] ==
                 service_.store.mod_revision(state::leader_key(shard));
    });
  }
  bool all_shards_led() const {
    for (int shard = 0; shard < kNodes; ++shard)
      if (!is_led(shard)) return false;
    return true;
  }
  // Checks that nothing of ended processes remains: there is one lease for each running process,
  // and every node key is attached to the lease of the node's running process.
  void expect_only_state_of_running_processes() const {
    EXPECT_EQ(service_.leases.size(), running_.size());
    for (const auto& process : running_) {
      auto lease = service_.leases.find(process->lease_id);
      ASSERT_NE(lease, service_.leases.end());
      EXPECT_TRUE(lease->second.keys.contains(state::node_key(process->settings.node)));
    }
  }
  bool chance(double probability) {
    return std::uniform_real_distribution<>(0, 1)(rng_) < probability;
  }
  unsigned draw_below(unsigned limit) { return static_cast<unsigned>(rng_() % limit); }

 private:
  using ProcessPtr = std::shared_ptr<Process>;
  struct Message {
    double deliver_at;
    std::function<void()> deliver;
  };
  bool is_running(const ProcessPtr& process) const {
    return std::find(running_.begin(), running_.end(), process) != running_.end();
  }
  // Sends a request to the state service. It may arrive long after it was sent.
  void send(std::function<void()> deliver) {
    const double delay = chance(late_probability_) ? 0.2 + draw_below(200) / 10.0 : 0.01;
    messages_.push_back({now_ + delay, std::move(deliver)});
  }
  void commit(const ProcessPtr& process, wire::Transaction transaction,
              std::function<void(std::optional<std::uint64_t>)> done) {
    ++commit_count_;
    send([this, process, transaction = std::move(transaction), done = std::move(done)] {
      auto revision = service_.commit(transaction);
      if (!is_running(process)) return;
      // A lost response: the process reads the state before it decides anything.
      done(chance(lost_response_probability_) ? std::nullopt : revision);
    });
  }
  void read(Process& process) {
    std::vector<state::Change> changes;
    service_.store.read(*process.cache, changes);
    process.election->observe(*process.cache, now_);
  }

  void step() {
    service_.tick(now_);
    for (std::size_t i = 0; i < scheduled_starts_.size();)
      if (scheduled_starts_[i].first <= now_) {
        const int node = scheduled_starts_[i].second;
        scheduled_starts_.erase(scheduled_starts_.begin() + static_cast<long>(i));
        start(node);
      } else {
        ++i;
      }
    std::vector<Message> due;
    std::erase_if(messages_, [&](Message& message) {
      if (message.deliver_at > now_) return false;
      due.push_back(std::move(message));
      return true;
    });
    for (auto& message : due) message.deliver();
    for (const auto& process : std::vector<ProcessPtr>(running_)) run(process);
  }

  // Does in one step what Membership and ShardController do.
  void run(const ProcessPtr& process) {
    if (now_ < process->next_read_at) return;
    read(*process);
    process->next_read_at = now_ + (chance(0.5) ? kStepS : 3 * kStepS);
    if (!process->lease_id) {
      if (!process->is_lease_requested) request_lease(process);
      return;
    }
    const std::uint64_t key_revision = process->cache->node_revision(process->node);
    if (!process->is_registering &&
        (!process->registered_revision || key_revision != process->registered_revision) &&
        (!key_revision || now_ >= process->may_overwrite_at)) {
      process->may_overwrite_at = now_ + 1;
      register_node(process);
    }
    if (now_ >= process->next_renewal_at) {
      process->next_renewal_at = now_ + kLeaseS / 4;
      send([this, process] {
        auto lease = service_.leases.find(process->lease_id);
        if (lease != service_.leases.end())
          lease->second.expires_at = now_ + kLeaseS;
        else
          process->lease_id = 0, process->is_lease_requested = false;
      });
    }
    for (int shard = 0; shard < kNodes; ++shard) decide(process, shard);
  }
  void request_lease(const ProcessPtr& process) {
    process->is_lease_requested = true;
    send([this, process] {
      const std::uint64_t id = service_.next_lease_id++;
      service_.leases[id] = {now_ + kLeaseS, {}};
      if (!is_running(process)) return;
      process->lease_id = id;
      if (!process->process_id) process->process_id = id;
      process->next_renewal_at = now_ + kLeaseS / 4;
    });
  }
  void register_node(const ProcessPtr& process) {
    auto transaction =
        schema::enroll(process->cache->schema(), process->settings.node, process->process_id,
                       schema::current_build(), process->lease_id);
    if (!transaction) return;
    process->is_registering = true;
    commit(process, *transaction, [this, process](std::optional<std::uint64_t> revision) {
      process->is_registering = false;
      if (!revision) return;
      process->registered_revision = *revision;
      process->election->registered(*revision, process->tag_prefix());
    });
  }
  void decide(const ProcessPtr& process, int shard) {
    const auto index = static_cast<std::size_t>(shard);
    if (process->acting_tokens[index] &&
        process->cache->leader(shard).mod_revision != process->acting_tokens[index]) {
      process->closed_tokens[index] = process->acting_tokens[index];
      process->acting_tokens[index] = 0;
    }
    if (process->is_move_in_flight[index]) return;
    shard::LeadershipMove move =
        process->election->decide(*process->cache, shard, now_, process->closed_tokens[index]);
    if (move.kind == shard::LeadershipMove::none) return;
    if (move.kind == shard::LeadershipMove::lead) {
      process->acting_tokens[index] = move.token;
      // A token belongs to one process forever, since the attempts of tasks are numbered by it.
      auto [user, is_first_use] =
          process_by_token_.try_emplace({shard, move.token}, process->number);
      EXPECT_EQ(user->second, process->number)
          << "two processes act for shard " << shard << " under " << move.token << " at " << now_;
      return;
    }
    if (move.kind == shard::LeadershipMove::hand_over) {
      process->closed_tokens[index] = process->acting_tokens[index];
      process->acting_tokens[index] = 0;
    }
    const int to = move.kind == shard::LeadershipMove::take ? process->node : move.to;
    wire::Transaction transaction;
    transaction.preconditions = move.preconditions;
    transaction.ops.push_back(
        {state::leader_key(shard),
         wire::encode_record(wire::LeaderRecord{
             settings_.nodes[static_cast<std::size_t>(to)],
             process->tag_prefix() + "a" + std::to_string(++process->tag_count)}),
         0});
    process->is_move_in_flight[index] = true;
    commit(process, std::move(transaction), [this, process, index](std::optional<std::uint64_t>) {
      process->is_move_in_flight[index] = false;
      read(*process);
    });
  }

  std::mt19937 rng_;
  config::Settings settings_;
  LeasedStateService service_;
  std::vector<ProcessPtr> running_;
  std::vector<std::pair<double, int>> scheduled_starts_;
  std::vector<Message> messages_;
  std::map<std::pair<int, std::uint64_t>, std::uint64_t>
      process_by_token_;  // process number by shard and token
  double now_ = 0, late_probability_ = 0, lost_response_probability_ = 0;
  std::uint64_t process_count_ = 0;
  std::size_t commit_count_ = 0;
};

// Operators may restart a process that has ended within a fraction of a second. No token may be
// used by two processes, and all shards must be led again afterwards.
TEST(Restarts, RepeatedRestartsNeverShareATokenAndAllShardsAreLedAgain) {
  for (unsigned seed = 1; seed <= 60; ++seed) {
    SCOPED_TRACE(seed);
    RestartSimulation simulation(seed);
    ASSERT_TRUE(simulation.all_shards_led());
    simulation.set_fault_probabilities(0.15, 0.1);
    const bool restarts_all_nodes = seed % 2, starts_second_processes = seed % 5 == 0;
    for (int i = 0; i < 20; ++i) {
      const double delay = 0.05 + simulation.draw_below(20) * 0.05;
      for (int node = 0; node < kNodes; ++node)
        if (restarts_all_nodes || node == static_cast<int>(seed % kNodes))
          simulation.restart(node, delay);
      // The process is ended at any step of the start that follows.
      simulation.advance(0.05 * (1 + simulation.draw_below(40)));
      if (starts_second_processes && i % 7 == 3)
        simulation.start(static_cast<int>(simulation.draw_below(kNodes)));
    }
    simulation.set_fault_probabilities(0, 0);
    for (int node = 0; node < kNodes; ++node) simulation.restart(node, 0.2);
    simulation.advance(20);
    EXPECT_TRUE(simulation.all_shards_led());
    // Late requests have arrived, leases of ended processes have expired.
    simulation.advance(kLeaseS + 30);
    simulation.expect_only_state_of_running_processes();
    EXPECT_TRUE(simulation.all_shards_led());
  }
}

// A process that is restarted quickly leads its shards within a second of its start, although the
// node key of its predecessor still exists, and never later than one that is restarted after six
// seconds.
TEST(Restarts, AQuickRestartServesAtOnce) {
  // By restart delay: seconds from the end until all shards are led.
  std::map<double, double> recovery_s;
  for (double delay : {0.05, 0.2, 1.0, 6.0}) {
    RestartSimulation simulation(7);
    const double ended_at = simulation.now();
    for (int node = 0; node < kNodes; ++node) simulation.restart(node, delay);
    simulation.advance(delay);
    while (!simulation.all_shards_led() && simulation.now() < ended_at + 30)
      simulation.advance(kStepS);
    recovery_s[delay] = simulation.now() - ended_at;
  }
  EXPECT_LT(recovery_s[0.05], 1.05);
  EXPECT_LT(recovery_s[0.2], 1.2);
  EXPECT_LT(recovery_s[1.0], 2.0);
  for (double delay : {0.05, 0.2, 1.0}) EXPECT_LE(recovery_s[delay], recovery_s[6.0]);
}

// A crash loop of one node causes a number of commits in proportion to its starts, and the shards
// of the other nodes keep their leaders.
TEST(Restarts, ACrashLoopOfOneNodeCostsFewCommitsAndLeavesOtherShardsAlone) {
  RestartSimulation simulation(3);
  const std::size_t commits_before = simulation.commit_count();
  constexpr int kRestarts = 20;
  for (int i = 0; i < kRestarts; ++i) {
    simulation.restart(1, 0.2);
    simulation.advance(1.3);
    EXPECT_TRUE(simulation.is_led(0));
    EXPECT_TRUE(simulation.is_led(2));
  }
  // Each start commits a registration and the leadership of the node's shard; no other node
  // commits.
  EXPECT_LE(simulation.commit_count() - commits_before, 3u * kRestarts);
}

}  // namespace
}  // namespace shunttrail::test
