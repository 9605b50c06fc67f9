/// The faults that fault combination tests select by name, and the jobs that the tests submit.
#pragma once
#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>
#include <functional>
#include <string>
#include <vector>

#include "simulation/simulated_cluster.h"

namespace shunttrail::test {

using simulation::ClusterOptions;
using simulation::FaultInjector;
using simulation::RuleChecker;
using simulation::SimulatedCluster;
using simulation::SimulatedJob;

/// Reads the seeds to play instead from SHUNTTRAIL_HISTORIES=FIRST-LAST. Returns false if it is
/// unset.
inline bool read_seed_range(unsigned& first, unsigned& last) {
  const char* range = std::getenv("SHUNTTRAIL_HISTORIES");
  if (!range) return false;
  if (std::sscanf(range, "%u-%u", &first, &last) != 2) ADD_FAILURE() << range;
  return true;
}

/// Plays the seeds from 1 to `last`, or those that SHUNTTRAIL_HISTORIES names.
inline void each_seed(unsigned last, const std::function<void(unsigned)>& play) {
  unsigned first = 1;
  read_seed_range(first, last);
  for (unsigned seed = first; seed <= last; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    play(seed);
  }
}

/// Returns the specification of a job of small tasks that may run on spot machines.
inline wire::JobSpec spec(const std::string& team, std::uint32_t tasks, double cpus = 1) {
  wire::JobSpec job;
  job.job_class = "c";
  job.team = team;
  job.image = "img";
  job.tasks = tasks;
  job.cpus = cpus;
  job.mem_gb = 1;
  job.image_gb = 1;
  job.spot = true;
  job.estimate_s = 20;
  return job;
}

/// A fault that begins when `begin` is called, with random durations and targets. The order of its
/// random draws is part of every history's digest.
struct NamedFault {
  const char* name;
  void (*begin)(SimulatedCluster& cluster);
};

namespace faults {

inline int random_machine(SimulatedCluster& cluster) {
  return static_cast<int>(cluster.sim().rng()() % static_cast<unsigned>(cluster.machines().size()));
}

inline int random_node(SimulatedCluster& cluster) {
  return static_cast<int>(cluster.sim().rng()() %
                          static_cast<unsigned>(cluster.options().controllers));
}

/// Cancels this share of the unfinished jobs, each through any controller. Returns their ids.
inline std::vector<std::string> cancel_some(SimulatedCluster& cluster, double share) {
  std::vector<std::string> cancelled;
  for (const auto& [id, job] : cluster.users().jobs())
    if (job.accepted && !job.cancel_requested && job.done_reported_at < 0 &&
        cluster.sim().chance(share))
      cancelled.push_back(id);
  for (const auto& id : cancelled) cluster.users().cancel(id);
  return cancelled;
}

/// Submits jobs of the highest priority, for which other tasks are preempted.
inline void submit_urgent(SimulatedCluster& cluster, int jobs) {
  for (int i = 0; i < jobs; ++i) {
    wire::JobSpec urgent = spec(i % 2 ? "red" : "blue", 2, 2);
    urgent.priority = wire::Priority::critical;
    cluster.users().submit(urgent, cluster.sim().draw(3, 12));
  }
}

/// Sets an option to this value, and back to 0 after 20 s to `max_s`.
inline void set_temporarily(SimulatedCluster& cluster, double ClusterOptions::*option, double value,
                            double max_s = 60) {
  cluster.options().*option = value;
  cluster.sim().at(cluster.now() + cluster.sim().draw(20, max_s),
                   [&cluster, option] { cluster.options().*option = 0; });
}

/// Cuts a random leader off from these links (FaultInjector::Link).
inline void cut_leader(SimulatedCluster& cluster, int links) {
  const double for_s = cluster.sim().draw(3, 60);
  cluster.faults().cut(cluster.controllers().random_leader(), links, for_s);
}

/// Begins the fault on `machines` random machines, each for `min_s` to `max_s`.
inline void apply_to_machines(SimulatedCluster& cluster, int machines,
                              void (FaultInjector::*fault)(int machine, double for_s), double min_s,
                              double max_s) {
  for (int i = 0; i < machines; ++i) {
    const double for_s = cluster.sim().draw(min_s, max_s);
    (cluster.faults().*fault)(random_machine(cluster), for_s);
  }
}

// ---- requests

inline void copy_heartbeats(SimulatedCluster& cluster) {
  set_temporarily(cluster, &ClusterOptions::heartbeat_copies, 0.4);
}
inline void delay_writes(SimulatedCluster& cluster) {
  set_temporarily(cluster, &ClusterOptions::late_writes, cluster.sim().draw(0.1, 0.5));
}
inline void lose_write_answers(SimulatedCluster& cluster) {
  set_temporarily(cluster, &ClusterOptions::lost_answers, cluster.sim().draw(0.1, 0.6));
}
inline void copy_heartbeats_to_next_leader(SimulatedCluster& cluster) {
  set_temporarily(cluster, &ClusterOptions::copies_for_next_leader, cluster.sim().draw(0.1, 0.5),
                  90);
}
inline void slow_links(SimulatedCluster& cluster) {
  set_temporarily(cluster, &ClusterOptions::max_link_delay_s, cluster.sim().draw(0.2, 1));
}

// ---- state service and cloud

inline void slow_state(SimulatedCluster& cluster) {
  const double for_s = cluster.sim().draw(10, 40);
  cluster.faults().slow_state(cluster.sim().draw(0.2, 2.5), for_s);
}
inline void refuse_leader(SimulatedCluster& cluster) {
  const double for_s = cluster.sim().draw(3, 40);
  cluster.faults().refuse(cluster.controllers().random_leader(), for_s);
}
inline void outage(SimulatedCluster& cluster) {
  cluster.faults().outage(cluster.sim().draw(3, 70));
}
inline void cloud_outage(SimulatedCluster& cluster) {
  cluster.faults().cloud_outage(cluster.sim().draw(20, 120));
}

// The state service refuses one controller while jobs are cancelled. Then it has an outage that is
// longer than `cancel_s`.
inline void refuse_leader_before_outage(SimulatedCluster& cluster) {
  const double outage_s = cluster.options().cancel_s + cluster.sim().draw(2, 25);
  const double refused_s = 1 + cluster.sim().draw(0, outage_s + 10);
  cluster.faults().refuse(cluster.controllers().random_leader(), refused_s);
  cancel_some(cluster, 0.7);
  cluster.sim().at(cluster.now() + 1, [&cluster, outage_s] { cluster.faults().outage(outage_s); });
}

// ---- controllers

inline void cut_leader_from_state(SimulatedCluster& cluster) {
  cut_leader(cluster, FaultInjector::state);
}
inline void cut_leader_from_state_and_peers(SimulatedCluster& cluster) {
  cut_leader(cluster, FaultInjector::state | FaultInjector::peers);
}
inline void cut_leader_from_workers(SimulatedCluster& cluster) {
  cut_leader(cluster, FaultInjector::workers);
}
inline void cut_leader_from_all(SimulatedCluster& cluster) {
  cut_leader(cluster, FaultInjector::state | FaultInjector::peers | FaultInjector::workers);
}
inline void kill_leader(SimulatedCluster& cluster) {
  const double back_after_s = cluster.sim().draw(0.05, 15);
  cluster.faults().kill(cluster.controllers().random_leader(), back_after_s);
}
inline void kill_all_controllers(SimulatedCluster& cluster) {
  for (int node = 0; node < cluster.options().controllers; ++node)
    cluster.faults().kill(node, cluster.sim().draw(0.05, 10));
}
inline void kill_all_controllers_beyond_lease(SimulatedCluster& cluster) {
  for (int node = 0; node < cluster.options().controllers; ++node)
    cluster.faults().kill(node, cluster.options().lease_s + cluster.sim().draw(1, 15));
}
inline void restart_one_by_one(SimulatedCluster& cluster) {
  double at = cluster.now();
  for (int node = 0; node < cluster.options().controllers; ++node) {
    at += cluster.sim().draw(0.1, 3);
    cluster.sim().at(at, [&cluster, node] { cluster.faults().kill(node, 0.2); });
  }
}
inline void freeze_node(SimulatedCluster& cluster) {
  const double for_s = cluster.sim().draw(1, 35);
  cluster.faults().freeze(random_node(cluster), for_s);
}
inline void freeze_leader(SimulatedCluster& cluster) {
  const double for_s = cluster.sim().draw(1, 35);
  cluster.faults().freeze(cluster.controllers().random_leader(), for_s);
}
inline void freeze_leader_between_turns(SimulatedCluster& cluster) {
  const double for_s = cluster.sim().draw(1, 30);
  const std::uint64_t turns = 1 + cluster.sim().rng()() % 3000;
  cluster.faults().freeze_after(cluster.controllers().random_leader(), turns, for_s);
}
inline void cut_zone(SimulatedCluster& cluster) {
  const double for_s = cluster.options().lease_s + cluster.sim().draw(1, 30);
  cluster.faults().cut_zone(cluster.sim().chance(0.5) ? "a" : "b", for_s);
}

// Ends a random leader's process, or cuts it off for longer than its lease on the shard.
inline void change_leader(SimulatedCluster& cluster) {
  if (cluster.sim().chance(0.6)) {
    const double back_after_s = cluster.sim().draw(0.05, 8);
    cluster.faults().kill(cluster.controllers().random_leader(), back_after_s);
    return;
  }
  const int links = FaultInjector::state | (cluster.sim().chance(0.5) ? FaultInjector::peers : 0);
  cluster.faults().cut(cluster.controllers().random_leader(), links, 11);
}
inline void change_leaders_ten_times(SimulatedCluster& cluster) {
  for (int i = 0; i < 10; ++i)
    cluster.sim().at(cluster.now() + 12 * i + cluster.sim().draw(0, 8),
                     [&cluster] { change_leader(cluster); });
  if (!cluster.sim().chance(0.5)) return;
  const double outage_s = cluster.sim().draw(5, 60);
  cluster.sim().at(cluster.now() + cluster.sim().draw(0, 60),
                   [&cluster, outage_s] { cluster.faults().outage(outage_s); });
}

// ---- machines

inline void lose_responses(SimulatedCluster& cluster) {
  apply_to_machines(cluster, 3, &FaultInjector::lose_responses, 5, 60);
}
inline void cut_heartbeats(SimulatedCluster& cluster) {
  apply_to_machines(cluster, 3, &FaultInjector::cut_heartbeats, 5, 60);
}
inline void hang_machines(SimulatedCluster& cluster) {
  apply_to_machines(cluster, 2, &FaultInjector::hang, 2, 40);
}
inline void hang_machines_beyond_lease(SimulatedCluster& cluster) {
  apply_to_machines(cluster, 3, &FaultInjector::hang, 5, cluster.options().cancel_s + 25);
}
inline void hold_direct_commands(SimulatedCluster& cluster) {
  apply_to_machines(cluster, 3, &FaultInjector::hold_direct_commands, 3, 60);
}
inline void hang_machines_repeatedly(SimulatedCluster& cluster) {
  for (int i = 0; i < 3; ++i) {
    const int times = 2 + static_cast<int>(cluster.sim().rng()() % 4);
    cluster.faults().hang_repeatedly(random_machine(cluster), times);
  }
}
inline void kill_machine(SimulatedCluster& cluster) {
  cluster.faults().kill_machine(random_machine(cluster));
}
inline void reclaim_spot_machines(SimulatedCluster& cluster) {
  for (int i = 0; i < 2; ++i) {
    const double notice_s = cluster.sim().chance(0.2) ? 0 : cluster.sim().draw(10, 30);
    cluster.faults().reclaim_machine(random_machine(cluster), notice_s);
  }
}
inline void boot_machines_quickly(SimulatedCluster& cluster) {
  cluster.options().max_boot_s = cluster.sim().draw(0.3, 2);
  cluster.sim().at(cluster.now() + 90, [&cluster] { cluster.options().max_boot_s = 0; });
  for (int i = 0; i < 2; ++i) kill_machine(cluster);
}

// ---- cancellations and preemption

inline void hang_machine_soon(SimulatedCluster& cluster, int machine) {
  const double for_s = cluster.sim().draw(2, 60);
  const bool repeatedly = cluster.sim().chance(0.3);
  cluster.sim().at(cluster.now() + cluster.sim().draw(0, 2),
                   [&cluster, machine, for_s, repeatedly] {
                     if (repeatedly)
                       cluster.faults().hang_repeatedly(machine, 3);
                     else
                       cluster.faults().hang(machine, for_s);
                   });
}
inline void cancel_many_and_hang_machines(SimulatedCluster& cluster) {
  int machines_left = 8;
  for (const auto& id : cancel_some(cluster, cluster.sim().draw(0.4, 0.9)))
    for (const int machine : cluster.machines().with_job(id)) {
      if (machines_left == 0 || cluster.sim().chance(0.2)) continue;
      --machines_left;
      hang_machine_soon(cluster, machine);
    }
}
inline void preempt_and_cancel(SimulatedCluster& cluster) {
  submit_urgent(cluster, 6);
  cluster.sim().at(cluster.now() + cluster.sim().draw(2, 15),
                   [&cluster] { cancel_some(cluster, 0.5); });
}

// A leader gets heartbeats only through other controllers, while its direct commands and the
// answers to them are delayed and jobs are cancelled.
inline void hold_commands_and_relay_heartbeats(SimulatedCluster& cluster) {
  const double for_s = cluster.sim().draw(10, 100);
  cluster.faults().cut(cluster.controllers().random_leader(), FaultInjector::heartbeats, for_s);
  for (int machine = 0; machine < cluster.machines().size(); ++machine) {
    if (cluster.sim().chance(0.7))
      cluster.faults().hold_direct_commands(machine, for_s * cluster.sim().draw(0.5, 1.5));
    if (cluster.sim().chance(0.5))
      cluster.faults().hold_direct_answers(machine, for_s * cluster.sim().draw(0.5, 1.5));
  }
  cluster.sim().at(cluster.now() + cluster.sim().draw(0, 10),
                   [&cluster] { cancel_some(cluster, 0.4); });
}

}  // namespace faults

/// All faults. Histories draw them by their position, and history_digests prints their names, so
/// the order and the names stay as they are for digests to be comparable.
inline const std::vector<NamedFault>& named_faults() {
  static const std::vector<NamedFault> all = {
      {"late reports", faults::copy_heartbeats},
      {"late writes", faults::delay_writes},
      {"slow state service", faults::slow_state},
      {"leader refused alone", faults::refuse_leader},
      {"outage", faults::outage},
      {"leader cut from state", faults::cut_leader_from_state},
      {"leader cut from state and peers", faults::cut_leader_from_state_and_peers},
      {"leader cut from workers", faults::cut_leader_from_workers},
      {"leader cut from all", faults::cut_leader_from_all},
      {"machines deaf", faults::lose_responses},
      {"machines hang", faults::hang_machines},
      {"direct orders held", faults::hold_direct_commands},
      {"leader ends", faults::kill_leader},
      {"all end", faults::kill_all_controllers},
      {"roll and back", faults::restart_one_by_one},
      {"a node stands still", faults::freeze_node},
      {"leader stands still", faults::freeze_leader},
      {"leader stands still between two turns", faults::freeze_leader_between_turns},
      {"cloud down", faults::cloud_outage},
      {"a machine dies", faults::kill_machine},
      {"machines mute", faults::cut_heartbeats},
      {"machines hang for long", faults::hang_machines_beyond_lease},
      {"machines hang in chains", faults::hang_machines_repeatedly},
      {"writes answered by nothing but done", faults::lose_write_answers},
      {"reports kept for the next leader", faults::copy_heartbeats_to_next_leader},
      {"many cancelled and their machines hang", faults::cancel_many_and_hang_machines},
      {"others make room and are cancelled", faults::preempt_and_cancel},
      {"spot machines are taken", faults::reclaim_spot_machines},
      {"a zone cut with its controller", faults::cut_zone},
      {"all away for longer than the lease", faults::kill_all_controllers_beyond_lease},
      {"leaders change ten times", faults::change_leaders_ten_times},
      {"slow links", faults::slow_links},
      {"new machines up at once", faults::boot_machines_quickly},
      {"orders held and reports passed on", faults::hold_commands_and_relay_heartbeats},
      {"refused alone with cancellations, then out", faults::refuse_leader_before_outage},
  };
  return all;
}

}  // namespace shunttrail::test
