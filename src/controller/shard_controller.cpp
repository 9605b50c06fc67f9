#include "controller/shard_controller.h"

#include <spdlog/spdlog.h>

#include <utility>

#include "controller/cloud_manager.h"
#include "controller/job_results.h"

namespace shunttrail::controller {
namespace {
/// Delay between the first cause of a scheduling pass and the pass. Causes that arrive in the
/// meantime share the pass.
constexpr double kPassDelayS = 0.04;
/// Number of letters, beginning at 'a', used in the shards' tags. Shards beyond that number reuse
/// them.
constexpr int kShardLetters = 20;
/// The scheduler's random seed is its token, spread by Knuth's multiplicative hash.
constexpr std::uint64_t kSeedMultiplier = 2654435761;
constexpr std::uint64_t kSeedOffset = 17;

char tag_letter(int shard) { return static_cast<char>('a' + shard % kShardLetters); }
}  // namespace

ShardController::ShardController(actor::Loop& loop, ControllerComponents& components, int shard)
    : Actor(loop),
      ShardHost(*this, loop, components, shard),
      components_(components),
      tags_(components, tag_letter(shard)),
      leadership_(*this),
      transactions_(*this),
      heartbeats_(*this),
      direct_commands_(*this, loop),
      pass_timer_(loop, [this] { post([this] { run_scheduling_pass(); }); }) {
  components_.state_store->listen(
      Actor::reply<Changes>([this](const Changes& changes) { on_changes(*changes); }));
}

void ShardController::tick() {
  post([this] {
    if (!scheduler_) return;
    scheduler_->sync_delegations(state_store().cache(), now());
    scheduler_->tick(now());
    direct_commands_.send_probes();
    run_scheduling_pass();
  });
}

void ShardController::reconsider_leadership() {
  post([this] { decide_leadership(); });
}

void ShardController::take_heartbeat(net::ExchangePtr exchange, wire::Heartbeat heartbeat,
                                     HeartbeatPath path) {
  post([this, exchange = std::move(exchange), heartbeat = std::move(heartbeat), path] {
    if (path == HeartbeatPath::relayed)
      direct_commands_.mark_unreachable(heartbeat.machine);
    else
      direct_commands_.mark_reachable(heartbeat.machine);
    heartbeats_.handle(exchange, heartbeat);
  });
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

void ShardController::set_room_offers(std::vector<scheduler::RoomOffer> offers) {
  post([this, offers = std::move(offers)] {
    if (scheduler_) scheduler_->set_room_offers(offers);
  });
}

// ---- the cloud's responses

void ShardController::cloud_requests(bool with_returns, std::function<void(CloudRequests)> then) {
  post([this, with_returns, then = std::move(then)] {
    CloudRequests requests;
    if (scheduler_) {
      requests.opened_under = scheduler_->opened_under();
      if (with_returns) requests.machines_to_return = scheduler_->machines_to_return();
      requests.scale_out = scheduler_->scale_out_requests(now());
    }
    then(std::move(requests));
  });
}

void ShardController::rented(std::uint64_t opened_under, scheduler::ScaleOutRequest request,
                             std::vector<std::string> machines) {
  post([this, opened_under, request = std::move(request), machines = std::move(machines)] {
    // Machines rented for a scheduler that has been closed will send heartbeats and be adopted.
    if (is_current(opened_under)) scheduler_->rented(request, machines, now());
    schedule_pass();
  });
}

void ShardController::rent_refused(std::uint64_t opened_under, scheduler::ScaleOutRequest request,
                                   bool no_capacity) {
  post([this, opened_under, request = std::move(request), no_capacity] {
    if (is_current(opened_under)) scheduler_->rent_refused(request, 0, no_capacity, now());
    schedule_pass();
  });
}

void ShardController::deleted(std::uint64_t opened_under, std::vector<std::string> machines,
                              bool is_deleted) {
  post([this, opened_under, machines = std::move(machines), is_deleted] {
    for (const auto& name : machines) {
      if (is_deleted) {
        direct_commands_.forget(name);
        heartbeats_.forget(name);
        if (is_current(opened_under)) scheduler_->machine_deleted(name, now());
      } else if (is_current(opened_under)) {
        scheduler_->return_failed(name);
      }
    }
    schedule_pass();
  });
}

void ShardController::machine_failed(std::string machine, bool is_unlisted) {
  post([this, machine = std::move(machine), is_unlisted] {
    if (scheduler_ && scheduler_->machine_failed(machine, is_unlisted, now()))
      spdlog::info("shard {}: giving up machine {}: {}", shard(), machine,
                   is_unlisted ? "the cloud does not list it" : "the cloud lists it as failed");
  });
}

void ShardController::set_machine_address(std::string machine, std::string address) {
  post([this, machine = std::move(machine), address = std::move(address)] {
    if (scheduler_) scheduler_->set_machine_address(machine, address);
  });
}

// ---- changes of the cached state

void ShardController::on_changes(const std::vector<state::Change>& changes) {
  if (!scheduler_) return;
  for (const auto& change : changes) {
    switch (change.kind) {
      case state::Change::job_set:
        on_job_set(change.name);
        break;
      case state::Change::job_deleted:
        scheduler_->job_ended(change.name, now());
        break;
      case state::Change::machine_set:
        on_machine_set(change.name);
        break;
      case state::Change::machine_deleted:
        // A machine leaves the inventory only once the cloud has deleted it. If it was only moved
        // to another part of its page, the cache still has it, and its tasks continue.
        if (!state_store().cache().machine(change.name)) remove_machine(change.name);
        break;
      default:
        break;
    }
  }
  scheduler_->sync_delegations(state_store().cache(), now());
  schedule_pass();
}

void ShardController::on_job_set(const std::string& id) {
  if (const state::JobEntry* job = state_store().cache().job(id)) add_job(id, *job);
}

void ShardController::on_machine_set(const std::string& name) {
  const auto* machine = state_store().cache().machine(name);
  if (!machine || machine->shard >= settings().shards()) return;
  if (machine->shard == shard())
    add_machine(*machine);
  else
    remove_machine(name);
}

bool ShardController::has_team(int team) const {
  return team >= 0 && settings().team_shard[team] == shard();
}

bool ShardController::is_delegated_here(const wire::JobRecord& job) const {
  return job.delegation && job.delegation->is_readable && job.delegation->shard == shard();
}

// Adds the job to the scheduler if its team belongs to this shard, or if it is delegated to this
// shard.
void ShardController::add_job(const std::string& id, const state::JobEntry& job) {
  const int team = settings().team_index(job.record.spec.team);
  if (!has_team(team) && !is_delegated_here(job.record)) return;
  const double loop_now = now();
  const double wall_now = loop_.wall_now();
  // For a delegated job, only the results that this shard has stored itself count as done.
  const state::StateCache& cache = state_store().cache();
  const auto done = job.record.delegation ? cache.done(id, shard()) : cache.done(id);
  scheduler_->job_added(job.record, team, done, loop_now, wall_now);
  const jobs::EffectivePriority effective =
      components_.job_results->dependencies().effective_priority(id, job.record);
  scheduler_->set_effective_priority(id, effective.priority, loop_now + (effective.due - wall_now));
}

void ShardController::add_machine(const wire::MachineRecord& machine) {
  scheduler_->machine_known(machine, now());
  if (const std::string* address = components_.cloud_manager->address(machine.name))
    scheduler_->set_machine_address(machine.name, *address);
}

void ShardController::remove_machine(const std::string& name) {
  scheduler_->machine_moved(name, now());
  direct_commands_.forget(name);
}

// ---- the scheduler

void ShardController::open_scheduler(std::uint64_t token) {
  const double opened_at = now();
  const state::StateCache& cache = state_store().cache();
  scheduler_ = std::make_unique<scheduler::ShardScheduler>(
      settings(), components_.tuning, components_.cloud_manager->catalogue(), shard(), token,
      opened_at, token * kSeedMultiplier + kSeedOffset);
  for (const auto& [id, job] : cache.jobs()) add_job(id, job);
  for (const auto& [name, machine] : cache.machines())
    if (machine.shard == shard()) add_machine(machine);
  for (const auto& [number, page] : cache.placement_pages(shard()))
    scheduler_->recover_page(number, page, opened_at);
  scheduler_->sync_delegations(cache, opened_at);
  spdlog::info("shard {}: opened the scheduler of token {}: {}", shard(), token,
               scheduler_->summary());
  scheduler_->tick(opened_at);
  schedule_pass();
}

void ShardController::close_scheduler() {
  heartbeats_.refuse_held();
  direct_commands_.reset();
  scheduler_.reset();
  transactions_.reset();
}

void ShardController::schedule_pass() {
  if (is_pass_scheduled_ || !scheduler_) return;
  is_pass_scheduled_ = true;
  pass_timer_.after(kPassDelayS);
}

void ShardController::run_scheduling_pass() {
  is_pass_scheduled_ = false;
  if (!scheduler_) return;
  if (scheduler_->scheduling_due()) scheduler_->run_scheduling_pass(now());
  send_pending_work();
  flush_held_responses();
  if (scheduler_ && scheduler_->scheduling_due()) schedule_pass();
}

void ShardController::send_pending_work() {
  if (!scheduler_ || !state_store().loaded() || leadership_.commit_in_flight()) return;
  direct_commands_.send_commands(
      [this](const std::string& machine) { return heartbeats_.is_held(machine); });
  transactions_.commit_next();
}

}  // namespace shunttrail::controller
