/// The faults that tests of fault combinations order by name, and the jobs that go with them.
#pragma once
#include <string>
#include <vector>

#include "simulation/simulated_cluster.h"

namespace shunttrail::test {

using simulation::ClusterOptions;
using simulation::FaultInjector;
using simulation::RuleChecker;
using simulation::SimulatedCluster;
using simulation::SimulatedJob;

/// A job of small tasks that may run on spot machines.
inline wire::JobSpec spec(const std::string& team, std::uint32_t tasks, double cpus = 1) {
  wire::JobSpec s;
  s.job_class = "c";
  s.team = team;
  s.image = "img";
  s.tasks = tasks;
  s.cpus = cpus;
  s.mem_gb = 1;
  s.image_gb = 1;
  s.spot = true;
  s.estimate_s = 20;
  return s;
}

/// A fault that begins when it is called, with drawn times and targets. The order in which it draws
/// is part of every history's digest.
struct NamedFault {
  const char* name;
  void (*begin)(SimulatedCluster& cluster);
};

namespace faults {

inline int random_machine(SimulatedCluster& c) {
  return static_cast<int>(c.sim().rng()() % static_cast<unsigned>(c.machines().size()));
}

inline int random_node(SimulatedCluster& c) {
  return static_cast<int>(c.sim().rng()() % static_cast<unsigned>(c.options().controllers));
}

/// Cancels this share of the jobs that are not over, through any controllers.
inline std::vector<std::string> cancel_some(SimulatedCluster& c, double share) {
  std::vector<std::string> cancelled;
  for (const auto& [id, job] : c.users().jobs())
    if (job.accepted && !job.cancel_requested && job.done_reported_at < 0 && c.sim().chance(share))
      cancelled.push_back(id);
  for (const auto& id : cancelled) c.users().cancel(id);
  return cancelled;
}

/// Submits work of the highest priority, which other work is preempted for.
inline void submit_urgent(SimulatedCluster& c, int jobs) {
  for (int i = 0; i < jobs; ++i) {
    wire::JobSpec urgent = spec(i % 2 ? "red" : "blue", 2, 2);
    urgent.priority = wire::Priority::critical;
    c.users().submit(urgent, c.sim().draw(3, 12));
  }
}

/// Sets an option to this value, and to 0 again after 20 s to `longest_s`.
inline void set_for_a_while(SimulatedCluster& c, double ClusterOptions::*option, double value,
                            double longest_s = 60) {
  c.options().*option = value;
  c.sim().at(c.now() + c.sim().draw(20, longest_s), [&c, option] { c.options().*option = 0; });
}

/// Cuts a leader from what these links (FaultInjector::Link) lead to.
inline void cut_leader(SimulatedCluster& c, int links) {
  const double for_s = c.sim().draw(3, 60);
  c.faults().cut(c.controllers().random_leader(), links, for_s);
}

/// Orders the fault for so many drawn machines, each for `shortest_s` to `longest_s`.
inline void on_machines(SimulatedCluster& c, int machines,
                        void (FaultInjector::*fault)(int machine, double for_s), double shortest_s,
                        double longest_s) {
  for (int i = 0; i < machines; ++i) {
    const double for_s = c.sim().draw(shortest_s, longest_s);
    (c.faults().*fault)(random_machine(c), for_s);
  }
}

// ---- requests

inline void copy_heartbeats(SimulatedCluster& c) {
  set_for_a_while(c, &ClusterOptions::heartbeat_copies, 0.4);
}
inline void delay_writes(SimulatedCluster& c) {
  set_for_a_while(c, &ClusterOptions::late_writes, c.sim().draw(0.1, 0.5));
}
inline void lose_write_answers(SimulatedCluster& c) {
  set_for_a_while(c, &ClusterOptions::lost_answers, c.sim().draw(0.1, 0.6));
}
inline void keep_heartbeats_for_next_leader(SimulatedCluster& c) {
  set_for_a_while(c, &ClusterOptions::copies_for_next_leader, c.sim().draw(0.1, 0.5), 90);
}
inline void slow_links(SimulatedCluster& c) {
  set_for_a_while(c, &ClusterOptions::max_link_delay_s, c.sim().draw(0.2, 1));
}

// ---- state service and cloud

inline void slow_state(SimulatedCluster& c) {
  const double for_s = c.sim().draw(10, 40);
  c.faults().slow_state(c.sim().draw(0.2, 2.5), for_s);
}
inline void refuse_leader(SimulatedCluster& c) {
  const double for_s = c.sim().draw(3, 40);
  c.faults().refuse(c.controllers().random_leader(), for_s);
}
inline void outage(SimulatedCluster& c) { c.faults().outage(c.sim().draw(3, 70)); }
inline void cloud_outage(SimulatedCluster& c) { c.faults().cloud_outage(c.sim().draw(20, 120)); }

// One controller is refused while jobs are cancelled; then the state service is down for all, for
// longer than a cancellation may take.
inline void refuse_leader_before_outage(SimulatedCluster& c) {
  const double outage_s = c.options().cancel_s + c.sim().draw(2, 25);
  const double refused_s = 1 + c.sim().draw(0, outage_s + 10);
  c.faults().refuse(c.controllers().random_leader(), refused_s);
  cancel_some(c, 0.7);
  c.sim().at(c.now() + 1, [&c, outage_s] { c.faults().outage(outage_s); });
}

// ---- controllers

inline void cut_leader_from_state(SimulatedCluster& c) { cut_leader(c, FaultInjector::state); }
inline void cut_leader_from_state_and_peers(SimulatedCluster& c) {
  cut_leader(c, FaultInjector::state | FaultInjector::peers);
}
inline void cut_leader_from_workers(SimulatedCluster& c) { cut_leader(c, FaultInjector::workers); }
inline void cut_leader_from_all(SimulatedCluster& c) {
  cut_leader(c, FaultInjector::state | FaultInjector::peers | FaultInjector::workers);
}
inline void kill_leader(SimulatedCluster& c) {
  const double back_after_s = c.sim().draw(0.05, 15);
  c.faults().kill(c.controllers().random_leader(), back_after_s);
}
inline void kill_all_controllers(SimulatedCluster& c) {
  for (int node = 0; node < c.options().controllers; ++node)
    c.faults().kill(node, c.sim().draw(0.05, 10));
}
inline void kill_all_controllers_beyond_lease(SimulatedCluster& c) {
  for (int node = 0; node < c.options().controllers; ++node)
    c.faults().kill(node, c.options().lease_s + c.sim().draw(1, 15));
}
inline void restart_one_by_one(SimulatedCluster& c) {
  double at = c.now();
  for (int node = 0; node < c.options().controllers; ++node) {
    at += c.sim().draw(0.1, 3);
    c.sim().at(at, [&c, node] { c.faults().kill(node, 0.2); });
  }
}
inline void freeze_node(SimulatedCluster& c) {
  const double for_s = c.sim().draw(1, 35);
  c.faults().freeze(random_node(c), for_s);
}
inline void freeze_leader(SimulatedCluster& c) {
  const double for_s = c.sim().draw(1, 35);
  c.faults().freeze(c.controllers().random_leader(), for_s);
}
inline void freeze_leader_between_turns(SimulatedCluster& c) {
  const double for_s = c.sim().draw(1, 30);
  const std::uint64_t turns = 1 + c.sim().rng()() % 3000;
  c.faults().freeze_after(c.controllers().random_leader(), turns, for_s);
}
inline void cut_zone(SimulatedCluster& c) {
  const double for_s = c.options().lease_s + c.sim().draw(1, 30);
  c.faults().cut_zone(c.sim().chance(0.5) ? "a" : "b", for_s);
}

// Ends a leader, or cuts it off for longer than its lease on the shard.
inline void change_leader(SimulatedCluster& c) {
  if (c.sim().chance(0.6)) {
    const double back_after_s = c.sim().draw(0.05, 8);
    c.faults().kill(c.controllers().random_leader(), back_after_s);
    return;
  }
  const int links = FaultInjector::state | (c.sim().chance(0.5) ? FaultInjector::peers : 0);
  c.faults().cut(c.controllers().random_leader(), links, 11);
}
inline void change_leaders_ten_times(SimulatedCluster& c) {
  for (int i = 0; i < 10; ++i)
    c.sim().at(c.now() + 12 * i + c.sim().draw(0, 8), [&c] { change_leader(c); });
  if (!c.sim().chance(0.5)) return;
  const double outage_s = c.sim().draw(5, 60);
  c.sim().at(c.now() + c.sim().draw(0, 60), [&c, outage_s] { c.faults().outage(outage_s); });
}

// ---- machines

inline void lose_responses(SimulatedCluster& c) {
  on_machines(c, 3, &FaultInjector::lose_responses, 5, 60);
}
inline void cut_heartbeats(SimulatedCluster& c) {
  on_machines(c, 3, &FaultInjector::cut_heartbeats, 5, 60);
}
inline void hang_machines(SimulatedCluster& c) { on_machines(c, 2, &FaultInjector::hang, 2, 40); }
inline void hang_machines_beyond_lease(SimulatedCluster& c) {
  on_machines(c, 3, &FaultInjector::hang, 5, c.options().cancel_s + 25);
}
inline void hold_direct_commands(SimulatedCluster& c) {
  on_machines(c, 3, &FaultInjector::hold_direct_commands, 3, 60);
}
inline void hang_machines_in_chains(SimulatedCluster& c) {
  for (int i = 0; i < 3; ++i) {
    const int times = 2 + static_cast<int>(c.sim().rng()() % 4);
    c.faults().hang_repeatedly(random_machine(c), times);
  }
}
inline void kill_machine(SimulatedCluster& c) { c.faults().kill_machine(random_machine(c)); }
inline void take_spot_machines(SimulatedCluster& c) {
  for (int i = 0; i < 2; ++i) {
    const double notice_s = c.sim().chance(0.2) ? 0 : c.sim().draw(10, 30);
    c.faults().reclaim_machine(random_machine(c), notice_s);
  }
}
inline void boot_machines_at_once(SimulatedCluster& c) {
  c.options().max_boot_s = c.sim().draw(0.3, 2);
  c.sim().at(c.now() + 90, [&c] { c.options().max_boot_s = 0; });
  for (int i = 0; i < 2; ++i) kill_machine(c);
}

// ---- cancellations and preemption

inline void hang_machine_soon(SimulatedCluster& c, int machine) {
  const double for_s = c.sim().draw(2, 60);
  const bool in_chain = c.sim().chance(0.3);
  c.sim().at(c.now() + c.sim().draw(0, 2), [&c, machine, for_s, in_chain] {
    if (in_chain)
      c.faults().hang_repeatedly(machine, 3);
    else
      c.faults().hang(machine, for_s);
  });
}
inline void cancel_many_and_hang_machines(SimulatedCluster& c) {
  int machines_left = 8;
  for (const auto& id : cancel_some(c, c.sim().draw(0.4, 0.9)))
    for (const int machine : c.machines().with_job(id)) {
      if (machines_left == 0 || c.sim().chance(0.2)) continue;
      --machines_left;
      hang_machine_soon(c, machine);
    }
}
inline void preempt_and_cancel(SimulatedCluster& c) {
  submit_urgent(c, 6);
  c.sim().at(c.now() + c.sim().draw(2, 15), [&c] { cancel_some(c, 0.5); });
}

// A leader gets heartbeats only through others, while its direct commands and their answers are
// held on the way and jobs are cancelled.
inline void hold_commands_and_relay_heartbeats(SimulatedCluster& c) {
  const double for_s = c.sim().draw(10, 100);
  c.faults().cut(c.controllers().random_leader(), FaultInjector::heartbeats, for_s);
  for (int machine = 0; machine < c.machines().size(); ++machine) {
    if (c.sim().chance(0.7))
      c.faults().hold_direct_commands(machine, for_s * c.sim().draw(0.5, 1.5));
    if (c.sim().chance(0.5))
      c.faults().hold_direct_answers(machine, for_s * c.sim().draw(0.5, 1.5));
  }
  c.sim().at(c.now() + c.sim().draw(0, 10), [&c] { cancel_some(c, 0.4); });
}

}  // namespace faults

/// All faults. Histories draw them by their place, and the names are printed with digests: neither
/// may change if digests are to be compared.
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
      {"machines hang in chains", faults::hang_machines_in_chains},
      {"writes answered by nothing but done", faults::lose_write_answers},
      {"reports kept for the next leader", faults::keep_heartbeats_for_next_leader},
      {"many cancelled and their machines hang", faults::cancel_many_and_hang_machines},
      {"others make room and are cancelled", faults::preempt_and_cancel},
      {"spot machines are taken", faults::take_spot_machines},
      {"a zone cut with its controller", faults::cut_zone},
      {"all away for longer than the lease", faults::kill_all_controllers_beyond_lease},
      {"leaders change ten times", faults::change_leaders_ten_times},
      {"slow links", faults::slow_links},
      {"new machines up at once", faults::boot_machines_at_once},
      {"orders held and reports passed on", faults::hold_commands_and_relay_heartbeats},
      {"refused alone with cancellations, then out", faults::refuse_leader_before_outage},
  };
  return all;
}

}  // namespace shunttrail::test
