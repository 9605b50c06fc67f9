/// Group commit of one shard: at most one transaction in flight, until its outcome is known.
#pragma once
#include <cstdint>
#include <string>

#include "controller/shard_host.h"

namespace shunttrail::controller {

/// Commits the transactions that the shard's scheduler makes. One whose outcome is not known is
/// sent again unchanged; its preconditions let it be applied only once (docs/safety.md).
class TransactionPipeline {
 public:
  explicit TransactionPipeline(ShardHost& host) : host_(host) {}

  /// Sends the next transaction, or the unresolved one again, if one may go out now. The shard has
  /// to have an active scheduler and no leadership commit in flight.
  void commit_next();
  /// The scheduler was closed: its transaction is of no concern any more.
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
  /// Tag of what the transaction writes.
  std::string tag_;
  /// The transaction in flight has to be sent again.
  bool must_resend_ = false;
  double next_commit_at_ = 0;
};

}  // namespace shunttrail::controller
