/// Group commit for one shard, with at most one transaction in flight until its outcome is known.
#pragma once
#include <cstdint>
#include <string>

#include "controller/shard_host.h"

namespace shunttrail::controller {

/// Commits the transactions that the shard's scheduler builds. A transaction whose outcome is
/// unknown is sent again unchanged; its preconditions ensure that it is applied at most once
/// (docs/safety.md).
class TransactionPipeline {
 public:
  explicit TransactionPipeline(ShardHost& host) : host_(host) {}

  /// Sends the next transaction, or resends the one whose outcome is unknown, if it may be sent
  /// now. The shard must have an active scheduler and no leadership commit in flight.
  void commit_next();
  /// Discards the transaction of a scheduler that was closed.
  void reset() { must_resend_ = false; }

 private:
  bool prepare_transaction();
  void send();
  void on_commit_result(std::uint64_t opened_under, const state::CommitResult& result);
  void read_outcome(std::uint64_t opened_under);
  void on_outcome_read(std::uint64_t opened_under, bool only_deletes, const net::Result& response);
  void on_applied();
  void on_not_applied();
  void resend_later();
  [[nodiscard]] bool awaits_outcome(std::uint64_t opened_under);

  ShardHost& host_;
  /// The transaction in flight, kept until its outcome is known.
  wire::Transaction transaction_;
  /// Tag of the values that the transaction writes.
  std::string tag_;
  /// The transaction in flight has to be sent again, since its outcome is unknown.
  bool must_resend_ = false;
  double next_commit_at_ = 0;
};

}  // namespace shunttrail::controller
