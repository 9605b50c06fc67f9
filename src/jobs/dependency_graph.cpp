#include "jobs/dependency_graph.h"

#include <algorithm>
#include <unordered_set>

namespace shunttrail::jobs {

EffectivePriority DependencyGraph::own_of(const wire::JobRecord& r) {
  EffectivePriority u;
  u.priority = r.spec.priority;
  if (r.spec.deadline_s) u.due = r.submitted_at + *r.spec.deadline_s;
  return u;
}

int DependencyGraph::node(const std::string& id) {
  auto [it, fresh] = index_.try_emplace(id, -1);
  if (!fresh) return it->second;
  int n = static_cast<int>(nodes_.size());
  if (free_.empty()) {
    nodes_.emplace_back();
  } else {
    n = free_.back();
    free_.pop_back();
    at(n) = Node{};
  }
  it->second = n;
  at(n).id = id;
  const auto* live = cache_.job(id);
  const auto* waits = cache_.waiting(id);
  set_kind(n, waits ? Node::waiting : live ? Node::live : Node::absent);
  if (const auto* e = waits ? waits : live) at(n).own = at(n).effective = own_of(e->record);
  return n;
}

// Only what waits, and what something that waits still needs, is remembered.
void DependencyGraph::drop_if_unused(int n) {
  Node& x = at(n);
  if (x.kind == Node::waiting || !x.dependents.empty()) return;
  unread_.erase(x.id);
  ready_.erase(x.id);
  doomed_.erase(x.id);
  index_.erase(x.id);
  x = Node{};
  free_.push_back(n);
}

void DependencyGraph::set_kind(int n, Node::Kind kind) {
  Node& x = at(n);
  // Below a cancelled job nothing is ever done: that it has left tells how it ended.
  if (kind == Node::absent && x.doomed) kind = Node::cancelled;
  // How it ended is final: a key that some late news still shows changes nothing.
  if (x.kind == Node::done || x.kind == Node::cancelled) return;
  x.kind = kind;
  if (kind == Node::absent)
    unread_.insert(x.id);
  else
    unread_.erase(x.id);
}

void DependencyGraph::attach(int n, const wire::JobRecord& r) {
  at(n).own = own_of(r);
  at(n).run_s = r.spec.estimate_s;
  std::vector<int> to;
  for (const auto& a : r.spec.dependencies) {
    if (a == r.spec.id) continue;
    int up = node(a);
    to.push_back(up);
    at(up).dependents.push_back(n);
  }
  Node& x = at(n);
  x.dependencies = std::move(to);
  x.unfinished = 0;
  bool cancelled = false;
  for (int up : x.dependencies) {
    const Node& u = at(up);
    if (u.kind != Node::done) ++x.unfinished;
    cancelled |= u.kind == Node::cancelled || u.doomed;
  }
  x.effective = compute_effective(x);
  if (cancelled) {
    mark_doomed(n);
    return;
  }
  if (!x.unfinished) ready_.insert(x.id);
  propagate(n);
}

void DependencyGraph::detach(int n) {
  std::vector<int> ups = std::move(at(n).dependencies);
  at(n).dependencies.clear();
  ready_.erase(at(n).id);
  doomed_.erase(at(n).id);
  for (int up : ups) {
    std::erase(at(up).dependents, n);
    EffectivePriority u = compute_effective(at(up));
    if (u != at(up).effective) {
      at(up).effective = u;
      changed_.insert(at(up).id);
      propagate(up);
    }
    drop_if_unused(up);
  }
}

void DependencyGraph::key_changed(const std::string& id) {
  const auto* waits = cache_.waiting(id);
  auto it = index_.find(id);
  if (it == index_.end() && !waits) return;  // nothing awaits it, and it awaits nothing
  int n = node(id);
  if (waits) {
    if (at(n).kind != Node::waiting || !at(n).dependencies.empty() ||
        waits->record.spec.dependencies.empty()) {
      if (at(n).dependencies.empty() && waits->record.spec.dependencies.empty()) ready_.insert(id);
      return;
    }
    attach(n, waits->record);
    return;
  }
  detach(n);
  set_kind(n, cache_.job(id) ? Node::live : Node::absent);
  drop_if_unused(n);
}

void DependencyGraph::job_ended(const std::string& id, bool cancelled) {
  auto it = index_.find(id);
  if (it == index_.end()) return;
  int n = it->second;
  Node& x = at(n);
  if (x.kind == Node::done || x.kind == Node::cancelled) return;
  detach(n);
  set_kind(n, cancelled ? Node::cancelled : Node::done);
  if (cancelled) {
    mark_doomed(n);
  } else {
    for (int d : at(n).dependents) {
      Node& y = at(d);
      if (y.unfinished && !--y.unfinished && !y.doomed) ready_.insert(y.id);
    }
  }
  drop_if_unused(n);
}

void DependencyGraph::mark_doomed(int first) {
  std::vector<int> work{first};
  std::vector<int> freed;
  while (!work.empty()) {
    int n = work.back();
    work.pop_back();
    Node& x = at(n);
    if (x.doomed) continue;
    x.doomed = true;
    ready_.erase(x.id);
    if (x.kind == Node::waiting) {
      doomed_.insert(x.id);
      freed.push_back(n);
    }
    for (int d : x.dependents) work.push_back(d);
  }
  // What a doomed job would have needed is not urgent for its sake any more.
  for (int n : freed)
    for (int up : at(n).dependencies) {
      EffectivePriority u = compute_effective(at(up));
      if (u == at(up).effective) continue;
      at(up).effective = u;
      changed_.insert(at(up).id);
      propagate(up);
    }
}

EffectivePriority DependencyGraph::compute_effective(const Node& n) const {
  EffectivePriority u = n.own;
  for (int d : n.dependents) {
    const Node& y = at(d);
    if (y.kind != Node::waiting || y.doomed) continue;
    u.priority = std::min(u.priority, y.effective.priority);
    u.due = std::min(u.due, y.effective.due - y.run_s);
  }
  return u;
}

void DependencyGraph::propagate(int first) {
  std::vector<int> work{first};
  while (!work.empty()) {
    int n = work.back();
    work.pop_back();
    for (int up : at(n).dependencies) {
      EffectivePriority u = compute_effective(at(up));
      if (u == at(up).effective) continue;
      at(up).effective = u;
      changed_.insert(at(up).id);
      work.push_back(up);
    }
  }
}

DependencyGraph::DependencyState DependencyGraph::state_of(
    const std::string& id, std::vector<std::string>* missing) const {
  auto it = index_.find(id);
  if (it == index_.end()) return DependencyState::queued;
  if (at(it->second).doomed) return DependencyState::cancelled;
  if (unread_.empty()) return DependencyState::queued;
  DependencyState out = DependencyState::queued;
  std::unordered_set<int> seen{it->second};
  std::vector<int> work{it->second};
  while (!work.empty()) {
    const Node& x = at(work.back());
    work.pop_back();
    if (x.kind == Node::absent) {
      out = DependencyState::unread;
      if (missing) missing->push_back(x.id);
    }
    for (int up : x.dependencies)
      if (seen.insert(up).second) work.push_back(up);
  }
  return out;
}

EffectivePriority DependencyGraph::effective_priority(const std::string& id,
                                                      const wire::JobRecord& own) const {
  auto it = index_.find(id);
  return it == index_.end() ? own_of(own) : at(it->second).effective;
}

std::vector<std::string> DependencyGraph::take_changed() {
  std::vector<std::string> out(changed_.begin(), changed_.end());
  changed_.clear();
  return out;
}

StateTransitions state_transitions(const state::StateCache& world, const DependencyGraph& p,
                                   bool ready, const state::TransactionLimits& size,
                                   double wall_now, const std::string& tag,
                                   const std::function<bool(const std::string&)>& mine) {
  StateTransitions out;
  wire::Transaction& t = out.txn;
  for (const auto& id : ready ? p.ready() : p.doomed()) {
    if (t.ops.size() + 2 > size.ops) break;
    const state::JobEntry* j = world.waiting(id);
    if (!j || !mine(id)) continue;
    t.preconditions.emplace_back(state::waiting_key(id), j->mod_revision);
    t.preconditions.emplace_back(state::job_result_key(id), 0);
    t.ops.push_back({state::waiting_key(id), std::nullopt, 0});
    if (ready) {
      t.preconditions.emplace_back(state::job_key(id), 0);
      wire::JobRecord r = j->record;
      r.spec.dependencies.clear();
      r.ready_at = wall_now;
      t.ops.push_back({state::job_key(id), wire::encode_record(r), 0});
    } else {
      wire::JobResultRecord f = wire::cancelled_record(j->record.spec, tag);
      t.ops.push_back({state::job_result_key(id), wire::encode_record(f), 0});
      out.results.emplace_back(id, std::move(f));
    }
  }
  return out;
}

}  // namespace shunttrail::jobs
