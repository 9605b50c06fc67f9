// One shard at this node: reports and their answers, direct orders, and the scheduler's
// transactions.
#include <spdlog/spdlog.h>

#include <cstdlib>

#include "controller/job_results.h"
#include "controller/membership.h"
#include "controller/shard_controller.h"

namespace shunttrail::controller {
namespace {
constexpr double kCommitGap = 0.1;  // between two commits of a shard
constexpr double kRetry = 0.3;      // before a transaction whose fate is not known is sent again
constexpr double kStartFresh = 5;   // a start needs a read of the state service at most this old
constexpr double kTxnWithin = 5;    // a transaction that could not be sent by then is made anew
// Of the sockets, one in so many is for direct orders and probes: connections to 500 machines of
// 2,000 sockets. Beyond that an idle one is closed for the next machine.
constexpr std::size_t kDirectShare = 4;
constexpr double kDirectWithin = 2;  // for an answer to a direct order
constexpr double kProbeWithin = 1;   // for a machine's state
}  // namespace

// ---- reports

void ShardController::take_heartbeat(net::ExchangePtr ex, wire::Heartbeat r, bool passed_on) {
  post([this, ex, r = std::move(r), passed_on] {
    if (passed_on)
      unreachable_until_[r.machine] = loop_.now() + 3 * components_.settings.heartbeat_s;
    else
      unreachable_until_.erase(r.machine);
    handle_heartbeat(ex, r);
  });
}

void ShardController::handle_heartbeat(const net::ExchangePtr& ex, const wire::Heartbeat& r) {
  const state::StateCache& world = components_.state_store->cache();
  if (!scheduler_) {
    int owner = world.leader(shard_).node;
    std::string to =
        owner >= 0 && owner != components_.settings.self ? components_.settings.nodes[owner] : "";
    return ex->send({421, wire::encode_redirect(to), 0});
  }
  const double now = loop_.now();
  if (r.token > scheduler_->token()) {
    // It has obeyed a newer owner than this node knows of, or came from another shard whose token
    // is higher. Look again before acting; if this node still is the owner, it raises its token.
    components_.state_store->linearizable_read(
        reply<bool>([this, name = r.machine, seen = r.token](bool ok) {
          decide_leadership();
          if (ok && scheduler_ && scheduler_->has_machine(name) && seen > scheduler_->token() &&
              seen <= components_.state_store->cache().revision())
            scheduler_->saw_higher_token();
        }));
    return ex->send({421, "{}", 0});
  }
  auto heard = scheduler_->take_heartbeat(r, now);
  if (heard == scheduler::ShardScheduler::HeartbeatResult::unknown) return ex->send({503, "{}", 0});
  if (heard == scheduler::ShardScheduler::HeartbeatResult::older)
    // Overtaken by the answer to a direct order: it tells nothing new, and keeps the lease. So it
    // is told what has to end: this may be the last answer that the worker hears.
    return ex->send(
        scheduler_->has_unacknowledged_start(r.machine)
            ? net::Answer{503, "{}", 0}
            : net::Answer{200,
                          wire::encode_heartbeat_response(scheduler_->token(),
                                                          scheduler_->stop_commands(r.machine)),
                          0});
  if (auto h = held_responses_.find(r.machine); h != held_responses_.end()) {
    h->second.exchange->send({503, "{}", 0});
    held_responses_.erase(h);
  }
  schedule_pass();
  if (scheduler_->awaits_commit(r.machine) && components_.tuning.response_hold_s > 0)
    held_responses_[r.machine] = {ex, now + components_.tuning.response_hold_s};
  else
    respond(r.machine, ex);
}

void ShardController::respond(const std::string& machine, const net::ExchangePtr& ex) {
  // A cancelled task that may still be started there must not find a lease that this answer has
  // renewed: not before the token is raised, or the order answered.
  if (scheduler_->has_unacknowledged_start(machine)) return ex->send({503, "{}", 0});
  auto commands =
      scheduler_->commands_for(machine, components_.state_store->fresh(kStartFresh), loop_.now());
  ex->send({200, wire::encode_heartbeat_response(scheduler_->token(), commands), 0});
}

void ShardController::flush_held_responses() {
  if (!scheduler_) return;
  double now = loop_.now();
  for (auto it = held_responses_.begin(); it != held_responses_.end();) {
    if (now < it->second.until && scheduler_->awaits_commit(it->first)) {
      ++it;
      continue;
    }
    respond(it->first, it->second.exchange);
    it = held_responses_.erase(it);
  }
}

// Starts go straight to machines that would not report soon.
void ShardController::send_direct_commands() {
  if (!scheduler_ || leadership_in_flight_) return;
  auto skip = [&](const std::string& name) {
    auto b = unreachable_until_.find(name);
    return held_responses_.contains(name) ||
           (b != unreachable_until_.end() && b->second > loop_.now());
  };
  for (auto& d : scheduler_->direct_commands(components_.state_store->fresh(kStartFresh), skip,
                                             loop_.now())) {
    net::Client& c = worker(d.machine, d.addr);
    c.request("POST", "/orders",
              wire::encode_direct_commands(scheduler_->token(), d.incarnation, d.commands),
              kDirectWithin, reply<net::Result>([this, d](net::Result r) {
                if (!scheduler_ || !scheduler_->has_machine(d.machine)) return;
                scheduler_->direct_commands_done(d, r.status);
                if (r.status != 200 && r.status != 409) return;
                try {
                  scheduler_->take_heartbeat(wire::decode_heartbeat(r.body), loop_.now(), true);
                } catch (const wire::Malformed& e) {
                  ++malformed_;
                  spdlog::info("garbage from {}: {}", d.machine, e.what());
                }
                commit_next();
              }));
  }
}

// A silent machine is asked whether it lives. Nothing is concluded while this node may be the one
// that is cut off.
void ShardController::send_probes() {
  if (!scheduler_ || !components_.state_store->fresh(kStartFresh)) return;
  for (const auto& p : scheduler_->probes(loop_.now()))
    worker(p.machine, p.addr)
        .request("GET", "/status", "", kProbeWithin,
                 reply<net::Result>([this, born = scheduler_->opened_under(), p](net::Result r) {
                   if (is_current(born))
                     scheduler_->probe_done(p.machine, r.status == 200, loop_.now());
                 }));
}

// All schedulers here share a quarter of the sockets: one controller that holds every shard still
// has them for every worker's report and every user.
net::Client& ShardController::worker(const std::string& machine, const std::string& addr) {
  std::size_t desks = 0;
  for (const auto& r : components_.shard_controllers) desks += r->scheduler() != nullptr;
  const std::size_t most = std::max<std::size_t>(
      1, static_cast<std::size_t>(components_.settings.max_sockets) / kDirectShare / desks);
  config::Endpoint to;
  auto colon = addr.rfind(':');
  if (colon != std::string::npos) {
    to.host = addr.substr(0, colon);
    to.port = static_cast<std::uint16_t>(std::atoi(addr.c_str() + colon + 1));
  }
  return workers_.at(machine, to, most);
}

// ---- group commits

void ShardController::commit_next() {
  if (!scheduler_ || !components_.state_store->loaded()) return;
  send_direct_commands();
  double now = loop_.now();
  if (leadership_in_flight_) return;
  if (now < next_commit_at_) return schedule_pass();
  if (transaction_unresolved_) {
    transaction_unresolved_ = false;
  } else {
    if (scheduler_->transaction_in_flight()) return;
    // A token is raised between transactions: a busy scheduler would never be without one, and
    // machines that came from another shard would stand idle until it was.
    if (scheduler_->needs_new_token(now)) return decide_leadership();
    // Not before it can be sent: urgent starts would wait behind a transaction that waits for the
    // rate, and twice as many would be made.
    state::TransactionLimits size = components_.state_client.limits().transaction_limits();
    const std::size_t budget = components_.state_client.writes_now(state::RequestPriority::work);
    if (budget < state::kLeastWrites) return schedule_pass();
    size.ops = std::min(size.ops, budget);
    transaction_tag_ = next_tag();
    auto t =
        scheduler_->next_transaction(components_.state_store->cache(), size, transaction_tag_, now);
    if (!t) return;
    transaction_ = std::move(*t);
  }
  // Every controller reads every change: a little patience makes them fewer and fuller.
  next_commit_at_ = now + kCommitGap;
  components_.state_store->commit(
      transaction_, state::RequestPriority::work, kTxnWithin,
      reply<state::CommitResult>([this, born = scheduler_->opened_under()](state::CommitResult r) {
        if (is_current(born) && scheduler_->transaction_in_flight())
          transaction_done(born, std::move(r));
      }));
}

void ShardController::retry_later() {
  transaction_unresolved_ = true;
  next_commit_at_ = loop_.now() + kRetry;
}

void ShardController::transaction_done(std::uint64_t born, state::CommitResult r) {
  switch (r.kind) {
    case state::CommitResult::applied:
      return transaction_resolved(true);
    case state::CommitResult::precondition_failed:
    case state::CommitResult::too_large:
      return resolve_transaction(born);
    default:
      // Not executed, or no answer. The same transaction again: its preconditions let it be applied
      // once.
      return retry_later();
  }
}

// Either a guard has changed under us, or the limits have fallen, or this is the second copy of a
// transaction whose first answer was lost: the tag on what it wrote tells. What was not carried out
// is made anew, in a size that is taken now.
void ShardController::resolve_transaction(std::uint64_t born) {
  const wire::Transaction::Op* set = nullptr;
  for (const auto& op : transaction_.ops)
    if (op.value) set = &op;
  std::string key = set ? set->key : transaction_.ops.front().key;
  bool dropped = !set;
  components_.state_client.get(
      "/kv/" + key, state::RequestPriority::work,
      reply<net::Result>([this, born, dropped](net::Result g) {
        if (!is_current(born) || !scheduler_->transaction_in_flight()) return;
        if (g.status == 404) return transaction_resolved(false);
        try {
          if (g.status != 200) throw wire::Malformed("no answer");
          wire::Event e = wire::decode_key(g.body);
          bool ours = !dropped && e.value &&
                      e.value->find("\"" + transaction_tag_ + "\"") != std::string::npos;
          if (!ours) return transaction_resolved(false);
          components_.state_store->apply_commit(
              transaction_, e.mod_revision, reply<>([this, born] {
                if (is_current(born) && scheduler_->transaction_in_flight())
                  transaction_resolved(true);
              }));
        } catch (const wire::Malformed&) {
          retry_later();
        }
      }));
}

void ShardController::transaction_resolved(bool applied) {
  if (applied) {
    wire::Transaction t = std::move(transaction_);
    scheduler_->transaction_applied(loop_.now());
    for (const auto& op : t.ops)
      if (op.key.starts_with("fin/") && op.value)
        components_.job_results->result_written(op.key.substr(4),
                                                wire::decode_job_result(*op.value));
    flush_held_responses();
    commit_next();
    return;
  }
  // Before the next try, what made it fail has to be known.
  components_.state_store->linearizable_read(
      reply<bool>([this, born = scheduler_->opened_under()](bool ok) {
        if (!is_current(born) || !scheduler_->transaction_in_flight()) return;
        if (!ok) return retry_later();
        scheduler_->transaction_failed(loop_.now());
        commit_next();
      }));
}

}  // namespace shunttrail::controller
