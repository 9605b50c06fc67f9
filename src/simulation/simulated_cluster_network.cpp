// What becomes of requests between the hosts of a set, and the faults that a test orders.
#include <algorithm>
#include <utility>

#include "simulation/simulated_cluster.h"

namespace shunttrail::simulation {

int SimulatedCluster::node_of(const std::string& host) const {
  for (std::size_t n = 0; n < base_.nodes.size(); ++n)
    if (base_.nodes[n] == host) return static_cast<int>(n);
  return -1;
}
SimulatedCluster::Machine* SimulatedCluster::machine_of(const std::string& host) {
  auto m = machine_by_host_.find(host);
  return m == machine_by_host_.end() ? nullptr : machines_[m->second].get();
}

bool SimulatedCluster::parted(const std::string& from, const std::string& to) const {
  for (std::size_t n = 0; n < cuts_.size(); ++n) {
    if (cuts_[n].at <= sim_.now()) continue;
    const std::string& self = base_.nodes[n];
    if (from != self && to != self) continue;
    const std::string& other = from == self ? to : from;
    const int link = other == "state"         ? Link::state
                     : node_of(other) >= 0    ? Link::peers
                     : other.starts_with("w") ? Link::workers | (other == from ? Link::reports : 0)
                                              : 0;
    if (cuts_[n].links & link) return true;
  }
  return false;
}

std::string SimulatedCluster::zone_of(const std::string& host) {
  const int n = node_of(host);
  if (n >= 0) return base_.zones[static_cast<std::size_t>(n) % base_.zones.size()];
  const Machine* m = machine_of(host);
  return m ? m->zone : "";
}
double SimulatedCluster::zone_cut_until(const Request& r) {
  if (zone_cut_.until <= sim_.now()) return 0;
  const bool from_inside = zone_of(r.from) == zone_cut_.zone;
  return from_inside == (zone_of(r.to) == zone_cut_.zone) ? 0 : zone_cut_.until;
}

Delivery SimulatedCluster::way(const Request& r) {
  Delivery w;
  if (parted(r.from, r.to)) {
    w.arrives = false;
    return w;
  }
  if (const double until = zone_cut_until(r)) {
    if (sim_.chance(0.5))
      w.there_s = until - sim_.now();
    else
      w.arrives = false;
    return w;
  }
  const int node = node_of(r.from);
  if (options_.slow_links_s > 0) {
    w.there_s = sim_.draw(0, options_.slow_links_s);
    w.back_s = sim_.draw(0, options_.slow_links_s);
  }
  if (r.to == "state") {
    if (options_.slow_links_s <= 0)
      w.there_s = w.back_s = options_.state_latency_s / 2 * sim_.draw(0.5, 1.5);
    if (sim_.now() < slow_until_) w.there_s = w.back_s = slow_s_ / 2 * sim_.draw(0.5, 1.5);
    if (node >= 0 && refused_until_[static_cast<std::size_t>(node)] > sim_.now()) {
      w.refused = 503;
    } else if (r.path == "/commit" && sim_.chance(options_.late_writes)) {
      w.arrives = false;
      w.copies_s = {sim_.draw(2, 12)};
    } else if (r.path == "/commit" && options_.lost_answers > 0 &&
               (!options_.lose_answer_of || options_.lose_answer_of(r.body)) &&
               sim_.chance(options_.lost_answers)) {
      w.answered = false;
      ++answers_lost_;
    }
    return w;
  }
  if (r.to == "cloud" && sim_.now() < cloud_until_) w.refused = 503;
  if (r.path == "/agent/beat" && sim_.chance(options_.heartbeat_copies))
    w.copies_s = {sim_.draw(2, 2.2 * options_.lease_s)};
  if (r.path == "/agent/beat" && sim_.chance(options_.copies_for_next)) kept_for_next_.push_back(r);
  if (Machine* m = machine_of(r.to)) {
    if (m->responses_lost_until > sim_.now()) w.arrives = false;
    if (m->held_until > sim_.now()) w.there_s = m->held_until - sim_.now();
  }
  if (Machine* m = machine_of(r.from); m && m->heartbeats_cut_until > sim_.now()) w.arrives = false;
  return w;
}

double SimulatedCluster::hold_answer(const Request& r) {
  if (parted(r.from, r.to)) return -1;
  if (const double until = zone_cut_until(r)) return sim_.chance(0.5) ? until - sim_.now() : -1;
  const int node = node_of(r.from);
  // What was open when the refusal began waits, as it would in an outage.
  if (r.to == "state" && node >= 0)
    return std::max(0.0, refused_until_[static_cast<std::size_t>(node)] - sim_.now());
  if (Machine* m = machine_of(r.from); m && m->responses_lost_until > sim_.now()) return -1;
  if (Machine* m = machine_of(r.to)) return std::max(0.0, m->answers_held_until - sim_.now());
  return 0;
}

// The copies that were kept reach every controller as another one begins to lead.
void SimulatedCluster::look_for_leaders() {
  leaders_.resize(static_cast<std::size_t>(options_.controllers), -1);
  bool changed = false;
  for (int shard = 0; shard < options_.controllers; ++shard) {
    int& last = leaders_[static_cast<std::size_t>(shard)];
    const int now = leader(shard);
    if (now < 0 || now == last) continue;
    changed |= last >= 0;
    last = now;
  }
  if (!changed) return;
  for (const Request& r : std::exchange(kept_for_next_, {}))
    for (const auto& n : base_.nodes)
      sim_.at(sim_.now() + (sim_.chance(0.5) ? 0 : sim_.draw(0, 4)), [this, r, n] {
        sim_.send_copy(r, {n, 80});
      });
}

// ---- faults

void SimulatedCluster::outage(double for_s) {
  state_->outage(true);
  sim_.at(sim_.now() + for_s, [this] { state_->outage(false); });
}
void SimulatedCluster::refuse(int node, double for_s) {
  refused_until_[static_cast<std::size_t>(node)] = sim_.now() + for_s;
}
void SimulatedCluster::cut(int node, int links, double for_s) {
  cuts_[static_cast<std::size_t>(node)] = {links, sim_.now() + for_s};
}
void SimulatedCluster::cut_zone(const std::string& zone, double for_s) {
  zone_cut_ = {zone, sim_.now() + for_s};
}
void SimulatedCluster::slow_state(double latency_s, double for_s) {
  slow_s_ = latency_s;
  slow_until_ = sim_.now() + for_s;
}
void SimulatedCluster::cloud_outage(double for_s) { cloud_until_ = sim_.now() + for_s; }
void SimulatedCluster::kill(int node, double back_after_s) {
  Node& n = nodes_[static_cast<std::size_t>(node)];
  n.controller.reset();
  n.host.reset();
  sim_.at(sim_.now() + back_after_s, [this, node] { start(node); });
}
void SimulatedCluster::freeze(int node, double for_s) {
  if (auto& h = nodes_[static_cast<std::size_t>(node)].host) h->freeze(sim_.now() + for_s);
}
void SimulatedCluster::freeze_after(int node, std::uint64_t turns, double for_s) {
  if (auto& h = nodes_[static_cast<std::size_t>(node)].host) h->freeze_after(turns, for_s);
}
void SimulatedCluster::lose_responses(int machine, double for_s) {
  machines_[static_cast<std::size_t>(machine)]->responses_lost_until = sim_.now() + for_s;
}
void SimulatedCluster::cut_heartbeats(int machine, double for_s) {
  machines_[static_cast<std::size_t>(machine)]->heartbeats_cut_until = sim_.now() + for_s;
}
void SimulatedCluster::hang(int machine, double for_s) {
  Machine& m = *machines_[static_cast<std::size_t>(machine)];
  if (!m.worker) return;
  const double until = std::max(m.hung_until, sim_.now() + for_s);
  // Some programs go by the clock, and some by what they have been given to run.
  if (sim_.chance(0.5)) m.worker->stood_still(until - std::max(m.hung_until, sim_.now()));
  m.hung_until = until;
  m.host->freeze(until);
}
void SimulatedCluster::hang_in_chains(int machine, int times) {
  Machine& m = *machines_[static_cast<std::size_t>(machine)];
  if (!m.worker) return;
  auto within = [this] { return sim_.draw(1, 0.95 * options_.lease_s); };
  double at = sim_.now();
  const bool by_turns = sim_.chance(0.5);
  hang(machine, at - sim_.now() + within());
  for (int i = 1; i < times; ++i) {
    if (by_turns) {
      m.host->freeze_after(1 + sim_.rng()() % 8, within());
      continue;
    }
    at = std::max(at, m.hung_until) + sim_.draw(0.05, 1);
    const double for_s = within();
    sim_.at(at, [this, machine, for_s] { hang(machine, for_s); });
    at += for_s;
  }
}
void SimulatedCluster::hold_direct_commands(int machine, double for_s) {
  machines_[static_cast<std::size_t>(machine)]->held_until = sim_.now() + for_s;
}
void SimulatedCluster::hold_direct_answers(int machine, double for_s) {
  machines_[static_cast<std::size_t>(machine)]->answers_held_until = sim_.now() + for_s;
}
void SimulatedCluster::take_machine(int machine, double notice_s) {
  Machine& m = *machines_[static_cast<std::size_t>(machine)];
  if (!m.worker || !m.worker->settings().spot) return;
  if (notice_s > 0) m.worker->notice(notice_s);
  // The notice can be half of what it says, or one and a half times.
  sim_.at(sim_.now() + notice_s * sim_.draw(0.5, 1.5), [this, machine] {
    kill_machine(machine);
    cloud_->taken(machines_[static_cast<std::size_t>(machine)]->name);
  });
}
std::vector<int> SimulatedCluster::machines_with(const std::string& job) const {
  std::vector<int> out;
  for (int n = 0; n < machines(); ++n) {
    const auto& w = machines_[static_cast<std::size_t>(n)]->worker;
    if (w && std::any_of(w->tasks().begin(), w->tasks().end(), [&](const auto& t) {
          return t.id.job == job && t.state != wire::TaskState::exited;
        }))
      out.push_back(n);
  }
  return out;
}
int SimulatedCluster::machine_at(const std::string& host) const {
  auto m = machine_by_host_.find(host);
  return m == machine_by_host_.end() ? -1 : static_cast<int>(m->second);
}
std::string SimulatedCluster::room() const {
  std::string out;
  for (const auto& m : machines_) {
    if (!m->worker) continue;
    double used = 0;
    std::string tasks;
    for (const auto& t : m->worker->tasks()) {
      if (t.state == wire::TaskState::exited) continue;
      used += t.work.cpus;
      tasks += " " + name_of(t.id);
      const wire::JobSpec& s = jobs_.at(t.id.job).spec;
      tasks += " (" + s.team + (s.service ? ", service)" : ")");
    }
    out += (out.empty() ? "" : "; ") + m->zone + " " + std::to_string(static_cast<int>(used)) +
           "/" + std::to_string(static_cast<int>(options_.machine_cpus)) + tasks;
  }
  return out;
}
void SimulatedCluster::kill_machine(int machine) {
  Machine& m = *machines_[static_cast<std::size_t>(machine)];
  if (!m.worker) return;
  lost_before_ += m.worker->leases_lost();
  m.worker.reset();
  m.host.reset();
}

bool SimulatedCluster::leads(int node, int shard) const {
  const auto& c = nodes_[static_cast<std::size_t>(node)].controller;
  return c && c->leads(shard);
}
int SimulatedCluster::leader(int shard) const {
  for (int n = 0; n < options_.controllers; ++n)
    if (leads(n, shard)) return n;
  return -1;
}
int SimulatedCluster::busiest() {
  return std::max(0, leader(sim_.chance(0.5) ? 0 : base_.team_shard[1]));
}

}  // namespace shunttrail::simulation
