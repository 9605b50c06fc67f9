#include "controller/heartbeat_responder.h"

#include <utility>
#include <vector>

#include "wire/codec.h"

namespace shunttrail::controller {
namespace {
net::Answer unavailable() { return {503, "{}", 0}; }

net::Answer heartbeat_response(std::uint64_t token, const std::vector<wire::Command>& commands) {
  return {200, wire::encode_heartbeat_response(token, commands), 0};
}
}  // namespace

void HeartbeatResponder::handle(const net::ExchangePtr& exchange,
                                const wire::Heartbeat& heartbeat) {
  using HeartbeatResult = scheduler::ShardScheduler::HeartbeatResult;
  scheduler::ShardScheduler* scheduler = host_.active_scheduler();
  if (!scheduler) return redirect_to_leader(exchange);
  if (heartbeat.token > scheduler->token()) {
    reread_leadership(heartbeat);
    return exchange->send({421, "{}", 0});
  }
  const std::string& machine = heartbeat.machine;
  const double now = host_.now();
  const HeartbeatResult result = scheduler->take_heartbeat(heartbeat, now);
  if (result == HeartbeatResult::unknown) return exchange->send(unavailable());
  if (result == HeartbeatResult::older) return respond_to_older_heartbeat(exchange, machine);
  refuse_superseded(machine);
  host_.schedule_pass();
  const double hold_s = host_.components().tuning.response_hold_s;
  if (scheduler->awaits_commit(machine) && hold_s > 0)
    held_[machine] = {exchange, now + hold_s};
  else
    respond(exchange, machine);
}

void HeartbeatResponder::redirect_to_leader(const net::ExchangePtr& exchange) {
  const int leader = host_.state_store().cache().leader(host_.shard()).node;
  const bool is_other_node = leader >= 0 && leader != host_.settings().self;
  const std::string node = is_other_node ? host_.settings().nodes[leader] : "";
  exchange->send({421, wire::encode_redirect(node), 0});
}

// The worker has obeyed commands under a higher token than this node's: either a newer leader's, or
// that of another shard which the machine belonged to before. The state service is read before
// anything else is decided. If this node still leads the shard, the scheduler advances its token.
void HeartbeatResponder::reread_leadership(const wire::Heartbeat& heartbeat) {
  host_.components().state_store->linearizable_read(
      host_.reply<bool>([this, machine = heartbeat.machine, seen = heartbeat.token](bool is_read) {
        host_.decide_leadership();
        scheduler::ShardScheduler* scheduler = host_.active_scheduler();
        if (is_read && scheduler && scheduler->has_machine(machine) && seen > scheduler->token() &&
            seen <= host_.state_store().cache().revision())
          scheduler->saw_higher_token();
      }));
}

// The response to a direct command was newer than this heartbeat and arrived first. The heartbeat
// carries no new information, but its response renews the lease. It therefore carries the stop
// commands: it may be the last response that the worker receives.
void HeartbeatResponder::respond_to_older_heartbeat(const net::ExchangePtr& exchange,
                                                    const std::string& machine) {
  scheduler::ShardScheduler& scheduler = *host_.active_scheduler();
  if (scheduler.has_unacknowledged_start(machine)) return exchange->send(unavailable());
  const auto commands = scheduler.stop_commands(machine);
  exchange->send(heartbeat_response(scheduler.command_token(machine), commands));
}

// Answers the held heartbeat of this machine with 503, since a newer one has arrived.
void HeartbeatResponder::refuse_superseded(const std::string& machine) {
  auto held = held_.find(machine);
  if (held == held_.end()) return;
  held->second.exchange->send(unavailable());
  held_.erase(held);
}

void HeartbeatResponder::respond(const net::ExchangePtr& exchange, const std::string& machine) {
  scheduler::ShardScheduler& scheduler = *host_.active_scheduler();
  // A start command that the machine has not acknowledged may still arrive there, possibly of a
  // task that has been cancelled. No response may renew the machine's lease until the token has
  // been advanced or the direct command has been answered.
  if (scheduler.has_unacknowledged_start(machine)) return exchange->send(unavailable());
  const auto commands = scheduler.commands_for(machine, host_.may_start_tasks(), host_.now());
  exchange->send(heartbeat_response(scheduler.command_token(machine), commands));
}

void HeartbeatResponder::flush_held() {
  scheduler::ShardScheduler* scheduler = host_.active_scheduler();
  if (!scheduler) return;
  const double now = host_.now();
  for (auto held = held_.begin(); held != held_.end();) {
    const auto& [machine, response] = *held;
    if (now < response.send_at && scheduler->awaits_commit(machine)) {
      ++held;
      continue;
    }
    respond(response.exchange, machine);
    held = held_.erase(held);
  }
}

void HeartbeatResponder::refuse_held() {
  for (auto& [machine, response] : held_) response.exchange->send(unavailable());
  held_.clear();
}

}  // namespace shunttrail::controller
