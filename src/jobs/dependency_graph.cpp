#include "jobs/dependency_graph.h"

#include <algorithm>
#include <unordered_set>

namespace shunt::jobs {

Urgency Pipelines::own_of(const wire::JobRecord& r) {
  Urgency u;
  u.priority = r.spec.priority;
  if (r.spec.deadline_s) u.due = r.submitted_at + *r.spec.deadline_s;
  return u;
}

int Pipelines::node(const std::string& id) {
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
  const auto* live = world_.job(id);
  const auto* waits = world_.waiting(id);
  set_kind(n, waits ? Node::waiting : live ? Node::live : Node::absent);
  if (const auto* e = waits ? waits : live) at(n).own = at(n).all = own_of(e->record);
  return n;
}

// Only what waits, and what something that waits still needs, is remembered.
void Pipelines::drop_if_unused(int n) {
  Node& x = at(n);
  if (x.kind == Node::waiting || !x.needed.empty()) return;
  unread_.erase(x.id);
  ready_.erase(x.id);
  doomed_.erase(x.id);
  index_.erase(x.id);
  x = Node{};
  free_.push_back(n);
}

void Pipelines::set_kind(int n, Node::Kind kind) {
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

void Pipelines::attach(int n, const wire::JobRecord& r) {
  at(n).own = own_of(r);
  at(n).run_s = r.spec.estimate_s;
  std::vector<int> to;
  for (const auto& a : r.spec.awaits) {
    if (a == r.spec.id) continue;
    int up = node(a);
    to.push_back(up);
    at(up).needed.push_back(n);
  }
  Node& x = at(n);
  x.awaits = std::move(to);
  x.left = 0;
  bool cancelled = false;
  for (int up : x.awaits) {
    const Node& u = at(up);
    if (u.kind != Node::done) ++x.left;
    cancelled |= u.kind == Node::cancelled || u.doomed;
  }
  x.all = worked_out(x);
  if (cancelled) {
    doom(n);
    return;
  }
  if (!x.left) ready_.insert(x.id);
  spread(n);
}

void Pipelines::detach(int n) {
  std::vector<int> ups = std::move(at(n).awaits);
  at(n).awaits.clear();
  ready_.erase(at(n).id);
  doomed_.erase(at(n).id);
  for (int up : ups) {
    std::erase(at(up).needed, n);
    Urgency u = worked_out(at(up));
    if (u != at(up).all) {
      at(up).all = u;
      changed_.insert(at(up).id);
      spread(up);
    }
    drop_if_unused(up);
  }
}

void Pipelines::note(const std::string& id) {
  const auto* waits = world_.waiting(id);
  auto it = index_.find(id);
  if (it == index_.end() && !waits) return;  // nothing awaits it, and it awaits nothing
  int n = node(id);
  if (waits) {
    if (at(n).kind != Node::waiting || !at(n).awaits.empty() || waits->record.spec.awaits.empty()) {
      if (at(n).awaits.empty() && waits->record.spec.awaits.empty()) ready_.insert(id);
      return;
    }
    attach(n, waits->record);
    return;
  }
  detach(n);
  set_kind(n, world_.job(id) ? Node::live : Node::absent);
  drop_if_unused(n);
}

void Pipelines::ended(const std::string& id, bool cancelled) {
  auto it = index_.find(id);
  if (it == index_.end()) return;
  int n = it->second;
  Node& x = at(n);
  if (x.kind == Node::done || x.kind == Node::cancelled) return;
  detach(n);
  set_kind(n, cancelled ? Node::cancelled : Node::done);
  if (cancelled) {
    doom(n);
  } else {
    for (int d : at(n).needed) {
      Node& y = at(d);
      if (y.left && !--y.left && !y.doomed) ready_.insert(y.id);
    }
  }
  drop_if_unused(n);
}

void Pipelines::doom(int first) {
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
    for (int d : x.needed) work.push_back(d);
  }
  // What a doomed job would have needed is not urgent for its sake any more.
  for (int n : freed)
    for (int up : at(n).awaits) {
      Urgency u = worked_out(at(up));
      if (u == at(up).all) continue;
      at(up).all = u;
      changed_.insert(at(up).id);
      spread(up);
    }
}

Urgency Pipelines::worked_out(const Node& n) const {
  Urgency u = n.own;
  for (int d : n.needed) {
    const Node& y = at(d);
    if (y.kind != Node::waiting || y.doomed) continue;
    u.priority = std::min(u.priority, y.all.priority);
    u.due = std::min(u.due, y.all.due - y.run_s);
  }
  return u;
}

void Pipelines::spread(int first) {
  std::vector<int> work{first};
  while (!work.empty()) {
    int n = work.back();
    work.pop_back();
    for (int up : at(n).awaits) {
      Urgency u = worked_out(at(up));
      if (u == at(up).all) continue;
      at(up).all = u;
      changed_.insert(at(up).id);
      work.push_back(up);
    }
  }
}

Pipelines::Standing Pipelines::standing(const std::string& id,
                                        std::vector<std::string>* missing) const {
  auto it = index_.find(id);
  if (it == index_.end()) return Standing::queued;
  if (at(it->second).doomed) return Standing::cancelled;
  if (unread_.empty()) return Standing::queued;
  Standing out = Standing::queued;
  std::unordered_set<int> seen{it->second};
  std::vector<int> work{it->second};
  while (!work.empty()) {
    const Node& x = at(work.back());
    work.pop_back();
    if (x.kind == Node::absent) {
      out = Standing::unread;
      if (missing) missing->push_back(x.id);
    }
    for (int up : x.awaits)
      if (seen.insert(up).second) work.push_back(up);
  }
  return out;
}

Urgency Pipelines::urgency(const std::string& id, const wire::JobRecord& own) const {
  auto it = index_.find(id);
  return it == index_.end() ? own_of(own) : at(it->second).all;
}

std::vector<std::string> Pipelines::take_changed() {
  std::vector<std::string> out(changed_.begin(), changed_.end());
  changed_.clear();
  return out;
}

Moves moves(const state::World& world, const Pipelines& p, bool ready, const state::Room& size,
            double wall_now, const std::string& tag,
            const std::function<bool(const std::string&)>& mine) {
  Moves out;
  wire::Txn& t = out.txn;
  for (const auto& id : ready ? p.ready() : p.doomed()) {
    if (t.ops.size() + 2 > size.ops) break;
    const state::JobEntry* j = world.waiting(id);
    if (!j || !mine(id)) continue;
    t.guards.emplace_back(state::waiting_key(id), j->stamp);
    t.guards.emplace_back(state::final_key(id), 0);
    t.ops.push_back({state::waiting_key(id), std::nullopt, 0});
    if (ready) {
      t.guards.emplace_back(state::job_key(id), 0);
      wire::JobRecord r = j->record;
      r.spec.awaits.clear();
      r.ready_at = wall_now;
      t.ops.push_back({state::job_key(id), wire::encode_record(r), 0});
    } else {
      wire::FinalRecord f = wire::cancelled_record(j->record.spec, tag);
      t.ops.push_back({state::final_key(id), wire::encode_record(f), 0});
      out.finals.emplace_back(id, std::move(f));
    }
  }
  return out;
}

}  // namespace shunt::jobs
