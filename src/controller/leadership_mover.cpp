#include "controller/leadership_mover.h"

#include <spdlog/spdlog.h>

#include <utility>

#include "controller/cloud_manager.h"
#include "controller/membership.h"
#include "controller/schema_manager.h"

namespace shunttrail::controller {
namespace {
/// Time after which a leadership commit that could not be sent is abandoned.
constexpr double kCommitTimeoutS = 3;
}  // namespace

bool LeadershipMover::can_decide() const {
  return host_.state_store().loaded() && !host_.components().cloud_manager->catalogue().empty();
}

void LeadershipMover::decide() {
  if (!can_decide()) return;
  if (!host_.components().schema->may_serve()) {
    if (host_.active_scheduler()) close_scheduler();
    return;
  }
  follow_leader_key();
  if (commit_in_flight_ || !host_.state_store().fresh(host_.settings().staleness_bound_s())) return;
  const shard::LeadershipMove move = host_.components().membership->election().decide(
      host_.state_store().cache(), host_.shard(), host_.now(), last_closed_token_);
  switch (move.kind) {
    case shard::LeadershipMove::none:
      return;
    case shard::LeadershipMove::lead:
      return lead(move.token);
    case shard::LeadershipMove::take:
    case shard::LeadershipMove::hand_over:
      return change_leader(move);
  }
}

// Handles a change of the leader key while the scheduler is active. Either this node's own commit
// has advanced the token, or this node has been replaced.
void LeadershipMover::follow_leader_key() {
  scheduler::ShardScheduler* scheduler = host_.active_scheduler();
  const auto& leader = host_.state_store().cache().leader(host_.shard());
  if (!scheduler || leader.mod_revision == scheduler->token()) return;
  if (leader.node != host_.settings().self || leader.tag != token_commit_tag_)
    return close_scheduler();
  spdlog::info("shard {}: the fencing token is {} now, {} before", host_.shard(),
               leader.mod_revision, scheduler->token());
  scheduler->advance_token(leader.mod_revision, host_.now());
}

void LeadershipMover::lead(std::uint64_t token) {
  if (!host_.active_scheduler()) host_.open_scheduler(token);
  const scheduler::ShardScheduler& scheduler = *host_.active_scheduler();
  if (scheduler.needs_new_token(host_.now()) && !scheduler.transaction_in_flight()) advance_token();
}

void LeadershipMover::change_leader(const shard::LeadershipMove& move) {
  const bool is_take = move.kind == shard::LeadershipMove::take;
  if (const scheduler::ShardScheduler* scheduler = host_.active_scheduler();
      !is_take && scheduler) {
    if (scheduler->transaction_in_flight()) return;
    close_scheduler();
  }
  const std::string& node = host_.settings().nodes[is_take ? host_.settings().self : move.to];
  wire::Transaction transaction;
  transaction.preconditions = move.preconditions;
  transaction.ops.push_back({state::leader_key(host_.shard()),
                             wire::encode_record(wire::LeaderRecord{node, host_.next_tag()}), 0});
  spdlog::info("shard {}: committing {} as its leader ({})", host_.shard(), node,
               is_take ? "taking the shard" : "handing it over");
  commit(std::move(transaction));
}

void LeadershipMover::advance_token() {
  const std::uint64_t token = host_.active_scheduler()->token();
  const std::string key = state::leader_key(host_.shard());
  token_commit_tag_ = host_.next_tag();
  wire::Transaction transaction;
  transaction.preconditions.emplace_back(key, token);
  transaction.ops.push_back(
      {key, wire::encode_record(wire::LeaderRecord{host_.settings().node, token_commit_tag_}), 0});
  spdlog::info("shard {}: advancing the fencing token from {}", host_.shard(), token);
  commit(std::move(transaction));
}

void LeadershipMover::close_scheduler() {
  last_closed_token_ = host_.active_scheduler()->token();
  spdlog::info("shard {}: closing the scheduler of token {}", host_.shard(), last_closed_token_);
  host_.close_scheduler();
}

// Commits a change of the leader key. If the commit lost a race, or its outcome is unknown, no
// decision is made until the state service has been read again: the leader key's revision shows
// what happened. If the commit is applied later still, its precondition on that revision keeps it
// from overwriting anything newer.
void LeadershipMover::commit(wire::Transaction transaction) {
  commit_in_flight_ = true;
  host_.components().state_store->commit_or_reread(
      std::move(transaction), state::RequestPriority::safety, kCommitTimeoutS,
      host_.reply<state::CommitResult>([this](const state::CommitResult& result) {
        commit_in_flight_ = false;
        if (result.kind != state::CommitResult::applied) return decide();
        // A token may be used only once everything that was committed before it has been read.
        host_.components().state_store->linearizable_read(
            host_.reply<bool>([this](bool) { decide(); }));
      }));
}

}  // namespace shunttrail::controller
