// Meetings of teams' limits, room, zones and new machines; and that what waits is served.
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <cmath>
#include <cstdio>
#include <cstdlib>

#include "fault_combinations.h"

namespace shunttrail::test {
namespace {

const char* const kTeam[] = {"red", "blue", "green", "white"};
constexpr double kLongest = 80;  // of all faults here, counted from the last that begins
constexpr double kCalm = 420;    // until all is over that can be

using Strings = std::vector<std::string>;

// SHUNTTRAIL_HISTORIES=FIRST-LAST plays these seeds of each fault combination instead.
void each_seed(const std::function<void(unsigned)>& play) {
  unsigned first = 1, last = 25;
  if (const char* more = std::getenv("SHUNTTRAIL_HISTORIES"))
    std::sscanf(more, "%u-%u", &first, &last);
  for (unsigned seed = first; seed <= last; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    play(seed);
  }
}

// Nothing faults the cluster any more: all jobs end, users are answered, and no machine stays
// rented without work.
void calm_down(SimulatedCluster& cluster) {
  cluster.options().late_writes = cluster.options().lost_answers =
      cluster.options().max_link_delay_s = 0;
  cluster.rules().faults_have_ended();
  cluster.run_for(kCalm);
  cluster.query_all_controllers();
  Strings unfinished;
  for (const auto& [id, j] : cluster.users().jobs())
    if (j.spec.service)
      cluster.users().cancel(id);
    else if (j.accepted && j.done_reported_at < 0 && j.cancelled_reported_at < 0)
      unfinished.push_back(id);
  EXPECT_EQ(unfinished, Strings{});
  cluster.run_for(120);
  EXPECT_EQ(cluster.rented_machines(), 0u);
}
// And no job waits beside room.
void expect_calm(SimulatedCluster& cluster) {
  calm_down(cluster);
  EXPECT_EQ(cluster.rules().broken(), Strings{});
}

Strings broken_so(const SimulatedCluster& cluster, const std::string& rule, bool so = true) {
  Strings out;
  for (const auto& b : cluster.rules().broken())
    if ((b.find(rule) != std::string::npos) == so) out.push_back(b);
  return out;
}

// A leader goes, one way or another, for at most a minute.
void leader_goes(SimulatedCluster& cluster) {
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

// ---- room

// Four jobs that fit, and limits by which the controllers place fewer, or more.
SimulatedCluster& limited(SimulatedCluster& cluster) {
  cluster.run_for(12);
  for (int i = 0; i < 4; ++i) cluster.users().submit(spec("red", 2), 150);
  cluster.run_for(60);
  cluster.rules().faults_have_ended();
  cluster.run_for(130);
  return cluster;
}

TEST(Limits, WorkLeftWaitingBesideRoomIsSeen) {
  ClusterOptions s;
  s.team_limit = 8;
  SimulatedCluster as_told(1, s);
  EXPECT_EQ(limited(as_told).rules().broken(), Strings{});
  s.controllers_team_limit = 3;
  SimulatedCluster fewer(1, s);
  EXPECT_NE(broken_so(limited(fewer), "neglected"), Strings{});
}

TEST(Limits, MoreThanALimitIsSeen) {
  ClusterOptions s;
  s.team_limit = 5;
  s.controllers_team_limit = 8;
  SimulatedCluster more(1, s);
  EXPECT_NE(broken_so(limited(more), "quota"), Strings{});
}

// ---- limits

// Every team is at its limit, with more that waits. Some of the jobs are cancelled, and their
// machines can't be asked, each in its own way, while the leader changes.
struct AtLimit {
  SimulatedCluster cluster;
  int at_limit = 0, cancelled = 0;
  static ClusterOptions options(unsigned seed) {
    ClusterOptions s;
    s.controllers = 2 + static_cast<int>(seed % 4);
    s.teams = 4;
    s.team_limit = 6;
    s.machines = 8;
    return s;
  }
  // `first`: the leader goes before anything is cancelled.
  AtLimit(unsigned seed, bool first) : cluster(seed, options(seed)) {
    auto& sim = cluster.sim();
    cluster.run_for(12);
    for (int round = 0; round < 3; ++round)
      for (const char* team : kTeam) {
        cluster.users().submit(spec(team, 2), sim.draw(40, 110));
        cluster.users().submit(spec(team, 1, 2), sim.draw(40, 110));
      }
    cluster.run_for(sim.draw(25, 35));
    for (const char* team : kTeam)
      at_limit += cluster.rules().used_cpus(team) > cluster.options().team_limit - 1e-9;
    if (first) {
      leader_goes(cluster);
      cluster.run_for(sim.draw(0, 25));
    }
    std::vector<std::string> running;
    for (const auto& [id, j] : cluster.users().jobs())
      if (!cluster.machines().with_job(id).empty()) running.push_back(id);
    for (const auto& id : running) {
      if (!sim.chance(0.5)) continue;
      ++cancelled;
      for (int m : cluster.machines().with_job(id)) unasked(m);
      sim.at(sim.now() + sim.draw(0, 3), [this, id] { cluster.users().cancel(id); });
    }
    cluster.run_for(sim.draw(0, 4));
    if (!first) leader_goes(cluster);
    cluster.run_for(sim.draw(0, 30));
    if (sim.chance(0.5)) leader_goes(cluster);
    cluster.run_for(kLongest);
  }
  void unasked(int machine) {
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
  each_seed([&](unsigned seed) {
    AtLimit m(seed, leader_first);
    calm_down(m.cluster);
    // Room beside waiting work has tests of its own.
    EXPECT_EQ(broken_so(m.cluster, "neglected", false), Strings{});
    ++seeds;
    at_limit += m.at_limit;
    cancelled += m.cancelled;
  });
  EXPECT_GT(at_limit, seeds * 3);  // of four teams
  EXPECT_GT(cancelled, seeds * 3);
}

TEST(Limits, JobsAreCancelledWhoseMachinesCannotBeAskedThenTheLeaderChanges) {
  expect_limits(false);
}
TEST(Limits, TheLeaderChangesThenJobsAreCancelledWhoseMachinesCannotBeAsked) {
  expect_limits(true);
}

// Once the faults are over, room is given again: nothing waits beside it for 90 s.
TEST(Limits, RoomIsGivenAgainOnceTheTroublesAreOver) {
  each_seed([&](unsigned seed) {
    for (const bool leader_first : {false, true}) {
      AtLimit m(seed, leader_first);
      calm_down(m.cluster);
      EXPECT_EQ(broken_so(m.cluster, "neglected"), Strings{});
    }
  });
}

// There is one machine and no other to be had; a task that needs half of it waits for its turn.
TEST(Limits, ASmallTaskDoesNotWaitBesideRoomBehindALargerOneThatHasNone) {
  ClusterOptions s;
  s.controllers = 1;
  s.machines = 1;
  SimulatedCluster cluster(1, s);
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

// Each team's controller has a machine, and there is no other to be had: one is full, the other one
// hardly in use.
TEST(Limits, WorkDoesNotWaitBesideRoomOnAnotherControllersMachine) {
  ClusterOptions s;
  s.controllers = 2;
  s.machines = 2;
  SimulatedCluster cluster(1, s);
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

// Nothing is rented yet. Machines of two types are up at once and get work, writes lag and lists
// are old, some of the jobs are cancelled, and the leader ends.
TEST(Limits, NewMachinesGetWorkAtOnceWhileWritesLagAndTheLeaderEnds) {
  int seeds = 0, quick = 0, cancelled = 0;
  each_seed([&](unsigned seed) {
    ++seeds;
    ClusterOptions s;
    s.controllers = 2 + static_cast<int>(seed % 4);
    s.teams = 3;
    s.team_limit = 10;
    s.machines = 4;
    s.big_machines = 3;
    s.max_boot_s = 2;
    s.list_lag_s = 3;
    SimulatedCluster cluster(seed, s);
    auto& sim = cluster.sim();
    cluster.run_for(12);
    std::vector<std::string> jobs;
    for (int i = 0; i < 9; ++i) {
      wire::JobSpec j = spec(kTeam[i % 3], 1 + sim.rng()() % 3, sim.chance(0.3) ? 2 : 1);
      if (sim.chance(0.4)) j.types = {{sim.chance(0.5) ? "t4" : "t8"}};
      if (sim.chance(0.2)) j.cpus = 6;  // a large machine's
      // One at a time within the limit: three jobs of three such tasks are over in six minutes.
      jobs.push_back(cluster.users().submit(j, sim.draw(5, j.cpus > s.team_limit / 2 ? 20 : 60)));
    }
    cluster.faults().slow_state(sim.draw(0.2, 2.5), sim.draw(10, 60));
    if (sim.chance(0.6)) cluster.options().late_writes = sim.draw(0.1, 0.4);
    if (sim.chance(0.6)) cluster.options().lost_answers = sim.draw(0.1, 0.4);
    const double ends = sim.draw(0.5, 10);
    const double cancels = sim.draw(0.5, 12);
    sim.at(sim.now() + ends, [&cluster, &sim] {
      cluster.faults().kill(cluster.controllers().random_leader(), sim.draw(0.05, 15));
    });
    for (const auto& id : jobs)
      if (sim.chance(0.4)) {
        ++cancelled;
        sim.at(sim.now() + cancels + sim.draw(0, 4),
               [&cluster, id] { cluster.users().cancel(id); });
      }
    cluster.run_for(5);
    quick += cluster.machines().size() > 0;
    cluster.run_for(20);
    if (sim.chance(0.5))
      cluster.faults().kill(cluster.controllers().random_leader(), sim.draw(0.05, 15));
    cluster.run_for(kLongest);
    expect_calm(cluster);
  });
  EXPECT_GT(quick, 0);
  EXPECT_GT(cancelled, seeds);
}

// ---- zones

// Jobs bound to a zone, to any one zone and to both, arrays too. All machines of one zone die, and
// for a while there are none to be had there.
TEST(Limits, JobsBoundToZonesLoseTheirMachines) {
  std::uint64_t done = 0;
  int seeds = 0, lost = 0;
  each_seed([&](unsigned seed) {
    ++seeds;
    ClusterOptions s;
    s.controllers = 2 + static_cast<int>(seed % 4);
    s.machines = 8;
    SimulatedCluster cluster(seed, s);
    auto& sim = cluster.sim();
    cluster.run_for(12);
    for (int i = 0; i < 12; ++i) {
      wire::JobSpec j = spec(kTeam[i % 2], 1 + sim.rng()() % 6);
      switch (sim.rng()() % 4) {
        case 0:
          j.zone = "a";
          break;
        case 1:
          j.zone = "b";
          break;
        case 2:
          j.same_zone = true;
          break;
        default:
          j.anti_affinity = true;
      }
      j.same_zone |= j.zone && sim.chance(0.3);
      j.gang = sim.chance(0.15);
      cluster.users().submit(j, sim.draw(5, 40));
    }
    cluster.run_for(sim.draw(12, 30));
    for (int round = 0; round < 2; ++round) {
      const int there = cluster.machines().size();
      cluster.faults().lose_zone(sim.chance(0.5) ? "a" : "b", sim.draw(20, 90));
      lost += there > 0;
      if (sim.chance(0.6)) leader_goes(cluster);
      if (sim.chance(0.3)) cluster.faults().slow_state(sim.draw(0.2, 2), sim.draw(5, 30));
      cluster.run_for(sim.draw(5, 60));
    }
    cluster.run_for(90);
    expect_calm(cluster);
    done += cluster.rules().completed_tasks();
  });
  EXPECT_GT(lost, 0);
  EXPECT_GT(done, static_cast<unsigned>(seeds) * 20u);
}

// ---- work changes hands

// Jobs are cancelled in the seconds in which a shard changes hands: taken over, handed back, rolled
// through all controllers, and while machines go from one shard to another.
TEST(Limits, JobsAreCancelledWhileTheirShardChangesHands) {
  int seeds = 0, changes = 0, cancelled = 0;
  each_seed([&](unsigned seed) {
    ++seeds;
    ClusterOptions s;
    s.controllers = 2 + static_cast<int>(seed % 3);
    s.team_limit = 12;
    s.machines = 5;
    SimulatedCluster cluster(seed, s);
    auto& sim = cluster.sim();
    cluster.run_for(12);
    // One team has it all at first; then the other one's work needs machines of the first.
    for (int i = 0; i < 5; ++i)
      cluster.users().submit(spec("red", 1 + sim.rng()() % 3), sim.draw(8, 30));
    cluster.run_for(sim.draw(10, 20));
    for (int i = 0; i < 8; ++i)
      cluster.users().submit(spec("blue", 1 + sim.rng()() % 3), sim.draw(15, 60));
    std::vector<int> owners(static_cast<std::size_t>(s.controllers), -1);
    int left = 0;  // looks in which users cancel
    for (int look = 0; look < 360; ++look) {
      if (look % 90 == 10)
        for (int n = 0; n < s.controllers; ++n) {
          const bool roll = sim.chance(0.6);
          if (!roll && n > 0) break;
          const double at = sim.now() + n * sim.draw(0.3, 4);
          sim.at(at, [&cluster, &sim, n, roll] {
            cluster.faults().kill(roll ? n : cluster.controllers().random_leader(),
                                  sim.draw(0.05, roll ? 1 : 14));
          });
        }
      for (int shard = 0; shard < s.controllers; ++shard) {
        int& was = owners[static_cast<std::size_t>(shard)];
        const int is = cluster.controllers().leader(shard);
        if (is != was) {
          ++changes;
          left = 12;
        }
        was = is;
      }
      if (left-- > 0)
        for (const auto& [id, j] : cluster.users().jobs())
          if (j.accepted && !j.cancel_requested && j.done_reported_at < 0 && sim.chance(0.02)) {
            ++cancelled;
            cluster.users().cancel(id);
            break;
          }
      if (look % 20 == 0)
        cluster.users().submit(spec(kTeam[look / 20 % 2], 1 + sim.rng()() % 3), 20);
      cluster.run_for(0.25);
    }
    cluster.run_for(30);
    expect_calm(cluster);
  });
  EXPECT_GT(changes, seeds * 8);
  EXPECT_GT(cancelled, seeds);
}

// ---- more work than room

struct Submitted {
  std::string id, cls, team;
  wire::Priority priority = wire::Priority::standard;
  double at = 0, size = 0;  // size: vcpus at once
  double work = 0;          // vcpu seconds
};

// What is possible at all, as plain arithmetic: what has come before this job, and what is more
// urgent and comes within the four minutes that it may wait, is gone through by then, by all the
// room and within its team's limit. Two fifths are left to what does not fit together, and to
// machines that are cleared for a task that needs all of one.
constexpr double kBegin = 240, kShare = 0.6;
bool possible(const Submitted& job, const std::vector<Submitted>& all, double from, double room,
              double limit) {
  const double until = job.at + kBegin;
  double ahead = 0, of_team = 0;
  for (const auto& other : all) {
    if (other.at > (other.priority < job.priority ? until : job.at)) continue;
    ahead += other.work;
    if (other.team == job.team) of_team += other.work;
  }
  return job.size <= limit && ahead <= kShare * room * (until - from) &&
         of_team <= kShare * limit * (until - from);
}

// Classes of all bands, sizes and kinds, and four teams, draw more work than there is room, over
// slow links.
struct Overload {
  SimulatedCluster cluster;
  std::vector<Submitted> all;
  double from = 0;
  static ClusterOptions options(unsigned seed) {
    ClusterOptions s;
    s.controllers = 2 + static_cast<int>(seed % 3);
    s.teams = 4;
    s.machines = 6;
    s.team_limit = 12;
    return s;
  }
  double room() const { return cluster.options().machines * cluster.options().machine_cpus; }
  bool possible(const Submitted& j) const {
    return test::possible(j, all, from, room(), cluster.options().team_limit);
  }
  bool begun(const Submitted& j, double within) const {
    const double at = cluster.rules().first_run_at(j.id);
    return at >= 0 && at - j.at <= within;
  }
  explicit Overload(unsigned seed) : cluster(seed, options(seed)) {
    auto& sim = cluster.sim();
    const ClusterOptions& s = cluster.options();
    cluster.run_for(12);
    cluster.options().max_link_delay_s = sim.draw(0.05, 0.4);
    from = sim.now();
    const double arrivals = 240;
    const double load = sim.draw(1.1, 1.7);  // of the room
    // A class has its own band, sizes, times and share of the work; teams have theirs.
    struct Class {
      wire::JobSpec spec;
      double run_s, weight;
      std::uint32_t tasks;
    };
    std::vector<Class> classes;
    for (int c = 0; c < 5; ++c) {
      Class k;
      k.spec.job_class = "class-" + std::to_string(c);
      k.spec.priority = static_cast<wire::Priority>(c % wire::kPriorities);
      k.spec.gang = sim.chance(0.3);
      k.spec.same_zone = sim.chance(0.2);
      if (sim.chance(0.4)) {
        k.spec.checkpoint_s = sim.draw(5, 20);
        k.spec.save_s = sim.draw(1, 5);
      }
      k.run_s = sim.draw(5, 25);
      k.weight = sim.draw(0.5, 2);
      k.tasks = 1 + sim.rng()() % 4;
      classes.push_back(k);
    }
    std::vector<double> crowd;  // how much of the work is whose
    for (int t = 0; t < s.teams; ++t) crowd.push_back(sim.draw(0.5, 2));
    std::discrete_distribution<std::size_t> a_team(crowd.begin(), crowd.end());
    std::vector<double> weights;
    for (const auto& k : classes) weights.push_back(k.weight);
    std::discrete_distribution<std::size_t> a_class(weights.begin(), weights.end());
    for (double work = 0; work < load * room() * arrivals;) {
      const Class& k = classes[a_class(sim.rng())];
      const double sizes[] = {0.5, 1, 1, 2, 2, 4};
      wire::JobSpec j =
          spec(kTeam[a_team(sim.rng())], 1 + sim.rng()() % k.tasks, sizes[sim.rng()() % 6]);
      j.job_class = k.spec.job_class;
      j.priority = k.spec.priority;
      j.gang = k.spec.gang && j.tasks > 1 && j.tasks * j.cpus <= s.team_limit / 2;
      j.same_zone = k.spec.same_zone;
      j.checkpoint_s = k.spec.checkpoint_s;
      j.save_s = k.spec.save_s;
      j.service = all.size() % 40 == 20;
      if (j.service) {
        j.tasks = 1;
        j.cpus = 0.5;
      }
      j.estimate_s = k.run_s;
      Submitted sub;
      sub.cls = j.job_class;
      sub.team = j.team;
      sub.priority = j.priority;
      sub.size = j.cpus * (j.gang ? j.tasks : 1);
      for (std::uint32_t i = 0; i < j.tasks; ++i)
        sub.work += j.cpus * (j.service ? arrivals + kBegin : k.run_s * (1 + i % 3) + 2);
      // Spread over the time by its share of the work.
      sub.at = from + work / (load * room());
      work += sub.work;
      if (sub.at > sim.now()) cluster.run_for(sub.at - sim.now());
      sub.id = cluster.users().submit(j, k.run_s);
      sub.at = sim.now();
      all.push_back(sub);
    }
    cluster.run_for(kBegin + 10);
    cluster.options().max_link_delay_s = 0;
  }
};

struct Served {
  int of = 0, begun = 0;
  std::string late;
};
void expect_half(const std::map<std::string, Served>& served) {
  for (const auto& [what, n] : served)
    EXPECT_GE(2 * n.begun, n.of) << what << ": " << n.begun << " of " << n.of << n.late;
}

TEST(Limits, MoreWorkThanRoomServesHalfOfEachClassAndTeam) {
  int seeds = 0, waited = 0, unserved = 0;
  each_seed([&](unsigned seed) {
    ++seeds;
    Overload o(seed);
    std::map<std::string, Served> served;
    for (const auto& j : o.all) {
      waited += !o.begun(j, 30);
      unserved += !o.begun(j, 1e9);
      if (!o.possible(j)) continue;
      for (const auto& what : {"class " + j.cls, "team " + j.team}) {
        ++served[what].of;
        served[what].begun += o.begun(j, kBegin);
      }
    }
    expect_half(served);
    for (const auto& j : o.all)
      if (o.cluster.users().jobs().at(j.id).spec.service) o.cluster.users().cancel(j.id);
    calm_down(o.cluster);
    EXPECT_EQ(broken_so(o.cluster, "neglected", false), Strings{});
  });
  EXPECT_GT(waited, seeds * 10);  // there was more work than room
  ::testing::Test::RecordProperty("never_begun", unserved);
}

TEST(Limits, MoreWorkThanRoomBeginsHalfOfEachClassesLargestWithinFourMinutes) {
  int seeds = 0, possible = 0;
  each_seed([&](unsigned seed) {
    ++seeds;
    Overload o(seed);
    std::map<std::string, double> size;  // of a class's largest
    for (const auto& j : o.all) size[j.cls] = std::max(size[j.cls], j.size);
    std::map<std::string, Served> largest;
    for (const auto& j : o.all) {
      if (j.size < size[j.cls] || !o.possible(j)) continue;
      ++possible;
      Served& n = largest["largest of " + j.cls];
      ++n.of;
      n.begun += o.begun(j, kBegin);
      if (o.begun(j, kBegin)) continue;
      const wire::JobSpec& k = o.cluster.users().jobs().at(j.id).spec;
      n.late += "\n" + j.id + " of " + j.team + ", band " +
                std::to_string(static_cast<int>(k.priority)) + ", " + std::to_string(k.tasks) +
                " of " + std::to_string(k.cpus) + (k.gang ? ", a gang" : "") +
                (k.same_zone ? ", one zone" : "") + ", submitted at " + std::to_string(j.at) +
                ", begun at " + std::to_string(o.cluster.rules().first_run_at(j.id));
    }
    expect_half(largest);
  });
  EXPECT_GT(possible, seeds * 3);
}

}  // namespace
}  // namespace shunttrail::test
