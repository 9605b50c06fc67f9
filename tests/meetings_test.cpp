// Troubles that meet: the library's own controllers in simulated time, with the rules of the
// protocol checked on the machines and in what users are told.
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <cstdio>
#include <cstdlib>

#include "rehearsal/set.h"

namespace shunt::test {
namespace {

using rehearsal::Scale;
using rehearsal::Set;

const bool quiet = [] {
  spdlog::set_level(std::getenv("SHUNT_LOG") ? spdlog::level::info : spdlog::level::off);
  return true;
}();

wire::JobSpec spec(const std::string& team, std::uint32_t tasks, double cpus = 1) {
  wire::JobSpec s;
  s.cls = "c";
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

TEST(Meetings, ACalmSetRunsEverything) {
  Set set(1, Scale{});
  set.pass(15);
  for (int i = 0; i < 6; ++i) set.submit(spec(i % 2 ? "red" : "blue", 5), 10);
  set.pass(150);
  for (const auto& [id, j] : set.jobs()) {
    EXPECT_TRUE(j.accepted) << id;
    EXPECT_GE(j.told_done, 0) << id;
  }
  set.ask_all();
  EXPECT_EQ(set.broken(), std::vector<std::string>{});
  EXPECT_EQ(set.done_tasks(), 30u);
  EXPECT_EQ(set.leases_lost(), 0u);
}

// The meeting that broke most: the state service refuses the leading controller alone, another one
// confirms cancellations, and then it is down for all for longer than cancel_s, while the workers
// go on reporting to the leader. `told_cancel_s`: what the controllers take cancel_s for.
struct Gap {
  Set set;
  int cancelled = 0;
  static Scale scale(unsigned seed, double told_cancel_s) {
    Scale s;
    s.controllers = 2 + static_cast<int>(seed % 4);
    s.told_cancel_s = told_cancel_s;
    return s;
  }
  Gap(unsigned seed, double told_cancel_s) : set(seed, scale(seed, told_cancel_s)) {
    auto& sim = set.sim();
    set.pass(12);
    std::vector<std::string> jobs;
    for (int i = 0; i < 8; ++i)
      jobs.push_back(set.submit(spec(i % 2 ? "red" : "blue", 1 + i % 3), sim.draw(90, 160)));
    set.pass(sim.draw(8, 25));
    const int leader = set.owner(0);
    const double lone = sim.draw(1, 14);  // until it is down for all
    if (leader < 0) return;
    set.refuse(leader, lone + sim.draw(0, 30));
    // Cancelled in every state that a task can be in: some have only just been submitted.
    const double first = sim.draw(0, 0.8 * lone);
    for (std::size_t i = 0; i < jobs.size(); ++i) {
      if (!sim.chance(0.8)) continue;
      ++cancelled;
      const int other =
          (leader + 1 + static_cast<int>(sim.rng()() % (set.scale().controllers - 1))) %
          set.scale().controllers;
      sim.at(sim.now() + sim.draw(first, lone),
             [this, id = jobs[i], other] { set.cancel(id, other); });
    }
    set.pass(lone);
    const double down = set.scale().cancel_s + sim.draw(5, 30);
    set.outage(down);
    if (sim.chance(0.3)) set.kill((leader + 1) % set.scale().controllers, sim.draw(0.05, 8));
    if (sim.chance(0.2)) set.freeze(leader, sim.draw(1, 20));
    set.pass(down + 40);
  }
};

TEST(Meetings, CancelledThroughAnotherWhileTheLeaderAloneIsRefusedThenDownForAll) {
  int cancelled = 0;
  for (unsigned seed = 1; seed <= 60; ++seed) {
    SCOPED_TRACE(seed);
    Gap g(seed, 0);
    cancelled += g.cancelled;
    g.set.ask_all();
    ASSERT_EQ(g.set.broken(), std::vector<std::string>{});
  }
  EXPECT_GT(cancelled, 60 * 4);
}

// The bound S is what holds it: without it, or with one too long by the lease, the rule is broken
// and the check sees it.
TEST(Meetings, WithoutTheBoundOnStaleOwnersTheRuleBreaks) {
  for (double too_much : {1e6, 26.5}) {
    int broken = 0;
    for (unsigned seed = 1; seed <= 20; ++seed) {
      Gap g(seed, Scale{}.cancel_s + too_much);
      for (const auto& b : g.set.broken()) broken += b.find("ran_cancelled") != std::string::npos;
    }
    EXPECT_GT(broken, 0) << too_much;
  }
}

// ---- troubles by name

struct Trouble {
  const char* name;
  std::function<void(Set&)> begin;
};

int some_machine(Set& s) { return static_cast<int>(s.sim().rng()() % s.machines()); }
int some_node(Set& s) { return static_cast<int>(s.sim().rng()() % s.scale().controllers); }

const std::vector<Trouble>& troubles() {
  static const std::vector<Trouble> all = {
      {"late reports",
       [](Set& s) {
         s.scale().report_copies = 0.4;
         s.sim().at(s.now() + s.sim().draw(20, 60), [&s] { s.scale().report_copies = 0; });
       }},
      {"late writes",
       [](Set& s) {
         s.scale().late_writes = s.sim().draw(0.1, 0.5);
         s.sim().at(s.now() + s.sim().draw(20, 60), [&s] { s.scale().late_writes = 0; });
       }},
      {"slow state service",
       [](Set& s) { s.slow_state(s.sim().draw(0.2, 2.5), s.sim().draw(10, 40)); }},
      {"leader refused alone", [](Set& s) { s.refuse(s.busiest(), s.sim().draw(3, 40)); }},
      {"outage", [](Set& s) { s.outage(s.sim().draw(3, 70)); }},
      {"leader cut from state",
       [](Set& s) { s.cut(s.busiest(), Set::state, s.sim().draw(3, 60)); }},
      {"leader cut from state and peers",
       [](Set& s) { s.cut(s.busiest(), Set::state | Set::peers, s.sim().draw(3, 60)); }},
      {"leader cut from workers",
       [](Set& s) { s.cut(s.busiest(), Set::workers, s.sim().draw(3, 60)); }},
      {"leader cut from all",
       [](Set& s) {
         s.cut(s.busiest(), Set::state | Set::peers | Set::workers, s.sim().draw(3, 60));
       }},
      {"machines deaf",
       [](Set& s) {
         for (int i = 0; i < 3; ++i) s.deaf(some_machine(s), s.sim().draw(5, 60));
       }},
      {"machines hang",
       [](Set& s) {
         for (int i = 0; i < 2; ++i) s.hang(some_machine(s), s.sim().draw(2, 40));
       }},
      {"direct orders held",
       [](Set& s) {
         for (int i = 0; i < 3; ++i) s.hold_orders(some_machine(s), s.sim().draw(3, 60));
       }},
      {"leader ends", [](Set& s) { s.kill(s.busiest(), s.sim().draw(0.05, 15)); }},
      {"all end",
       [](Set& s) {
         for (int n = 0; n < s.scale().controllers; ++n) s.kill(n, s.sim().draw(0.05, 10));
       }},
      {"roll and back",
       [](Set& s) {
         double at = s.now();
         for (int n = 0; n < s.scale().controllers; ++n)
           s.sim().at(at += s.sim().draw(0.1, 3), [&s, n] { s.kill(n, 0.2); });
       }},
      {"a node stands still", [](Set& s) { s.freeze(some_node(s), s.sim().draw(1, 35)); }},
      {"leader stands still", [](Set& s) { s.freeze(s.busiest(), s.sim().draw(1, 35)); }},
      {"leader stands still between two turns",
       [](Set& s) {
         s.freeze_after(s.busiest(), 1 + s.sim().rng()() % 3000, s.sim().draw(1, 30));
       }},
      {"a machine dies", [](Set& s) { s.kill_machine(some_machine(s)); }},
  };
  return all;
}

struct Played {
  std::vector<std::string> broken, names;
  std::size_t done = 0, unfinished = 0;
  std::uint64_t begun_again = 0;
};

// Two or three troubles begin within a few seconds of each other, twice, while users submit, ask
// and cancel; then it is quiet, and every accepted job has to be known everywhere, and to be over.
Played play(unsigned seed, const std::vector<std::size_t>& which = {}) {
  Scale scale;
  scale.controllers = 2 + static_cast<int>(seed % 4);
  scale.machines = 4 + static_cast<int>(seed % 5);
  Set set(seed, scale);
  auto& sim = set.sim();
  Played out;
  set.pass(12);
  std::vector<std::string> jobs;
  auto work = [&](int n) {
    for (int i = 0; i < n; ++i)
      jobs.push_back(set.submit(spec(sim.chance(0.5) ? "red" : "blue", 1 + sim.rng()() % 3),
                                sim.chance(0.3) ? sim.draw(30, 60) : sim.draw(2, 15)));
  };
  work(6);
  set.pass(sim.draw(5, 20));
  for (int round = 0; round < 2; ++round) {
    std::vector<std::size_t> drawn = which;
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
  set.scale().late_writes = set.scale().report_copies = 0;
  set.pass(420);
  set.ask_all();
  for (const auto& [id, j] : set.jobs())
    out.unfinished += j.accepted && j.told_done < 0 && j.told_cancelled < 0;
  out.broken = set.broken();
  out.done = set.done_tasks();
  out.begun_again = set.begun_again();
  return out;
}

std::string text(const std::vector<std::string>& names) {
  std::string out;
  for (const auto& n : names) out += (out.empty() ? "" : ", ") + n;
  return out;
}

// SHUNT_MEETINGS=FIRST-LAST plays these instead.
std::pair<unsigned, unsigned> seeds(unsigned first, unsigned last) {
  if (const char* more = std::getenv("SHUNT_MEETINGS")) std::sscanf(more, "%u-%u", &first, &last);
  return {first, last};
}

TEST(Meetings, DrawnTroublesBreakNoRuleAndForgetNoJob) {
  const auto [first, last] = seeds(1, 60);
  std::size_t done = 0;
  for (unsigned seed = first; seed <= last; ++seed) {
    Played p = play(seed);
    EXPECT_EQ(p.broken, std::vector<std::string>{}) << "seed " << seed << ": " << text(p.names);
    EXPECT_EQ(p.unfinished, 0u) << "seed " << seed << ": " << text(p.names);
    EXPECT_EQ(p.begun_again, 0u) << "seed " << seed << ": " << text(p.names);
    done += p.done;
  }
  EXPECT_GT(done, (last - first + 1) * 10u);
}

}  // namespace
}  // namespace shunt::test
