// What the tests of fault combinations share: jobs, faults by name, and drawn histories.
#pragma once
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "simulation/simulated_cluster.h"

namespace shunttrail::test {

using simulation::ClusterOptions;
using simulation::SimulatedCluster;

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

// ---- faults by name

struct Trouble {
  const char* name;
  std::function<void(SimulatedCluster&)> begin;
};

inline int some_machine(SimulatedCluster& s) {
  return static_cast<int>(s.sim().rng()() % s.machines());
}
inline int some_node(SimulatedCluster& s) {
  return static_cast<int>(s.sim().rng()() % s.options().controllers);
}

// Cancels this share of the jobs that are not over, through any controllers.
inline std::vector<std::string> cancel_some(SimulatedCluster& s, double share) {
  std::vector<std::string> out;
  for (const auto& [id, j] : s.jobs())
    if (j.accepted && !j.cancel_asked && j.told_done < 0 && s.sim().chance(share))
      out.push_back(id);
  for (const auto& id : out) s.cancel(id);
  return out;
}
// Work of the highest band, which others make room for.
inline void submit_urgent(SimulatedCluster& s, int jobs) {
  for (int i = 0; i < jobs; ++i) {
    wire::JobSpec urgent = spec(i % 2 ? "red" : "blue", 2, 2);
    urgent.priority = wire::Priority::critical;
    s.submit(urgent, s.sim().draw(3, 12));
  }
}

inline const std::vector<Trouble>& troubles() {
  static const std::vector<Trouble> all = {
      {"late reports",
       [](SimulatedCluster& s) {
         s.options().heartbeat_copies = 0.4;
         s.sim().at(s.now() + s.sim().draw(20, 60), [&s] { s.options().heartbeat_copies = 0; });
       }},
      {"late writes",
       [](SimulatedCluster& s) {
         s.options().late_writes = s.sim().draw(0.1, 0.5);
         s.sim().at(s.now() + s.sim().draw(20, 60), [&s] { s.options().late_writes = 0; });
       }},
      {"slow state service",
       [](SimulatedCluster& s) { s.slow_state(s.sim().draw(0.2, 2.5), s.sim().draw(10, 40)); }},
      {"leader refused alone",
       [](SimulatedCluster& s) { s.refuse(s.busiest(), s.sim().draw(3, 40)); }},
      {"outage", [](SimulatedCluster& s) { s.outage(s.sim().draw(3, 70)); }},
      {"leader cut from state",
       [](SimulatedCluster& s) {
         s.cut(s.busiest(), SimulatedCluster::state, s.sim().draw(3, 60));
       }},
      {"leader cut from state and peers",
       [](SimulatedCluster& s) {
         s.cut(s.busiest(), SimulatedCluster::state | SimulatedCluster::peers, s.sim().draw(3, 60));
       }},
      {"leader cut from workers",
       [](SimulatedCluster& s) {
         s.cut(s.busiest(), SimulatedCluster::workers, s.sim().draw(3, 60));
       }},
      {"leader cut from all",
       [](SimulatedCluster& s) {
         s.cut(s.busiest(),
               SimulatedCluster::state | SimulatedCluster::peers | SimulatedCluster::workers,
               s.sim().draw(3, 60));
       }},
      {"machines deaf",
       [](SimulatedCluster& s) {
         for (int i = 0; i < 3; ++i) s.lose_responses(some_machine(s), s.sim().draw(5, 60));
       }},
      {"machines hang",
       [](SimulatedCluster& s) {
         for (int i = 0; i < 2; ++i) s.hang(some_machine(s), s.sim().draw(2, 40));
       }},
      {"direct orders held",
       [](SimulatedCluster& s) {
         for (int i = 0; i < 3; ++i) s.hold_direct_commands(some_machine(s), s.sim().draw(3, 60));
       }},
      {"leader ends", [](SimulatedCluster& s) { s.kill(s.busiest(), s.sim().draw(0.05, 15)); }},
      {"all end",
       [](SimulatedCluster& s) {
         for (int n = 0; n < s.options().controllers; ++n) s.kill(n, s.sim().draw(0.05, 10));
       }},
      {"roll and back",
       [](SimulatedCluster& s) {
         double at = s.now();
         for (int n = 0; n < s.options().controllers; ++n)
           s.sim().at(at += s.sim().draw(0.1, 3), [&s, n] { s.kill(n, 0.2); });
       }},
      {"a node stands still",
       [](SimulatedCluster& s) { s.freeze(some_node(s), s.sim().draw(1, 35)); }},
      {"leader stands still",
       [](SimulatedCluster& s) { s.freeze(s.busiest(), s.sim().draw(1, 35)); }},
      {"leader stands still between two turns",
       [](SimulatedCluster& s) {
         s.freeze_after(s.busiest(), 1 + s.sim().rng()() % 3000, s.sim().draw(1, 30));
       }},
      {"cloud down", [](SimulatedCluster& s) { s.cloud_outage(s.sim().draw(20, 120)); }},
      {"a machine dies", [](SimulatedCluster& s) { s.kill_machine(some_machine(s)); }},
      {"machines mute",
       [](SimulatedCluster& s) {
         for (int i = 0; i < 3; ++i) s.cut_heartbeats(some_machine(s), s.sim().draw(5, 60));
       }},
      {"machines hang for long",
       [](SimulatedCluster& s) {
         const double longest = s.options().cancel_s + 25;
         for (int i = 0; i < 3; ++i) s.hang(some_machine(s), s.sim().draw(5, longest));
       }},
      {"machines hang in chains",
       [](SimulatedCluster& s) {
         for (int i = 0; i < 3; ++i)
           s.hang_in_chains(some_machine(s), 2 + static_cast<int>(s.sim().rng()() % 4));
       }},
      {"writes answered by nothing but done",
       [](SimulatedCluster& s) {
         s.options().lost_answers = s.sim().draw(0.1, 0.6);
         s.sim().at(s.now() + s.sim().draw(20, 60), [&s] { s.options().lost_answers = 0; });
       }},
      {"reports kept for the next leader",
       [](SimulatedCluster& s) {
         s.options().copies_for_next = s.sim().draw(0.1, 0.5);
         s.sim().at(s.now() + s.sim().draw(20, 90), [&s] { s.options().copies_for_next = 0; });
       }},
      {"many cancelled and their machines hang",
       [](SimulatedCluster& s) {
         std::vector<std::string> jobs = cancel_some(s, s.sim().draw(0.4, 0.9));
         int left = 8;
         for (const auto& id : jobs)
           for (int m : s.machines_with(id)) {
             if (left == 0 || s.sim().chance(0.2)) continue;
             --left;
             const double for_s = s.sim().draw(2, 60);
             const bool chain = s.sim().chance(0.3);
             s.sim().at(s.now() + s.sim().draw(0, 2), [&s, m, for_s, chain] {
               if (chain)
                 s.hang_in_chains(m, 3);
               else
                 s.hang(m, for_s);
             });
           }
       }},
      {"others make room and are cancelled",
       [](SimulatedCluster& s) {
         submit_urgent(s, 6);
         s.sim().at(s.now() + s.sim().draw(2, 15), [&s] { cancel_some(s, 0.5); });
       }},
      {"spot machines are taken",
       [](SimulatedCluster& s) {
         for (int i = 0; i < 2; ++i)
           s.take_machine(some_machine(s), s.sim().chance(0.2) ? 0 : s.sim().draw(10, 30));
       }},
      {"a zone cut with its controller",
       [](SimulatedCluster& s) {
         s.cut_zone(s.sim().chance(0.5) ? "a" : "b", s.options().lease_s + s.sim().draw(1, 30));
       }},
      {"all away for longer than the lease",
       [](SimulatedCluster& s) {
         for (int n = 0; n < s.options().controllers; ++n)
           s.kill(n, s.options().lease_s + s.sim().draw(1, 15));
       }},
      {"leaders change ten times",
       [](SimulatedCluster& s) {
         for (int i = 0; i < 10; ++i)
           s.sim().at(s.now() + 12 * i + s.sim().draw(0, 8), [&s] {
             if (s.sim().chance(0.6))
               s.kill(s.busiest(), s.sim().draw(0.05, 8));
             else
               s.cut(s.busiest(),
                     SimulatedCluster::state | (s.sim().chance(0.5) ? SimulatedCluster::peers : 0),
                     11);
           });
         if (s.sim().chance(0.5)) {
           const double for_s = s.sim().draw(5, 60);
           s.sim().at(s.now() + s.sim().draw(0, 60), [&s, for_s] { s.outage(for_s); });
         }
       }},
      {"slow links",
       [](SimulatedCluster& s) {
         s.options().slow_links_s = s.sim().draw(0.2, 1);
         s.sim().at(s.now() + s.sim().draw(20, 60), [&s] { s.options().slow_links_s = 0; });
       }},
      {"new machines up at once",
       [](SimulatedCluster& s) {
         s.options().quick_boots_s = s.sim().draw(0.3, 2);
         s.sim().at(s.now() + 90, [&s] { s.options().quick_boots_s = 0; });
         for (int i = 0; i < 2; ++i) s.kill_machine(some_machine(s));
       }},
      {"orders held and reports passed on",
       [](SimulatedCluster& s) {
         const double for_s = s.sim().draw(10, 100);
         s.cut(s.busiest(), SimulatedCluster::reports, for_s);
         for (int m = 0; m < s.machines(); ++m) {
           if (s.sim().chance(0.7)) s.hold_direct_commands(m, for_s * s.sim().draw(0.5, 1.5));
           if (s.sim().chance(0.5)) s.hold_direct_answers(m, for_s * s.sim().draw(0.5, 1.5));
         }
         s.sim().at(s.now() + s.sim().draw(0, 10), [&s] { cancel_some(s, 0.4); });
       }},
      {"refused alone with cancellations, then out",
       [](SimulatedCluster& s) {
         const double out_s = s.options().cancel_s + s.sim().draw(2, 25);
         s.refuse(s.busiest(), 1 + s.sim().draw(0, out_s + 10));
         cancel_some(s, 0.7);
         s.sim().at(s.now() + 1, [&s, out_s] { s.outage(out_s); });
       }},
  };
  return all;
}

struct Played {
  std::vector<std::string> broken, names;
  std::size_t done = 0;
  std::vector<std::string> unfinished;  // and what they are
  std::uint64_t begun_again = 0, saves = 0;
  SimulatedCluster::AfterCancel after_cancel;
  std::uint64_t digest = 0;  // of the whole history, see Simulation::digest
};

// For a share of the seeds any settings that are accepted, and rates near what a set needs.
inline ClusterOptions drawn_scale(unsigned seed) {
  std::mt19937 rng(seed * 7919u + 17);
  auto draw = [&](double from, double to) {
    return std::uniform_real_distribution<>(from, to)(rng);
  };
  ClusterOptions s;
  s.controllers = 2 + static_cast<int>(seed % 4);
  s.machines = 4 + static_cast<int>(seed % 5);
  if (draw(0, 1) < 0.4) {
    s.heartbeat_s = draw(1, 8);
    s.lease_s = draw(12, 40);
    s.cancel_s = s.lease_s + 5 + (draw(0, 1) < 0.5 ? 0 : draw(0, 20));
  }
  if (draw(0, 1) < 0.3) {
    s.state_rps = draw(60, 150);
    s.state_write_rps = draw(15, 40);
    s.cloud_rps = draw(2, 8);
  }
  return s;
}

inline std::string describe(const SimulatedCluster& set, const SimulatedCluster::Job& j) {
  const wire::JobSpec& s = j.spec;
  std::string out = s.id + ": " + s.team + ", band " +
                    std::to_string(static_cast<int>(s.priority)) + ", " + std::to_string(s.tasks) +
                    " tasks of " + std::to_string(s.cpus) + " cpus, " + std::to_string(j.run_s) +
                    " s, image " + std::to_string(s.image_gb) + " GB, saves in " +
                    std::to_string(s.save_s) + (s.same_zone ? ", one zone" : "") +
                    (s.anti_affinity ? ", spread" : "") + (s.zone ? ", zone " + *s.zone : "") +
                    (j.cancel_asked ? ", cancelled" : "");
  for (const auto& a : s.dependencies) out += ", awaits " + a;
  for (int m : set.machines_with(s.id)) out += ", on machine " + std::to_string(m);
  return out;
}

// Two or three faults begin within a few seconds of each other, twice, while users submit, ask
// and cancel; then it is quiet, and every accepted job has to be known everywhere, and to be over.
// `named` are always among them.
inline Played play(unsigned seed, const std::vector<std::string>& named = {}) {
  SimulatedCluster set(seed, drawn_scale(seed));
  auto& sim = set.sim();
  Played out;
  set.pass(12);
  std::vector<std::string> jobs;
  auto work = [&](int n) {
    for (int i = 0; i < n; ++i) {
      wire::JobSpec s = spec(sim.chance(0.5) ? "red" : "blue", 1 + sim.rng()() % 3);
      s.same_zone = sim.chance(0.15);
      s.anti_affinity = !s.same_zone && sim.chance(0.15);
      if (sim.chance(0.1)) s.zone = "b";
      // Replicas run to the end of a history, and would hold what the cloud has in a zone until
      // then: where there are some, all else is of one size and band, and finds room beside them.
      s.service = sim.chance(0.1);
      if (!s.service) {
        s.priority = static_cast<wire::Priority>(sim.rng()() % wire::kPriorities);
        if (sim.chance(0.15)) s.cpus = 2;
      }
      if (sim.chance(0.1)) s.image_gb = sim.draw(2, 20);
      if (sim.chance(0.35)) {
        s.checkpoint_s = sim.draw(5, 30);
        s.save_s = sim.draw(2, 25);
      }
      if (sim.chance(0.25) && !jobs.empty())
        if (const auto& a = jobs[sim.rng()() % jobs.size()];
            set.jobs().at(a).accepted && !set.jobs().at(a).spec.service)
          s.dependencies = {a};
      jobs.push_back(
          set.submit(std::move(s), sim.chance(0.3) ? sim.draw(30, 60) : sim.draw(2, 15)));
    }
  };
  work(6);
  set.pass(sim.draw(5, 20));
  for (int round = 0; round < 2; ++round) {
    std::vector<std::size_t> drawn;
    for (std::size_t t = 0; t < troubles().size(); ++t)
      if (std::find(named.begin(), named.end(), troubles()[t].name) != named.end())
        drawn.push_back(t);
    EXPECT_EQ(drawn.size(), named.size());
    std::shuffle(drawn.begin(), drawn.end(), sim.rng());
    for (std::size_t n = 2 + sim.rng()() % 2; drawn.size() < n;)
      drawn.push_back(sim.rng()() % troubles().size());
    for (std::size_t t : drawn) {
      out.names.emplace_back(troubles()[t].name);
      if (set.machines() > 0) troubles()[t].begin(set);
      set.pass(sim.draw(0, 6));
    }
    for (int i = 0; i < 6; ++i) {
      work(static_cast<int>(sim.rng()() % 3));
      if (sim.chance(0.6)) set.cancel(jobs[sim.rng()() % jobs.size()]);
      set.pass(sim.draw(1, 12));
    }
  }
  set.pass(80);  // the longest of them is over
  set.options().late_writes = set.options().heartbeat_copies = set.options().lost_answers = 0;
  set.pass(420);
  set.ask_all();
  const std::string room = set.room();
  auto over = [](const SimulatedCluster::Job& j) {
    return j.spec.service || !j.accepted || j.told_done >= 0 || j.told_cancelled >= 0;
  };
  // Replicas run to the end of a history, and may hold all that the cloud has in a zone until then.
  // Where there are some, what is unfinished is excused if it has no room, and only until they are
  // gone.
  bool replicas = false;
  for (const auto& [id, j] : set.jobs())
    replicas |= j.spec.service && j.accepted && j.told_cancelled < 0;
  std::set<std::string> late;
  for (const auto& [id, j] : set.jobs())
    if (!over(j) && (!replicas || set.room_for(id))) late.insert(id);
  for (const auto& [id, j] : set.jobs())
    if (j.spec.service) set.cancel(id);
  set.pass(60);
  if (replicas) set.pass(300);
  for (const auto& [id, j] : set.jobs())
    if (late.contains(id) || !over(j)) out.unfinished.push_back(describe(set, j));
  out.broken = set.broken();
  out.done = set.done_tasks();
  out.begun_again = set.begun_again();
  out.saves = set.saves();
  if (!out.unfinished.empty()) out.unfinished.push_back("room: " + room);
  out.after_cancel = set.after_cancel();
  out.digest = set.digest();
  return out;
}

inline std::string text(const std::vector<std::string>& names) {
  std::string out;
  for (const auto& n : names) out += (out.empty() ? "" : ", ") + n;
  return out;
}

inline void expect_whole(unsigned first, unsigned last,
                         const std::vector<std::string>& named = {}) {
  std::size_t done = 0;
  SimulatedCluster::AfterCancel latest;
  for (unsigned seed = first; seed <= last; ++seed) {
    Played p = play(seed, named);
    EXPECT_EQ(p.broken, std::vector<std::string>{}) << "seed " << seed << ": " << text(p.names);
    EXPECT_EQ(p.unfinished, std::vector<std::string>{}) << "seed " << seed << ": " << text(p.names);
    EXPECT_EQ(p.begun_again, 0u) << "seed " << seed << ": " << text(p.names);
    done += p.done;
    latest.obeyed = std::max(latest.obeyed, p.after_cancel.obeyed);
    latest.begun = std::max(latest.begun, p.after_cancel.begun);
    latest.on_machine = std::max(latest.on_machine, p.after_cancel.on_machine);
  }
  EXPECT_GT(done, (last - first + 1) * 10u);
  // In what is written of the run; no rule is made of them.
  ::testing::Test::RecordProperty("obeyed_after_cancel_s", std::to_string(latest.obeyed));
  ::testing::Test::RecordProperty("begun_after_cancel_s", std::to_string(latest.begun));
  ::testing::Test::RecordProperty("on_machine_after_cancel_s", std::to_string(latest.on_machine));
}

}  // namespace shunttrail::test
