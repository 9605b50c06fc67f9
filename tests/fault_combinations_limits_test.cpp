// Combinations of team quotas, free capacity, zones and new machines, in which every waiting task
// has to be served.
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <cmath>

#include "fault_combinations.h"

namespace shunttrail::test {
namespace {

const char* const kTeams[] = {"red", "blue", "green", "white"};
// All faults of these tests end within this time after the last one has begun.
constexpr double kLongestFaultS = 80;
constexpr double kQuietS = 420;  // until every job that can end has ended

using Strings = std::vector<std::string>;

constexpr unsigned kHistories = 25;  // of each test

// Ends the faults and expects that all jobs end, users get answers, and no machine stays rented
// without tasks.
void end_faults_and_finish(SimulatedCluster& cluster) {
  cluster.options().late_writes = cluster.options().lost_answers =
      cluster.options().max_link_delay_s = 0;
  cluster.rules().faults_have_ended();
  cluster.run_for(kQuietS);
  cluster.query_all_controllers();
  Strings unfinished;
  for (const auto& [id, job] : cluster.users().jobs())
    if (job.spec.service)
      cluster.users().cancel(id);
    else if (job.accepted && !job.is_end_reported())
      unfinished.push_back(id);
  EXPECT_EQ(unfinished, Strings{});
  cluster.run_for(120);
  EXPECT_EQ(cluster.rented_machines(), 0u);
}
// Expects also that no rule is broken, including `neglected`.
void expect_no_violations_at_end(SimulatedCluster& cluster) {
  end_faults_and_finish(cluster);
  EXPECT_EQ(cluster.rules().broken(), Strings{});
}

Strings violations_of(const SimulatedCluster& cluster, const std::string& rule,
                      bool matching = true) {
  Strings out;
  for (const auto& violation : cluster.rules().broken())
    if ((violation.find(rule) != std::string::npos) == matching) out.push_back(violation);
  return out;
}

// Kills, cuts off, freezes or refuses a random leader for at most a minute.
void fail_leader(SimulatedCluster& cluster) {
  auto& sim = cluster.sim();
  const int leader = cluster.controllers().random_leader();
  switch (sim.rng()() % 5) {
    case 0:
      return cluster.faults().kill(leader, sim.draw(0.05, 20));
    case 1:
      return cluster.faults().cut(leader, FaultInjector::state, sim.draw(8, 50));
    case 2:
      return cluster.faults().cut(leader, FaultInjector::state | FaultInjector::peers,
                                  sim.draw(8, 50));
    case 3:
      return cluster.faults().freeze(leader, sim.draw(8, 35));
    default:
      return cluster.faults().refuse(leader, sim.draw(8, 50));
  }
}

// ---- capacity

// Submits four jobs that fit into the quota of the options; the controllers may have another quota.
SimulatedCluster& run_at_quota(SimulatedCluster& cluster) {
  cluster.run_for(12);
  for (int i = 0; i < 4; ++i) cluster.users().submit(spec("red", 2), 150);
  cluster.run_for(60);
  cluster.rules().faults_have_ended();
  cluster.run_for(130);
  return cluster;
}

TEST(Limits, ALowerQuotaOfTheControllersIsReportedAsNeglected) {
  ClusterOptions options;
  options.team_limit = 8;
  SimulatedCluster configured_as_given(1, options);
  EXPECT_EQ(run_at_quota(configured_as_given).rules().broken(), Strings{});
  options.controllers_team_limit = 3;
  SimulatedCluster configured_lower(1, options);
  EXPECT_NE(violations_of(run_at_quota(configured_lower), "neglected"), Strings{});
}

TEST(Limits, AHigherQuotaOfTheControllersIsReportedAsExceeded) {
  ClusterOptions options;
  options.team_limit = 5;
  options.controllers_team_limit = 8;
  SimulatedCluster configured_higher(1, options);
  EXPECT_NE(violations_of(run_at_quota(configured_higher), "quota"), Strings{});
}

// ---- quotas

// Every team is at its quota and has waiting jobs. Some jobs are cancelled while their machines
// cannot be reached, each for another reason, and the leader changes.
struct AtLimit {
  SimulatedCluster cluster;
  int at_limit = 0, cancelled = 0;
  static ClusterOptions options(unsigned seed) {
    ClusterOptions options;
    options.controllers = 2 + static_cast<int>(seed % 4);
    options.teams = 4;
    options.team_limit = 6;
    options.machines = 8;
    return options;
  }
  // `leader_first`: the leader fails before any job is cancelled.
  AtLimit(unsigned seed, bool leader_first) : cluster(seed, options(seed)) {
    auto& sim = cluster.sim();
    cluster.run_for(12);
    for (int round = 0; round < 3; ++round)
      for (const char* team : kTeams) {
        cluster.users().submit(spec(team, 2), sim.draw(40, 110));
        cluster.users().submit(spec(team, 1, 2), sim.draw(40, 110));
      }
    cluster.run_for(sim.draw(25, 35));
    for (const char* team : kTeams)
      at_limit += cluster.rules().used_cpus(team) > cluster.options().team_limit - 1e-9;
    if (leader_first) {
      fail_leader(cluster);
      cluster.run_for(sim.draw(0, 25));
    }
    std::vector<std::string> running;
    for (const auto& [id, job] : cluster.users().jobs())
      if (!cluster.machines().with_job(id).empty()) running.push_back(id);
    for (const auto& id : running) {
      if (!sim.chance(0.5)) continue;
      ++cancelled;
      for (int machine : cluster.machines().with_job(id)) make_unreachable(machine);
      sim.at(sim.now() + sim.draw(0, 3), [this, id] { cluster.users().cancel(id); });
    }
    cluster.run_for(sim.draw(0, 4));
    if (!leader_first) fail_leader(cluster);
    cluster.run_for(sim.draw(0, 30));
    if (sim.chance(0.5)) fail_leader(cluster);
    cluster.run_for(kLongestFaultS);
  }
  void make_unreachable(int machine) {
    auto& sim = cluster.sim();
    const double for_s = sim.draw(3, 60);
    switch (sim.rng()() % 6) {
      case 0:
        return cluster.faults().lose_responses(machine, for_s);
      case 1:
        return cluster.faults().cut_heartbeats(machine, for_s);
      case 2:
        return cluster.faults().hang(machine, for_s);
      case 3:
        return cluster.faults().hold_direct_commands(machine, for_s);
      case 4:
        cluster.faults().lose_responses(machine, for_s);
        return cluster.faults().cut_heartbeats(machine, for_s);
      default:
        return;
    }
  }
};

void expect_limits(bool leader_first) {
  int seeds = 0, at_limit = 0, cancelled = 0;
  each_seed(kHistories, [&](unsigned seed) {
    AtLimit scenario(seed, leader_first);
    end_faults_and_finish(scenario.cluster);
    // Waiting with free capacity is tested separately.
    EXPECT_EQ(violations_of(scenario.cluster, "neglected", false), Strings{});
    ++seeds;
    at_limit += scenario.at_limit;
    cancelled += scenario.cancelled;
  });
  EXPECT_GT(at_limit, seeds * 3);  // more than three of four teams on average
  EXPECT_GT(cancelled, seeds * 3);
}

TEST(Limits, CancellationsOnUnreachableMachinesBeforeALeaderChangeKeepTheQuota) {
  expect_limits(false);
}
TEST(Limits, CancellationsOnUnreachableMachinesAfterALeaderChangeKeepTheQuota) {
  expect_limits(true);
}

// Once the faults have ended, freed capacity is used: no task waits for 90 s with free capacity.
TEST(Limits, FreedCapacityIsUsedOnceTheFaultsHaveEnded) {
  each_seed(kHistories, [&](unsigned seed) {
    for (const bool leader_first : {false, true}) {
      AtLimit scenario(seed, leader_first);
      end_faults_and_finish(scenario.cluster);
      EXPECT_EQ(violations_of(scenario.cluster, "neglected"), Strings{});
    }
  });
}

// There is one machine and the cloud has no others. A task that needs half of it waits for its
// turn.
TEST(Limits, ASmallTaskStartsBeforeALargerOneThatDoesNotFit) {
  ClusterOptions options;
  options.controllers = 1;
  options.machines = 1;
  SimulatedCluster cluster(1, options);
  cluster.run_for(12);
  cluster.users().submit(spec("red", 1, 3), 300);
  cluster.run_for(15);
  cluster.users().submit(spec("red", 1, 2), 20);
  cluster.run_for(3);
  cluster.users().submit(spec("red", 1, 1), 20);
  cluster.run_for(5);
  cluster.rules().faults_have_ended();
  cluster.run_for(150);
  EXPECT_EQ(cluster.rules().broken(), Strings{});
}

// Each team's controller has one machine, and the cloud has no others. One machine is full, the
// other one almost unused.
TEST(Limits, ATaskUsesFreeCapacityOnAnotherControllersMachine) {
  ClusterOptions options;
  options.controllers = 2;
  options.machines = 2;
  SimulatedCluster cluster(1, options);
  cluster.run_for(12);
  cluster.users().submit(spec("red", 1, 1), 300);
  cluster.users().submit(spec("blue", 1, 4), 300);
  cluster.run_for(15);
  cluster.users().submit(spec("blue", 1, 2), 20);
  cluster.run_for(5);
  cluster.rules().faults_have_ended();
  cluster.run_for(150);
  EXPECT_EQ(cluster.rules().broken(), Strings{});
}

// ---- new machines

// At first no machine is rented. Machines of two types boot quickly and get tasks while writes are
// late, lists are out of date, some jobs are cancelled and the leader ends.
TEST(Limits, NewMachinesAreUsedWhileWritesLagAndTheLeaderEnds) {
  int seeds = 0, with_machines = 0, cancelled = 0;
  each_seed(kHistories, [&](unsigned seed) {
    ++seeds;
    ClusterOptions options;
    options.controllers = 2 + static_cast<int>(seed % 4);
    options.teams = 3;
    options.team_limit = 10;
    options.machines = 4;
    options.big_machines = 3;
    options.max_boot_s = 2;
    options.list_lag_s = 3;
    SimulatedCluster cluster(seed, options);
    auto& sim = cluster.sim();
    cluster.run_for(12);
    std::vector<std::string> jobs;
    for (int i = 0; i < 9; ++i) {
      wire::JobSpec job = spec(kTeams[i % 3], 1 + sim.rng()() % 3, sim.chance(0.3) ? 2 : 1);
      if (sim.chance(0.4)) job.types = {{sim.chance(0.5) ? "t4" : "t8"}};
      if (sim.chance(0.2)) job.cpus = 6;  // fits on a t8 machine only
      // The quota allows one such task at a time; three jobs of three such tasks end in six
      // minutes.
      jobs.push_back(
          cluster.users().submit(job, sim.draw(5, job.cpus > options.team_limit / 2 ? 20 : 60)));
    }
    cluster.faults().slow_state(sim.draw(0.2, 2.5), sim.draw(10, 60));
    if (sim.chance(0.6)) cluster.options().late_writes = sim.draw(0.1, 0.4);
    if (sim.chance(0.6)) cluster.options().lost_answers = sim.draw(0.1, 0.4);
    const double ends_in_s = sim.draw(0.5, 10);
    const double cancels_in_s = sim.draw(0.5, 12);
    sim.at(sim.now() + ends_in_s, [&cluster, &sim] {
      cluster.faults().kill(cluster.controllers().random_leader(), sim.draw(0.05, 15));
    });
    for (const auto& id : jobs)
      if (sim.chance(0.4)) {
        ++cancelled;
        sim.at(sim.now() + cancels_in_s + sim.draw(0, 4),
               [&cluster, id] { cluster.users().cancel(id); });
      }
    cluster.run_for(5);
    with_machines += cluster.machines().size() > 0;
    cluster.run_for(20);
    if (sim.chance(0.5))
      cluster.faults().kill(cluster.controllers().random_leader(), sim.draw(0.05, 15));
    cluster.run_for(kLongestFaultS);
    expect_no_violations_at_end(cluster);
  });
  EXPECT_GT(with_machines, 0);
  EXPECT_GT(cancelled, seeds);
}

// ---- zones

// Jobs and job arrays that are bound to one given zone, to any one zone, or spread over both. All
// machines of one zone fail, and for a while the cloud has no others there.
TEST(Limits, JobsBoundToZonesFinishAfterTheirMachinesFail) {
  std::uint64_t done = 0;
  int seeds = 0, lost = 0;
  each_seed(kHistories, [&](unsigned seed) {
    ++seeds;
    ClusterOptions options;
    options.controllers = 2 + static_cast<int>(seed % 4);
    options.machines = 8;
    SimulatedCluster cluster(seed, options);
    auto& sim = cluster.sim();
    cluster.run_for(12);
    for (int i = 0; i < 12; ++i) {
      wire::JobSpec job = spec(kTeams[i % 2], 1 + sim.rng()() % 6);
      switch (sim.rng()() % 4) {
        case 0:
          job.zone = "a";
          break;
        case 1:
          job.zone = "b";
          break;
        case 2:
          job.same_zone = true;
          break;
        default:
          job.anti_affinity = true;
      }
      job.same_zone |= job.zone && sim.chance(0.3);
      job.gang = sim.chance(0.15);
      cluster.users().submit(job, sim.draw(5, 40));
    }
    cluster.run_for(sim.draw(12, 30));
    for (int round = 0; round < 2; ++round) {
      const int machines_before = cluster.machines().size();
      cluster.faults().lose_zone(sim.chance(0.5) ? "a" : "b", sim.draw(20, 90));
      lost += machines_before > 0;
      if (sim.chance(0.6)) fail_leader(cluster);
      if (sim.chance(0.3)) cluster.faults().slow_state(sim.draw(0.2, 2), sim.draw(5, 30));
      cluster.run_for(sim.draw(5, 60));
    }
    cluster.run_for(90);
    expect_no_violations_at_end(cluster);
    done += cluster.rules().completed_tasks();
  });
  EXPECT_GT(lost, 0);
  EXPECT_GT(done, static_cast<unsigned>(seeds) * 20u);
}

// ---- leader changes

// Jobs are cancelled in the seconds in which a shard changes its leader: by failover, by return to
// the first leader, by a rolling restart of all controllers, and while machines move between
// shards.
TEST(Limits, CancellationsDuringLeaderChangesBreakNoRule) {
  int seeds = 0, changes = 0, cancelled = 0;
  each_seed(kHistories, [&](unsigned seed) {
    ++seeds;
    ClusterOptions options;
    options.controllers = 2 + static_cast<int>(seed % 3);
    options.team_limit = 12;
    options.machines = 5;
    SimulatedCluster cluster(seed, options);
    auto& sim = cluster.sim();
    cluster.run_for(12);
    // One team uses all machines at first; then the other team's jobs need machines of the first
    // one.
    for (int i = 0; i < 5; ++i)
      cluster.users().submit(spec("red", 1 + sim.rng()() % 3), sim.draw(8, 30));
    cluster.run_for(sim.draw(10, 20));
    for (int i = 0; i < 8; ++i)
      cluster.users().submit(spec("blue", 1 + sim.rng()() % 3), sim.draw(15, 60));
    std::vector<int> leaders(static_cast<std::size_t>(options.controllers), -1);
    int checks_left = 0;  // number of steps in which users still cancel jobs
    for (int step = 0; step < 360; ++step) {
      if (step % 90 == 10)
        for (int n = 0; n < options.controllers; ++n) {
          const bool roll = sim.chance(0.6);
          if (!roll && n > 0) break;
          const double at = sim.now() + n * sim.draw(0.3, 4);
          sim.at(at, [&cluster, &sim, n, roll] {
            cluster.faults().kill(roll ? n : cluster.controllers().random_leader(),
                                  sim.draw(0.05, roll ? 1 : 14));
          });
        }
      for (int shard = 0; shard < options.controllers; ++shard) {
        int& previous_leader = leaders[static_cast<std::size_t>(shard)];
        const int now_leading = cluster.controllers().leader(shard);
        if (now_leading != previous_leader) {
          ++changes;
          checks_left = 12;
        }
        previous_leader = now_leading;
      }
      if (checks_left-- > 0)
        for (const auto& [id, job] : cluster.users().jobs())
          if (job.accepted && !job.cancel_requested && job.done_reported_at < 0 &&
              sim.chance(0.02)) {
            ++cancelled;
            cluster.users().cancel(id);
            break;
          }
      if (step % 20 == 0)
        cluster.users().submit(spec(kTeams[step / 20 % 2], 1 + sim.rng()() % 3), 20);
      cluster.run_for(0.25);
    }
    cluster.run_for(30);
    expect_no_violations_at_end(cluster);
  });
  EXPECT_GT(changes, seeds * 8);
  EXPECT_GT(cancelled, seeds);
}

// ---- overload

struct Submitted {
  std::string id, job_class, team;
  wire::Priority priority = wire::Priority::standard;
  double at = 0, size = 0;  // size: vcpus of the tasks that start together
  double work = 0;          // vcpu seconds
};

// Returns whether the job can be expected to start in time, by plain arithmetic: the work that was
// submitted before it, and more urgent work that is submitted within its longest wait of four
// minutes, can be done by then with the whole capacity and within its team's quota. Two fifths of
// the capacity are left for tasks that do not fit together and for machines that are drained for a
// task which needs a whole one.
constexpr double kMaxWaitS = 240, kUsableShare = 0.6;
bool possible(const Submitted& job, const std::vector<Submitted>& all, double from, double capacity,
              double limit) {
  const double until = job.at + kMaxWaitS;
  double work_ahead = 0, team_work_ahead = 0;
  for (const auto& other : all) {
    if (other.at > (other.priority < job.priority ? until : job.at)) continue;
    work_ahead += other.work;
    if (other.team == job.team) team_work_ahead += other.work;
  }
  return job.size <= limit && work_ahead <= kUsableShare * capacity * (until - from) &&
         team_work_ahead <= kUsableShare * limit * (until - from);
}

// Jobs of classes with all priorities, sizes and kinds, of four teams, need more than the capacity,
// over slow links.
struct Overload {
  SimulatedCluster cluster;
  std::vector<Submitted> all;
  double from = 0;
  static ClusterOptions options(unsigned seed) {
    ClusterOptions options;
    options.controllers = 2 + static_cast<int>(seed % 3);
    options.teams = 4;
    options.machines = 6;
    options.team_limit = 12;
    return options;
  }
  double capacity() const { return cluster.options().machines * cluster.options().machine_cpus; }
  bool possible(const Submitted& job) const {
    return test::possible(job, all, from, capacity(), cluster.options().team_limit);
  }
  bool started_within(const Submitted& job, double within) const {
    const double at = cluster.rules().first_run_at(job.id);
    return at >= 0 && at - job.at <= within;
  }
  explicit Overload(unsigned seed) : cluster(seed, options(seed)) {
    auto& sim = cluster.sim();
    const ClusterOptions& options = cluster.options();
    cluster.run_for(12);
    cluster.options().max_link_delay_s = sim.draw(0.05, 0.4);
    from = sim.now();
    const double arrivals = 240;
    const double load = sim.draw(1.1, 1.7);  // as a multiple of the capacity
    // Each class has its own priority, sizes, run times and share of the work; each team has a
    // share.
    struct Class {
      wire::JobSpec spec;
      double run_s, weight;
      std::uint32_t tasks;
    };
    std::vector<Class> classes;
    for (int c = 0; c < 5; ++c) {
      Class job_class;
      job_class.spec.job_class = "class-" + std::to_string(c);
      job_class.spec.priority = static_cast<wire::Priority>(c % wire::kPriorities);
      job_class.spec.gang = sim.chance(0.3);
      job_class.spec.same_zone = sim.chance(0.2);
      if (sim.chance(0.4)) {
        job_class.spec.checkpoint_s = sim.draw(5, 20);
        job_class.spec.save_s = sim.draw(1, 5);
      }
      job_class.run_s = sim.draw(5, 25);
      job_class.weight = sim.draw(0.5, 2);
      job_class.tasks = 1 + sim.rng()() % 4;
      classes.push_back(job_class);
    }
    std::vector<double> team_weights;  // each team's share of the work
    for (int t = 0; t < options.teams; ++t) team_weights.push_back(sim.draw(0.5, 2));
    std::discrete_distribution<std::size_t> random_team(team_weights.begin(), team_weights.end());
    std::vector<double> weights;
    for (const auto& job_class : classes) weights.push_back(job_class.weight);
    std::discrete_distribution<std::size_t> random_class(weights.begin(), weights.end());
    for (double work = 0; work < load * capacity() * arrivals;) {
      const Class& job_class = classes[random_class(sim.rng())];
      const double sizes[] = {0.5, 1, 1, 2, 2, 4};
      wire::JobSpec job = spec(kTeams[random_team(sim.rng())], 1 + sim.rng()() % job_class.tasks,
                               sizes[sim.rng()() % 6]);
      job.job_class = job_class.spec.job_class;
      job.priority = job_class.spec.priority;
      job.gang =
          job_class.spec.gang && job.tasks > 1 && job.tasks * job.cpus <= options.team_limit / 2;
      job.same_zone = job_class.spec.same_zone;
      job.checkpoint_s = job_class.spec.checkpoint_s;
      job.save_s = job_class.spec.save_s;
      job.service = all.size() % 40 == 20;
      if (job.service) {
        job.tasks = 1;
        job.cpus = 0.5;
      }
      job.estimate_s = job_class.run_s;
      Submitted submitted;
      submitted.job_class = job.job_class;
      submitted.team = job.team;
      submitted.priority = job.priority;
      submitted.size = job.cpus * (job.gang ? job.tasks : 1);
      for (std::uint32_t i = 0; i < job.tasks; ++i)
        submitted.work +=
            job.cpus * (job.service ? arrivals + kMaxWaitS : job_class.run_s * (1 + i % 3) + 2);
      // Jobs are spread over the time of arrivals in proportion to their work.
      submitted.at = from + work / (load * capacity());
      work += submitted.work;
      if (submitted.at > sim.now()) cluster.run_for(submitted.at - sim.now());
      submitted.id = cluster.users().submit(job, job_class.run_s);
      submitted.at = sim.now();
      all.push_back(submitted);
    }
    cluster.run_for(kMaxWaitS + 10);
    cluster.options().max_link_delay_s = 0;
  }
};

struct StartCounts {
  int jobs = 0, started = 0;
  std::string details;
};
void expect_half_started(const std::map<std::string, StartCounts>& counts_by_group) {
  for (const auto& [group, counts] : counts_by_group)
    EXPECT_GE(2 * counts.started, counts.jobs)
        << group << ": " << counts.started << " of " << counts.jobs << counts.details;
}

TEST(Limits, OverloadStartsHalfOfTheJobsOfEachClassAndTeam) {
  int seeds = 0, waited = 0, never_started = 0;
  each_seed(kHistories, [&](unsigned seed) {
    ++seeds;
    Overload overload(seed);
    std::map<std::string, StartCounts> counts_by_group;
    for (const auto& job : overload.all) {
      waited += !overload.started_within(job, 30);
      never_started += !overload.started_within(job, 1e9);
      if (!overload.possible(job)) continue;
      for (const auto& group : {"class " + job.job_class, "team " + job.team}) {
        ++counts_by_group[group].jobs;
        counts_by_group[group].started += overload.started_within(job, kMaxWaitS);
      }
    }
    expect_half_started(counts_by_group);
    for (const auto& job : overload.all)
      if (overload.cluster.users().jobs().at(job.id).spec.service)
        overload.cluster.users().cancel(job.id);
    end_faults_and_finish(overload.cluster);
    EXPECT_EQ(violations_of(overload.cluster, "neglected", false), Strings{});
  });
  EXPECT_GT(waited, seeds * 10);  // there was more work than capacity
  ::testing::Test::RecordProperty("never_begun", never_started);
}

TEST(Limits, OverloadStartsHalfOfEachClassesLargestJobsWithinFourMinutes) {
  int seeds = 0, possible = 0;
  each_seed(kHistories, [&](unsigned seed) {
    ++seeds;
    Overload overload(seed);
    std::map<std::string, double> size;  // of the largest job, by class
    for (const auto& job : overload.all)
      size[job.job_class] = std::max(size[job.job_class], job.size);
    std::map<std::string, StartCounts> largest;
    for (const auto& job : overload.all) {
      if (job.size < size[job.job_class] || !overload.possible(job)) continue;
      ++possible;
      StartCounts& counts = largest["largest of " + job.job_class];
      ++counts.jobs;
      counts.started += overload.started_within(job, kMaxWaitS);
      if (overload.started_within(job, kMaxWaitS)) continue;
      const wire::JobSpec& job_spec = overload.cluster.users().jobs().at(job.id).spec;
      counts.details += "\n" + job.id + " of " + job.team + ", priority " +
                        std::to_string(static_cast<int>(job_spec.priority)) + ", " +
                        std::to_string(job_spec.tasks) + " tasks of " +
                        std::to_string(job_spec.cpus) + (job_spec.gang ? ", a gang" : "") +
                        (job_spec.same_zone ? ", one zone" : "") + ", submitted at " +
                        std::to_string(job.at) + ", started at " +
                        std::to_string(overload.cluster.rules().first_run_at(job.id));
    }
    expect_half_started(largest);
  });
  EXPECT_GT(possible, seeds * 3);
}

}  // namespace
}  // namespace shunttrail::test
