#include "controller/transaction_pipeline.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "controller/job_results.h"

namespace shunttrail::controller {
namespace {
/// Shortest interval between two commits of a shard. Every controller reads every change, so fewer,
/// larger commits cost less.
constexpr double kCommitIntervalS = 0.1;
/// Delay before a transaction whose outcome is unknown is sent again.
constexpr double kRetryDelayS = 0.3;
/// Time after which a transaction that could not be sent is abandoned and sent again later.
constexpr double kCommitTimeoutS = 5;

constexpr std::string_view kJobResultPrefix = state::kJobResults;
}  // namespace

bool TransactionPipeline::awaits_outcome(std::uint64_t opened_under) {
  return host_.is_current(opened_under) && host_.active_scheduler()->transaction_in_flight();
}

void TransactionPipeline::commit_next() {
  if (host_.now() < next_commit_at_) return host_.schedule_pass();
  if (must_resend_)
    must_resend_ = false;
  else if (!prepare_transaction())
    return;
  send();
}

// Builds the next transaction. Returns true if there is one to send.
bool TransactionPipeline::prepare_transaction() {
  scheduler::ShardScheduler& scheduler = *host_.active_scheduler();
  const double now = host_.now();
  if (scheduler.transaction_in_flight()) return false;
  // A needed token is obtained before the next transaction is built. A busy scheduler always has
  // another transaction, so the token would never be advanced, and machines that were transferred
  // from another shard would stay idle.
  if (scheduler.needs_new_token(now)) {
    host_.decide_leadership();
    return false;
  }
  // The transaction is built only when the write rate permits sending it. Built earlier, urgent
  // starts would wait behind a transaction that is itself waiting for the write rate, and twice as
  // many transactions would be built.
  state::Client& client = host_.components().state_client;
  state::TransactionLimits limits = client.limits().transaction_limits();
  const std::size_t budget = client.available_writes(state::RequestPriority::work);
  if (budget < state::kMinTransactionWrites) {
    host_.schedule_pass();
    return false;
  }
  limits.ops = std::min(limits.ops, budget);
  tag_ = host_.next_tag();
  auto transaction = scheduler.next_transaction(host_.state_store().cache(), limits, tag_, now);
  if (!transaction) return false;
  transaction_ = std::move(*transaction);
  return true;
}

void TransactionPipeline::send() {
  next_commit_at_ = host_.now() + kCommitIntervalS;
  const std::uint64_t opened_under = host_.active_scheduler()->opened_under();
  host_.components().state_store->commit(
      transaction_, state::RequestPriority::work, kCommitTimeoutS,
      host_.reply<state::CommitResult>([this, opened_under](const state::CommitResult& result) {
        if (awaits_outcome(opened_under)) on_commit_result(opened_under, result);
      }));
}

void TransactionPipeline::resend_later() {
  must_resend_ = true;
  next_commit_at_ = host_.now() + kRetryDelayS;
}

void TransactionPipeline::on_commit_result(std::uint64_t opened_under,
                                           const state::CommitResult& result) {
  switch (result.kind) {
    case state::CommitResult::applied:
      return on_applied();
    case state::CommitResult::precondition_failed:
    case state::CommitResult::too_large:
      return read_outcome(opened_under);
    case state::CommitResult::not_executed:
    case state::CommitResult::unknown:
    case state::CommitResult::no_lease:
      return resend_later();
  }
}

// Finds out whether a refused transaction was applied earlier. Either a precondition or the limits
// have changed, or this is the second copy of a transaction whose first response was lost. The tag
// in one of the keys that it writes tells which. If it was not applied, the scheduler builds a new
// one, whose size is chosen then.
void TransactionPipeline::read_outcome(std::uint64_t opened_under) {
  const wire::Transaction::Op* last_write = nullptr;
  for (const auto& op : transaction_.ops)
    if (op.value) last_write = &op;
  const bool only_deletes = last_write == nullptr;
  const std::string key = only_deletes ? transaction_.ops.front().key : last_write->key;
  host_.components().state_client.get(
      "/kv/" + key, state::RequestPriority::work,
      host_.reply<net::Result>([this, opened_under, only_deletes](const net::Result& response) {
        if (awaits_outcome(opened_under)) on_outcome_read(opened_under, only_deletes, response);
      }));
}

// Handles the present value of a key that the transaction writes. The transaction was applied if
// the value has its tag.
void TransactionPipeline::on_outcome_read(std::uint64_t opened_under, bool only_deletes,
                                          const net::Result& response) {
  if (response.status == 404) return on_not_applied();
  if (response.status != 200) return resend_later();
  wire::Event event;
  try {
    event = wire::decode_key(response.body);
  } catch (const wire::Malformed&) {
    return resend_later();
  }
  const bool has_our_tag = !only_deletes && event.value &&
                           event.value->text().find("\"" + tag_ + "\"") != std::string::npos;
  if (!has_our_tag) return on_not_applied();
  host_.components().state_store->apply_commit(transaction_, event.mod_revision,
                                               host_.reply<>([this, opened_under] {
                                                 if (awaits_outcome(opened_under)) on_applied();
                                               }));
}

void TransactionPipeline::on_applied() {
  const wire::Transaction applied = std::move(transaction_);
  host_.active_scheduler()->transaction_applied(host_.now());
  for (const auto& op : applied.ops)
    if (op.key.starts_with(kJobResultPrefix) && op.value)
      host_.components().job_results->result_written(op.key.substr(kJobResultPrefix.size()),
                                                     wire::decode_job_result(*op.value));
  host_.flush_held_responses();
  host_.send_pending_work();
}

// Reads the change that made the transaction fail before the next one is built.
void TransactionPipeline::on_not_applied() {
  const std::uint64_t opened_under = host_.active_scheduler()->opened_under();
  host_.components().state_store->linearizable_read(
      host_.reply<bool>([this, opened_under](bool is_read) {
        if (!awaits_outcome(opened_under)) return;
        if (!is_read) return resend_later();
        host_.active_scheduler()->transaction_failed(host_.now());
        host_.send_pending_work();
      }));
}

}  // namespace shunttrail::controller
