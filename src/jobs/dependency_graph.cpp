#include "jobs/dependency_graph.h"

#include <algorithm>
#include <unordered_set>

namespace shunttrail::jobs {

EffectivePriority DependencyGraph::own_priority(const wire::JobRecord& record) {
  EffectivePriority own;
  own.priority = record.spec.priority;
  if (record.spec.deadline_s) own.due = record.submitted_at + *record.spec.deadline_s;
  return own;
}

int DependencyGraph::allocate_node() {
  if (free_nodes_.empty()) {
    nodes_.emplace_back();
    return static_cast<int>(nodes_.size()) - 1;
  }
  const int reused = free_nodes_.back();
  free_nodes_.pop_back();
  at(reused) = Node{};
  return reused;
}

int DependencyGraph::find_or_add_node(const std::string& id) {
  const auto [known, is_new] = index_.try_emplace(id, -1);
  if (!is_new) return known->second;
  const int n = allocate_node();
  known->second = n;
  at(n).id = id;
  const state::JobEntry* live = cache_.job(id);
  const state::JobEntry* waiting = cache_.waiting(id);
  set_kind(n, waiting ? Node::waiting : live ? Node::live : Node::absent);
  if (const state::JobEntry* entry = waiting ? waiting : live)
    at(n).own = at(n).effective = own_priority(entry->record);
  return n;
}

void DependencyGraph::drop_if_unused(int n) {
  Node& job = at(n);
  if (job.kind == Node::waiting || !job.dependents.empty()) return;
  unread_.erase(job.id);
  ready_.erase(job.id);
  doomed_.erase(job.id);
  index_.erase(job.id);
  job = Node{};
  free_nodes_.push_back(n);
}

void DependencyGraph::set_kind(int n, Node::Kind kind) {
  Node& job = at(n);
  // A doomed job never runs, so the deletion of its key proves that it was cancelled.
  if (kind == Node::absent && job.doomed) kind = Node::cancelled;
  // The outcome of a job is final: a key set that a late event still shows changes nothing.
  if (job.kind == Node::done || job.kind == Node::cancelled) return;
  job.kind = kind;
  if (kind == Node::absent)
    unread_.insert(job.id);
  else
    unread_.erase(job.id);
}

void DependencyGraph::attach(int n, const wire::JobRecord& record) {
  at(n).own = own_priority(record);
  at(n).estimate_s = record.spec.estimate_s;
  std::vector<int> dependencies;
  for (const std::string& id : record.spec.dependencies) {
    if (id == record.spec.id) continue;
    const int dependency = find_or_add_node(id);
    dependencies.push_back(dependency);
    at(dependency).dependents.push_back(n);
  }
  Node& job = at(n);
  job.dependencies = std::move(dependencies);
  job.unfinished = 0;
  bool is_doomed = false;
  for (int dependency : job.dependencies) {
    const Node& needed = at(dependency);
    if (needed.kind != Node::done) ++job.unfinished;
    is_doomed |= needed.kind == Node::cancelled || needed.doomed;
  }
  job.effective = compute_effective(job);
  if (is_doomed) {
    mark_doomed(n);
    return;
  }
  if (!job.unfinished) ready_.insert(job.id);
  propagate(n);
}

void DependencyGraph::detach(int n) {
  const std::vector<int> dependencies = std::move(at(n).dependencies);
  at(n).dependencies.clear();
  ready_.erase(at(n).id);
  doomed_.erase(at(n).id);
  for (int dependency : dependencies) {
    std::erase(at(dependency).dependents, n);
    if (update_effective(dependency)) propagate(dependency);
    drop_if_unused(dependency);
  }
}

void DependencyGraph::key_changed(const std::string& id) {
  const state::JobEntry* waiting = cache_.waiting(id);
  // Jobs without dependencies and dependents are not part of the graph.
  if (!waiting && !index_.contains(id)) return;
  const int n = find_or_add_node(id);
  if (!waiting) {
    detach(n);
    set_kind(n, cache_.job(id) ? Node::live : Node::absent);
    drop_if_unused(n);
    return;
  }
  const bool has_dependencies = !waiting->record.spec.dependencies.empty();
  const bool is_attached = !at(n).dependencies.empty();
  if (at(n).kind == Node::waiting && !is_attached && has_dependencies)
    attach(n, waiting->record);
  else if (!is_attached && !has_dependencies)
    ready_.insert(id);
}

void DependencyGraph::job_ended(const std::string& id, bool cancelled) {
  const auto known = index_.find(id);
  if (known == index_.end()) return;
  const int n = known->second;
  if (at(n).kind == Node::done || at(n).kind == Node::cancelled) return;
  detach(n);
  set_kind(n, cancelled ? Node::cancelled : Node::done);
  if (cancelled) {
    mark_doomed(n);
  } else {
    for (int d : at(n).dependents) {
      Node& dependent = at(d);
      if (dependent.unfinished == 0) continue;
      --dependent.unfinished;
      if (dependent.unfinished == 0 && !dependent.doomed) ready_.insert(dependent.id);
    }
  }
  drop_if_unused(n);
}

void DependencyGraph::mark_doomed(int first) {
  std::vector<int> work{first};
  std::vector<int> newly_doomed;
  while (!work.empty()) {
    const int n = work.back();
    work.pop_back();
    Node& job = at(n);
    if (job.doomed) continue;
    job.doomed = true;
    ready_.erase(job.id);
    if (job.kind == Node::waiting) {
      doomed_.insert(job.id);
      newly_doomed.push_back(n);
    }
    work.insert(work.end(), job.dependents.begin(), job.dependents.end());
  }
  // The dependencies of doomed jobs no longer inherit their priorities.
  for (int n : newly_doomed)
    for (int dependency : at(n).dependencies)
      if (update_effective(dependency)) propagate(dependency);
}

EffectivePriority DependencyGraph::compute_effective(const Node& job) const {
  EffectivePriority out = job.own;
  for (int n : job.dependents) {
    const Node& dependent = at(n);
    if (dependent.kind != Node::waiting || dependent.doomed) continue;
    out.priority = std::min(out.priority, dependent.effective.priority);
    out.due = std::min(out.due, dependent.effective.due - dependent.estimate_s);
  }
  return out;
}

bool DependencyGraph::update_effective(int n) {
  const EffectivePriority effective = compute_effective(at(n));
  if (effective == at(n).effective) return false;
  at(n).effective = effective;
  changed_.insert(at(n).id);
  return true;
}

void DependencyGraph::propagate(int first) {
  std::vector<int> work{first};
  while (!work.empty()) {
    const int n = work.back();
    work.pop_back();
    for (int dependency : at(n).dependencies)
      if (update_effective(dependency)) work.push_back(dependency);
  }
}

DependencyGraph::DependencyState DependencyGraph::state_of(
    const std::string& id, std::vector<std::string>* missing) const {
  const auto known = index_.find(id);
  if (known == index_.end()) return DependencyState::queued;
  if (at(known->second).doomed) return DependencyState::cancelled;
  if (unread_.empty()) return DependencyState::queued;
  DependencyState out = DependencyState::queued;
  std::unordered_set<int> seen{known->second};
  std::vector<int> work{known->second};
  while (!work.empty()) {
    const Node& job = at(work.back());
    work.pop_back();
    if (job.kind == Node::absent) {
      out = DependencyState::unread;
      if (missing) missing->push_back(job.id);
    }
    for (int dependency : job.dependencies)
      if (seen.insert(dependency).second) work.push_back(dependency);
  }
  return out;
}

EffectivePriority DependencyGraph::effective_priority(const std::string& id,
                                                      const wire::JobRecord& own) const {
  auto it = index_.find(id);
  return it == index_.end() ? own_priority(own) : at(it->second).effective;
}

std::vector<std::string> DependencyGraph::take_changed() {
  std::vector<std::string> out(changed_.begin(), changed_.end());
  changed_.clear();
  return out;
}

}  // namespace shunttrail::jobs
