// One shard at this node: ownership, and what changes in the cache mean to its scheduler.
#include "controller/shard_controller.h"

#include <spdlog/spdlog.h>

#include "controller/cloud_manager.h"
#include "controller/job_results.h"
#include "controller/membership.h"
#include "controller/schema_manager.h"

namespace shunttrail::controller {
namespace {
constexpr double kTurn = 0.04;  // what reports make possible is gathered so long
}  // namespace

ShardController::ShardController(actor::Loop& loop, ControllerComponents& parts, int shard)
    : Actor(loop), components_(parts), shard_(shard), workers_(loop), pass_timer_(loop, [this] {
        post([this] { run_scheduling_pass(); });
      }) {
  components_.state_store->listen(reply<Changes>([this](Changes c) { changed(*c); }));
}

std::string ShardController::next_tag() {
  return components_.membership->tag(static_cast<char>('a' + shard_ % 20), ++tags_);
}

void ShardController::tick() {
  post([this] {
    if (!scheduler_) return;
    scheduler_->tick(loop_.now());
    send_probes();
    run_scheduling_pass();
  });
}
void ShardController::reconsider_leadership() {
  post([this] { decide_leadership(); });
}
void ShardController::set_effective_priority(std::string job, wire::Priority priority, double due) {
  post([this, job = std::move(job), priority, due] {
    if (scheduler_) scheduler_->set_effective_priority(job, priority, due);
    schedule_pass();
  });
}
void ShardController::transfer(scheduler::MachineTransfer transfer) {
  post([this, transfer = std::move(transfer)] {
    if (scheduler_) scheduler_->transfer(transfer);
    schedule_pass();
  });
}

// ---- the cloud's answers

void ShardController::cloud_requests(bool returns, std::function<void(CloudRequests)> then) {
  post([this, returns, then = std::move(then)] {
    CloudRequests w;
    if (scheduler_) {
      w.opened_under = scheduler_->opened_under();
      if (returns) w.machines_to_return = scheduler_->machines_to_return();
      w.scale_out = scheduler_->scale_out_requests(loop_.now());
    }
    then(std::move(w));
  });
}
void ShardController::rented(std::uint64_t born, scheduler::ScaleOutRequest w,
                             std::vector<std::string> machines) {
  post([this, born, w = std::move(w), machines = std::move(machines)] {
    // Machines rented for a scheduler that is closed report, and are adopted.
    if (is_current(born)) scheduler_->rented(w, machines, loop_.now());
    schedule_pass();
  });
}
void ShardController::rent_refused(std::uint64_t born, scheduler::ScaleOutRequest w,
                                   bool no_capacity) {
  post([this, born, w = std::move(w), no_capacity] {
    if (is_current(born)) scheduler_->rent_refused(w, 0, no_capacity, loop_.now());
    schedule_pass();
  });
}
void ShardController::deleted(std::uint64_t born, std::vector<std::string> machines, bool ok) {
  post([this, born, machines = std::move(machines), ok] {
    for (const auto& name : machines) {
      if (ok) {
        workers_.erase(name);
        unreachable_until_.erase(name);
        held_responses_.erase(name);
        if (is_current(born)) scheduler_->machine_gone(name, loop_.now());
      } else if (is_current(born)) {
        scheduler_->return_failed(name);
      }
    }
    schedule_pass();
  });
}
void ShardController::machine_failed(std::string machine, bool unlisted) {
  post([this, machine = std::move(machine), unlisted] {
    if (scheduler_) scheduler_->machine_failed(machine, unlisted, loop_.now());
  });
}
void ShardController::set_machine_address(std::string machine, std::string addr) {
  post([this, machine = std::move(machine), addr = std::move(addr)] {
    if (scheduler_) scheduler_->set_machine_address(machine, addr);
  });
}

// ---- what the cache says

void ShardController::add_job(const std::string& id, const state::JobEntry& j, int team) {
  const double now = loop_.now(), wall = loop_.wall_now();
  scheduler_->job_added(j.record, team, components_.state_store->cache().done(id), now, wall);
  jobs::EffectivePriority u =
      components_.job_results->dependencies().effective_priority(id, j.record);
  scheduler_->set_effective_priority(id, u.priority, now + (u.due - wall));
}
void ShardController::add_machine(const wire::MachineRecord& m) {
  scheduler_->machine_known(m, loop_.now());
  if (const std::string* a = components_.cloud_manager->address(m.name))
    scheduler_->set_machine_address(m.name, *a);
}
void ShardController::lose_machine(const std::string& name) {
  scheduler_->machine_moved(name, loop_.now());
  workers_.erase(name);
  unreachable_until_.erase(name);
}

void ShardController::changed(const std::vector<state::Change>& changes) {
  if (!scheduler_) return;
  const double now = loop_.now();
  const state::StateCache& world = components_.state_store->cache();
  for (const auto& c : changes) {
    switch (c.kind) {
      case state::Change::job_set: {
        const auto* j = world.job(c.name);
        if (!j) break;
        int team = components_.settings.team_index(j->record.spec.team);
        if (team >= 0 && components_.settings.team_shard[team] == shard_) add_job(c.name, *j, team);
        break;
      }
      case state::Change::job_gone:
        scheduler_->job_gone(c.name, now);
        break;
      case state::Change::machine_set: {
        const auto* m = world.machine(c.name);
        if (!m || m->shard >= components_.settings.shards()) break;
        if (m->shard == shard_)
          add_machine(*m);
        else
          lose_machine(c.name);
        break;
      }
      case state::Change::machine_gone:
        // Only what the cloud has deleted leaves the inventory, or what has gone on to another part
        // of its page: such a machine is still there, and so are its tasks.
        if (!world.machine(c.name)) lose_machine(c.name);
        break;
      default:
        break;
    }
  }
  schedule_pass();
}

// ---- ownership

void ShardController::decide_leadership() {
  const StateStore& store = *components_.state_store;
  if (!store.loaded() || components_.cloud_manager->catalogue().empty()) return;
  const state::StateCache& world = store.cache();
  const double now = loop_.now();
  if (!components_.schema->may_serve()) {
    if (scheduler_) close_scheduler();
    return;
  }
  if (scheduler_ && world.leader(shard_).mod_revision != scheduler_->token()) {
    const auto& o = world.leader(shard_);
    if (o.node == components_.settings.self && o.tag == token_commit_tag_)
      scheduler_->advance_token(o.mod_revision, now);
    else
      close_scheduler();
  }
  if (leadership_in_flight_ || !store.fresh(components_.settings.staleness_bound_s())) return;
  shard::LeadershipMove m =
      components_.membership->election().decide(world, shard_, now, last_closed_token_);
  if (m.kind == shard::LeadershipMove::none) return;
  if (m.kind == shard::LeadershipMove::lead) {
    if (!scheduler_) open_scheduler(m.token);
    if (scheduler_->needs_new_token(now) && !scheduler_->transaction_in_flight()) advance_token();
    return;
  }
  if (m.kind == shard::LeadershipMove::hand_over && scheduler_) {
    if (scheduler_->transaction_in_flight()) return;
    close_scheduler();
  }
  const std::string& node =
      components_.settings
          .nodes[m.kind == shard::LeadershipMove::take ? components_.settings.self : m.to];
  wire::Transaction t;
  t.preconditions = m.preconditions;
  t.ops.push_back(
      {state::leader_key(shard_), wire::encode_record(wire::LeaderRecord{node, next_tag()}), 0});
  spdlog::info("shard {}: {} -> {}", shard_,
               m.kind == shard::LeadershipMove::take ? "take" : "hand over", node);
  commit_leadership(std::move(t));
}

// Lost a race, or not known: nothing is done before the state service has been read again. The
// owner's revision tells; should the commit be applied later still, the guard on that revision
// keeps it from undoing anything newer.
void ShardController::commit_leadership(wire::Transaction t) {
  leadership_in_flight_ = true;
  components_.state_store->resolve_unknown_commit(
      std::move(t), state::RequestPriority::safety, 3,
      reply<state::CommitResult>([this](state::CommitResult r) {
        leadership_in_flight_ = false;
        // The token is acted on once all before it has been read.
        if (r.kind == state::CommitResult::applied)
          components_.state_store->linearizable_read(
              reply<bool>([this](bool) { decide_leadership(); }));
        else
          decide_leadership();
      }));
}

void ShardController::open_scheduler(std::uint64_t token) {
  const double now = loop_.now();
  const state::StateCache& world = components_.state_store->cache();
  scheduler_ = std::make_unique<scheduler::ShardScheduler>(
      components_.settings, components_.tuning, components_.cloud_manager->catalogue(), shard_,
      token, now, token * 2654435761u + 17);
  for (const auto& [id, j] : world.jobs()) {
    int team = components_.settings.team_index(j.record.spec.team);
    if (team >= 0 && components_.settings.team_shard[team] == shard_) add_job(id, j, team);
  }
  for (const auto& [name, m] : world.machines())
    if (m.shard == shard_) add_machine(m);
  for (const auto& [n, page] : world.placement_pages(shard_))
    scheduler_->recover_page(n, page, now);
  spdlog::info("shard {}: acting under token {} {}", shard_, token, scheduler_->summary());
  scheduler_->tick(now);
  schedule_pass();
}

void ShardController::close_scheduler() {
  spdlog::info("shard {}: closing token {}", shard_, scheduler_->token());
  last_closed_token_ = scheduler_->token();
  for (auto& [m, h] : held_responses_) h.exchange->send({503, "{}", 0});
  held_responses_.clear();
  unreachable_until_.clear();
  workers_.clear();
  scheduler_.reset();
  transaction_unresolved_ = false;
}

void ShardController::advance_token() {
  token_commit_tag_ = next_tag();
  wire::Transaction t;
  t.preconditions.emplace_back(state::leader_key(shard_), scheduler_->token());
  t.ops.push_back(
      {state::leader_key(shard_),
       wire::encode_record(wire::LeaderRecord{components_.settings.node, token_commit_tag_}), 0});
  spdlog::info("shard {}: raising token {}", shard_, scheduler_->token());
  commit_leadership(std::move(t));
}

// ---- turns

// Work that reports and changes made possible is done in turns: a thousand reports cost one.
void ShardController::schedule_pass() {
  if (pass_armed_ || !scheduler_) return;
  pass_armed_ = true;
  pass_timer_.after(kTurn);
}
void ShardController::run_scheduling_pass() {
  pass_armed_ = false;
  if (!scheduler_) return;
  if (scheduler_->scheduling_due()) scheduler_->run_scheduling_pass(loop_.now());
  commit_next();
  flush_held_responses();
  if (scheduler_ && scheduler_->scheduling_due()) schedule_pass();
}

}  // namespace shunttrail::controller
