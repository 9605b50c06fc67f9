// What becomes of requests between the hosts of a set, and the troubles that a test orders.
#include <algorithm>

#include "rehearsal/set.h"

namespace shunt::rehearsal {

int Set::node_of(const std::string& host) const {
  for (std::size_t n = 0; n < base_.nodes.size(); ++n)
    if (base_.nodes[n] == host) return static_cast<int>(n);
  return -1;
}
Set::Machine* Set::machine_of(const std::string& host) {
  auto m = machine_by_host_.find(host);
  return m == machine_by_host_.end() ? nullptr : machines_[m->second].get();
}

bool Set::parted(const std::string& from, const std::string& to) const {
  for (std::size_t n = 0; n < cuts_.size(); ++n) {
    if (cuts_[n].at <= sim_.now()) continue;
    const std::string& self = base_.nodes[n];
    if (from != self && to != self) continue;
    const std::string& other = from == self ? to : from;
    const int link = other == "state"         ? Link::state
                     : node_of(other) >= 0    ? Link::peers
                     : other.starts_with("w") ? Link::workers
                                              : 0;
    if (cuts_[n].links & link) return true;
  }
  return false;
}

Way Set::way(const Request& r) {
  Way w;
  if (parted(r.from, r.to)) {
    w.arrives = false;
    return w;
  }
  const int node = node_of(r.from);
  if (r.to == "state") {
    w.there_s = w.back_s = scale_.state_latency_s / 2 * sim_.draw(0.5, 1.5);
    if (sim_.now() < slow_until_) w.there_s = w.back_s = slow_s_ / 2 * sim_.draw(0.5, 1.5);
    if (node >= 0 && refused_until_[static_cast<std::size_t>(node)] > sim_.now()) {
      w.refused = 503;
    } else if (r.path == "/commit" && sim_.chance(scale_.late_writes)) {
      w.arrives = false;
      w.copies_s = {sim_.draw(2, 12)};
    } else if (r.path == "/commit" && scale_.lost_answers > 0 &&
               (!scale_.lose_answer_of || scale_.lose_answer_of(r.body)) &&
               sim_.chance(scale_.lost_answers)) {
      w.answered = false;
      ++answers_lost_;
    }
    return w;
  }
  if (r.to == "cloud" && sim_.now() < cloud_until_) w.refused = 503;
  if (r.path == "/agent/beat" && sim_.chance(scale_.report_copies))
    w.copies_s = {sim_.draw(2, 2.2 * scale_.lease_s)};
  if (Machine* m = machine_of(r.to)) {
    if (m->deaf_until > sim_.now()) w.arrives = false;
    if (m->held_until > sim_.now()) w.there_s = m->held_until - sim_.now();
  }
  return w;
}

double Set::hold_answer(const Request& r) {
  if (parted(r.from, r.to)) return -1;
  const int node = node_of(r.from);
  // What was open when the refusal began waits, as it would in an outage.
  if (r.to == "state" && node >= 0)
    return std::max(0.0, refused_until_[static_cast<std::size_t>(node)] - sim_.now());
  if (Machine* m = machine_of(r.from); m && m->deaf_until > sim_.now()) return -1;
  return 0;
}

// ---- troubles

void Set::outage(double for_s) {
  state_->outage(true);
  sim_.at(sim_.now() + for_s, [this] { state_->outage(false); });
}
void Set::refuse(int node, double for_s) {
  refused_until_[static_cast<std::size_t>(node)] = sim_.now() + for_s;
}
void Set::cut(int node, int links, double for_s) {
  cuts_[static_cast<std::size_t>(node)] = {links, sim_.now() + for_s};
}
void Set::slow_state(double latency_s, double for_s) {
  slow_s_ = latency_s;
  slow_until_ = sim_.now() + for_s;
}
void Set::cloud_outage(double for_s) { cloud_until_ = sim_.now() + for_s; }
void Set::kill(int node, double back_after_s) {
  Node& n = nodes_[static_cast<std::size_t>(node)];
  n.controller.reset();
  n.host.reset();
  sim_.at(sim_.now() + back_after_s, [this, node] { start(node); });
}
void Set::freeze(int node, double for_s) {
  if (auto& h = nodes_[static_cast<std::size_t>(node)].host) h->freeze(sim_.now() + for_s);
}
void Set::freeze_after(int node, std::uint64_t turns, double for_s) {
  if (auto& h = nodes_[static_cast<std::size_t>(node)].host) h->freeze_after(turns, for_s);
}
void Set::deaf(int machine, double for_s) {
  machines_[static_cast<std::size_t>(machine)]->deaf_until = sim_.now() + for_s;
}
void Set::hang(int machine, double for_s) {
  if (auto& h = machines_[static_cast<std::size_t>(machine)]->host) h->freeze(sim_.now() + for_s);
}
void Set::hold_orders(int machine, double for_s) {
  machines_[static_cast<std::size_t>(machine)]->held_until = sim_.now() + for_s;
}
void Set::kill_machine(int machine) {
  Machine& m = *machines_[static_cast<std::size_t>(machine)];
  if (!m.worker) return;
  lost_before_ += m.worker->leases_lost();
  m.worker.reset();
  m.host.reset();
}

bool Set::acts(int node, int shard) const {
  const auto& c = nodes_[static_cast<std::size_t>(node)].controller;
  return c && c->acts_for(shard);
}
int Set::owner(int shard) const {
  for (int n = 0; n < scale_.controllers; ++n)
    if (acts(n, shard)) return n;
  return -1;
}
int Set::busiest() { return std::max(0, owner(sim_.chance(0.5) ? 0 : base_.team_shard[1])); }

}  // namespace shunt::rehearsal
