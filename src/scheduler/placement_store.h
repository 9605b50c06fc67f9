// Stores a shard's placements, finished tasks and job results in the state service. Placements and
// finished tasks are grouped in pages, so that one write records many starts. At most one
// transaction is in flight. Free of I/O.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "scheduler/placement_page.h"
#include "scheduler/placements.h"
#include "scheduler/shard_context.h"
#include "scheduler/token_policy.h"
#include "state/limits.h"
#include "state/state_cache.h"

namespace shunttrail::scheduler {

/// Builds the transactions that record placements and results, and applies their outcome to the
/// placements.
class PlacementStore {
 public:
  PlacementStore(ShardContext& context, Machines& machines, Placements& placements,
                 const TokenPolicy& token_policy);

  /// Recovers a page that the state service holds for the shard. Each of its placements counts as
  /// existing until it is proven not to run.
  void recover_page(int number, const wire::PlacementPageRecord& record, double now);

  /// Returns the next transaction, or nothing while one is in flight or if there is nothing to
  /// store.
  [[nodiscard]] std::optional<wire::Transaction> next_transaction(
      const state::StateCache& cache, const state::TransactionLimits& limits,
      const std::string& tag, double now);
  /// Handles that the transaction in flight has been applied. Returns the ids of the jobs that it
  /// ended.
  [[nodiscard]] std::vector<std::string> transaction_applied(double now);
  /// Handles that the transaction in flight has not been applied and never will be.
  void transaction_failed(double now);
  [[nodiscard]] bool transaction_in_flight() const { return pending_.has_value(); }

 private:
  /// A chunk of results, with the content that a transaction writes for it.
  struct WrittenResult {
    ResultChunk result;
    std::vector<bool> done;  // by task of the chunk
  };
  /// The write of one page: its index, and the starts and results that are new in it.
  struct PageWrite {
    std::size_t page = 0;
    std::vector<PersistedPlacement> starts;
    std::vector<WrittenResult> results;
  };
  struct PendingTransaction {
    std::vector<PageWrite> writes;
    std::vector<std::string> ended_jobs;
  };
  /// A transaction under construction.
  struct Draft {
    const state::StateCache& cache;
    const state::TransactionLimits& limits;
    const std::string& tag;
    wire::Transaction transaction{};
    PendingTransaction pending{};
    /// Starts and results that no page of the transaction contains yet.
    std::vector<PersistedPlacement> starts{};
    std::vector<ResultChunk> results{};
    /// Some results have waited for the maximum delay: they are written even without starts.
    bool results_due = false;
  };

  void recover_results(std::size_t page, const jobs::JobPtr& job,
                       const wire::JobPlacements& stored);
  jobs::JobPtr make_ended_job(const wire::JobPlacements& stored, double now) const;

  void add_jobs(Draft& draft, double now) const;
  static void end_job(Draft& draft, const jobs::Job& job);
  std::vector<PersistedPlacement> planned_starts(const state::StateCache& cache) const;
  [[nodiscard]] std::optional<std::vector<bool>> withheld_tasks(const state::StateCache& cache,
                                                                const jobs::Job& job) const;

  void mark_foreign_rewrites();
  [[nodiscard]] bool rewrite_due() const;
  void remove_obsolete_entries();
  std::vector<std::size_t> emptiest_first() const;
  void write_pages(Draft& draft);
  std::vector<std::size_t> pages_to_write() const;
  bool write_page(std::size_t index, Draft& draft);
  std::uint64_t oldest_attempt(const PlacementPage& page) const;
  static bool add_precondition(Draft& draft, const jobs::Job& job);
  static void add_starts(Draft& draft, PageBuilder& builder, PageWrite& write);
  static bool add_results(Draft& draft, PageBuilder& builder, PageWrite& write);
  static void add_result(const ResultChunk& result, PageBuilder& builder, PageWrite& write);

  void starts_committed(PlacementPage& page, const PageWrite& write);
  static void results_committed(PlacementPage& page, const PageWrite& write, double now);

  ShardContext& context_;
  Machines& machines_;
  Placements& placements_;
  const TokenPolicy& token_policy_;
  std::vector<PlacementPage> pages_;
  // By job and chunk: the number of finished tasks in the largest copy recovered so far.
  std::map<std::pair<std::string, std::uint32_t>, std::uint64_t> largest_recovered_;
  std::optional<PendingTransaction> pending_;
};

}  // namespace shunttrail::scheduler
